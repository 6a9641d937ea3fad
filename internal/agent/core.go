// Package agent is the agent beside each router: it keeps the link to the core, carries the
// router's wants and acknowledgements over it, and feeds the router what comes back.
package agent

import (
	"math/rand/v2"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/membership"
	"tidedeck/internal/protocol"
)

// Options of an agent.
type Options struct {
	Me     protocol.Sibling
	Zone   ident.Zone
	Inc    ident.Inc
	Life   ident.Inc // names this life to the router: later ones on this machine have higher ones
	Seeds  []protocol.Sibling
	Router protocol.Sibling
	Rand   *rand.Rand
	Keep   clock.Span // between two renewals
	Wait   clock.Span // for an answer before another way is tried
	Brisk  bool       // renewals come the sooner the fewer routers there are: they tell what each has under way
}

// Core is an agent without I/O.
type Core struct {
	o     Options
	now   clock.Tick
	out   []any
	mates *membership.Core

	router  ident.Inc
	gen     uint64
	epoch   ident.Epoch
	burden  map[ident.Key]protocol.Burden
	seats   map[ident.Server]int
	paces   map[ident.Key]float64 // the shortest times for a token that the router has seen since the last renewal
	routers int

	ses      protocol.Session
	seq      uint64
	sent     map[uint64]clock.Tick
	until    clock.Tick
	duty     ident.Duty
	fresh    bool
	heard    uint64
	next     clock.Tick
	contact  contact    // with the core, whoever owns the duty
	current  clock.Tick // until when a core node vouches for the configuration that the router has
	leaving  []ident.Server
	last     clock.Tick // when an owner last answered in this session
	tried    clock.Tick
	way      way
	straight clock.Tick // when a way without a sibling was last tried on a detour
	cores    []protocol.Sibling
	turn     int
	newest   *protocol.Desired
	stall    clock.Stall
	tally    Tally
}

// stallLeast is a gap between two beats that the log tells of.
const stallLeast = clock.Span(250e6)

// way is how the owner is reached: straight, or through a sibling.
type way struct {
	to  protocol.Sibling
	via protocol.Sibling
}

// Tally counts what an agent did.
type Tally struct {
	Renews, Grants, Sessions, Turns, Carried uint64
	StaleNews                                uint64 // changes that came too late for their session
	Withheld                                 uint64 // answers of an owner that waits for this router
	Vouched                                  uint64 // leases on the configuration alone
	Sweeps                                   uint64 // times that every core node was asked at once
	Stalls                                   uint64 // the process stood still
	Unvouched                                uint64 // answers of core nodes that could not tell what is the newest
}

// New makes an agent.
func New(o Options) *Core {
	generic.SetDefault(&o.Keep, 400e6)
	generic.SetDefault(&o.Wait, 350e6)
	c := &Core{o: o, sent: map[uint64]clock.Tick{}, cores: o.Seeds, stall: clock.Stall{Least: stallLeast}}
	c.mates = membership.New(membership.Options{
		Me:    protocol.Member{Sibling: o.Me, Role: "agent", Zone: o.Zone, Inc: o.Inc},
		Seeds: o.Seeds, Rand: o.Rand,
	})
	if len(o.Seeds) > 0 {
		c.turn = o.Rand.IntN(len(o.Seeds))
		c.way.to = o.Seeds[c.turn]
	}
	return c
}

// Step takes one input and gives what is to be done.
func (c *Core) Step(now clock.Tick, in any) []any {
	c.now, c.out = now, nil
	switch v := in.(type) {
	case protocol.Env:
		c.take(v)
	case protocol.Reseed:
		c.o.Seeds = v.Seeds
		c.mates.Reseed(v.Seeds)
	case protocol.Beat:
		c.beat()
	}
	return c.out
}

func (c *Core) post(l ...protocol.Env) {
	for _, e := range l {
		c.out = append(c.out, e)
	}
}

func (c *Core) note(text string, fields ...protocol.Field) {
	c.out = append(c.out, protocol.Note{Text: text, Fields: fields})
}

