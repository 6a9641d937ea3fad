package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
)

// When a key that has no replica will have one, as routers are told.

// orderLag is the time from an order's end until routers know of it.
const orderLag = 400e6

// soon estimates when a key without a replica will have one: the load under way, or its turn in the
// line for the store.
func (c *Core) soon(k ident.Key) clock.Span {
	if !c.o.Unfenced || c.plan == nil || k.Plain() {
		return 0
	}
	m, ok := c.plan.Models[k.Base()]
	if !ok {
		return 0
	}
	best := clock.Span(0)
	for _, s := range c.servers {
		p := s.spots[m.Key]
		if p == nil || !c.stays(s) {
			continue
		}
		n := clock.Span(orderLag)
		if p.stage == Ordered {
			load := m.Load
			if c.has(s, m.Key) {
				load = clock.Span(float64(load) * warmPart)
			}
			n += max(0, load-c.now.Sub(p.since))
			if p.num == 0 {
				n += orderLag
			}
		} else if p.stage != Ready {
			continue
		}
		if best == 0 || n < best {
			best = n
		}
	}
	if best > 0 {
		return best
	}
	rate := 0.0
	for _, v := range c.plan.Services {
		rate += v.Loads
	}
	n := m.Load + 2*orderLag
	if i := c.line[m.Key]; i > 0 && rate > 0 {
		n += clock.Span(float64(i-1) / rate * 1e9)
	}
	return n
}
