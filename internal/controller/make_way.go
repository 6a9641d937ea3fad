package controller

import (
	"sort"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// What makes way at a server: the replicas that are cheapest to let go, by the requests that will miss
// them until they could be back.

// makeWay lists what is cheapest to let go of a server for a family, and what it will cost: the
// requests that will miss it, for the time that it takes to be back.
func (c *Core) makeWay(s *server, f *family, l map[ident.Key]*family, size int) ([]*spot, float64) {
	type way struct {
		p    *spot
		cost float64
	}
	var ways []way
	for _, k := range generic.SortedKeys(s.spots) {
		p := s.spots[k]
		if k.IsAdapter() || p.stage != Ready || c.now.Sub(p.ready) < freshSpan || c.shifts[k] != nil || k == f.m.Key.Base() {
			continue
		}
		g := l[k]
		if g == nil {
			ways = append(ways, way{p, 0})
			continue
		}
		if g.live <= g.m.Floor || g.wait > 0 && g.live <= g.want || f.spare && (g.live > 1 || g.slow > 0.05 || !c.has(s, k)) {
			continue
		}
		n := c.miss(g)
		ways = append(ways, way{p, n})
	}
	sort.SliceStable(ways, func(i, j int) bool {
		return ways[i].cost*float64(ways[j].p.size) < ways[j].cost*float64(ways[i].p.size)
	})
	var out []*spot
	sum := 0.0
	for _, w := range ways {
		if size <= 0 {
			break
		}
		out = append(out, w.p)
		size -= c.weightOn(s, w.p)
		sum += w.cost
	}
	if size > 0 {
		return nil, 0
	}
	return out, sum
}

// miss is what one replica less of a family costs: the requests that suffer before it could be back.
func (c *Core) miss(g *family) float64 {
	if g.live <= 1 {
		return 0.2 + (2*g.rate+4*g.slow)*g.m.Load.Seconds()
	}
	switch left := g.load / float64(g.live-1); {
	case left > fullLoad:
		return 1 + 2*g.rate
	case left > goodLoad:
		return 0.3 + 0.5*g.rate
	default:
		return 0.05 + 0.1*g.rate
	}
}

// weightOn tells what goes with a base: its adapters leave with it.
func (c *Core) weightOn(s *server, p *spot) int {
	n := p.size
	for k, a := range s.spots {
		if k != p.key && k.Base() == p.key {
			n += a.size
		}
	}
	return n
}
