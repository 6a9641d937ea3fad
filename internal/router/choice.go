package router

import (
	"fmt"
	"hash/fnv"
	"math"
	"sort"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Which replica a request goes to where servers tell their load and know the requests that they ran.

// server gives what is known of a server's load.
func (c *Core) server(s ident.Server) *serverLoad {
	b := c.servers[s]
	if b == nil {
		b = &serverLoad{keys: map[ident.Key]int{}}
		c.servers[s] = b
	}
	return b
}

// caps tells how much this router may have under way at a replica: its share of the server,
// and of a cold replica only a part that grows.
func (c *Core) caps(e *entry, p *protocol.Replica) (all, cold int) {
	n := math.Ceil(2 * float64(p.Slots) / float64(max(1, c.routers)))
	all = max(1, int(n))
	age := p.Warm + c.now.Sub(e.got)
	if age >= c.o.Ramp {
		return all, all
	}
	return all, max(1, int(n*float64(age)/float64(c.o.Ramp)))
}

// rank orders replicas for a request the same way at every router.
func rank(r *request, s ident.Server, parts bool, heads int) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, s, "|", r.key.Base())
	if parts = parts && len(r.Call.Call.Parts) > 0; !parts {
		fmt.Fprint(h, "|", r.Call.Call.ID)
	}
	for i, p := range r.Call.Call.Parts {
		if parts && (heads == 0 || i < heads) {
			fmt.Fprint(h, "|", p)
		}
	}
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// bound finds the one replica that a request which may not be repeated goes to, by its id: the same at
// every router, so that a server that ran it knows it when it is asked for again. Only one that
// this request could not reach twice is passed over.
func (c *Core) bound(e *entry, r *request) *protocol.Replica {
	var top *protocol.Replica
	high := uint64(0)
	for i := range e.Replicas {
		p := &e.Replicas[i]
		lost := 0
		for _, g := range r.attempts {
			if g.Server == p.Server && g.How == Unsent {
				lost++
			}
		}
		if c.closed(p) || lost >= 2 {
			continue
		}
		if n := rank(r, p.Server, false, 0); top == nil || n > high {
			top, high = p, n
		}
	}
	return top
}

// fairShare is how far above the mean of its peers, one request aside, a replica may be burdened and still get
// the requests whose shared parts name it.
const fairShare = 1.25

// pick chooses a replica: by rendezvous hash over the prompt's shared parts, as long as the
// one it names is not burdened beyond its fair share; otherwise the least burdened.
func (c *Core) pick(e *entry, r *request) *protocol.Replica {
	if c.o.Free {
		return c.weigh(e, r)
	}
	var only *protocol.Replica
	if !r.repeatable() && !c.o.Free {
		if only = c.bound(e, r); only == nil {
			return nil
		}
	}
	open, fair := c.withRoom(e, r, only)
	if len(open) == 0 {
		return nil
	}
	byParts := len(r.Call.Call.Parts) > 0 && !c.o.Plain
	order := func(p *protocol.Replica) uint64 { return rank(r, p.Server, byParts, c.o.Heads) }
	fits := func(p *protocol.Replica) bool { return c.burden(p) <= fair+1/float64(max(1, p.Slots)) }
	sort.SliceStable(open, func(i, j int) bool {
		p, q := open[i], open[j]
		if byParts {
			if fp, fq := fits(p), fits(q); fp != fq {
				return fp
			} else if fp {
				return order(p) > order(q)
			}
		}
		if bp, bq := c.burden(p), c.burden(q); bp != bq {
			return bp < bq
		}
		return order(p) > order(q)
	})
	return open[0]
}

// burden is what this router has under way at a replica, by what the server can do at once.
func (c *Core) burden(p *protocol.Replica) float64 {
	return float64(c.server(p.Server).work) / float64(max(1, p.Slots))
}

// withRoom gives the replicas, or the only one that is meant, at which this router may have more under way,
// and the fair share of burden among them.
func (c *Core) withRoom(e *entry, r *request, only *protocol.Replica) (open []*protocol.Replica, fair float64) {
	work, slots := 0, 0
	for i := range e.Replicas {
		p := &e.Replicas[i]
		b := c.server(p.Server)
		if only != nil && only != p {
			continue
		}
		if c.closed(p) || c.now < b.avoid {
			continue
		}
		all, cold := c.caps(e, p)
		if b.work >= all || b.keys[r.key] >= cold {
			continue
		}
		work += b.work
		slots += max(1, p.Slots)
		open = append(open, p)
	}
	return open, fairShare * float64(work) / float64(max(1, slots))
}
