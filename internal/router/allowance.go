package router

// The allowance bounds retries, so that they stay a small part of what servers get when many requests fail.

// pay takes one retry out of the allowance, which first goes fill.
func (c *Core) pay() bool {
	sum, left := 0.0, 1.0
	c.lapse()
	for _, x := range c.bank {
		sum += x.n
	}
	if sum < 1 {
		return c.borrow()
	}
	for i := range c.bank {
		n := min(left, c.bank[i].n)
		c.bank[i].n -= n
		left -= n
	}
	return true
}

// borrow takes one of the arrivals that the fleet is lent whatever it earned; this router has its share.
func (c *Core) borrow() bool {
	for len(c.lent) > 0 && c.now.Sub(c.lent[0]) > c.o.Window {
		c.lent = c.lent[1:]
	}
	if float64(len(c.lent)+1) > c.o.Lend/float64(max(1, c.routers)) {
		return false
	}
	c.lent = append(c.lent, c.now)
	return true
}

// earn adds what a first go earns, which does not last.
func (c *Core) earn() {
	if n := len(c.bank); n == 0 || c.now.Sub(c.bank[n-1].at) > c.o.Save/20 {
		c.bank = append(c.bank, coin{at: c.now})
	}
	c.bank[len(c.bank)-1].n += c.o.Share
	c.lapse()
}

// lapse lets go of what was earned too long ago.
func (c *Core) lapse() {
	for len(c.bank) > 0 && c.now.Sub(c.bank[0].at) > c.o.Save {
		c.bank = c.bank[1:]
	}
}
