package controller

import (
	"slices"
	"sort"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Placement by need, where servers check a fence: each key has its floor, and one replica while it is
// asked for; what has been idle for longest makes way.

const (
	sweepEvery  = 500e6 // entries are made anew so often, whatever changed
	askedSpan   = 3e9   // a key that was asked for so lately has a replica
	darkLoading = 60e9  // a dark server may be loading for so long
	firstReport = 10e9  // a server that has not reported for so long since it came is loading nothing
	newZone     = 1_000_000
	fillScale   = 1000 // a server's free room counts in so many parts, less than a new zone does
)

// beatPlace carries placement on at the owner of the duty.
func (c *Core) beatPlace() {
	if !c.rules() {
		return
	}
	c.watchWindows()
	c.beatList()
	c.beatEye()
	for _, s := range slices.Clone(c.fleet.ordered) {
		c.beatServer(s)
	}
	if c.plan != nil && c.settled() {
		c.placeAll()
	}
	if c.now.Sub(c.swept) > sweepEvery {
		c.swept = c.now
		c.touchAll()
	}
	c.sumDemand()
	c.forgetDemand()
}

// placeAll brings what the servers hold nearer to what the plan and the demand ask for.
func (c *Core) placeAll() {
	if c.o.Unfenced {
		c.weighAll()
		return
	}
	atOnce, now := c.budget()
	c.withdrawFromDark()
	atOnce -= c.mayBeLoading()
	c.evictUnplanned()
	c.beatShifts()
	c.placeWishes(min(atOnce, now))
}

// withdrawFromDark gives up loads that cannot be sent to their server now: another one may take them.
func (c *Core) withdrawFromDark() {
	for _, s := range c.servers {
		for key, p := range s.spots {
			if s.dark && p.stage == Ordered && p.num == 0 {
				c.removeSpot(s, key)
			}
		}
	}
}

// mayBeLoading counts the loads that may be under way.
func (c *Core) mayBeLoading() int {
	n := 0
	for _, s := range c.servers {
		c.visit(len(s.spots))
		for _, p := range s.spots {
			if p.stage == Ordered && c.mayLoad(s, p) {
				n++
			}
		}
		if !s.known && !s.dark && s.State == "live" && c.now.Sub(s.first) < firstReport {
			n++ // what it may be loading is not known yet
		}
	}
	return n
}

// mayLoad tells whether a load that was ordered may still be under way: at a dark server for a while.
func (c *Core) mayLoad(s *server, p *spot) bool {
	return !s.dark || c.now.Sub(p.since) < darkLoading
}

// evictUnplanned takes off all servers what the plan does not name.
func (c *Core) evictUnplanned() {
	for _, s := range c.fleet.ordered {
		if !s.known || s.dark {
			continue
		}
		c.visit(len(s.spots))
		for _, key := range c.unplannedOn(s) {
			if p := s.spots[key]; p.stage == Ready {
				c.evict(s, p)
			}
		}
	}
}

// unplannedOn lists what a server holds that the plan does not name.
func (c *Core) unplannedOn(s *server) (unplanned []ident.Key) {
	for key := range s.spots {
		if _, planned := c.plan.Models[key]; !planned {
			unplanned = append(unplanned, key)
		}
	}
	slices.Sort(unplanned)
	return unplanned
}

// replicaSet is what a key has of replicas that can be counted on.
type replicaSet struct {
	count int
	slots int // of all their servers
	zones map[ident.Zone]bool
}

// replicasOf counts a key's replicas that are ready or ordered, on servers that stay.
func (c *Core) replicasOf(key ident.Key) replicaSet {
	set := replicaSet{zones: map[ident.Zone]bool{}}
	for _, s := range c.holding(key) {
		c.visit(1)
		if p := s.spots[key]; p != nil && p.placed() && c.stays(s) {
			set.count++
			set.slots += s.slots
			set.zones[s.Zone] = true
		}
	}
	return set
}

// requirement is how many replicas a key should have, and how many it has.
type requirement struct {
	wanted int
	live   int
	value  int // of the requests that ask for it
}

// requirementOf tells how many replicas a key should have.
func (c *Core) requirementOf(m fleetplan.Model) requirement {
	has := c.replicasOf(m.Key)
	r := requirement{wanted: m.Floor, live: has.count}
	if n := c.demand[m.Key]; n != nil && c.now.Sub(n.at) < askedSpan {
		r.value = n.value
		r.wanted = max(r.wanted, 1)
		// Past three quarters of its slots it gets one more.
		if r.live > 0 && 4*c.underWay(m.Key) > 3*has.slots {
			r.wanted = max(r.wanted, r.live+1)
		}
	}
	if c.shifts[m.Key] != nil {
		r.wanted = max(r.wanted, r.live) // both are kept until the new one can do without the old
	} else if r.wanted == 0 && r.live == 0 && c.parting(m.Key) {
		r.wanted = 1
	}
	r.wanted = min(r.wanted, m.Most)
	return r
}

// underWay counts the requests for a key that wait or run, at all routers.
func (c *Core) underWay(key ident.Key) int { return c.workload.UnderWay(key) }

// wish is a key that wants one more replica.
type wish struct {
	model fleetplan.Model
	bare  bool // it has none
	value int
}

// wishes lists the keys that want one more replica, the most urgent first.
func (c *Core) wishes() []wish {
	var l []wish
	for _, key := range generic.SortedKeys(c.plan.Models) {
		m := c.plan.Models[key]
		if r := c.requirementOf(m); r.live < r.wanted {
			l = append(l, wish{model: m, bare: r.live == 0, value: r.value})
		}
	}
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.bare != b.bare {
			return a.bare
		}
		if a.value != b.value {
			return a.value > b.value
		}
		return !a.model.Key.IsAdapter() && b.model.Key.IsAdapter()
	})
	return l
}

