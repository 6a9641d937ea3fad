// Package simulator turns the real cores of every program through virtual time: from a seed,
// over a faulty network, on faulty disks and drifting clocks, with checkers that watch what
// callers, servers, the store, the platform and operators see.
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
	"tidedeck/internal/invariant"
	_ "tidedeck/internal/invariant/strict" // a run fails at a violated invariant
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
	"tidedeck/internal/standin"
)

// Options of a world.
type Options struct {
	Seed       uint64
	Routers    int
	Servers    int
	Plan       []byte
	Trace      io.Writer
	Controller controller.Options // guards and spans; the rest is filled in
	Router     router.Options
	Far        clock.Span // between machines, more or less
	Loss       float64
	Twice      float64
	RenewInterval       clock.Span // of agents
	Room       int
	Slots      int
	StoreRate       float64 // of the store
	Tenants    int     // of callers
	Mixed      bool    // servers differ in room, slots and speed
	PrefillBytes       int     // prompt bytes that a server's step can prefill
	Rates      float64 // how far the rates of any two machines' clocks may differ
	Core       *Deployment
	Hosted     *Hosted // servers announce themselves and check no fence, if set
	Narrow     *Narrow // what links carry and processes can do, if it is bounded
}

type event struct {
	at  clock.Tick
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
	Step(now clock.Tick, in any) []any
}

// proc is one process, on a machine with a clock of its own.
type proc struct {
	name   string
	box    string // its machine
	zone   ident.Zone
	tickInterval   clock.Span
	core   processCore
	up     bool
	life   int
	frozenUntil  clock.Tick
	busy   clock.Tick // with a configuration, where processes are slow
	plans  uint64     // that it has taken in
	clockOffset   clock.Tick
	clockRate   float64
	wall   time.Duration // how far its wall clock is off
	disk   *simulatedDisk
	newCore   func() processCore
	nameDigest   uint64 // digest of its name, for the trace's hash
	server ident.Server
	draining bool // no new callers come to it: it stops as planned
}

func (p *proc) tick(now clock.Tick) clock.Tick {
	return p.clockOffset + clock.Tick(float64(now)*p.clockRate)
}

// plate is a disk: what is synced stays, what is not goes with the power.
type simulatedDisk struct {
	safe  map[string][]byte
	late  clock.Span
	stall clock.Tick
	lastSync  clock.Tick
}

// World is one run.
type World struct {
	o      Options
	now    clock.Tick
	seq    uint64
	queue      eventQueue
	rand   *rand.Rand
	procs  map[string]*proc
	order  []string
	cuts   map[[2]string]bool // from machine, to machine
	plat   *standin.Platform
	platUp bool
	store  *standin.Store
	pendingAsks   map[askKey]func(ok bool, code int, body []byte)
	pendingPulls  map[uint64]func()
	lastPull   uint64
	pullOrigins map[uint64]askKey
	attempts  map[attemptKey]*attempt
	lastToken uint64
	hash   uint64
	messageCounts  map[string]int        // messages between machines, by kind
	links  map[string]clock.Tick // until when each link is taken, where links are narrow
	Check  *Checker
	plan   *fleetplan.Plan
	pendingAdmin map[uint64]func(controller.Receipt)
	admin  uint64
	host   *hosting
	core   *coreFleet
	disruptions   disruptions
	// Lag is a pause between a router's last check and the send, drawn with chance LagOdds.
	LagOdds float64
	Lag     clock.Span
	// ReplyLoss is the chance that an operator's reply gets lost on its way back.
	ReplyLoss float64
	// Seeds, if set, are the seeds of processes that start from now on.
	Seeds []string
	// Mangle is the chance that a server's event comes malformed, late, twice, not at all, or is another's.
	Mangle float64
	// Bend, if set, is what a server makes of its report.
	Bend func(r protocol.Report) protocol.Report
	// Lists, if set, is what the platform makes of its list when it is asked.
	Lists func(l []protocol.Listed) []protocol.Listed
	// Again is the chance that a caller whose request broke asks again under the same id.
	Again float64
	// ResetOdds is the chance that a connection breaks before the first event.
	ResetOdds float64
	// Dial is how long a connection may take to open, drawn with chance DialOdds.
	DialOdds float64
	Dial     clock.Span
}

