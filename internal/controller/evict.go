package controller

import (
	"tidedeck/internal/generic"
)

// Eviction removes a key from a server in three steps: routers give up their callbacks, running requests end,
// and the server receives the unload order.

// evict starts the eviction of a replica by breaking the callbacks of routers.
func (c *Core) evict(s *server, p *modelReplica) {
	if c.o.Unfenced && !p.key.IsAdapter() {
		for _, k := range generic.SortedKeys(s.replicas) {
			if k != p.key && k.Base() == p.key {
				c.evict(s, s.replicas[k]) // adapters are evicted together with their base
			}
		}
	}
	if !p.fire(Evict, c.now) {
		return
	}
	c.refreshEntry(p.key)
	p.unackedBreaks = c.pendingBreaks(p.key)
}

// drainDelay is how long a request that was already sent to a server may take to start there. A model is not
// unloaded earlier.
const drainDelay = 800e6

// advanceEviction moves a replica that is being evicted to its next stage when the conditions are met.
func (c *Core) advanceEviction(s *server, p *modelReplica) {
	quiet := c.now > c.leadership.begunAt.Add(c.withDrift(c.o.RouterLease))
	switch p.stage {
	case Breaking:
		// Callbacks granted by the previous leader are unknown to this node, so their leases must have expired
		// first.
		if quiet && c.allAcked(p.unackedBreaks) {
			p.fire(CallbacksReleased, c.now)
		}
	case Draining:
		if c.drained(s, p) {
			p.fire(WorkEnded, c.now)
			p.orderNum = 0
			c.tally.Drained++
		}
	}
}

// drained reports whether all requests for a replica have ended. With servers that check a fencing token, only
// a report that was requested after the last callback was given up proves this.
func (c *Core) drained(s *server, p *modelReplica) bool {
	if c.o.Unfenced {
		return c.unloadsSeparately(s, p) && !c.adaptersRemain(s, p) && (c.now.Sub(p.stageSince) > drainDelay || !c.hasRunningRequests(p.key))
	}
	return s.reportedAt > p.stageSince && p.running == 0 && !c.hasAdapters(s, p)
}

// hasAdapters reports whether a base still carries adapters, which must be removed first.
func (c *Core) hasAdapters(s *server, p *modelReplica) bool {
	for k := range s.replicas {
		if k != p.key && k.Base() == p.key {
			return true
		}
	}
	return false
}

// adaptersRemain reports whether routers may still hold callbacks for adapters on a base.
func (c *Core) adaptersRemain(s *server, p *modelReplica) bool {
	for k, a := range s.replicas {
		if k == p.key || k.Base() != p.key || a.stage == Draining || a.stage == Unloading {
			continue
		}
		if a.stage == Ordered && a.orderNum == 0 {
			c.removeReplica(s, k) // its load was never ordered and is no longer needed
			continue
		}
		return true
	}
	return false
}

// unloadsSeparately reports whether a replica needs its own unload order. An adapter whose base is evicted too
// is removed with the base.
func (c *Core) unloadsSeparately(s *server, p *modelReplica) bool {
	if !p.key.IsAdapter() {
		return true
	}
	b := s.replicas[p.key.Base()]
	return b == nil || b.stage == Ready || b.stage == Ordered
}
