package router

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/protocol"
)

// The life of an attempt in the core: launch, the last look before it is sent, its first byte and its end.

func (c *Core) launch(r *req, p *protocol.Replica) {
	c.leave(r)
	r.fire("launch")
	b := c.seat(p.Server)
	r.goes = append(r.goes, Go{Server: p.Server, Inc: p.Inc, at: c.now, weight: r.weight(), ahead: b.under()})
	n := len(r.goes)
	b.work++
	b.tokens += r.weight()
	b.memory += r.memory()
	c.sent(r)
	b.keys[r.key]++
	c.work[r.key]++
	x := r.Call.Call
	c.out = append(c.out, Launch{Ref: r.Ref, N: n, Server: p.Server, Addr: p.Addr, Work: protocol.Work{
		Go: fmt.Sprintf("%s-%d-%d-%d", c.o.Me.ID, c.o.Inc, r.Ref, n), ID: x.ID, Base: x.Base, Extra: x.Extra,
		Inc: p.Inc, Parts: x.Parts, Prompt: x.Prompt, Max: x.Max, Once: !x.Again,
	}, Left: r.end.Sub(c.now), Rank: c.plan.Rank(r.class.Value), Again: r.again(), Resume: r.resumes()})
}

// MaySend is asked at the very point of sending: the hold must still run, the callback must
// still be on the entry, and the entry must still name the server.
func (c *Core) MaySend(now clock.Tick, ref Ref, n int) bool {
	c.now = now
	r := c.reqs[ref]
	if r == nil || r.stage != Going || n != len(r.goes) {
		return false
	}
	g := &r.goes[n-1]
	if !c.stands(r, g) {
		c.tally.SendsHeld++
		return false
	}
	first := true
	for _, x := range r.goes[:n-1] {
		first = first && (x.How == Kept || x.How == Unsent)
	}
	switch {
	case first && r.first: // nothing of it has left yet
	case first:
		r.first = true
		c.tally.Firsts++
		if !r.Call.Call.Repeat {
			c.earn()
		}
	default:
		c.tally.Retries++
	}
	return true
}

func (c *Core) stands(r *req, g *Go) bool {
	e := c.entries[r.key]
	if !c.usable(e) || c.plan == nil || c.allowed(r) != failure.None {
		return false
	}
	for _, p := range e.Replicas {
		if p.Server == g.Server && p.Inc == g.Inc && !c.empty[p.Zone] {
			return true
		}
	}
	return false
}

func (c *Core) onBegun(v Begun) {
	r := c.reqs[v.Ref]
	if r == nil || v.N != len(r.goes) || !r.fire("begin") {
		return
	}
	g := &r.goes[v.N-1]
	g.Begun = true
	b := c.seat(g.Server)
	b.fails = 0
	if c.o.Free && !r.key.Plain() {
		c.pace(r, g)
		left := min(g.weight, r.Call.Call.Max, mostOut) // the prompt is read
		b.tokens -= g.weight - left
		g.weight = left
	}
}

// release takes a go's burden off its server.
func (c *Core) release(r *req, g *Go) *bench {
	b := c.seat(g.Server)
	b.work--
	b.tokens -= g.weight
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
	r := c.reqs[v.Ref]
	if r == nil || v.N != len(r.goes) || r.goes[v.N-1].How != Pending {
		return
	}
	g := &r.goes[v.N-1]
	g.How, g.Kind = v.How, v.Kind
	if g.Begun && v.How == Lost {
		g.How = Split
	}
	b := c.release(r, g)
	c.mark(r, g, b)
	m := r.next(c.o.Goes)
	switch {
	case m.again && m.pay && !c.pay():
		c.finish(r, failure.Spent, 0)
	case m.again && c.now >= r.due:
		c.finish(r, failure.Expired, 0)
	case m.again:
		r.fire("back")
		if m.owe {
			r.owes = c.now
		}
		if why := c.admit(r); why != failure.None { // the plan may have changed under way
			c.rest(r)
			c.finish(r, why, 0)
			break
		}
		c.join(r)
	default:
		c.finish(r, m.kind, 0)
	}
	c.pump()
}

// mark draws what an end says about the server and the entry.
func (c *Core) mark(r *req, g *Go, b *bench) {
	back := func() {
		b.fails++
		b.avoid = c.now.Add(clock.Span(50e6) << min(b.fails, 5))
	}
	switch g.How {
	case Unsent:
		c.tally.Unsent++
		back()
	case Dropped:
		c.tally.Declined++
		back()
		if g.Kind != failure.Busy {
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
