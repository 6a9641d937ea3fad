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
	inc             ident.Incarnation
	foundingSeeds   []protocol.Peer // the seeds with which this node may found a core; none unless it is a founder
	promised        protocol.Ballot
	reserved        protocol.Ballot // the last ballot promised together with an accept
	proposerHeardAt clock.Instant   // when the proposer of the promised ballot was last heard
	rivalHeardAt    clock.Instant   // when a proposer other than this node was last heard
	accepted        protocol.Ballot
	value           *protocol.Desired
	// The last accepted ballot and value known to be durable.
	durableBallot protocol.Ballot
	durableValue  *protocol.Desired

	started     clock.Instant // leases granted before a restart may still run until a lease duration after this
	term        ident.Term
	durableTerm ident.Term // the highest term known to be durable
	owner       protocol.Peer
	grantUntil  clock.Instant
}

const (
	keyIncarnation = "inc"
	keyPromised    = "promised"
	keyAccepted    = "accepted"
	keyLeaseGrant  = "duty"
	keyServerList  = "list"
	keyDepartures  = "leavings"
	keyFounding    = "founding"   // the seeds with which this disk may found a core
	keyRecovering  = "recovering" // whether this disk may lack departures that the node acknowledged on an earlier one
)

// RegistryKeys are the keys of the stored registry and of what a disk says about its own start.
var RegistryKeys = []string{keyServerList, keyDepartures, keyFounding, keyRecovering}

// storedAccept is the stored form of the last accepted ballot and value.
type storedAccept struct {
	Ballot protocol.Ballot
	Value  *protocol.Desired
}

// storedGrant is the stored form of the last lease grant.
type storedGrant struct {
	Duty  ident.Term
	Owner protocol.Peer
}

func (c *Core) onStart(s protocol.Start) {
	c.acceptor.started = c.now
	load := func(k string, p any) bool {
		b, ok := s.Disk[k]
		if !ok {
			return false
		}
		if err := json.Unmarshal(b, p); err != nil {
			c.logError("cannot decode stored value " + k + ": " + err.Error())
			return false
		}
		return true
	}
	if load(keyIncarnation, &c.acceptor.inc) && c.acceptor.inc != 0 {
		var accepted storedAccept
		var grant storedGrant
		load(keyPromised, &c.acceptor.promised)
		load(keyAccepted, &accepted)
		load(keyLeaseGrant, &grant)
		var list ServerList
		load(keyServerList, &list)
		c.setList(list)
		load(keyFounding, &c.acceptor.foundingSeeds)
		var departures []protocol.Announcement
		load(keyDepartures, &departures)
		c.restoreLeavings(departures)
		c.acceptor.accepted, c.acceptor.value = accepted.Ballot, accepted.Value
		c.acceptor.durableBallot, c.acceptor.durableValue = accepted.Ballot, accepted.Value
		c.acceptor.term, c.acceptor.durableTerm, c.acceptor.owner = grant.Duty, grant.Duty, grant.Owner
		c.register.hint = accepted.Value
		c.register.highestNumber = max(c.acceptor.promised.N, accepted.Ballot.N)
		c.began, c.departuresComplete = true, !isRecovering(s.Disk)
		c.logRegistryState("disk opened")
		return
	}
	// An empty or damaged disk gets a new incarnation, which no voter set names yet.
	c.acceptor.inc = c.o.Inc
	c.acceptor.foundingSeeds = foundingSeedsOf(c.o)
	c.departuresComplete = false // whether an earlier disk acknowledged any is not known yet
	puts := map[string][]byte{keyIncarnation: marshal(c.acceptor.inc), keyRecovering: marshal(true), keyFounding: marshal(c.acceptor.foundingSeeds)}
	c.save(puts, func() { c.began = true })
	c.logRegistryState("empty disk initialized")
}

// isRecovering reports whether a disk may lack acknowledged departures. A disk without the key was written by a version
// that did not store it.
func isRecovering(disk map[string][]byte) bool {
	stored, ok := disk[keyRecovering]
	return ok && string(stored) != string(marshal(false))
}

func (c *Core) onPrepare(e protocol.Envelope) {
	b := e.Body.(protocol.Prepare)
	c.register.highestNumber = max(c.register.highestNumber, b.Ballot.N)
	if b.Ballot.Less(c.acceptor.promised) {
		c.reply(e, protocol.Promise{Round: b.Round, Incarnation: c.acceptor.inc, Promised: c.acceptor.promised})
		return
	}
	c.acceptor.promised = b.Ballot
	c.recordProposer(e)
	a, v := c.acceptor.accepted, c.acceptor.value
	if a == b.Known {
		v = nil // the proposer already has this value
	}
	c.save(map[string][]byte{keyPromised: marshal(b.Ballot)}, func() {
		c.reply(e, protocol.Promise{Round: b.Round, OK: true, Incarnation: c.acceptor.inc, Promised: b.Ballot, Accepted: a, Value: v})
	})
}

// recordProposer records when the proposer of the promised ballot was last heard.
func (c *Core) recordProposer(e protocol.Envelope) {
	c.acceptor.proposerHeardAt = c.now
	if e.From.ID != c.o.Self.ID {
		c.acceptor.rivalHeardAt = c.now
	}
}