func (c *Core) up(body any) {
	c.post(protocol.Env{From: c.o.Me, To: c.way.to, Via: c.way.via, Body: body})
}

func (c *Core) down(body any) {
	c.post(protocol.Env{From: c.o.Me, To: c.o.Router, Body: body})
}

// session begins a new life of the link: whatever the router has is suspect from here on.
func (c *Core) session(why string) {
	c.ses = protocol.Session{Node: c.o.Me.ID, Agent: c.o.Life, Router: c.router, N: c.ses.N + 1}
	c.until, c.duty, c.fresh, c.heard = 0, 0, true, 0
	c.sent = map[uint64]clock.Tick{}
	c.next = c.now
	c.tally.Sessions++
	c.note("session begins", protocol.Field{Name: "session", Value: c.ses.N}, protocol.Field{Name: "why", Value: why}, protocol.Field{Name: "way", Value: c.way.to.Addr},
		protocol.Field{Name: "epoch", Value: c.epoch})
	c.tell()
}

func (c *Core) tell() { c.down(c.standing()) }

// standing is how things stand for the router: its lease, and what it may go by without one.
func (c *Core) standing() protocol.Hold {
	return protocol.Hold{Session: c.ses, Until: c.until, Duty: c.duty, Parted: c.contact.parted, Current: c.current, Leaving: c.leaving}
}

func (c *Core) take(e protocol.Env) {
	// A sibling that is cut off sends through this one; only core traffic is carried.
	if e.To.ID != "" && e.To.ID != c.o.Me.ID {
		if e.By.ID == "" {
			c.tally.Carried++
			c.post(e.Carry(c.o.Me))
		}
		return
	}
	if l, mine := c.mates.Take(c.now, e); mine {
		c.post(l...)
		return
	}
	switch b := e.Body.(type) {
	case protocol.Hello:
		if b.Router == 0 {
			return // no router begins a life without a number
		}
		if b.Gen != c.gen || b.Epoch != c.epoch {
			c.next = c.now // the owner waits for it
		}
		c.gen, c.epoch, c.seats = b.Gen, b.Epoch, b.Seats
		c.gather(b.Burden)
		c.gatherPaces(b.Paces)
		if b.Router != c.router {
			c.router = b.Router
			c.current, c.leaving = 0, nil // that was for what the router before had
			c.session("the router is new")
			c.beat()
		} else if b.Session != c.ses {
			c.tell()
		}
	case protocol.Want:
		// Before an owner has answered in this session it knows no link: it would say that the session is gone, and the
		// next one would begin with the same question.
		if b.Session == c.ses && !c.fresh {
			c.up(b)
		}
	case protocol.Removal:
		if b.Session == c.ses {
			c.up(b)
		}
	case protocol.Heard:
		if b.Session == c.ses {
			c.heard = max(c.heard, b.Num)
			c.up(b)
		}
	case protocol.Grant:
		c.onGrant(e, b)
	case protocol.NotOwner:
		c.onNotOwner(b)
	case protocol.News:
		c.onNews(e, b)
	case protocol.Kept:
		c.keep(b.Value)
	case protocol.Keep:
		c.post(e.Reply(c.o.Me, protocol.Kept{Round: b.Round, Value: c.newest}))
	}
}

// same tells whether an owner's message belongs to this session; another owner than the
// one that the session began with ends it.
func (c *Core) same(s protocol.Session, d ident.Duty) bool {
	if s != c.ses {
		return false
	}
	if c.duty != 0 && d != c.duty {
		if d > c.duty {
			c.session("another owner speaks")
		}
		return false
	}
	c.duty, c.last, c.fresh = d, c.now, false
	return true
}

func (c *Core) onGrant(e protocol.Env, b protocol.Grant) {
	c.hearCore()
	if !c.same(b.Session, b.Duty) {
		return
	}
	c.way = way{to: e.From, via: e.By}
	if b.Len <= 0 {
		c.tally.Withheld++
		return
	}
	at, ok := c.sent[b.Seq]
	if !ok {
		return
	}
	for s := range c.sent {
		if s <= b.Seq {
			delete(c.sent, s)
		}
	}
	c.tally.Grants++
	c.routers = b.Routers
	c.until = max(c.until, at.Add(b.Len))
	told := c.standing()
	told.Routers, told.Seats, told.Paces = b.Routers, b.Seats, b.Paces
	c.down(told)
}

