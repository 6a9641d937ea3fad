package explorer

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"tidedeck/internal/ident"
)

// firstChange is the change that every core has taken before exploration begins, under epoch 1.
const firstChange = "first"

// Bounds of the scripted way to the first state, in steps of time.
const (
	formTicks  = 40
	electTicks = 12
	quietTicks = 3 // after the election, so that every node has heard of it
)

// Start is a scenario's first state, from which each run begins anew.
type Start struct {
	scenario Scenario
	nodes    []node
}

// NewStart forms the scenario's core from empty disks, has it take a first change, and keeps the disks.
func NewStart(s Scenario) (*Start, error) {
	w := newWorld(s)
	for _, id := range slices.Concat(s.Voters, s.Spares) {
		w.nodes = append(w.nodes, &node{id: id, disk: map[string][]byte{}})
	}
	w.open = true
	for _, n := range w.nodes {
		w.boot(n)
		w.drain()
	}
	if !w.until(formTicks, func() bool { return w.owner() != nil }) {
		return nil, errors.Errorf("%s: the core does not form within %d steps", s.Name, formTicks)
	}
	w.put(w.owner(), firstChange, 0, 1, false)
	w.drain()
	if w.history.confirmed[firstChange] != 1 {
		return nil, errors.Errorf("%s: the first change is not taken", s.Name)
	}
	w.pass(quietTicks)
	if w.history.violation != "" {
		return nil, errors.Errorf("%s: the core forms wrongly: %s", s.Name, w.history.violation)
	}
	start := &Start{scenario: s}
	for _, n := range w.nodes {
		start.nodes = append(start.nodes, node{id: n.id, disk: n.disk, vote: n.vote, lives: n.lives})
	}
	return start, nil
}

func newWorld(s Scenario) *World {
	return &World{scenario: s, now: 1e9, history: newHistory()}
}

// World starts the core from its disks, waits for an owner, and carries out the scenario's setup.
func (s *Start) World(trace func(string)) (*World, error) {
	w := newWorld(s.scenario)
	w.options.joined, w.open = true, true
	w.history.confirmed[firstChange], w.history.order = 1, []string{firstChange}
	for _, n := range s.nodes {
		n.disk = maps.Clone(n.disk)
		w.nodes = append(w.nodes, &n)
	}
	for _, n := range w.nodes {
		w.boot(n)
		w.drain()
	}
	if !w.until(electTicks, func() bool { return w.owner() != nil }) {
		return nil, errors.Errorf("%s: no owner within %d steps", s.scenario.Name, electTicks)
	}
	w.pass(quietTicks)
	w.open = false
	w.trace = trace
	w.note("set up: %s owns the duty", w.owner().id)
	for _, a := range s.scenario.Setup {
		if err := w.Apply(a); err != nil {
			return nil, errors.Wrap(err, "set up")
		}
	}
	w.note("set up is over")
	w.spent = Budget{}
	return w, nil
}

// until lets time go by until something is so; it tells whether it came to be.
func (w *World) until(ticks int, is func() bool) bool {
	for range ticks {
		if is() {
			return true
		}
		w.pass(1)
	}
	return is()
}

func (w *World) owner() *node {
	for _, n := range w.nodes {
		if !n.up() {
			continue
		}
		if _, owns := n.core.Owns(w.now); owns {
			return n
		}
	}
	return nil
}

// Replay carries out a run from the scenario's start.
func (s *Start) Replay(run []Action, trace func(string)) (*World, error) {
	w, err := s.World(trace)
	if err != nil {
		return nil, err
	}
	for _, a := range run {
		if w.Violation() != "" {
			return w, nil
		}
		if err := w.Apply(a); err != nil {
			return w, err
		}
	}
	return w, nil
}

// Violation tells the first thing that was wrong in the run so far, if anything was.
func (w *World) Violation() string { return w.history.violation }

// Epoch gives the highest epoch that was confirmed to an operator.
func (w *World) Epoch() ident.Epoch { return w.history.highest() }
