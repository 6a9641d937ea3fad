package controller

import (
	"sort"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// On servers that check a fencing token, a key without any replica may take the room of other keys: of idle
// replicas, of surplus replicas, or of keys with a lower value.

// makeRoom evicts replicas for a request on the server where the fewest evictions free enough room.
func (c *Core) makeRoom(req placementRequest) {
	if !req.noReplica {
		return // a further replica does not justify evicting the only replica of another key
	}
	var victims []*modelReplica
	var target *server
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.mayHold(s, req.model.Key) {
			continue
		}
		free := s.free() + s.leaving()
		if free >= req.model.Size {
			return // evictions under way already free enough room here
		}
		idle := c.evictableFor(s, req)
		n := 0
		for n < len(idle) && free < req.model.Size {
			free += idle[n].size
			n++
		}
		if free >= req.model.Size && (target == nil || n < len(victims)) {
			victims, target = idle[:n], s
		}
	}
	for _, p := range victims {
		c.evict(target, p)
	}
}

// evictableFor lists the replicas on a server that may be evicted for a request, least recently used first.
// Adapters come before bases, and a base is listed only if all of its adapters may be evicted.
func (c *Core) evictableFor(s *server, req placementRequest) []*modelReplica {
	keys := generic.SortedKeys(s.replicas)
	free := map[ident.Key]bool{}
	var l []*modelReplica
	for _, key := range keys {
		if p := s.replicas[key]; key.IsAdapter() && c.mayEvict(p, req) {
			free[key] = true
			l = append(l, p)
		}
	}
	for _, key := range keys {
		if p := s.replicas[key]; !key.IsAdapter() && c.mayEvict(p, req) && allEvictable(s, key, free) {
			l = append(l, p)
		}
	}
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.key.IsAdapter() != b.key.IsAdapter() {
			return a.key.IsAdapter()
		}
		return a.lastActive < b.lastActive
	})
	return l
}

// allEvictable reports whether every adapter on a base may be evicted.
func allEvictable(s *server, base ident.Key, free map[ident.Key]bool) bool {
	for key := range s.replicas {
		if key.IsAdapter() && key.Base() == base && !free[key] {
			return false
		}
	}
	return true
}

// idle reports whether a replica has been ready for at least MinResidence and has had no work for at least
// EvictableAfter.
func (c *Core) idle(p *modelReplica) bool {
	return p.stage == Ready && c.now.Sub(p.readySince) >= c.o.MinResidence && p.running == 0 && c.now.Sub(p.lastActive) >= c.o.EvictableAfter
}

// mayEvict reports whether a replica may be evicted for a request: it is idle, and its key either has more
// replicas than required or has a lower value.
func (c *Core) mayEvict(p *modelReplica, req placementRequest) bool {
	if p.key == req.model.Key.Base() || !c.idle(p) {
		return false
	}
	m := c.plan.Models[p.key]
	r := c.requirementOf(m)
	if r.live > r.wanted {
		return true
	}
	// A requested key, too, loses a replica above its floor to a key that has a higher value and no replica.
	return r.live > m.MinReplicas && r.value < req.value
}
