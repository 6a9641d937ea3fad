package controller

import (
	"slices"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// Announce is a server's own word to a core node.
type Announce struct {
	Token  uint64
	Beacon protocol.Beacon
}

// Announced answers Announce. A leaving that is not OK is not known where it must be.
type Announced struct {
	Token uint64
	OK    bool
}

// enrolled is what a core node knows of a server that announced itself.
type enrolled struct {
	protocol.Beacon
	heard clock.Tick         // when its last word came, by whatever way
	had   map[ident.Key]bool // what its own disk has, surely (true) or likely: an earlier start held it
	soft  bool               // it is only taken for gone, since another start has its address
	spoke clock.Tick         // when it first spoke all the same
}

// keeps adds what a server says that it holds to what it has had.
func (c *Core) keeps(e *enrolled, l []ident.Key) {
	for _, k := range l {
		c.noteOnDisk(e, k, true)
	}
}

// leaving is an announced leaving, or a going, that is not answered yet: the owner must have broken
// every promise on the server, and a majority of the core must know, or the next owner would not.
type leaving struct {
	token uint64
	at    clock.Tick
	sent  clock.Tick
	list  []protocol.Beacon
	yes   map[ident.Node]ident.Inc
	ruled bool
}

// Stages of a server's life, in the only order that they come in.
var stagesOf = map[string]int{"live": 0, "leaving": 1, "gone": 2}

const (
	relayEvery  = 100e6
	rollForget  = 60e9 // ended servers are remembered for so long, should a late word of theirs come
	leaveWait   = 900e6
	leaveResend = 200e6
)

// enrol takes in a server's word, which may be late; it tells whether it says anything new.
func (c *Core) enrol(b protocol.Beacon) bool {
	if b.ID == "" || stagesOf[b.State] == 0 && b.State != "live" {
		return false
	}
	e := c.roll[b.ID]
	if e == nil {
		if b.Addr == "" && b.State != "gone" {
			return false
		}
		e = &enrolled{Beacon: b, heard: c.now, had: map[ident.Key]bool{}}
		// An address that another start of a server had is no longer its; its disk may still be there.
		for _, id := range generic.SortedKeys(c.roll) {
			o := c.roll[id]
			if b.Addr == "" || o.Addr != b.Addr || b.State == "gone" {
				continue
			}
			if o.Service == b.Service && o.Zone == b.Zone {
				for k := range o.had {
					e.had[k] = false
				}
			}
			c.retire(o)
		}
		c.noteEnrolled(b)
		c.enlist(e)
		c.keeps(e, b.Held)
		c.applyRoll(e)
		return true
	}
	if b.State == "gone" {
		if e.State == "gone" && !e.soft {
			return false
		}
		e.State, e.soft, e.heard = "gone", false, c.now
		c.applyRoll(e)
		return true
	}
	if b.Count <= e.Count || e.State == "gone" && !e.soft {
		return false
	}
	if e.soft {
		// It may be a late word; one that goes on speaking while the other start says nothing is there.
		e.Count = b.Count
		if e.spoke == 0 {
			e.spoke = c.now
		}
		holder := clock.Tick(0)
		for _, o := range c.roll {
			if o != e && o.Addr == b.Addr && o.State != "gone" {
				holder = max(holder, o.heard)
			}
		}
		if c.now.Sub(e.spoke) < relayEvery*5 || holder > e.spoke {
			if holder > e.spoke {
				e.spoke = 0
			}
			return false
		}
		e.soft, e.spoke, e.State = false, 0, "live"
		for _, id := range generic.SortedKeys(c.roll) {
			if o := c.roll[id]; o != e && o.Addr == b.Addr {
				c.retire(o)
			}
		}
	}
	if stagesOf[b.State] < stagesOf[e.State] {
		b.State = e.State
	}
	was := e.Beacon
	e.Beacon, e.heard = b, c.now
	c.keeps(e, b.Held)
	if was.State != b.State || was.Listed != b.Listed {
		c.applyRoll(e)
	} else if s := c.servers[b.ID]; s != nil && s.dark && !s.silent(c) {
		c.lighten(s)
	}
	return true
}

// noteEnrolled counts and logs a server that was not known.
func (c *Core) noteEnrolled(b protocol.Beacon) {
	c.tally.Enrolments++
	c.note("server enrolled", field("server", b.ID), field("address", b.Addr), field("state", b.State))
}

// retire takes a server for gone whose address another start of a server has.
func (c *Core) retire(o *enrolled) {
	if o.State != "gone" {
		c.note("server's address has another start of a server", field("server", o.ID), field("address", o.Addr))
		o.State, o.soft = "gone", true
		c.applyRoll(o)
	}
}

// silent tells whether nothing was heard of an announced server for too long.
func (s *server) silent(c *Core) bool {
	e := c.roll[s.ID]
	return e != nil && c.now.Sub(e.heard) > c.o.Silence
}

// lighten takes a server back that was dark and has spoken.
func (c *Core) lighten(s *server) {
	if s.plain {
		s.dark, s.fails = false, 0
		c.touchOn(s)
		return
	}
	s.next = c.now // its report tells what it holds
}

// applyRoll takes what is known of one server into the owner's view at once.
func (c *Core) applyRoll(e *enrolled) {
	if !c.duty.mine || !c.o.Enrolled {
		return
	}
	s := c.servers[e.ID]
	if s == nil {
		if e.State == "gone" {
			return
		}
		s = newServer(e.Listed, c.now)
		c.addServer(s)
		c.adopt(s)
		c.touchAll()
		return
	}
	if s.Listed == e.Listed {
		return
	}
	if s.Addr != e.Addr {
		s.known = false
	}
	s.Listed = e.Listed
	c.adopt(s)
	c.touchOn(s)
}

// adopt draws from a server's announcement what it is.
func (c *Core) adopt(s *server) {
	if !c.o.Enrolled || c.plan == nil {
		return
	}
	v, ok := c.plan.Services[s.Service]
	if !ok {
		return
	}
	if s.slots = s.Slots; s.slots <= 0 {
		s.slots = max(1, v.Slots)
	}
	s.room, s.places, s.plain = v.Room, v.Places, v.Plain
	for k, p := range s.spots {
		p.size = c.sizeOf(k) // it may have been reported before the plan that says its size was known
	}
	if s.plain && !s.known {
		s.known, s.room = true, 0
		c.touchOn(s)
	}
}

func (c *Core) onAnnounce(a Announce) {
	b := a.Beacon
	c.tally.Beacons++
	if !c.began || c.ending {
		c.out = append(c.out, Announced{Token: a.Token})
		return
	}
	known := c.roll[b.ID]
	first := known == nil || known.State != b.State
	if b.State == "gone" && known != nil {
		b.Listed, b.Count = known.Listed, known.Count
		b.State = "gone"
	}
	if c.enrol(b) {
		c.relays = append(c.relays, b)
	}
	if b.State == "live" {
		if first {
			c.relayRoll()
		}
		// A node that is parted from the core sends servers on to one that is not.
		c.out = append(c.out, Announced{Token: a.Token, OK: c.reg.known == nil && !c.o.Joined || c.Ready()})
		return
	}
	// Repeats of a leaving are answered like the first: their answer may be the one that is heard.
	c.tally.Leaves++
	c.mark++
	e := c.roll[b.ID]
	if e == nil {
		c.out = append(c.out, Announced{Token: a.Token, OK: true}) // nobody was ever told of it
		return
	}
	l := &leaving{token: a.Token, at: c.now, list: []protocol.Beacon{e.Beacon}, yes: map[ident.Node]ident.Inc{}}
	mark := c.mark
	c.acks[mark] = l
	l.ruled = c.rules()
	c.tellLeaving(mark, l)
	c.keepLeavings(func() {
		if c.acks[mark] == l {
			l.yes[c.o.Me.ID] = c.vote.inc
			c.settleLeaving(mark, l)
		}
	})
}

// keepLeavings has the disk know who leaves and who is gone, before anybody is told that it is known.
func (c *Core) keepLeavings(then func()) {
	var l []protocol.Beacon
	for _, id := range generic.SortedKeys(c.roll) {
		if e := c.roll[id]; e.State != "live" && !e.soft {
			l = append(l, e.Beacon)
		}
	}
	b := jot(l)
	if string(b) == string(c.leavings) {
		then()
		return
	}
	c.save(map[string][]byte{diskR: b}, func() {
		c.leavings = b
		then()
	})
}

// recall takes in what the disk knows of servers that leave.
func (c *Core) recall(l []protocol.Beacon) {
	for _, b := range l {
		if b.ID != "" {
			c.enlist(&enrolled{Beacon: b, heard: c.now, had: map[ident.Key]bool{}})
		}
	}
}

func (c *Core) tellLeaving(mark uint64, l *leaving) {
	l.sent = c.now
	for _, p := range c.others() {
		c.send(p, protocol.Beacons{Mark: mark, List: l.list})
	}
}

// others lists the core nodes beside this one.
func (c *Core) others() (l []protocol.Sibling) {
	to := map[ident.Node]protocol.Sibling{}
	if k := c.latest(); k != nil {
		for _, p := range voterset.Addresses(*k) {
			to[p.ID] = p
		}
	}
	for _, m := range c.mates.Alive("controller") {
		to[m.ID] = m.Sibling
	}
	for _, id := range generic.SortedKeys(to) {
		if id != c.o.Me.ID {
			l = append(l, to[id])
		}
	}
	return l
}

// settleLeaving answers a leaving once the owner and a majority know of it.
func (c *Core) settleLeaving(mark uint64, l *leaving) {
	k := c.latest()
	if !l.ruled || k == nil || !voterset.Majority(*k, l.yes) {
		return
	}
	delete(c.acks, mark)
	c.checkLeaving(l)
	c.noteLeaving("leaving acknowledged", l)
	c.out = append(c.out, Announced{Token: l.token, OK: true})
}

// noteLeaving logs what became of a leaving.
func (c *Core) noteLeaving(text string, l *leaving) {
	for _, b := range l.list {
		c.note(text, field("server", b.ID), field("state", b.State), field("owner_knows", l.ruled),
			field("known_at", generic.SortedKeys(l.yes)), field("took_ms", c.now.Sub(l.at).Milliseconds()))
	}
}

func (c *Core) onBeacons(e protocol.Env) {
	b := e.Body.(protocol.Beacons)
	for _, x := range b.List {
		c.enrol(x)
	}
	if b.Mark != 0 && !c.ending {
		c.keepLeavings(func() { c.reply(e, protocol.BeaconsHeard{Mark: b.Mark, Inc: c.vote.inc, Ruled: c.rules()}) })
	}
}

func (c *Core) onBeaconsHeard(e protocol.Env) {
	b := e.Body.(protocol.BeaconsHeard)
	l := c.acks[b.Mark]
	if l == nil {
		return
	}
	if b.Inc != 0 {
		l.yes[e.From.ID] = b.Inc
	}
	l.ruled = l.ruled || b.Ruled
	c.settleLeaving(b.Mark, l)
}

func (c *Core) relayRoll() {
	c.relayed = c.now
	if len(c.relays) == 0 {
		return
	}
	l := c.relays
	c.relays = nil
	for _, p := range c.others() {
		c.send(p, protocol.Beacons{List: l})
	}
}

// beatRoll passes announcements on, gives up on leavings that nobody could be told of, and, at the
// owner, draws consequences from silence.
func (c *Core) beatRoll() {
	if !c.o.Enrolled {
		return
	}
	if c.now.Sub(c.relayed) > relayEvery {
		c.relayRoll()
	}
	for _, m := range generic.SortedKeys(c.acks) {
		l := c.acks[m]
		switch {
		case c.now.Sub(l.at) > leaveWait:
			delete(c.acks, m)
			c.tally.LeavesUnheard++
			c.noteLeaving("leaving not acknowledged: too few core nodes know of it", l)
			c.out = append(c.out, Announced{Token: l.token})
		case c.now.Sub(l.sent) > leaveResend:
			l.ruled = l.ruled || c.rules()
			c.tellLeaving(m, l)
			c.settleLeaving(m, l)
		}
	}
	c.forgetSilent()
	if !c.rollWhole {
		c.recoverRoll()
	}
	if !c.rules() {
		return
	}
	if !c.rolled() && c.now.Sub(c.called) > leaveResend {
		c.called = c.now
		for _, p := range c.others() {
			c.send(p, protocol.RollCall{Duty: c.duty.num, Life: c.o.Inc})
		}
	}
	for _, s := range c.fleet.ordered {
		if !s.dark && !s.asking && s.State != "gone" && s.silent(c) && c.now.Sub(s.asked) > c.o.Poll {
			c.inquire(s)
		}
	}
}

// silencesToGone is after how many times the silence that makes a server be asked it is taken for gone.
const silencesToGone = 8

// forgetSilent takes servers for gone that have long been silent, and forgets those that are gone for long.
func (c *Core) forgetSilent() {
	var due []ident.Server
	for id, e := range c.roll {
		if silence := c.now.Sub(e.heard); e.State == "gone" && silence > rollForget || e.State != "gone" && silence > silencesToGone*c.o.Silence {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		if e := c.roll[id]; e.State != "gone" {
			e.State = "gone"
			c.applyRoll(e)
		}
		c.delist(id) // its next word, if one comes, enrols it anew
	}
}

// inquire asks a server that has been silent: its words may come to a core node that is parted from this
// one. Only one that does not answer, either, is taken for dark.
func (c *Core) inquire(s *server) {
	if !s.plain {
		c.survey(s)
		return
	}
	s.asking, s.asked = true, c.now
	num := c.duty.num
	c.askServer(s, c.plan.Services[s.Service].Probe, protocol.Order{Key: ident.ServiceKey(s.Service)}, func(t protocol.Told) {
		if !c.duty.mine || c.duty.num != num || c.servers[s.ID] != s {
			return
		}
		s.asking = false
		if t.OK && c.elsewhere(s, t) {
			return
		}
		if t.OK {
			c.spoke(s)
			return
		}
		if s.fails++; s.fails > 1 && !s.dark {
			s.dark = true
			c.note("server is silent and does not answer", field("server", s.ID))
			c.touchOn(s)
		}
	})
}

// spoke notes that a server has answered this owner, which is as good as its own word.
func (c *Core) spoke(s *server) {
	if e := c.roll[s.ID]; e != nil {
		e.heard = c.now
	}
	if s.plain {
		s.fails = 0
	}
}

// callRoll makes the owner's view anew from what is enrolled, and from the last list of the owner
// before for servers that this node has not heard of in this life. One whose address an enrolled server has is over, and
// was forgotten here as such, or speaks soon. The others count as silent from the start, and so are asked at once whether
// they are there: an owner's beginning is no word of theirs.
func (c *Core) callRoll() {
	taken := map[string]bool{}
	for _, e := range c.roll {
		taken[e.Addr] = taken[e.Addr] || e.State != "gone"
	}
	for _, x := range c.list.List {
		if c.roll[x.ID] == nil && x.State != "gone" && !taken[x.Addr] {
			c.enlist(&enrolled{Beacon: protocol.Beacon{Listed: x}, heard: c.now.Add(-c.o.Silence - 1), had: map[ident.Key]bool{}})
		}
	}
	for _, id := range generic.SortedKeys(c.roll) {
		c.applyRoll(c.roll[id])
	}
	c.listed = c.now
}

// knownToLeave lists the servers that this node knows to leave, or to be gone.
func (c *Core) knownToLeave() (l []ident.Server) {
	for id, e := range c.roll {
		if e.State != "live" {
			l = append(l, id)
		}
	}
	slices.Sort(l)
	return l
}

// has tells whether a server likely has a model on its own disk.
func (c *Core) has(s *server, k ident.Key) bool {
	_, ok := c.disks[k][s.ID]
	return ok
}

// sure tells whether a server has a model on its own disk, without doubt.
func (c *Core) sure(s *server, k ident.Key) bool {
	return c.disks[k][s.ID]
}

func (c *Core) onRollCall(e protocol.Env) {
	var l []protocol.Beacon
	for _, id := range generic.SortedKeys(c.roll) {
		if x := c.roll[id]; !x.soft {
			l = append(l, x.Beacon)
		}
	}
	asked := e.Body.(protocol.RollCall)
	c.reply(e, protocol.Roll{Duty: asked.Duty, Life: asked.Life, Inc: c.vote.inc, Partial: !c.rollWhole, List: l})
}

// recoverRoll asks the others for their rolls, at a node whose disk began a new life: what it once
// acknowledged of leavings it has forgotten, and until it has heard a majority its own roll may not count
// for one.
func (c *Core) recoverRoll() {
	if c.now.Sub(c.called) <= leaveResend {
		return
	}
	c.called = c.now
	for _, p := range c.others() {
		c.send(p, protocol.RollCall{Life: c.o.Inc})
	}
}

// settleRoll has a node's roll count again once a majority's are in it and on its disk.
func (c *Core) settleRoll() {
	if c.reg.known == nil || !voterset.Majority(*c.reg.known, c.recovered) {
		return
	}
	c.keepLeavings(func() {
		c.rollWhole = true
		c.rolls[c.o.Me.ID] = c.vote.inc
	})
}

// rolled tells whether the owner has heard a majority's roll: a leaving that was acknowledged is in it.
func (c *Core) rolled() bool {
	return !c.o.Enrolled || c.reg.known != nil && voterset.Majority(*c.reg.known, c.rolls)
}

func (c *Core) onRoll(e protocol.Env) {
	b := e.Body.(protocol.Roll)
	for _, x := range b.List {
		c.enrol(x)
	}
	if b.Partial || b.Life != c.o.Inc {
		return // it may lack what was acknowledged since
	}
	if !c.rollWhole {
		c.recovered[e.From.ID] = b.Inc
		c.settleRoll()
	}
	if !c.duty.mine || b.Duty != c.duty.num {
		return
	}
	was := c.rolled()
	c.rolls[e.From.ID] = b.Inc
	if !was && c.rolled() {
		c.touchAll()
	}
}
