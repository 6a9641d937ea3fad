package router

import (
	"fmt"

	"tidedeck/internal/generic"
	"tidedeck/internal/invariant"
	"tidedeck/internal/protocol"
)

// conservationSample is how many requests of a queue the check looks at in a tick. Their position moves on with each
// tick, so that a long queue is seen whole over time.
const conservationSample = 8

// checkWorkConserved checks, after a pass over all queues, that no request waits while a replica that it may use has
// room. It goes by the state of the queues and replicas alone, and not by the reasons that the pass had.
//
// Two kinds of waiting are exceptions: for the retry budget, at most retryFundingTimeout long, and for memory that a
// request before it in its queue waits for, at most until that request's deadline.
func (c *Core) checkWorkConserved() {
	if !c.o.StatelessServers || c.plan == nil {
		return
	}
	for _, key := range generic.SortedKeys(c.queues) {
		e := c.entries[key]
		if !c.usable(e) {
			continue
		}
		queue := c.queues[key]
		start := int(c.passes % uint64(len(queue)))
		for n := range min(conservationSample, len(queue)) {
			position := (start + n) % len(queue)
			c.checkWaits(e, queue, position)
		}
	}
}

// checkWaits checks that the request at a position of a queue has no replica to go to.
func (c *Core) checkWaits(e *cacheEntry, queue []*request, position int) {
	r := queue[position]
	if r.uncertain || r.unpaidSince != 0 {
		return
	}
	for i := range e.Replicas {
		p := &e.Replicas[i]
		if !c.couldTake(e, p, r) {
			continue
		}
		invariant.Check(c.isAwaited(e, p, queue[:position]), invariant.WorkConserved, func() string {
			return fmt.Sprintf("request %s waits at position %d of the queue for %s although %s has room", r.Call.Request.ID, position, r.key, p.Server)
		})
	}
}

// couldTake reports whether a replica has room for a request that may use it.
func (c *Core) couldTake(e *cacheEntry, p *protocol.Replica, r *request) bool {
	load := c.server(p.Server)
	return !r.alreadyTried(p) && c.hasSlot(e, p, load) && c.hasMemory(r, load)
}

// isAwaited reports whether one of some requests waits for memory of a replica.
func (c *Core) isAwaited(e *cacheEntry, p *protocol.Replica, requests []*request) bool {
	load := c.server(p.Server)
	for _, r := range requests {
		if !r.uncertain && c.mayHoldBackMemory(r) && !r.alreadyTried(p) && c.hasSlot(e, p, load) && !c.hasMemory(r, load) {
			return true
		}
	}
	return false
}
