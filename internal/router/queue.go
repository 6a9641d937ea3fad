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

// Requests that wait, in one queue for each key: the most valuable first, then the most urgent.

const (
	neverBack = clock.Span(5 * time.Second)        // a caller comes back after that to a key that no server could hold
	askAgain  = clock.Span(400 * time.Millisecond) // an entry is asked for again after that; two renewals at the least
)

// enqueue puts a request in its queue. A full queue gives up what is worth least.
func (c *Core) enqueue(r *request) bool {
	for len(c.queues[r.key]) >= c.o.Line || c.queued >= c.o.Queue {
		least := c.leastWorth(r)
		c.finish(least, failure.Full, 0)
		if least == r {
			return false
		}
	}
	c.insert(r)
	return true
}

// leastWorth finds what makes way for a request: among its own queue if that is full, else among all. The
// newest of those with the lowest value goes, or the request itself.
func (c *Core) leastWorth(r *request) *request {
	least := r
	for _, k := range generic.SortedKeys(c.queues) {
		if len(c.queues[r.key]) >= c.o.Line && k != r.key {
			continue
		}
		for _, x := range c.queues[k] {
			if x.class.Value < least.class.Value || x.class.Value == least.class.Value && least != r && x.came > least.came {
				least = x
			}
		}
	}
	return least
}

// insert puts a request at its place in its queue: the most valuable first, then the most urgent.
func (c *Core) insert(r *request) {
	l := c.queues[r.key]
	i := sort.Search(len(l), func(i int) bool {
		return l[i].class.Value < r.class.Value || l[i].class.Value == r.class.Value && l[i].due > r.due
	})
	l = append(l, nil)
	copy(l[i+1:], l[i:])
	l[i] = r
	c.queues[r.key] = l
	c.queued++
}

// remove takes a request out of its queue.
func (c *Core) remove(r *request) {
	l := c.queues[r.key]
	for i, x := range l {
		if x == r {
			c.queued--
			l = append(l[:i:i], l[i+1:]...)
			break
		}
	}
	if len(l) == 0 {
		delete(c.queues, r.key)
		return
	}
	c.queues[r.key] = l
}

// finish closes a request with its final answer.
func (c *Core) finish(r *request, k failure.Kind, back clock.Span) {
	if r.stage == Waiting {
		c.remove(r)
		r.waitsFor("", c.now)
	}
	r.fire("close")
	delete(c.requests, r.Ref)
	if k == failure.None {
		c.tally.Receipts++
		c.trace(r, EndedServed, k)
		return
	}
	if failure.Receipts[k].Dropped && r.mayHaveRun() {
		k = failure.Unclear // its status would say that it never ran
	}
	c.checkRefusal(r, k)
	a := failure.Receipts[k]
	if back == 0 {
		back = a.Back
	}
	c.tally.Drops[k]++
	if a.Dropped {
		c.tally.Dropped++
	}
	c.trace(r, EndedRefused, k)
	c.out = append(c.out, Receipt{Ref: r.Ref, Kind: k, Back: back})
}

// serveAll serves every queue, the most valuable first.
func (c *Core) serveAll() {
	l := generic.SortedKeys(c.queues)
	sort.SliceStable(l, func(i, j int) bool { return c.queues[l[i]][0].class.Value > c.queues[l[j]][0].class.Value })
	for _, k := range l {
		c.serve(k)
	}
}

// serve launches what waits for a key while the callback on its entry holds and servers have room.
func (c *Core) serve(k ident.Key) {
	for i := 0; i < len(c.queues[k]); {
		r, e := c.queues[k][i], c.entries[k]
		if r.uncertain {
			c.allWaitFor(WaitPlan, c.queues[k][i:])
			return
		}
		if c.now >= r.due {
			c.finish(r, failure.Expired, 0)
			continue
		}
		if e == nil || !e.held {
			c.lookUp(k)
		}
		if !c.usable(e) {
			c.allWaitFor(c.whyUnusable(), c.queues[k][i:])
			return
		}
		e.used = c.now
		if back, hopeless := c.comesLate(e, r); hopeless {
			c.finish(r, failure.NotReady, back)
			continue
		}
		p := c.pick(e, r)
		switch {
		case p == nil && !r.repeatable():
			r.waitsFor(whyNoReplica(e), c.now)
			i++ // it waits for one server; others behind it may go to another
		case p == nil:
			c.allWaitFor(whyNoReplica(e), c.queues[k][i:])
			return
		case r.owes != 0 && c.now.Sub(r.owes) < patience && !c.pay(r.key.Service()):
			r.waitsFor(WaitRetry, c.now)
			i++
		default:
			r.owes = 0
			c.launch(r, p)
		}
	}
}

// comesLate tells that an entry cannot have a replica before a request's time is over, and when it may; the
// request is told so at once.
func (c *Core) comesLate(e *entry, r *request) (back clock.Span, late bool) {
	if e.Never {
		return neverBack, true
	}
	back = e.got.Add(e.Soon).Sub(c.now)
	return back, e.Soon > 0 && len(e.Replicas) == 0 && c.now.Add(back) > r.due
}

// lookUp asks for an entry, with the mark of the copy that is suspect, if there is one.
func (c *Core) lookUp(k ident.Key) {
	e := c.entries[k]
	if e == nil {
		e = &entry{Entry: protocol.Entry{Key: k}, used: c.now}
		c.entries[k] = e
	}
	if e.asking && c.now.Sub(e.asked) < askAgain || c.ses.N == 0 || c.alone() {
		return
	}
	e.asking, e.asked = true, c.now
	c.tally.Lookups++
	w := protocol.Want{Session: c.ses, Key: k, Waiting: len(c.queues[k]), Value: c.queues[k][0].class.Value}
	if len(e.Replicas) > 0 {
		w.Mark = e.Mark
	}
	c.send(w)
}
