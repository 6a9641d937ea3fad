package controller

import (
	"fmt"
	"sort"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
	"tidedeck/internal/workload"
)

// leadership is this node's view of the leadership lease. Its holder is the leader, and each grant by a majority
// to a new holder begins a term, whose number is an ident.Term.
type leadership struct {
	held         bool
	term         ident.Term
	reacquired   bool          // the previous term was this node's own
	shape        uint64        // version of the voter set under which the lease was last renewed
	renewedAt    clock.Instant // when the last read that renewed the lease began
	begunAt      clock.Instant
	highestTerm  ident.Term    // highest term seen
	owner        protocol.Peer // the leader as far as this node knows
	vacant       bool          // the last majority read showed that no other node holds the lease
	declineUntil clock.Instant // until when this node does not claim the lease
	successor    ident.Node    // successor named by the last leader when it released the lease
	releasedAt   clock.Instant // when that was
}

// expiresAt returns when the lease expires.
func (r *leadership) expiresAt(c *Core) clock.Instant { return r.renewedAt.Add(c.o.LeadershipLease) }

// shouldClaim reports whether the next read should claim the lease, and for which term. The leader renews its
// lease; without a leader, the first live node in the order of the voter set claims it.
func (c *Core) shouldClaim(set protocol.Desired) (bool, ident.Term) {
	d := &c.leadership
	if d.held {
		return true, d.term
	}
	if !voterset.Contains(set.Voters, c.o.Self.ID, c.acceptor.inc) || !d.vacant {
		return false, 0
	}
	if c.now < d.declineUntil || c.stopping {
		return false, 0
	}
	if d.successor != "" && c.now.Sub(d.releasedAt) < 2e9 {
		return d.successor == c.o.Self.ID, d.highestTerm + 1
	}
	// The last leader may have the lease back at once, after a restart of its own or of the whole core, since the
	// voters know that its previous term is over. The other nodes leave the lease to it while it answers.
	last, top := ident.Node(""), ident.Term(0)
	for _, id := range generic.SortedKeys(c.register.states) {
		if s := c.register.states[id]; s.state.LastGrantee != "" && s.state.Term >= top && c.now.Sub(s.at) < 3*c.o.ReadInterval {
			last, top = s.state.LastGrantee, s.state.Term
		}
	}
	if s, ok := c.register.states[last]; ok && voterset.Contains(set.Voters, last, s.state.Incarnation) && !s.state.Declining && c.now.Sub(s.at) < 3*c.o.ReadInterval {
		return last == c.o.Self.ID, d.highestTerm + 1
	}
	voters := append([]protocol.Voter{}, set.Voters...)
	sort.Slice(voters, func(i, j int) bool { return voters[i].ID < voters[j].ID })
	for _, v := range voters {
		if v.ID == c.o.Self.ID {
			break
		}
		s, ok := c.register.states[v.ID]
		if ok && s.state.Incarnation == v.Incarnation && !s.state.Declining && c.now.Sub(s.at) < 3*c.o.ReadInterval {
			return false, 0
		}
	}
	return true, d.highestTerm + 1
}

// observeOwner updates the view of the lease from a majority read.
func (c *Core) observeOwner(q *query) {
	d := &c.leadership
	d.highestTerm = max(d.highestTerm, q.highestTerm)
	if d.held && d.highestTerm > d.term {
		c.endTerm("a higher term is known")
	}
	if !q.answered || q.round < c.register.lastRead {
		return // a newer read has shown more
	}
	c.checkOwner(q)
	// A grant to this node that won no majority does not stop this node from claiming again. While no majority is
	// free to grant the lease, a claim could not win: it would only renew the grants that keep others out, so that
	// two claimants could block each other forever.
	d.vacant = voterset.Majority(q.set, q.vacant)
	if !d.held {
		d.owner = q.owner
	}
}

// renewTerm extends a term that a majority grants again. This does not depend on which value is the newest,
// except for the voter set: the grant of a majority of an older set does not count.
func (c *Core) renewTerm(q *query) {
	d, known := &c.leadership, c.register.known
	if c.stopping || !d.held || !q.won || q.term != d.term || known == nil || q.set.VoterSet != known.VoterSet || q.shape > known.VoterSet {
		return
	}
	if q.at >= d.renewedAt {
		d.renewedAt, d.shape = q.at, c.chosenShape(q.set)
	}
}

