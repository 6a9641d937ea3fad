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

// outcome is what an operator's request came to.
type outcome int

const (
	pending outcome = iota // no answer; perhaps there never is one
	confirmed
	refused // answered that it was not taken
	unclear // answered that nobody knows
)

// request is what an operator asked of a node, with what had been confirmed by then.
type request struct {
	at      ident.Node
	change  string // empty for a read
	expect  ident.Epoch
	any     bool // no epoch is expected
	before  []string
	floor   ident.Epoch // highest epoch that was confirmed by then
	outcome outcome
}

// history is what the operators and an outer observer saw of a run, and what was wrong with it.
type history struct {
	requests  []request
	attempts  map[string]int
	confirmed map[string]ident.Epoch // changes by id
	order     []string               // the same, in order
	plans     map[ident.Epoch]string // of values known to be chosen, by epoch
	inForce   *protocol.Desired      // the newest value known to be chosen
	ballot    protocol.Ballot
	owners    map[ident.Duty]ident.Node
	dirty     bool // something changed that bears on what is durable
	violation string
	answers   []controller.Receipt // since it was last emptied
}

func newHistory() history {
	return history{
		attempts: map[string]int{}, confirmed: map[string]ident.Epoch{},
		plans: map[ident.Epoch]string{}, owners: map[ident.Duty]ident.Node{},
	}
}

// violate notes the first thing that was wrong.
func (h *history) violate(format string, args ...any) {
	if h.violation == "" {
		h.violation = fmt.Sprintf(format, args...)
	}
}

func (h *history) highest() ident.Epoch {
	var top ident.Epoch
	for _, e := range h.confirmed {
		top = max(top, e)
	}
	return top
}

// asks notes a request and gives its token.
func (h *history) asks(q request) uint64 {
	q.before, q.floor = slices.Clone(h.order), h.highest()
	h.requests = append(h.requests, q)
	if q.change != "" {
		h.attempts[q.change]++
	}
	return uint64(len(h.requests))
}

func done(d *protocol.Desired, change string) (ident.Epoch, bool) {
	if d == nil {
		return 0, false
	}
	for _, x := range d.Done {
		if x.ID == change {
			return x.Epoch, true
		}
	}
	return 0, false
}