// placeWishes places what is wished for within the store's budget; while nothing is, moves may begin.
func (c *Core) placeWishes(budget int) {
	wishes := c.wishes()
	for _, w := range wishes {
		if budget <= 0 {
			return
		}
		if c.place(w) {
			budget--
		}
	}
	if len(wishes) == 0 && budget > 0 {
		c.even()
	} else {
		c.uneven = 0
	}
}

// place orders one load for a wish, or makes room for it; it tells whether a load was ordered.
func (c *Core) place(w wish) bool {
	key := w.model.Key
	if key.IsAdapter() && c.replicasOf(key.Base()).count == 0 {
		return c.place(wish{model: c.plan.Models[key.Base()], bare: true, value: w.value})
	}
	s := c.emptiest(w.model)
	if s == nil {
		c.clearRoom(w)
		return false
	}
	c.startLoad(s, w.model)
	return true
}

// startLoad has a server load a model: the order follows once it is due.
func (c *Core) startLoad(s *server, m fleetplan.Model) {
	c.putSpot(s, &spot{key: m.Key, size: m.Size, stage: Ordered, since: c.now})
}

// emptiest finds the server for one more replica of a model: in a zone that has none, and the emptiest for
// its size.
func (c *Core) emptiest(m fleetplan.Model) (best *server) {
	zones := c.replicasOf(m.Key).zones
	most := 0
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.mayHold(s, m.Key) || s.loading() > 0 {
			continue
		}
		if s.free() < m.Size {
			continue
		}
		score := fillScale * (s.free() + 1) / (s.room + 1)
		if !zones[s.Zone] {
			score += newZone
		}
		if best == nil || score > most {
			best, most = s, score
		}
	}
	return best
}

// mayHold tells whether a server may be ordered to load a key, if it has the room.
func (c *Core) mayHold(s *server, key ident.Key) bool {
	if !c.stays(s) || s.spots[key] != nil || s.odd != "" {
		return false
	}
	if s.plain || s.alien || s.Service != key.Service() {
		return false
	}
	if key.IsAdapter() {
		return s.based(key) && (s.places == 0 || s.adapters() < s.places)
	}
	return true
}
