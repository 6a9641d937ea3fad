package router

import (
	"hash/fnv"
	"math"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Where servers tell nothing of their load as they answer, a router weighs them itself: by what it has
// under way there, what all routers together had a moment ago, and how fast servers were found to be.

const (
	partGain    = 0.6               // of shared tokens that a server which likely kept them need not read
	otherZone   = 250               // tokens' worth of time that an answer from another zone costs
	leastSpread = 600               // tokens by which a choice is blurred at least
	staleSpan   = clock.Span(200e6) // what is known of other routers is about so old
	flowSpan    = 2.0               // seconds that flows look back
	mostOut     = 64                // tokens put out that count: they come many requests at a time
	flatWeight  = 1                 // of a request that names no tokens
)

// weight is what a request asks of a server, in tokens.
func (r *request) weight() int {
	if r.key.Plain() {
		return flatWeight
	}
	return max(flatWeight, r.Call.Call.Tokens+min(r.Call.Call.Max, mostOut))
}

// memory is what a request may come to at a server, in tokens.
func (r *request) memory() int { return r.Call.Call.Tokens + r.Call.Call.Max }

// shared counts the tokens of a prompt that other requests have too: all parts but the last.
func (r *request) shared() int {
	n := 0
	for i := 0; i+1 < len(r.Call.Call.Sizes); i++ {
		n += r.Call.Call.Sizes[i]
	}
	return n
}

// mix spreads a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// home is the hash by which shared parts have a server where they are likely kept; it is the same at
// every router.
func home(r *request, s ident.Server) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	_, _ = h.Write([]byte(r.key))
	l := r.Call.Call.Parts
	for i := 0; i+1 < len(l); i++ {
		_, _ = h.Write([]byte(l[i]))
	}
	return mix(h.Sum64())
}

// under tells what all routers have under way at a server, as far as this one knows.
func (b *serverLoad) under() int { return b.tokens + b.others }

// weigh chooses the replica that a request is likely to be answered by first.
func (c *Core) weigh(e *entry, r *request) *protocol.Replica {
	var best, kept *protocol.Replica
	cost, top := math.Inf(1), uint64(0)
	gain := float64(r.shared()) * partGain * c.paces.relative(r.key.Base())
	if gain > 0 {
		for i := range e.Replicas {
			if n := home(r, e.Replicas[i].Server); kept == nil || n > top {
				kept, top = &e.Replicas[i], n
			}
		}
	}
	plain := c.isPlain(r)
	blur := c.spread(r, len(e.Replicas))
	for i := range e.Replicas {
		p := &e.Replicas[i]
		b := c.server(p.Server)
		if c.closed(p) || c.now < b.avoid || r.met(p) {
			continue
		}
		if !c.fits(r, p, b) {
			continue
		}
		n := float64(b.under())
		if plain {
			n /= float64(max(1, p.Slots))
		} else if p == kept {
			n -= gain
		}
		if c.o.Zone != "" && p.Zone != c.o.Zone {
			if plain {
				n += 0.1
			} else {
				n += otherZone
			}
		}
		c.dice = mix(c.dice + 0x9e3779b97f4a7c15)
		n += float64(c.dice%1000) / 1000 * blur
		if n < cost {
			best, cost = p, n
		}
	}
	return best
}

// isPlain tells whether a request is for a service whose servers hold no models. One that names no model may be for a
// service with models too: there it is weighed in tokens like those beside it.
func (c *Core) isPlain(r *request) bool {
	return r.key.Plain() && c.plan.Services[r.key.Service()].Plain
}

// spread blurs the choice, so that routers which know the same do not all choose the same: by as much as
// all of them may have sent to one replica since they last heard of each other.
func (c *Core) spread(r *request, replicas int) float64 {
	if c.isPlain(r) {
		return 0.3
	}
	f := c.flows[r.key.Base()]
	if f == nil {
		return leastSpread
	}
	others := f.rate * float64(c.routers-1) * staleSpan.Seconds()
	return max(leastSpread, others/float64(max(1, replicas)))
}

// inflow is how many tokens a second a router sends to the replicas of a base, of late.
type inflow struct {
	at   clock.Tick
	rate float64
}

func (c *Core) sent(r *request) {
	if r.key.Plain() {
		return
	}
	f := c.flows[r.key.Base()]
	if f == nil {
		f = &inflow{at: c.now}
		c.flows[r.key.Base()] = f
	}
	f.rate = f.rate*math.Exp(-c.now.Sub(f.at).Seconds()/flowSpan) + float64(c.effort(r))/flowSpan
	f.at = c.now
}

// met tells whether a request was at a replica already and got nothing there.
func (r *request) met(p *protocol.Replica) bool {
	for _, g := range r.attempts {
		if g.Server == p.Server && g.How != Kept {
			return true
		}
	}
	return false
}

// fits tells whether a server can take a request on: its places, and the memory that its requests share.
func (c *Core) fits(r *request, p *protocol.Replica, b *serverLoad) bool {
	v := c.plan.Services[r.key.Service()]
	if v.Plain {
		return b.under() < 3*max(1, p.Slots)
	}
	if b.work >= p.Slots {
		return false
	}
	taken := max(b.memory, b.under())
	return v.Tokens == 0 || taken == 0 || taken+r.memory() <= v.Tokens
}

// heardSeats takes in what all routers have under way.
func (c *Core) heardSeats(m map[ident.Server]int) {
	for s, b := range c.servers {
		b.others = max(0, m[s]-b.told)
	}
	for s, n := range m {
		if c.servers[s] == nil && n > 0 {
			c.server(s).others = n
		}
	}
}

// seats tells what this router has under way.
func (c *Core) seats() map[ident.Server]int {
	m := map[ident.Server]int{}
	for s, b := range c.servers {
		if b.told = b.tokens; b.tokens > 0 {
			m[s] = b.tokens
		}
	}
	return m
}
