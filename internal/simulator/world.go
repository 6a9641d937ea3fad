// Package simulator runs the state machines of all programs in virtual time. Each run is
// deterministic for a given seed and simulates a faulty network, faulty disks and drifting clocks,
// while checkers compare what callers, servers, the model store, the platform and operators observe
// against the system's guarantees.
package simulator

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"tidedeck/internal/agent"
	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/immutable"
	"tidedeck/internal/invariant"
	_ "tidedeck/internal/invariant/strict" // makes violated invariants fail the run
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
	"tidedeck/internal/standin"
)

// Options configures a World.
type Options struct {
	Seed            uint64
	Routers         int
	Servers         int
	Plan            []byte
	Trace           io.Writer
	Controller      controller.Options // limits and durations; New fills in the rest
	Router          router.Options
	ExtraLatency    clock.Span // mean extra latency between machines
	LossOdds        float64
	DuplicateOdds   float64
	RenewInterval   clock.Span // interval at which agents renew their sessions
	Room            int
	Slots           int
	StoreRate       float64 // bandwidth of the model store
	Tenants         int     // number of tenants among callers; 0 uses the request generator's default
	MixedServers    bool    // servers differ in memory, slots and speed
	PrefillBytes    int     // prompt bytes that a server prefills per step
	ClockRateSpread float64 // maximum difference between the clock rates of two machines
	Core            *Deployment
	Hosted          *Hosted         // if set, servers announce themselves and do not check fencing numbers
	Narrow          *ResourceLimits // if set, limits link bandwidth and processing speed
}