type askKey struct {
	process   string
	life  int
	token uint64
}

type attemptKey struct {
	server string
	life   int
	token  uint64
}

// flow is one go on the wire.
type attempt struct {
	router *proc
	life   int
	launch      router.Launch
	call      *call
	eventCount      int
	lastArrival   clock.Tick
	arrivedAt   clock.Tick
	acceptedAt   clock.Tick // when the server accepted its connection
	closed   bool
	mangled   bool // one of its events was mangled
}

// call is one request as its caller sees it.
type call struct {
	ask    standin.Ask
	router string
	askedAt     clock.Tick
	eventCount      int
	server ident.Server
	runID    string
	finished   bool
	outcome   string
	sends  int
	launches  int
	unreached map[string]int // servers that were not reached
	firstSentAt  clock.Tick     // when it was first sent
	runs    int
	heldBack   bool // its last go was held back, and reached nobody
	callerRepeat bool // its caller asks again, after a break
	repeat bool
	ref    router.Ref
}

// New lays out a world: three core nodes, router pairs, servers, a store and a platform.
func New(o Options) *World {
	generic.SetDefault(&o.Room, 80)
	generic.SetDefault(&o.StoreRate, 60)
	generic.SetDefault(&o.Slots, 16)
	generic.SetDefault(&o.Rates, 0.016)
	w := &World{o: o, rand: rand.New(rand.NewPCG(o.Seed, 99)), procs: map[string]*proc{}, cuts: map[[2]string]bool{},
		pendingAsks: map[askKey]func(bool, int, []byte){}, pendingPulls: map[uint64]func(){}, pullOrigins: map[uint64]askKey{}, messageCounts: map[string]int{}, links: map[string]clock.Tick{}, attempts: map[attemptKey]*attempt{}, pendingAdmin: map[uint64]func(controller.Receipt){}, platUp: true}
	w.plan, _ = w.parsePlan(o.Plan)
	w.Check = newChecker(w)
	w.disruptions = newDisruptions()
	loads := 2
	if w.plan != nil {
		loads = w.plan.Loads
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
	var list []protocol.Listed
	if o.Hosted != nil {
		w.host = newHosting(w)
		o.Servers = 0
	}
	for i := range o.Servers {
		n := fmt.Sprintf("server-%d", i+1)
		z := zones[i%3]
		list = append(list, protocol.Listed{ID: ident.Server(n), Addr: n, Zone: z, State: "live"})
		w.addServer(n, z)
	}
	w.plat = standin.NewPlatform(list...)
	for i := range o.Routers {
		w.addRouter(fmt.Sprint(i+1), zones[i%3])
	}
	w.addProcess(&proc{name: "store", box: "store", tickInterval: 10e6, clockRate: 1, newCore: func() processCore { return w.store }})
	for _, n := range append([]string{}, w.order...) {
		w.Start(n)
	}
	w.After(100e6, w.checkPeriodically)
	return w
}

// addRouter adds a router and the agent beside it.
func (w *World) addRouter(n string, z ident.Zone) {
	box := "router-" + n
	a, l := "agent-"+n, "router-"+n
	skew, rate := w.randomClock()
	w.addProcess(&proc{name: a, box: box, zone: z, tickInterval: 20e6, clockOffset: skew, clockRate: rate, newCore: func() processCore {
		return agent.New(agent.Options{Me: protocol.Sibling{ID: ident.Node(a), Addr: a}, Zone: z, Inc: w.incarnation(a), Life: ident.Inc(w.now) + 1, Seeds: w.seeds(),
			Router: protocol.Sibling{ID: ident.Node(l), Addr: l}, Rand: w.randomFor(a), Keep: w.o.RenewInterval})
	}})
	w.addProcess(&proc{name: l, box: box, zone: z, tickInterval: 20e6, clockOffset: skew, clockRate: rate, newCore: func() processCore {
		lo := w.o.Router
		if w.host != nil {
			w.host.setRouterOptions(&lo, z)
		}
		lo.Me, lo.Agent, lo.Inc = protocol.Sibling{ID: ident.Node(l), Addr: l}, protocol.Sibling{ID: ident.Node(a), Addr: a}, w.incarnation(l)
		lo.Restarted = w.host != nil && w.now > 0
		return router.New(lo)
	}})
}

func (w *World) seeds() (l []protocol.Sibling) {
	for _, n := range w.Seeds {
		l = append(l, protocol.Sibling{Addr: n})
	}
	if l != nil {
		return l
	}
	for i := range 3 {
		l = append(l, protocol.Sibling{Addr: fmt.Sprintf("controller-%d", i+1)})
	}
	return l
}

func (w *World) randomClock() (clock.Tick, float64) {
	return clock.Tick(w.rand.Int64N(1e15)), 1 + (w.rand.Float64()-0.5)*w.o.Rates
}

func (w *World) randomFor(name string) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, name, w.procs[name].life)
	return rand.New(rand.NewPCG(w.o.Seed, h.Sum64()))
}