func (c *Core) onNotOwner(b protocol.NotOwner) {
	if b.Gone || b.Majority || b.Fresh > 0 {
		c.hearCore() // one that hears no majority itself is no way to the core
	} else {
		c.tally.Unvouched++
		c.contact.unvouched++
	}
	if b.Session != c.ses {
		return
	}
	if len(b.Cores) > 0 {
		c.cores = b.Cores
	}
	c.vouched(b)
	if b.Gone {
		c.session("the owner does not know it")
		return
	}
	if b.Hint.ID != "" && b.Hint.Addr != c.way.to.Addr {
		c.way = way{to: b.Hint, via: c.way.via}
		c.next, c.tried = c.now, c.now
	}
}

// vouched takes in a core node's word for the configuration that the router has: it counts from when it was asked for.
func (c *Core) vouched(b protocol.NotOwner) {
	asked, ok := c.sent[b.Seq]
	if !ok || b.Fresh <= 0 || b.Gen > c.gen || b.Gen == c.gen && b.Epoch > c.epoch {
		return
	}
	c.leaving = b.Leaving
	c.current = max(c.current, asked.Add(b.Fresh))
	c.tally.Vouched++
	c.tell()
}

func (c *Core) onNews(e protocol.Env, b protocol.News) {
	c.hearCore()
	if !c.same(b.Session, b.Duty) {
		c.passOn(b)
		return
	}
	for _, i := range b.Items {
		c.keep(i.Desired)
	}
	c.down(b)
}

// passOn takes from changes that come too late for their session what does not hang on it: a configuration was chosen
// once and for all, and a router for which it took longer than a session lasts would else never have it.
func (c *Core) passOn(b protocol.News) {
	c.tally.StaleNews += uint64(len(b.Items))
	var late protocol.News // of no session
	for _, i := range b.Items {
		if i.Desired == nil {
			continue
		}
		c.keep(i.Desired)
		late.Items = append(late.Items, protocol.Item{Desired: i.Desired})
		c.note("a configuration comes too late for its session", protocol.Field{Name: "session", Value: b.Session.N}, protocol.Field{Name: "now", Value: c.ses.N},
			protocol.Field{Name: "its_epoch", Value: i.Desired.Epoch}, protocol.Field{Name: "epoch", Value: c.epoch})
	}
	if len(late.Items) > 0 {
		c.down(late)
	}
}

// keep remembers the newest desired state seen, for a core that has lost everything.
func (c *Core) keep(d *protocol.Desired) {
	if d != nil && d.Newer(c.newest) {
		c.newest = d
	}
}

func (c *Core) beat() {
	if gap := c.stall.Beat(c.now); gap > 0 {
		c.tally.Stalls++
		c.note("stood still", protocol.Field{Name: "ms", Value: gap.Milliseconds()})
		c.contact.doubt() // what came meanwhile is not read yet
	}
	c.post(c.mates.Beat(c.now)...)
	if c.router == 0 {
		return
	}
	if c.until != 0 && c.now > c.until {
		c.session("its lease ran out") // after a reconnect everything is suspect
	}
	c.watchContact()
	if c.now < c.next {
		return
	}
	if c.now.Sub(c.last) > c.o.Keep+c.o.Wait && c.now.Sub(c.tried) > c.o.Wait {
		c.change()
	}
	if c.way.via.ID != "" && c.now.Sub(c.straight) > detourSpan {
		c.straight, c.way.via = c.now, protocol.Sibling{} // a detour is for as long as it is needed
	}
	c.next = c.now.Add(c.keepFor())
	if c.now.Sub(c.last) > c.o.Keep+c.o.Wait {
		c.next = c.now.Add(c.o.Wait / 2)
	}
	c.tally.Renews++
	c.up(c.renewal())
	c.burden, c.paces = underWay(c.burden), nil // what was sent is not touched any more
}