// event is a step scheduled for a point in virtual time; seq orders events of the same time.
type event struct {
	at  clock.Instant
	seq uint64
	do  func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

type processCore interface {
	Step(now clock.Instant, in any) []any
}

// proc is a process. Processes on the same machine share its clock.
type proc struct {
	name         string
	machine      string // machine that the process runs on
	zone         ident.Zone
	tickInterval clock.Span
	core         processCore
	up           bool
	incarnation  int
	frozenUntil  clock.Instant
	busyUntil    clock.Instant // end of the time spent applying a configuration, where processing speed is limited
	plansApplied uint64        // number of plans applied
	clockOffset  clock.Instant
	clockRate    float64
	wallOffset   time.Duration // error of the machine's wall clock
	disk         *simulatedDisk
	newCore      func() processCore
	nameDigest   uint64 // hash of the name, mixed into the trace hash
	server       ident.Server
	draining     bool // the platform sends it no new callers because a planned stop is under way
}

func (p *proc) localTime(now clock.Instant) clock.Instant {
	return p.clockOffset + clock.Instant(float64(now)*p.clockRate)
}

// simulatedDisk keeps synced writes. A process that is killed loses the writes that are not yet synced.
type simulatedDisk struct {
	synced       map[string][]byte
	syncDelay    clock.Span
	stalledUntil clock.Instant
	lastSync     clock.Instant
}

// observedInterval is the interval between outputs of processes that are checked for later modifications.
const observedInterval = 16

// World is the state of one simulation run.
type World struct {
	options       Options
	now           clock.Instant
	seq           uint64
	queue         eventQueue
	rand          *rand.Rand
	procs         map[string]*proc
	procNames     []string
	cuts          map[[2]string]bool // blocked directions, as [from, to] machine names
	platform      *standin.Platform
	platformUp    bool
	store         *standin.Store
	pendingAsks   map[askKey]func(ok bool, code int, body []byte)
	pendingPulls  map[uint64]func()
	lastPull      uint64
	pullOrigins   map[uint64]askKey
	attempts      map[attemptKey]*attempt
	lastToken     uint64
	hash          uint64
	handedOut     immutable.Checker        // outputs of all processes
	messageCounts map[string]int           // messages between machines by kind
	linkBusyUntil map[string]clock.Instant // time until which each link is occupied, where bandwidth is limited
	Check         *Checker
	plan          *fleetplan.Plan
	pendingAdmin  map[uint64]func(controller.Receipt)
	lastAdmin     uint64
	hosted        *hosting
	core          *coreFleet
	disruptions   disruptions
	// SendLagOdds is the probability of a pause of up to SendLag between a router's last check and the send.
	SendLagOdds float64
	SendLag     clock.Span
	// ReplyLossOdds is the probability that the reply to an operator is lost.
	ReplyLossOdds float64
	// Seeds, if set, overrides the seed addresses of processes that start from now on.
	Seeds []string
	// MangleOdds is the probability that a server's event arrives malformed, twice or not at all, or names
	// another server or attempt.
	MangleOdds float64
	// AlterReport, if set, alters the reports that servers send.
	AlterReport func(r protocol.ServerReport) protocol.ServerReport
	// AlterServerList, if set, alters the server list that the platform returns.
	AlterServerList func(l []protocol.ListedServer) []protocol.ListedServer
	// CallerRepeatOdds is the probability that a caller repeats an interrupted request under the same ID.
	CallerRepeatOdds float64
	// ResetOdds is the probability that a connection breaks before the first event.
	ResetOdds float64
	// DialOdds is the probability that opening a connection takes up to DialDelay longer.
	DialOdds  float64
	DialDelay clock.Span
}

// askKey identifies an outstanding HTTP request of a process.
type askKey struct {
	process     string
	incarnation int
	token       uint64
}

// attemptKey identifies an attempt at a server.
type attemptKey struct {
	server      string
	incarnation int
	token       uint64
}

// attempt is one attempt of a request, sent by a router to a server.
type attempt struct {
	router      *proc
	incarnation int
	launch      router.Launch
	call        *call
	eventCount  int
	lastArrival clock.Instant
	arrivedAt   clock.Instant
	acceptedAt  clock.Instant // when the server accepted the connection
	closed      bool
	mangled     bool // one of its events was altered by fault injection
}

// call is a request from its caller's point of view.
type call struct {
	ask          standin.Request
	router       string
	askedAt      clock.Instant
	eventCount   int
	server       ident.Server
	runID        string
	finished     bool
	outcome      string
	sends        int
	launches     int
	unreached    map[string]int // failed connections by server address
	firstSentAt  clock.Instant  // when the first attempt was sent
	runs         int
	heldBack     bool // the router withheld the last attempt, which reached no server
	callerRepeat bool // the caller's repeat of an interrupted request
	repeat       bool
	ref          router.Ref
}

// New returns a world of core nodes, routers with their agents, servers, a model store and a platform,
// and starts all processes.
func New(o Options) *World {
	generic.SetDefault(&o.Room, 80)
	generic.SetDefault(&o.StoreRate, 60)
	generic.SetDefault(&o.Slots, 16)
	generic.SetDefault(&o.ClockRateSpread, 0.016)
	w := &World{options: o, rand: rand.New(rand.NewPCG(o.Seed, 99)), procs: map[string]*proc{}, cuts: map[[2]string]bool{},
		pendingAsks: map[askKey]func(bool, int, []byte){}, pendingPulls: map[uint64]func(){}, pullOrigins: map[uint64]askKey{}, messageCounts: map[string]int{}, linkBusyUntil: map[string]clock.Instant{}, attempts: map[attemptKey]*attempt{}, handedOut: immutable.Checker{Every: observedInterval}, pendingAdmin: map[uint64]func(controller.Receipt){}, platformUp: true}
	w.plan, _ = w.parsePlan(o.Plan)
	w.Check = newChecker(w)
	w.disruptions = newDisruptions()
	loads := 2
	if w.plan != nil {
		loads = w.plan.ConcurrentLoads
	}
	w.store = standin.NewStore(o.StoreRate, loads)
	zones := []ident.Zone{"za", "zb", "zc"}
	seeds := w.seeds()
	if o.Core != nil {
		w.addCoreNodes(o.Core)
	} else {
		for i := range 3 {
			w.addController(fmt.Sprintf("controller-%d", i+1), zones[i], seeds)
		}
	}
	var list []protocol.ListedServer
	if o.Hosted != nil {
		w.hosted = newHosting(w)
		o.Servers = 0
	}
	for i := range o.Servers {
		n := fmt.Sprintf("server-%d", i+1)
		z := zones[i%3]
		list = append(list, protocol.ListedServer{ID: ident.Server(n), Addr: n, Zone: z, State: "live"})
		w.addServer(n, z)
	}
	w.platform = standin.NewPlatform(list...)
	for i := range o.Routers {
		w.addRouter(fmt.Sprint(i+1), zones[i%3])
	}
	w.addProcess(&proc{name: "store", machine: "store", tickInterval: 10e6, clockRate: 1, newCore: func() processCore { return w.store }})
	for _, n := range append([]string{}, w.procNames...) {
		w.Start(n)
	}
	w.After(100e6, w.checkPeriodically)
	return w
}

// addRouter adds a router and its agent, on the same machine.
func (w *World) addRouter(suffix string, z ident.Zone) {
	box := "router-" + suffix
	agentName, routerName := "agent-"+suffix, "router-"+suffix
	offset, rate := w.randomClock()
	w.addProcess(&proc{name: agentName, machine: box, zone: z, tickInterval: 20e6, clockOffset: offset, clockRate: rate, newCore: func() processCore {
		return agent.New(agent.Options{Self: protocol.Peer{ID: ident.Node(agentName), Addr: agentName}, Zone: z, Inc: w.incarnation(agentName), Life: ident.Incarnation(w.now) + 1, Seeds: w.seeds(),
			Router: protocol.Peer{ID: ident.Node(routerName), Addr: routerName}, Rand: w.randomFor(agentName), RenewInterval: w.options.RenewInterval})
	}})
	w.addProcess(&proc{name: routerName, machine: box, zone: z, tickInterval: 20e6, clockOffset: offset, clockRate: rate, newCore: func() processCore {
		options := w.options.Router
		if w.hosted != nil {
			w.hosted.setRouterOptions(&options, z)
		}
		options.Self, options.Agent, options.Inc = protocol.Peer{ID: ident.Node(routerName), Addr: routerName}, protocol.Peer{ID: ident.Node(agentName), Addr: agentName}, w.incarnation(routerName)
		options.Restarted = w.hosted != nil && w.now > 0
		return router.New(options)
	}})
}

func (w *World) seeds() (l []protocol.Peer) {
	for _, n := range w.Seeds {
		l = append(l, protocol.Peer{Addr: n})
	}
	if l != nil {
		return l
	}
	for i := range 3 {
		l = append(l, protocol.Peer{Addr: fmt.Sprintf("controller-%d", i+1)})
	}
	return l
}

// randomClock returns a random clock offset and rate.
func (w *World) randomClock() (clock.Instant, float64) {
	return clock.Instant(w.rand.Int64N(1e15)), 1 + (w.rand.Float64()-0.5)*w.options.ClockRateSpread
}

// randomFor returns the random source of a process for its current incarnation.
func (w *World) randomFor(name string) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, name, w.procs[name].incarnation)
	return rand.New(rand.NewPCG(w.options.Seed, h.Sum64()))
}

