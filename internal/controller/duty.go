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
	mine  bool
	num   ident.Duty
	again bool       // the previous term was this node's own
	shape uint64     // version of the voter set under which the lease was last renewed
	asked clock.Tick // when the last read that renewed the lease began
	began clock.Tick
	top   ident.Duty       // highest term seen
	who   protocol.Sibling // the leader as far as this node knows
	free  bool             // the last majority read showed that no other node holds the lease
	shy   clock.Tick       // until when this node does not claim the lease
	next  ident.Node       // successor named by the last leader when it released the lease
	left  clock.Tick       // when that was
}

// expiresAt returns when the lease expires.
func (r *leadership) until(c *Core) clock.Tick { return r.asked.Add(c.o.Duty) }

// shouldClaim reports whether the next read should claim the lease, and for which term. The leader renews its
// lease; without a leader, the first live node in the order of the voter set claims it.
func (c *Core) shouldClaim(set protocol.Desired) (bool, ident.Duty) {
	d := &c.duty
	if d.mine {
		return true, d.num
	}
	if !voterset.Names(set.Voters, c.o.Me.ID, c.vote.inc) || !d.free {
		return false, 0
	}
	if c.now < d.shy || c.ending {
		return false, 0
	}
	if d.next != "" && c.now.Sub(d.left) < 2e9 {
		return d.next == c.o.Me.ID, d.top + 1
	}
	// The last leader may have the lease back at once, after a restart of its own or of the whole core, since the
	// voters know that its previous term is over. The other nodes leave the lease to it while it answers.
	last, top := ident.Node(""), ident.Duty(0)
	for _, id := range generic.SortedKeys(c.reg.lives) {
		if s := c.reg.lives[id]; s.state.Last != "" && s.state.Duty >= top && c.now.Sub(s.at) < 3*c.o.Round {
			last, top = s.state.Last, s.state.Duty
		}
	}
	if s, ok := c.reg.lives[last]; ok && voterset.Names(set.Voters, last, s.state.Inc) && !s.state.Shy && c.now.Sub(s.at) < 3*c.o.Round {
		return last == c.o.Me.ID, d.top + 1
	}
	voters := append([]protocol.Voter{}, set.Voters...)
	sort.Slice(voters, func(i, j int) bool { return voters[i].ID < voters[j].ID })
	for _, v := range voters {
		if v.ID == c.o.Me.ID {
			break
		}
		s, ok := c.reg.lives[v.ID]
		if ok && s.state.Inc == v.Inc && !s.state.Shy && c.now.Sub(s.at) < 3*c.o.Round {
			return false, 0
		}
	}
	return true, d.top + 1
}

// observeOwner updates the view of the lease from a majority read.
func (c *Core) observeOwner(q *query) {
	d := &c.duty
	d.top = max(d.top, q.dutyN)
	if d.mine && d.top > d.num {
		c.lose("a higher term is known")
	}
	if !q.read || q.round < c.reg.lastRead {
		return // a newer read has shown more
	}
	c.checkOwner(q)
	// A grant to this node that won no majority does not stop this node from claiming again. While no majority is
	// free to grant the lease, a claim could not win: it would only renew the grants that keep others out, so that
	// two claimants could block each other forever.
	d.free = voterset.Majority(q.set, q.vacant)
	if !d.mine {
		d.who = q.owner
	}
}

// renewTerm extends a term that a majority grants again. This does not depend on which value is the newest,
// except for the voter set: the grant of a majority of an older set does not count.
func (c *Core) renewTerm(q *query) {
	d, known := &c.duty, c.reg.known
	if c.ending || !d.mine || !q.won || q.num != d.num || known == nil || q.set.Shape != known.Shape || q.shape > known.Shape {
		return
	}
	if q.at >= d.asked {
		d.asked, d.shape = q.at, c.chosenShape(q.set)
	}
}

