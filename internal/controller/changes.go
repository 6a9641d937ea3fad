package controller

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Operators' changes of the desired state: each goes to the node that owns the leadership lease, whose promise stands, so
// that it costs one round, and many that wait go in one. Where no node owns it, or its outcome does not come in time, the
// node that the operator asked proposes the change itself.

// pendingChange is an operator's change whose outcome is not known yet.
type pendingChange struct {
	admin  Admin
	modify func(d *protocol.Desired) (failure.Kind, fleetplan.Faults) // looks at nothing of the core's
	came   clock.Tick

	owner     protocol.Sibling // to whom it was handed
	sent      clock.Tick
	unsettled bool     // it was handed over, and may be taken there
	proposed  bool     // here
	outcome   *Receipt // as the owner told it, until this node knows the version that it names
	answered  bool
}

// change carries an operator's change through the register.
func (c *Core) change(a Admin, modify func(d *protocol.Desired) (failure.Kind, fleetplan.Faults)) {
	if c.latest() == nil {
		c.answer(a, Receipt{Kind: failure.NotReady, Why: "this node knows no core yet"})
		return
	}
	p := &pendingChange{admin: a, modify: modify, came: c.now}
	if owner, other := c.proposerElsewhere(); other && a.reply == nil && len(c.forwards.open) < mostQueued {
		c.forward(p, owner)
		return
	}
	c.proposeChange(p)
}

// proposeChange puts a change to the voters from here.
func (c *Core) proposeChange(p *pendingChange) {
	p.proposed = true
	o := c.newOp(mutation{beside: true, apply: p.apply, done: func(a applied) { c.answerChange(p, a) }})
	o.came, o.risky = p.came, p.unsettled
	c.enqueue(o)
}

// apply gives the value with the change, if it goes on that value.
func (p *pendingChange) apply(d protocol.Desired) (protocol.Desired, failure.Kind, fleetplan.Faults) {
	a := p.admin
	if a.Change != "" {
		for _, x := range d.Done {
			if x.ID == a.Change {
				return d, failure.Repeated, nil
			}
		}
	}
	if !a.Any && d.Epoch != a.Expect {
		if forgotten(d, a) {
			return d, failure.Unclear, nil
		}
		return d, failure.Conflict, nil
	}
	if a.Number != 0 && a.Number <= d.Epoch {
		return d, failure.Faulty, fleetplan.Faults{{Path: "$", Why: fmt.Sprintf("its number is %d, and %d is in force", a.Number, d.Epoch)}}
	}
	n := d
	n.Empty = append([]ident.Zone{}, d.Empty...)
	if kind, faults := p.modify(&n); kind != failure.None {
		return d, kind, faults
	}
	if n.Epoch++; a.Number != 0 {
		n.Epoch = a.Number
	}
	n.Done = remember(d.Done, a.Change, n.Epoch)
	return n, failure.None, nil
}

// remember adds a taken change to those that are known by their ids, and forgets the oldest past the bound.
func remember(done []protocol.Change, id string, epoch ident.Epoch) []protocol.Change {
	l := append([]protocol.Change{}, done...)
	if id != "" {
		l = append(l, protocol.Change{ID: id, Epoch: epoch})
	}
	if len(l) > maxChanges {
		l = l[len(l)-maxChanges:]
	}
	return l
}

// refusedForGood tells whether a refusal holds for every copy of a change that may still be on its way: it can go on no
// value that is yet to come.
func (p *pendingChange) refusedForGood(k failure.Kind, epoch ident.Epoch) bool {
	a := p.admin
	switch {
	case a.Number != 0 && a.Number <= epoch, !a.Any && a.Expect < epoch:
		return true
	case k == failure.Faulty || k == failure.Malformed:
		return !a.Any // the version that it goes on decides
	}
	return false
}

// isRefusal tells whether an outcome says that a change was not taken.
func isRefusal(k failure.Kind) bool {
	return k != failure.None && k != failure.Repeated && k != failure.Unclear
}

// whyUnclear is what an operator is told whose change may have been taken.
const whyUnclear = "it is not known whether the change was taken; repeat it under the same change id, or read the plan"

// answerChange tells an operator what became of a change that was proposed here.
func (c *Core) answerChange(p *pendingChange, r applied) {
	if p.answered {
		return // the node that it was handed to was faster
	}
	v, k, a := r.after, r.kind, p.admin
	refused := isRefusal(k)
	if refused && c.hasTaken(a.Change) {
		// A repeat of it went through in the same rounds, behind another: it is not told as refused.
		v, k, refused = *c.reg.known, failure.Repeated, false
	}
	if refused && p.unsettled && !p.refusedForGood(k, v.Epoch) {
		k = failure.Unclear
	}
	receipt := Receipt{Kind: k, Epoch: v.Epoch, Faults: r.faults, Empty: v.Empty}
	switch k {
	case failure.None:
		c.tally.Changes++
	case failure.Repeated: // it was taken before: say under which epoch
		receipt.Kind = failure.None
		for _, x := range v.Done {
			if x.ID == a.Change {
				receipt.Epoch = x.Epoch
			}
		}
	case failure.Conflict:
		receipt.Why = fmt.Sprintf("the epoch in force is %d", v.Epoch)
	case failure.Unclear:
		receipt.Why = whyUnclear
	}
	c.endChange(p, receipt)
}

// endChange gives a change its receipt.
func (c *Core) endChange(p *pendingChange, r Receipt) {
	p.answered = true
	a := p.admin
	if a.reply == nil && r.Kind == failure.None {
		c.acknowledged(r.Epoch)
	}
	c.note("operator's change answered", field("op", a.Op), field("change", a.Change), field("expected", a.Expect),
		field("number", a.Number), field("outcome", r.Kind), field("epoch", r.Epoch), field("took_ms", c.now.Sub(p.came).Milliseconds()),
		field("handed_to", p.owner.ID))
	c.answer(a, r)
}