// incarnation returns the incarnation number of a process. Later incarnations get higher numbers.
func (w *World) incarnation(name string) ident.Incarnation {
	// Derived from the wall clock, as in production; the clock may have been set back.
	at := uint64(int64(w.now) + int64(w.procs[name].wallOffset) + 4e12)
	return ident.Incarnation(at>>10<<10+uint64(len(w.procNames)*64)) + ident.Incarnation(w.procs[name].incarnation) + 1
}

func (w *World) addController(name string, z ident.Zone, seeds []protocol.Peer) {
	offset, rate := w.randomClock()
	w.addProcess(&proc{name: name, machine: name, zone: z, tickInterval: 20e6, clockOffset: offset, clockRate: rate, disk: &simulatedDisk{synced: map[string][]byte{}, syncDelay: 2e6}, newCore: func() processCore {
		options := w.options.Controller
		options.Self, options.Zone, options.Inc, options.Seeds, options.Platform, options.Rand = protocol.Peer{ID: ident.Node(name), Addr: name}, z, w.incarnation(name), seeds, "platform", w.randomFor(name)
		if w.options.Hosted != nil {
			w.options.Hosted.setControllerOptions(&options, w.procs[name].incarnation > 1 || w.now > 1e9)
		}
		if w.options.Core != nil {
			w.options.Core.setControllerOptions(&options, w.options.Hosted.Timing)
		}
		options.WallClock = func() time.Time { return simulationStart.Add(time.Duration(w.now) + w.procs[name].wallOffset) }
		return controller.New(options)
	}})
}

func (w *World) addServer(name string, z ident.Zone) {
	offset, rate := w.randomClock()
	w.addProcess(&proc{name: name, machine: name, zone: z, tickInterval: 20e6, clockOffset: offset, clockRate: rate, server: ident.Server(name), newCore: func() processCore {
		s := standin.ServerOptions{ID: ident.Server(name), Inc: w.incarnation(name), Room: w.room(name), Slots: w.options.Slots, Store: "store", Fill: w.options.PrefillBytes}
		if w.options.MixedServers {
			s.Slots, s.Step = w.options.Slots*w.sizeQuarters(name)/4, 80e6/clock.Span(w.sizeQuarters(name))
		}
		return standin.NewServer(s)
	}})
}

// sizeQuarters returns a server's size and speed in quarters of the standard server, for worlds that mix server
// generations.
func (w *World) sizeQuarters(name string) int { return 2 + 2*(int(name[len(name)-1])%3) }

func (w *World) room(name string) int {
	if w.options.MixedServers {
		return w.options.Room * (5 + w.sizeQuarters(name)) / 9
	}
	return w.options.Room
}

func (w *World) addProcess(p *proc) {
	h := fnv.New64a()
	fmt.Fprint(h, p.name)
	p.nameDigest = h.Sum64()
	w.procs[p.name] = p
	w.procNames = append(w.procNames, p.name)
}

// At schedules do for time t, or for now if t has passed.
func (w *World) At(t clock.Instant, do func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, do})
}

// After schedules do to run after a delay.
func (w *World) After(s clock.Span, do func()) { w.At(w.now.Add(s), do) }

