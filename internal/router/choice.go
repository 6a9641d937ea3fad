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
		if c.empty[p.Zone] || lost >= 2 {
			continue
		}
		if n := rank(r, p.Server, false, 0); top == nil || n > high {
			top, high = p, n
		}
	}
	return top
}

// pick chooses a replica: by rendezvous hash over the prompt's shared parts, as long as the
// one it names is not burdened beyond its fair share; otherwise the least burdened.
func (c *Core) pick(e *entry, r *request) *protocol.Replica {
	if c.o.Free {
		return c.weigh(e, r)
	}
	var l []*protocol.Replica
	var only *protocol.Replica
	if !r.repeatable() && !c.o.Free {
		if only = c.bound(e, r); only == nil {
			return nil
		}
	}
	sum, slots := 0, 0
	for i := range e.Replicas {
		p := &e.Replicas[i]
		b := c.server(p.Server)
		if only != nil && only != p {
			continue
		}
		if c.empty[p.Zone] || c.now < b.avoid {
			continue
		}
		all, cold := c.caps(e, p)
		if b.work >= all || b.keys[r.key] >= cold {
			continue
		}
		sum += b.work
		slots += max(1, p.Slots)
		l = append(l, p)
	}
	if len(l) == 0 {
		return nil
	}
	hash := len(r.Call.Call.Parts) > 0 && !c.o.Plain
	// Burdens are weighed by what servers can do at once.
	part := func(p *protocol.Replica) float64 { return float64(c.server(p.Server).work) / float64(max(1, p.Slots)) }
	fair := 1.25 * float64(sum) / float64(slots)
	fits := func(p *protocol.Replica) bool { return part(p) <= fair+1/float64(max(1, p.Slots)) }
	sort.SliceStable(l, func(i, j int) bool {
		a, b := part(l[i]), part(l[j])
		if hash {
			if fa, fb := fits(l[i]), fits(l[j]); fa != fb {
				return fa
			} else if fa {
				return rank(r, l[i].Server, hash, c.o.Heads) > rank(r, l[j].Server, hash, c.o.Heads)
			}
		}
		if a != b {
			return a < b
		}
		return rank(r, l[i].Server, hash, c.o.Heads) > rank(r, l[j].Server, hash, c.o.Heads)
	})
	return l[0]
}
