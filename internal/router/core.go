// Package router is the router: it takes callers' requests and sends each to a server that
// a placement entry promises, without asking anyone while the callback on the entry holds.
package router

import (
	"fmt"
	"sort"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Options of a router.
type Options struct {
	Me    protocol.Sibling
	Inc   ident.Inc
	Agent protocol.Sibling
	Cache int        // placement entries kept
	Queue int        // requests waiting, in all
	Line  int        // requests waiting for one key
	Ramp  clock.Span // a replica is cold for so long
	Share float64    // of first attempts that retries may come to
	Save  clock.Span // what first attempts earn for retries is kept so long
	Goes  int        // attempts of one request at the most
	Hello clock.Span
	Batch clock.Span // removals are gathered for so long
	Plain bool       // no prefix affinity, to measure against
	Heads int        // leading shared parts that affinity goes by; all, if none is said
	Check bool       // check every entry on every use, to measure against

	Read   func([]byte) (*fleetplan.Plan, fleetplan.Faults) // of plans
	Zone   ident.Zone                                       // this router's own
	Free   bool                                             // servers remember no ids: what may not be repeated goes to any replica
	Guards bool                                             // servers refuse what they do not hold: without a lease a router goes by what it knew
	Lend   float64                                          // arrivals beyond the first that the whole fleet is lent in each Window
	Window clock.Span

	LendAgain float64 // the same for lives that follow another, in the first Window of each
	Restarted bool    // an earlier life of this router may have been lent its share in the window that runs
}

// Defaults fills what was left out.
func (o Options) Defaults() Options {
	generic.SetDefault(&o.Cache, 512)
	generic.SetDefault(&o.Queue, 2048)
	generic.SetDefault(&o.Line, 512)
	generic.SetDefault(&o.Goes, 4)
	generic.SetDefault(&o.Ramp, 4000e6)
	generic.SetDefault(&o.Hello, 200e6)
	generic.SetDefault(&o.Batch, 500e6)
	generic.SetDefault(&o.Share, 0.16)
	generic.SetDefault(&o.Save, 5e9)
	generic.SetDefault(&o.Window, 10e9)
	if o.Read == nil {
		o.Read = fleetplan.ReadPlan
	}
	return o
}

// Ref names a request inside one router.
type Ref uint64

// Call is a caller's request coming in.
type Call struct {
	Ref   Ref
	Route string
	Age   clock.Span // how long ago its head came
	Call  fleetplan.Call
}

// Begun says that the answer of an attempt began to come.
type Begun struct {
	Ref Ref
	N   int
}

// Ended says how an attempt ended.
type Ended struct {
	Ref  Ref
	N    int
	How  End
	Kind failure.Kind // why a server declined it

	Status int   // of the server's answer; zero if none came
	Cause  Cause // for the trace
}

// Quit says that the caller left.
type Quit struct{ Ref Ref }

// Launch asks for an attempt: check with MaySend, then send the work.
type Launch struct {
	Ref    Ref
	N      int
	Server ident.Server
	Addr   string
	Work   protocol.Work
	Keyed  bool       // what the caller shows as a key goes no further
	Left   clock.Span // how much longer the caller waits
	Rank   int        // how urgent it is among what the server runs
	Again  bool       // it may be sent again, so that its answer may be begun anew elsewhere
	Resume bool       // its stream may be taken up elsewhere, after the last event passed on
}

// Receipt is the final answer to a request that got no answer of a server's.
type Receipt struct {
	Ref  Ref
	Kind failure.Kind
	Back clock.Span
}

type entry struct {
	protocol.Entry
	num    uint64 // of its delivery
	held   bool   // a callback is on it
	got    clock.Tick
	used   clock.Tick
	asked  clock.Tick // when it was last wanted
	asking bool
}

// earning is what the first attempts of a while earned for retries.
type earning struct {
	at clock.Tick
	n  float64
}

// serverLoad is what a router knows of a server's load.
type serverLoad struct {
	work   int
	tokens int // of what is under way
	memory int // tokens that what is under way of its own may come to at the server
	others int // of other routers, when last told
	told   int // of its own, when last told
	keys   map[ident.Key]int
	avoid  clock.Tick
	fails  int
}

// Core is a router without I/O.
type Core struct {
	began clock.Tick // when this life took its first input
	o     Options
	now   clock.Tick
	out   []any

	ses     protocol.Session
	until   clock.Tick
	routers int
	num     uint64

	gen   uint64
	epoch ident.Epoch
	plan  *fleetplan.Plan
	last  *protocol.Desired // what is in force, as it came
	empty map[ident.Zone]bool

	entries map[ident.Key]*entry
	drops   []protocol.Drop
	swept   clock.Tick
	hello   clock.Tick

	requests   map[Ref]*request
	queues     map[ident.Key][]*request
	queued     int
	came       map[ident.Key]int
	work       map[ident.Key]int
	servers    map[ident.Server]*serverLoad
	allowances map[string]*allowance // for retries, by service
	loads      map[ident.Key]float64 // seconds of a server's time that what came since the last word takes
	paces      paces
	dice       uint64
	flows      map[ident.Key]*inflow
	parted     bool                  // its agent hears no core node, though it asked each
	current    clock.Tick            // until when a core node vouches for the configuration in force
	leaving    map[ident.Server]bool // as that core node knows
	ending     bool                  // it stops: nobody waits here any more

	wasLeased bool // as the log was told last
	wasAlone  bool // likewise: attempts go out without a lease

	lastBeat clock.Tick
	pausedAt clock.Tick // when a beat last came late: the process stood still
	tally    Tally
}

// Tally counts what a router did.
type Tally struct {
	Calls, Receipts, Firsts, Retries, Repeats           uint64
	Hits, Lookups, Fetches, Sames, Breaks, Removals     uint64
	Suspects, Declined, Unsent, Lost, Cuts, SendsHeld   uint64
	Waited                                              uint64
	Drops                                               map[failure.Kind]uint64
	Dropped, Plans, Sessions, StaleNews, OldPlans, Quit uint64
	SentUnleased                                        uint64 // attempts sent without a lease, by what was known
}

// New makes a router.
func New(o Options) *Core {
	c := &Core{
		o: o.Defaults(), entries: map[ident.Key]*entry{}, requests: map[Ref]*request{}, queues: map[ident.Key][]*request{},
		came: map[ident.Key]int{}, work: map[ident.Key]int{}, servers: map[ident.Server]*serverLoad{}, empty: map[ident.Zone]bool{}, allowances: map[string]*allowance{},
		routers: 1, loads: map[ident.Key]float64{}, paces: newPaces(), flows: map[ident.Key]*inflow{}, dice: uint64(o.Inc),
	}
	c.tally.Drops = map[failure.Kind]uint64{}
	return c
}

// Step takes one input and gives what is to be done.
func (c *Core) Step(now clock.Tick, in any) []any {
	c.now, c.out = now, nil
	if c.began == 0 {
		c.began = now
	}
	switch v := in.(type) {
	case protocol.Env:
		switch b := v.Body.(type) {
		case protocol.Hold:
			c.onHold(b)
		case protocol.News:
			c.onNews(b)
		}
	case Call:
		c.onCall(v)
	case Begun:
		c.onBegun(v)
	case Ended:
		c.onEnded(v)
	case Quit:
		c.onQuit(v)
	case protocol.Stop:
		c.ending = true
		c.turnAway()
	case protocol.Beat:
		c.beat()
	}
	return c.out
}

// turnAway tells everyone who waits to come back, elsewhere: this router stops, and what waits has not run.
func (c *Core) turnAway() {
	for _, k := range generic.SortedKeys(c.queues) {
		for _, r := range append([]*request{}, c.queues[k]...) {
			c.finish(r, failure.Moved, 0)
		}
	}
}

func (c *Core) note(text string, fields ...protocol.Field) {
	c.out = append(c.out, protocol.Note{Text: text, Fields: fields})
}

// watchLease logs when the lease is lost and when there is one again.
func (c *Core) watchLease() {
	if held := c.leased(); held != c.wasLeased {
		c.wasLeased = held
		c.note("lease", protocol.Field{Name: "held", Value: held}, protocol.Field{Name: "parted", Value: c.parted}, protocol.Field{Name: "epoch", Value: c.epoch})
	}
	if alone := c.alone(); alone != c.wasAlone {
		c.wasAlone = alone
		c.note("attempts go out without a lease", protocol.Field{Name: "begins", Value: alone}, protocol.Field{Name: "epoch", Value: c.epoch},
			protocol.Field{Name: "session", Value: c.ses.N}, protocol.Field{Name: "since_lease_ms", Value: c.now.Sub(c.until).Milliseconds()})
	}
}

func (c *Core) send(body any) {
	c.out = append(c.out, protocol.Env{From: c.o.Me, To: c.o.Agent, Body: body})
}

func (c *Core) onHold(b protocol.Hold) {
	if b.Session.Router != c.o.Inc {
		c.hello = 0
		return
	}
	if b.Session != c.ses {
		if b.Session.Agent < c.ses.Agent || b.Session.Agent == c.ses.Agent && b.Session.N < c.ses.N {
			return
		}
		if b.Session.Agent != c.ses.Agent && c.last != nil {
			c.send(protocol.Kept{Value: c.last}) // an agent in a new life has forgotten what it kept
		}
		c.ses, c.until, c.num, c.drops = b.Session, 0, 0, nil
		c.tally.Sessions++
		c.paces.tellAll() // the owner may be a new one
		for _, e := range c.entries {
			if e.held {
				c.tally.Suspects++
			}
			e.held, e.asking = false, false
		}
	}
	c.parted, c.current = b.Parted, b.Current
	c.leaving = map[ident.Server]bool{}
	for _, s := range b.Leaving {
		c.leaving[s] = true
	}
	if c.alone() {
		defer c.serveAll()
	}
	c.paces.hear(b.Paces)
	if b.Seats != nil {
		c.heardSeats(b.Seats)
	}
	if b.Until > c.until {
		was := c.leased()
		c.until = b.Until
		if b.Routers > 0 {
			c.routers = b.Routers
		}
		if !was {
			c.resolve(false)
			c.serveAll()
		}
	}
}

func (c *Core) leased() bool { return c.now < c.until }

// alone tells whether the router has no lease and may go by what it knew all the same, since servers refuse by
// themselves what they do not hold or are not meant by: a core node vouches that its configuration is the newest, or
// it is cut off from the core. One that is only late may not: it has to take in what it was sent.
func (c *Core) alone() bool {
	return c.o.Guards && c.plan != nil && !c.leased() && (c.parted || c.now < c.current)
}

// closed tells whether nothing may be sent to a replica: its zone is emptied, or its server leaves, and there is no lease
// under which its entry would say so.
func (c *Core) closed(p *protocol.Replica) bool {
	return c.empty[p.Zone] || !c.leased() && c.leaving[p.Server]
}

// usable tells whether work may be sent by an entry as it stands.
func (c *Core) usable(e *entry) bool {
	return e != nil && (e.held && c.leased() || c.alone() && len(e.Replicas) > 0)
}

func (c *Core) onNews(b protocol.News) {
	if b.Session != c.ses {
		c.tally.StaleNews++
		c.takeLate(b)
		return
	}
	for _, i := range b.Items {
		if i.Num != c.num+1 {
			continue
		}
		c.num = i.Num
		switch {
		case i.Desired != nil:
			c.onDesired(i.Desired)
		case i.Entry != nil:
			c.onEntry(i.Num, *i.Entry)
		case i.Break != "":
			c.onBreak(i.Break)
		}
	}
	c.send(protocol.Heard{Session: c.ses, Num: c.num})
	c.serveAll()
}

// takeLate takes in a configuration that came too late for its session: it was chosen all the same.
func (c *Core) takeLate(b protocol.News) {
	for _, i := range b.Items {
		if i.Desired != nil {
			c.onDesired(i.Desired)
			c.hello = 0 // the agent is told at once
		}
	}
	c.serveAll()
}

func (c *Core) onDesired(d *protocol.Desired) {
	if d.Gen < c.gen || d.Gen == c.gen && d.Epoch <= c.epoch {
		c.tally.OldPlans++
		return
	}
	var p *fleetplan.Plan
	if len(d.Plan) > 0 {
		var f fleetplan.Faults
		if p, f = c.o.Read(d.Plan); f != nil {
			return // cannot be: the core takes no faulty plan
		}
	}
	c.checkEpoch(c.gen, c.epoch, d)
	c.last = d
	c.gen, c.epoch, c.plan, c.empty = d.Gen, d.Epoch, p, map[ident.Zone]bool{}
	for _, z := range d.Empty {
		c.empty[z] = true
	}
	c.tally.Plans++
	c.note("configuration in force", protocol.Field{Name: "generation", Value: d.Gen}, protocol.Field{Name: "epoch", Value: d.Epoch},
		protocol.Field{Name: "version", Value: c.PlanName()})
	// Whoever waits for what the new plan no longer allows is told so, at once if it surely rules.
	c.resolve(true)
}

func (c *Core) onEntry(num uint64, n protocol.Entry) {
	e := c.entries[n.Key]
	if e == nil {
		e = &entry{used: c.now}
		c.entries[n.Key] = e
	}
	if n.Same {
		c.tally.Sames++
		if e.Mark != n.Mark {
			e.asking, e.held, e.Mark = false, false, 0
			return
		}
	} else {
		c.tally.Fetches++
		e.Entry, e.got = n, c.now
	}
	e.num, e.held, e.asking = num, true, false
	c.trim()
}

// trim keeps the cache within its bound: the least recently used entries go, and the owner
// hears of them in batches.
func (c *Core) trim() {
	for len(c.entries) > c.o.Cache {
		var old *entry
		for _, e := range c.entries {
			if len(c.queues[e.Key]) == 0 && (old == nil || e.used < old.used || e.used == old.used && e.Key < old.Key) {
				old = e
			}
		}
		if old == nil {
			return
		}
		delete(c.entries, old.Key)
		if old.held {
			c.drops = append(c.drops, protocol.Drop{Key: old.Key, Num: old.num})
		}
	}
}

func (c *Core) onBreak(k ident.Key) {
	c.tally.Breaks++
	delete(c.entries, k)
}

func (c *Core) beat() {
	c.watchLease()
	c.checkOpen()
	if c.now.Sub(c.hello) >= c.o.Hello || c.hello == 0 {
		c.hello = c.now
		b := map[ident.Key]protocol.Burden{}
		for _, k := range generic.SortedKeys(c.queues) {
			u := protocol.Burden{Wait: len(c.queues[k]), Work: c.work[k], Came: c.came[k]}
			for _, r := range c.queues[k] {
				u.Top = max(u.Top, r.class.Value)
			}
			b[k] = u
		}
		for k, n := range c.work {
			if _, ok := b[k]; !ok && (n > 0 || c.came[k] > 0) {
				b[k] = protocol.Burden{Work: n, Came: c.came[k]}
			}
		}
		for k, n := range c.came {
			if _, ok := b[k]; !ok && n > 0 {
				b[k] = protocol.Burden{Came: n}
			}
		}
		for k, n := range c.loads {
			u := b[k]
			u.Load = n
			b[k] = u
		}
		c.came, c.loads = map[ident.Key]int{}, map[ident.Key]float64{}
		h := protocol.Hello{Router: c.o.Inc, Session: c.ses, Gen: c.gen, Epoch: c.epoch, Burden: b}
		if c.o.Free {
			h.Seats, h.Paces = c.seats(), c.paces.tell()
		}
		c.send(h)
	}
	if len(c.drops) > 0 && (c.now.Sub(c.swept) >= c.o.Batch || len(c.drops) >= 64) {
		c.swept = c.now
		c.tally.Removals++
		c.send(protocol.Removal{Session: c.ses, Drops: c.drops})
		c.drops = nil
	}
	for _, k := range generic.SortedKeys(c.queues) {
		for _, r := range append([]*request{}, c.queues[k]...) {
			if c.now >= r.due {
				c.finish(r, failure.Expired, 0)
			}
		}
	}
	c.serveAll()
	if c.ending {
		c.turnAway()
	}
}

// Counts gives the tally so far.
func (c *Core) Counts() Tally {
	t := c.tally
	t.Drops = map[failure.Kind]uint64{}
	for k, n := range c.tally.Drops {
		t.Drops[k] = n
	}
	return t
}

// Rules tells the generation and epoch in force, and whether the router holds its link.
func (c *Core) Rules(now clock.Tick) (uint64, ident.Epoch, bool) {
	return c.gen, c.epoch, now < c.until
}

// Routes tells whether the router would send anything now: under its lease, or without one by what it knew.
func (c *Core) Routes(now clock.Tick) bool {
	c.now = now
	return c.leased() || c.alone()
}

// Size tells how many entries are cached and how many requests wait.
func (c *Core) Size() (entries, waiting int) { return len(c.entries), c.queued }

// Promises tells whether this router would now send work for a key to a server without
// asking; checkers hold it against what servers are ordered.
func (c *Core) Promises(now clock.Tick, k ident.Key, s ident.Server, inc ident.Inc) bool {
	e := c.entries[k]
	if e == nil || !e.held || now >= c.until {
		return false
	}
	for _, p := range e.Replicas {
		if p.Server == s && p.Inc == inc {
			return true
		}
	}
	return false
}

// Places lists where a router's entry for a key says that it is, for checkers.
func (c *Core) Places(k ident.Key) (l []string) {
	if e := c.entries[k]; e != nil {
		for _, p := range e.Replicas {
			l = append(l, fmt.Sprintf("%s/%d", p.Server, p.Inc))
		}
	}
	sort.Strings(l)
	return l
}

// PlanName tells the name of the plan in force.
func (c *Core) PlanName() string {
	if c.plan == nil {
		return ""
	}
	return c.plan.Name
}
