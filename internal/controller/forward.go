package controller

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Forwarding of changes to the leader, and handling of forwarded changes at the leader.

// remoteProposer returns the node that proposes all changes, if a node other than this one is the leader and answers.
func (c *Core) remoteProposer() (protocol.Peer, bool) {
	owner := c.leadership.owner
	if c.o.NoForwarding || c.leadership.held || owner.ID == "" || owner.ID == c.o.Self.ID || !c.answeredWithin(owner.ID, voterFreshRounds) {
		return protocol.Peer{}, false
	}
	return owner, true
}

const (
	minForwardRounds    = 1 // lower bound of the timeout, in intervals between two reads
	initialForwardTrips = 6 // timeout before the first outcome was measured, in timeouts of a read
	maxForwardDoublings = 3 // bounds the exponential backoff: each consecutive timeout doubles the next one
	maxForwardTimeout   = minChangeWait
)

// forwards holds the changes that this node has forwarded.
type forwards struct {
	pending     map[uint64]*pendingChange // changes without an outcome, by the number in the Forward message
	lastOutcome clock.Instant             // when the last outcome arrived
	timeouts    int                       // number of changes since then without an outcome in time
}

// forwardTimeout returns how long to wait for the outcome of a forwarded change.
func (c *Core) forwardTimeout() clock.Span {
	wait := c.register.roundTrips.forwards.Timeout()
	if !c.register.roundTrips.forwards.Known() {
		wait = initialForwardTrips * c.register.roundTrips.reads.Timeout()
	}
	wait = max(wait, minForwardRounds*c.o.ReadInterval) << min(c.forwards.timeouts, maxForwardDoublings)
	return min(wait, maxForwardTimeout)
}

// forwardDeadline returns when this node proposes a forwarded change itself. As long as outcomes of other changes
// arrive, the leader is working and the change is still in its queue, so the deadline moves with the last outcome.
func (c *Core) forwardDeadline(p *pendingChange) clock.Instant {
	return min(max(p.sent, c.forwards.lastOutcome).Add(c.forwardTimeout()), p.sent.Add(maxForwardTimeout))
}

// forward sends a change to the leader.
func (c *Core) forward(p *pendingChange, owner protocol.Peer) {
	c.register.round++ // round numbers differ between incarnations of this node, so an old outcome cannot match
	number := c.register.round
	p.owner, p.sent, p.maybeCommitted = owner, c.now, true
	c.forwards.pending[number] = p
	c.tally.Forwards++
	if p.admin.Change == "" { // the change may be proposed twice: the id marks the duplicate
		p.admin.Change = fmt.Sprintf("%s-%d-%d", c.o.Self.ID, c.o.Inc, number)
	}
	a := p.admin
	c.send(owner, protocol.ForwardChange{
		Number: number, Term: c.leadership.highestTerm, Op: a.Op, Raw: a.Raw, Expect: a.Expect, AnyEpoch: a.Any, Revision: a.Number, ChangeID: a.Change, Zone: a.Zone,
	})
}

// reportKnownOutcomes sends the receipts of forwarded changes once this node knows the version that each one produced.
// Otherwise a later read at this node could return an older version.
func (c *Core) reportKnownOutcomes() {
	for _, number := range generic.SortedKeys(c.forwards.pending) {
		p := c.forwards.pending[number]
		if p.outcome == nil || p.answered || p.outcome.Kind == failure.None && c.Epoch() < p.outcome.Epoch {
			continue
		}
		delete(c.forwards.pending, number)
		c.finishChange(p, *p.outcome)
	}
}

// outcomeEpoch returns the version that a change produced according to the leader, or 0 if no outcome has arrived.
func (p *pendingChange) outcomeEpoch() ident.Epoch {
	if p.outcome == nil {
		return 0
	}
	return p.outcome.Epoch
}

// expireOutcome reports a change as unclear if this node does not learn the resulting version in time.
func (c *Core) expireOutcome(p *pendingChange) {
	if !p.answered && c.now.Sub(p.sent) > c.changeWait() {
		c.finishChange(p, Receipt{Kind: failure.Unclear, Why: unclearReason})
	}
}

