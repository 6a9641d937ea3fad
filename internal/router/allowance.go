package router

import "tidedeck/internal/clock"

// The retry budget bounds retries, so that they remain a small fraction of the requests that the servers of a service
// receive when many requests fail. Each service has its own budget: credit earned by requests for one service must not
// pay for retries at another, which may receive far fewer requests.

// retryBudget is the retry budget of one service.
type retryBudget struct {
	credits     []retryCredit   // credit earned by first attempts, oldest first
	marginSpent []clock.Instant // times at which retries were paid from the margin
}

// retryBudget returns the budget of a service and creates it if necessary.
func (c *Core) retryBudget(service string) *retryBudget {
	b := c.retryBudgets[service]
	if b == nil {
		b = &retryBudget{}
		c.retryBudgets[service] = b
	}
	return b
}

// spend pays for one retry from a service's budget and reports whether the budget sufficed. It uses the credit earned
// by first attempts and, if that is insufficient, the margin.
func (c *Core) spend(service string) bool {
	b := c.retryBudget(service)
	sum, left := 0.0, 1.0
	c.expire(b)
	for _, credit := range b.credits {
		sum += credit.amount
	}
	if sum < 1 {
		return c.spendMargin(service)
	}
	for i := range b.credits {
		n := min(left, b.credits[i].amount)
		b.credits[i].amount -= n
		left -= n
	}
	return true
}

// spendMargin pays for one retry from this router's share of the margin, which is independent of earned credit. It
// reports whether the share sufficed.
func (c *Core) spendMargin(service string) bool {
	b := c.retryBudget(service)
	for len(b.marginSpent) > 0 && c.now.Sub(b.marginSpent[0]) > c.o.RetryWindow {
		b.marginSpent = b.marginSpent[1:]
	}
	if float64(len(b.marginSpent)+1) > c.margin()/float64(c.routersInWindow()) {
		return false
	}
	b.marginSpent = append(b.marginSpent, c.now)
	return true
}

// routerCount is an earlier number of routers, and until when it held.
type routerCount struct {
	routers int
	until   clock.Instant
}

// setRouters records the number of routers that share the margin.
func (c *Core) setRouters(routers int) {
	if routers < c.routers {
		c.earlierRouters = append(c.earlierRouters, routerCount{c.routers, c.now})
	}
	c.routers = routers
}

// routersInWindow returns the largest number of routers within the retry window. Those that have gone may have spent
// their share in it.
func (c *Core) routersInWindow() int {
	for len(c.earlierRouters) > 0 && c.now.Sub(c.earlierRouters[0].until) > c.o.RetryWindow {
		c.earlierRouters = c.earlierRouters[1:]
	}
	most := max(1, c.routers)
	for _, earlier := range c.earlierRouters {
		most = max(most, earlier.routers)
	}
	return most
}

// margin returns the number of retries per service and window that the whole fleet may send without earned credit. A
// restarted router does not know how much of its share its earlier processes used. During its first window it
// therefore uses a separate margin that grows with its running time, so that all its processes together never exceed
// the sum of both margins in any window, however often it restarts.
func (c *Core) margin() float64 {
	age := c.now.Sub(c.startedAt)
	if !c.o.Restarted || age > c.o.RetryWindow {
		return c.o.RetryMargin
	}
	return c.o.RestartRetryMargin * age.Seconds() / c.o.RetryWindow.Seconds()
}

// earn adds the retry credit of one first attempt at a service.
func (c *Core) earn(service string) {
	b := c.retryBudget(service)
	if n := len(b.credits); n == 0 || c.now.Sub(b.credits[n-1].at) > c.o.RetryCreditTTL/20 {
		b.credits = append(b.credits, retryCredit{at: c.now})
	}
	b.credits[len(b.credits)-1].amount += c.o.RetryFraction
	c.expire(b)
}

// expire removes credit that has reached its maximum age.
func (c *Core) expire(b *retryBudget) {
	for len(b.credits) > 0 && c.now.Sub(b.credits[0].at) > c.o.RetryCreditTTL {
		b.credits = b.credits[1:]
	}
}
