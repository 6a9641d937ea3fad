package controller

import (
	"fmt"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Moves keep servers evenly filled and spread floors over zones. A key is loaded at one server before it
// leaves the other.

// shift is a move under way: the key is loaded at one server before it leaves the other.
type shift struct{ from, to ident.Server }

// parting tells whether a key that had work lately is only held where it cannot stay: it is
// loaded elsewhere before it is asked for again.
func (c *Core) parting(k ident.Key) bool {
	for _, s := range c.holding(k) {
		if p := s.spots[k]; p != nil && s.known && !c.stays(s) && p.busy != 0 && c.now.Sub(p.busy) < c.o.Recent {
			return true
		}
	}
	return false
}

// beatShifts carries moves on: once the new replica is ready the old one's promises are broken,
// and a move whose target or source is gone is over.
func (c *Core) beatShifts() {
	for _, k := range generic.SortedKeys(c.shifts) {
		m := c.shifts[k]
		var a, b *spot
		s, t := c.servers[m.from], c.servers[m.to]
		if s != nil {
			a = s.spots[k]
		}
		if t != nil {
			b = t.spots[k]
		}
		switch {
		case a == nil || b == nil || a.stage != Ready || !c.stays(t):
			delete(c.shifts, k)
		case b.stage == Ready && c.now.Sub(b.ready) > c.o.Rest:
			delete(c.shifts, k) // the new one is warm
			c.tally.Evened++
			c.evict(s, a)
		}
	}
}

// even begins at most one move, when the servers have been unevenly filled for a while or a key
// with a floor has all its replicas in one zone. On a steady day neither comes about.
func (c *Core) even() {
	if len(c.shifts) > 0 || c.now.Sub(c.shifted) < c.o.Even {
		return
	}
	if k, from, to := c.spread(); from != nil {
		c.shift(k, from, to)
		return
	}
	full, free := c.ends()
	if full == nil || fill(full)-fill(free) <= c.o.Gap {
		c.uneven = 0
		return
	}
	if c.uneven == 0 {
		c.uneven = c.now
	}
	if c.now.Sub(c.uneven) < c.o.Even {
		return
	}
	// What the other end can take, most worked at first, and not so large that it tips the scales.
	var best *spot
	for _, k := range generic.SortedKeys(full.spots) {
		p := full.spots[k]
		if !c.movable(full, p, free) || float64(p.size)/float64(full.room)+float64(p.size)/float64(free.room) > fill(full)-fill(free) {
			continue
		}
		if best == nil || p.work > best.work || p.work == best.work && p.size > best.size {
			best = p
		}
	}
	if best != nil {
		c.shift(best.key, full, free)
	}
}

func (c *Core) shift(k ident.Key, from, to *server) {
	c.shifts[k], c.shifted, c.uneven = &shift{from.ID, to.ID}, c.now, 0
	c.putSpot(to, &spot{key: k, size: c.sizeOf(k), stage: Ordered, since: c.now})
	c.tally.Moves++
	c.note(fmt.Sprintf("%s moves from %s to %s", k, from.ID, to.ID))
}

// fill tells how much of a server's room is taken.
func fill(s *server) float64 { return float64(s.used()) / float64(max(1, s.room)) }

// ends finds the fullest and the emptiest of the servers that stay.
func (c *Core) ends() (full, free *server) {
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.stays(s) || s.odd != "" || s.room <= 0 {
			continue
		}
		if full == nil || fill(s) > fill(full) {
			full = s
		}
		if free == nil || fill(s) < fill(free) {
			free = s
		}
	}
	if full == free {
		return nil, nil
	}
	return full, free
}

// movable tells whether a spot may go from one server to another: nothing else rests on it, the
// other has the room, and no zone loses the key that needs it.
func (c *Core) movable(s *server, p *spot, to *server) bool {
	m, ok := c.plan.Models[p.key]
	if !ok || p.stage != Ready || c.adapted(s, p) || c.now.Sub(p.ready) < 2*c.o.Rest || !c.mayHold(to, p.key) || to.loading() > 0 || to.room-to.used() < m.Size {
		return false
	}
	has := c.replicasOf(p.key)
	if has.count >= m.Most {
		return false // for a while there would be one too many
	}
	return len(has.zones) == 1 || s.Zone == to.Zone || !has.zones[to.Zone]
}

// spread finds a key with a floor of two or more that one zone's loss would leave without any
// replica, and a server of another zone that has the room for it.
func (c *Core) spread() (ident.Key, *server, *server) {
	for _, k := range generic.SortedKeys(c.plan.Models) {
		m := c.plan.Models[k]
		has := c.replicasOf(k)
		if m.Floor < 2 || has.count < 2 || len(has.zones) > 1 {
			continue
		}
		for _, id := range generic.SortedKeys(c.servers) {
			s := c.servers[id]
			p := s.spots[k]
			if p == nil {
				continue
			}
			for _, to := range generic.SortedKeys(c.servers) {
				if t := c.servers[to]; t.Zone != s.Zone && c.movable(s, p, t) {
					return k, s, t
				}
			}
		}
	}
	return "", nil, nil
}
