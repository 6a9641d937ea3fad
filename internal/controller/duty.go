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

// reign is this node's view of the duty.
type leadership struct {
	mine  bool
	num   ident.Duty
	again bool       // this node owned it before, and nobody since
	shape uint64     // of the voter set under which it was renewed last
	asked clock.Tick // when the last round that renewed it began
	began clock.Tick
	top   ident.Duty       // highest number seen
	who   protocol.Sibling // who owns it as far as this node knows
	free  bool             // the last majority read showed no owner
	shy   clock.Tick       // until when this node does not want it
	next  ident.Node       // whom the last owner left it to
	left  clock.Tick       // and when
}

func (r *leadership) until(c *Core) clock.Tick { return r.asked.Add(c.o.Duty) }

// claims tells whether the next round should ask for the duty: its owner renews it, and
// with no owner the first live node in the order of the voter set takes it.
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
	// Who owned it last may have it back at once, after a restart of its own or of the whole core:
	// the voters know that it holds nothing any more. The others leave it to it for a moment.
	last, top := ident.Node(""), ident.Duty(0)
	for _, id := range generic.SortedKeys(c.reg.lives) {
		if s := c.reg.lives[id]; s.state.Last != "" && s.state.Duty >= top && c.now.Sub(s.at) < 3*c.o.Round {
			last, top = s.state.Last, s.state.Duty
		}
	}
	if s, ok := c.reg.lives[last]; ok && voterset.Names(set.Voters, last, s.state.Inc) && !s.state.Shy && c.now.Sub(s.at) < 3*c.o.Round {
		return last == c.o.Me.ID, d.top + 1
	}
	l := append([]protocol.Voter{}, set.Voters...)
	sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	for _, v := range l {
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

// saw draws what a round showed of the duty.
func (c *Core) observeOwner(q *query) {
	d := &c.duty
	d.top = max(d.top, q.dutyN)
	if d.mine && d.top > d.num {
		c.lose("a higher duty is known")
	}
	if !q.read || q.round < c.reg.lastRead {
		return // a newer round has shown more
	}
	c.checkOwner(q)
	// A grant of this node's own that won no majority keeps nobody but others from asking again. While no
	// majority is open, a claim could not win: it would only renew the refusal of those that granted it, so
	// that two claimants would keep each other out for good.
	d.free = voterset.Majority(q.set, q.vacant)
	if !d.mine {
		d.who = q.owner
	}
}

// renewed carries a term on that a majority grants again. What the newest value is does not matter to it, but for the
// voter set: a majority of an older set counts for nothing.
func (c *Core) renewTerm(q *query) {
	d, known := &c.duty, c.reg.known
	if c.ending || !d.mine || !q.won || q.num != d.num || known == nil || q.set.Shape != known.Shape || q.shape > known.Shape {
		return
	}
	if q.at >= d.asked {
		d.asked, d.shape = q.at, c.chosenShape(q.set)
	}
}

// won begins a term that a majority grants, once this node knows what is the newest.
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

// shapeOf gives the number of a voter set that is known to be chosen, and zero for any other.
func (c *Core) chosenShape(set protocol.Desired) uint64 {
	k := c.reg.known
	if k == nil || !voterset.Same(k.Voters, set.Voters) || !voterset.Same(k.Prior, set.Prior) {
		return 0
	}
	return k.Shape
}

// release gives the duty back at a planned stop, so that the next owner need not wait for its
// hold to run out. By then this node grants and orders nothing any more.
func (c *Core) beginStop() {
	c.ending = true
	if c.duty.mine {
		c.giveBack("it stops", "")
	}
}

func (c *Core) giveBack(why string, next ident.Node) {
	num := c.duty.num
	c.reg.queries = nil // a round under way must not win back what is given back
	c.note(fmt.Sprintf("duty %d is given back: %s", num, why))
	c.duty.mine, c.duty.who, c.duty.free = false, protocol.Sibling{}, false
	c.resetTerm()
	for _, p := range voterset.Addresses(*c.reg.known) {
		c.send(p, protocol.Release{Duty: num, Next: next})
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

func (c *Core) lose(why string) {
	c.oops(fmt.Sprintf("duty %d ends: %s", c.duty.num, why))
	c.duty.mine, c.duty.who, c.duty.free = false, protocol.Sibling{}, false
	c.resetTerm()
}

// clear forgets all that belongs to one reign.
func (c *Core) resetTerm() {
	c.seats = map[ident.Server]int{}
	c.links, c.tombs, c.wants = map[protocol.Session]*link{}, map[protocol.Session]clock.Tick{}, nil
	c.linkSet, c.workload = newLinkSet(), workload.NewIndex()
	c.beginVersions()
	c.fleet = newServerIndex()
	c.servers, c.entries = map[ident.Server]*server{}, map[ident.Key]*entry{}
	c.demand = map[ident.Key]*need{}
	c.shifts, c.uneven, c.shifted = map[ident.Key]*shift{}, 0, c.now
	c.listing, c.listed, c.eye, c.begun, c.asked = false, 0, eye{round: c.eye.round}, nil, 0
	c.taken = forwardsTaken{}
	c.planned()
	if c.duty.mine && c.o.Enrolled {
		c.rolls, c.called = map[ident.Node]ident.Inc{}, 0
		if c.rollWhole {
			c.rolls[c.o.Me.ID] = c.vote.inc
		}
		c.callRoll()
	} else if c.duty.mine {
		c.onList(c.list.List) // until the platform says otherwise
	}
}

// beatDuty ends a reign whose hold ran out long ago. Before, nothing is granted or ordered, but all is
// kept: if a majority renews the very same duty, nobody else had it in between.
func (c *Core) beatDuty() {
	if c.duty.mine && c.now > c.duty.until(c).Add(lapseSpans*c.o.Duty) {
		c.lose("its hold ran out")
	}
}

// lapseSpans is how many holds a reign that ran out may be taken up again for.
const lapseSpans = 4

// rules tells whether this node may grant and order right now.
func (c *Core) rules() bool { return c.duty.mine && c.now <= c.duty.until(c) }