// retryForwards proposes forwarded changes at this node if their outcome is overdue or the leader has lost the lease.
func (c *Core) retryForwards() {
	for _, number := range generic.SortedKeys(c.forwards.pending) {
		p := c.forwards.pending[number]
		if p.answered {
			delete(c.forwards.pending, number)
			continue
		}
		if p.outcome != nil {
			c.expireOutcome(p)
			continue
		}
		owner, other := c.remoteProposer()
		late := c.now >= c.forwardDeadline(p)
		if p.proposed || other && owner.ID == p.owner.ID && !late {
			continue
		}
		c.forwards.timeouts += generic.BoolToInt(late)
		c.tally.ForwardsUnanswered++
		c.proposeChange(p)
	}
}

// onForwarded handles the outcome of a forwarded change.
func (c *Core) onForwarded(e protocol.Envelope) {
	b := e.Body.(protocol.ForwardReply)
	p := c.forwards.pending[b.Number]
	if p == nil || p.answered || p.outcome != nil || p.owner.ID != e.From.ID {
		return
	}
	if b.NotOwner {
		p.maybeCommitted = false
		if !p.proposed {
			c.proposeChange(p)
		}
		return
	}
	c.register.roundTrips.forwards.Observe(c.now.Sub(p.sent))
	c.forwards.lastOutcome, c.forwards.timeouts = c.now, 0
	r := Receipt{Kind: b.Kind, Why: b.Reason, Faults: b.Faults, Epoch: b.Epoch, Empty: b.Empty}
	if p.proposed && isRefusal(b.Kind) && !p.refusalIsFinal(b.Kind, b.Epoch) {
		r = Receipt{Kind: failure.Unclear, Why: unclearReason}
	}
	p.outcome = &r
	c.noteChosen(b.Chosen, e.From)
	c.reportKnownOutcomes()
}

// acceptedForwards records the changes that other nodes have forwarded to this leader during its term, so that
// duplicates are ignored.
type acceptedForwards struct {
	known map[forwardID]bool
	order []forwardID
}

// forwardID identifies a forwarded change by the sending node and that node's number.
type forwardID struct {
	from   ident.Node
	number uint64
}

// maxRememberedForwards bounds the entries of forwardsTaken.
const maxRememberedForwards = 1024

// recordIfNew records a change and reports whether it arrived for the first time.
func (t *acceptedForwards) recordIfNew(id forwardID) bool {
	if t.known[id] {
		return false
	}
	if t.known == nil {
		t.known = map[forwardID]bool{}
	}
	t.known[id] = true
	t.order = append(t.order, id)
	if len(t.order) > maxRememberedForwards {
		delete(t.known, t.order[0])
		t.order = t.order[1:]
	}
	return true
}

// forwardableOps lists the operations that may be forwarded.
var forwardableOps = map[string]bool{"put": true, "patch": true, "empty": true, "refill": true, "windows": true}

// onForward proposes a change that another node has forwarded.
func (c *Core) onForward(e protocol.Envelope) {
	b := e.Body.(protocol.ForwardChange)
	if !c.holdsLease() || b.Term != c.leadership.term || !forwardableOps[b.Op] {
		c.reply(e, protocol.ForwardReply{Number: b.Number, NotOwner: true})
		return
	}
	if !c.acceptedForwards.recordIfNew(forwardID{e.From.ID, b.Number}) {
		return
	}
	c.tally.ForwardsTaken++
	adminHandlers[b.Op](c, Admin{
		Op: b.Op, Raw: b.Raw, Expect: b.Expect, Any: b.AnyEpoch, Number: b.Revision, Change: b.ChangeID, Zone: b.Zone,
		reply: func(r Receipt) { c.replyForwarded(e, b.Number, r) },
	})
}

// replyForwarded sends the outcome of a forwarded change back to the node that forwarded it.
func (c *Core) replyForwarded(e protocol.Envelope, number uint64, r Receipt) {
	if r.Kind == failure.Full {
		r.Why = fmt.Sprintf("%d changes are queued at the leader", maxQueued)
	}
	c.reply(e, protocol.ForwardReply{Number: number, Kind: r.Kind, Reason: r.Why, Faults: r.Faults, Epoch: r.Epoch, Empty: r.Empty, Chosen: c.register.knownBallot})
}
