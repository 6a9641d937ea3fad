// Package agent implements the agent process that runs beside each router. The agent maintains the session with the
// core, forwards the router's requests for keys and its acknowledgements, and delivers the core's updates to the
// router.
package agent

import (
	"math/rand/v2"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/membership"
	"tidedeck/internal/protocol"
)

// Options configures an agent.
type Options struct {
	Me     protocol.Sibling
	Zone   ident.Zone
	Inc    ident.Inc
	Life   ident.Inc // start number of this agent, sent to the router; a later start on the same machine has a higher one
	Seeds  []protocol.Sibling
	Router protocol.Sibling
	Rand   *rand.Rand
	Keep   clock.Span // interval between lease renewals
	Wait   clock.Span // time without an answer after which another path is tried
	Brisk  bool       // renew more often with fewer routers, since renewals report each router's load
}

// Core is the agent's state machine. It performs no I/O.
type Core struct {
	o       Options
	now     clock.Tick
	out     []any
	members *membership.Core

	router  ident.Inc
	gen     uint64
	epoch   ident.Epoch
	burden  map[ident.Key]protocol.Burden
	seats   map[ident.Server]int
	paces   map[ident.Key]float64 // shortest observed time per token since the last renewal
	routers int

	session            protocol.Session
	seq                uint64
	sentAt             map[uint64]clock.Tick
	leaseEnd           clock.Tick
	term               ident.Duty
	fresh              bool
	ackedNum           uint64
	nextRenewal        clock.Tick
	contact            coreContact // whether any core node is reachable, independent of the current leader
	configCurrentUntil clock.Tick  // until when a core node has confirmed the router's configuration as current
	leaving            []ident.Server
	lastOwnerAnswer    clock.Tick // when a leader last answered in this session
	pathChangedAt      clock.Tick
	path               corePath
	directTriedAt      clock.Tick // when a direct path was last tried while relaying through a sibling
	advertisedCores    []protocol.Sibling
	pathIndex          int
	newestDesired      *protocol.Desired
	stall              clock.Stall
	tally              Tally
}

// minStall is the shortest gap between two ticks that is logged as a stall.
const minStall = clock.Span(250e6)

// corePath is the path to the leader: direct, or relayed through a sibling.
type corePath struct {
	to  protocol.Sibling
	via protocol.Sibling
}

// Tally counts an agent's events.
type Tally struct {
	Renews, Grants, Sessions, Turns, Carried uint64
	StaleNews                                uint64 // updates that arrived after their session had ended
	Withheld                                 uint64 // answers of a leader that withholds the lease until this router acknowledges
	Vouched                                  uint64 // times that a core node confirmed the configuration without granting a lease
	Sweeps                                   uint64 // times that all core nodes were queried at once
	Stalls                                   uint64 // stalls of the process
	Unvouched                                uint64 // answers of core nodes that could not determine the newest configuration
}

// New returns an agent with the given options.
func New(o Options) *Core {
	generic.SetDefault(&o.Keep, 400e6)
	generic.SetDefault(&o.Wait, 350e6)
	c := &Core{o: o, sentAt: map[uint64]clock.Tick{}, advertisedCores: o.Seeds, stall: clock.Stall{Least: minStall}}
	c.members = membership.New(membership.Options{
		Me:    protocol.Member{Sibling: o.Me, Role: "agent", Zone: o.Zone, Inc: o.Inc},
		Seeds: o.Seeds, Rand: o.Rand,
	})
	if len(o.Seeds) > 0 {
		c.pathIndex = o.Rand.IntN(len(o.Seeds))
		c.path.to = o.Seeds[c.pathIndex]
	}
	return c
}

// Step processes one input and returns the resulting outputs.
func (c *Core) Step(now clock.Tick, in any) []any {
	c.now, c.out = now, nil
	switch v := in.(type) {
	case protocol.Env:
		c.receive(v)
	case protocol.Reseed:
		c.o.Seeds = v.Seeds
		c.members.Reseed(v.Seeds)
	case protocol.Beat:
		c.tick()
	}
	return c.out
}

func (c *Core) send(messages ...protocol.Env) {
	for _, e := range messages {
		c.out = append(c.out, e)
	}
}

func (c *Core) logEvent(text string, fields ...protocol.Field) {
	c.out = append(c.out, protocol.Note{Text: text, Fields: fields})
}