// answered checks a node's answer to an operator.
func (h *history) answered(n *node, r controller.Receipt) {
	h.dirty = true
	h.answers = append(h.answers, r)
	q := &h.requests[r.Token-1]
	known := h.answeredFrom(n, q)
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

// answeredFrom gives the value that an answer rests on: for a read what the node knows, and for a change the newest that is
// known to be chosen anywhere, since the node that it was handed to may know more than the one that answers.
func (h *history) answeredFrom(n *node, q *request) *protocol.Desired {
	ballot, known := n.core.Chosen()
	if q.change != "" && ballot.Less(h.ballot) {
		return h.inForce
	}
	return known
}

// checkValue checks that what was confirmed before a request is in the value that answers it.
func (h *history) checkValue(n *node, q *request, r controller.Receipt, known *protocol.Desired) {
	for _, change := range q.before {
		if _, ok := done(known, change); !ok {
			h.violate("%s answered request %d from a value without change %s, which was confirmed before", n.id, r.Token, change)
		}
	}
	if q.change == "" && r.Epoch < q.floor {
		h.violate("a read at %s gave epoch %d after epoch %d was confirmed", n.id, r.Epoch, q.floor)
	}
}

// checkExpected checks that a change goes on the epoch that its operator expected.
func (h *history) checkExpected(n *node, q *request, known *protocol.Desired) {
	if q.any {
		return
	}
	var on ident.Epoch
	for _, x := range known.Done {
		if x.ID == q.change && on != q.expect {
			h.violate("%s took change %s, which expected epoch %d, on epoch %d", n.id, q.change, q.expect, on)
		}
		on = x.Epoch
	}
}

func (h *history) confirm(change string, epoch ident.Epoch) {
	if was, ok := h.confirmed[change]; ok {
		if was != epoch {
			h.violate("change %s was confirmed under epoch %d and under epoch %d", change, was, epoch)
		}
		return
	}
	for _, other := range h.order {
		if h.confirmed[other] == epoch {
			h.violate("epoch %d was confirmed for change %s and for change %s", epoch, other, change)
		}
	}
	h.confirmed[change] = epoch
	h.order = append(h.order, change)
}

// checkRefusal checks that a change that was taken is not refused when it is repeated.
func (h *history) checkRefusal(n *node, q *request, r controller.Receipt, known *protocol.Desired) {
	if q.change == "" || r.Kind != failure.Conflict && r.Kind != failure.Faulty {
		return
	}
	_, taken := done(known, q.change)
	if slices.Contains(q.before, q.change) || taken {
		h.violate("%s refused change %s as %s, although it was taken", n.id, q.change, r.Kind)
	}
}

// observe takes in what a node knows after a step, and checks it against what others knew.
func (h *history) observe(w *World, n *node) {
	ballot, known := n.core.Chosen()
	h.learn(n, ballot, known)
	h.watch(w)
}

func (h *history) learn(n *node, b protocol.Ballot, v *protocol.Desired) {
	if v == nil || b == h.ballot && v == h.inForce {
		return
	}
	if plan, ok := h.plans[v.Epoch]; ok && plan != string(v.Plan) {
		h.violate("epoch %d is chosen with plan %q and, at %s, with plan %q", v.Epoch, plan, n.id, v.Plan)
	}
	h.plans[v.Epoch] = string(v.Plan)
	if !h.ballot.Less(b) {
		return
	}
	h.ballot, h.inForce, h.dirty = b, v, true
	for _, change := range h.order {
		if _, ok := done(v, change); !ok {
			h.violate("%s knows a chosen value without change %s, which was confirmed", n.id, change)
		}
	}
	h.checkRefused(n, v)
}

// checkRefused checks that no change was taken whose every request was refused.
func (h *history) checkRefused(n *node, v *protocol.Desired) {
	for _, x := range v.Done {
		asked, all := false, true
		for _, q := range h.requests {
			if q.change == x.ID {
				asked, all = true, all && q.outcome == refused
			}
		}
		if asked && all {
			h.violate("change %s is in force at %s, although every request for it was refused", x.ID, n.id)
		}
	}
}

// watch checks that no two nodes own the duty.
func (h *history) watch(w *World) {
	var owner *node
	for _, n := range w.nodes {
		if !n.up() {
			continue
		}
		number, owns := n.core.Owns(w.now)
		if !owns {
			continue
		}
		if owner != nil {
			h.violate("%s and %s own the duty at once", owner.id, n.id)
		}
		owner = n
		if was, ok := h.owners[number]; ok && was != n.id {
			h.violate("duty %d was owned by %s and by %s", number, was, n.id)
		}
		h.owners[number] = n.id
	}
}

// stopped notes that a node's disk or life ended.
func (h *history) stopped(*node) { h.dirty = true }

// checkDurable checks that whatever quorum of the voter set in force is left finds every confirmed
// change, and that a majority, seats whose disks are lost apart, still has them.
func (h *history) checkDurable(w *World) {
	if !h.dirty || h.inForce == nil {
		return
	}
	h.dirty = false
	for _, set := range [][]protocol.Voter{h.inForce.Voters, h.inForce.Prior} {
		has := 0
		for _, v := range set {
			if !w.intact(v) || h.complete(w.node(v.ID).vote.Value) {
				has++
			}
		}
		if len(set) > 0 && 2*has <= len(set) {
			h.violate("no majority of {%s} durably holds the confirmed changes %v", votersText(set), h.order)
		}
	}
	h.checkQuorums(w)
}

func (h *history) complete(v *protocol.Desired) bool {
	for _, change := range h.order {
		if _, ok := done(v, change); !ok {
			return false
		}
	}
	return true
}

// checkQuorums tries every set of intact seats that is a quorum.
func (h *history) checkQuorums(w *World) {
	seats := map[ident.Node]protocol.Voter{}
	for _, v := range append(slices.Clone(h.inForce.Voters), h.inForce.Prior...) {
		if w.intact(v) {
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
			if vote := w.node(id).vote; newest.Ballot.Less(vote.Ballot) {
				newest = vote
			}
		}
		if !h.complete(newest.Value) {
			h.violate("the quorum %v of {%s} would go on without a confirmed change: it holds %s", members, votersText(h.inForce.Voters), valueText(newest.Value))
		}
	}
}

func (h *history) isQuorum(members []ident.Node, seats map[ident.Node]protocol.Voter) bool {
	for _, set := range [][]protocol.Voter{h.inForce.Voters, h.inForce.Prior} {
		count := 0
		for _, v := range set {
			if slices.Contains(members, v.ID) && seats[v.ID].Inc == v.Inc {
				count++
			}
		}
		if len(set) > 0 && 2*count <= len(set) {
			return false
		}
	}
	return true
}
