package controller

// Limits on loads from the weight store: how many may run at once, and how many may begin within Options.RateWindow.

const (
	minConcurrentLoads = 2 // concurrent loads that any store allows
	// The new leader does not know which loads its predecessor began. The store's rate limit allows this many more at
	// once; those of all passes together are bounded by the rate alone.
	newTermLoads = 3 // loads that a new leader may begin in each pass of placement within its first Options.RateWindow
)

// storeRate returns how many loads per second the store admits.
func (c *Core) storeRate() float64 {
	rate := 0.0
	for _, service := range c.plan.Services {
		rate += service.LoadRate
	}
	return rate
}

// loadBudget returns how many loads the store allows at once, and how many more may begin now.
func (c *Core) loadBudget() (atOnce, toBegin int) {
	if !c.o.Unfenced {
		return c.plan.ConcurrentLoads, c.plan.ConcurrentLoads
	}
	rate := c.storeRate()
	return c.concurrentLoads(rate), c.loadsToBegin(rate)
}

// concurrentLoads returns how many loads run at once if loads begin at the given rate per second.
func (c *Core) concurrentLoads(rate float64) int {
	bases := c.bases()
	if len(bases.keys) == 0 {
		return c.plan.ConcurrentLoads
	}
	return max(minConcurrentLoads, int(rate*bases.meanLoad.Seconds()+0.5))
}

// loadsToBegin returns how many more loads may begin now within the store's rate limit.
func (c *Core) loadsToBegin(rate float64) int {
	for len(c.loadStarts) > 0 && c.now.Sub(c.loadStarts[0]) > c.o.RateWindow {
		c.loadStarts = c.loadStarts[1:]
	}
	left := int(rate*c.o.RateWindow.Seconds()) + 1 - len(c.loadStarts)
	if c.now.Sub(c.leadership.begunAt) < c.o.RateWindow {
		left = min(left, newTermLoads)
	}
	return left
}