func (c *Core) sendToCore(body any) {
	c.send(protocol.Env{From: c.o.Me, To: c.path.to, Via: c.path.via, Body: body})
}

func (c *Core) sendToRouter(body any) {
	c.send(protocol.Env{From: c.o.Me, To: c.o.Router, Body: body})
}

// beginSession starts a new session. The router has to revalidate all of its cached state.
func (c *Core) beginSession(why string) {
	c.session = protocol.Session{Node: c.o.Me.ID, Agent: c.o.Life, Router: c.router, N: c.session.N + 1}
	c.leaseEnd, c.term, c.fresh, c.ackedNum = 0, 0, true, 0
	c.sentAt = map[uint64]clock.Tick{}
	c.nextRenewal = c.now
	c.tally.Sessions++
	c.logEvent("session started", protocol.Field{Name: "session", Value: c.session.N}, protocol.Field{Name: "why", Value: why}, protocol.Field{Name: "way", Value: c.path.to.Addr},
		protocol.Field{Name: "epoch", Value: c.epoch})
	c.sendHold()
}

func (c *Core) sendHold() { c.sendToRouter(c.currentHold()) }

// currentHold returns the router's current lease, and the terms on which it may continue without one.
func (c *Core) currentHold() protocol.Hold {
	return protocol.Hold{Session: c.session, Until: c.leaseEnd, Duty: c.term, Parted: c.contact.parted, Current: c.configCurrentUntil, Leaving: c.leaving}
}

func (c *Core) receive(e protocol.Env) {
	// A sibling without a direct path to the core relays through this agent. Only core traffic is relayed.
	if e.To.ID != "" && e.To.ID != c.o.Me.ID {
		if e.By.ID == "" {
			c.tally.Carried++
			c.send(e.Carry(c.o.Me))
		}
		return
	}
	if l, mine := c.members.Take(c.now, e); mine {
		c.send(l...)
		return
	}
	switch b := e.Body.(type) {
	case protocol.Hello:
		if b.Router == 0 {
			return // a running router has a non-zero start number
		}
		if b.Gen != c.gen || b.Epoch != c.epoch {
			c.nextRenewal = c.now // the leader waits for this acknowledgement
		}
		c.gen, c.epoch, c.seats = b.Gen, b.Epoch, b.Seats
		c.mergeBurden(b.Burden)
		c.mergePaces(b.Paces)
		if b.Router != c.router {
			c.router = b.Router
			c.configCurrentUntil, c.leaving = 0, nil // these applied to the previous router's configuration
			c.beginSession("router restarted")
			c.tick()
		} else if b.Session != c.session {
			c.sendHold()
		}
	case protocol.Want:
		// Before a leader has answered in this session, it does not know the session. It would reject the request as
		// belonging to an unknown session, and the next session would start with the same request.
		if b.Session == c.session && !c.fresh {
			c.sendToCore(b)
		}
	case protocol.Removal:
		if b.Session == c.session {
			c.sendToCore(b)
		}
	case protocol.Heard:
		if b.Session == c.session {
			c.ackedNum = max(c.ackedNum, b.Num)
			c.sendToCore(b)
		}
	case protocol.Grant:
		c.onGrant(e, b)
	case protocol.NotOwner:
		c.onNotOwner(b)
	case protocol.News:
		c.onNews(e, b)
	case protocol.Kept:
		c.rememberDesired(b.Value)
	case protocol.Keep:
		c.send(e.Reply(c.o.Me, protocol.Kept{Round: b.Round, Value: c.newestDesired}))
	}
}

// acceptFromOwner reports whether a leader's message belongs to this session. A message from a leader with a higher
// term ends the session.
func (c *Core) acceptFromOwner(s protocol.Session, d ident.Duty) bool {
	if s != c.session {
		return false
	}
	if c.term != 0 && d != c.term {
		if d > c.term {
			c.beginSession("message from a leader with a higher term")
		}
		return false
	}
	c.term, c.lastOwnerAnswer, c.fresh = d, c.now, false
	return true
}

