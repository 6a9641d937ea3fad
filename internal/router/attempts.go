package router

import (
	"fmt"
	"slices"
	"time"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/protocol"
)

// The life of an attempt in the core: launch, the last look before it is sent, its first byte and its end.

// launch begins an attempt at a replica.
func (c *Core) launch(r *request, p *protocol.Replica) {
	c.remove(r)
	r.waitsFor("", c.now)
	r.fire("launch")
	b := c.server(p.Server)
	r.attempts = append(r.attempts, attemptRecord{Server: p.Server, Inc: p.Inc, epoch: c.epoch, at: c.now, weight: c.effort(r), ahead: b.under()})
	n := len(r.attempts)
	b.work++
	b.tokens += c.effort(r)
	b.memory += r.memory()
	c.sent(r)
	b.keys[r.key]++
	c.work[r.key]++
	x := r.Call.Call
	l := Launch{Ref: r.Ref, N: n, Server: p.Server, Addr: p.Addr, Work: protocol.Work{
		Go: fmt.Sprintf("%s-%d-%d-%d", c.o.Me.ID, c.o.Inc, r.Ref, n), ID: x.ID, Base: x.Base, Extra: x.Extra,
		Inc: p.Inc, Parts: x.Parts, Prompt: x.Prompt, Max: x.Max, Once: !x.Again, Tenant: r.tenant,
	}, Keyed: r.keyed, Left: r.end.Sub(c.now), Rank: c.plan.Rank(r.class.Value), Again: r.repeatable(), Resume: r.resumes()}
	c.checkLaunch(r, l)
	c.out = append(c.out, l)
}

// MaySend is asked at the very point of sending: the lease must still run, the callback must
// still be on the entry, and the entry must still name the server.
func (c *Core) MaySend(now clock.Tick, ref Ref, n int) bool {
	c.now = now
	r := c.requests[ref]
	if r == nil || r.stage != Going || n != len(r.attempts) {
		return false
	}
	attempt := &r.attempts[n-1]
	if !c.stands(r, attempt) {
		c.tally.SendsHeld++
		return false
	}
	attempt.epoch = c.epoch
	c.checkTenant(r)
	c.countSend(r)
	if !c.leased() {
		c.tally.SentUnleased++
	}
	return true
}

// countSend counts an attempt that is about to be sent: as the first arrival of its request, which earns for
// the allowance once, or as a retry.
func (c *Core) countSend(r *request) {
	before := r.attempts[:len(r.attempts)-1]
	first := !slices.ContainsFunc(before, func(x attemptRecord) bool { return x.How != Kept && x.How != Unsent })
	switch {
	case first && r.first: // nothing of it has left yet
	case first:
		r.first = true
		c.tally.Firsts++
		if !r.Call.Call.Repeat {
			c.earn(r.key.Service())
		}
	default:
		c.tally.Retries++
	}
}

// stands tells whether an attempt may still be sent: by the entry, the zone and the plan as they are now.
func (c *Core) stands(r *request, attempt *attemptRecord) bool {
	e := c.entries[r.key]
	if !c.usable(e) || c.plan == nil || c.allowed(r) != failure.None {
		return false
	}
	for i := range e.Replicas {
		p := &e.Replicas[i]
		if p.Server == attempt.Server && p.Inc == attempt.Inc && !c.closed(p) {
			return true
		}
	}
	return false
}

func (c *Core) onBegun(v Begun) {
	r := c.requests[v.Ref]
	if r == nil || v.N != len(r.attempts) || !r.fire("begin") {
		return
	}
	attempt := &r.attempts[v.N-1]
	attempt.Begun = true
	if r.firstByte == 0 {
		r.firstByte = c.now
	}
	b := c.server(attempt.Server)
	b.fails = 0
	if c.o.Free && !r.key.Plain() {
		c.pace(r, attempt)
		left := min(attempt.weight, r.Call.Call.Max, mostOut) // the prompt is read
		b.tokens -= attempt.weight - left
		attempt.weight = left
	}
}

// release takes an attempt's load off its server.
func (c *Core) release(r *request, attempt *attemptRecord) *serverLoad {
	b := c.server(attempt.Server)
	b.work--
	b.tokens -= attempt.weight
	b.memory -= r.memory()
	if b.keys[r.key]--; b.keys[r.key] <= 0 {
		delete(b.keys, r.key)
	}
	if c.work[r.key]--; c.work[r.key] <= 0 {
		delete(c.work, r.key)
	}
	return b
}

func (c *Core) onEnded(v Ended) {
	r := c.requests[v.Ref]
	if r == nil || v.N != len(r.attempts) || r.attempts[v.N-1].How != Pending {
		return
	}
	attempt := &r.attempts[v.N-1]
	attempt.How, attempt.Kind, attempt.Status, attempt.Cause, attempt.ended = v.How, v.Kind, v.Status, v.Cause, c.now
	if attempt.Begun && v.How == Lost {
		attempt.How = Split
	}
	b := c.release(r, attempt)
	c.mark(r, attempt, b)
	if r.mayHaveRun() {
		c.restrict(r)
	}
	m := r.next(c.o.Goes)
	switch {
	case m.again && c.now >= r.due:
		c.finish(r, failure.Expired, 0)
	case m.again && m.pay && !c.pay(r.key.Service()):
		c.finish(r, failure.Spent, 0)
	case m.again:
		r.fire("back")
		if m.owe {
			r.owes = c.now
		}
		if why := c.admitAgain(r); why != failure.None { // the plan may have changed under way
			c.insert(r)
			c.finish(r, why, 0)
			break
		}
		c.enqueue(r)
	default:
		c.finish(r, m.kind, 0)
	}
	c.serveAll()
}

// A server at which an attempt failed is avoided for twice as long with each failure in a row: 100 ms at
// first, which is more than a full server takes to finish something, and 1.6 s at the most.
const (
	avoidStep      = clock.Span(50 * time.Millisecond)
	avoidDoublings = 5
)

// mark draws what an end says about the server and the entry.
func (c *Core) mark(r *request, attempt *attemptRecord, b *serverLoad) {
	back := func() {
		b.fails++
		b.avoid = c.now.Add(avoidStep << min(b.fails, avoidDoublings))
	}
	switch attempt.How {
	case Unsent:
		c.tally.Unsent++
		back()
	case Dropped:
		c.tally.Declined++
		back()
		if attempt.Kind != failure.Busy {
			if e := c.entries[r.key]; e != nil {
				e.held = false // what it says is in doubt: it is checked before it is used again
			}
		}
	case Lost:
		c.tally.Lost++
		back()
	case Split:
		c.tally.Cuts++
	case Done:
		b.fails = 0
	}
}