// Run processes all events up to the given time since the start.
func (w *World) Run(until clock.Span) {
	for len(w.queue) > 0 && w.queue[0].at <= clock.Instant(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = clock.Instant(until)
}

func (w *World) tracef(form string, a ...any) {
	s := fmt.Sprintf(form, a...)
	h := fnv.New64a()
	fmt.Fprint(h, w.hash, w.now, s)
	w.hash = h.Sum64()
	if w.options.Trace != nil {
		fmt.Fprintf(w.options.Trace, "%10.4f %s\n", float64(w.now)/1e9, s)
	}
}

// Hash returns a hash of the whole trace. Runs with the same seed and options have the same hash.
func (w *World) Hash() uint64 { return w.hash }

// Start starts a new incarnation of a process, unless it is running.
func (w *World) Start(name string) {
	p := w.procs[name]
	if p.up {
		return
	}
	p.up, p.frozenUntil, p.busyUntil, p.plansApplied, p.draining = true, 0, 0, 0, false
	p.incarnation++
	p.core = p.newCore()
	w.tracef("start %s", name)
	w.noteCoreStart(name)
	w.noteTrouble(p.machine)
	incarnation := p.incarnation
	if p.disk != nil {
		m := map[string][]byte{}
		for k, v := range p.disk.synced {
			m[k] = v
		}
		w.After(1e6, func() { w.step(p, incarnation, protocol.Start{Disk: m}) })
	}
	var runTimer func()
	runTimer = func() {
		if !p.up || p.incarnation != incarnation {
			return
		}
		if until := max(p.frozenUntil, p.busyUntil); w.now < until {
			w.At(until, runTimer)
			return
		}
		w.step(p, incarnation, protocol.TimerTick{})
		w.After(p.tickInterval, runTimer)
	}
	w.After(clock.Span(w.rand.Int64N(int64(p.tickInterval))), runTimer)
}

// Kill ends a process at once. Writes that its disk has not synced are lost.
func (w *World) Kill(name string) {
	p := w.procs[name]
	if !p.up {
		return
	}
	w.tracef("kill %s", name)
	w.noteCoreStop(name)
	w.noteTrouble(p.machine)
	p.up = false
	if _, ok := p.core.(*router.Core); ok {
		w.Check.routerStopped(name)
	}
	for k := range w.pendingAsks {
		if k.process == name {
			delete(w.pendingAsks, k)
		}
	}
	if p.server != "" {
		w.After(w.delay(), func() { w.endPulls(name, p.incarnation) })
	}
	for _, k := range w.sortedAttemptKeys() {
		f := w.attempts[k]
		if k.server == name && k.incarnation == p.incarnation {
			delete(w.attempts, k)
			if !f.closed {
				f.closed = true
				w.After(w.delay(), func() { w.endAttempt(f, router.Lost, "") })
			}
		}
		if f.router == p {
			delete(w.attempts, k)
			f.closed = true
			if s := w.procs[k.server]; s.up && s.incarnation == k.incarnation {
				w.step(s, s.incarnation, standin.WorkQuit{Token: k.token})
			}
		}
	}
}

// endPulls cancels the store downloads of a stopped server, as the loss of its connections does.
func (w *World) endPulls(name string, incarnation int) {
	st := w.procs["store"]
	for t := uint64(1); t <= w.lastPull; t++ {
		if k, ok := w.pullOrigins[t]; ok && k.process == name && k.incarnation <= incarnation && w.pendingPulls[t] != nil {
			delete(w.pendingPulls, t)
			w.step(st, st.incarnation, standin.PullQuit{Token: t})
		}
	}
}

func (w *World) sortedAttemptKeys() []attemptKey {
	l := make([]attemptKey, 0, len(w.attempts))
	for k := range w.attempts {
		l = append(l, k)
	}
	sort.Slice(l, func(i, j int) bool {
		return l[i].server < l[j].server || l[i].server == l[j].server && (l[i].incarnation < l[j].incarnation || l[i].incarnation == l[j].incarnation && l[i].token < l[j].token)
	})
	return l
}

// Stop ends a process as planned: the process is notified 100 ms before it is killed.
func (w *World) Stop(name string) {
	p := w.procs[name]
	w.step(p, p.incarnation, protocol.Stop{})
	w.After(100e6, func() { w.Kill(name) })
}

// Drain restarts a router as planned: it gets no new callers and stops once its requests have ended.
func (w *World) Drain(name string) {
	p := w.procs[name]
	if !p.up || p.draining {
		return
	}
	p.draining = true
	w.tracef("drain %s", name)
	incarnation := p.incarnation
	var poll func()
	poll = func() {
		if !p.up || p.incarnation != incarnation {
			return
		}
		for _, c := range w.Check.calls {
			if c.router == name && !c.finished {
				w.After(50e6, poll)
				return
			}
		}
		w.Kill(name)
		w.After(300e6, func() { w.Start(name) })
	}
	w.After(50e6, poll)
}

// Restart kills a process and starts it again after a delay.
func (w *World) Restart(name string, after clock.Span) {
	w.Kill(name)
	w.After(after, func() { w.Start(name) })
}

// Freeze suspends a process for a while. Inputs that arrive meanwhile wait until it resumes.
func (w *World) Freeze(name string, s clock.Span) {
	w.tracef("freeze %s %v", name, s)
	w.procs[name].frozenUntil = w.now.Add(s)
	w.noteFreeze(w.procs[name].machine, w.now.Add(s))
}

// Wipe erases a node's disk.
func (w *World) Wipe(name string) {
	w.tracef("wipe %s", name)
	w.procs[name].disk.synced = map[string][]byte{}
}

// Cut blocks traffic from machine a to machine b, and back if both is set, until Heal.
func (w *World) Cut(a, b string, both bool) {
	w.tracef("cut %s %s %v", a, b, both)
	w.cuts[[2]string{a, b}] = true
	if both {
		w.cuts[[2]string{b, a}] = true
	}
	w.noteLinkTrouble(a, b)
}

// Partition separates a set of machines from all others until Heal.
func (w *World) Partition(set map[string]bool) {
	for _, a := range w.machineNames() {
		for _, b := range w.machineNames() {
			if set[a] != set[b] {
				w.cuts[[2]string{a, b}] = true
				w.noteLinkTrouble(a, b)
			}
		}
	}
	w.tracef("part %v", len(set))
}

// Heal removes all cuts and partitions.
func (w *World) Heal() {
	w.tracef("heal")
	for c := range w.cuts {
		w.noteLinkTrouble(c[0], c[1])
	}
	w.cuts = map[[2]string]bool{}
}

func (w *World) machineNames() []string {
	seen := map[string]bool{"platform": true}
	l := []string{"platform"}
	for _, n := range w.procNames {
		if b := w.procs[n].machine; !seen[b] {
			seen[b] = true
			l = append(l, b)
		}
	}
	return l
}

// isCut reports whether traffic from one machine to another is blocked.
func (w *World) isCut(from, to string) bool { return w.cuts[[2]string{from, to}] }

func (w *World) delay() clock.Span {
	d := clock.Span(100e3 + w.rand.Int64N(900e3))
	if w.options.ExtraLatency > 0 {
		d += w.options.ExtraLatency/2 + clock.Span(w.rand.Int64N(int64(w.options.ExtraLatency)))
	}
	if w.rand.IntN(200) == 0 {
		d += clock.Span(w.rand.Int64N(40e6))
	}
	return d
}

// step passes an input to a process, or defers it while the process is frozen or busy.
func (w *World) step(p *proc, incarnation int, in any) {
	if !p.up || p.incarnation != incarnation {
		return
	}
	if until := max(p.frozenUntil, p.busyUntil); w.now < until {
		w.At(until, func() { w.step(p, incarnation, in) })
		return
	}
	outs := w.stepCore(p, in)
	if err := w.handedOut.Observe(p.name, outs); err != nil {
		w.Check.violationf("%v", err)
	}
	w.chargeParseTime(p, in)
	w.hash = (w.hash ^ uint64(w.now) ^ p.nameDigest ^ uint64(len(outs))<<56) * 1099511628211
	for _, o := range outs {
		w.handleOutput(p, o)
	}
}

// stepCore passes an input to a process's state machine and records a violated invariant as a failure.
func (w *World) stepCore(p *proc, in any) []any {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case invariant.Violation:
			w.Check.violationf("%s: %v", p.name, v)
		default:
			panic(v)
		}
	}()
	return p.core.Step(p.localTime(w.now), in)
}

