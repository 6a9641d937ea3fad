package explorer

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
)

// WalkBounds bound a number of random runs.
type WalkBounds struct {
	Depth   int // actions in a run; the scenario's own if zero
	Walks   int
	Seed    uint64
	Workers int // goroutines; as many as may run at once if zero
}

// WalkResult is what random runs came to. Its failure is the one of the first failing walk, with every
// action taken out that the violation does not need.
type WalkResult struct {
	Walks   int
	Actions int
	Failure *Failure
}

// String sums a result up in one line.
func (r WalkResult) String() string {
	return fmt.Sprintf("%d random runs, %d actions", r.Walks, r.Actions)
}

// walk is one random run and what it came to.
type walk struct {
	run       []Action
	violation string
	recovered bool
	err       error
}

// Walk tries long random runs of a scenario, each followed by recovery if the scenario wants it. They
// reach depths that a search does not, but prove nothing.
func Walk(s Scenario, b WalkBounds) (WalkResult, error) {
	start, err := NewStart(s)
	if err != nil {
		return WalkResult{}, err
	}
	if b.Depth == 0 {
		b.Depth = s.Depth
	}
	if b.Workers == 0 {
		b.Workers = runtime.GOMAXPROCS(0)
	}
	var r WalkResult
	size := batchPerWorker * b.Workers
	for first := 0; first < b.Walks; first += size {
		for _, x := range start.walkAll(b, first, min(size, b.Walks-first)) {
			if x.err != nil {
				return r, x.err
			}
			r.Walks++
			r.Actions += len(x.run)
			if x.violation != "" {
				r.Failure = start.shrink(x)
				return r, nil
			}
		}
	}
	return r, nil
}

func (s *Start) walkAll(b WalkBounds, first, count int) []walk {
	l := make([]walk, count)
	jobs := make(chan int)
	var all sync.WaitGroup
	for range min(b.Workers, count) {
		all.Go(func() {
			for i := range jobs {
				l[i] = s.walk(rand.New(rand.NewPCG(b.Seed, uint64(first+i))), b.Depth)
			}
		})
	}
	for i := range l {
		jobs <- i
	}
	close(jobs)
	all.Wait()
	return l
}

func (s *Start) walk(dice *rand.Rand, depth int) walk {
	var x walk
	w, err := s.World(nil)
	if err != nil {
		return walk{err: err}
	}
	for len(x.run) < depth && w.Violation() == "" {
		actions := w.Enabled()
		if len(actions) == 0 {
			break
		}
		a := actions[dice.IntN(len(actions))]
		x.run = append(x.run, a)
		if err := w.Apply(a); err != nil {
			return walk{err: err}
		}
	}
	if w.Violation() == "" && s.scenario.Recovery {
		x.recovered = true
		w.Recover()
	}
	x.violation = w.Violation()
	return x
}

// shrink takes actions out of a failing run for as long as what is left is a run that fails.
func (s *Start) shrink(x walk) *Failure {
	f := &Failure{Run: x.run, Recovered: x.recovered, Violation: x.violation}
	for smaller := true; smaller; {
		smaller = false
		for i := len(f.Run) - 1; i >= 0; i = min(i, len(f.Run)) - 1 {
			run := slices.Delete(slices.Clone(f.Run), i, i+1)
			if g := s.fails(run); g != nil {
				f, smaller = g, true
			}
		}
	}
	return f
}

// fails carries out a run that the scenario must allow, with recovery if it wants it, and tells how it fails.
func (s *Start) fails(run []Action) *Failure {
	w, err := s.World(nil)
	if err != nil {
		return nil
	}
	for i, a := range run {
		if w.Violation() != "" {
			return &Failure{Run: run[:i], Violation: w.Violation()}
		}
		if !slices.Contains(w.Enabled(), a) || w.Apply(a) != nil {
			return nil
		}
	}
	recovered := w.Violation() == "" && s.scenario.Recovery
	if recovered {
		w.Recover()
	}
	if w.Violation() == "" {
		return nil
	}
	return &Failure{Run: run, Recovered: recovered, Violation: w.Violation()}
}
