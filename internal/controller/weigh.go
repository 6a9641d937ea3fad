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
	weighEvery = 20e6  // loads take seconds, so that looking more often brings nothing
	weighMany  = 200   // models and adapters: for each so many more the pause is as long again
	seedEvery  = 300e6 // a model is loaded ahead so often
	seedLoads  = 2     // loads that the store must bear for one of them to be ahead of need
	keptPart   = 3     // one in so many of the loads that the store bears at once is kept for bases without a replica

	freshSpan = 1500e6 // what is as young as this is not judged yet, and what is older is out of date
)

// What a server costs as the place of one more replica, in seconds of waiting that it stands for.
const (
	orderCost    = 1.5 // for each order that it has to carry out first
	workCost     = 4.0 // for each server's worth of work that it has
	sameZoneCost = 0.2 // if the zone has a replica already
	evictCost    = 0.5 // if something must make way, beside what that costs
)

// weighAll places what is asked for, where the store may begin so many loads.
func (c *Core) weighAll(toBegin int) {
	if c.now.Sub(c.weighed) < weighEvery*clock.Span(1+len(c.plan.Models)/weighMany) {
		return
	}
	c.weighed = c.now
	l := c.families()
	left := c.storeLeft(toBegin)
	for _, id := range generic.SortedKeys(c.servers) {
		c.undo(c.servers[id])
	}
	short := l.short()
	c.line = map[ident.Key]int{}
	for _, f := range short {
		if c.placeAt(f, l, left > c.keptFree(f)) {
			left--
		}
		if f.live == 0 {
			c.line[f.model.Key] = len(c.line) + 1
		}
	}
	if c.o.Warm && len(short) == 0 && left >= seedLoads {
		c.seed(l)
	}
	c.weighAdapters(l)
}

// keptFree tells how many of the loads that the store bears at once a family leaves to others: further replicas leave a
// part to bases without any, for which somebody waits.
func (c *Core) keptFree(f *family) int {
	if f.live == 0 && f.waiting > 0 {
		return 0
	}
	atOnce, _ := c.budget()
	return atOnce / keptPart
}

// storeLeft tells how many more loads the store bears beside those that are ordered.
func (c *Core) storeLeft(toBegin int) int {
	atOnce, _ := c.budget()
	for _, s := range c.servers {
		c.visit(len(s.spots))
		for key, p := range s.spots {
			if p.stage != Ordered || key.IsAdapter() || c.sure(s, key) || !c.mayLoad(s, p) {
				continue
			}
			atOnce--
			if p.num == 0 {
				toBegin-- // it begins before long
			}
		}
	}
	return min(atOnce, toBegin)
}

// short lists the families that have too few replicas, the most worthwhile first.
func (l families) short() []*family {
	var short []*family
	for _, key := range generic.SortedKeys(l) {
		if f := l[key]; f.live < f.wanted {
			short = append(short, f)
		}
	}
	sort.SliceStable(short, func(i, j int) bool {
		a, b := short[i], short[j]
		if x, y := a.gain(), b.gain(); x != y {
			return x > y
		}
		return a.value > b.value
	})
	return short
}

// undo gives up placements for which a server turns out to have no room, and nothing is on its way out.
func (c *Core) undo(s *server) {
	crowd := s.places > 0 && s.adapters() > s.places
	if s.plain || s.free() >= 0 && !crowd || !s.known {
		return
	}
	for _, p := range s.spots {
		if p.leaves() {
			return
		}
	}
	for key, p := range s.spots {
		if p.stage == Ordered && p.num == 0 {
			delete(s.spots, key)
		}
	}
}

// seed loads, while the store has nothing better to do, a model that no server has on its own disk:
// from there it comes in a part of the time, and asks nothing of the store.
func (c *Core) seed(l families) {
	if c.now.Sub(c.seeded) < seedEvery {
		return
	}
	c.seeded = c.now
	for _, key := range generic.SortedKeys(l) {
		f := l[key]
		if f.live == 0 && !c.onSomeDisk(key) {
			f.spare = true
			c.placeAt(f, l, true)
			return
		}
	}
}

// onSomeDisk tells whether some server has a model on its own disk.
func (c *Core) onSomeDisk(key ident.Key) bool {
	for _, s := range c.servers {
		if c.has(s, key) {
			return true
		}
	}
	return false
}

// placeAt finds the server where one more replica of a family costs least, and begins it there; what
// must make way is broken first. It tells whether the load comes from the store, which is only asked if
// it bears another one.
func (c *Core) placeAt(f *family, l families, store bool) bool {
	var best *server
	var out eviction
	least := math.Inf(1)
	zones := c.replicasOf(f.model.Key).zones
	for _, id := range generic.SortedKeys(c.servers) {
		c.visit(1)
		s := c.servers[id]
		if !store && !c.sure(s, f.model.Key) {
			continue
		}
		leaves, ok := c.roomFor(s, f, l)
		if !ok {
			continue
		}
		cost := c.costAt(s, f, l, zones[s.Zone])
		if len(leaves.spots) > 0 {
			cost += leaves.cost + evictCost
		}
		if cost < least {
			best, out, least = s, leaves, cost
		}
	}
	if best == nil {
		return false
	}
	c.evictAll(best, out.spots, l)
	c.startLoad(best, f.model)
	f.live++
	return !c.sure(best, f.model.Key)
}

// roomFor finds what must leave a server before it can load a replica of a family, if it can at all and
// the replica is worth it.
func (c *Core) roomFor(s *server, f *family, l families) (eviction, bool) {
	if !c.mayHold(s, f.model.Key) || s.room < f.model.Size {
		return eviction{}, false
	}
	if s.free() >= f.model.Size {
		return eviction{}, true
	}
	if s.pending() > 0 {
		return eviction{}, false // what is under way there comes first
	}
	out, ok := c.makeWay(s, f, l, f.model.Size-s.free())
	return out, ok && out.cost <= f.gain()
}

// costAt tells what a server costs as the place of one more replica.
func (c *Core) costAt(s *server, f *family, l families, sameZone bool) float64 {
	c.visit(len(s.spots))
	cost := c.loadSpan(s, f.model).Seconds()
	cost += float64(s.pending()) * orderCost
	cost += workCost * l.loadOf(s)
	if sameZone {
		cost += sameZoneCost
	}
	return cost
}
