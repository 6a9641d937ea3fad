package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
)

// Estimates of when a key without a replica will have one, for the answers to routers.

// notifyDelay is the time from the completion of an order until routers know the result.
const notifyDelay = 400e6

// estimateReady estimates the time until a key without a replica has one, from the load in progress or from
// the key's position in the queue for the store. It returns zero if this is unknown.
func (c *Core) estimateReady(key ident.Key) clock.Span {
	if !c.o.Unfenced || c.plan == nil || key.IsWholeService() {
		return 0
	}
	m, ok := c.plan.Models[key.Base()]
	if !ok {
		return 0
	}
	if left, ok := c.remainingLoadTime(m); ok {
		return left
	}
	return m.LoadTime + 2*notifyDelay + c.storeQueueWait(m)
}

// remainingLoadTime returns the time until the first replica of a base is usable, if one is ordered or ready.
func (c *Core) remainingLoadTime(m fleetplan.Model) (least clock.Span, ok bool) {
	for _, s := range c.holdersOf(m.Key) {
		c.countVisits(1)
		p := s.replicas[m.Key]
		if p == nil || !p.placed() || !c.staysInService(s) {
			continue
		}
		left := clock.Span(notifyDelay)
		if p.stage == Ordered {
			left += max(0, c.loadDuration(s, m)-c.now.Sub(p.stageSince))
			if p.orderNum == 0 {
				left += notifyDelay
			}
		}
		if !ok || left < least {
			least, ok = left, true
		}
	}
	return least, ok
}

// storeQueueWait returns how long the store takes for the loads queued before that of a base.
func (c *Core) storeQueueWait(m fleetplan.Model) clock.Span {
	rate, position := c.storeRate(), c.loadQueue[m.Key]
	if position == 0 || rate <= 0 {
		return 0
	}
	return clock.Span(float64(position-1) / rate * 1e9)
}