// handleOutput carries out one output of a process's state machine.
func (w *World) handleOutput(p *proc, o any) {
	switch v := o.(type) {
	case protocol.Envelope:
		w.send(p, v)
	case protocol.Save:
		w.save(p, v)
	case protocol.Compute:
		v.Run()
		incarnation := p.incarnation
		w.At(w.now, func() { w.step(p, incarnation, protocol.Computed{Token: v.Token}) })
	case protocol.HTTPRequest:
		w.ask(p, v)
	case router.Launch:
		w.launch(p, v)
	case router.Refusal:
		w.Check.checkReceipt(p.name, v)
	case controller.Announced:
		w.hosted.announcementAnswered(p, v)
	case standin.LoadDone:
		w.hosted.noteLoaded(p, v)
	case standin.WorkDrop, standin.Event, standin.OrderOut:
		w.deliverOutput(p, o)
	case standin.PullOut:
		if f := w.pendingPulls[v.Token]; f != nil {
			delete(w.pendingPulls, v.Token)
			f()
		}
	case controller.Receipt:
		if f := w.pendingAdmin[v.Token]; f != nil {
			delete(w.pendingAdmin, v.Token)
			if w.ReplyLossOdds > 0 && w.rand.Float64() < w.ReplyLossOdds {
				w.tracef("%s: a reply to an operator is lost", p.name)
				return
			}
			w.After(w.delay(), func() { f(v) })
		}
	case protocol.LogLine:
		w.tracef("%s: %s%s", p.name, v.Text, formatFields(v))
		if v.Text == "voter set changed" {
			w.Check.Stats.VoterChanges++
		}
		if strings.Contains(v.Text, " moves from ") {
			w.Check.Stats.Moves++
		}
	case protocol.ErrorReport:
		w.tracef("%s: error: %s", p.name, v.Text)
	}
}

