package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// troubles draws from a seed which troubles come, where, for how long, and which of them overlap.
type troubles struct {
	run    *soakRun
	random *rand.Rand
	kinds  []kind // that come
	under  sync.WaitGroup

	mu     sync.Mutex // guards busy and wiped
	busy   map[string]bool
	wiped  time.Time // since when the core is whole after the last lost disk; ahead while it is not
	counts map[string]int
}

// kind is a kind of trouble. Its play begins and ends it; it runs beside others.
type kind struct {
	name   string
	weight int
	play   func(t *troubles, ctx context.Context, span time.Duration)
}

var kinds = []kind{
	{"kill a router", 3, func(t *troubles, ctx context.Context, span time.Duration) { t.kill(ctx, routerRole, 1, span/4, false) }},
	{"kill a core node", 3, func(t *troubles, ctx context.Context, span time.Duration) {
		t.kill(ctx, controllerRole, 1, span, false)
	}},
	{"kill all core nodes", 2, func(t *troubles, ctx context.Context, span time.Duration) {
		t.kill(ctx, controllerRole, 9, span/4, false)
	}},
	{"kill many routers", 1, func(t *troubles, ctx context.Context, span time.Duration) { t.kill(ctx, routerRole, 2, span/4, false) }},
	{"lose a core node's disk", 2, func(t *troubles, ctx context.Context, span time.Duration) {
		t.kill(ctx, controllerRole, 1, span/2, true)
	}},
	{"kill everything", 1, func(t *troubles, ctx context.Context, span time.Duration) { t.killEverything(ctx, span/4) }},
	{"stop a router", 3, func(t *troubles, ctx context.Context, _ time.Duration) { t.restart(ctx, routerRole) }},
	{"stop a core node", 2, func(t *troubles, ctx context.Context, _ time.Duration) { t.restart(ctx, controllerRole) }},
	{"reload routers", 2, func(t *troubles, ctx context.Context, _ time.Duration) { t.reload(ctx) }},
	{"freeze a router", 2, func(t *troubles, ctx context.Context, span time.Duration) { t.freeze(ctx, routerRole, span) }},
	{"freeze a core node", 3, func(t *troubles, ctx context.Context, span time.Duration) { t.freeze(ctx, controllerRole, span) }},
	{"cut a router off", 2, func(t *troubles, ctx context.Context, span time.Duration) { t.cutRouter(ctx, span) }},
	{"cut a core node off", 3, func(t *troubles, ctx context.Context, span time.Duration) { t.cutCore(ctx, span, false) }},
	{"cut a core node off one way", 2, func(t *troubles, ctx context.Context, span time.Duration) { t.cutCore(ctx, span, true) }},
	{"break connections", 3, func(t *troubles, ctx context.Context, span time.Duration) { t.breaks(ctx, span) }},
	{"a server crashes", 3, func(t *troubles, ctx context.Context, span time.Duration) { t.crash(ctx, span) }},
	{"a server leaves", 3, func(t *troubles, ctx context.Context, _ time.Duration) { t.leave(ctx) }},
	{"servers misbehave", 4, func(t *troubles, ctx context.Context, span time.Duration) { t.misbehave(ctx, span) }},
	{"announcements come late", 2, func(t *troubles, ctx context.Context, span time.Duration) { t.lateBeats(ctx, span) }},
	{"callers misbehave", 3, func(t *troubles, ctx context.Context, span time.Duration) { t.rudeCallers(ctx, span) }},
	{"operators hurry", 3, func(t *troubles, ctx context.Context, span time.Duration) { t.hurry(ctx, span) }},
}

const (
	mostOverlap  = 3
	leastSpan    = 300 * time.Millisecond
	mostSpan     = 3500 * time.Millisecond
	mostStagger  = 900 * time.Millisecond
	mostCalm     = 4500 * time.Millisecond
	calmShare    = 0.6 // of rounds end with a calm time
	wholeAgain   = catchUpSpan + 2*time.Second
	breakPause   = 150 * time.Millisecond
	hurriedPace  = 60 * time.Millisecond
	ordinaryPace = 900 * time.Millisecond
	rudeShare    = 0.3
)

func newTroubles(r *soakRun) *troubles {
	return &troubles{run: r, random: rand.New(rand.NewPCG(r.options.Seed, 77)), busy: map[string]bool{}, counts: map[string]int{}, kinds: kinds}
}

