package controller

// Limits on loads from the weight store: how many may run at once, and how many may begin within Options.RateWindow.

const (
	minConcurrentLoads = 2 // concurrent loads that any store allows
	// The new leader does not know which loads its predecessor began. The store's rate limit allows this many more
	// at once.
	newTermLoads = 3 // loads that a new leader may begin within its first Options.RateWindow
)

// storeRate returns how many loads per second the store admits.
func (c *Core) storeRate() float64 {
	rate := 0.0
	for _, service := range c.plan.Services {
		rate += service.Loads
	}
	return rate
}

// loadBudget returns how many loads the store allows at once, and how many more may begin now.
func (c *Core) budget() (atOnce, toBegin int) {
	if !c.o.Unfenced {
		return c.plan.Loads, c.plan.Loads
	}
	rate := c.storeRate()
	return c.concurrentLoads(rate), c.loadsToBegin(rate)
}

// concurrentLoads returns how many loads run at once if loads begin at the given rate per second.
func (c *Core) concurrentLoads(rate float64) int {
	bases := c.bases()
	if len(bases.keys) == 0 {
		return c.plan.Loads
	}
	return max(minConcurrentLoads, int(rate*bases.load.Seconds()+0.5))
}

// loadsToBegin returns how many more loads may begin now within the store's rate limit.
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
