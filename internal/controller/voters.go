package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// Changes of the voter set. The owner of the duty makes them, one voter at a time and each in two changes
// of the register: first the old and the new set rule together (Prior is not empty), then the old set is
// left. docs/control.md says why that is safe, and in what time it must be done.

const (
	spareFreshRounds = 3 // rounds within which a spare node must have answered to be taken into the set
	voterFresh       = 4 // rounds within which a voter must have answered not to count as absent
)

// watchVoters notes since when each voter is absent. Every core node does, so that an owner that has just
// taken the duty does not begin to count then. A node that heard no majority lately knows nothing of
// others' absence: it may be the one that was away.
func (c *Core) trackAbsences() {
	r := &c.reg
	inTouch := r.known != nil && c.now.Sub(r.answered) <= voterFresh*c.o.Round
	c.logMajority(inTouch)
	c.logReadProgress(inTouch)
	c.watchMissing()
	if !inTouch {
		clear(r.absent)
		return
	}
	for _, v := range r.known.Voters {
		if c.answered(v.ID, voterFresh) {
			delete(r.absent, v.ID)
		} else if r.absent[v.ID] == 0 {
			r.absent[v.ID] = c.now
		}
	}
}

// noteTouch logs when the majority is lost and when it is heard again, once it has been heard at all.
func (c *Core) logMajority(inTouch bool) {
	r := &c.reg
	if r.known == nil || inTouch == r.majorityReached {
		return
	}
	r.majorityReached = inTouch
	if inTouch {
		c.note("a majority of the core answers")
		return
	}
	c.oops("no majority of the core answers: orders and reads are refused here until one does")
}

// noteReads logs when this node can no longer tell what is the newest although a majority answers it, and when it can again.
func (c *Core) logReadProgress(inTouch bool) {
	r := &c.reg
	// A node that has just been cut off had its last answers, and the last of its reads end, at about the same moment.
	starve := inTouch && r.completedAt != 0 && c.now.Sub(r.completedAt) > (voterFresh+1)*c.o.Round+r.trips.reads.Timeout()
	if starve == r.readsStalled {
		return
	}
	r.readsStalled = starve
	if starve {
		c.oops("majority reads do not end: a majority answers, and each answer shows a newer value than this node has learned")
		return
	}
	c.note("majority reads end again", field("in_touch", inTouch))
}

// answered tells whether a core node has answered within some rounds.
func (c *Core) answered(id ident.Node, rounds int) bool {
	s, ok := c.reg.lives[id]
	return ok && c.now.Sub(s.at) < clock.Span(rounds)*c.o.Round
}

// beatVoters takes the next step that the voter set needs, if any.
func (c *Core) beatVoters() {
	c.trackAbsences()
	r := &c.reg
	if !c.duty.mine || r.known == nil || r.changingVoters {
		return
	}
	k := *r.known
	if len(k.Prior) > 0 {
		c.leaveJoint(k)
		return
	}
	if next := c.nextVoters(k.Voters); next != nil {
		c.note(voterset.Describe(k.Voters, next))
		c.reshape(k, next)
		return
	}
	c.repairStaleVoter()
}

// leavePrior ends the rule of two sets together, once the duty has been renewed under both. Then no
// other node's duty can run on that only the old set knows of, and a majority of the new set has this
// duty's number on disk, so that no later owner can be given it again.
func (c *Core) leaveJoint(k protocol.Desired) {
	if c.duty.shape == k.Shape {
		c.reshape(k, nil)
	}
}

// nextVoters gives the voter set that should follow, or none if the set may stay as it is.
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
		return nil // a set with an absent voter is mended before it grows
	}
	if len(voters) < c.o.Voters {
		return voterset.Add(voters, voterset.PickSpare(voters, -1, spares, c.regionOf))
	}
	if next := voterset.Spread(voters, spares, c.regionOf); next != nil {
		return next
	}
	return voterset.Spread(voters, spares, voterset.Zone)
}

// readmit takes in again a voter whose disk began a new life, or whose address changed.
func (c *Core) readmit(voters []protocol.Voter) []protocol.Voter {
	for i, v := range voters {
		s := c.reg.lives[v.ID]
		if !c.answered(v.ID, voterFresh) || s.state.Inc == v.Inc && s.sib.Addr == v.Addr {
			continue
		}
		n := v
		n.Inc, n.Sibling = s.state.Inc, s.sib
		return voterset.Replace(voters, i, n)
	}
	return nil
}