func (w *World) send(p *proc, e protocol.Envelope) {
	to := w.procs[e.NextHop().Addr]
	if to == nil {
		return
	}
	local := p.machine == to.machine
	if !local {
		w.messageCounts[protocol.Kind(e.Body)]++
		if w.isCut(p.machine, to.machine) || w.rand.Float64() < w.options.LossOdds {
			return
		}
		if w.rand.Float64() < w.options.DuplicateOdds {
			w.After(w.delay()+clock.Span(w.rand.Int64N(300e6)), func() { w.step(to, to.incarnation, e) })
		}
	}
	d := w.delay() + w.regionDelay(p.machine, to.machine)
	if local {
		d = 50e3
	} else {
		d += w.transmissionDelay(p, to, e)
	}
	w.After(d, func() { w.step(to, to.incarnation, e) })
}

func (w *World) save(p *proc, s protocol.Save) {
	d := p.disk
	at := max(w.now.Add(d.syncDelay/2+clock.Span(w.rand.Int64N(int64(d.syncDelay)))), d.lastSync, d.stalledUntil)
	d.lastSync = at
	incarnation := p.incarnation
	w.At(at, func() {
		if !p.up || p.incarnation != incarnation {
			return // the process ended before the sync
		}
		for k, v := range s.Puts {
			d.synced[k] = v
		}
		w.step(p, incarnation, protocol.Saved{Token: s.Token})
	})
}

func (w *World) ask(p *proc, a protocol.HTTPRequest) {
	k := askKey{p.name, p.incarnation, a.Token}
	answer := func(ok bool, code int, b []byte) {
		f := w.pendingAsks[k]
		if f == nil {
			return
		}
		f(ok, code, b)
	}
	incarnation := p.incarnation
	w.pendingAsks[k] = func(ok bool, code int, b []byte) {
		delete(w.pendingAsks, k)
		w.step(p, incarnation, protocol.HTTPResult{Token: a.Token, OK: ok, Code: code, Body: b})
	}
	w.After(a.Timeout, func() { answer(false, 0, nil) })
	if w.hosted != nil {
		w.hosted.deliverAsk(p, a, answer)
		return
	}
	box := a.Addr
	blocked := func(from, to string) bool { return w.cuts[[2]string{from, to}] }
	if blocked(p.machine, box) {
		return
	}
	respond := func(b []byte) {
		if blocked(box, p.machine) {
			return
		}
		w.After(w.delay(), func() { answer(true, 200, b) })
	}
	d := w.delay()
	if w.rand.Float64() < w.options.LossOdds {
		d += clock.Span(w.rand.Int64N(2e9)) // arrives late, perhaps after the sender has given up
	}
	w.After(d, func() {
		switch a.Path {
		case "/servers":
			if w.platformUp {
				l := w.platform.List()
				if w.AlterServerList != nil {
					l = w.AlterServerList(l)
				}
				b, _ := json.Marshal(l)
				respond(b)
			}
		case "/pull":
			w.lastPull++
			t := w.lastPull
			w.pendingPulls[t] = func() { respond([]byte("{}")) }
			w.pullOrigins[t] = askKey{p.name, incarnation, a.Token}
			st := w.procs["store"]
			w.step(st, st.incarnation, standin.PullIn{Token: t, Pull: a.Body.(standin.Pull)})
		case "/orders":
			s := w.procs[a.Addr]
			if s == nil || !s.up {
				w.After(w.delay(), func() { answer(false, 0, nil) })
				return
			}
			w.deliverOrder(s, s.incarnation, a.Body.(protocol.Order), p.name, respond)
		}
	})
}

// deliverOrder delivers an order to a server, which answers at once unless it is frozen.
func (w *World) deliverOrder(s *proc, incarnation int, o protocol.Order, from string, respond func([]byte)) {
	if !s.up || s.incarnation != incarnation {
		return
	}
	if w.now < s.frozenUntil {
		w.At(s.frozenUntil, func() { w.deliverOrder(s, incarnation, o, from, respond) })
		return
	}
	v := s.core.(*standin.Server)
	heldBefore := v.Held()
	for _, x := range v.Step(s.localTime(w.now), standin.OrderIn{Order: o}) {
		if r, ok := x.(standin.OrderOut); ok {
			w.Check.checkOrder(s, o, from, r.Report, heldBefore)
			if w.AlterReport != nil {
				r.Report = w.AlterReport(r.Report)
			}
			b, _ := json.Marshal(r.Report)
			respond(b)
			continue
		}
		w.handleOutput(s, x)
	}
}

