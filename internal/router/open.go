package router

import "sync"

// opened are the requests under way at a door, each with the way by which it hears what was decided.
type opened struct {
	mu    sync.Mutex // guards calls and next; taken after the host's
	calls map[Ref]chan any
	next  Ref
}

// add names a request; its end is told by calling done.
func (o *opened) add() (ref Ref, ch chan any, done func()) {
	ch = make(chan any, 8) // room for every launch and the receipt
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = map[Ref]chan any{}
	}
	o.next++
	ref = o.next
	o.calls[ref] = ch
	return ref, ch, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.calls, ref)
	}
}

// Act takes what was decided: a Launch or a Receipt. It is the Else of a host.
func (o *opened) Act(v any) {
	var ref Ref
	switch v := v.(type) {
	case Launch:
		ref = v.Ref
	case Receipt:
		ref = v.Ref
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if ch := o.calls[ref]; ch != nil {
		ch <- v
	}
}

// Open tells how many requests are under way.
func (o *opened) Open() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.calls)
}
