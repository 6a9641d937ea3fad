package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// Changes of the voter set. The leader makes them, one voter at a time, each in two changes of the register:
// first the old and the new set are both required (Prior is not empty), then the old set is dropped.
// docs/control.md explains why that is safe and within which time it must be done.

const (
	spareFreshRounds = 3 // read intervals within which a spare must have answered to join the voter set
	voterFreshRounds = 4 // read intervals within which a voter must have answered not to count as absent
)

// trackAbsences records since when each voter is absent. Every core node does so, so that a new leader need not
// start counting. A node that has not recently heard a majority knows nothing about the absence of others: it
// may itself have been cut off.
func (c *Core) trackAbsences() {
	r := &c.register
	inTouch := r.known != nil && c.now.Sub(r.answered) <= voterFreshRounds*c.o.ReadInterval
	c.logMajority(inTouch)
	c.logReadProgress(inTouch)
	c.logMissingVoters()
	if !inTouch {
		clear(r.absentSince)
		return
	}
	for _, v := range r.known.Voters {
		if c.answeredWithin(v.ID, voterFreshRounds) {
			delete(r.absentSince, v.ID)
		} else if r.absentSince[v.ID] == 0 {
			r.absentSince[v.ID] = c.now
		}
	}
}

// logMajority logs when a majority starts and stops answering, once this node knows a chosen value.
func (c *Core) logMajority(inTouch bool) {
	r := &c.register
	if r.known == nil || inTouch == r.majorityReached {
		return
	}
	r.majorityReached = inTouch
	if inTouch {
		c.logEvent("a majority of the core answers")
		return
	}
	c.logError("no majority of the core answers: this node refuses changes and reads until one does")
}

// logReadProgress logs when majority reads stop completing although a majority answers, and when they complete
// again.
func (c *Core) logReadProgress(inTouch bool) {
	r := &c.register
	// A node that has just been cut off received its last answers and completed its last read at about the same
	// time, so the limit is longer than the one for absence.
	stalled := inTouch && r.completedAt != 0 && c.now.Sub(r.completedAt) > (voterFreshRounds+1)*c.o.ReadInterval+r.roundTrips.reads.Timeout()
	if stalled == r.readsStalled {
		return
	}
	r.readsStalled = stalled
	if stalled {
		c.logError("majority reads do not complete: a majority answers, but shows a newer value than this node has learned")
		return
	}
	c.logEvent("majority reads complete again", field("in_touch", inTouch))
}

// answeredWithin reports whether a core node has answered within the given number of read intervals.
func (c *Core) answeredWithin(id ident.Node, rounds int) bool {
	s, ok := c.register.states[id]
	return ok && c.now.Sub(s.at) < clock.Span(rounds)*c.o.ReadInterval
}

// tickVoters makes the next change that the voter set needs, if any.
func (c *Core) tickVoters() {
	c.trackAbsences()
	r := &c.register
	if !c.leadership.held || r.known == nil || r.changingVoters {
		return
	}
	known := *r.known
	if len(known.PriorVoters) > 0 {
		c.leaveJoint(known)
		return
	}
	if next := c.nextVoters(known.Voters); next != nil {
		c.logEvent(voterset.Describe(known.Voters, next))
		c.changeVoters(known, next)
		return
	}
	c.repairStaleVoter()
}

// leaveJoint drops the old voter set once the lease has been renewed under both sets. Then no other node can
// hold a lease that only the old set knows of, and a majority of the new set has this term on disk, so that it
// can never be granted to a later leader.
func (c *Core) leaveJoint(k protocol.Desired) {
	if c.leadership.shape == k.VoterSet {
		c.changeVoters(k, nil)
	}
}

// nextVoters returns the voter set to change to, or nil if the set may stay as it is.
func (c *Core) nextVoters(voters []protocol.Voter) []protocol.Voter {
	if next := c.readmit(voters); next != nil {
		return next
	}
	spares := c.spares(voters)
	if len(spares) == 0 {
		return nil
	}
	if i := c.voterToReplace(voters); i >= 0 {
		return voterset.Replace(voters, i, voterset.PickSpare(voters, i, spares, c.regionOf))
	}
	if c.anyAbsent(voters) {
		return nil // an absent voter is replaced before the set grows
	}
	if len(voters) < c.o.Voters {
		return voterset.Add(voters, voterset.PickSpare(voters, -1, spares, c.regionOf))
	}
	if next := voterset.Spread(voters, spares, c.regionOf); next != nil {
		return next
	}
	return voterset.Spread(voters, spares, voterset.Zone)
}