// Ask sends a caller's request to a random available router, as the platform's load balancer does.
func (w *World) Ask(a standin.Request, repeat bool) {
	var l []*proc
	for _, n := range w.procNames {
		p := w.procs[n]
		if _, ok := p.core.(*router.Core); ok && p.up && !p.draining && w.now >= p.frozenUntil && !w.cuts[[2]string{"platform", p.machine}] {
			l = append(l, p)
		}
	}
	c := &call{ask: a, askedAt: w.now, repeat: repeat}
	w.Check.addCall(c)
	if len(l) == 0 {
		c.finished, c.outcome = true, "no router"
		return
	}
	p := l[w.rand.IntN(len(l))]
	w.lastToken++
	ref := router.Ref(w.lastToken)
	c.router, c.ref = p.name, ref
	w.Check.openCalls[ref] = c
	w.step(p, p.incarnation, router.Call{Ref: ref, Route: a.Route, Request: a.Call})
}

func (w *World) launch(p *proc, v router.Launch) {
	c := w.Check.openCalls[v.Ref]
	f := &attempt{router: p, incarnation: p.incarnation, launch: v, call: c}
	w.Check.countLaunch(c)
	s := w.procAt(v.Addr)
	if s == nil || w.cuts[[2]string{p.machine, s.machine}] || w.cuts[[2]string{s.machine, p.machine}] {
		w.After(500e6, func() { w.endAttempt(f, router.Unsent, "") })
		return
	}
	d := w.delay()
	if w.DialOdds > 0 && w.rand.Float64() < w.DialOdds {
		d += clock.Span(w.rand.Int64N(int64(w.DialDelay)))
	}
	w.After(d, func() {
		if !s.up {
			w.endAttempt(f, router.Unsent, "")
			return
		}
		f.acceptedAt = w.now
		w.sendAttempt(f, s, s.incarnation)
	})
}

// sendAttempt runs when the connection is open: the router checks once more whether it may send, and then sends.
func (w *World) sendAttempt(f *attempt, s *proc, incarnation int) {
	p := f.router
	if !p.up || p.incarnation != f.incarnation {
		return
	}
	if w.now < p.frozenUntil {
		w.At(p.frozenUntil, func() { w.sendAttempt(f, s, incarnation) })
		return
	}
	if !p.core.(*router.Core).MaySend(p.localTime(w.now), f.launch.Ref, f.launch.N) {
		f.call.heldBack = true
		w.endAttempt(f, router.Kept, "")
		return
	}
	w.Check.checkSent(f, s)
	d := w.delay()
	if w.SendLagOdds > 0 && w.rand.Float64() < w.SendLagOdds {
		d += clock.Span(w.rand.Int64N(int64(w.SendLag)))
	}
	w.After(d, func() { w.deliverAttempt(f, s, incarnation) })
}

// deliverAttempt delivers an attempt to its server.
func (w *World) deliverAttempt(f *attempt, s *proc, incarnation int) {
	if !f.router.up || f.router.incarnation != f.incarnation {
		return
	}
	if !s.up || s.incarnation != incarnation {
		w.After(w.delay(), func() { w.endAttempt(f, router.Lost, "") })
		return
	}
	if w.cuts[[2]string{f.router.machine, s.machine}] {
		w.After(10e9, func() { w.endAttempt(f, router.Lost, "") })
		return
	}
	if w.now < s.frozenUntil {
		w.At(s.frozenUntil, func() { w.deliverAttempt(f, s, incarnation) })
		return
	}
	w.lastToken++
	k := attemptKey{s.name, s.incarnation, w.lastToken}
	w.attempts[k] = f
	f.lastArrival, f.arrivedAt = w.now, w.now
	w.watchIdle(f, w.now)
	worksBefore := s.core.(workCounter).Counts().Works
	if w.hosted != nil && f.launch.Server != s.server { // addressed to another server, so this one refuses it
		f.closed = true
		delete(w.attempts, k)
		w.After(w.delay(), func() { w.endAttempt(f, router.Dropped, failure.Mismatch) })
		return
	}
	w.step(s, s.incarnation, standin.WorkIn{Token: k.token, Work: f.launch.Work, Since: s.localTime(f.acceptedAt)})
	if w.hosted != nil {
		w.Check.checkReached(f, s)
	}
	if s.core.(workCounter).Counts().Works > worksBefore {
		w.Check.checkRun(f, s)
		if w.ResetOdds > 0 && w.rand.Float64() < w.ResetOdds {
			f.closed = true
			delete(w.attempts, k)
			w.step(s, s.incarnation, standin.WorkQuit{Token: k.token})
			w.After(w.delay(), func() { w.endAttempt(f, router.Lost, "") })
		}
	}
}

// watchIdle ends a stream that has been silent for 10 s, as the router's I/O layer does.
func (w *World) watchIdle(f *attempt, at clock.Instant) {
	w.At(at.Add(10e9), func() {
		if f.closed || f.call == nil || f.call.finished {
			return
		}
		if f.lastArrival > at {
			w.watchIdle(f, f.lastArrival)
			return
		}
		f.closed = true
		w.endAttempt(f, router.Lost, "")
	})
}

