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

// scheduler draws the troubles of a run from a seed: their kinds, machines and durations, and which of them overlap.
type scheduler struct {
	run     *soakRun
	random  *rand.Rand
	kinds   []troubleKind // kinds to inject
	crowds  *crowds
	running sync.WaitGroup

	mu             sync.Mutex // guards busyMachines and coreWholeSince
	busyMachines   map[string]bool
	coreWholeSince time.Time // when the core became complete after the last lost disk; in the future until then
	counts         map[string]int
}

// troubleKind is a kind of trouble. Its run function begins and ends one trouble and may overlap with others.
type troubleKind struct {
	name   string
	weight int
	run    func(s *scheduler, ctx context.Context, duration time.Duration)
}

var troubleKinds = []troubleKind{
	{"kill a router", 3, func(s *scheduler, ctx context.Context, duration time.Duration) {
		s.kill(ctx, routerRole, 1, duration/4, false)
	}},
	{"kill a core node", 3, func(s *scheduler, ctx context.Context, duration time.Duration) {
		s.kill(ctx, controllerRole, 1, duration, false)
	}},
	{"kill all core nodes", 2, func(s *scheduler, ctx context.Context, duration time.Duration) {
		s.kill(ctx, controllerRole, 9, duration/4, false)
	}},
	{"kill many routers", 1, func(s *scheduler, ctx context.Context, duration time.Duration) {
		s.kill(ctx, routerRole, 2, duration/4, false)
	}},
	{"lose a core node's disk", 2, func(s *scheduler, ctx context.Context, duration time.Duration) {
		s.kill(ctx, controllerRole, 1, duration/2, true)
	}},
	{"kill a core node again", 2, func(s *scheduler, ctx context.Context, duration time.Duration) {
		s.killAgain(ctx, controllerRole, duration/4, false)
	}},
	{"kill a router again", 1, func(s *scheduler, ctx context.Context, duration time.Duration) {
		s.killAgain(ctx, routerRole, duration/4, false)
	}},
	{"lose a core node's disk and kill it again", 2, func(s *scheduler, ctx context.Context, duration time.Duration) {
		s.killAgain(ctx, controllerRole, duration/4, true)
	}},
	{"kill everything", 1, func(s *scheduler, ctx context.Context, duration time.Duration) { s.killEverything(ctx, duration/4) }},
	{"stop a router", 3, func(s *scheduler, ctx context.Context, _ time.Duration) { s.restart(ctx, routerRole) }},
	{"stop a core node", 2, func(s *scheduler, ctx context.Context, _ time.Duration) { s.restart(ctx, controllerRole) }},
	{"reload routers", 2, func(s *scheduler, ctx context.Context, _ time.Duration) { s.reload(ctx) }},
	{"freeze a router", 2, func(s *scheduler, ctx context.Context, duration time.Duration) { s.freeze(ctx, routerRole, duration) }},
	{"freeze a core node", 3, func(s *scheduler, ctx context.Context, duration time.Duration) {
		s.freeze(ctx, controllerRole, duration)
	}},
	{"cut a router off", 2, func(s *scheduler, ctx context.Context, duration time.Duration) { s.cutRouter(ctx, duration) }},
	{"cut a core node off", 3, func(s *scheduler, ctx context.Context, duration time.Duration) { s.cutCore(ctx, duration, false) }},
	{"cut a core node off one way", 2, func(s *scheduler, ctx context.Context, duration time.Duration) { s.cutCore(ctx, duration, true) }},
	{"break connections", 3, func(s *scheduler, ctx context.Context, duration time.Duration) { s.resetConnections(ctx, duration) }},
	{"a server crashes", 3, func(s *scheduler, ctx context.Context, duration time.Duration) { s.crash(ctx, duration) }},
	{"a server leaves", 3, func(s *scheduler, ctx context.Context, _ time.Duration) { s.leave(ctx) }},
	{"servers misbehave", 4, func(s *scheduler, ctx context.Context, duration time.Duration) { s.serversMisbehave(ctx, duration) }},
	{"announcements come late", 2, func(s *scheduler, ctx context.Context, duration time.Duration) { s.resendAnnouncements(ctx, duration) }},
	{"callers misbehave", 3, func(s *scheduler, ctx context.Context, duration time.Duration) { s.callersMisbehave(ctx, duration) }},
	{"operators hurry", 3, func(s *scheduler, ctx context.Context, duration time.Duration) { s.frequentChanges(ctx, duration) }},
}