// inc gives a process life its incarnation; later lives have higher ones.
func (w *World) incarnation(name string) ident.Inc {
	// As drawn from a wall clock, which may have been set back.
	at := uint64(int64(w.now) + int64(w.procs[name].wall) + 4e12)
	return ident.Inc(at>>10<<10+uint64(len(w.order)*64)) + ident.Inc(w.procs[name].life) + 1
}

func (w *World) addController(name string, z ident.Zone, seeds []protocol.Sibling) {
	skew, rate := w.randomClock()
	w.addProcess(&proc{name: name, box: name, zone: z, tickInterval: 20e6, clockOffset: skew, clockRate: rate, disk: &simulatedDisk{safe: map[string][]byte{}, late: 2e6}, newCore: func() processCore {
		ao := w.o.Controller
		ao.Me, ao.Zone, ao.Inc, ao.Seeds, ao.Platform, ao.Rand = protocol.Sibling{ID: ident.Node(name), Addr: name}, z, w.incarnation(name), seeds, "platform", w.randomFor(name)
		if w.o.Hosted != nil {
			w.o.Hosted.setControllerOptions(&ao, w.procs[name].life > 1 || w.now > 1e9)
		}
		if w.o.Core != nil {
			w.o.Core.setControllerOptions(&ao, w.o.Hosted.Timing)
		}
		ao.Wall = func() time.Time { return dawn.Add(time.Duration(w.now) + w.procs[name].wall) }
		return controller.New(ao)
	}})
}

func (w *World) addServer(name string, z ident.Zone) {
	skew, rate := w.randomClock()
	w.addProcess(&proc{name: name, box: name, zone: z, tickInterval: 20e6, clockOffset: skew, clockRate: rate, server: ident.Server(name), newCore: func() processCore {
		s := standin.ServerOptions{ID: ident.Server(name), Inc: w.incarnation(name), Room: w.room(name), Slots: w.o.Slots, Store: "store", Fill: w.o.PrefillBytes}
		if w.o.Mixed {
			s.Slots, s.Step = w.o.Slots*w.sizeQuarters(name)/4, 80e6/clock.Span(w.sizeQuarters(name))
		}
		return standin.NewServer(s)
	}})
}

// part tells how large and fast a server is, in quarters, where they differ: old ones and new ones.
func (w *World) sizeQuarters(name string) int { return 2 + 2*(int(name[len(name)-1])%3) }

func (w *World) room(name string) int {
	if w.o.Mixed {
		return w.o.Room * (5 + w.sizeQuarters(name)) / 9
	}
	return w.o.Room
}

func (w *World) addProcess(p *proc) {
	h := fnv.New64a()
	fmt.Fprint(h, p.name)
	p.nameDigest = h.Sum64()
	w.procs[p.name] = p
	w.order = append(w.order, p.name)
}

// At runs a step at a moment.
func (w *World) At(t clock.Tick, do func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, do})
}

// After runs a step after a span.
func (w *World) After(s clock.Span, do func()) { w.At(w.now.Add(s), do) }

