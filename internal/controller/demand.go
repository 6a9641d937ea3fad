package controller

import (
	"math"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/workload"
)

// Demand is what routers report of the keys that they are asked for: requests that wait, rates, and the
// work that they come to, each over several spans.

const (
	demandSpan  = 60e9  // a key's demand is kept for so long after it was last asked for
	renewalSpan = 400e6 // within which a router's renewal shows what its lookup told: two of its intervals

	sumEvery  = 250e6 // rates are summed so often: a router reports as often
	sumMost   = 2.0   // seconds that one sum stands for at most, after a pause
	nowSpan   = 1.2   // seconds that the work of just now looks back
	lateSpan  = 4.0   // and that of late
	slowSpan  = 20.0  // and the longer ones
	riseTrust = 0.5   // of a rise that is taken to go on
	longAge   = 3.0   // seconds of waiting from which on it counts for no more
)

// need is what is asked of a key.
type need struct {
	at     clock.Tick // when a router asked for it last
	lookup clock.Tick // when a lookup told last of requests that no renewal had shown
	since  clock.Tick // since when somebody waits
	wait   int        // requests that wait, at all routers
	value  int        // the highest value among them

	came float64 // requests since the last sum
	took float64 // seconds of a server's time that they take
	rate float64 // requests a second, of late
	slow float64 // and over a longer while
	load float64 // servers' worth of work, of late
	now  float64 // and just now
}

// wanted takes in how many requests wait for a key at one router, and the highest value among them.
func (c *Core) wanted(k ident.Key, wait, value int) {
	if c.plan == nil {
		return
	}
	if _, ok := c.plan.Models[k]; !ok {
		return
	}
	n := c.demand[k]
	if n == nil {
		n = &need{}
		c.demand[k] = n
	}
	if wait == 0 && n.wait == 0 {
		n.at = c.now // nobody waits, as before
		return
	}
	c.visit(1)
	c.workload.Expire(c.now.Add(-freshSpan))
	n.report(c.now, wait, value, c.workload.Waiting(k))
}

// report takes in one router's report beside what the renewals of all come to. A lookup tells of a request
// before its router's next renewal does, so that until then no other router's renewal takes it back.
func (n *need) report(now clock.Tick, wait, value int, renewed workload.Waiting) {
	stale := now.Sub(n.at) > freshSpan
	switch {
	case wait > renewed.Requests:
		n.lookup, n.wait, n.value = now, wait, max(value, renewed.Value)
	case renewed.Requests > 0 || now.Sub(n.lookup) > renewalSpan:
		n.wait, n.value = renewed.Requests, renewed.Value
	}
	if n.wait == 0 || stale {
		n.since = 0
	}
	if n.wait > 0 && n.since == 0 {
		n.since = now
	}
	n.at = now
}

// age is how many seconds somebody has waited for a key, as far as they count.
func (n *need) age(now clock.Tick) float64 {
	if n.since == 0 {
		return 0
	}
	return math.Min(now.Sub(n.since).Seconds(), longAge)
}

// forgetDemand forgets the keys that nobody has asked for in a while.
func (c *Core) forgetDemand() {
	for key, n := range c.demand {
		if c.now.Sub(n.at) > demandSpan {
			delete(c.demand, key)
		}
	}
}

// came takes in what a router was asked for since its last renewal.
func (c *Core) came(k ident.Key, u protocol.Burden) {
	if c.asked == 0 && u.Came > 0 {
		c.asked = c.now
	}
	if n := c.demand[k]; n != nil {
		n.came += float64(u.Came)
		n.took += u.Load
	}
}

// sumDemand turns what came into rates.
func (c *Core) sumDemand() {
	d := c.now.Sub(c.summed)
	if d < sumEvery {
		return
	}
	c.summed = c.now
	t := math.Min(d.Seconds(), sumMost)
	late, slow := 1-math.Exp(-t/lateSpan), 1-math.Exp(-t/slowSpan)
	for _, n := range c.demand {
		n.rate += (n.came/t - n.rate) * late
		n.slow += (n.came/t - n.slow) * slow
		n.load += (n.took/t - n.load) * late
		n.now += (n.took/t - n.now) * (1 - math.Exp(-t/nowSpan))
		n.came, n.took = 0, 0
	}
}

// coming forecasts a key's work by when a load that begins now is done: what rises goes on rising for
// a while, what falls is trusted to fall more slowly.
func (n *need) coming() float64 { return math.Max(n.load, n.now+(n.now-n.load)*riseTrust) }

// count takes in what a link's router has under way at servers, in place of what it had.
func (c *Core) count(l *link, seats map[ident.Server]int) {
	for s, n := range l.seats {
		if c.seats[s] -= n; c.seats[s] <= 0 {
			delete(c.seats, s)
		}
	}
	for s, n := range seats {
		c.seats[s] += n
	}
	l.seats = seats
}

// seatsOf tells what all routers have under way at the servers that a link's entries name.
func (c *Core) seatsOf(l *link) map[ident.Server]int {
	if !c.o.Unfenced {
		return nil
	}
	m := map[ident.Server]int{}
	for k := range l.holds {
		c.visit(1)
		if e := c.entries[k]; e != nil {
			for _, r := range e.replicas {
				if n := c.seats[r.rep.Server]; n > 0 {
					m[r.rep.Server] = n
				}
			}
		}
	}
	return m
}

// worked tells whether routers have requests under way for a base or an adapter on it.
func (c *Core) worked(k ident.Key) bool { return c.workload.OfBase(k.Base()).Running > 0 }