// spares lists the core nodes that answer and are no voters, in the order of their names.
func (c *Core) spares(voters []protocol.Voter) (l []protocol.Voter) {
	for _, m := range c.mates.Alive("controller") {
		s := c.reg.lives[m.ID]
		if c.answered(m.ID, spareFreshRounds) && !s.state.Leaving && !voterset.Seats(voters, m.ID) {
			l = append(l, protocol.Voter{Sibling: m.Sibling, Zone: m.Zone, Inc: s.state.Inc})
		}
	}
	return l
}

// replaceable picks the voter that a spare should replace: one that leaves as planned, else the one that
// has been absent longest, if long enough; -1 if none is.
func (c *Core) voterToReplace(voters []protocol.Voter) int {
	longest := -1
	for i, v := range voters {
		if c.answered(v.ID, voterFresh) && c.reg.lives[v.ID].state.Leaving {
			return i
		}
		since := c.reg.absent[v.ID]
		if since == 0 || c.now.Sub(since) <= c.o.Spare {
			continue
		}
		if longest < 0 || since < c.reg.absent[voters[longest].ID] {
			longest = i
		}
	}
	return longest
}

func (c *Core) anyAbsent(voters []protocol.Voter) bool {
	for _, v := range voters {
		if c.reg.absent[v.ID] != 0 {
			return true
		}
	}
	return false
}

// regionOf names a voter's region; without a table of regions, all zones are in one.
func (c *Core) regionOf(v protocol.Voter) string { return c.o.Regions[v.Zone] }

// HandingOver tells whether this node, which was told to stop, still has a seat that a spare node can
// take: until then it should go on answering, since what it and a lost voter know may be known to no
// other majority.
func (c *Core) HandingOver() bool {
	if !c.ending || !c.o.HandOver || c.reg.known == nil {
		return false
	}
	k := *c.reg.known
	return voterset.In(k, c.o.Me.ID, c.vote.inc) && len(c.spares(k.Voters)) > 0
}

// absentAmong gives the voters that are absent.
func (c *Core) absentVoters(voters []protocol.Voter) map[ident.Node]bool {
	absent := map[ident.Node]bool{}
	for _, v := range voters {
		if c.reg.absent[v.ID] != 0 {
			absent[v.ID] = true
		}
	}
	return absent
}

// stillWanted tells, as the rounds that carry a change of the voter set go on, whether its reason still stands: who gains
// a seat still answers, and who loses one because it was absent has not come back, which it shows by its promise. Rounds
// may wait long for a majority.
func (c *Core) stillJustified(from, to []protocol.Voter, absent map[ident.Node]bool) bool {
	for _, v := range to {
		if v.ID != c.o.Me.ID && !voterset.Names(from, v.ID, v.Inc) && !c.answered(v.ID, spareFreshRounds) {
			return false
		}
	}
	for _, v := range from {
		if absent[v.ID] && !voterset.Seats(to, v.ID) && c.reg.op.yes[v.ID] == v.Inc {
			return false
		}
	}
	return true
}

// reshape moves to a new voter set in two changes: first both sets rule together, then
// (with no set given) the one before is left.
func (c *Core) reshape(from protocol.Desired, to []protocol.Voter) {
	shape := from.Shape
	absent := c.absentVoters(from.Voters)
	c.reg.changingVoters = true
	c.proposeAtFront(mutation{needsPrepare: true, apply: func(d protocol.Desired) (protocol.Desired, failure.Kind, fleetplan.Faults) {
		if d.Shape != shape || (to == nil) != (len(d.Prior) > 0) || to != nil && !c.stillJustified(d.Voters, to, absent) {
			return d, failure.Conflict, nil
		}
		if to != nil {
			d.Prior, d.Voters = d.Voters, to
		} else {
			d.Prior = nil
		}
		d.Shape++
		return d, failure.None, nil
	}, done: func(a applied) {
		c.reg.changingVoters = false
		if a.kind == failure.None && to != nil {
			c.tally.Admit++
			c.note("voter set changed")
		}
	}})
}
