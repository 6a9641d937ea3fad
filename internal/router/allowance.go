package router

// The allowance bounds retries, so that they stay a small part of what servers get when many requests fail.

// pay takes one retry out of the allowance, which first attempts fill.
func (c *Core) pay() bool {
	sum, left := 0.0, 1.0
	c.lapse()
	for _, x := range c.earnings {
		sum += x.n
	}
	if sum < 1 {
		return c.borrow()
	}
	for i := range c.earnings {
		n := min(left, c.earnings[i].n)
		c.earnings[i].n -= n
		left -= n
	}
	return true
}

// borrow takes one of the arrivals that the fleet is lent whatever it earned; this router has its share.
func (c *Core) borrow() bool {
	for len(c.loans) > 0 && c.now.Sub(c.loans[0]) > c.o.Window {
		c.loans = c.loans[1:]
	}
	if float64(len(c.loans)+1) > c.lent()/float64(max(1, c.routers)) {
		return false
	}
	c.loans = append(c.loans, c.now)
	return true
}

// lent gives what the fleet is lent in a window. How much of it the earlier lives of a router that has started again took is
// not known any more: for a window such a router is lent from another sum, which grows with the time that it has run. So all
// of its lives together never take more than both sums in any window, however often it starts again.
func (c *Core) lent() float64 {
	age := c.now.Sub(c.began)
	if !c.o.Restarted || age > c.o.Window {
		return c.o.Lend
	}
	return c.o.LendAgain * age.Seconds() / c.o.Window.Seconds()
}

// earn adds what a first attempt earns, which does not last.
func (c *Core) earn() {
	if n := len(c.earnings); n == 0 || c.now.Sub(c.earnings[n-1].at) > c.o.Save/20 {
		c.earnings = append(c.earnings, earning{at: c.now})
	}
	c.earnings[len(c.earnings)-1].n += c.o.Share
	c.lapse()
}

// lapse forgets what was earned too long ago.
func (c *Core) lapse() {
	for len(c.earnings) > 0 && c.now.Sub(c.earnings[0].at) > c.o.Save {
		c.earnings = c.earnings[1:]
	}
}
