package router

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
)

// The causes of waiting are recorded for traces and have no influence on decisions.

// WaitCause is the reason why a request waits at its router.
type WaitCause string

// The causes of waiting.
const (
	WaitPlan  WaitCause = "plan"  // no plan is known, or the plan may be outdated
	WaitLease WaitCause = "lease" // the router has no lease
	WaitEntry WaitCause = "entry" // the entry has been requested but has not arrived
	WaitReady WaitCause = "ready" // no replica is ready
	WaitRoom  WaitCause = "room"  // every replica is full or avoided
	WaitRetry WaitCause = "retry" // the retry budget does not permit another attempt yet

	WaitUntried WaitCause = "untried" // only servers that the request has tried have room
)

// setWaitCause records the cause of waiting from now on and adds the time spent on the previous one. An empty cause
// means that the request no longer waits.
func (r *request) setWaitCause(cause WaitCause, now clock.Instant) {
	if cause == r.waitCause {
		return
	}
	if r.waitCause != "" {
		if r.waitTimes == nil {
			r.waitTimes = map[WaitCause]clock.Span{}
		}
		r.waitTimes[r.waitCause] += now.Sub(r.waitingSince)
	}
	r.waitCause, r.waitingSince = cause, now
}

// passOver records why one request of a queue stays while those behind it may go.
func (c *Core) passOver(r *request, cause WaitCause) {
	r.setWaitCause(cause, c.now)
	delete(c.commonWaits, r.key)
}

// endPass records why the requests of a queue from an index on stay. If that is all of them and the cause is still the
// one of an earlier pass, there is nothing to record: a pass that nothing can leave takes no time for each request.
func (c *Core) endPass(k ident.Key, from int, cause WaitCause) {
	if from == 0 && c.commonWaits[k] == cause {
		return
	}
	for _, r := range c.queues[k][from:] {
		r.setWaitCause(cause, c.now)
	}
	if from == 0 {
		c.commonWaits[k] = cause
	} else {
		delete(c.commonWaits, k)
	}
}

// unusableCause returns the reason why an entry cannot be used.
func (c *Core) unusableCause() WaitCause {
	if !c.leased() && !c.routesUnleased() {
		return WaitLease
	}
	return WaitEntry
}

// passedOverCause returns the reason why a request cannot use the replicas that have room.
func (c *Core) passedOverCause(e *cacheEntry, r *request) WaitCause {
	for i := range e.Replicas {
		p := &e.Replicas[i]
		if c.isOpen(e, p, c.server(p.Server)) && !r.alreadyTried(p) {
			return WaitRoom // it lacks memory there
		}
	}
	return WaitUntried
}

// waitsMs returns the request's waiting times by cause in milliseconds.
func (r *request) waitsMs() map[WaitCause]int64 {
	if len(r.waitTimes) == 0 {
		return nil
	}
	waits := map[WaitCause]int64{}
	for cause, span := range r.waitTimes {
		if ms := span.Milliseconds(); ms > 0 {
			waits[cause] = ms
		}
	}
	return waits
}
