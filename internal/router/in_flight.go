package router

import "sync"

// inFlight tracks the requests in progress, each with the channel on which it receives the core's decisions.
type inFlight struct {
	mu       sync.Mutex // guards channels and next; acquired after the host's lock
	channels map[Ref]chan any
	next     Ref
}

// register adds a request; the caller removes it with done.
func (f *inFlight) register() (ref Ref, ch chan any, done func()) {
	ch = make(chan any, 8) // room for every Launch and the Refusal
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.channels == nil {
		f.channels = map[Ref]chan any{}
	}
	f.next++
	ref = f.next
	f.channels[ref] = ch
	return ref, ch, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.channels, ref)
	}
}

// Deliver passes a Launch or a Refusal to its request. It serves as the HandleOutput function of a host.
func (f *inFlight) Deliver(v any) {
	var ref Ref
	switch v := v.(type) {
	case Launch:
		ref = v.Ref
	case Refusal:
		ref = v.Ref
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if decisions := f.channels[ref]; decisions != nil {
		decisions <- v
	}
}

// InFlight returns the number of requests in progress.
func (f *inFlight) InFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.channels)
}
