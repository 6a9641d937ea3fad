package explorer

import (
	"fmt"
	"slices"

	"tidedeck/internal/controller"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// outcome is the result of an operator's request.
type outcome int

const (
	pending outcome = iota // not answered yet, or never
	confirmed
	refused // the answer states that the change was not applied
	unclear // the answer states that the result is not known
)

// request is an operator's request to a node, with the changes confirmed before it was sent.
type request struct {
	node            ident.Node
	change          string // empty for a read
	expectedEpoch   ident.Epoch
	anyEpoch        bool // accepts any current epoch
	confirmedBefore []string
	minEpoch        ident.Epoch // highest epoch confirmed before the request
	outcome         outcome
}

// history records what the operators and an external observer saw of a run, and the first violation.
type history struct {
	requests        []request
	attempts        map[string]int
	confirmed       map[string]ident.Epoch // epoch of each confirmed change, by change id
	confirmedOrder  []string               // ids of the confirmed changes in the order of confirmation
	chosenPlans     map[ident.Epoch]string // plans of values known to be chosen
	inForce         *protocol.Desired      // the newest value known to be chosen
	inForceBallot   protocol.Ballot
	leaderByTerm    map[ident.Term]ident.Node
	durabilityDirty bool // durable state may have changed since the last check
	violation       string
	departed        bool                 // the departure of the scenario's server was acknowledged
	answers         []controller.Receipt // answers to operators
}

func newHistory() history {
	return history{
		attempts: map[string]int{}, confirmed: map[string]ident.Epoch{},
		chosenPlans: map[ident.Epoch]string{}, leaderByTerm: map[ident.Term]ident.Node{},
	}
}

// reportViolation records a violation unless one was recorded before.
func (h *history) reportViolation(format string, args ...any) {
	if h.violation == "" {
		h.violation = fmt.Sprintf(format, args...)
	}
}

func (h *history) highestEpoch() ident.Epoch {
	var top ident.Epoch
	for _, e := range h.confirmed {
		top = max(top, e)
	}
	return top
}

// addRequest records a request and returns its token.
func (h *history) addRequest(q request) uint64 {
	q.confirmedBefore, q.minEpoch = slices.Clone(h.confirmedOrder), h.highestEpoch()
	h.requests = append(h.requests, q)
	if q.change != "" {
		h.attempts[q.change]++
	}
	return uint64(len(h.requests))
}

// doneEpoch returns the epoch under which a value records a change as applied.
func doneEpoch(d *protocol.Desired, change string) (ident.Epoch, bool) {
	if d == nil {
		return 0, false
	}
	for _, x := range d.AppliedChanges {
		if x.ID == change {
			return x.Epoch, true
		}
	}
	return 0, false
}

// recordAnswer records and checks a node's answer to an operator.
func (h *history) recordAnswer(n *node, r controller.Receipt) {
	h.durabilityDirty = true
	h.answers = append(h.answers, r)
	q := &h.requests[r.Token-1]
	known := h.answerBasis(n, q)
	switch r.Kind {
	case failure.None:
		q.outcome = confirmed
		h.checkValue(n, q, r, known)
		if q.change != "" {
			h.checkExpected(n, q, known)
			h.confirm(q.change, r.Epoch)
		}
	case failure.Unclear:
		q.outcome = unclear
	default:
		q.outcome = refused
		h.checkRefusal(n, q, r, known)
	}
}

// answerBasis returns the value that an answer is checked against. For a read, it is the value known to the node. For
// a change, it is the newest value known to be chosen on any node, since the node to which the change was forwarded may
// know a newer value than the one that answers.
func (h *history) answerBasis(n *node, q *request) *protocol.Desired {
	ballot, known := n.core.Chosen()
	if q.change != "" && ballot.Less(h.inForceBallot) {
		return h.inForce
	}
	return known
}

// checkValue checks that the value behind an answer contains every change confirmed before the request.
func (h *history) checkValue(n *node, q *request, r controller.Receipt, known *protocol.Desired) {
	for _, change := range q.confirmedBefore {
		if _, ok := doneEpoch(known, change); !ok {
			h.reportViolation("%s answered request %d from a value without change %s, which had been confirmed before the request", n.id, r.Token, change)
		}
	}
	if q.change == "" && r.Epoch < q.minEpoch {
		h.reportViolation("a read at %s returned epoch %d after epoch %d was confirmed", n.id, r.Epoch, q.minEpoch)
	}
}

// checkExpected checks that a change was applied to the epoch that its operator expected.
func (h *history) checkExpected(n *node, q *request, known *protocol.Desired) {
	if q.anyEpoch {
		return
	}
	var current ident.Epoch
	for _, x := range known.AppliedChanges {
		if x.ID == q.change && current != q.expectedEpoch {
			h.reportViolation("%s applied change %s, which expected epoch %d, to epoch %d", n.id, q.change, q.expectedEpoch, current)
		}
		current = x.Epoch
	}
}

func (h *history) confirm(change string, epoch ident.Epoch) {
	if was, ok := h.confirmed[change]; ok {
		if was != epoch {
			h.reportViolation("change %s was confirmed under epoch %d and under epoch %d", change, was, epoch)
		}
		return
	}
	for _, other := range h.confirmedOrder {
		if h.confirmed[other] == epoch {
			h.reportViolation("epoch %d was confirmed for change %s and for change %s", epoch, other, change)
		}
	}
	h.confirmed[change] = epoch
	h.confirmedOrder = append(h.confirmedOrder, change)
}

// checkRefusal checks that a repeat of an applied change is not refused.
func (h *history) checkRefusal(n *node, q *request, r controller.Receipt, known *protocol.Desired) {
	if q.change == "" || r.Kind != failure.Conflict && r.Kind != failure.FaultyPlan {
		return
	}
	_, taken := doneEpoch(known, q.change)
	if slices.Contains(q.confirmedBefore, q.change) || taken {
		h.reportViolation("%s refused change %s as %s, although it was taken", n.id, q.change, r.Kind)
	}
}

// observe records the chosen value known to a node after a step and checks it against the values known before.
func (h *history) observe(c *Cluster, n *node) {
	ballot, known := n.core.Chosen()
	h.recordChosen(n, ballot, known)
	h.checkLeaders(c)
	h.checkDeparture(n)
}

func (h *history) recordChosen(n *node, b protocol.Ballot, v *protocol.Desired) {
	if v == nil || b == h.inForceBallot && v == h.inForce {
		return
	}
	if plan, ok := h.chosenPlans[v.Epoch]; ok && plan != string(v.Plan) {
		h.reportViolation("epoch %d is chosen with plan %q and, at %s, with plan %q", v.Epoch, plan, n.id, v.Plan)
	}
	h.chosenPlans[v.Epoch] = string(v.Plan)
	if h.inForce != nil && v.Gen != h.inForce.Gen {
		h.reportViolation("%s knows a core of generation %d beside one of generation %d", n.id, v.Gen, h.inForce.Gen)
	}
	if !h.inForceBallot.Less(b) {
		return
	}
	h.inForceBallot, h.inForce, h.durabilityDirty = b, v, true
	for _, change := range h.confirmedOrder {
		if _, ok := doneEpoch(v, change); !ok {
			h.reportViolation("%s knows a chosen value without change %s, which was confirmed", n.id, change)
		}
	}
	h.checkRefused(n, v)
}

// checkRefused checks that no change is in force for which every request was refused.
func (h *history) checkRefused(n *node, v *protocol.Desired) {
	for _, x := range v.AppliedChanges {
		requested, allRefused := false, true
		for _, q := range h.requests {
			if q.change == x.ID {
				requested, allRefused = true, allRefused && q.outcome == refused
			}
		}
		if requested && allRefused {
			h.reportViolation("change %s is in force at %s, although every request for it was refused", x.ID, n.id)
		}
	}
}

// checkOwners checks that no two nodes hold the leadership lease at the same time or under the same term.
func (h *history) checkLeaders(c *Cluster) {
	var leader *node
	for _, n := range c.nodes {
		if !n.up() {
			continue
		}
		term, holds := n.core.Owns(c.now)
		if !holds {
			continue
		}
		if leader != nil {
			h.reportViolation("%s and %s own the duty at once", leader.id, n.id)
		}
		leader = n
		if was, ok := h.leaderByTerm[term]; ok && was != n.id {
			h.reportViolation("term %d was owned by %s and by %s", term, was, n.id)
		}
		h.leaderByTerm[term] = n.id
	}
}

// nodeStopped records that a node stopped or lost its disk.
func (h *history) nodeStopped(*node) { h.durabilityDirty = true }

// recordAnnounced records the acknowledgement of a departure. The first announcement says that the server is live.
func (h *history) recordAnnounced(a controller.Announced) {
	if a.OK && a.Token > 1 {
		h.departed = true
	}
}

// checkDeparture checks that no leader offers a server whose departure was acknowledged.
func (h *history) checkDeparture(n *node) {
	if !h.departed || !n.up() {
		return
	}
	if slices.Contains(n.core.Inspect().Registry.Offered, leaver) {
		h.reportViolation("%s offers a server whose departure was acknowledged", n.id)
	}
}

// checkDurable checks that every remaining quorum of the voter set in force finds all confirmed changes, and that a
// majority still holds them on disk. Seats whose disks are lost count as holding them.
func (h *history) checkDurable(c *Cluster) {
	if !h.durabilityDirty || h.inForce == nil {
		return
	}
	h.durabilityDirty = false
	for _, set := range [][]protocol.Voter{h.inForce.Voters, h.inForce.PriorVoters} {
		holding := 0
		for _, v := range set {
			if !c.diskIntact(v) || h.holdsConfirmed(c.node(v.ID).vote.Value) {
				holding++
			}
		}
		if len(set) > 0 && 2*holding <= len(set) {
			h.reportViolation("no majority of {%s} durably holds the confirmed changes %v", votersText(set), h.confirmedOrder)
		}
	}
	h.checkQuorums(c)
}

// holdsConfirmed reports whether a value contains all confirmed changes.
func (h *history) holdsConfirmed(v *protocol.Desired) bool {
	for _, change := range h.confirmedOrder {
		if _, ok := doneEpoch(v, change); !ok {
			return false
		}
	}
	return true
}

// checkQuorums checks every quorum of intact seats: the newest value accepted there must contain all confirmed changes.
func (h *history) checkQuorums(c *Cluster) {
	seats := map[ident.Node]protocol.Voter{}
	for _, v := range append(slices.Clone(h.inForce.Voters), h.inForce.PriorVoters...) {
		if c.diskIntact(v) {
			seats[v.ID] = v
		}
	}
	ids := generic.SortedKeys(seats)
	for mask := 1; mask < 1<<len(ids); mask++ {
		var members []ident.Node
		for i, id := range ids {
			if mask&(1<<i) != 0 {
				members = append(members, id)
			}
		}
		if !h.isQuorum(members, seats) {
			continue
		}
		var newest controller.DurableVote
		for _, id := range members {
			if vote := c.node(id).vote; newest.Ballot.Less(vote.Ballot) {
				newest = vote
			}
		}
		if !h.holdsConfirmed(newest.Value) {
			h.reportViolation("the quorum %v of {%s} would go on without a confirmed change: it holds %s", members, votersText(h.inForce.Voters), valueText(newest.Value))
		}
	}
}

func (h *history) isQuorum(members []ident.Node, seats map[ident.Node]protocol.Voter) bool {
	for _, set := range [][]protocol.Voter{h.inForce.Voters, h.inForce.PriorVoters} {
		count := 0
		for _, v := range set {
			if slices.Contains(members, v.ID) && seats[v.ID].Incarnation == v.Incarnation {
				count++
			}
		}
		if len(set) > 0 && 2*count <= len(set) {
			return false
		}
	}
	return true
}