const (
	maxOverlap          = 3
	minTroubleDuration  = 300 * time.Millisecond
	maxTroubleDuration  = 3500 * time.Millisecond
	maxStagger          = 900 * time.Millisecond
	maxCalm             = 4500 * time.Millisecond
	calmShare           = 0.6 // share of rounds that end with a time without troubles
	wipeSpacing         = convergenceLimit + 2*time.Second
	resetPause          = 150 * time.Millisecond
	hurriedChangePause  = 60 * time.Millisecond
	ordinaryChangePause = 900 * time.Millisecond
	misbehaveFaultShare = 0.3
	maxUptimeBetween    = 500 * time.Millisecond // longest time that a machine is up before it is killed again
	maxRepeatedKills    = 2
	firstStartShare     = 0.5 // share of runs with a trouble during the first start
	maxFirstStartDelay  = 2500 * time.Millisecond
	firstStartDowntime  = 500 * time.Millisecond
)

func newScheduler(r *soakRun) *scheduler {
	return &scheduler{run: r, random: rand.New(rand.NewPCG(r.options.Seed, 77)), busyMachines: map[string]bool{}, counts: map[string]int{}, kinds: troubleKinds, crowds: newCrowds(r)}
}

// runTroubles runs rounds of two or three overlapping troubles for Options.TroubleDuration.
func (s *scheduler) runTroubles(ctx context.Context) {
	for end := time.Now().Add(s.run.options.TroubleDuration); time.Now().Before(end) && ctx.Err() == nil; {
		if run, ok := s.crowds.begin(); ok {
			s.counts["a crowd of clients"]++
			s.running.Go(func() { run(ctx) })
		}
		for range 2 + s.random.IntN(maxOverlap-1) {
			k := s.randomKind()
			duration := minTroubleDuration + time.Duration(s.random.Int64N(int64(maxTroubleDuration-minTroubleDuration)))
			s.counts[k.name]++
			s.running.Add(1)
			go func() {
				defer s.running.Done()
				k.run(s, ctx, duration)
			}()
			sleep(ctx, time.Duration(s.random.Int64N(int64(maxStagger))))
		}
		s.running.Wait()
		if s.random.Float64() < quickChangesShare && len(s.run.options.OnlyTroubles) == 0 {
			s.quickChanges(ctx)
		}
		if s.random.Float64() < calmShare {
			sleep(ctx, time.Duration(s.random.Int64N(int64(maxCalm))))
		}
	}
	s.running.Wait()
}

func (s *scheduler) randomKind() troubleKind {
	sum := 0
	for _, k := range s.kinds {
		sum += k.weight
	}
	roll := s.random.IntN(sum)
	for _, k := range s.kinds {
		if roll -= k.weight; roll < 0 {
			return k
		}
	}
	return s.kinds[0]
}

// troubleKindsByName returns the kinds with the given names, or all kinds if there are no names.
func troubleKindsByName(names []string) ([]troubleKind, error) {
	if len(names) == 0 {
		return troubleKinds, nil
	}
	var l []troubleKind
	for _, name := range names {
		i := slices.IndexFunc(troubleKinds, func(k troubleKind) bool { return k.name == name })
		if i < 0 {
			return nil, errors.Errorf("unknown kind of trouble %q; known kinds: %s", name, strings.Join(TroubleNames(), ", "))
		}
		l = append(l, troubleKinds[i])
	}
	return l, nil
}

// TroubleNames returns the names of all kinds of trouble.
func TroubleNames() (names []string) {
	for _, k := range troubleKinds {
		names = append(names, k.name)
	}
	return names
}

// randomInt draws an integer below n. Concurrent troubles share one random source.
func (s *scheduler) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// acquire reserves up to limit machines of a role that no other trouble has reserved.
func (s *scheduler) acquire(r role, limit int) (l []*machine) {
	machines := s.run.fleet.withRole(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.random.Perm(len(machines)) {
		if m := machines[i]; len(l) < limit && !s.busyMachines[m.name] {
			s.busyMachines[m.name] = true
			l = append(l, m)
		}
	}
	return l
}

func (s *scheduler) release(l ...*machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range l {
		delete(s.busyMachines, m.name)
	}
}

// canWipe reports whether another disk may be lost, which needs a core that is complete again since the last loss.
func (s *scheduler) canWipe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.run.fleet.withRole(controllerRole) {
		if s.busyMachines[m.name] {
			s.coreWholeSince = time.Now() // the core is incomplete while any of its nodes is in trouble
		}
	}
	if time.Since(s.coreWholeSince) < wipeSpacing {
		return false
	}
	s.coreWholeSince = time.Now().Add(time.Hour)
	return true
}