// keepFor is the time to the next renewal.
func (c *Core) keepFor() clock.Span {
	if !c.o.Brisk || c.routers == 0 {
		return c.o.Keep
	}
	return min(c.o.Keep, max(c.o.Keep*3/8, c.o.Keep/60*clock.Span(c.routers)))
}

// gather takes in what the router bears now, and adds up what came since the last renewal.
func (c *Core) gather(b map[ident.Key]protocol.Burden) {
	n := map[ident.Key]protocol.Burden{}
	for k, u := range b {
		u.Came, u.Load = u.Came+c.burden[k].Came, u.Load+c.burden[k].Load
		n[k] = u
	}
	for k, u := range c.burden {
		if _, ok := n[k]; !ok && u.Came > 0 {
			n[k] = protocol.Burden{Came: u.Came, Load: u.Load}
		}
	}
	c.burden = n
}

// gatherPaces takes in the shortest times that the router has seen, until the next renewal.
func (c *Core) gatherPaces(seen map[ident.Key]float64) {
	if c.paces == nil {
		c.paces = map[ident.Key]float64{}
	}
	for base, pace := range seen {
		if was, ok := c.paces[base]; !ok || pace < was {
			c.paces[base] = pace
		}
	}
}

// detourSpan is how long a detour is gone by before the straight way is tried again.
const detourSpan = clock.Span(5e9)

// sentKept is how long the moment of a renewal is remembered: an answer that comes later gives no lease any more.
const sentKept = clock.Span(5e9)

// renewal asks for the lease to go on, under the newest number.
func (c *Core) renewal() protocol.Renew {
	c.seq++
	c.sent[c.seq] = c.now
	for s, t := range c.sent {
		if c.now.Sub(t) > sentKept {
			delete(c.sent, s)
		}
	}
	c.contact.asked(c.now)
	return protocol.Renew{Session: c.ses, Seq: c.seq, Fresh: c.fresh, Gen: c.gen, Epoch: c.epoch, Heard: c.heard, Burden: c.burden, Seats: c.seats, Paces: c.paces}
}

// underWay gives of what a router bears what waits and is under way, without what came since the last renewal.
func underWay(burden map[ident.Key]protocol.Burden) map[ident.Key]protocol.Burden {
	left := map[ident.Key]protocol.Burden{}
	for k, u := range burden {
		if u.Came, u.Load = 0, 0; u.Wait > 0 || u.Work > 0 {
			left[k] = u
		}
	}
	return left
}

// coreNodes lists every core node that this agent knows of.
func (c *Core) coreNodes() (l []protocol.Sibling) {
	add := func(p protocol.Sibling) {
		for _, x := range l {
			if x.Addr == p.Addr {
				return
			}
		}
		l = append(l, p)
	}
	for _, m := range c.mates.Alive("controller") {
		add(m.Sibling)
	}
	for _, p := range append(append([]protocol.Sibling{}, c.cores...), c.o.Seeds...) {
		add(p)
	}
	return l
}

// change tries another way: each core node straight, then each through siblings.
func (c *Core) change() {
	c.tried = c.now
	c.tally.Turns++
	l := c.coreNodes()
	if len(l) == 0 {
		return
	}
	c.turn++
	w := way{to: l[c.turn%len(l)]}
	var sib []protocol.Sibling
	for _, m := range c.mates.Alive("agent") {
		if m.ID != c.o.Me.ID {
			sib = append(sib, m.Sibling)
		}
	}
	// Every second turn goes through a sibling, once the straight ways were tried.
	if n := c.turn / len(l); n%2 == 1 && len(sib) > 0 && w.to.ID != "" {
		w.via = sib[c.o.Rand.IntN(len(sib))]
	}
	c.way = w
}

// Session tells the session now in force.
func (c *Core) Session() protocol.Session { return c.ses }

// Counts gives the tally so far.
func (c *Core) Counts() Tally { return c.tally }

// Held tells whether the link is held now.
func (c *Core) Held(now clock.Tick) bool { return now < c.until }

// Members lists the membership as this agent sees it.
func (c *Core) Members() []protocol.Member { return c.mates.All() }
