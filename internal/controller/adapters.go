package controller

import (
	"math"
	"slices"

	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Placement of adapters. An adapter loads quickly on a replica of its base model, but a server has few places for
// adapters.

const (
	crowdedTokens = 6000 // active tokens at a server above which other servers are preferred

	// Costs of a server as the place for an adapter, relative to crowdedTokens active tokens as 1.
	adapterOrderCost  = 0.3 // for each order that the server has to complete first
	adapterEvictCost  = 0.3 // for evicting another adapter, in addition to the rate of requests for that one
	maxReliefFraction = 0.5 // highest cost of a further replica, as a fraction of the cost of the present one
)

// placeAdapters loads requested adapters on replicas of their base models.
func (c *Core) placeAdapters(l *placementPass) {
	for _, key := range c.requestedAdapters() {
		n, m := c.demand[key], c.plan.Models[key]
		f := &family{model: m, live: c.replicasOf(key).count, load: n.load, rate: n.rate, waiting: n.waiting, age: n.waitAge(c.now), value: n.value, rank: c.plan.Rank(n.value)}
		f.wanted = max(1, min(int(math.Ceil(f.load/targetLoad)), m.MaxReplicas))
		most := math.Inf(1)
		if f.live >= f.wanted {
			// If its servers are crowded and another replica of its base model isn't, the adapter is loaded there too.
			least := c.leastTokens(key)
			if least < crowdedTokens || f.live >= m.MaxReplicas {
				continue
			}
			most = float64(least) / crowdedTokens * maxReliefFraction
		}
		c.placeAdapter(f, l, most)
	}
}

// requestedAdapters lists the adapters of the plan with recent requests.
func (c *Core) requestedAdapters() (l []ident.Key) {
	for key, n := range c.demand {
		if c.now.Sub(n.reportedAt) > freshness || !key.IsAdapter() {
			continue
		}
		if _, planned := c.plan.Models[key]; planned {
			l = append(l, key)
		}
	}
	slices.Sort(l)
	return l
}

// leastTokens returns the number of active tokens at the least crowded server that holds an adapter.
func (c *Core) leastTokens(key ident.Key) int {
	least := math.MaxInt
	for _, s := range c.holdersOf(key) {
		c.countVisits(1)
		if c.staysInService(s) {
			least = min(least, c.tokensInProgress[s.ID])
		}
	}
	return least
}

// placeAdapter loads an adapter on the replica of its base model with the lowest cost, if that is below most.
func (c *Core) placeAdapter(f *family, l *placementPass, most float64) {
	var best *server
	var out eviction
	least := most
	for _, s := range c.holdersOf(f.model.Key.Base()) {
		c.countVisits(1)
		if !c.staysInService(s) || s.foreignOrder || s.contradiction != "" || s.replicas[f.model.Key] != nil || !s.baseReady(f.model.Key) {
			continue
		}
		leaves, ok := c.roomForAdapter(s, f, l.families)
		if !ok {
			continue
		}
		cost := float64(c.tokensInProgress[s.ID])/crowdedTokens + adapterOrderCost*float64(s.pending()) + leaves.cost
		if cost < least {
			best, out, least = s, leaves, cost
		}
	}
	if best == nil {
		return
	}
	l.evictAll(best, out.replicas) // their room and places become free soon
	c.startLoad(best, f.model)
	l.invalidate(best)
}

// roomForAdapter finds what to evict from a server before it can load an adapter: another adapter or, if only room is
// short and the adapter has no replica elsewhere, replicas of base models.
func (c *Core) roomForAdapter(s *server, f *family, l families) (eviction, bool) {
	noPlace := s.places > 0 && s.adapters() >= s.places
	missing := f.model.Size - s.free()
	if !noPlace && missing <= 0 {
		return eviction{}, true
	}
	if p, rate := c.leastRequestedAdapter(s); p != nil {
		return eviction{[]*modelReplica{p}, adapterEvictCost + rate}, true
	}
	if noPlace || f.live > 0 || s.pending() > 0 {
		return eviction{}, false // orders in progress at the server come first
	}
	out, ok := c.planEviction(s, f, l, missing)
	ok = ok && out.cost <= f.gain()
	out.cost += evictionCost
	return out, ok
}

// leastRequestedAdapter finds the adapter of a server with the lowest request rate, and that rate. It considers adapters
// that have been ready for a while and for which no request waits.
func (c *Core) leastRequestedAdapter(s *server) (least *modelReplica, rate float64) {
	rate = math.Inf(1)
	for _, key := range generic.SortedKeys(s.replicas) {
		p := s.replicas[key]
		if !key.IsAdapter() || p.stage != Ready || c.now.Sub(p.readySince) < freshness {
			continue
		}
		slow := 0.0
		if n := c.demand[key]; n != nil {
			if n.waiting > 0 && c.now.Sub(n.reportedAt) < freshness {
				continue
			}
			slow = n.longTermRate
		}
		if slow < rate {
			least, rate = p, slow
		}
	}
	return least, rate
}