func (s *scheduler) beginTrouble(description string, planned bool, l ...*machine) (end func()) {
	var ends []func()
	for _, m := range l {
		ends = append(ends, s.run.checker.beginTrouble(description, m.advertisedIP, planned))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// startMachines starts the processes of machines that the scheduler has stopped or killed.
func (s *scheduler) startMachines(l []*machine) {
	for _, m := range l {
		if err := s.run.fleet.start(m); err != nil {
			s.run.checker.violate("SOAK", "start of %s failed: %v", m.name, err)
		}
	}
}

func (s *scheduler) kill(ctx context.Context, r role, limit int, downtime time.Duration, loseDisk bool) {
	if loseDisk && !s.canWipe() {
		loseDisk = false
	}
	l := s.acquire(r, limit)
	defer s.release(l...)
	s.killMachines(ctx, l, downtime, loseDisk)
}

// killAgain kills a machine, and once or twice more within half a second of its return.
func (s *scheduler) killAgain(ctx context.Context, r role, downtime time.Duration, loseDisk bool) {
	loseDisk = loseDisk && s.canWipe()
	l := s.acquire(r, 1)
	defer s.release(l...)
	s.killMachines(ctx, l, downtime, loseDisk)
	for range 1 + s.randomInt(maxRepeatedKills) {
		sleep(ctx, time.Duration(s.randomInt(int(maxUptimeBetween))))
		s.killMachines(ctx, l, downtime, false)
	}
	if loseDisk {
		s.mu.Lock()
		s.coreWholeSince = time.Now()
		s.mu.Unlock()
	}
}

// troubleFirstStart kills a core machine while the deployment starts for the first time, in a share of the runs. The machine
// is back a moment later.
func (s *scheduler) troubleFirstStart(ctx context.Context) {
	if s.random.Float64() >= firstStartShare || len(s.run.options.OnlyTroubles) > 0 {
		return
	}
	sleep(ctx, time.Duration(s.random.Int64N(int64(maxFirstStartDelay))))
	l := s.acquire(controllerRole, 1)
	defer s.release(l...)
	s.counts["kill at the first start"]++
	s.killMachines(ctx, l, firstStartDowntime, false)
}

// killMachines kills machines, and starts them again after a time.
func (s *scheduler) killMachines(ctx context.Context, l []*machine, downtime time.Duration, loseDisk bool) {
	description := "kill"
	if loseDisk {
		description = "kill and lose the disk"
	}
	end := s.beginTrouble(description, false, l...)
	defer end()
	for _, m := range l {
		m.signal(syscall.SIGKILL, true)
	}
	for _, m := range l {
		m.waitExit()
		if loseDisk {
			if err := m.wipe(); err != nil {
				s.run.checker.violate("SOAK", "wipe of %s failed: %v", m.name, err)
			}
		}
	}
	sleep(ctx, downtime)
	s.startMachines(l)
	if loseDisk {
		s.mu.Lock()
		s.coreWholeSince = time.Now()
		s.mu.Unlock()
	}
}

func (s *scheduler) killEverything(ctx context.Context, downtime time.Duration) {
	l := append(s.acquire(controllerRole, 99), s.acquire(routerRole, 99)...)
	defer s.release(l...)
	defer s.beginTrouble("kill", false, l...)()
	for _, m := range l {
		m.signal(syscall.SIGKILL, true)
	}
	for _, m := range l {
		m.waitExit()
	}
	sleep(ctx, downtime)
	s.startMachines(l)
}

// restart stops a machine in an orderly way and starts it again.
func (s *scheduler) restart(ctx context.Context, r role) {
	l := s.acquire(r, 1)
	defer s.release(l...)
	for _, m := range l {
		end := s.run.checker.beginTrouble("stop", m.advertisedIP, true)
		if !m.stop(stopGrace) {
			s.run.checker.violate("LOST", "%s did not stop within its grace period and was killed", m.name)
		}
		s.startMachines([]*machine{m})
		end()
	}
}

// reload sends SIGHUP, which announces a changed settings file, to all routers.
func (s *scheduler) reload(ctx context.Context) {
	for _, m := range s.run.fleet.withRole(routerRole) {
		if !m.handlesHangup() {
			continue // the process has only just started, and SIGHUP would still end it
		}
		end := s.run.checker.beginTrouble("reload", m.advertisedIP, true)
		m.signal(syscall.SIGHUP, false)
		sleep(ctx, 100*time.Millisecond)
		end()
	}
}

func (s *scheduler) freeze(ctx context.Context, r role, duration time.Duration) {
	l := s.acquire(r, 1)
	defer s.release(l...)
	defer s.beginTrouble("freeze", false, l...)()
	for _, m := range l {
		m.signal(syscall.SIGSTOP, false)
	}
	sleep(ctx, duration)
	for _, m := range l {
		m.signal(syscall.SIGCONT, false)
	}
}

func (s *scheduler) cutRouter(ctx context.Context, duration time.Duration) {
	l := s.acquire(routerRole, 1)
	defer s.release(l...)
	defer s.beginTrouble("cut", false, l...)()
	for _, m := range l {
		for _, core := range s.run.fleet.withRole(controllerRole) {
			defer s.run.fleet.cutLink(m.advertisedIP, core.advertisedIP, false)()
		}
	}
	sleep(ctx, duration)
}

// cutCore cuts a core node off from the other core nodes, or only the traffic from it with oneWay. With three nodes, this
// creates two partitions, and routers, servers and operators still reach both.
func (s *scheduler) cutCore(ctx context.Context, duration time.Duration, oneWay bool) {
	l := s.acquire(controllerRole, 1)
	defer s.release(l...)
	defer s.beginTrouble("cut", false, l...)()
	for _, m := range l {
		for _, other := range s.run.fleet.withRole(controllerRole) {
			if other != m {
				defer s.run.fleet.cutLink(m.advertisedIP, other.advertisedIP, oneWay)()
			}
		}
	}
	sleep(ctx, duration)
}

// resetConnections resets the connections of a random machine repeatedly, so that answers are lost.
func (s *scheduler) resetConnections(ctx context.Context, duration time.Duration) {
	all := s.run.fleet.machines
	m := all[s.randomInt(len(all))]
	defer s.beginTrouble("reset connections", false, m)()
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		s.run.fleet.links.CloseConnsAt(m.advertisedIP)
		sleep(ctx, resetPause)
	}
}

func (s *scheduler) randomServer() *server { return s.run.servers[s.randomInt(len(s.run.servers))] }

// isLastOfService reports whether no other server of the service is running. Such a server must not go down, so that the
// service stays available.
func (s *scheduler) isLastOfService(target *server) bool {
	return !slices.ContainsFunc(s.run.servers, func(other *server) bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		return other != target && other.service == target.service && other.running && !other.leaving
	})
}