func (c *Core) onGrant(e protocol.Env, b protocol.Grant) {
	c.noteCoreAnswer()
	if !c.acceptFromOwner(b.Session, b.Duty) {
		return
	}
	c.path = corePath{to: e.From, via: e.By}
	if b.Len <= 0 {
		c.tally.Withheld++
		return
	}
	at, ok := c.sentAt[b.Seq]
	if !ok {
		return
	}
	for s := range c.sentAt {
		if s <= b.Seq {
			delete(c.sentAt, s)
		}
	}
	c.tally.Grants++
	c.routers = b.Routers
	c.leaseEnd = max(c.leaseEnd, at.Add(b.Len))
	told := c.currentHold()
	told.Routers, told.Seats, told.Paces = b.Routers, b.Seats, b.Paces
	c.sendToRouter(told)
}

func (c *Core) onNotOwner(b protocol.NotOwner) {
	if b.Gone || b.Majority || b.Fresh > 0 {
		c.noteCoreAnswer() // a node without a majority does not count as contact with the core
	} else {
		c.tally.Unvouched++
		c.contact.inconclusive++
	}
	if b.Session != c.session {
		return
	}
	if len(b.Cores) > 0 {
		c.advertisedCores = b.Cores
	}
	c.extendConfigCurrent(b)
	if b.Gone {
		c.beginSession("session unknown to the leader")
		return
	}
	if b.Hint.ID != "" && b.Hint.Addr != c.path.to.Addr {
		c.path = corePath{to: b.Hint, via: c.path.via}
		c.nextRenewal, c.pathChangedAt = c.now, c.now
	}
}

// extendConfigCurrent records a core node's confirmation that the router's configuration is current. Its validity
// starts when the request was sent.
func (c *Core) extendConfigCurrent(b protocol.NotOwner) {
	asked, ok := c.sentAt[b.Seq]
	if !ok || b.Fresh <= 0 || b.Gen > c.gen || b.Gen == c.gen && b.Epoch > c.epoch {
		return
	}
	c.leaving = b.Leaving
	c.configCurrentUntil = max(c.configCurrentUntil, asked.Add(b.Fresh))
	c.tally.Vouched++
	c.sendHold()
}

func (c *Core) onNews(e protocol.Env, b protocol.News) {
	c.noteCoreAnswer()
	if !c.acceptFromOwner(b.Session, b.Duty) {
		c.forwardStaleConfig(b)
		return
	}
	for _, i := range b.Items {
		c.rememberDesired(i.Desired)
	}
	c.sendToRouter(b)
}

// forwardStaleConfig forwards the configurations among updates whose session has ended, and drops the rest. A chosen
// configuration remains valid in any session, and a router to which delivery takes longer than a session lasts would
// otherwise never receive it.
func (c *Core) forwardStaleConfig(b protocol.News) {
	c.tally.StaleNews += uint64(len(b.Items))
	var late protocol.News // carries no session
	for _, i := range b.Items {
		if i.Desired == nil {
			continue
		}
		c.rememberDesired(i.Desired)
		late.Items = append(late.Items, protocol.Item{Desired: i.Desired})
		c.logEvent("configuration received after its session ended", protocol.Field{Name: "session", Value: b.Session.N}, protocol.Field{Name: "now", Value: c.session.N},
			protocol.Field{Name: "its_epoch", Value: i.Desired.Epoch}, protocol.Field{Name: "epoch", Value: c.epoch})
	}
	if len(late.Items) > 0 {
		c.sendToRouter(late)
	}
}

// rememberDesired retains the newest desired state seen, for the recovery of a core that has lost all its disks.
func (c *Core) rememberDesired(d *protocol.Desired) {
	if d != nil && d.Newer(c.newestDesired) {
		c.newestDesired = d
	}
}

func (c *Core) tick() {
	if gap := c.stall.Beat(c.now); gap > 0 {
		c.tally.Stalls++
		c.logEvent("process stalled", protocol.Field{Name: "ms", Value: gap.Milliseconds()})
		c.contact.discardQuery() // answers that arrived during the stall may still be unread
	}
	c.send(c.members.Beat(c.now)...)
	if c.router == 0 {
		return
	}
	if c.leaseEnd != 0 && c.now > c.leaseEnd {
		c.beginSession("lease expired") // the router revalidates its state in the new session
	}
	c.checkContact()
	if c.now < c.nextRenewal {
		return
	}
	if c.now.Sub(c.lastOwnerAnswer) > c.o.Keep+c.o.Wait && c.now.Sub(c.pathChangedAt) > c.o.Wait {
		c.switchPath()
	}
	if c.path.via.ID != "" && c.now.Sub(c.directTriedAt) > relayDuration {
		c.directTriedAt, c.path.via = c.now, protocol.Sibling{} // return to the direct path as soon as possible
	}
	c.nextRenewal = c.now.Add(c.renewInterval())
	if c.now.Sub(c.lastOwnerAnswer) > c.o.Keep+c.o.Wait {
		c.nextRenewal = c.now.Add(c.o.Wait / 2)
	}
	c.tally.Renews++
	c.sendToCore(c.renewal())
	c.burden, c.paces = outstanding(c.burden), nil // a sent map is not modified afterwards
}

