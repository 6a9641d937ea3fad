package controller

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Operators' changes of the desired state. Each change is forwarded to the leader. The leader already
// holds a promise of the voters, so that a change takes one round, and changes that are queued share a round. If there
// is no leader, or no outcome arrives in time, the node that received the request proposes the change itself.

// pendingChange is an operator's change whose outcome is not known yet.
type pendingChange struct {
	admin   Admin
	modify  func(d *protocol.Desired) (failure.Kind, fleetplan.Faults) // must not access the core: it may run outside its step
	arrived clock.Instant

	owner          protocol.Peer // the node that the change was forwarded to
	sent           clock.Instant
	maybeCommitted bool     // it was forwarded, so the leader may have committed it
	proposed       bool     // by this node
	outcome        *Receipt // from the leader; withheld until this node knows the version that it names
	answered       bool
}

// change processes an operator's change: it forwards it to the leader, or proposes it.
func (c *Core) change(a Admin, modify func(d *protocol.Desired) (failure.Kind, fleetplan.Faults)) {
	if c.latest() == nil {
		c.answer(a, Receipt{Kind: failure.NotReady, Why: "this node knows no core yet"})
		return
	}
	p := &pendingChange{admin: a, modify: modify, arrived: c.now}
	if owner, other := c.remoteProposer(); other && a.reply == nil && len(c.forwards.pending) < maxQueued {
		c.forward(p, owner)
		return
	}
	c.proposeChange(p)
}

// proposeChange has this node propose a change to the voters.
func (c *Core) proposeChange(p *pendingChange) {
	p.proposed = true
	o := c.newProposal(mutation{concurrent: true, apply: p.apply, done: func(a applyResult) { c.answerChange(p, a) }})
	o.enqueuedAt, o.uncertain = p.arrived, p.maybeCommitted
	c.enqueue(o)
}

// apply returns the value with the change applied, or the reason why the change doesn't apply to that value.
func (p *pendingChange) apply(d protocol.Desired) (protocol.Desired, failure.Kind, fleetplan.Faults) {
	a := p.admin
	if a.Change != "" {
		for _, x := range d.AppliedChanges {
			if x.ID == a.Change {
				return d, failure.Repeated, nil
			}
		}
	}
	if !a.Any && d.Epoch != a.Expect {
		if predatesHistory(d, a) {
			return d, failure.Unclear, nil
		}
		return d, failure.Conflict, nil
	}
	if a.Number != 0 && a.Number <= d.Epoch {
		return d, failure.FaultyPlan, fleetplan.Faults{{Path: "$", Why: fmt.Sprintf("the number of the change is %d, but %d is in force", a.Number, d.Epoch)}}
	}
	next := d
	next.EmptiedZones = append([]ident.Zone{}, d.EmptiedZones...)
	if kind, faults := p.modify(&next); kind != failure.None {
		return d, kind, faults
	}
	if next.Epoch++; a.Number != 0 {
		next.Epoch = a.Number
	}
	next.AppliedChanges = remember(d.AppliedChanges, a.Change, next.Epoch)
	return next, failure.None, nil
}

// remember adds a committed change to the history of change ids and drops the oldest entries beyond maxChanges.
func remember(done []protocol.Change, id string, epoch ident.Epoch) []protocol.Change {
	history := append([]protocol.Change{}, done...)
	if id != "" {
		history = append(history, protocol.Change{ID: id, Epoch: epoch})
	}
	if len(history) > maxChanges {
		history = history[len(history)-maxChanges:]
	}
	return history
}

// refusalIsFinal reports whether a refusal holds for every copy of a change that may still be in transit, because the
// change cannot apply to any later value.
func (p *pendingChange) refusalIsFinal(k failure.Kind, epoch ident.Epoch) bool {
	a := p.admin
	switch {
	case a.Number != 0 && a.Number <= epoch, !a.Any && a.Expect < epoch:
		return true
	case k == failure.FaultyPlan || k == failure.Malformed:
		return !a.Any // with a given base version, the result depends on that version only
	}
	return false
}

// isRefusal reports whether an outcome means that the change was not committed.
func isRefusal(k failure.Kind) bool {
	return k != failure.None && k != failure.Repeated && k != failure.Unclear
}

// unclearReason is the text of the receipt if the change may have been committed.
const unclearReason = "it is not known whether the change was committed; repeat it under the same change id, or read the plan"

// answerChange sends the receipt of a change that this node proposed.
func (c *Core) answerChange(p *pendingChange, r applyResult) {
	if p.answered {
		return // the leader's outcome arrived first
	}
	v, k, a := r.value, r.kind, p.admin
	refused := isRefusal(k)
	if refused && c.hasChosen(a.Change) {
		// Another copy of the change was committed in the same rounds, so this one must not be reported as refused.
		v, k, refused = *c.register.known, failure.Repeated, false
	}
	if refused && p.maybeCommitted && !p.refusalIsFinal(k, v.Epoch) {
		k = failure.Unclear
	}
	receipt := Receipt{Kind: k, Epoch: v.Epoch, Faults: r.faults, Empty: v.EmptiedZones}
	switch k {
	case failure.None:
		c.tally.Changes++
	case failure.Repeated: // already committed: report its epoch
		receipt.Kind = failure.None
		for _, x := range v.AppliedChanges {
			if x.ID == a.Change {
				receipt.Epoch = x.Epoch
			}
		}
	case failure.Conflict:
		receipt.Why = fmt.Sprintf("the epoch in force is %d", v.Epoch)
	case failure.Unclear:
		receipt.Why = unclearReason
	}
	c.finishChange(p, receipt)
}

// finishChange logs the outcome of a change and sends its receipt.
func (c *Core) finishChange(p *pendingChange, r Receipt) {
	p.answered = true
	a := p.admin
	if a.reply == nil && r.Kind == failure.None {
		c.noteAcknowledged(r.Epoch)
	}
	c.logEvent("operator's change answered", field("op", a.Op), field("change", a.Change), field("expected", a.Expect),
		field("number", a.Number), field("outcome", r.Kind), field("epoch", r.Epoch), field("took_ms", c.now.Sub(p.arrived).Milliseconds()),
		field("handed_to", p.owner.ID))
	c.answer(a, r)
}
