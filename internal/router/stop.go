package router

import (
	"maps"
	"slices"

	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
)

// The end of a router's process, seen by the core: first the requests that wait for a server are turned away, and once
// the grace period is over every other request gets its final answer too.

// GraceEnded is the input for the end of the grace period of a stop. Every request that is still in progress ends with
// its final answer, and no attempt is launched any more.
type GraceEnded struct{}

// onStop turns away the requests that wait.
func (c *Core) onStop() {
	c.stopping = true
	c.rejectWaiting()
}

// rejectWaiting ends every waiting request with an answer that sends the caller to another router. The router is
// shutting down, and waiting requests have not run.
func (c *Core) rejectWaiting() {
	for _, k := range generic.SortedKeys(c.queues) {
		for _, r := range append([]*request{}, c.queues[k]...) {
			c.finish(r, failure.Moved, 0)
		}
	}
}

// onGraceEnded gives every request in progress its final answer. The process ends soon, and whatever has no answer by
// then is cut off.
func (c *Core) onGraceEnded() {
	c.onStop()
	c.graceEnded = true
	for _, ref := range slices.Sorted(maps.Keys(c.requests)) {
		c.interrupt(c.requests[ref])
	}
}

// interrupt ends a request during an attempt. An attempt that MaySend has permitted may have run.
func (c *Core) interrupt(r *request) {
	attempt := &r.attempts[len(r.attempts)-1]
	c.releaseLoad(r, attempt)
	attempt.Cause, attempt.endedAt = CauseStop, c.now
	switch {
	case attempt.Begun:
		attempt.Outcome = Split
		c.finish(r, failure.Cut, 0)
	case attempt.maySend:
		attempt.Outcome = Lost
		c.finish(r, failure.Unclear, 0)
	default:
		attempt.Outcome = Kept
		c.finish(r, failure.Moved, 0)
	}
}