// play has troubles come, two or three at a time, for as long as the run is to last.
func (t *troubles) play(ctx context.Context) {
	for end := time.Now().Add(t.run.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		for range 2 + t.random.IntN(mostOverlap-1) {
			k := t.draw()
			span := leastSpan + time.Duration(t.random.Int64N(int64(mostSpan-leastSpan)))
			t.counts[k.name]++
			t.under.Add(1)
			go func() {
				defer t.under.Done()
				k.play(t, ctx, span)
			}()
			wait(ctx, time.Duration(t.random.Int64N(int64(mostStagger))))
		}
		t.under.Wait()
		if t.random.Float64() < quickShare && len(t.run.options.Only) == 0 {
			t.quickChanges(ctx)
		}
		if t.random.Float64() < calmShare {
			wait(ctx, time.Duration(t.random.Int64N(int64(mostCalm))))
		}
	}
	t.under.Wait()
}

func (t *troubles) draw() kind {
	sum := 0
	for _, k := range t.kinds {
		sum += k.weight
	}
	dice := t.random.IntN(sum)
	for _, k := range t.kinds {
		if dice -= k.weight; dice < 0 {
			return k
		}
	}
	return t.kinds[0]
}

// kindsNamed gives the kinds of some names; all if none is named.
func kindsNamed(names []string) ([]kind, error) {
	if len(names) == 0 {
		return kinds, nil
	}
	var l []kind
	for _, name := range names {
		i := slices.IndexFunc(kinds, func(k kind) bool { return k.name == name })
		if i < 0 {
			return nil, errors.Errorf("no kind of trouble is called %q; there are: %s", name, strings.Join(KindNames(), ", "))
		}
		l = append(l, kinds[i])
	}
	return l, nil
}

// KindNames lists the kinds of trouble.
func KindNames() (names []string) {
	for _, k := range kinds {
		names = append(names, k.name)
	}
	return names
}

// number draws a whole number below n; troubles that run beside each other draw from one source.
func (t *troubles) number(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.IntN(n)
}

// seize takes machines of a role that no other trouble has, up to a number of them.
func (t *troubles) seize(r role, most int) (l []*machine) {
	machines := t.run.fleet.of(r)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range t.random.Perm(len(machines)) {
		if m := machines[i]; len(l) < most && !t.busy[m.name] {
			t.busy[m.name] = true
			l = append(l, m)
		}
	}
	return l
}

func (t *troubles) free(l ...*machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range l {
		delete(t.busy, m.name)
	}
}

// mayWipe tells whether another disk may be lost: the core is whole again since the last one was.
func (t *troubles) mayWipe() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.run.fleet.of(controllerRole) {
		if t.busy[m.name] {
			t.wiped = time.Now() // while any is in trouble, the core is not whole
		}
	}
	if time.Since(t.wiped) < wholeAgain {
		return false
	}
	t.wiped = time.Now().Add(time.Hour)
	return true
}

