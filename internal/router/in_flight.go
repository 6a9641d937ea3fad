package router

import (
	"context"
	"sync"
)

// inFlight tracks the requests in progress.
type inFlight struct {
	mu       sync.Mutex // guards requests and next; acquired after the host's lock
	requests map[Ref]*requestInFlight
	next     Ref
}

// requestInFlight is one request in progress.
type requestInFlight struct {
	ref           Ref
	decisions     chan any        // the core's decisions
	attempts      context.Context // of the request's attempts; ends once the core has refused the request
	cancelAttempt context.CancelFunc
}

// maxDecisions is the number of decisions that a request can receive at most: every Launch, and the Refusal.
const maxDecisions = 8

// register adds a request whose attempts end with ctx at the latest; the caller removes it with remove.
func (f *inFlight) register(ctx context.Context) *requestInFlight {
	r := &requestInFlight{decisions: make(chan any, maxDecisions)}
	r.attempts, r.cancelAttempt = context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = map[Ref]*requestInFlight{}
	}
	f.next++
	r.ref = f.next
	f.requests[r.ref] = r
	return r
}

// remove removes a request that has ended.
func (f *inFlight) remove(r *requestInFlight) {
	r.cancelAttempt()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, r.ref)
}

// Deliver passes a Launch or a Refusal to its request. A Refusal interrupts an attempt in progress. It serves as the
// HandleOutput function of a host.
func (f *inFlight) Deliver(v any) {
	var ref Ref
	refused := false
	switch v := v.(type) {
	case Launch:
		ref = v.Ref
	case Refusal:
		ref, refused = v.Ref, true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.requests[ref]
	if r == nil {
		return
	}
	r.decisions <- v
	if refused {
		r.cancelAttempt()
	}
}

// InFlight returns the number of requests in progress.
func (f *inFlight) InFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}
