package controller

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Handing changes to the owner of the leadership lease, and taking them from others.

// proposerElsewhere gives the node that proposes for all, if another node than this one owns the lease and answers.
func (c *Core) proposerElsewhere() (protocol.Sibling, bool) {
	owner := c.duty.who
	if c.o.Alone || c.duty.mine || owner.ID == "" || owner.ID == c.o.Me.ID || !c.answered(owner.ID, voterFresh) {
		return protocol.Sibling{}, false
	}
	return owner, true
}

const (
	leastForwardReads = 1 // times between two reads that the outcome of a change is waited for at least
	forwardTrips      = 6 // round trips of a read that it may take where no outcome was seen yet
	forwardDoublings  = 3 // of the wait, one for each change in a row that no outcome came for
	mostForwardWait   = leastChangeWait
)

// forwards are the changes that this node has handed over.
type forwards struct {
	open  map[uint64]*pendingChange // whose outcome is not known yet, by the numbers under which they were handed over
	heard clock.Tick                // when the last outcome came
	late  int                       // changes since then whose outcomes did not come in time
}

// forwardWait is how long the outcome of a change that was handed over is waited for.
func (c *Core) forwardWait() clock.Span {
	wait := c.reg.trips.forwards.Timeout()
	if !c.reg.trips.forwards.Known() {
		wait = forwardTrips * c.reg.trips.reads.Timeout()
	}
	wait = max(wait, leastForwardReads*c.o.Round) << min(c.forwards.late, forwardDoublings)
	return min(wait, mostForwardWait)
}

// forwardDue gives when a change is proposed here. As long as outcomes of others come, the owner is at work, and a change
// that was handed over waits for its turn there.
func (c *Core) forwardDue(p *pendingChange) clock.Tick {
	return min(max(p.sent, c.forwards.heard).Add(c.forwardWait()), p.sent.Add(mostForwardWait))
}

// forward hands a change to the owner of the lease.
func (c *Core) forward(p *pendingChange, owner protocol.Sibling) {
	c.reg.round++ // lives have numbers of their own
	number := c.reg.round
	p.owner, p.sent, p.unsettled = owner, c.now, true
	c.forwards.open[number] = p
	c.tally.Forwards++
	if p.admin.Change == "" { // it may come to be proposed twice: it must be known again
		p.admin.Change = fmt.Sprintf("%s-%d-%d", c.o.Me.ID, c.o.Inc, number)
	}
	a := p.admin
	c.send(owner, protocol.Forward{
		Number: number, Term: c.duty.top, Op: a.Op, Raw: a.Raw, Expect: a.Expect, Any: a.Any, Revision: a.Number, Change: a.Change, Zone: a.Zone,
	})
}

// tellKnown tells the outcomes of changes that were handed over, once this node knows the version that each came to: a read that
// it serves later must not show an older one.
func (c *Core) tellKnown() {
	for _, number := range generic.SortedKeys(c.forwards.open) {
		p := c.forwards.open[number]
		if p.outcome == nil || p.answered || p.outcome.Kind == failure.None && c.Epoch() < p.outcome.Epoch {
			continue
		}
		delete(c.forwards.open, number)
		c.endChange(p, *p.outcome)
	}
}

// awaitedEpoch gives the version that a change came to and that this node does not know yet, if any.
func (p *pendingChange) awaitedEpoch() ident.Epoch {
	if p.outcome == nil {
		return 0
	}
	return p.outcome.Epoch
}

// tellUnclear gives up on a version that this node does not come to know.
func (c *Core) tellUnclear(p *pendingChange) {
	if !p.answered && c.now.Sub(p.sent) > c.changeWait() {
		c.endChange(p, Receipt{Kind: failure.Unclear, Why: whyUnclear})
	}
}

