package controller

import (
	"fmt"
	"sort"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// shift is a move under way: the key is loaded at one server before it leaves the other.
type shift struct{ from, to ident.Server }

// stays tells whether what a server holds can be counted on for a while.
func (c *Core) stays(s *server) bool {
	return c.open(s) && !c.soonZ[s.Zone] && !c.soonS[s.ID]
}

// parting tells whether a key that had work lately is only held where it cannot stay: it is
// loaded elsewhere before it is asked for again.
func (c *Core) parting(k ident.Key) bool {
	for _, s := range c.servers {
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
	to.spots[k] = &spot{key: k, size: c.sizeOf(k), stage: Ordered, since: c.now}
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
	live, _, zones := c.live(p.key)
	if live >= m.Most {
		return false // for a while there would be one too many
	}
	return len(zones) == 1 || s.Zone == to.Zone || !zones[to.Zone]
}

// spread finds a key with a floor of two or more that one zone's loss would leave without any
// replica, and a server of another zone that has the room for it.
func (c *Core) spread() (ident.Key, *server, *server) {
	for _, k := range generic.SortedKeys(c.plan.Models) {
		m := c.plan.Models[k]
		live, _, zones := c.live(k)
		if m.Floor < 2 || live < 2 || len(zones) > 1 {
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

// lacks tells operators what of the plan the servers cannot give.
func (c *Core) lacks() (l []fleetplan.Fault) {
	if c.plan == nil || !c.settled() {
		return nil
	}
	room, need, most, servers := 0, 0, 0, 0
	all := map[ident.Zone]bool{}
	for _, s := range c.servers {
		if c.stays(s) {
			room += s.room
			most = max(most, s.room)
			servers++
			all[s.Zone] = true
		}
	}
	path := func(k ident.Key) string {
		if k.IsAdapter() {
			return "$.adapters." + string(k)[len(k.Base())+1:]
		}
		return "$.models." + string(k)
	}
	for _, k := range generic.SortedKeys(c.plan.Models) {
		m := c.plan.Models[k]
		need += m.Floor * m.Size
		live, _, zones := c.live(k)
		switch {
		case m.Floor > servers:
			l = append(l, fleetplan.Fault{Path: path(k) + ".floor", Why: fmt.Sprintf("%d replicas, but %d servers", m.Floor, servers)})
		case m.Size > most:
			l = append(l, fleetplan.Fault{Path: path(k) + ".size", Why: fmt.Sprintf("%d, but no server has more room than %d", m.Size, most)})
		case live < m.Floor:
			l = append(l, fleetplan.Fault{Path: path(k) + ".floor", Why: fmt.Sprintf("%d of %d replicas are there", live, m.Floor)})
		case m.Floor > 1 && len(zones) < 2 && len(all) > 1:
			l = append(l, fleetplan.Fault{Path: path(k) + ".floor", Why: "every replica is in one zone"})
		}
	}
	if need > room {
		l = append(l, fleetplan.Fault{Path: "$", Why: fmt.Sprintf("floors come to %d, but all room to %d", need, room)})
	}
	return l
}

// sizeOf tells the size that the plan gives a key, if it knows it.
func (c *Core) sizeOf(k ident.Key) int {
	if c.plan == nil {
		return 0
	}
	if m, ok := c.plan.Models[k]; ok || !c.o.Unfenced {
		return m.Size
	}
	most := 0 // what no plan names may be as large as anything that it names
	for x, m := range c.plan.Models {
		if x.IsAdapter() == k.IsAdapter() && x.Service() == k.Service() {
			most = max(most, m.Size)
		}
	}
	return most
}

// mostSize is past any size, room or number of slots that there is.
const mostSize = 1 << 30

// oddity finds what in a report contradicts itself. Numbers past any bound are no numbers.
func oddity(r protocol.Report) string {
	if r.Room < 0 || r.Room > mostSize || r.Slots < 1 || r.Slots > mostSize {
		return fmt.Sprintf("room %d, slots %d", r.Room, r.Slots)
	}
	sum := 0
	seen := map[ident.Key]bool{}
	l := append([]protocol.Held{}, r.Held...)
	sort.Slice(l, func(i, j int) bool { return l[i].Key < l[j].Key })
	for _, h := range l {
		switch {
		case h.Key == "":
			return "a key without a name"
		case seen[h.Key]:
			return fmt.Sprintf("%s twice", h.Key)
		case h.Size < 1 || h.Size > mostSize:
			return fmt.Sprintf("%s of size %d", h.Key, h.Size)
		case h.Active < 0 || h.AgeMs < 0:
			return fmt.Sprintf("%s with %d under way for %d ms", h.Key, h.Active, h.AgeMs)
		case h.Stage != "loading" && h.Stage != "ready":
			return fmt.Sprintf("%s at stage %q", h.Key, h.Stage)
		}
		seen[h.Key] = true
		if sum += h.Size; sum > r.Room {
			return fmt.Sprintf("%d held in a room of %d", sum, r.Room)
		}
	}
	return ""
}
