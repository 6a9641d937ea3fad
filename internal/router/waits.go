package router

import "tidedeck/internal/clock"

// What a request waits for at its router, for the trace. It decides nothing.

// WaitCause says what a request waits for.
type WaitCause string

// The causes that a request waits for.
const (
	WaitPlan  WaitCause = "plan"  // a configuration that surely rules
	WaitLease WaitCause = "lease" // this router has no lease
	WaitEntry WaitCause = "entry" // its entry is being asked for
	WaitReady WaitCause = "ready" // no server has what it asks for ready
	WaitRoom  WaitCause = "room"  // each server that has it is full, or is avoided
	WaitRetry WaitCause = "retry" // the allowance does not bear another attempt yet
)

// waitsFor notes what a request waits for from now on.
func (r *request) waitsFor(cause WaitCause, now clock.Tick) {
	if r.waiting != "" {
		if r.waits == nil {
			r.waits = map[WaitCause]clock.Span{}
		}
		r.waits[r.waiting] += now.Sub(r.waitingSince)
	}
	r.waiting, r.waitingSince = cause, now
}

// allWaitFor notes what the requests of a queue wait for, from one of them on.
func (c *Core) allWaitFor(cause WaitCause, queue []*request) {
	for _, r := range queue {
		r.waitsFor(cause, c.now)
	}
}

// whyUnusable tells what keeps an entry from being used.
func (c *Core) whyUnusable() WaitCause {
	if !c.leased() && !c.alone() {
		return WaitLease
	}
	return WaitEntry
}

// whyNoReplica tells why none of an entry's replicas was chosen.
func whyNoReplica(e *entry) WaitCause {
	if len(e.Replicas) == 0 {
		return WaitReady
	}
	return WaitRoom
}

// waitsMs gives the waits of a request in milliseconds.
func (r *request) waitsMs() map[WaitCause]int64 {
	if len(r.waits) == 0 {
		return nil
	}
	l := map[WaitCause]int64{}
	for cause, span := range r.waits {
		if ms := span.Milliseconds(); ms > 0 {
			l[cause] = ms
		}
	}
	return l
}
