package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
)

// When a key that has no replica will have one, as routers are told.

// orderLag is the time from an order's end until routers know of it.
const orderLag = 400e6

// soon estimates when a key without a replica will have one: the load under way, or its turn in the
// line for the store. It is zero where that is not known.
func (c *Core) soon(key ident.Key) clock.Span {
	if !c.o.Unfenced || c.plan == nil || key.Plain() {
		return 0
	}
	m, ok := c.plan.Models[key.Base()]
	if !ok {
		return 0
	}
	if left, ok := c.underWayTo(m); ok {
		return left
	}
	return m.Load + 2*orderLag + c.turnOf(m)
}

// underWayTo tells how long the nearest replica of a base will take, if one is ordered or ready.
func (c *Core) underWayTo(m fleetplan.Model) (least clock.Span, ok bool) {
	for _, s := range c.holding(m.Key) {
		c.visit(1)
		p := s.spots[m.Key]
		if p == nil || !p.placed() || !c.stays(s) {
			continue
		}
		left := clock.Span(orderLag)
		if p.stage == Ordered {
			left += max(0, c.loadSpan(s, m)-c.now.Sub(p.since))
			if p.num == 0 {
				left += orderLag
			}
		}
		if !ok || left < least {
			least, ok = left, true
		}
	}
	return least, ok
}

// turnOf tells how long the store takes for what is before a base in its line.
func (c *Core) turnOf(m fleetplan.Model) clock.Span {
	rate, turn := c.storeRate(), c.line[m.Key]
	if turn == 0 || rate <= 0 {
		return 0
	}
	return clock.Span(float64(turn-1) / rate * 1e9)
}
