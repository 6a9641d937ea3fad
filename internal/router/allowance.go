package router

import "tidedeck/internal/clock"

// The allowance bounds retries, so that they stay a small part of what the servers of a service get when many requests fail.
// Each service has its own: what requests for one earned pays no retry at another, which may have far fewer.

// allowance is what retries at the servers of one service may take.
type allowance struct {
	earnings []earning    // what first attempts earned, oldest first
	loans    []clock.Tick // when what is lent was taken
}

// allowance gives that of a service.
func (c *Core) allowance(service string) *allowance {
	a := c.allowances[service]
	if a == nil {
		a = &allowance{}
		c.allowances[service] = a
	}
	return a
}

// pay takes one retry out of a service's allowance, which first attempts fill.
func (c *Core) pay(service string) bool {
	a := c.allowance(service)
	sum, left := 0.0, 1.0
	c.lapse(a)
	for _, x := range a.earnings {
		sum += x.n
	}
	if sum < 1 {
		return c.borrow(service)
	}
	for i := range a.earnings {
		n := min(left, a.earnings[i].n)
		a.earnings[i].n -= n
		left -= n
	}
	return true
}

// borrow takes one of the arrivals that the fleet is lent at a service whatever it earned; this router has its share.
func (c *Core) borrow(service string) bool {
	a := c.allowance(service)
	for len(a.loans) > 0 && c.now.Sub(a.loans[0]) > c.o.Window {
		a.loans = a.loans[1:]
	}
	if float64(len(a.loans)+1) > c.lent()/float64(max(1, c.routers)) {
		return false
	}
	a.loans = append(a.loans, c.now)
	return true
}

// lent gives what the fleet is lent at a service in a window. How much of it the earlier lives of a router that has started again
// took is not known any more: for a window such a router is lent from another sum, which grows with the time that it has run. So
// all of its lives together never take more than both sums in any window, however often it starts again.
func (c *Core) lent() float64 {
	age := c.now.Sub(c.began)
	if !c.o.Restarted || age > c.o.Window {
		return c.o.Lend
	}
	return c.o.LendAgain * age.Seconds() / c.o.Window.Seconds()
}

// earn adds what a first attempt at a service earns, which does not last.
func (c *Core) earn(service string) {
	a := c.allowance(service)
	if n := len(a.earnings); n == 0 || c.now.Sub(a.earnings[n-1].at) > c.o.Save/20 {
		a.earnings = append(a.earnings, earning{at: c.now})
	}
	a.earnings[len(a.earnings)-1].n += c.o.Share
	c.lapse(a)
}

// lapse forgets what was earned too long ago.
func (c *Core) lapse(a *allowance) {
	for len(a.earnings) > 0 && c.now.Sub(a.earnings[0].at) > c.o.Save {
		a.earnings = a.earnings[1:]
	}
}
