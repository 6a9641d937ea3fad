package explorer

import (
	"fmt"
	"slices"
	"strings"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Bounds of recovery, in steps of time: a core without faults must have an owner, have left every
// joint voter set and take a change again by then.
const (
	recoverTicks = 72
	probeEvery   = 6
)

// recoveryChange is a change that an operator tries while the core recovers; it goes on any epoch.
const recoveryChange = "recovery"

// Recover ends all faults and lets a bounded time go by. It ends the run: a core that is not lost must
// then make progress again, or the run is in violation.
func (w *World) Recover() {
	w.note("recovery: every node that is not lost is up and connected, and no more faults come")
	w.open = true
	for _, n := range w.nodes {
		n.cut = false
		w.unstall(n)
		if !n.up() && !n.lost {
			w.boot(n)
			w.drain()
		}
	}
	w.settle()
	for tick := range recoverTicks {
		w.pass(1)
		if w.Violation() != "" {
			return
		}
		if tick%probeEvery == probeEvery-1 && w.recovered(tick/probeEvery) {
			w.history.checkDurable(w)
			return
		}
	}
	w.history.violate("the core is stuck: %s", w.predicament())
}

// recovered tries a change at every node that is up and tells whether the core works again.
func (w *World) recovered(round int) bool {
	if w.owner() == nil || len(w.history.inForce.Prior) > 0 || w.unfilled() != "" {
		return false
	}
	taken := false
	for _, n := range w.nodes {
		if !n.up() {
			continue
		}
		change := fmt.Sprintf("%s-%d-%s", recoveryChange, round, n.id)
		w.put(n, change, 0, 0, true)
		w.drain()
		_, ok := w.history.confirmed[change]
		taken = taken || ok
	}
	return taken
}

// unfilled names a seat whose disk is lost, if there is one although its node, or a spare, could fill it.
func (w *World) unfilled() ident.Node {
	set := w.history.inForce.Voters
	spare := slices.ContainsFunc(w.nodes, func(n *node) bool {
		return n.up() && !slices.ContainsFunc(set, func(v protocol.Voter) bool { return v.ID == n.id })
	})
	for _, v := range set {
		if !w.intact(v) && (spare || w.node(v.ID).up()) {
			return v.ID
		}
	}
	return ""
}

// predicament tells what a stuck core lacks.
func (w *World) predicament() string {
	var lacks []string
	if w.owner() == nil {
		lacks = append(lacks, "nobody owns the duty")
	}
	if len(w.history.inForce.Prior) > 0 {
		lacks = append(lacks, "the joint voter set is not left")
	}
	if id := w.unfilled(); id != "" {
		lacks = append(lacks, fmt.Sprintf("the seat of %s, whose disk is lost, is not filled", id))
	}
	if len(lacks) == 0 {
		lacks = append(lacks, "no change is taken")
	}
	for _, n := range w.nodes {
		if !n.up() {
			continue
		}
		r := n.core.Inspect().Register
		lacks = append(lacks, fmt.Sprintf("%s knows %s, tries {%s}", n.id, valueText(r.Known), valueText(r.Hint)))
	}
	return strings.Join(lacks, "; ")
}
