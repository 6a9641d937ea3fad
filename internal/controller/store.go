package controller

// The store that weights are loaded from bears so many loads at once, and so many in every while.

const (
	minConcurrentLoads = 2 // loads at once that every store bears
	newTermLoads       = 3 // loads that a new owner may begin before it knows what the owner before began: the store's rate allows so many more at once
)

// storeRate is how many loads a second the store admits.
func (c *Core) storeRate() float64 {
	rate := 0.0
	for _, service := range c.plan.Services {
		rate += service.Loads
	}
	return rate
}

// budget tells how many loads the store bears at once, and how many more may begin now.
func (c *Core) budget() (atOnce, toBegin int) {
	if !c.o.Unfenced {
		return c.plan.Loads, c.plan.Loads
	}
	rate := c.storeRate()
	return c.concurrentLoads(rate), c.loadsToBegin(rate)
}

// loadsAtOnce tells how many loads are under way at once where so many begin in a second.
func (c *Core) concurrentLoads(rate float64) int {
	bases := c.bases()
	if len(bases.keys) == 0 {
		return c.plan.Loads
	}
	return max(minConcurrentLoads, int(rate*bases.load.Seconds()+0.5))
}

// loadsToBegin tells how many more loads may begin now: the store admits so many in every while.
func (c *Core) loadsToBegin(rate float64) int {
	for len(c.begun) > 0 && c.now.Sub(c.begun[0]) > c.o.Rate {
		c.begun = c.begun[1:]
	}
	left := int(rate*c.o.Rate.Seconds()) + 1 - len(c.begun)
	if c.now.Sub(c.duty.began) < c.o.Rate {
		left = min(left, newTermLoads)
	}
	return left
}
