package soak

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Troubles that delay or load machines without ending their processes: slow processes, narrow links, large configurations,
// disks that refuse writes, and sequences of signals.

const (
	throttleRun          = 15 * time.Millisecond // length of one time slice of a throttled process
	throttlePauses       = 4                     // length of the stop after each slice, in slices
	narrowBytesPerSecond = 10e6 / 8              // 10 Mbit/s
	largeRouteCount      = 1200                  // unused routes in a large configuration
	seriesRounds         = 3
	seriesPause          = 400 * time.Millisecond
	quickChangesDuration = contactLimit + 4*time.Second
	quickChangesPause    = 20 * time.Millisecond
	quickChangesShare    = 0.25 // share of rounds that quick changes follow
)

var loadTroubleKinds = []troubleKind{
	{"slow a router", 3, func(s *scheduler, ctx context.Context, duration time.Duration) {
		s.slowMachine(ctx, routerRole, duration)
	}},
	{"slow a core node", 2, func(s *scheduler, ctx context.Context, duration time.Duration) {
		s.slowMachine(ctx, controllerRole, duration)
	}},
	{"narrow links of routers", 3, func(s *scheduler, ctx context.Context, duration time.Duration) { s.narrowLinks(ctx, duration) }},
	{"large configurations", 4, func(s *scheduler, ctx context.Context, duration time.Duration) { s.largeConfigurations(ctx, duration) }},
	{"a disk refuses every write", 2, func(s *scheduler, ctx context.Context, duration time.Duration) { s.refuseWrites(ctx, duration) }},
	{"signals in series", 3, func(s *scheduler, ctx context.Context, _ time.Duration) { s.signalSeries(ctx) }},
}

func init() { troubleKinds = append(troubleKinds, loadTroubleKinds...) }

// slowMachine throttles the process of one machine.
func (s *scheduler) slowMachine(ctx context.Context, r role, duration time.Duration) {
	l := s.acquire(r, 1)
	defer s.release(l...)
	defer s.beginTrouble("slow", false, l...)()
	throttle(ctx, duration, l)
}

// throttle stops and continues processes in turn, so that they run for a part of the time only.
func throttle(ctx context.Context, duration time.Duration, l []*machine) {
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		for _, m := range l {
			m.signal(syscall.SIGSTOP, false)
		}
		sleep(ctx, throttlePauses*throttleRun)
		for _, m := range l {
			m.signal(syscall.SIGCONT, false)
		}
		sleep(ctx, throttleRun)
	}
}

// quickChanges makes operators send large configurations as fast as the core accepts them, to every core node, while all
// core nodes are throttled. It runs without other troubles, for longer than a lease and than contactLimit. It is not
// recorded as a trouble, as the guarantees still hold: a slow core must not be treated as an unreachable one.
func (s *scheduler) quickChanges(ctx context.Context) {
	l := s.acquire(controllerRole, len(s.run.fleet.withRole(controllerRole)))
	defer s.release(l...)
	s.counts["quick changes at a weak core"]++
	s.run.checker.tracef("quick changes at a throttled core")
	s.run.extraRoutes.Store(largeRouteCount)
	defer s.run.extraRoutes.Store(0)
	s.run.maxChangePause.Store(int64(quickChangesPause))
	defer s.run.maxChangePause.Store(int64(ordinaryChangePause))
	throttle(ctx, quickChangesDuration, l)
}

// narrowLinks limits the bandwidth of every router's links. It is not recorded as a trouble, as the guarantees cover
// machines with such links.
func (s *scheduler) narrowLinks(ctx context.Context, duration time.Duration) {
	s.run.checker.tracef("links of routers are narrow")
	for _, m := range s.run.fleet.withRole(routerRole) {
		s.run.fleet.links.LimitRate(m.advertisedIP, narrowBytesPerSecond)
		defer s.run.fleet.links.LimitRate(m.advertisedIP, 0)
	}
	sleep(ctx, duration)
}

// largeConfigurations makes operators send configurations with many routes. It is not recorded as a trouble, as the
// guarantees cover such configurations.
func (s *scheduler) largeConfigurations(ctx context.Context, duration time.Duration) {
	s.run.checker.tracef("configurations are large")
	s.run.extraRoutes.Store(largeRouteCount)
	sleep(ctx, duration)
	s.run.extraRoutes.Store(0)
}

// refuseWrites makes a core node's writes to files fail.
func (s *scheduler) refuseWrites(ctx context.Context, duration time.Duration) {
	l := s.acquire(controllerRole, 1)
	defer s.release(l...)
	defer s.beginTrouble("refuse writes", false, l...)()
	for _, m := range l {
		m.limitWrites(0)
	}
	sleep(ctx, duration)
	for _, m := range l {
		m.limitWrites(unix.RLIM_INFINITY)
	}
}

// limitWrites sets the maximum size of files that the process may write (RLIMIT_FSIZE).
func (m *machine) limitWrites(bytes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = unix.Prlimit(m.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}, nil)
	}
}

// signalSeries repeatedly reloads all routers and restarts one of them while operators send changes in quick succession.
func (s *scheduler) signalSeries(ctx context.Context) {
	s.run.maxChangePause.Store(int64(hurriedChangePause))
	defer s.run.maxChangePause.Store(int64(ordinaryChangePause))
	for range seriesRounds {
		if ctx.Err() != nil {
			return
		}
		s.reload(ctx)
		s.restart(ctx, routerRole)
		s.reload(ctx)
		sleep(ctx, time.Duration(s.randomInt(int(seriesPause))))
	}
}
