package controller

import "tidedeck/internal/clock"

// The store that weights are loaded from bears so many loads at once, and so many in every while.

// budget tells how many loads the store bears at once, and how many more may begin now: it admits so
// many in every while.
func (c *Core) budget() (once, now int) {
	if !c.o.Unfenced {
		return c.plan.Loads, c.plan.Loads
	}
	rate, load, n := 0.0, clock.Span(0), 0
	for _, v := range c.plan.Services {
		rate += v.Loads
	}
	for _, m := range c.plan.Models {
		if !m.Key.IsAdapter() {
			load += m.Load
			n++
		}
	}
	for len(c.begun) > 0 && c.now.Sub(c.begun[0]) > c.o.Rate {
		c.begun = c.begun[1:]
	}
	most := int(rate*c.o.Rate.Seconds()) + 1
	left := most - len(c.begun)
	if c.now.Sub(c.duty.began) < c.o.Rate {
		left = min(left, 3) // what the owner before began is not known: rates allow so many more at once
	}
	at := c.plan.Loads
	if n > 0 {
		at = max(2, int(rate*(load/clock.Span(n)).Seconds()+0.5))
	}
	return at, left
}
