package controller

import (
	"math"
	"slices"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Adapters are loaded on replicas of their bases: in no time, but a server has few places for them.

const (
	crowded = 6000 // tokens under way at a server from which on others are better

	// What a server costs as the place of an adapter, where a crowded one costs 1.
	adapterOrderCost = 0.3 // for each order that it has to carry out first
	adapterEvictCost = 0.3 // if another adapter must make way, beside the rate at which it is asked for
	crowdedRelief    = 0.5 // of the crowd that a further place must spare, or it is not worth it
)

// weighAdapters brings adapters that are asked for to replicas of their bases.
func (c *Core) weighAdapters(l *look) {
	for _, key := range c.adaptersAskedFor() {
		n, m := c.demand[key], c.plan.Models[key]
		f := &family{model: m, live: c.replicasOf(key).count, load: n.load, rate: n.rate, waiting: n.wait, age: n.age(c.now), value: n.value, rank: c.plan.Rank(n.value)}
		f.wanted = max(1, min(int(math.Ceil(f.load/goodLoad)), m.Most))
		most := math.Inf(1)
		if f.live >= f.wanted {
			// Where its servers are crowded and another replica of its base is not, it goes there too.
			least := c.leastSeats(key)
			if least < crowded || f.live >= m.Most {
				continue
			}
			most = float64(least) / crowded * crowdedRelief
		}
		c.settleAdapter(f, l, most)
	}
}

// adaptersAskedFor lists the adapters of the plan that somebody has asked for of late.
func (c *Core) adaptersAskedFor() (l []ident.Key) {
	for key, n := range c.demand {
		if c.now.Sub(n.at) > freshSpan || !key.IsAdapter() {
			continue
		}
		if _, planned := c.plan.Models[key]; planned {
			l = append(l, key)
		}
	}
	slices.Sort(l)
	return l
}

// leastSeats tells the tokens under way at the least crowded server that holds an adapter.
func (c *Core) leastSeats(key ident.Key) int {
	least := math.MaxInt
	for _, s := range c.holding(key) {
		c.visit(1)
		if c.stays(s) {
			least = min(least, c.seats[s.ID])
		}
	}
	return least
}

// settleAdapter loads an adapter at the replica of its base where that costs least, and less than most.
func (c *Core) settleAdapter(f *family, l *look, most float64) {
	var best *server
	var out eviction
	least := most
	for _, s := range c.holding(f.model.Key.Base()) {
		c.visit(1)
		if !c.stays(s) || s.alien || s.odd != "" || s.spots[f.model.Key] != nil || !s.based(f.model.Key) {
			continue
		}
		leaves, ok := c.roomForAdapter(s, f, l.families)
		if !ok {
			continue
		}
		cost := float64(c.seats[s.ID])/crowded + adapterOrderCost*float64(s.pending()) + leaves.cost
		if cost < least {
			best, out, least = s, leaves, cost
		}
	}
	if best == nil {
		return
	}
	l.evictAll(best, out.spots) // their room and places are free before long
	c.startLoad(best, f.model)
	l.outdate(best)
}

// roomForAdapter finds what must leave a server before it can load an adapter: another adapter, or, where
// room alone is short and the adapter is nowhere else, replicas of bases.
func (c *Core) roomForAdapter(s *server, f *family, l families) (eviction, bool) {
	noPlace := s.places > 0 && s.adapters() >= s.places
	missing := f.model.Size - s.free()
	if !noPlace && missing <= 0 {
		return eviction{}, true
	}
	if p, rate := c.leastAskedAdapter(s); p != nil {
		return eviction{[]*spot{p}, adapterEvictCost + rate}, true
	}
	if noPlace || f.live > 0 || s.pending() > 0 {
		return eviction{}, false // what is under way there comes first
	}
	out, ok := c.makeWay(s, f, l, missing)
	ok = ok && out.cost <= f.gain()
	out.cost += evictCost
	return out, ok
}

// leastAskedAdapter finds the adapter that a server can do without best, and the rate at which it is asked
// for: one that is ready for a while, and for which nobody waits.
func (c *Core) leastAskedAdapter(s *server) (least *spot, rate float64) {
	rate = math.Inf(1)
	for _, key := range generic.SortedKeys(s.spots) {
		p := s.spots[key]
		if !key.IsAdapter() || p.stage != Ready || c.now.Sub(p.ready) < freshSpan {
			continue
		}
		slow := 0.0
		if n := c.demand[key]; n != nil {
			if n.wait > 0 && c.now.Sub(n.at) < freshSpan {
				continue
			}
			slow = n.slow
		}
		if slow < rate {
			least, rate = p, slow
		}
	}
	return least, rate
}
