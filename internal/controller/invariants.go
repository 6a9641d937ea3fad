package controller

import (
	"bytes"
	"fmt"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/invariant"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// Run-time checks of a core node's invariants. Each one checks the action that is about to happen, independently of the
// condition that should have prevented it.

// equalValues reports whether two values of the register are equal in the fields that the checks compare.
func equalValues(a, b protocol.Desired) bool {
	return a.Gen == b.Gen && a.Epoch == b.Epoch && a.VoterSet == b.VoterSet && bytes.Equal(a.Plan, b.Plan)
}

// checkAccept checks a value that this voter is about to accept.
func (c *Core) checkAccept(b protocol.Ballot, value protocol.Desired) {
	if old := c.acceptor.value; old != nil && c.acceptor.accepted == b {
		invariant.Check(equalValues(*old, value), invariant.BallotOneValue, func() string {
			return fmt.Sprintf("%s: ballot %v proposes epoch %d, and proposed epoch %d before", c.o.Self.ID, b, value.Epoch, old.Epoch)
		})
	}
	invariant.Check(!b.Less(c.acceptor.accepted), invariant.BallotRises, func() string {
		return fmt.Sprintf("%s: ballot %v after %v", c.o.Self.ID, b, c.acceptor.accepted)
	})
}

// checkChosen checks a newly chosen value against the previous one.
func (c *Core) checkChosen(old *protocol.Desired, oldBallot, ballot protocol.Ballot, value protocol.Desired) {
	if old == nil || old.Gen != value.Gen {
		return
	}
	invariant.Check(oldBallot != ballot || equalValues(*old, value), invariant.BallotOneValue, func() string {
		return fmt.Sprintf("%s: ballot %v has epoch %d and epoch %d", c.o.Self.ID, ballot, old.Epoch, value.Epoch)
	})
	invariant.Check(value.Epoch >= old.Epoch && value.VoterSet >= old.VoterSet, invariant.ChosenRises, func() string {
		return fmt.Sprintf("%s: epoch %d, shape %d follows epoch %d, shape %d", c.o.Self.ID, value.Epoch, value.VoterSet, old.Epoch, old.VoterSet)
	})
	invariant.Check(value.Epoch != old.Epoch || bytes.Equal(value.Plan, old.Plan), invariant.NumberOneValue, func() string {
		return fmt.Sprintf("%s: epoch %d has two configurations, of %d and %d bytes", c.o.Self.ID, value.Epoch, len(old.Plan), len(value.Plan))
	})
	invariant.Check(value.VoterSet != old.VoterSet+1 || voterset.CountChanged(old.Voters, value.Voters) <= 1, invariant.VotersChangeByOne, func() string {
		return fmt.Sprintf("%s: voters %v become %v in one change", c.o.Self.ID, old.Voters, value.Voters)
	})
}

// noteAcknowledged records the highest epoch that this node has acknowledged as committed.
func (c *Core) noteAcknowledged(epoch ident.Epoch) { c.ackedEpoch = max(c.ackedEpoch, epoch) }

// checkRead checks the epoch of a configuration that is about to be returned to a reader.
func (c *Core) checkRead(epoch ident.Epoch) {
	invariant.Check(epoch >= c.ackedEpoch, invariant.ReadIsNewest, func() string {
		return fmt.Sprintf("%s: a read returns epoch %d after epoch %d was acknowledged", c.o.Self.ID, epoch, c.ackedEpoch)
	})
}

// checkOwner checks the owner that a majority read showed while this node holds the lease.
func (c *Core) checkOwner(q *query) {
	if !c.holdsLease() {
		return
	}
	// A minority may have granted the term to a claimant that didn't win it.
	invariant.Check(!voterset.Majority(q.set, q.grantedElsewhere), invariant.OneOwner, func() string {
		return fmt.Sprintf("term %d is held by %s, and by %s at %v", c.leadership.term, c.o.Self.ID, q.owner.ID, generic.SortedKeys(q.grantedElsewhere))
	})
}

// checkOrder checks an order that is about to be sent.
func (c *Core) checkOrder(s *server, p *modelReplica) {
	invariant.Check(c.holdsLease(), invariant.OrdersUnderLease, func() string {
		return fmt.Sprintf("%s sends an order to %s without a lease", c.o.Self.ID, s.ID)
	})
	if p.stage != Ordered || s.room <= 0 {
		return
	}
	// A server may already have held more than its room when it was enrolled; only orders are checked.
	invariant.Check(s.used() <= s.room, invariant.WithinRoom, func() string {
		return fmt.Sprintf("%s is ordered to load %s of size %d, which makes %d of room %d", s.ID, p.key, p.size, s.used(), s.room)
	})
	if s.places > 0 && p.key.IsAdapter() {
		n := 0
		for k := range s.replicas {
			n += generic.BoolToInt(k.IsAdapter())
		}
		invariant.Check(n <= s.places, invariant.WithinRoom, func() string {
			return fmt.Sprintf("%s is ordered to load %s as adapter %d of %d", s.ID, p.key, n, s.places)
		})
	}
}

// checkRate checks the number of loads from the store that began within the rate window.
func (c *Core) checkRate() {
	recent := 0
	for _, at := range c.loadStarts {
		recent += generic.BoolToInt(c.now.Sub(at) <= c.o.RateWindow)
	}
	most := c.storeRate()*c.o.RateWindow.Seconds() + 1
	invariant.Check(float64(recent) <= most, invariant.WithinRate, func() string {
		return fmt.Sprintf("%d loads from the store began within %v, at most %.1f are allowed", recent, c.o.RateWindow, most)
	})
}

// checkLeaving checks that this node has a record of a departure that is about to be acknowledged.
func (c *Core) checkLeaving(l *leaving) {
	for _, b := range l.announcements {
		e := c.enrolledServers[b.ID]
		invariant.Check(e != nil && stateRank[e.State] >= stateRank[b.State], invariant.LeavingIsKnown, func() string {
			return fmt.Sprintf("%s acknowledges that %s is %s, but has no record of that", c.o.Self.ID, b.ID, b.State)
		})
	}
}
