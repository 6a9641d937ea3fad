package controller

import (
	"math"
	"sort"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
)

// Placement by weight: what a key is worth at a server is what it would cost to be without it. Busy
// bases get as many replicas as their work asks for; all other room keeps as many different keys as it
// holds, and what is let go is what will be missed least for the time that it takes to be back.

const (
	weighEvery = clock.Span(20e6) // loads take seconds, so that looking more often brings nothing
	// restOfVisit is how long placement rests for each server or replica that it looked at: whatever there is to look at, most
	// of the owner's time is left to leases, acknowledgements and leavings.
	restOfVisit = clock.Span(2e3)
	seedEvery   = 300e6 // a model is loaded ahead so often
	seedLoads   = 2     // loads that the store must bear for one of them to be ahead of need
	keptPart    = 3     // one in so many of the loads that the store bears at once is kept for bases without a replica

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
func (c *Core) weighAll() {
	if c.now.Sub(c.weighed) < c.weighPause {
		return
	}
	before := c.tally.Visits
	c.weighed = c.now
	c.withdrawFromDark()
	c.evictUnplanned()
	c.weigh(c.budget())
	c.weighPause = max(weighEvery, clock.Span(c.tally.Visits-before)*restOfVisit)
}

// weigh looks at placement once, where the store bears so many loads at once, and so many may begin now.
func (c *Core) weigh(atOnce, toBegin int) {
	l := c.newLook()
	left := c.storeLeft(atOnce, toBegin)
	for _, s := range c.fleet.ordered {
		c.undo(s)
	}
	short := l.families.short(c.bases().keys)
	c.line = map[ident.Key]int{}
	for _, f := range short {
		if c.placeAt(f, l, left > keptFree(f, atOnce)) {
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
func keptFree(f *family, atOnce int) int {
	if f.live == 0 && f.waiting > 0 {
		return 0
	}
	return atOnce / keptPart
}

// storeLeft tells how many more loads the store bears beside those that are ordered.
func (c *Core) storeLeft(atOnce, toBegin int) int {
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
func (l families) short(bases []ident.Key) []*family {
	var short []*family
	for _, key := range bases {
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
			c.removeSpot(s, key)
		}
	}
}

// seed loads, while the store has nothing better to do, a model that no server has on its own disk:
// from there it comes in a part of the time, and asks nothing of the store.
func (c *Core) seed(l *look) {
	if c.now.Sub(c.seeded) < seedEvery {
		return
	}
	c.seeded = c.now
	for _, key := range c.bases().keys {
		f := l.families[key]
		if f.live == 0 && !c.onSomeDisk(key) {
			f.spare = true
			c.placeAt(f, l, true)
			return
		}
	}
}

// onSomeDisk tells whether some server likely has a model on its own disk.
func (c *Core) onSomeDisk(key ident.Key) bool {
	for id := range c.disks[key] {
		if c.servers[id] != nil {
			return true
		}
	}
	return false
}

// placeAt finds the server where one more replica of a family costs least, and begins it there; what
// must make way is broken first. It tells whether the load comes from the store, which is only asked if
// it bears another one.
func (c *Core) placeAt(f *family, l *look, store bool) bool {
	var best *place
	var out way
	least := math.Inf(1)
	zones := c.replicasOf(f.model.Key).zones
	for _, p := range l.placesFor(f, store) {
		c.visit(1)
		w, ok := l.wayFor(p, f)
		if !ok {
			continue
		}
		cost := c.costAt(p, f, zones[p.server.Zone])
		if w.leaves > 0 {
			cost += w.cost + evictCost
		}
		if cost < least {
			best, out, least = p, w, cost
		}
	}
	if best == nil {
		return false
	}
	l.leave(best, out)
	c.startLoad(best.server, f.model)
	f.live++
	l.changed(f.model.Key, best.server)
	return !c.sure(best.server, f.model.Key)
}

// costAt tells what a place costs for one more replica.
func (c *Core) costAt(p *place, f *family, sameZone bool) float64 {
	cost := c.loadSpan(p.server, f.model).Seconds()
	cost += float64(p.pending) * orderCost
	cost += workCost * p.load
	if sameZone {
		cost += sameZoneCost
	}
	return cost
}
