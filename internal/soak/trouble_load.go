package soak

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Troubles that make machines late or keep them busy, rather than end them: slow processes, narrow links, large
// configurations, disks that refuse every write, and signals that follow each other.

const (
	slowRun      = 15 * time.Millisecond // a slowed process runs for so long,
	slowPauses   = 4                     // and stands still for so many times as long
	narrowBytes  = 10e6 / 8              // a second, of a narrow link
	manyRoutes   = 1200                  // of a large configuration
	seriesRounds = 3
	seriesPause  = 400 * time.Millisecond
	quickSpan    = contactSpan + 4*time.Second
	quickPace    = 20 * time.Millisecond
	quickShare   = 0.25 // of rounds are followed by quick changes
)

var loadKinds = []kind{
	{"slow a router", 3, func(t *troubles, ctx context.Context, span time.Duration) { t.slow(ctx, routerRole, span) }},
	{"slow a core node", 2, func(t *troubles, ctx context.Context, span time.Duration) { t.slow(ctx, controllerRole, span) }},
	{"narrow links of routers", 3, func(t *troubles, ctx context.Context, span time.Duration) { t.narrow(ctx, span) }},
	{"large configurations", 4, func(t *troubles, ctx context.Context, span time.Duration) { t.large(ctx, span) }},
	{"a disk refuses every write", 2, func(t *troubles, ctx context.Context, span time.Duration) { t.refuse(ctx, span) }},
	{"signals in series", 3, func(t *troubles, ctx context.Context, _ time.Duration) { t.series(ctx) }},
}

func init() { kinds = append(kinds, loadKinds...) }

// slow has a process run a part of the time only.
func (t *troubles) slow(ctx context.Context, r role, span time.Duration) {
	l := t.seize(r, 1)
	defer t.free(l...)
	defer t.begin("slow", false, l...)()
	throttle(ctx, span, l)
}

// throttle has processes run a part of the time only.
func throttle(ctx context.Context, span time.Duration, l []*machine) {
	for end := time.Now().Add(span); time.Now().Before(end) && ctx.Err() == nil; {
		for _, m := range l {
			m.signal(syscall.SIGSTOP, false)
		}
		wait(ctx, slowPauses*slowRun)
		for _, m := range l {
			m.signal(syscall.SIGCONT, false)
		}
		wait(ctx, slowRun)
	}
}

// quickChanges has operators send large configurations as fast as they are taken, at every core node, while all of these
// are weak machines. It comes alone, for longer than a lease and than it takes to count as in touch, and is no trouble by
// the promises: a core that is late must not be taken for one that cannot be reached.
func (t *troubles) quickChanges(ctx context.Context) {
	l := t.seize(controllerRole, len(t.run.fleet.of(controllerRole)))
	defer t.free(l...)
	t.counts["quick changes at a weak core"]++
	t.run.judge.note("changes follow each other at a weak core")
	t.run.routes.Store(manyRoutes)
	defer t.run.routes.Store(0)
	t.run.pace.Store(int64(quickPace))
	defer t.run.pace.Store(int64(ordinaryPace))
	throttle(ctx, quickSpan, l)
}

// narrow has every router's links carry little. It is no trouble by the promises: a machine may be made so.
func (t *troubles) narrow(ctx context.Context, span time.Duration) {
	t.run.judge.note("links of routers are narrow")
	for _, m := range t.run.fleet.of(routerRole) {
		t.run.fleet.links.Narrow(m.told, narrowBytes)
		defer t.run.fleet.links.Narrow(m.told, 0)
	}
	wait(ctx, span)
}

// large has operators send configurations with many routes, fast. It is no trouble by the promises, either.
func (t *troubles) large(ctx context.Context, span time.Duration) {
	t.run.judge.note("configurations are large")
	t.run.routes.Store(manyRoutes)
	wait(ctx, span)
	t.run.routes.Store(0)
}

// refuse has a core node's disk refuse every write.
func (t *troubles) refuse(ctx context.Context, span time.Duration) {
	l := t.seize(controllerRole, 1)
	defer t.free(l...)
	defer t.begin("refuse writes", false, l...)()
	for _, m := range l {
		m.limitWrites(0)
	}
	wait(ctx, span)
	for _, m := range l {
		m.limitWrites(unix.RLIM_INFINITY)
	}
}

// limitWrites bounds how large files may become that the process writes.
func (m *machine) limitWrites(bytes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = unix.Prlimit(m.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}, nil)
	}
}

// series has a router reload, stop and start again, some times in a row, while the other routers reload and changes come.
func (t *troubles) series(ctx context.Context) {
	t.run.pace.Store(int64(hurriedPace))
	defer t.run.pace.Store(int64(ordinaryPace))
	for range seriesRounds {
		if ctx.Err() != nil {
			return
		}
		t.reload(ctx)
		t.restart(ctx, routerRole)
		t.reload(ctx)
		wait(ctx, time.Duration(t.number(int(seriesPause))))
	}
}
