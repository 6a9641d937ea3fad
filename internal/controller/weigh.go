package controller

import (
	"math"
	"sort"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Placement by weight: what a key is worth at a server is what it would cost to be without it. Busy
// bases get as many replicas as their work asks for; all other room keeps as many different keys as it
// holds, and what is let go is what will be missed least for the time that it takes to be back.

const (
	sumEvery   = 250e6
	nowSpan    = 1.2  // seconds that the work of just now looks back
	lateSpan   = 4.0  // and that of late
	slowSpan   = 20.0 // and the longer ones
	goodLoad   = 0.4  // of a server's time that one key's replica should take
	fullLoad   = 0.6  // past which another replica is worth a rarer key's only one
	riseTrust  = 0.5  // of a rise that is taken to go on
	goodBatch  = 0.15 // of a server's places that one key's requests should take
	warmPart   = 0.25 // of a load's time that it takes from a server's own disk
	busyRate   = 1.0  // requests a second from which on a base is busy
	seedEvery  = 300e6
	weighEvery = 20e6
	weighMany  = 200 // models and adapters
	firstSpan  = 4e9
	drainSpan  = 800e6 // what was sent to a server may begin there for so long before a model is unloaded
	orderLag   = 400e6 // from an order's end until routers know of it
	longAge    = 3.0   // seconds of waiting from which on it counts for no more
	crowded    = 6000  // tokens under way at a server from which on others are better
	freshSpan  = 1500e6

	renewalSpan = 400e6 // within which a router's renewal shows what its lookup told: two of its intervals
)

// weighAll places what is asked for.
func (c *Core) weighAll(rate int) {
	// The more there is to look at, the more seldom: a load takes seconds anyhow.
	if c.now.Sub(c.weighed) < weighEvery*clock.Span(1+len(c.plan.Models)/weighMany) {
		return
	}
	c.weighed = c.now
	l := c.families()
	once, _ := c.budget()
	for _, s := range c.servers {
		for k, p := range s.spots {
			if p.stage == Ordered && !k.IsAdapter() && !c.sure(s, k) && (!s.dark || c.now.Sub(p.since) < 60e9) {
				once--
				if p.num == 0 {
					rate-- // it begins before long
				}
			}
		}
	}
	store := min(once, rate)
	for _, id := range generic.SortedKeys(c.servers) {
		c.undo(c.servers[id])
	}
	var todo []*family
	for _, k := range generic.SortedKeys(l) {
		f := l[k]
		if f.live < f.want {
			todo = append(todo, f)
		}
	}
	sort.SliceStable(todo, func(i, j int) bool {
		a, b := todo[i], todo[j]
		if x, y := a.gain(), b.gain(); x != y {
			return x > y
		}
		return a.value > b.value
	})
	c.line = map[ident.Key]int{}
	for _, f := range todo {
		if c.placeAt(f, l, store > 0) {
			store--
		}
		if f.live == 0 {
			c.line[f.m.Key] = len(c.line) + 1
		}
	}
	if c.o.Warm && len(todo) == 0 && store > 1 {
		c.seed(l)
	}
	c.weighAdapters(l)
}

// undo gives up placements for which a server turns out to have no room, and nothing is on its way out.
func (c *Core) undo(s *server) {
	crowd := s.places > 0 && s.adapters() > s.places
	if s.plain || s.used() <= s.room && !crowd || !s.known {
		return
	}
	for _, p := range s.spots {
		if p.stage == Breaking || p.stage == Draining || p.stage == Unloading {
			return
		}
	}
	for _, k := range generic.SortedKeys(s.spots) {
		if p := s.spots[k]; p.stage == Ordered && p.num == 0 {
			delete(s.spots, k)
		}
	}
}

// seed loads, while the store has nothing better to do, a model that no server has on its own disk:
// from there it comes in a part of the time, and asks nothing of the store.
func (c *Core) seed(l map[ident.Key]*family) {
	if c.now.Sub(c.seeded) < seedEvery {
		return
	}
	c.seeded = c.now
	for _, k := range generic.SortedKeys(l) {
		f := l[k]
		if f.live > 0 {
			continue
		}
		known := false
		for _, s := range c.servers {
			known = known || c.has(s, k)
		}
		if !known {
			f.spare = true
			c.placeAt(f, l, true)
			return
		}
	}
}

// placeAt finds the server where one more replica of a family costs least, and begins it there; what
// must make way is broken first. It tells whether the load comes from the store, which is only asked if
// it bears another one.
func (c *Core) placeAt(f *family, l map[ident.Key]*family, store bool) bool {
	var best *server
	var gone []*spot
	cost := math.Inf(1)
	zones := c.replicasOf(f.m.Key).zones
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.mayHold(s, f.m.Key) || s.room < f.m.Size {
			continue
		}
		free := s.room - s.used()
		if s.pending() > 0 && free < f.m.Size {
			continue // what is under way there comes first
		}
		if !store && !c.sure(s, f.m.Key) {
			continue
		}
		n := f.m.Load.Seconds()
		if c.has(s, f.m.Key) {
			n *= warmPart
		}
		n += float64(s.pending()) * 1.5
		n += 4 * c.loadOf(s, l)
		if zones[s.Zone] {
			n += 0.2
		}
		var out []*spot
		if free < f.m.Size {
			var price float64
			out, price = c.makeWay(s, f, l, f.m.Size-free)
			if out == nil || price > f.gain() {
				continue
			}
			n += price + 0.5
		}
		if n < cost {
			best, gone, cost = s, out, n
		}
	}
	if best == nil {
		return false
	}
	c.evictAll(best, gone, l)
	c.startLoad(best, f.m)
	f.live++
	return !c.sure(best, f.m.Key)
}
