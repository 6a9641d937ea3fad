package controller

import (
	"math"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// The pace of a base is the time that a server takes for one token of a prompt. Each router sees few requests
// for a base, and most of them waited behind others. The shortest time that any router saw is therefore the
// best estimate.

const (
	paceDecayPerSecond  = 0.01 // growth per second of a pace that is not observed again
	paceChangeThreshold = 0.05 // relative change of a pace from which routers are updated
)

// tokenPace is the shortest observed time per token of a base.
type tokenPace struct {
	ns     float64
	seenAt clock.Instant
}

// decayed returns the pace, increased by its age.
func (p tokenPace) decayed(now clock.Instant) float64 {
	return p.ns * (1 + paceDecayPerSecond*now.Sub(p.seenAt).Seconds())
}

// recordTokenTimes records the shortest times that a router observed.
func (c *Core) recordTokenTimes(seen map[ident.Key]float64) {
	for base, ns := range seen {
		if !(ns > 0) || math.IsInf(ns, 1) || c.plan == nil {
			continue
		}
		if _, planned := c.plan.Models[base]; !planned {
			continue
		}
		if was, ok := c.tokenTimes[base]; !ok || ns < was.decayed(c.now) {
			c.tokenTimes[base] = tokenPace{ns, c.now}
		}
	}
}

// tokenTimesUpdate returns the token times of the bases that a router uses, as far as they changed since the
// last update. It returns nil if none changed.
func (c *Core) tokenTimesUpdate(l *link) *protocol.TokenTimes {
	var update *protocol.TokenTimes
	if slowest := c.slowestPace(); differsEnough(l.slowest, slowest) {
		l.slowest = slowest
		update = &protocol.TokenTimes{}
	}
	for key := range l.callbacks { // the order is irrelevant: each base is handled separately
		base := key.Base()
		p, ok := c.tokenTimes[base]
		if !ok || !differsEnough(l.tokenTimes[base], p.decayed(c.now)) {
			continue
		}
		if update == nil {
			update = &protocol.TokenTimes{}
		}
		if update.ByBase == nil {
			update.ByBase = map[ident.Key]float64{}
		}
		if l.tokenTimes == nil {
			l.tokenTimes = map[ident.Key]float64{}
		}
		l.tokenTimes[base] = p.decayed(c.now)
		update.ByBase[base] = l.tokenTimes[base]
	}
	if update != nil {
		update.Slowest = l.slowest
	}
	return update
}

// slowestPace returns the longest time per token among all bases. It is recomputed with each update of the
// demand rates.
func (c *Core) slowestPace() float64 {
	if c.slowestAt != c.lastRateUpdate || c.slowest == 0 {
		c.slowestAt, c.slowest = c.lastRateUpdate, 0
		for _, p := range c.tokenTimes {
			c.slowest = max(c.slowest, p.decayed(c.now))
		}
	}
	return c.slowest
}

// differsEnough reports whether a pace differs enough from the known one to be sent.
func differsEnough(known, current float64) bool {
	return math.Abs(current-known) > paceChangeThreshold*known
}