// renewInterval returns the time until the next renewal.
func (c *Core) renewInterval() clock.Span {
	if !c.o.Brisk || c.routers == 0 {
		return c.o.Keep
	}
	return min(c.o.Keep, max(c.o.Keep*3/8, c.o.Keep/60*clock.Span(c.routers)))
}

// mergeBurden records the router's current load and adds the counts accumulated since the last renewal.
func (c *Core) mergeBurden(b map[ident.Key]protocol.Burden) {
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

// mergePaces keeps the shortest observed time per token for each base until the next renewal.
func (c *Core) mergePaces(seen map[ident.Key]float64) {
	if c.paces == nil {
		c.paces = map[ident.Key]float64{}
	}
	for base, pace := range seen {
		if was, ok := c.paces[base]; !ok || pace < was {
			c.paces[base] = pace
		}
	}
}

// relayDuration is how long a relayed path is used before the direct path is retried.
const relayDuration = clock.Span(5e9)

// sentRetention is how long a renewal's send time is kept. A later answer grants no lease.
const sentRetention = clock.Span(5e9)

// renewal returns a lease renewal with a new sequence number.
func (c *Core) renewal() protocol.Renew {
	c.seq++
	c.sentAt[c.seq] = c.now
	for s, t := range c.sentAt {
		if c.now.Sub(t) > sentRetention {
			delete(c.sentAt, s)
		}
	}
	c.contact.noteRequest(c.now)
	return protocol.Renew{Session: c.session, Seq: c.seq, Fresh: c.fresh, Gen: c.gen, Epoch: c.epoch, Heard: c.ackedNum, Burden: c.burden, Seats: c.seats, Paces: c.paces}
}

// outstanding returns the waiting and running requests of a load report, without the counts of new arrivals.
func outstanding(burden map[ident.Key]protocol.Burden) map[ident.Key]protocol.Burden {
	left := map[ident.Key]protocol.Burden{}
	for k, u := range burden {
		if u.Came, u.Load = 0, 0; u.Wait > 0 || u.Work > 0 {
			left[k] = u
		}
	}
	return left
}

// coreNodes lists all core nodes known to this agent.
func (c *Core) coreNodes() (l []protocol.Sibling) {
	add := func(p protocol.Sibling) {
		for _, x := range l {
			if x.Addr == p.Addr {
				return
			}
		}
		l = append(l, p)
	}
	for _, m := range c.members.Alive("controller") {
		add(m.Sibling)
	}
	for _, p := range append(append([]protocol.Sibling{}, c.advertisedCores...), c.o.Seeds...) {
		add(p)
	}
	return l
}

// switchPath selects the next path: each core node directly, then each through a sibling.
func (c *Core) switchPath() {
	c.pathChangedAt = c.now
	c.tally.Turns++
	l := c.coreNodes()
	if len(l) == 0 {
		return
	}
	c.pathIndex++
	w := corePath{to: l[c.pathIndex%len(l)]}
	var sib []protocol.Sibling
	for _, m := range c.members.Alive("agent") {
		if m.ID != c.o.Me.ID {
			sib = append(sib, m.Sibling)
		}
	}
	// Passes over the core nodes alternate between direct paths and paths through a sibling.
	if n := c.pathIndex / len(l); n%2 == 1 && len(sib) > 0 && w.to.ID != "" {
		w.via = sib[c.o.Rand.IntN(len(sib))]
	}
	c.path = w
}

// Session returns the current session.
func (c *Core) Session() protocol.Session { return c.session }

// Counts returns the event counters.
func (c *Core) Counts() Tally { return c.tally }

// Held reports whether the lease is valid at the given time.
func (c *Core) Held(now clock.Tick) bool { return now < c.leaseEnd }

// Members lists the members known to this agent.
func (c *Core) Members() []protocol.Member { return c.members.All() }