func (t *troubles) begin(what string, planned bool, l ...*machine) (end func()) {
	var ends []func()
	for _, m := range l {
		ends = append(ends, t.run.judge.trouble(what, m.told, planned))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// startAgain starts processes whose ends were brought about.
func (t *troubles) startAgain(l []*machine) {
	for _, m := range l {
		if err := t.run.fleet.start(m); err != nil {
			t.run.judge.violate("SOAK", "start of %s: %v", m.name, err)
		}
	}
}

func (t *troubles) kill(ctx context.Context, r role, most int, down time.Duration, wipes bool) {
	if wipes && !t.mayWipe() {
		wipes = false
	}
	l := t.seize(r, most)
	defer t.free(l...)
	what := "kill"
	if wipes {
		what = "kill and lose the disk"
	}
	end := t.begin(what, false, l...)
	defer end()
	for _, m := range l {
		m.signal(syscall.SIGKILL, true)
	}
	for _, m := range l {
		m.gone()
		if wipes {
			if err := m.wipe(); err != nil {
				t.run.judge.violate("SOAK", "wipe of %s: %v", m.name, err)
			}
		}
	}
	wait(ctx, down)
	t.startAgain(l)
	if wipes {
		t.mu.Lock()
		t.wiped = time.Now()
		t.mu.Unlock()
	}
}

func (t *troubles) killEverything(ctx context.Context, down time.Duration) {
	l := append(t.seize(controllerRole, 99), t.seize(routerRole, 99)...)
	defer t.free(l...)
	defer t.begin("kill", false, l...)()
	for _, m := range l {
		m.signal(syscall.SIGKILL, true)
	}
	for _, m := range l {
		m.gone()
	}
	wait(ctx, down)
	t.startAgain(l)
}

// restart stops a machine as planned and starts it again.
func (t *troubles) restart(ctx context.Context, r role) {
	l := t.seize(r, 1)
	defer t.free(l...)
	for _, m := range l {
		end := t.run.judge.trouble("stop", m.told, true)
		if !m.stop(graceSpan) {
			t.run.judge.violate("LOST", "%s had to be killed after its grace", m.name)
		}
		t.startAgain([]*machine{m})
		end()
	}
}

// reload sends the signal that says that the settings file has changed.
func (t *troubles) reload(ctx context.Context) {
	for _, m := range t.run.fleet.of(routerRole) {
		if !m.heedsHangup() {
			continue // it was started microseconds ago; nothing in it can keep the signal from ending it yet
		}
		end := t.run.judge.trouble("reload", m.told, true)
		m.signal(syscall.SIGHUP, false)
		wait(ctx, 100*time.Millisecond)
		end()
	}
}

func (t *troubles) freeze(ctx context.Context, r role, span time.Duration) {
	l := t.seize(r, 1)
	defer t.free(l...)
	defer t.begin("freeze", false, l...)()
	for _, m := range l {
		m.signal(syscall.SIGSTOP, false)
	}
	wait(ctx, span)
	for _, m := range l {
		m.signal(syscall.SIGCONT, false)
	}
}

func (t *troubles) cutRouter(ctx context.Context, span time.Duration) {
	l := t.seize(routerRole, 1)
	defer t.free(l...)
	defer t.begin("cut", false, l...)()
	for _, m := range l {
		for _, core := range t.run.fleet.of(controllerRole) {
			defer t.run.fleet.part(m.told, core.told, false)()
		}
	}
	wait(ctx, span)
}

// cutCore cuts a core node off from the others, or one way only; with three nodes this leaves two halves that
// routers, servers and operators all reach.
func (t *troubles) cutCore(ctx context.Context, span time.Duration, oneWay bool) {
	l := t.seize(controllerRole, 1)
	defer t.free(l...)
	defer t.begin("cut", false, l...)()
	for _, m := range l {
		for _, other := range t.run.fleet.of(controllerRole) {
			if other != m {
				defer t.run.fleet.part(m.told, other.told, oneWay)()
			}
		}
	}
	wait(ctx, span)
}

// breaks resets the connections of some machine again and again, so that answers are lost.
func (t *troubles) breaks(ctx context.Context, span time.Duration) {
	all := t.run.fleet.machines
	m := all[t.number(len(all))]
	defer t.begin("reset connections", false, m)()
	for end := time.Now().Add(span); time.Now().Before(end) && ctx.Err() == nil; {
		t.run.fleet.links.BreakAt(m.told)
		wait(ctx, breakPause)
	}
}

func (t *troubles) server() *server { return t.run.servers[t.number(len(t.run.servers))] }

// alone tells whether a server of its service is up besides: not all go at once.
func (t *troubles) alone(s *server) bool {
	return !slices.ContainsFunc(t.run.servers, func(o *server) bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o != s && o.service == s.service && o.up && !o.leaving
	})
}

func (t *troubles) crash(ctx context.Context, span time.Duration) {
	s := t.server()
	if t.alone(s) {
		return
	}
	defer t.run.judge.trouble("crash of "+s.name, s.ip, false)()
	s.crash()
	wait(ctx, span)
	t.revive(s)
}

// revive begins a server's next life, empty, at the same address, unless another trouble at the same server has begun it.
func (t *troubles) revive(s *server) {
	for range 50 {
		if err := s.begin(); err == nil || s.alive() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.run.judge.violate("SOAK", "%s does not start again", s.name)
}

func (t *troubles) leave(ctx context.Context) {
	s := t.server()
	s.mu.Lock()
	busy := !s.up || s.leaving
	s.mu.Unlock()
	if busy || t.alone(s) {
		return
	}
	t.run.judge.note("%s leaves", s.name)
	s.leave(ctx, t.number(2) == 0)
	wait(ctx, time.Second)
	t.revive(s)
}

func (t *troubles) misbehave(ctx context.Context, span time.Duration) {
	set := func(share float64) {
		for _, s := range t.run.servers {
			s.mu.Lock()
			s.rude = share
			s.mu.Unlock()
		}
	}
	t.run.judge.note("servers misbehave")
	set(rudeShare)
	wait(ctx, span)
	set(0)
}

func (t *troubles) lateBeats(ctx context.Context, span time.Duration) {
	t.run.judge.note("announcements come late")
	for end := time.Now().Add(span); time.Now().Before(end) && ctx.Err() == nil; {
		t.server().repeat()
		wait(ctx, 100*time.Millisecond)
	}
}

func (t *troubles) rudeCallers(ctx context.Context, span time.Duration) {
	t.run.judge.note("callers misbehave")
	t.run.callersRude.Store(true)
	wait(ctx, span)
	t.run.callersRude.Store(false)
}

func (t *troubles) hurry(ctx context.Context, span time.Duration) {
	t.run.judge.note("operators hurry")
	t.run.pace.Store(int64(hurriedPace))
	wait(ctx, span)
	t.run.pace.Store(int64(ordinaryPace))
}