func (c *Core) onAccept(e protocol.Envelope) {
	b := e.Body.(protocol.Accept)
	c.register.highestNumber = max(c.register.highestNumber, b.Ballot.N, b.Next.N)
	c.noteChosen(b.Chosen, e.From)
	accepted := protocol.Accepted{Round: b.Round, OK: true, Incarnation: c.acceptor.inc, Promised: b.Ballot}
	if c.acceptor.accepted == b.Ballot { // it is a retransmission
		c.checkAccept(b.Ballot, b.Value)
		if c.acceptor.durableBallot == b.Ballot {
			c.reply(e, accepted)
		}
		return
	}
	if b.Ballot.Less(c.acceptor.promised) {
		c.reply(e, protocol.Accepted{Round: b.Round, Incarnation: c.acceptor.inc, Promised: c.acceptor.promised})
		return
	}
	c.checkAccept(b.Ballot, b.Value)
	v := b.Value
	c.acceptor.promised, c.acceptor.accepted, c.acceptor.value = b.Ballot, b.Ballot, &v
	c.promiseReserved(b.Next)
	c.recordProposer(e)
	c.save(map[string][]byte{keyPromised: marshal(c.acceptor.promised), keyAccepted: marshal(storedAccept{b.Ballot, &v})}, func() {
		if c.acceptor.durableBallot.Less(b.Ballot) {
			c.acceptor.durableBallot, c.acceptor.durableValue = b.Ballot, &v
		}
		c.reply(e, accepted)
	})
}

// promiseReserved promises the ballot that an accept reserves for the next attempt of its proposer.
func (c *Core) promiseReserved(next protocol.Ballot) {
	if !c.acceptor.promised.Less(next) {
		return
	}
	c.acceptor.promised, c.acceptor.reserved = next, next
}

// isBlank reports whether this node knows of no core at all. A spare has accepted nothing but knows of a core,
// so it must not be counted among the nodes that may form another one.
func (c *Core) isBlank() bool { return c.acceptor.durableValue == nil && c.latest() == nil }

func (c *Core) onQuery(e protocol.Envelope) {
	b := e.Body.(protocol.Query)
	s := protocol.State{Round: b.Round, Incarnation: c.acceptor.inc, LastGrantee: c.acceptor.owner.ID, PriorGrantee: c.acceptor.owner.ID, Declining: c.stopping || c.now < c.leadership.declineUntil, Leaving: c.stopping && c.o.HandOver, Blank: c.isBlank(), Founder: c.isFounder(), Accepted: c.acceptor.durableBallot, Chosen: c.register.knownBallot}
	if c.acceptor.durableValue != nil {
		s.Epoch, s.VoterSet = c.acceptor.durableValue.Epoch, c.acceptor.durableValue.VoterSet
	}
	if c.o.Enrolled {
		s.DeparturesDigest, s.ListDigest = c.departuresDigest(), c.sync.listDigest
	}
	grantSpan := c.withDrift(c.o.LeadershipLease)
	held := c.now < c.acceptor.grantUntil
	if b.Claim {
		recentStart := c.now.Sub(c.acceptor.started) < grantSpan
		switch {
		case b.Term == c.acceptor.term && e.From.ID == c.acceptor.owner.ID && b.Term != c.acceptor.durableTerm:
			// The lease grant is not durable yet; the reply is sent once it is.
		case b.Term == c.acceptor.term && e.From.ID == c.acceptor.owner.ID:
			c.acceptor.grantUntil = c.now.Add(grantSpan)
			s.Granted, held = true, true
		case b.Term > c.acceptor.term && (c.acceptor.owner.ID == e.From.ID || !held && !recentStart):
			c.acceptor.term, c.acceptor.owner, c.acceptor.grantUntil = b.Term, e.From, c.now.Add(grantSpan)
			s.Granted, s.Term, s.Owner = true, b.Term, e.From
			c.save(map[string][]byte{keyLeaseGrant: marshal(storedGrant{b.Term, e.From})}, func() {
				c.acceptor.durableTerm = max(c.acceptor.durableTerm, b.Term)
				c.reply(e, s)
			})
			return
		}
	}
	s.Term = c.acceptor.term
	if held {
		s.Owner = c.acceptor.owner
	}
	c.reply(e, s)
}

// withDrift extends a span by the allowed clock drift and margin, so that a grantor's wait outlasts the grantee's lease.
func (c *Core) withDrift(s clock.Span) clock.Span {
	return s + clock.Span(float64(s)*c.o.ClockDrift) + c.o.ClockMargin
}

func (c *Core) onFetch(e protocol.Envelope) {
	b, r := e.Body.(protocol.FetchValue), &c.register
	if r.known != nil && b.Ballot != (protocol.Ballot{}) && !r.knownBallot.Less(b.Ballot) {
		c.reply(e, protocol.FetchedValue{Round: b.Round, Incarnation: c.acceptor.inc, Accepted: r.knownBallot, Value: r.known, Chosen: true})
		return
	}
	c.reply(e, protocol.FetchedValue{Round: b.Round, Incarnation: c.acceptor.inc, Accepted: c.acceptor.durableBallot, Value: c.acceptor.durableValue})
}
