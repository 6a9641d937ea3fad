package controller

import (
	"math"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// How long servers take for a token of a prompt, by base. Each router sees few requests of a base, and most of what it
// sees has waited behind others; the shortest time that any router has seen is what a token takes by itself.

const (
	paceRise   = 0.01 // a second, by which a pace that is not met again is forgotten
	paceChange = 0.05 // by which a pace must differ before routers are told anew
)

// pace is a base's, as last seen at its best.
type pace struct {
	ns float64
	at clock.Tick
}

// now is the pace with what is forgotten of it by now.
func (p pace) now(now clock.Tick) float64 { return p.ns * (1 + paceRise*now.Sub(p.at).Seconds()) }

// heardPaces takes in the shortest times that a router has seen.
func (c *Core) heardPaces(seen map[ident.Key]float64) {
	for base, ns := range seen {
		if !(ns > 0) || math.IsInf(ns, 1) || c.plan == nil {
			continue
		}
		if _, planned := c.plan.Models[base]; !planned {
			continue
		}
		if was, ok := c.paces[base]; !ok || ns < was.now(c.now) {
			c.paces[base] = pace{ns, c.now}
		}
	}
}

// pacesFor gives what a router is to be told of the bases that it uses, as far as that has changed; nothing if it has not.
func (c *Core) pacesFor(l *link) *protocol.Paces {
	var told *protocol.Paces
	if slowest := c.slowestPace(); differs(l.slowest, slowest) {
		l.slowest = slowest
		told = &protocol.Paces{}
	}
	for key := range l.holds { // in any order: each base is told by itself
		base := key.Base()
		p, ok := c.paces[base]
		if !ok || !differs(l.paces[base], p.now(c.now)) {
			continue
		}
		if told == nil {
			told = &protocol.Paces{}
		}
		if told.Bases == nil {
			told.Bases = map[ident.Key]float64{}
		}
		if l.paces == nil {
			l.paces = map[ident.Key]float64{}
		}
		l.paces[base] = p.now(c.now)
		told.Bases[base] = l.paces[base]
	}
	if told != nil {
		told.Slowest = l.slowest
	}
	return told
}

// slowestPace is the longest time that a token takes of any base, found anew with the sums of demand.
func (c *Core) slowestPace() float64 {
	if c.slowestAt != c.summed || c.slowest == 0 {
		c.slowestAt, c.slowest = c.summed, 0
		for _, p := range c.paces {
			c.slowest = max(c.slowest, p.now(c.now))
		}
	}
	return c.slowest
}

// differs tells whether a pace is worth telling to who knows another one.
func differs(known, is float64) bool { return math.Abs(is-known) > paceChange*known }