// beginTerm begins a term that a majority has granted, once this node knows the newest value.
func (c *Core) beginTerm(q *query) {
	d := &c.leadership
	if c.stopping || d.held {
		return
	}
	if q.term < d.highestTerm || c.now.Sub(q.at) > c.o.LeadershipLease/2 {
		return
	}
	c.listedAt = c.now
	*d = leadership{held: true, reacquired: q.uncontested, shape: c.chosenShape(q.set), term: q.term, renewedAt: q.at, begunAt: c.now, highestTerm: q.term, owner: c.o.Self}
	c.tally.Reigns++
	c.logEvent(fmt.Sprintf("duty %d begins", d.term))
	c.resetTerm()
}

// chosenShape returns the version of a voter set that is known to be chosen, and zero for any other.
func (c *Core) chosenShape(set protocol.Desired) uint64 {
	k := c.register.known
	if k == nil || !voterset.Equal(k.Voters, set.Voters) || !voterset.Equal(k.PriorVoters, set.PriorVoters) {
		return 0
	}
	return k.VoterSet
}

// beginStop handles a planned stop. It releases the lease, so that the next leader need not wait for it to
// expire; from then on this node grants and orders nothing.
func (c *Core) beginStop() {
	c.stopping = true
	if c.leadership.held {
		c.releaseLease("the node is stopping", "")
	}
}

// releaseLease releases the lease, and names a successor if there is one.
func (c *Core) releaseLease(why string, next ident.Node) {
	term := c.leadership.term
	c.register.queries = nil // an outstanding read must not win back the lease
	c.logEvent(fmt.Sprintf("duty %d released: %s", term, why))
	c.leadership.held, c.leadership.owner, c.leadership.vacant = false, protocol.Peer{}, false
	c.resetTerm()
	for _, p := range voterset.Peers(*c.register.known) {
		c.send(p, protocol.Release{Term: term, Successor: next})
	}
}

func (c *Core) onRelease(e protocol.Envelope) {
	b := e.Body.(protocol.Release)
	if b.Term == c.acceptor.term && e.From.ID == c.acceptor.owner.ID {
		c.acceptor.grantUntil, c.acceptor.owner = c.now, protocol.Peer{}
		c.leadership.successor, c.leadership.releasedAt = b.Successor, c.now
		if b.Successor != "" {
			c.register.nextQuery = min(c.register.nextQuery, c.now.Add(50e6))
		}
	}
}

// endTerm ends this node's term, which it can no longer renew.
func (c *Core) endTerm(why string) {
	c.logError(fmt.Sprintf("duty %d lost: %s", c.leadership.term, why))
	c.leadership.held, c.leadership.owner, c.leadership.vacant = false, protocol.Peer{}, false
	c.resetTerm()
}

// resetTerm discards all state that belongs to one term.
func (c *Core) resetTerm() {
	c.tokensInProgress = map[ident.Server]int{}
	c.links, c.endedSessions, c.deferredWants = map[protocol.Session]*link{}, map[protocol.Session]clock.Instant{}, nil
	c.linkSet, c.workload = newLinkSet(), workload.NewIndex()
	c.resetVersions()
	c.serverIndex = newServerIndex()
	c.servers, c.entries = map[ident.Server]*server{}, map[ident.Key]*entry{}
	c.demand = map[ident.Key]*keyDemand{}
	c.moves, c.imbalancedSince, c.lastMoveAt = map[ident.Key]*replicaMove{}, 0, c.now
	c.listPending, c.lastListRequest, c.reachability, c.loadStarts, c.demandSince = false, 0, reachCheck{round: c.reachability.round}, nil, 0
	c.acceptedForwards = acceptedForwards{}
	c.applyDesired()
	if c.leadership.held && c.o.Enrolled {
		c.registriesReceived, c.lastRegistryQuery = map[ident.Node]ident.Incarnation{}, 0
		if c.departuresComplete {
			c.registriesReceived[c.o.Self.ID] = c.acceptor.inc
		}
		c.rebuildServers()
	} else if c.leadership.held {
		c.onList(c.list.List) // until the platform sends its own list
	}
}

// tickLeadership ends a term whose lease expired long ago. Until then nothing is granted or ordered, but the state is
// kept: if a majority renews the same term, no other node held the lease in between.
func (c *Core) tickLeadership() {
	if c.leadership.held && c.now > c.leadership.expiresAt(c).Add(renewableLeases*c.o.LeadershipLease) {
		c.endTerm("the lease expired")
	}
}

// renewableLeases is for how many lease durations after its expiry a term may still be renewed.
const renewableLeases = 4

// holdsLease reports whether this node may grant leases and send orders now.
func (c *Core) holdsLease() bool { return c.leadership.held && c.now <= c.leadership.expiresAt(c) }
