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

// A core node's promises as checks that run in the code. Each looks at what is about to happen, not at the
// condition that was to prevent it.

// sameValue tells whether two values of the register say the same.
func sameValue(a, b protocol.Desired) bool {
	return a.Gen == b.Gen && a.Epoch == b.Epoch && a.Shape == b.Shape && bytes.Equal(a.Plan, b.Plan)
}

// checkAccept looks at a value that this voter is about to accept.
func (c *Core) checkAccept(b protocol.Ballot, value protocol.Desired) {
	if old := c.vote.value; old != nil && c.vote.accepted == b {
		invariant.Check(sameValue(*old, value), invariant.BallotOneValue, func() string {
			return fmt.Sprintf("%s: ballot %v proposes epoch %d, and proposed epoch %d before", c.o.Me.ID, b, value.Epoch, old.Epoch)
		})
	}
	invariant.Check(!b.Less(c.vote.accepted), invariant.BallotRises, func() string {
		return fmt.Sprintf("%s: ballot %v after %v", c.o.Me.ID, b, c.vote.accepted)
	})
}

// checkChosen looks at a value that is taken for chosen after another.
func (c *Core) checkChosen(old *protocol.Desired, oldBallot, ballot protocol.Ballot, value protocol.Desired) {
	if old == nil || old.Gen != value.Gen {
		return
	}
	invariant.Check(oldBallot != ballot || sameValue(*old, value), invariant.BallotOneValue, func() string {
		return fmt.Sprintf("%s: ballot %v has epoch %d and epoch %d", c.o.Me.ID, ballot, old.Epoch, value.Epoch)
	})
	invariant.Check(value.Epoch >= old.Epoch && value.Shape >= old.Shape, invariant.ChosenRises, func() string {
		return fmt.Sprintf("%s: epoch %d, shape %d follows epoch %d, shape %d", c.o.Me.ID, value.Epoch, value.Shape, old.Epoch, old.Shape)
	})
	invariant.Check(value.Epoch != old.Epoch || bytes.Equal(value.Plan, old.Plan), invariant.NumberOneValue, func() string {
		return fmt.Sprintf("%s: epoch %d has two configurations, of %d and %d bytes", c.o.Me.ID, value.Epoch, len(old.Plan), len(value.Plan))
	})
	invariant.Check(value.Shape != old.Shape+1 || voterset.Changed(old.Voters, value.Voters) <= 1, invariant.VotersChangeByOne, func() string {
		return fmt.Sprintf("%s: voters %v become %v in one change", c.o.Me.ID, old.Voters, value.Voters)
	})
}

// acknowledged notes the highest epoch that this node has told anybody as taken.
func (c *Core) acknowledged(epoch ident.Epoch) { c.ackedEpoch = max(c.ackedEpoch, epoch) }

// checkRead looks at a configuration that is about to be read back.
func (c *Core) checkRead(epoch ident.Epoch) {
	invariant.Check(epoch >= c.ackedEpoch, invariant.ReadIsNewest, func() string {
		return fmt.Sprintf("%s: epoch %d is read, and %d was acknowledged here", c.o.Me.ID, epoch, c.ackedEpoch)
	})
}

// checkOwner looks at the owner that a majority read showed, while this node's own lease runs.
func (c *Core) checkOwner(q *query) {
	if !c.rules() {
		return
	}
	// A minority may hold the term for a claimant that did not win it.
	invariant.Check(!voterset.Majority(q.set, q.others), invariant.OneOwner, func() string {
		return fmt.Sprintf("term %d is held by %s, and by %s at %v", c.duty.num, c.o.Me.ID, q.owner.ID, generic.SortedKeys(q.others))
	})
}

// checkOrder looks at an order that is about to be sent.
func (c *Core) checkOrder(s *server, p *spot) {
	invariant.Check(c.rules(), invariant.OrdersUnderLease, func() string {
		return fmt.Sprintf("%s orders %s without a lease", c.o.Me.ID, s.ID)
	})
	if p.stage != Ordered || s.room <= 0 {
		return
	}
	// What a server held of itself when it was found may be past its room; only what is ordered counts.
	invariant.Check(s.used() <= s.room, invariant.WithinRoom, func() string {
		return fmt.Sprintf("%s is to load %s of %d, which makes %d of %d", s.ID, p.key, p.size, s.used(), s.room)
	})
	if s.places > 0 && p.key.IsAdapter() {
		n := 0
		for k := range s.spots {
			n += generic.One(k.IsAdapter())
		}
		invariant.Check(n <= s.places, invariant.WithinRoom, func() string {
			return fmt.Sprintf("%s is to load %s as adapter %d of %d", s.ID, p.key, n, s.places)
		})
	}
}

// checkRate looks at the loads from the store that have begun within a while.
func (c *Core) checkRate() {
	recent := 0
	for _, at := range c.begun {
		recent += generic.One(c.now.Sub(at) <= c.o.Rate)
	}
	most := c.storeRate()*c.o.Rate.Seconds() + 1
	invariant.Check(float64(recent) <= most, invariant.WithinRate, func() string {
		return fmt.Sprintf("%d loads from the store began within %v, and %.1f may", recent, c.o.Rate, most)
	})
}

// checkLeaving looks at a leaving that is about to be acknowledged: this node knows of it, and its disk.
func (c *Core) checkLeaving(l *leaving) {
	for _, b := range l.list {
		e := c.roll[b.ID]
		invariant.Check(e != nil && stagesOf[e.State] >= stagesOf[b.State], invariant.LeavingIsKnown, func() string {
			return fmt.Sprintf("%s acknowledges that %s is %s, and has forgotten it", c.o.Me.ID, b.ID, b.State)
		})
	}
}
