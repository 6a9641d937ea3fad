package controller

import (
	"fmt"
	"hash/fnv"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Entries are what routers are told of a key: the replicas that may be sent to. A router that was told
// holds a callback; when the entry changes, callbacks are broken before anything else follows from it.

// entry is what the routers are told of a key.
type entry struct {
	mark     ident.Mark
	never    bool // no server could hold it, even if it held nothing else
	replicas []replica
}

// replica is one server in an entry, as routers are told it, and its spot.
type replica struct {
	rep  protocol.Replica
	spot *spot
}

// entryOf gives a key's entry, which is kept from the first time on.
func (c *Core) entryOf(k ident.Key) *entry {
	if e := c.entries[k]; e != nil {
		return e
	}
	e := &entry{}
	c.entries[k] = e
	c.fill(k, e)
	return e
}

// fill makes an entry of what the servers hold: the same replicas make the same mark.
func (c *Core) fill(k ident.Key, e *entry) {
	e.replicas = nil
	h := fnv.New64a()
	for _, s := range c.holding(k) {
		c.visit(1)
		p := s.spotOf(k)
		if p == nil || p.stage != Ready || !c.open(s) {
			continue
		}
		r := protocol.Replica{Server: s.ID, Addr: s.Addr, Zone: s.Zone, Inc: s.inc, Slots: s.slots}
		e.replicas = append(e.replicas, replica{r, p})
		fmt.Fprintf(h, "%s|%s|%d|%d;", r.Server, r.Addr, r.Inc, r.Slots)
	}
	e.never = len(e.replicas) == 0 && c.plan != nil && c.settled() && !c.fits(k)
	if e.never {
		fmt.Fprint(h, "never")
	}
	e.mark = ident.Mark(h.Sum64())
}

// fits tells whether some server that is offered has the room for a key at all.
func (c *Core) fits(k ident.Key) bool {
	if k.Plain() {
		_, planned := c.plan.Services[k.Service()]
		return planned // its servers may come at any moment
	}
	m, ok := c.plan.Models[k]
	if !ok {
		return false
	}
	size := m.Size
	if k.IsAdapter() {
		size += c.plan.Models[k.Base()].Size
	}
	for _, s := range c.servers {
		// One that is dark, or has not reported yet, may be back at once.
		if c.meant(s) && (s.room >= size || !s.known) {
			return true
		}
	}
	return false
}

// touch makes a key's entry anew and, if it changed, breaks every callback on it at once.
func (c *Core) touch(k ident.Key) {
	e := c.entries[k]
	if e == nil {
		return
	}
	was, old := e.mark, e.replicas
	c.fill(k, e)
	switch {
	case e.mark == was:
	case c.o.Unfenced && !e.never && covers(e.replicas, old):
		c.extendAll(k, e)
	default:
		c.breakAll(k, e)
	}
}

// covers tells whether one list of replicas has all that another has: then the other is not wrong, only
// short.
func covers(l, old []replica) bool {
	if len(l) == 0 {
		return false
	}
	has := map[ident.Server]protocol.Replica{}
	for _, r := range l {
		has[r.rep.Server] = r.rep
	}
	for _, r := range old {
		if has[r.rep.Server] != r.rep {
			return false
		}
	}
	return true
}

// touchAll makes every entry anew.
func (c *Core) touchAll() {
	for _, k := range generic.SortedKeys(c.entries) {
		c.touch(k)
	}
}

// touchOn makes the entries of all that a server holds anew, and the one that it is in by itself.
func (c *Core) touchOn(s *server) {
	if s.whole != nil {
		c.touch(s.whole.key)
	}
	for _, k := range generic.SortedKeys(s.spots) {
		c.touch(k)
	}
}