// Run turns the world until a moment.
func (w *World) Run(until clock.Span) {
	for len(w.queue) > 0 && w.queue[0].at <= clock.Tick(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = clock.Tick(until)
}

func (w *World) tracef(form string, a ...any) {
	s := fmt.Sprintf(form, a...)
	h := fnv.New64a()
	fmt.Fprint(h, w.hash, w.now, s)
	w.hash = h.Sum64()
	if w.o.Trace != nil {
		fmt.Fprintf(w.o.Trace, "%10.4f %s\n", float64(w.now)/1e9, s)
	}
}

// Hash digests the whole trace: the same seed gives the same one.
func (w *World) Hash() uint64 { return w.hash }

// Start starts a process in a new life.
func (w *World) Start(name string) {
	p := w.procs[name]
	if p.up {
		return
	}
	p.up, p.frozenUntil, p.busy, p.plans, p.draining = true, 0, 0, 0, false
	p.life++
	p.core = p.newCore()
	w.tracef("start %s", name)
	w.coreStarted(name)
	w.noteTrouble(p.box)
	life := p.life
	if p.disk != nil {
		m := map[string][]byte{}
		for k, v := range p.disk.safe {
			m[k] = v
		}
		w.After(1e6, func() { w.step(p, life, protocol.Start{Disk: m}) })
	}
	var beat func()
	beat = func() {
		if !p.up || p.life != life {
			return
		}
		if until := max(p.frozenUntil, p.busy); w.now < until {
			w.At(until, beat)
			return
		}
		w.step(p, life, protocol.Beat{})
		w.After(p.tickInterval, beat)
	}
	w.After(clock.Span(w.rand.Int64N(int64(p.tickInterval))), beat)
}

// Kill ends a process at once; what its disk had not synced is gone.
func (w *World) Kill(name string) {
	p := w.procs[name]
	if !p.up {
		return
	}
	w.tracef("kill %s", name)
	w.noteCoreStop(name)
	w.noteTrouble(p.box)
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
		w.After(w.delay(), func() { w.endPulls(name, p.life) })
	}
	for _, k := range w.sortedAttemptKeys() {
		f := w.attempts[k]
		if k.server == name && k.life == p.life {
			delete(w.attempts, k)
			if !f.closed {
				f.closed = true
				w.After(w.delay(), func() { w.endAttempt(f, router.Lost, "") })
			}
		}
		if f.router == p {
			delete(w.attempts, k)
			f.closed = true
			if s := w.procs[k.server]; s.up && s.life == k.life {
				w.step(s, s.life, standin.WorkQuit{Token: k.token})
			}
		}
	}
}

// unpull ends the pulls of a server that is gone, as its broken connections do.
func (w *World) endPulls(name string, life int) {
	st := w.procs["store"]
	for t := uint64(1); t <= w.lastPull; t++ {
		if k, ok := w.pullOrigins[t]; ok && k.process == name && k.life <= life && w.pendingPulls[t] != nil {
			delete(w.pendingPulls, t)
			w.step(st, st.life, standin.PullQuit{Token: t})
		}
	}
}

func (w *World) sortedAttemptKeys() []attemptKey {
	l := make([]attemptKey, 0, len(w.attempts))
	for k := range w.attempts {
		l = append(l, k)
	}
	sort.Slice(l, func(i, j int) bool {
		return l[i].server < l[j].server || l[i].server == l[j].server && (l[i].life < l[j].life || l[i].life == l[j].life && l[i].token < l[j].token)
	})
	return l
}

// Stop ends a process as planned: it hears of it first.
func (w *World) Stop(name string) {
	p := w.procs[name]
	w.step(p, p.life, protocol.Stop{})
	w.After(100e6, func() { w.Kill(name) })
}

// Drain stops a router as planned, and starts it anew: no new callers come, and what is under way ends.
func (w *World) Drain(name string) {
	p := w.procs[name]
	if !p.up || p.draining {
		return
	}
	p.draining = true
	w.tracef("drain %s", name)
	life := p.life
	var look func()
	look = func() {
		if !p.up || p.life != life {
			return
		}
		for _, c := range w.Check.calls {
			if c.router == name && !c.finished {
				w.After(50e6, look)
				return
			}
		}
		w.Kill(name)
		w.After(300e6, func() { w.Start(name) })
	}
	w.After(50e6, look)
}

// Restart kills a process and starts it anew.
func (w *World) Restart(name string, after clock.Span) {
	w.Kill(name)
	w.After(after, func() { w.Start(name) })
}

