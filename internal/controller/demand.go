package controller

import (
	"math"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/workload"
)

// Demand is what routers report about each key: requests that wait, request rates and the resulting work,
// averaged over several time spans.

const (
	demandRetention = 60e9  // entries that no router has reported for this long are deleted
	lookupGrace     = 400e6 // two renewal intervals: by then a renewal includes the request that caused a lookup

	rateInterval        = 250e6 // interval between rate updates; equals the report interval of routers
	maxRateInterval     = 2.0   // upper bound in seconds for the interval of one update, which matters after a pause
	currentTimeConstant = 1.2   // seconds, for the current load
	recentTimeConstant  = 4.0   // seconds, for the recent rate and load
	longTimeConstant    = 20.0  // seconds, for the long-term rate
	trendWeight         = 0.5   // share of a rise in load that is expected to continue
	maxWaitAge          = 3.0   // seconds of waiting beyond which the age no longer counts
)

// keyDemand is the demand for one key.
type keyDemand struct {
	reportedAt   clock.Instant // time of the last report from any router
	lookupAt     clock.Instant // time of the last lookup that reported more waiting requests than all renewals did
	waitingSince clock.Instant // since when at least one request waits; zero if none does
	waiting      int           // waiting requests at all routers
	value        int           // highest value among the waiting requests

	arrivals     float64 // requests since the last rate update
	workSeconds  float64 // seconds of server time that these requests take
	rate         float64 // requests per second, recent average
	longTermRate float64 // requests per second, long-term average
	load         float64 // servers' worth of work, recent average
	currentLoad  float64 // servers' worth of work, current average
}

// reportWaiting records how many requests wait for a key at one router, and the highest value among them.
func (c *Core) reportWaiting(k ident.Key, wait, value int) {
	if c.plan == nil {
		return
	}
	if _, ok := c.plan.Models[k]; !ok {
		return
	}
	n := c.demand[k]
	if n == nil {
		n = &keyDemand{}
		c.demand[k] = n
	}
	if wait == 0 && n.waiting == 0 {
		n.reportedAt = c.now // still no request waits
		return
	}
	c.countVisits(1)
	c.workload.Expire(c.now.Add(-freshness))
	n.report(c.now, wait, value, c.workload.Waiting(k))
}

// report combines the report of one router with the sum over the renewals of all routers. A lookup reports a
// request before the next renewal of its router includes it. For lookupGrace, renewals of other routers
// therefore don't reset the count.
func (n *keyDemand) report(now clock.Instant, wait, value int, renewed workload.Waiting) {
	stale := now.Sub(n.reportedAt) > freshness
	switch {
	case wait > renewed.Requests:
		n.lookupAt, n.waiting, n.value = now, wait, max(value, renewed.Value)
	case renewed.Requests > 0 || now.Sub(n.lookupAt) > lookupGrace:
		n.waiting, n.value = renewed.Requests, renewed.Value
	}
	if n.waiting == 0 || stale {
		n.waitingSince = 0
	}
	if n.waiting > 0 && n.waitingSince == 0 {
		n.waitingSince = now
	}
	n.reportedAt = now
}

// waitAge returns how many seconds requests have waited for a key, at most maxWaitAge.
func (n *keyDemand) waitAge(now clock.Instant) float64 {
	if n.waitingSince == 0 {
		return 0
	}
	return math.Min(now.Sub(n.waitingSince).Seconds(), maxWaitAge)
}

// expireDemand deletes keys that no router has reported for demandRetention.
func (c *Core) expireDemand() {
	for key, n := range c.demand {
		if c.now.Sub(n.reportedAt) > demandRetention {
			delete(c.demand, key)
		}
	}
}

// recordArrivals adds the requests that a router received since its last renewal.
func (c *Core) recordArrivals(k ident.Key, keyLoad protocol.KeyLoad) {
	if c.demandSince == 0 && keyLoad.Arrived > 0 {
		c.demandSince = c.now
	}
	if n := c.demand[k]; n != nil {
		n.arrivals += float64(keyLoad.Arrived)
		n.workSeconds += keyLoad.ServerSeconds
	}
}

// updateRates converts the recorded arrivals into averaged rates.
func (c *Core) updateRates() {
	d := c.now.Sub(c.lastRateUpdate)
	if d < rateInterval {
		return
	}
	c.lastRateUpdate = c.now
	t := math.Min(d.Seconds(), maxRateInterval)
	late, slow := 1-math.Exp(-t/recentTimeConstant), 1-math.Exp(-t/longTimeConstant)
	for _, n := range c.demand {
		n.rate += (n.arrivals/t - n.rate) * late
		n.longTermRate += (n.arrivals/t - n.longTermRate) * slow
		n.load += (n.workSeconds/t - n.load) * late
		n.currentLoad += (n.workSeconds/t - n.currentLoad) * (1 - math.Exp(-t/currentTimeConstant))
		n.arrivals, n.workSeconds = 0, 0
	}
}

// forecastLoad predicts the load of a key at the time when a load that starts now completes. A rising load is
// extrapolated by trendWeight; a falling load follows the slower average.
func (n *keyDemand) forecastLoad() float64 {
	return math.Max(n.load, n.currentLoad+(n.currentLoad-n.load)*trendWeight)
}

// updateTokensInProgress replaces what a router reported as running at each server.
func (c *Core) updateTokensInProgress(l *link, seats map[ident.Server]int) {
	for s, n := range l.tokensInProgress {
		if c.tokensInProgress[s] -= n; c.tokensInProgress[s] <= 0 {
			delete(c.tokensInProgress, s)
		}
	}
	for s, n := range seats {
		c.tokensInProgress[s] += n
	}
	l.tokensInProgress = seats
}

// tokensInProgressFor returns, for the servers in a router's entries, the tokens that all routers have in progress.
func (c *Core) tokensInProgressFor(l *link) map[ident.Server]int {
	if !c.o.Unfenced {
		return nil
	}
	m := map[ident.Server]int{}
	for k := range l.callbacks {
		c.countVisits(1)
		if e := c.entries[k]; e != nil {
			for _, r := range e.replicas {
				if n := c.tokensInProgress[r.wire.Server]; n > 0 {
					m[r.wire.Server] = n
				}
			}
		}
	}
	return m
}

// hasRunningRequests reports whether routers have requests in progress for a base or any of its adapters.
func (c *Core) hasRunningRequests(k ident.Key) bool { return c.workload.OfBase(k.Base()).Running > 0 }
