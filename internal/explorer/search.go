package explorer

import (
	"fmt"
	"runtime"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// Bounds of a search.
type Bounds struct {
	Depth   int // actions in a run; the scenario's own if zero
	States  int // states expanded
	Workers int // goroutines; as many as may run at once if zero
}

// Failure is a run that breaks a property.
type Failure struct {
	Run       []Action
	Recovered bool // it shows only when the core recovers after the run
	Violation string
}

// Result is what a search came to.
type Result struct {
	States    int // distinct states that were expanded
	Tried     int // actions that were tried from them
	Depth     int // actions in the longest run whose state was expanded
	Exhausted bool
	Failure   *Failure
}

// state is a distinct state, by the run that leads to it.
type state struct {
	parent *state
	action Action
	depth  int
}

func (s *state) run() []Action {
	var l []Action
	for ; s.parent != nil; s = s.parent {
		l = append(l, s.action)
	}
	slices.Reverse(l)
	return l
}

// successor is what one action from a state leads to.
type successor struct {
	action      Action
	fingerprint uint64
	violation   string
}

// expansion is a state's successors, and what recovery from it came to.
type expansion struct {
	successors []successor
	stuck      string
	err        error
}

// searcher walks a scenario's states breadth first.
type searcher struct {
	start  *Start
	bounds Bounds
	seen   map[uint64]bool
	result Result
}

// batchPerWorker is how many states each worker expands between two merges.
const batchPerWorker = 32

// Search explores a scenario within bounds. Its result does not depend on the number of workers.
func Search(s Scenario, b Bounds) (Result, error) {
	start, err := NewStart(s)
	if err != nil {
		return Result{}, err
	}
	if b.Depth == 0 {
		b.Depth = s.Depth
	}
	if b.Workers == 0 {
		b.Workers = runtime.GOMAXPROCS(0)
	}
	x := &searcher{start: start, bounds: b, seen: map[uint64]bool{}}
	err = x.search()
	return x.result, err
}

func (x *searcher) search() error {
	w, err := x.start.World(nil)
	if err != nil {
		return err
	}
	if w.Violation() != "" {
		x.result.Failure = &Failure{Violation: w.Violation()}
		return nil
	}
	x.seen[w.Fingerprint()] = true
	level := []*state{{}}
	for len(level) > 0 {
		next, more, err := x.expandLevel(level)
		if err != nil || !more {
			return err
		}
		level = next
	}
	x.result.Exhausted = true
	return nil
}

// expandLevel expands all states of one depth. It tells whether the search goes on.
func (x *searcher) expandLevel(level []*state) (next []*state, more bool, err error) {
	size := batchPerWorker * x.bounds.Workers
	for len(level) > 0 {
		room := x.bounds.States - x.result.States
		if room <= 0 {
			return nil, false, nil
		}
		batch := level[:min(size, room, len(level))]
		level = level[len(batch):]
		for i, e := range x.expandAll(batch) {
			if e.err != nil {
				return nil, false, e.err
			}
			found := x.merge(batch[i], e)
			if x.result.Failure != nil {
				return nil, false, nil
			}
			next = append(next, found...)
		}
	}
	return next, true, nil
}

// expandAll expands states by several workers, and keeps their order.
func (x *searcher) expandAll(batch []*state) []expansion {
	l := make([]expansion, len(batch))
	var all sync.WaitGroup
	jobs := make(chan int)
	for range min(x.bounds.Workers, len(batch)) {
		all.Go(func() {
			for i := range jobs {
				l[i] = x.expand(batch[i])
			}
		})
	}
	for i := range batch {
		jobs <- i
	}
	close(jobs)
	all.Wait()
	return l
}

// merge notes an expansion and gives the states that were not seen before.
func (x *searcher) merge(s *state, e expansion) []*state {
	x.result.States++
	x.result.Depth = max(x.result.Depth, s.depth)
	if e.stuck != "" {
		x.result.Failure = &Failure{Run: s.run(), Recovered: true, Violation: e.stuck}
		return nil
	}
	var found []*state
	for _, c := range e.successors {
		x.result.Tried++
		child := &state{parent: s, action: c.action, depth: s.depth + 1}
		if c.violation != "" {
			x.result.Failure = &Failure{Run: child.run(), Violation: c.violation}
			return nil
		}
		if !x.seen[c.fingerprint] {
			x.seen[c.fingerprint] = true
			found = append(found, child)
		}
	}
	return found
}

func (x *searcher) expand(s *state) (e expansion) {
	run := s.run()
	w, err := x.replay(run)
	if err != nil {
		return expansion{err: err}
	}
	var actions []Action
	if s.depth < x.bounds.Depth {
		actions = w.Enabled()
	}
	if x.start.scenario.Recovery {
		w.Recover()
		if e.stuck = w.Violation(); e.stuck != "" {
			return e
		}
	}
	for _, a := range actions {
		c, err := x.replay(run)
		if err != nil {
			return expansion{err: err}
		}
		if err := c.Apply(a); err != nil {
			return expansion{err: errors.Wrapf(err, "after %v", run)}
		}
		e.successors = append(e.successors, successor{action: a, fingerprint: c.Fingerprint(), violation: c.Violation()})
	}
	return e
}

func (x *searcher) replay(run []Action) (*World, error) {
	w, err := x.start.Replay(run, nil)
	if err == nil && w.Violation() != "" {
		err = errors.Errorf("%v fails when it is run again: %s", run, w.Violation())
	}
	return w, err
}

// String sums a result up in one line.
func (r Result) String() string {
	end := "bounded by states"
	if r.Exhausted {
		end = "all states within the depth and the budgets"
	}
	if r.Failure != nil {
		end = "a violation"
	}
	return fmt.Sprintf("%d states, %d actions tried, depth %d: %s", r.States, r.Tried, r.Depth, end)
}
