package controller

import (
	"math"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Adapters are loaded on replicas of their bases: in no time, but a server has few places for them.

// weighAdapters brings adapters that are asked for to replicas of their bases. They come in no time
// and take little room, but a server has few places for them.
func (c *Core) weighAdapters(l map[ident.Key]*family) {
	for _, k := range generic.SortedKeys(c.demand) {
		n := c.demand[k]
		m, ok := c.plan.Models[k]
		if !ok || !k.IsAdapter() || c.now.Sub(n.at) > freshSpan {
			continue
		}
		live := c.replicasOf(k).count
		want := max(1, min(int(math.Ceil(n.load/goodLoad)), m.Most))
		most := math.Inf(1)
		if live >= want {
			// Where its servers are crowded and another replica of its base is not, it goes there too.
			low := math.MaxInt
			for id, s := range c.servers {
				if p := s.spots[k]; p != nil && c.stays(s) {
					low = min(low, c.seats[id])
				}
			}
			if low < crowded || live >= m.Most {
				continue
			}
			most = float64(low) / crowded / 2
		}
		f := &family{m: m, live: live, rate: n.rate, wait: n.wait, age: n.age(c.now), value: n.value, rank: c.plan.Rank(n.value)}
		c.settleAdapter(f, l, most)
	}
}

// settleAdapter loads an adapter at the replica of its base where that costs least, and less than most.
func (c *Core) settleAdapter(f *family, l map[ident.Key]*family, most float64) {
	var best *server
	var out []*spot
	cost := most
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.stays(s) || s.alien || s.spots[f.m.Key] != nil || !s.based(f.m.Key) || s.odd != "" {
			continue
		}
		victims, price, ok := c.makeWayForAdapter(s, f, l)
		if !ok {
			continue
		}
		if x := float64(c.seats[id])/crowded + 0.3*float64(s.pending()) + price; x < cost {
			best, out, cost = s, victims, x
		}
	}
	if best == nil {
		return
	}
	c.evictAll(best, out, l) // its place is free before long
	c.startLoad(best, f.m)
}

// makeWayForAdapter lists what must leave a server before an adapter can be loaded there, and what that
// costs: another adapter, or, where room alone is short and the adapter is nowhere else, replicas of bases.
func (c *Core) makeWayForAdapter(s *server, f *family, l map[ident.Key]*family) (out []*spot, price float64, ok bool) {
	placeless := s.places > 0 && s.adapters() >= s.places
	short := f.m.Size - (s.room - s.used())
	if !placeless && short <= 0 {
		return nil, 0, true
	}
	if p, rate := c.leastAskedAdapter(s); p != nil {
		return []*spot{p}, 0.3 + rate, true
	}
	if placeless || f.live > 0 || s.pending() > 0 {
		return nil, 0, false // what is under way there comes first
	}
	out, price = c.makeWay(s, f, l, short)
	return out, 0.5 + price, out != nil && price <= f.gain()
}

// leastAskedAdapter finds the adapter that a server can do without best, and the rate at which it is asked
// for: one that is ready for a while, and for which nobody waits.
func (c *Core) leastAskedAdapter(s *server) (victim *spot, rate float64) {
	rate = math.Inf(1)
	for _, k := range generic.SortedKeys(s.spots) {
		p := s.spots[k]
		if !k.IsAdapter() || p.stage != Ready || c.now.Sub(p.ready) < freshSpan {
			continue
		}
		slow := 0.0
		if n := c.demand[k]; n != nil {
			if n.wait > 0 && c.now.Sub(n.at) < freshSpan {
				continue
			}
			slow = n.slow
		}
		if slow < rate {
			rate, victim = slow, p
		}
	}
	return victim, rate
}
