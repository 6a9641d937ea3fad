package router

import (
	"sort"
	"time"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Waiting requests are kept in one queue per key, ordered by descending value and then by deadline.

const (
	neverRetryAfter    = clock.Span(5 * time.Second)        // Retry-After for a key that no server can hold
	entryRetryInterval = clock.Span(400 * time.Millisecond) // time between requests for an entry; at least two renewals
)

// enqueue adds a request to its queue. If the queue is full, the least valuable request is rejected. It reports
// whether the given request was queued.
func (c *Core) enqueue(r *request) bool {
	for len(c.queues[r.key]) >= c.o.MaxQueuedPerKey || c.queued >= c.o.MaxQueued {
		evicted := c.evictionCandidate(r)
		c.finish(evicted, failure.Full, 0)
		if evicted == r {
			return false
		}
	}
	c.insert(r)
	return true
}

// evictionCandidate returns the request to reject in favor of a new one. It searches the new request's queue if that
// queue is full, otherwise all queues, and returns the newest request with the lowest value, or the new request
// itself.
func (c *Core) evictionCandidate(r *request) *request {
	least := r
	for _, k := range generic.SortedKeys(c.queues) {
		if len(c.queues[r.key]) >= c.o.MaxQueuedPerKey && k != r.key {
			continue
		}
		for _, x := range c.queues[k] {
			if x.class.Value < least.class.Value || x.class.Value == least.class.Value && least != r && x.arrivedAt > least.arrivedAt {
				least = x
			}
		}
	}
	return least
}

// insert adds a request to its queue, ordered by descending value and then by deadline.
func (c *Core) insert(r *request) {
	queue := c.queues[r.key]
	i := sort.Search(len(queue), func(i int) bool {
		return queue[i].class.Value < r.class.Value || queue[i].class.Value == r.class.Value && queue[i].queueDeadline > r.queueDeadline
	})
	queue = append(queue, nil)
	copy(queue[i+1:], queue[i:])
	queue[i] = r
	c.queues[r.key] = queue
	c.queued++
	if cause := c.commonWaits[r.key]; cause != "" {
		r.setWaitCause(cause, c.now)
	}
}

// remove removes a request from its queue.
func (c *Core) remove(r *request) {
	queue := c.queues[r.key]
	for i, x := range queue {
		if x == r {
			c.queued--
			queue = append(queue[:i:i], queue[i+1:]...)
			break
		}
	}
	if len(queue) == 0 {
		delete(c.queues, r.key)
		delete(c.commonWaits, r.key)
		return
	}
	c.queues[r.key] = queue
}

// finish ends a request and, unless a server answered it, emits its final answer. If retryAfter is zero, the value for
// the failure kind is used.
func (c *Core) finish(r *request, k failure.Kind, retryAfter clock.Span) {
	if r.stage == Waiting {
		c.remove(r)
		r.setWaitCause("", c.now)
	}
	r.fire("close")
	delete(c.requests, r.Ref)
	if k == failure.None {
		c.tally.Receipts++
		c.trace(r, EndedServed, k)
		return
	}
	if failure.Responses[k].NotExecuted && r.mayHaveRun() {
		k = failure.Unclear // the status of k would state that the request never ran
	}
	c.checkRefusal(r, k)
	answer := failure.Responses[k]
	if retryAfter == 0 {
		retryAfter = answer.RetryAfter
	}
	c.tally.Drops[k]++
	if answer.NotExecuted {
		c.tally.Dropped++
	}
	c.trace(r, EndedRefused, k)
	c.out = append(c.out, Refusal{Ref: r.Ref, Kind: k, RetryAfter: retryAfter})
}

// serveAll serves every queue, in descending order of the value of the first request.
func (c *Core) serveAll() {
	keys := generic.SortedKeys(c.queues)
	sort.SliceStable(keys, func(i, j int) bool { return c.queues[keys[i]][0].class.Value > c.queues[keys[j]][0].class.Value })
	for _, k := range keys {
		c.serve(k)
	}
}

// serve launches the requests that wait for a key while the entry is usable and its servers have capacity. A request
// that none of these servers can take is passed over, so that it does not hold up those behind it.
func (c *Core) serve(k ident.Key) {
	c.passes++
	for i := 0; i < len(c.queues[k]); {
		r, e := c.queues[k][i], c.entries[k]
		if r.uncertain {
			c.passOver(r, WaitPlan)
			i++
			continue
		}
		if c.now >= r.queueDeadline {
			c.finish(r, failure.Expired, 0)
			continue
		}
		if e == nil || !e.hasCallback {
			c.lookUp(k)
		}
		if !c.usable(e) {
			c.endPass(k, i, c.unusableCause())
			return
		}
		e.lastUsed = c.now
		if retryAfter, tooLate := c.readyTooLate(e, r); tooLate {
			c.finish(r, failure.NotReady, retryAfter)
			continue
		}
		if len(e.Replicas) == 0 {
			c.passOver(r, WaitReady)
			i++ // no replica may be ready in time for a later request
			continue
		}
		if !c.hasOpenReplica(e) {
			c.endPass(k, i, WaitRoom)
			return
		}
		p := c.chooseReplica(e, r)
		switch {
		case p == nil:
			c.passOver(r, c.passedOverCause(e, r))
			c.holdBackMemory(e, r)
			i++
		case r.unpaidSince != 0 && c.now.Sub(r.unpaidSince) < retryFundingTimeout && !c.spend(r.key.Service()):
			c.passOver(r, WaitRetry)
			i++
		default:
			r.unpaidSince = 0
			c.launch(r, p)
		}
	}
}

// readyTooLate reports whether no replica can be ready before a request's deadline, and the time until one may be
// ready. Such a request is rejected immediately.
func (c *Core) readyTooLate(e *cacheEntry, r *request) (retryAfter clock.Span, late bool) {
	if e.Unplaceable {
		return neverRetryAfter, true
	}
	retryAfter = e.receivedAt.Add(e.ReadyIn).Sub(c.now)
	return retryAfter, e.ReadyIn > 0 && len(e.Replicas) == 0 && c.now.Add(retryAfter) > r.queueDeadline
}

// lookUp requests an entry from the controller. If a copy without a callback is cached, the request carries its digest.
func (c *Core) lookUp(k ident.Key) {
	e := c.entries[k]
	if e == nil {
		e = &cacheEntry{Entry: protocol.Entry{Key: k}, lastUsed: c.now}
		c.entries[k] = e
	}
	if e.requested && c.now.Sub(e.requestedAt) < entryRetryInterval || c.session.Num == 0 || c.routesUnleased() {
		return
	}
	e.requested, e.requestedAt = true, c.now
	c.tally.Lookups++
	want := protocol.EntryRequest{Session: c.session, Key: k, Waiting: len(c.queues[k]), Value: c.queues[k][0].class.Value}
	if len(e.Replicas) > 0 {
		want.Digest = e.Digest
	}
	c.send(want)
}