// Freeze stops a process for a while; what reaches it meanwhile waits.
func (w *World) Freeze(name string, s clock.Span) {
	w.tracef("freeze %s %v", name, s)
	w.procs[name].frozenUntil = w.now.Add(s)
	w.noteFreeze(w.procs[name].box, w.now.Add(s))
}

// Wipe takes away what a node's disk had.
func (w *World) Wipe(name string) {
	w.tracef("wipe %s", name)
	w.procs[name].disk.safe = map[string][]byte{}
}

// Cut stops all that goes from one machine to another; heal undoes it.
func (w *World) Cut(a, b string, both bool) {
	w.tracef("cut %s %s %v", a, b, both)
	w.cuts[[2]string{a, b}] = true
	if both {
		w.cuts[[2]string{b, a}] = true
	}
	w.noteLinkTrouble(a, b)
}

// Part cuts a set of machines off from all others.
func (w *World) Part(set map[string]bool) {
	for _, a := range w.boxes() {
		for _, b := range w.boxes() {
			if set[a] != set[b] {
				w.cuts[[2]string{a, b}] = true
				w.noteLinkTrouble(a, b)
			}
		}
	}
	w.tracef("part %v", len(set))
}

// Heal undoes every cut.
func (w *World) Heal() {
	w.tracef("heal")
	for c := range w.cuts {
		w.noteLinkTrouble(c[0], c[1])
	}
	w.cuts = map[[2]string]bool{}
}

func (w *World) boxes() []string {
	seen := map[string]bool{"platform": true}
	l := []string{"platform"}
	for _, n := range w.order {
		if b := w.procs[n].box; !seen[b] {
			seen[b] = true
			l = append(l, b)
		}
	}
	return l
}

// cut tells whether nothing gets from one machine to another.
func (w *World) isCut(from, to string) bool { return w.cuts[[2]string{from, to}] }

func (w *World) delay() clock.Span {
	d := clock.Span(100e3 + w.rand.Int64N(900e3))
	if w.o.Far > 0 {
		d += w.o.Far/2 + clock.Span(w.rand.Int64N(int64(w.o.Far)))
	}
	if w.rand.IntN(200) == 0 {
		d += clock.Span(w.rand.Int64N(40e6))
	}
	return d
}

// step gives a process an input; one that is frozen takes it when it wakes.
func (w *World) step(p *proc, life int, in any) {
	if !p.up || p.life != life {
		return
	}
	if until := max(p.frozenUntil, p.busy); w.now < until {
		w.At(until, func() { w.step(p, life, in) })
		return
	}
	outs := w.stepCore(p, in)
	w.keepBusy(p, in)
	w.hash = (w.hash ^ uint64(w.now) ^ p.nameDigest ^ uint64(len(outs))<<56) * 1099511628211
	for _, o := range outs {
		w.handleOutput(p, o)
	}
}

// stepCore gives a core its input; an invariant that it violates fails the run.
func (w *World) stepCore(p *proc, in any) []any {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case invariant.Violation:
			w.Check.bad("%s: %v", p.name, v)
		default:
			panic(v)
		}
	}()
	return p.core.Step(p.tick(w.now), in)
}

func (w *World) handleOutput(p *proc, o any) {
	switch v := o.(type) {
	case protocol.Env:
		w.send(p, v)
	case protocol.Save:
		w.save(p, v)
	case protocol.Compute:
		v.Run()
		life := p.life
		w.At(w.now, func() { w.step(p, life, protocol.Computed{Token: v.Token}) })
	case protocol.Ask:
		w.ask(p, v)
	case router.Launch:
		w.launch(p, v)
	case router.Receipt:
		w.Check.checkReceipt(p.name, v)
	case controller.Announced:
		w.host.announcementAnswered(p, v)
	case standin.LoadDone:
		w.host.noteLoaded(p, v)
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
			if w.ReplyLoss > 0 && w.rand.Float64() < w.ReplyLoss {
				w.tracef("%s: a reply to an operator is lost", p.name)
				return
			}
			w.After(w.delay(), func() { f(v) })
		}
	case protocol.Note:
		w.tracef("%s: %s%s", p.name, v.Text, formatFields(v))
		if v.Text == "voter set changed" {
			w.Check.Seen.Admits++
		}
		if strings.Contains(v.Text, " moves from ") {
			w.Check.Seen.Moves++
		}
	case protocol.Oops:
		w.tracef("%s: oops: %s", p.name, v.Text)
	}
}

