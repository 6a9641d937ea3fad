package explorer

import (
	"fmt"
	"runtime"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// SearchBounds limits a search.
type SearchBounds struct {
	Depth   int // maximum actions per run; the scenario's depth if zero
	States  int // maximum number of expanded states
	Workers int // goroutines; GOMAXPROCS if zero
}

// Failure is a run that violates a property.
type Failure struct {
	Run            []Action
	DuringRecovery bool // the violation occurs in the recovery after the run
	Violation      string
}

// SearchResult is the outcome of a search.
type SearchResult struct {
	States    int // distinct states expanded
	Actions   int // actions executed from these states
	Depth     int // length of the longest run whose final state was expanded
	Exhausted bool
	Failure   *Failure
}

// state is a distinct state, identified by the run that leads to it.
type state struct {
	parent *state
	action Action
	depth  int
}

func (s *state) run() []Action {
	var actions []Action
	for ; s.parent != nil; s = s.parent {
		actions = append(actions, s.action)
	}
	slices.Reverse(actions)
	return actions
}

// successor is the state after one action from another state.
type successor struct {
	action      Action
	fingerprint uint64
	violation   string
}

// expansion holds the successors of a state and the result of recovery from it.
type expansion struct {
	successors        []successor
	recoveryViolation string
	err               error
}

// searcher explores a scenario's states breadth first.
type searcher struct {
	start  *InitialState
	bounds SearchBounds
	seen   map[uint64]bool
	result SearchResult
}

// batchPerWorker is the number of states that each worker expands between two merges.
const batchPerWorker = 32

// Search explores a scenario within bounds. The result does not depend on the number of workers.
func Search(s Scenario, b SearchBounds) (SearchResult, error) {
	start, err := NewInitialState(s)
	if err != nil {
		return SearchResult{}, err
	}
	if b.Depth == 0 {
		b.Depth = s.Depth
	}
	if b.Workers == 0 {
		b.Workers = runtime.GOMAXPROCS(0)
	}
	sr := &searcher{start: start, bounds: b, seen: map[uint64]bool{}}
	err = sr.search()
	return sr.result, err
}

func (sr *searcher) search() error {
	c, err := sr.start.NewCluster(nil)
	if err != nil {
		return err
	}
	if c.Violation() != "" {
		sr.result.Failure = &Failure{Violation: c.Violation()}
		return nil
	}
	sr.seen[c.Fingerprint()] = true
	level := []*state{{}}
	for len(level) > 0 {
		next, more, err := sr.expandLevel(level)
		if err != nil || !more {
			return err
		}
		level = next
	}
	sr.result.Exhausted = true
	return nil
}

// expandLevel expands all states of one depth and returns their new successors. It reports whether to continue.
func (sr *searcher) expandLevel(level []*state) (next []*state, more bool, err error) {
	size := batchPerWorker * sr.bounds.Workers
	for len(level) > 0 {
		room := sr.bounds.States - sr.result.States
		if room <= 0 {
			return nil, false, nil
		}
		batch := level[:min(size, room, len(level))]
		level = level[len(batch):]
		for i, e := range sr.expandAll(batch) {
			if e.err != nil {
				return nil, false, e.err
			}
			found := sr.merge(batch[i], e)
			if sr.result.Failure != nil {
				return nil, false, nil
			}
			next = append(next, found...)
		}
	}
	return next, true, nil
}

// expandAll expands states concurrently and returns the expansions in the order of the states.
func (sr *searcher) expandAll(batch []*state) []expansion {
	expansions := make([]expansion, len(batch))
	var workers sync.WaitGroup
	jobs := make(chan int)
	for range min(sr.bounds.Workers, len(batch)) {
		workers.Go(func() {
			for i := range jobs {
				expansions[i] = sr.expand(batch[i])
			}
		})
	}
	for i := range batch {
		jobs <- i
	}
	close(jobs)
	workers.Wait()
	return expansions
}

// merge records an expansion and returns the states not seen before.
func (sr *searcher) merge(s *state, e expansion) []*state {
	sr.result.States++
	sr.result.Depth = max(sr.result.Depth, s.depth)
	if e.recoveryViolation != "" {
		sr.result.Failure = &Failure{Run: s.run(), DuringRecovery: true, Violation: e.recoveryViolation}
		return nil
	}
	var found []*state
	for _, next := range e.successors {
		sr.result.Actions++
		child := &state{parent: s, action: next.action, depth: s.depth + 1}
		if next.violation != "" {
			sr.result.Failure = &Failure{Run: child.run(), Violation: next.violation}
			return nil
		}
		if !sr.seen[next.fingerprint] {
			sr.seen[next.fingerprint] = true
			found = append(found, child)
		}
	}
	return found
}

func (sr *searcher) expand(s *state) (e expansion) {
	run := s.run()
	c, err := sr.replay(run)
	if err != nil {
		return expansion{err: err}
	}
	var actions []Action
	if s.depth < sr.bounds.Depth {
		actions = c.Enabled()
	}
	if sr.start.scenario.RequiresRecovery {
		c.Recover()
		if e.recoveryViolation = c.Violation(); e.recoveryViolation != "" {
			return e
		}
	}
	for _, a := range actions {
		child, err := sr.replay(run)
		if err != nil {
			return expansion{err: err}
		}
		if err := child.Apply(a); err != nil {
			return expansion{err: errors.Wrapf(err, "after %v", run)}
		}
		e.successors = append(e.successors, successor{action: a, fingerprint: child.Fingerprint(), violation: child.Violation()})
	}
	return e
}

func (sr *searcher) replay(run []Action) (*Cluster, error) {
	c, err := sr.start.Replay(run, nil)
	if err == nil && c.Violation() != "" {
		err = errors.Errorf("%v: violation on replay of a run that passed before: %s", run, c.Violation())
	}
	return c, err
}

// String summarizes the result in one line.
func (r SearchResult) String() string {
	end := "state limit reached"
	if r.Exhausted {
		end = "all states within the depth and budgets explored"
	}
	if r.Failure != nil {
		end = "violation found"
	}
	return fmt.Sprintf("%d states, %d actions executed, depth %d: %s", r.States, r.Actions, r.Depth, end)
}