// endAttempt reports the end of an attempt to its router.
func (w *World) endAttempt(f *attempt, how router.Outcome, k failure.Kind) {
	if how == router.Unsent && f.call != nil {
		if f.call.unreached == nil {
			f.call.unreached = map[string]int{}
		}
		f.call.unreached[f.launch.Addr]++
	}
	w.step(f.router, f.incarnation, router.Ended{Ref: f.launch.Ref, N: f.launch.N, Outcome: how, Kind: k})
}

// deliverOutput carries a server's answer back to the router.
func (w *World) deliverOutput(s *proc, o any) {
	var t uint64
	switch v := o.(type) {
	case standin.WorkDrop:
		t = v.Token
	case standin.Event:
		t = v.Token
	}
	k := attemptKey{s.name, s.incarnation, t}
	f := w.attempts[k]
	if f == nil || f.closed {
		return
	}
	if w.cuts[[2]string{s.machine, f.router.machine}] {
		f.closed = true // the stream is broken, which the router detects only by a timeout
		delete(w.attempts, k)
		w.After(10e9, func() { w.endAttempt(f, router.Lost, "") })
		return
	}
	at := max(w.now.Add(w.delay()), f.lastArrival)
	f.lastArrival = at
	switch v := o.(type) {
	case standin.WorkDrop:
		delete(w.attempts, k)
		w.At(at, func() { w.endAttempt(f, router.Dropped, v.Kind) })
	case standin.Event:
		if v.Done {
			delete(w.attempts, k)
		}
		w.At(at, func() { w.deliverEvent(f, v) })
	}
}

// deliverEvent delivers one event of an answer to the router, altered if fault injection says so.
func (w *World) deliverEvent(f *attempt, v standin.Event) {
	p := f.router
	if !p.up || p.incarnation != f.incarnation || f.closed {
		return
	}
	if w.now < p.frozenUntil {
		w.At(p.frozenUntil, func() { w.deliverEvent(f, v) })
		return
	}
	if w.MangleOdds > 0 && !f.mangled && w.rand.Float64() < w.MangleOdds {
		f.mangled = true // at most once per attempt: two alterations could cancel out, so that the event number fits again
		switch w.rand.IntN(6) {
		case 0:
			return // lost
		case 1:
			w.After(1e6, func() { w.deliverEvent(f, v) }) // delivered twice
		case 2:
			v.N += w.rand.IntN(3) - 1
		case 3:
			v.Go = "router-1-9-9-9"
		case 4:
			v.Server = ident.Server(w.randomNode("server-"))
		case 5:
			v.Go, v.Text, v.Done = "", "", w.rand.IntN(2) == 0 // not JSON, or of another attempt
		}
	}
	x := router.StreamEvent{N: v.N, Go: v.Go, Server: v.Server, Done: v.Done}
	if !x.IsNext(f.launch, f.eventCount) {
		f.closed = true
		w.endAttempt(f, router.Lost, "")
		return
	}
	if f.eventCount == 0 {
		w.step(p, p.incarnation, router.Begun{Ref: f.launch.Ref, N: f.launch.N})
	}
	f.eventCount++
	w.Check.checkEvent(f, v)
	if v.Done {
		f.closed = true
		w.endAttempt(f, router.Done, "")
		w.Check.finishCall(f)
	}
}

// Admin sends an operator's request to a core node. The outcome is Unclear if no reply arrives within 6 s.
func (w *World) Admin(node string, a controller.Admin, then func(controller.Receipt)) {
	w.lastAdmin++
	a.Token = w.lastAdmin
	done := false
	recordReply := w.recordOperation(node, a)
	finish := func(r controller.Receipt) {
		if !done {
			done = true
			recordReply(r)
			then(r)
		}
	}
	w.pendingAdmin[a.Token] = finish
	p := w.procs[node]
	w.After(6e9, func() {
		delete(w.pendingAdmin, a.Token)
		finish(controller.Receipt{Kind: failure.Unclear})
	})
	w.After(w.delay(), func() {
		if !p.up {
			finish(controller.Receipt{Kind: failure.NotReady, Why: "unreached"})
			return
		}
		w.step(p, p.incarnation, a)
	})
}

// Routers returns the running routers.
func (w *World) Routers() (l []*proc) {
	for _, n := range w.procNames {
		if strings.HasPrefix(n, "router-") && w.procs[n].up {
			l = append(l, w.procs[n])
		}
	}
	return l
}

// controllers returns the running core nodes.
func (w *World) controllers() (l []*proc) {
	for _, n := range w.procNames {
		if strings.HasPrefix(n, "controller-") && w.procs[n].up {
			l = append(l, w.procs[n])
		}
	}
	return l
}

// checkPeriodically runs the periodic checks 100 times per simulated second.
func (w *World) checkPeriodically() {
	w.Check.checkNow()
	w.After(10e6, w.checkPeriodically)
}

// formatFields formats the fields of a log line for the trace.
func formatFields(n protocol.LogLine) string {
	var b strings.Builder
	for _, f := range n.Fields {
		fmt.Fprintf(&b, " %s=%v", f.Name, f.Value)
	}
	return b.String()
}