func (w *World) send(p *proc, e protocol.Env) {
	to := w.procs[e.Hop().Addr]
	if to == nil {
		return
	}
	local := p.box == to.box
	if !local {
		w.messageCounts[protocol.Kind(e.Body)]++
		if w.isCut(p.box, to.box) || w.rand.Float64() < w.o.Loss {
			return
		}
		if w.rand.Float64() < w.o.Twice {
			w.After(w.delay()+clock.Span(w.rand.Int64N(300e6)), func() { w.step(to, to.life, e) })
		}
	}
	d := w.delay() + w.regionDelay(p.box, to.box)
	if local {
		d = 50e3
	} else {
		d += w.carried(p, to, e)
	}
	w.After(d, func() { w.step(to, to.life, e) })
}

func (w *World) save(p *proc, s protocol.Save) {
	d := p.disk
	at := max(w.now.Add(d.late/2+clock.Span(w.rand.Int64N(int64(d.late)))), d.lastSync, d.stall)
	d.lastSync = at
	life := p.life
	w.At(at, func() {
		if !p.up || p.life != life {
			return // the power went before the sync
		}
		for k, v := range s.Puts {
			d.safe[k] = v
		}
		w.step(p, life, protocol.Saved{Token: s.Token})
	})
}

func (w *World) ask(p *proc, a protocol.Ask) {
	k := askKey{p.name, p.life, a.Token}
	tell := func(ok bool, code int, b []byte) {
		f := w.pendingAsks[k]
		if f == nil {
			return
		}
		f(ok, code, b)
	}
	life := p.life
	w.pendingAsks[k] = func(ok bool, code int, b []byte) {
		delete(w.pendingAsks, k)
		w.step(p, life, protocol.Told{Token: a.Token, OK: ok, Code: code, Body: b})
	}
	w.After(a.Wait, func() { tell(false, 0, nil) })
	if w.host != nil {
		w.host.deliverAsk(p, a, tell)
		return
	}
	box := a.Addr
	lost := func(from, to string) bool { return w.cuts[[2]string{from, to}] }
	if lost(p.box, box) {
		return
	}
	back := func(b []byte) {
		if lost(box, p.box) {
			return
		}
		w.After(w.delay(), func() { tell(true, 200, b) })
	}
	d := w.delay()
	if w.rand.Float64() < w.o.Loss {
		d += clock.Span(w.rand.Int64N(2e9)) // comes late, perhaps after the asker gave up
	}
	w.After(d, func() {
		switch a.Path {
		case "/servers":
			if w.platUp {
				l := w.plat.List()
				if w.Lists != nil {
					l = w.Lists(l)
				}
				b, _ := json.Marshal(l)
				back(b)
			}
		case "/pull":
			w.lastPull++
			t := w.lastPull
			w.pendingPulls[t] = func() { back([]byte("{}")) }
			w.pullOrigins[t] = askKey{p.name, life, a.Token}
			st := w.procs["store"]
			w.step(st, st.life, standin.PullIn{Token: t, Pull: a.Body.(standin.Pull)})
		case "/orders":
			s := w.procs[a.Addr]
			if s == nil || !s.up {
				w.After(w.delay(), func() { tell(false, 0, nil) })
				return
			}
			w.deliverOrder(s, s.life, a.Body.(protocol.Order), p.name, back)
		}
	})
}

// order1 hands an order to a server, which answers at once unless it is frozen.
func (w *World) deliverOrder(s *proc, life int, o protocol.Order, from string, back func([]byte)) {
	if !s.up || s.life != life {
		return
	}
	if w.now < s.frozenUntil {
		w.At(s.frozenUntil, func() { w.deliverOrder(s, life, o, from, back) })
		return
	}
	v := s.core.(*standin.Server)
	was := v.Holds()
	for _, x := range v.Step(s.tick(w.now), standin.OrderIn{Order: o}) {
		if r, ok := x.(standin.OrderOut); ok {
			w.Check.checkOrder(s, o, from, r.Report, was)
			if w.Bend != nil {
				r.Report = w.Bend(r.Report)
			}
			b, _ := json.Marshal(r.Report)
			back(b)
			continue
		}
		w.handleOutput(s, x)
	}
}

