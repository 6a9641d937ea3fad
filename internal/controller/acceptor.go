package controller

import (
	"encoding/json"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// vote is the acceptor's part. What it says of accepted values is always durable already.
type acceptorState struct {
	inc          ident.Inc
	promised     protocol.Ballot
	reserved     protocol.Ballot // the last one that was promised together with an accept
	asked        clock.Tick      // when the proposer of what was promised was last heard
	rivalHeardAt clock.Tick      // when another proposer than this node was last heard
	accepted     protocol.Ballot
	value        *protocol.Desired
	// what the disk surely has
	safeB protocol.Ballot
	safeV *protocol.Desired

	started clock.Tick // from when other owners' holds may still run unseen
	duty    ident.Duty
	sure    ident.Duty // the highest that the disk has
	owner   protocol.Sibling
	until   clock.Tick
}

const (
	diskInc = "inc"
	diskB   = "promised"
	diskV   = "accepted"
	diskD   = "duty"
	diskL   = "list"
	diskR   = "leavings"
)

type safe struct {
	Ballot protocol.Ballot
	Value  *protocol.Desired
}

type pledge struct {
	Duty  ident.Duty
	Owner protocol.Sibling
}

func (c *Core) onStart(s protocol.Start) {
	c.vote.started = c.now
	read := func(k string, p any) bool {
		b, ok := s.Disk[k]
		if !ok {
			return false
		}
		if err := json.Unmarshal(b, p); err != nil {
			c.oops("disk: " + k + ": " + err.Error())
			return false
		}
		return true
	}
	if read(diskInc, &c.vote.inc) && c.vote.inc != 0 {
		var v safe
		var d pledge
		read(diskB, &c.vote.promised)
		read(diskV, &v)
		read(diskD, &d)
		read(diskL, &c.list)
		var gone []protocol.Beacon
		read(diskR, &gone)
		c.recall(gone)
		c.vote.accepted, c.vote.value = v.Ballot, v.Value
		c.vote.safeB, c.vote.safeV = v.Ballot, v.Value
		c.vote.duty, c.vote.sure, c.vote.owner = d.Duty, d.Duty, d.Owner
		c.reg.hint = v.Value
		c.reg.top = max(c.vote.promised.N, v.Ballot.N)
		c.began, c.rollWhole = true, true
		return
	}
	// An empty or damaged disk begins a new life, which no voter set names yet.
	c.vote.inc = c.o.Inc
	c.rollWhole = !c.o.Joined // a system that starts for the first time has acknowledged no leaving
	c.save(map[string][]byte{diskInc: jot(c.vote.inc)}, func() { c.began = true })
}

func (c *Core) onPrepare(e protocol.Env) {
	b := e.Body.(protocol.Prepare)
	c.reg.top = max(c.reg.top, b.Ballot.N)
	if b.Ballot.Less(c.vote.promised) {
		c.reply(e, protocol.Promise{Round: b.Round, Inc: c.vote.inc, Promised: c.vote.promised})
		return
	}
	c.vote.promised = b.Ballot
	c.recordProposer(e)
	a, v := c.vote.accepted, c.vote.value
	if a == b.Known {
		v = nil // the proposer has it
	}
	c.save(map[string][]byte{diskB: jot(b.Ballot)}, func() {
		c.reply(e, protocol.Promise{Round: b.Round, OK: true, Inc: c.vote.inc, Promised: b.Ballot, Accepted: a, Value: v})
	})
}

// noteProposer notes when the proposer of the promised ballot was heard.
func (c *Core) recordProposer(e protocol.Env) {
	c.vote.asked = c.now
	if e.From.ID != c.o.Me.ID {
		c.vote.rivalHeardAt = c.now
	}
}

func (c *Core) onAccept(e protocol.Env) {
	b := e.Body.(protocol.Accept)
	c.reg.top = max(c.reg.top, b.Ballot.N, b.Next.N)
	c.hearOfChosen(b.Chosen, e.From)
	accepted := protocol.Accepted{Round: b.Round, OK: true, Inc: c.vote.inc, Promised: b.Ballot}
	if c.vote.accepted == b.Ballot { // it was sent again
		c.checkAccept(b.Ballot, b.Value)
		if c.vote.safeB == b.Ballot {
			c.reply(e, accepted)
		}
		return
	}
	if b.Ballot.Less(c.vote.promised) {
		c.reply(e, protocol.Accepted{Round: b.Round, Inc: c.vote.inc, Promised: c.vote.promised})
		return
	}
	c.checkAccept(b.Ballot, b.Value)
	v := b.Value
	c.vote.promised, c.vote.accepted, c.vote.value = b.Ballot, b.Ballot, &v
	c.promiseReserved(b.Next)
	c.recordProposer(e)
	c.save(map[string][]byte{diskB: jot(c.vote.promised), diskV: jot(safe{b.Ballot, &v})}, func() {
		if c.vote.safeB.Less(b.Ballot) {
			c.vote.safeB, c.vote.safeV = b.Ballot, &v
		}
		c.reply(e, accepted)
	})
}

// reserve promises the ballot that an accept names for its proposer's next one.
func (c *Core) promiseReserved(next protocol.Ballot) {
	if !c.vote.promised.Less(next) {
		return
	}
	c.vote.promised, c.vote.reserved = next, next
}

// blank tells whether this node knows of no core at all. A spare has accepted nothing, but knows of one:
// it must not be counted among nodes that may form another.
func (c *Core) isBlank() bool { return c.vote.safeV == nil && c.latest() == nil }

func (c *Core) onQuery(e protocol.Env) {
	b := e.Body.(protocol.Query)
	s := protocol.State{Round: b.Round, Inc: c.vote.inc, Last: c.vote.owner.ID, Prior: c.vote.owner.ID, Shy: c.ending || c.now < c.duty.shy, Leaving: c.ending && c.o.HandOver, Blank: c.isBlank(), Accepted: c.vote.safeB, Chosen: c.reg.at}
	if c.vote.safeV != nil {
		s.Epoch, s.Shape = c.vote.safeV.Epoch, c.vote.safeV.Shape
	}
	long := c.pad(c.o.Duty)
	held := c.now < c.vote.until
	if b.Claim {
		quiet := c.now.Sub(c.vote.started) < long
		switch {
		case b.Duty == c.vote.duty && e.From.ID == c.vote.owner.ID && b.Duty != c.vote.sure:
			// The pledge is not on disk yet; the answer that follows it is under way.
		case b.Duty == c.vote.duty && e.From.ID == c.vote.owner.ID:
			c.vote.until = c.now.Add(long)
			s.Granted, held = true, true
		case b.Duty > c.vote.duty && (c.vote.owner.ID == e.From.ID || !held && !quiet):
			c.vote.duty, c.vote.owner, c.vote.until = b.Duty, e.From, c.now.Add(long)
			s.Granted, s.Duty, s.Owner = true, b.Duty, e.From
			c.save(map[string][]byte{diskD: jot(pledge{b.Duty, e.From})}, func() {
				c.vote.sure = max(c.vote.sure, b.Duty)
				c.reply(e, s)
			})
			return
		}
	}
	s.Duty = c.vote.duty
	if held {
		s.Owner = c.vote.owner
	}
	c.reply(e, s)
}

func (c *Core) pad(s clock.Span) clock.Span {
	return s + clock.Span(float64(s)*c.o.ClockDrift) + c.o.ClockMargin
}

func (c *Core) onFetch(e protocol.Env) {
	b, r := e.Body.(protocol.Fetch), &c.reg
	if r.known != nil && b.Ballot != (protocol.Ballot{}) && !r.at.Less(b.Ballot) {
		c.reply(e, protocol.Value{Round: b.Round, Inc: c.vote.inc, Accepted: r.at, Value: r.known, Chosen: true})
		return
	}
	c.reply(e, protocol.Value{Round: b.Round, Inc: c.vote.inc, Accepted: c.vote.safeB, Value: c.vote.safeV})
}
