package controller

import (
	"sort"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Where servers check a fence, a key without any replica may take the room of others: of those that are
// idle, have more replicas than they should, or are worth less.

// clearRoom evicts what is least missed on the server where that suffices with least.
func (c *Core) clearRoom(w wish) {
	if !w.bare {
		return // a further replica is not worth another key's only one
	}
	var best []*spot
	var on *server
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.mayHold(s, w.model.Key) {
			continue
		}
		free := s.free() + s.leaving()
		if free >= w.model.Size {
			return // room is on its way here already
		}
		idle := c.evictable(s, w)
		n := 0
		for n < len(idle) && free < w.model.Size {
			free += idle[n].size
			n++
		}
		if free >= w.model.Size && (on == nil || n < len(best)) {
			best, on = idle[:n], s
		}
	}
	for _, p := range best {
		c.evict(on, p)
	}
}

// evictable lists what may be evicted from a server for a wish, least missed first: adapters before bases,
// and no base under an adapter that stays.
func (c *Core) evictable(s *server, w wish) []*spot {
	keys := generic.SortedKeys(s.spots)
	free := map[ident.Key]bool{}
	var l []*spot
	for _, key := range keys {
		if p := s.spots[key]; key.IsAdapter() && c.mayEvict(p, w) {
			free[key] = true
			l = append(l, p)
		}
	}
	for _, key := range keys {
		if p := s.spots[key]; !key.IsAdapter() && c.mayEvict(p, w) && allFree(s, key, free) {
			l = append(l, p)
		}
	}
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.key.IsAdapter() != b.key.IsAdapter() {
			return a.key.IsAdapter()
		}
		return a.busy < b.busy
	})
	return l
}

// allFree tells whether every adapter on a base may be evicted.
func allFree(s *server, base ident.Key, free map[ident.Key]bool) bool {
	for key := range s.spots {
		if key.IsAdapter() && key.Base() == base && !free[key] {
			return false
		}
	}
	return true
}

// idle tells whether a spot has been ready for a while, and without work of late.
func (c *Core) idle(p *spot) bool {
	return p.stage == Ready && c.now.Sub(p.ready) >= c.o.Rest && p.work == 0 && c.now.Sub(p.busy) >= c.o.Lull
}

// mayEvict tells whether a spot may make way for a wish: it is idle and can be spared, or is worth less.
func (c *Core) mayEvict(p *spot, w wish) bool {
	if p.key == w.model.Key.Base() || !c.idle(p) {
		return false
	}
	m := c.plan.Models[p.key]
	r := c.requirementOf(m)
	if r.live > r.wanted {
		return true
	}
	// Even a key that is asked for gives way to one that is worth more and has no replica.
	return r.live > m.Floor && r.value < w.value
}
