package explorer

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
)

// WalkBounds limits a series of random runs.
type WalkBounds struct {
	Depth   int // maximum actions per run; the scenario's depth if zero
	Walks   int
	Seed    uint64
	Workers int // goroutines; GOMAXPROCS if zero
}

// WalkResult is the outcome of a series of random runs. Its failure is that of the first failing run, minimized by
// removing every action that the violation does not need.
type WalkResult struct {
	Walks   int
	Actions int
	Failure *Failure
}

// String summarizes the result in one line.
func (r WalkResult) String() string {
	return fmt.Sprintf("%d random runs, %d actions", r.Walks, r.Actions)
}

// walk is one random run and its outcome.
type walk struct {
	run            []Action
	violation      string
	duringRecovery bool
	err            error
}

// Walk executes random runs of a scenario, each followed by recovery if the scenario requires it. Random runs reach
// depths that an exhaustive search does not, but they prove nothing.
func Walk(s Scenario, b WalkBounds) (WalkResult, error) {
	start, err := NewInitialState(s)
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

func (s *InitialState) walkAll(b WalkBounds, first, count int) []walk {
	walks := make([]walk, count)
	jobs := make(chan int)
	var workers sync.WaitGroup
	for range min(b.Workers, count) {
		workers.Go(func() {
			for i := range jobs {
				walks[i] = s.walk(rand.New(rand.NewPCG(b.Seed, uint64(first+i))), b.Depth)
			}
		})
	}
	for i := range walks {
		jobs <- i
	}
	close(jobs)
	workers.Wait()
	return walks
}

func (s *InitialState) walk(random *rand.Rand, depth int) walk {
	var result walk
	c, err := s.NewCluster(nil)
	if err != nil {
		return walk{err: err}
	}
	for len(result.run) < depth && c.Violation() == "" {
		actions := c.Enabled()
		if len(actions) == 0 {
			break
		}
		a := actions[random.IntN(len(actions))]
		result.run = append(result.run, a)
		if err := c.Apply(a); err != nil {
			return walk{err: err}
		}
	}
	if c.Violation() == "" && s.scenario.RequiresRecovery {
		result.duringRecovery = true
		c.Recover()
	}
	result.violation = c.Violation()
	return result
}

// shrink removes actions from a failing run as long as the remaining run still fails.
func (s *InitialState) shrink(failing walk) *Failure {
	f := &Failure{Run: failing.run, DuringRecovery: failing.duringRecovery, Violation: failing.violation}
	for smaller := true; smaller; {
		smaller = false
		for i := len(f.Run) - 1; i >= 0; i = min(i, len(f.Run)) - 1 {
			run := slices.Delete(slices.Clone(f.Run), i, i+1)
			if smallerFailure := s.reproduce(run); smallerFailure != nil {
				f, smaller = smallerFailure, true
			}
		}
	}
	return f
}

// reproduce executes a run, with recovery if the scenario requires it, and returns its failure. It returns nil if the run
// passes or if the scenario does not allow one of its actions.
func (s *InitialState) reproduce(run []Action) *Failure {
	c, err := s.NewCluster(nil)
	if err != nil {
		return nil
	}
	for i, a := range run {
		if c.Violation() != "" {
			return &Failure{Run: run[:i], Violation: c.Violation()}
		}
		if !slices.Contains(c.Enabled(), a) || c.Apply(a) != nil {
			return nil
		}
	}
	recovered := c.Violation() == "" && s.scenario.RequiresRecovery
	if recovered {
		c.Recover()
	}
	if c.Violation() == "" {
		return nil
	}
	return &Failure{Run: run, DuringRecovery: recovered, Violation: c.Violation()}
}
