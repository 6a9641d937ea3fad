package controller

import (
	"sort"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Placement by need, where servers check a fence: each key has its floor, and one replica while it is
// asked for; what has been idle for longest makes way.

func (c *Core) beatPlace() {
	if !c.rules() {
		return
	}
	c.watchWindows()
	c.beatList()
	c.beatEye()
	for _, id := range generic.SortedKeys(c.servers) {
		c.beatServer(c.servers[id])
	}
	if c.plan != nil && c.settled() {
		c.placeAll()
	}
	if c.now.Sub(c.swept) > 500e6 {
		c.swept = c.now
		c.touchAll()
	}
	c.sumDemand()
	for k, n := range c.demand {
		if c.now.Sub(n.at) > 60e9 {
			delete(c.demand, k)
		}
	}
}

// wish is a key that wants one more replica.
type wish struct {
	m     fleetplan.Model
	live  int
	bare  bool
	value int
}

// placeAll places what is wished for, the most urgent first, within room and the store's budget.
func (c *Core) placeAll() {
	budget, rate := c.budget()
	for _, s := range c.servers {
		for _, k := range generic.SortedKeys(s.spots) {
			p := s.spots[k]
			if s.dark && p.stage == Ordered && p.num == 0 {
				delete(s.spots, k) // it cannot be sent now; another server may take it
			} else if p.stage == Ordered && (!s.dark || c.now.Sub(p.since) < 60e9) {
				budget-- // a dark server may still be loading, for a while
			}
		}
		if !s.known && !s.dark && s.State == "live" && c.now.Sub(s.first) < 10e9 {
			budget-- // what it may be loading is not known yet
		}
	}
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		for _, k := range generic.SortedKeys(s.spots) {
			if _, ok := c.plan.Models[k]; !ok && !k.Plain() && s.spots[k].stage == Ready && s.known && !s.dark {
				c.evict(s, s.spots[k])
			}
		}
	}
	budget = min(budget, rate)
	if c.o.Unfenced {
		c.weighAll(rate)
		return
	}
	c.beatShifts()
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

func (c *Core) live(k ident.Key) (n int, slots int, zones map[ident.Zone]bool) {
	zones = map[ident.Zone]bool{}
	for _, s := range c.servers {
		if p := s.spots[k]; p != nil && (p.stage == Ordered || p.stage == Ready) && c.stays(s) {
			n++
			slots += s.slots
			zones[s.Zone] = true
		}
	}
	return n, slots, zones
}

// wants tells how many replicas a key should have.
func (c *Core) wantsOf(m fleetplan.Model) (need, live, value int) {
	live, slots, _ := c.live(m.Key)
	need = m.Floor
	d := c.demand[m.Key]
	if d != nil && c.now.Sub(d.at) < 3e9 {
		value = d.value
		need = max(need, 1)
		b := 0
		for _, l := range c.links {
			u := l.burden[m.Key]
			b += u.Wait + u.Work
		}
		if live > 0 && 4*b > 3*slots {
			need = max(need, live+1)
		}
	}
	if c.shifts[m.Key] != nil {
		need = max(need, live) // both are kept until the new one can do without the old
	} else if need == 0 && live == 0 && c.parting(m.Key) {
		need = 1
	}
	return min(need, m.Most), live, value
}

func (c *Core) wishes() []wish {
	var l []wish
	for _, k := range generic.SortedKeys(c.plan.Models) {
		m := c.plan.Models[k]
		need, live, value := c.wantsOf(m)
		if live < need {
			l = append(l, wish{m, live, live == 0, value})
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
		return !a.m.Key.IsAdapter() && b.m.Key.IsAdapter()
	})
	return l
}

// place orders one load for a wish, or makes room for it; it tells whether a load was ordered.
func (c *Core) place(w wish) bool {
	k := w.m.Key
	if k.IsAdapter() {
		if n, _, _ := c.live(k.Base()); n == 0 {
			base := c.plan.Models[k.Base()]
			return c.place(wish{m: base, bare: true, value: w.value})
		}
	}
	_, _, zones := c.live(k)
	var best *server
	score := 0
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.mayHold(s, k) || s.loading() > 0 {
			continue
		}
		free := s.room - s.used()
		if free < w.m.Size {
			continue
		}
		n := 1000 * (free + 1) / (s.room + 1) // the emptiest for its size
		if !zones[s.Zone] {
			n += 1_000_000
		}
		if best == nil || n > score {
			best, score = s, n
		}
	}
	if best == nil {
		c.clearRoom(w)
		return false
	}
	best.spots[k] = &spot{key: k, size: w.m.Size, stage: Ordered, since: c.now}
	return true
}

func (c *Core) mayHold(s *server, k ident.Key) bool {
	if !c.stays(s) || s.spots[k] != nil || s.odd != "" {
		return false
	}
	if s.plain || s.alien || s.Service != k.Service() {
		return false
	}
	if k.IsAdapter() {
		b := s.spots[k.Base()]
		return b != nil && b.stage == Ready && (s.places == 0 || s.adapters() < s.places)
	}
	return true
}

// clearRoom evicts what is least missed on the server where that suffices with least.
func (c *Core) clearRoom(w wish) {
	if !w.bare {
		return // a further replica is not worth another key's only one
	}
	var best []*spot
	var on *server
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.mayHold(s, w.m.Key) {
			continue
		}
		free := s.room - s.used()
		for _, p := range s.spots {
			if p.stage == Breaking || p.stage == Draining || p.stage == Unloading {
				free += p.size
			}
		}
		if free >= w.m.Size {
			return // room is on its way here already
		}
		l := c.idle(s, w)
		n := 0
		for n < len(l) && free < w.m.Size {
			free += l[n].size
			n++
		}
		if free >= w.m.Size && (on == nil || n < len(best)) {
			best, on = l[:n], s
		}
	}
	for _, p := range best {
		c.evict(on, p)
	}
}

// idle lists what may be evicted from a server, least missed first: adapters before bases.
func (c *Core) idle(s *server, w wish) []*spot {
	var l []*spot
	free := map[ident.Key]bool{}
	may := func(p *spot) bool {
		m := c.plan.Models[p.key]
		need, live, value := c.wantsOf(m)
		if p.key == w.m.Key.Base() || p.stage != Ready || c.now.Sub(p.ready) < c.o.Rest || p.work > 0 || c.now.Sub(p.busy) < c.o.Lull {
			return false
		}
		if live > need {
			return true
		}
		// Even a key that is asked for gives way to one that is worth more and has no replica.
		return live > m.Floor && value < w.value
	}
	keys := generic.SortedKeys(s.spots)
	for _, k := range keys {
		if p := s.spots[k]; k.IsAdapter() && may(p) {
			free[k] = true
			l = append(l, p)
		}
	}
	for _, k := range keys {
		p := s.spots[k]
		if k.IsAdapter() || !may(p) {
			continue
		}
		bare := true
		for _, a := range keys {
			if a.IsAdapter() && a.Base() == k && !free[a] {
				bare = false
			}
		}
		if bare {
			l = append(l, p)
		}
	}
	sort.SliceStable(l, func(i, j int) bool {
		if l[i].key.IsAdapter() != l[j].key.IsAdapter() {
			return l[i].key.IsAdapter()
		}
		return l[i].busy < l[j].busy
	})
	return l
}
