package fleetplan

import (
	"slices"
	"sync"
)

// Limits on the results that a cache retains: the current one and those being distributed.
const (
	memoSize  = 4
	memoBytes = 8 << 20 // memory for all of them; the newest is retained whatever it takes
)

// recent retains the most recent results of a computation.
type recent[T any] struct {
	mu      sync.Mutex // guards entries
	entries []recentEntry[T]
}

type recentEntry[T any] struct {
	result T
	bytes  int
}

// add retains a result that takes the given memory, in place of the oldest ones if necessary.
func (r *recent[T]) add(result T, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, recentEntry[T]{result, bytes})
	total := 0
	for _, e := range r.entries {
		total += e.bytes
	}
	first := 0
	for len(r.entries)-first > memoSize || len(r.entries)-first > 1 && total > memoBytes {
		total -= r.entries[first].bytes
		first++
	}
	r.entries = slices.Clone(r.entries[first:])
}

// find returns a result that matches.
func (r *recent[T]) find(matches func(T) bool) (result T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if matches(e.result) {
			return e.result, true
		}
	}
	return result, false
}
