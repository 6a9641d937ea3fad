package controller

import (
	"encoding/json"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// acceptorState is the acceptor's part of the register and of the leadership lease. Messages report accepted
// values only after they are durable.
type acceptorState struct {
	inc          ident.Inc
	promised     protocol.Ballot
	reserved     protocol.Ballot // the last ballot promised together with an accept
	asked        clock.Tick      // when the proposer of the promised ballot was last heard
	rivalHeardAt clock.Tick      // when a proposer other than this node was last heard
	accepted     protocol.Ballot
	value        *protocol.Desired
	// The last accepted ballot and value known to be durable.
	safeB protocol.Ballot
	safeV *protocol.Desired

	started clock.Tick // leases granted before a restart may still run until a lease duration after this
	duty    ident.Duty
	sure    ident.Duty // the highest term known to be durable
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

// storedAccept is the stored form of the last accepted ballot and value.
type safe struct {
	Ballot protocol.Ballot
	Value  *protocol.Desired
}

// storedGrant is the stored form of the last lease grant.
type pledge struct {
	Duty  ident.Duty
	Owner protocol.Sibling
}

func (c *Core) onStart(s protocol.Start) {
	c.vote.started = c.now
	load := func(k string, p any) bool {
		b, ok := s.Disk[k]
		if !ok {
			return false
		}
		if err := json.Unmarshal(b, p); err != nil {
			c.oops("cannot decode stored value " + k + ": " + err.Error())
			return false
		}
		return true
	}
	if load(diskInc, &c.vote.inc) && c.vote.inc != 0 {
		var accepted safe
		var grant pledge
		load(diskB, &c.vote.promised)
		load(diskV, &accepted)
		load(diskD, &grant)
		load(diskL, &c.list)
		var departures []protocol.Beacon
		load(diskR, &departures)
		c.recall(departures)
		c.vote.accepted, c.vote.value = accepted.Ballot, accepted.Value
		c.vote.safeB, c.vote.safeV = accepted.Ballot, accepted.Value
		c.vote.duty, c.vote.sure, c.vote.owner = grant.Duty, grant.Duty, grant.Owner
		c.reg.hint = accepted.Value
		c.reg.top = max(c.vote.promised.N, accepted.Ballot.N)
		c.began, c.rollWhole = true, true
		return
	}
	// An empty or damaged disk gets a new incarnation, which no voter set names yet.
	c.vote.inc = c.o.Inc
	c.rollWhole = !c.o.Joined // a system that starts for the first time has acknowledged no departures
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
		v = nil // the proposer already has this value
	}
	c.save(map[string][]byte{diskB: jot(b.Ballot)}, func() {
		c.reply(e, protocol.Promise{Round: b.Round, OK: true, Inc: c.vote.inc, Promised: b.Ballot, Accepted: a, Value: v})
	})
}

// recordProposer records when the proposer of the promised ballot was last heard.
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
	if c.vote.accepted == b.Ballot { // it is a retransmission
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

// promiseReserved promises the ballot that an accept reserves for the next attempt of its proposer.
func (c *Core) promiseReserved(next protocol.Ballot) {
	if !c.vote.promised.Less(next) {
		return
	}
	c.vote.promised, c.vote.reserved = next, next
}

// isBlank reports whether this node knows of no core at all. A spare has accepted nothing but knows of a core,
// so it must not be counted among the nodes that may form another one.
func (c *Core) isBlank() bool { return c.vote.safeV == nil && c.latest() == nil }

func (c *Core) onQuery(e protocol.Env) {
	b := e.Body.(protocol.Query)
	s := protocol.State{Round: b.Round, Inc: c.vote.inc, Last: c.vote.owner.ID, Prior: c.vote.owner.ID, Shy: c.ending || c.now < c.duty.shy, Leaving: c.ending && c.o.HandOver, Blank: c.isBlank(), Accepted: c.vote.safeB, Chosen: c.reg.at}
	if c.vote.safeV != nil {
		s.Epoch, s.Shape = c.vote.safeV.Epoch, c.vote.safeV.Shape
	}
	grantSpan := c.pad(c.o.Duty)
	held := c.now < c.vote.until
	if b.Claim {
		recentStart := c.now.Sub(c.vote.started) < grantSpan
		switch {
		case b.Duty == c.vote.duty && e.From.ID == c.vote.owner.ID && b.Duty != c.vote.sure:
			// The lease grant is not durable yet; the reply is sent once it is.
		case b.Duty == c.vote.duty && e.From.ID == c.vote.owner.ID:
			c.vote.until = c.now.Add(grantSpan)
			s.Granted, held = true, true
		case b.Duty > c.vote.duty && (c.vote.owner.ID == e.From.ID || !held && !recentStart):
			c.vote.duty, c.vote.owner, c.vote.until = b.Duty, e.From, c.now.Add(grantSpan)
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

// withDrift extends a span by the allowed clock drift and margin, so that a grantor's wait outlasts the grantee's lease.
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