// beginTerm begins a term that a majority has granted, once this node knows the newest value.
func (c *Core) beginTerm(q *query) {
	d := &c.duty
	if c.ending || d.mine {
		return
	}
	if q.num < d.top || c.now.Sub(q.at) > c.o.Duty/2 {
		return
	}
	c.seenAt = c.now
	*d = leadership{mine: true, again: q.uncontested, shape: c.chosenShape(q.set), num: q.num, asked: q.at, began: c.now, top: q.num, who: c.o.Me}
	c.tally.Reigns++
	c.note(fmt.Sprintf("duty %d begins", d.num))
	c.resetTerm()
}

// chosenShape returns the version of a voter set that is known to be chosen, and zero for any other.
func (c *Core) chosenShape(set protocol.Desired) uint64 {
	k := c.reg.known
	if k == nil || !voterset.Same(k.Voters, set.Voters) || !voterset.Same(k.Prior, set.Prior) {
		return 0
	}
	return k.Shape
}

// beginStop handles a planned stop. It releases the lease, so that the next leader need not wait for it to
// expire; from then on this node grants and orders nothing.
func (c *Core) beginStop() {
	c.ending = true
	if c.duty.mine {
		c.giveBack("the node is stopping", "")
	}
}

// releaseLease releases the lease, and names a successor if there is one.
func (c *Core) giveBack(why string, next ident.Node) {
	term := c.duty.num
	c.reg.queries = nil // an outstanding read must not win back the lease
	c.note(fmt.Sprintf("duty %d released: %s", term, why))
	c.duty.mine, c.duty.who, c.duty.free = false, protocol.Sibling{}, false
	c.resetTerm()
	for _, p := range voterset.Addresses(*c.reg.known) {
		c.send(p, protocol.Release{Duty: term, Next: next})
	}
}

func (c *Core) onRelease(e protocol.Env) {
	b := e.Body.(protocol.Release)
	if b.Duty == c.vote.duty && e.From.ID == c.vote.owner.ID {
		c.vote.until, c.vote.owner = c.now, protocol.Sibling{}
		c.duty.next, c.duty.left = b.Next, c.now
		if b.Next != "" {
			c.reg.next = min(c.reg.next, c.now.Add(50e6))
		}
	}
}

// endTerm ends this node's term, which it can no longer renew.
func (c *Core) lose(why string) {
	c.oops(fmt.Sprintf("duty %d lost: %s", c.duty.num, why))
	c.duty.mine, c.duty.who, c.duty.free = false, protocol.Sibling{}, false
	c.resetTerm()
}

// resetTerm discards all state that belongs to one term.
func (c *Core) resetTerm() {
	c.tokensInProgress = map[ident.Server]int{}
	c.links, c.tombs, c.wants = map[protocol.Session]*link{}, map[protocol.Session]clock.Tick{}, nil
	c.linkSet, c.workload = newLinkSet(), workload.NewIndex()
	c.beginVersions()
	c.fleet = newServerIndex()
	c.servers, c.entries = map[ident.Server]*server{}, map[ident.Key]*entry{}
	c.demand = map[ident.Key]*need{}
	c.moves, c.uneven, c.shifted = map[ident.Key]*shift{}, 0, c.now
	c.listing, c.listed, c.eye, c.begun, c.asked = false, 0, eye{round: c.eye.round}, nil, 0
	c.acceptedForwards = forwardsTaken{}
	c.planned()
	if c.duty.mine && c.o.Enrolled {
		c.registriesReceived, c.lastRegistryQuery = map[ident.Node]ident.Inc{}, 0
		if c.rollWhole {
			c.registriesReceived[c.o.Me.ID] = c.vote.inc
		}
		c.callRoll()
	} else if c.duty.mine {
		c.onList(c.list.List) // until the platform sends its own list
	}
}

// tickLeadership ends a term whose lease expired long ago. Until then nothing is granted or ordered, but the state is
// kept: if a majority renews the same term, no other node held the lease in between.
func (c *Core) tickLeadership() {
	if c.duty.mine && c.now > c.duty.until(c).Add(lapseSpans*c.o.Duty) {
		c.lose("the lease expired")
	}
}

// renewableLeases is for how many lease durations after its expiry a term may still be renewed.
const lapseSpans = 4

// holdsLease reports whether this node may grant leases and send orders now.
func (c *Core) rules() bool { return c.duty.mine && c.now <= c.duty.until(c) }