// beatForwards has changes proposed here whose outcome does not come in time, or whose owner lost the lease.
func (c *Core) beatForwards() {
	for _, number := range generic.SortedKeys(c.forwards.open) {
		p := c.forwards.open[number]
		if p.answered {
			delete(c.forwards.open, number)
			continue
		}
		if p.outcome != nil {
			c.tellUnclear(p)
			continue
		}
		owner, other := c.proposerElsewhere()
		late := c.now >= c.forwardDue(p)
		if p.proposed || other && owner.ID == p.owner.ID && !late {
			continue
		}
		c.forwards.late += generic.One(late)
		c.tally.ForwardsUnanswered++
		c.proposeChange(p)
	}
}

// onForwarded takes the outcome of a change that was handed over.
func (c *Core) onForwarded(e protocol.Env) {
	b := e.Body.(protocol.Forwarded)
	p := c.forwards.open[b.Number]
	if p == nil || p.answered || p.outcome != nil || p.owner.ID != e.From.ID {
		return
	}
	if b.NotOwner {
		p.unsettled = false
		if !p.proposed {
			c.proposeChange(p)
		}
		return
	}
	c.reg.trips.forwards.Observe(c.now.Sub(p.sent))
	c.forwards.heard, c.forwards.late = c.now, 0
	r := Receipt{Kind: b.Kind, Why: b.Why, Faults: b.Faults, Epoch: b.Epoch, Empty: b.Empty}
	if p.proposed && isRefusal(b.Kind) && !p.refusedForGood(b.Kind, b.Epoch) {
		r = Receipt{Kind: failure.Unclear, Why: whyUnclear}
	}
	p.outcome = &r
	c.hearOfChosen(b.Chosen, e.From)
	c.tellKnown()
}

// forwardsTaken are the changes that others have handed to this owner in its term: each is taken once, however often it
// arrives.
type forwardsTaken struct {
	known map[forwardID]bool
	order []forwardID
}

// forwardID names a change by the node that handed it over and that node's number.
type forwardID struct {
	from   ident.Node
	number uint64
}

// mostForwardsKnown bounds how many are remembered.
const mostForwardsKnown = 1024

// isNew notes a change, and tells whether it came for the first time.
func (t *forwardsTaken) isNew(id forwardID) bool {
	if t.known[id] {
		return false
	}
	if t.known == nil {
		t.known = map[forwardID]bool{}
	}
	t.known[id] = true
	t.order = append(t.order, id)
	if len(t.order) > mostForwardsKnown {
		delete(t.known, t.order[0])
		t.order = t.order[1:]
	}
	return true
}

// forwardable are the requests that may be handed over.
var forwardable = map[string]bool{"put": true, "patch": true, "empty": true, "refill": true, "windows": true}

// onForward proposes a change that another node hands over.
func (c *Core) onForward(e protocol.Env) {
	b := e.Body.(protocol.Forward)
	if !c.rules() || b.Term != c.duty.num || !forwardable[b.Op] {
		c.reply(e, protocol.Forwarded{Number: b.Number, NotOwner: true})
		return
	}
	if !c.taken.isNew(forwardID{e.From.ID, b.Number}) {
		return
	}
	c.tally.ForwardsTaken++
	admins[b.Op](c, Admin{
		Op: b.Op, Raw: b.Raw, Expect: b.Expect, Any: b.Any, Number: b.Revision, Change: b.Change, Zone: b.Zone,
		reply: func(r Receipt) { c.replyForwarded(e, b.Number, r) },
	})
}

// replyForwarded tells a node what became of the change that it handed over.
func (c *Core) replyForwarded(e protocol.Env, number uint64, r Receipt) {
	if r.Kind == failure.Full {
		r.Why = fmt.Sprintf("%d changes wait at the owner of the lease", mostQueued)
	}
	c.reply(e, protocol.Forwarded{Number: number, Kind: r.Kind, Why: r.Why, Faults: r.Faults, Epoch: r.Epoch, Empty: r.Empty, Chosen: c.reg.at})
}
