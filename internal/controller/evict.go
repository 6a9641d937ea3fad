package controller

import (
	"tidedeck/internal/generic"
)

// Taking a key off a server: every router drops its promise, work under way ends, the unload is sent.

// evict begins to take a key off a server: first every router drops its promise.
func (c *Core) evict(s *server, p *spot) {
	if c.o.Unfenced && !p.key.IsAdapter() {
		for _, k := range generic.SortedKeys(s.spots) {
			if k != p.key && k.Base() == p.key {
				c.evict(s, s.spots[k]) // they go with their base
			}
		}
	}
	if !p.fire(Evict, c.now) {
		return
	}
	c.touch(p.key)
	p.waits = c.promised(p.key)
}

// drainSpan is how long what was sent to a server may begin there before a model is unloaded.
const drainSpan = 800e6

// beatSpot carries on what leaves a server.
func (c *Core) beatSpot(s *server, p *spot) {
	quiet := c.now > c.duty.began.Add(c.pad(c.o.Hold))
	switch p.stage {
	case Breaking:
		// Promises that the owner before gave are unknown here: they must have run out first.
		if quiet && c.dropped(p.waits) {
			p.fire(Dropped, c.now)
		}
	case Draining:
		if c.drained(s, p) {
			p.fire(Idle, c.now)
			p.num = 0
			c.tally.Drained++
		}
	}
}

// drained tells whether a server's work on a spot has ended. Where it checks a fence, only a report that was
// asked for after the last promise was gone shows that.
func (c *Core) drained(s *server, p *spot) bool {
	if c.o.Unfenced {
		return c.free(s, p) && !c.undone(s, p) && (c.now.Sub(p.since) > drainSpan || !c.worked(p.key))
	}
	return s.ok > p.since && p.work == 0 && !c.adapted(s, p)
}

// adapted tells whether a base still carries adapters that must go first.
func (c *Core) adapted(s *server, p *spot) bool {
	for k := range s.spots {
		if k != p.key && k.Base() == p.key {
			return true
		}
	}
	return false
}

// undone tells whether adapters on a base may still be promised to routers.
func (c *Core) undone(s *server, p *spot) bool {
	for k, a := range s.spots {
		if k == p.key || k.Base() != p.key || a.stage == Draining || a.stage == Unloading {
			continue
		}
		if a.stage == Ordered && a.num == 0 {
			c.removeSpot(s, k) // it was never ordered, and is not any more
			continue
		}
		return true
	}
	return false
}

// free tells whether a spot's own unload is due: an adapter whose base goes too leaves with it.
func (c *Core) free(s *server, p *spot) bool {
	if !p.key.IsAdapter() {
		return true
	}
	b := s.spots[p.key.Base()]
	return b == nil || b.stage == Ready || b.stage == Ordered
}