func (s *scheduler) crash(ctx context.Context, duration time.Duration) {
	target := s.randomServer()
	if s.isLastOfService(target) {
		return
	}
	defer s.run.checker.beginTrouble("crash of "+target.name, target.ip, false)()
	target.crash()
	sleep(ctx, duration)
	s.restartServer(target)
}

// restartServer starts the server's next incarnation without models at the same address, unless a concurrent trouble at the
// same server has started it.
func (s *scheduler) restartServer(target *server) {
	for range 50 {
		if err := target.start(); err == nil || target.isRunning() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.run.checker.violate("SOAK", "%s could not be restarted", target.name)
}

func (s *scheduler) leave(ctx context.Context) {
	target := s.randomServer()
	target.mu.Lock()
	busy := !target.running || target.leaving
	target.mu.Unlock()
	if busy || s.isLastOfService(target) {
		return
	}
	s.run.checker.tracef("%s is leaving", target.name)
	target.leave(ctx, s.randomInt(2) == 0)
	sleep(ctx, time.Second)
	s.restartServer(target)
}

func (s *scheduler) serversMisbehave(ctx context.Context, duration time.Duration) {
	set := func(share float64) {
		for _, target := range s.run.servers {
			target.mu.Lock()
			target.faultShare = share
			target.mu.Unlock()
		}
	}
	s.run.checker.tracef("servers misbehave")
	set(misbehaveFaultShare)
	sleep(ctx, duration)
	set(0)
}

func (s *scheduler) resendAnnouncements(ctx context.Context, duration time.Duration) {
	s.run.checker.tracef("late announcements are sent again")
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		s.randomServer().resendAnnouncement()
		sleep(ctx, 100*time.Millisecond)
	}
}

func (s *scheduler) callersMisbehave(ctx context.Context, duration time.Duration) {
	s.run.checker.tracef("callers misbehave")
	s.run.callersMisbehave.Store(true)
	sleep(ctx, duration)
	s.run.callersMisbehave.Store(false)
}

func (s *scheduler) frequentChanges(ctx context.Context, duration time.Duration) {
	s.run.checker.tracef("operators send changes in quick succession")
	s.run.maxChangePause.Store(int64(hurriedChangePause))
	sleep(ctx, duration)
	s.run.maxChangePause.Store(int64(ordinaryChangePause))
}