// readmit returns a voter set that lists a voter with its new incarnation after it lost its disk, or with its
// new address.
func (c *Core) readmit(voters []protocol.Voter) []protocol.Voter {
	for i, v := range voters {
		s := c.register.states[v.ID]
		if !c.answeredWithin(v.ID, voterFreshRounds) || s.state.Incarnation == v.Incarnation && s.sibling.Addr == v.Addr {
			continue
		}
		updated := v
		updated.Incarnation, updated.Peer = s.state.Incarnation, s.sibling
		return voterset.Replace(voters, i, updated)
	}
	return nil
}

// spares returns the core nodes that answer and are not voters, ordered by ID.
func (c *Core) spares(voters []protocol.Voter) (l []protocol.Voter) {
	for _, m := range c.members.Alive("controller") {
		s := c.register.states[m.ID]
		if c.answeredWithin(m.ID, spareFreshRounds) && !s.state.Leaving && !voterset.ContainsNode(voters, m.ID) {
			l = append(l, protocol.Voter{Peer: m.Peer, Zone: m.Zone, Incarnation: s.state.Incarnation})
		}
	}
	return l
}

// voterToReplace returns the index of the voter that a spare should replace: one that is leaving as planned,
// otherwise the one absent longest if that is long enough, or -1.
func (c *Core) voterToReplace(voters []protocol.Voter) int {
	longest := -1
	for i, v := range voters {
		if c.answeredWithin(v.ID, voterFreshRounds) && c.register.states[v.ID].state.Leaving {
			return i
		}
		since := c.register.absentSince[v.ID]
		if since == 0 || c.now.Sub(since) <= c.o.ReplaceAfter {
			continue
		}
		if longest < 0 || since < c.register.absentSince[voters[longest].ID] {
			longest = i
		}
	}
	return longest
}

func (c *Core) anyAbsent(voters []protocol.Voter) bool {
	for _, v := range voters {
		if c.register.absentSince[v.ID] != 0 {
			return true
		}
	}
	return false
}

// regionOf returns a voter's region. Without a table of regions, all zones belong to one region.
func (c *Core) regionOf(v protocol.Voter) string { return c.o.Regions[v.Zone] }

// HandingOver reports whether this node, which is to stop, still holds a seat that a spare can take over.
// Until then it should keep answering: what it and a lost voter know may be known to no other majority.
func (c *Core) HandingOver() bool {
	if !c.stopping || !c.o.HandOver || c.register.known == nil {
		return false
	}
	known := *c.register.known
	return voterset.IsVoter(known, c.o.Self.ID, c.acceptor.inc) && len(c.spares(known.Voters)) > 0
}

// absentVoters returns the voters that are absent.
func (c *Core) absentVoters(voters []protocol.Voter) map[ident.Node]bool {
	absent := map[ident.Node]bool{}
	for _, v := range voters {
		if c.register.absentSince[v.ID] != 0 {
			absent[v.ID] = true
		}
	}
	return absent
}

// stillJustified reports whether the reason for a change of the voter set still holds when the change is
// applied, since an attempt may wait long for a majority: a voter to be added must still answer, and a voter
// removed for its absence must not have returned, which it would show by its promise.
func (c *Core) stillJustified(from, to []protocol.Voter, absent map[ident.Node]bool) bool {
	for _, v := range to {
		if v.ID != c.o.Self.ID && !voterset.Contains(from, v.ID, v.Incarnation) && !c.answeredWithin(v.ID, spareFreshRounds) {
			return false
		}
	}
	for _, v := range from {
		if absent[v.ID] && !voterset.ContainsNode(to, v.ID) && c.register.active.responders[v.ID] == v.Incarnation {
			return false
		}
	}
	return true
}

// changeVoters changes the voter set in two changes: the first requires both sets, and the second, with no set given,
// drops the old one.
func (c *Core) changeVoters(from protocol.Desired, to []protocol.Voter) {
	version := from.VoterSet
	absent := c.absentVoters(from.Voters)
	c.register.changingVoters = true
	c.proposeAtFront(mutation{needsPrepare: true, apply: func(d protocol.Desired) (protocol.Desired, failure.Kind, fleetplan.Faults) {
		if d.VoterSet != version || (to == nil) != (len(d.PriorVoters) > 0) || to != nil && !c.stillJustified(d.Voters, to, absent) {
			return d, failure.Conflict, nil
		}
		if to != nil {
			d.PriorVoters, d.Voters = d.Voters, to
		} else {
			d.PriorVoters = nil
		}
		d.VoterSet++
		return d, failure.None, nil
	}, done: func(a applyResult) {
		c.register.changingVoters = false
		if a.kind == failure.None && to != nil {
			c.tally.Admit++
			c.logEvent("voter set changed")
		}
	}})
}