// Requests on the wire.

// Ask sends a caller's request to a router that is up, as the platform would hand it out.
func (w *World) Ask(a standin.Ask, repeat bool) {
	var l []*proc
	for _, n := range w.order {
		p := w.procs[n]
		if _, ok := p.core.(*router.Core); ok && p.up && !p.draining && w.now >= p.frozenUntil && !w.cuts[[2]string{"platform", p.box}] {
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
	w.step(p, p.life, router.Call{Ref: ref, Route: a.Route, Call: a.Call})
}

func (w *World) launch(p *proc, v router.Launch) {
	c := w.Check.openCalls[v.Ref]
	f := &attempt{router: p, life: p.life, launch: v, call: c}
	w.Check.countLaunch(c)
	s := w.procAt(v.Addr)
	if s == nil || w.cuts[[2]string{p.box, s.box}] || w.cuts[[2]string{s.box, p.box}] {
		w.After(500e6, func() { w.endAttempt(f, router.Unsent, "") })
		return
	}
	d := w.delay()
	if w.DialOdds > 0 && w.rand.Float64() < w.DialOdds {
		d += clock.Span(w.rand.Int64N(int64(w.Dial)))
	}
	w.After(d, func() {
		if !s.up {
			w.endAttempt(f, router.Unsent, "")
			return
		}
		f.acceptedAt = w.now
		w.sendAttempt(f, s, s.life)
	})
}

// emit is the moment of sending: the router checks once more, then the work is on its way.
func (w *World) sendAttempt(f *attempt, s *proc, life int) {
	p := f.router
	if !p.up || p.life != f.life {
		return
	}
	if w.now < p.frozenUntil {
		w.At(p.frozenUntil, func() { w.sendAttempt(f, s, life) })
		return
	}
	if !p.core.(*router.Core).MaySend(p.tick(w.now), f.launch.Ref, f.launch.N) {
		f.call.heldBack = true
		w.endAttempt(f, router.Kept, "")
		return
	}
	w.Check.checkSent(f, s)
	d := w.delay()
	if w.LagOdds > 0 && w.rand.Float64() < w.LagOdds {
		d += clock.Span(w.rand.Int64N(int64(w.Lag)))
	}
	w.After(d, func() { w.deliverAttempt(f, s, life) })
}

func (w *World) deliverAttempt(f *attempt, s *proc, life int) {
	if !f.router.up || f.router.life != f.life {
		return
	}
	if !s.up || s.life != life {
		w.After(w.delay(), func() { w.endAttempt(f, router.Lost, "") })
		return
	}
	if w.cuts[[2]string{f.router.box, s.box}] {
		w.After(10e9, func() { w.endAttempt(f, router.Lost, "") })
		return
	}
	if w.now < s.frozenUntil {
		w.At(s.frozenUntil, func() { w.deliverAttempt(f, s, life) })
		return
	}
	w.lastToken++
	k := attemptKey{s.name, s.life, w.lastToken}
	w.attempts[k] = f
	f.lastArrival, f.arrivedAt = w.now, w.now
	w.watchIdle(f, w.now)
	n := s.core.(workCounter).Counts().Works
	if w.host != nil && f.launch.Server != s.server { // another server is meant: this one refuses
		f.closed = true
		delete(w.attempts, k)
		w.After(w.delay(), func() { w.endAttempt(f, router.Dropped, failure.Mismatch) })
		return
	}
	w.step(s, s.life, standin.WorkIn{Token: k.token, Work: f.launch.Work, Since: s.tick(f.acceptedAt)})
	if w.host != nil {
		w.Check.checkReached(f, s)
	}
	if s.core.(workCounter).Counts().Works > n {
		w.Check.checkRun(f, s)
		if w.ResetOdds > 0 && w.rand.Float64() < w.ResetOdds {
			f.closed = true
			delete(w.attempts, k)
			w.step(s, s.life, standin.WorkQuit{Token: k.token})
			w.After(w.delay(), func() { w.endAttempt(f, router.Lost, "") })
		}
	}
}

// idle gives a stream up that has been silent for long, as the router's shell does.
func (w *World) watchIdle(f *attempt, at clock.Tick) {
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

func (w *World) endAttempt(f *attempt, how router.End, k failure.Kind) {
	if how == router.Unsent && f.call != nil {
		if f.call.unreached == nil {
			f.call.unreached = map[string]int{}
		}
		f.call.unreached[f.launch.Addr]++
	}
	w.step(f.router, f.life, router.Ended{Ref: f.launch.Ref, N: f.launch.N, How: how, Kind: k})
}

// served carries what a server says back to the router.
func (w *World) deliverOutput(s *proc, o any) {
	var t uint64
	switch v := o.(type) {
	case standin.WorkDrop:
		t = v.Token
	case standin.Event:
		t = v.Token
	}
	k := attemptKey{s.name, s.life, t}
	f := w.attempts[k]
	if f == nil || f.closed {
		return
	}
	if w.cuts[[2]string{s.box, f.router.box}] {
		f.closed = true // the stream is broken; the router finds out by its silence
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

func (w *World) deliverEvent(f *attempt, v standin.Event) {
	p := f.router
	if !p.up || p.life != f.life || f.closed {
		return
	}
	if w.now < p.frozenUntil {
		w.At(p.frozenUntil, func() { w.deliverEvent(f, v) })
		return
	}
	if w.Mangle > 0 && !f.mangled && w.rand.Float64() < w.Mangle {
		f.mangled = true // once: a server that lies twice over can make any number fit
		switch w.rand.IntN(6) {
		case 0:
			return // it is lost
		case 1:
			w.After(1e6, func() { w.deliverEvent(f, v) }) // it comes twice
		case 2:
			v.N += w.rand.IntN(3) - 1
		case 3:
			v.Go = "router-1-9-9-9"
		case 4:
			v.Server = ident.Server(w.some("server-"))
		case 5:
			v.Go, v.Text, v.Done = "", "", w.rand.IntN(2) == 0 // not JSON, or another's
		}
	}
	x := router.Line{N: v.N, Go: v.Go, Server: v.Server, Done: v.Done}
	if !x.Follows(f.launch, f.eventCount) {
		f.closed = true
		w.endAttempt(f, router.Lost, "")
		return
	}
	if f.eventCount == 0 {
		w.step(p, p.life, router.Begun{Ref: f.launch.Ref, N: f.launch.N})
	}
	f.eventCount++
	w.Check.checkEvent(f, v)
	if v.Done {
		f.closed = true
		w.endAttempt(f, router.Done, "")
		w.Check.finishCall(f)
	}
}

// Admin sends an operator's request to a core node; the answer may get lost.
func (w *World) Admin(node string, a controller.Admin, then func(controller.Receipt)) {
	w.admin++
	a.Token = w.admin
	done := false
	heard := w.recordOperation(node, a)
	once := func(r controller.Receipt) {
		if !done {
			done = true
			heard(r)
			then(r)
		}
	}
	w.pendingAdmin[a.Token] = once
	p := w.procs[node]
	w.After(6e9, func() {
		delete(w.pendingAdmin, a.Token)
		once(controller.Receipt{Kind: failure.Unclear})
	})
	w.After(w.delay(), func() {
		if !p.up {
			once(controller.Receipt{Kind: failure.NotReady, Why: "unreached"})
			return
		}
		w.step(p, p.life, a)
	})
}

// Routers lists the routers that are up.
func (w *World) Routers() (l []*proc) {
	for _, n := range w.order {
		if strings.HasPrefix(n, "router-") && w.procs[n].up {
			l = append(l, w.procs[n])
		}
	}
	return l
}

func (w *World) controllers() (l []*proc) {
	for _, n := range w.order {
		if strings.HasPrefix(n, "controller-") && w.procs[n].up {
			l = append(l, w.procs[n])
		}
	}
	return l
}

// watch looks around a hundred times a second.
func (w *World) checkPeriodically() {
	w.Check.checkNow()
	w.After(10e6, w.checkPeriodically)
}

// fieldsOf writes the fields of a log line for the trace.
func formatFields(n protocol.Note) string {
	var b strings.Builder
	for _, f := range n.Fields {
		fmt.Fprintf(&b, " %s=%v", f.Name, f.Value)
	}
	return b.String()
}
