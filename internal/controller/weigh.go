package controller

import (
	"math"
	"sort"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
)

// Placement by cost, for unfenced servers: the value of a key on a server is the cost of being without it
// there. Busy bases get as many replicas as their load requires. The remaining room holds as many different
// keys as fit, and evictions choose the keys that are missed least until they could be loaded again.

const (
	placementInterval = clock.Span(20e6) // loads take seconds, so shorter intervals bring no benefit
	// pausePerVisit is the pause of placement for each server or replica that the last run examined. It leaves
	// most of the leader's time to leases, acknowledgements and departing servers, whatever the size of the
	// fleet.
	pausePerVisit = clock.Span(12e3)
	// pauseBehind is the least pause of placement while the leader is behind with its work.
	pauseBehind       = clock.Span(500e6)
	prefetchInterval  = 300e6 // interval between two loads ahead of demand
	prefetchMinBudget = 2     // loads that the store must have free before one of them is used ahead of demand
	reservedDivisor   = 3     // one in so many of the store's concurrent loads is reserved for bases without a replica

	freshness = 1500e6 // replicas younger than this are not evicted, and demand older than this is outdated
)

// Costs of a server as the place of one more replica, in equivalent seconds of waiting.
const (
	pendingOrderCost = 1.5 // for each order that the server has to execute first
	serverLoadCost   = 4.0 // for each server's worth of load on it
	sameZoneCost     = 0.2 // if the zone already has a replica
	evictionCost     = 0.5 // if replicas must be evicted, in addition to their own cost
)

// placeByCost runs placement if its pause is over.
func (c *Core) placeByCost() {
	if c.now.Sub(c.lastPlacement) < c.placementPause || c.lag.isBehind() && c.now.Sub(c.lastPlacement) < pauseBehind {
		return
	}
	before := c.tally.Visits
	c.lastPlacement = c.now
	c.cancelUnreachableLoads()
	c.evictUnplanned()
	c.runPlacement(c.loadBudget())
	c.placementPause = max(placementInterval, clock.Span(c.tally.Visits-before)*pausePerVisit)
}

// runPlacement performs one run of placement. The store supports atOnce concurrent loads, of which toBegin may
// start now.
func (c *Core) runPlacement(atOnce, toBegin int) {
	l := c.newPlacementPass()
	left := c.remainingStoreLoads(atOnce, toBegin)
	for _, s := range c.serverIndex.sorted {
		c.cancelExcessLoads(s)
	}
	short := l.families.lackingReplicas(c.bases().keys)
	c.loadQueue = map[ident.Key]int{}
	for _, f := range short {
		if c.placeReplica(f, l, left > reservedLoads(f, atOnce)) {
			left--
		}
		if f.live == 0 {
			c.loadQueue[f.model.Key] = len(c.loadQueue) + 1
		}
	}
	if c.o.Preload && len(short) == 0 && left >= prefetchMinBudget {
		c.prefetch(l)
	}
	c.placeAdapters(l)
}

// reservedLoads returns how many of the store's concurrent loads a family must leave to others. Bases without
// a replica for which requests wait may use all of them; other loads leave a share to those bases.
func reservedLoads(f *family, atOnce int) int {
	if f.live == 0 && f.waiting > 0 {
		return 0
	}
	return atOnce / reservedDivisor
}

// remainingStoreLoads returns how many more loads the store supports in addition to those already ordered.
func (c *Core) remainingStoreLoads(atOnce, toBegin int) int {
	for _, s := range c.servers {
		c.countVisits(len(s.replicas))
		for key, p := range s.replicas {
			if p.stage != Ordered || key.IsAdapter() || c.hasOnDisk(s, key) || !c.loadMayBeRunning(s, p) {
				continue
			}
			atOnce--
			if p.orderNum == 0 {
				toBegin-- // its order will be sent soon
			}
		}
	}
	return min(atOnce, toBegin)
}

// lackingReplicas lists the families that have too few replicas, highest gain first.
func (l families) lackingReplicas(bases []ident.Key) []*family {
	var short []*family
	for _, key := range bases {
		if f := l[key]; f.live < f.wanted {
			short = append(short, f)
		}
	}
	sort.SliceStable(short, func(i, j int) bool {
		a, b := short[i], short[j]
		if x, y := a.gain(), b.gain(); x != y {
			return x > y
		}
		return a.value > b.value
	})
	return short
}

// cancelExcessLoads cancels loads that were not ordered yet on a server that has no room for them while no
// eviction is in progress.
func (c *Core) cancelExcessLoads(s *server) {
	crowd := s.places > 0 && s.adapters() > s.places
	if s.plain || s.free() >= 0 && !crowd || !s.known {
		return
	}
	for _, p := range s.replicas {
		if p.leaving() {
			return
		}
	}
	for key, p := range s.replicas {
		if p.stage == Ordered && p.orderNum == 0 {
			c.removeReplica(s, key)
		}
	}
}

// prefetch loads a model that no server has on its own disk while the store is idle. From a server's disk,
// later loads take less time and do not use the store.
func (c *Core) prefetch(l *placementPass) {
	if c.now.Sub(c.lastPrefetch) < prefetchInterval {
		return
	}
	c.lastPrefetch = c.now
	for _, key := range c.bases().keys {
		f := l.families[key]
		if f.live == 0 && !c.onSomeDisk(key) {
			f.prefetch = true
			c.placeReplica(f, l, true)
			return
		}
	}
}

// onSomeDisk reports whether some server probably has a model on its own disk.
func (c *Core) onSomeDisk(key ident.Key) bool {
	for id := range c.disks[key] {
		if c.servers[id] != nil {
			return true
		}
	}
	return false
}

// placeReplica starts a load of a family on the server where it costs least, and evicts what must leave first.
// The store is used only if allowStore is set. It reports whether the load comes from the store.
func (c *Core) placeReplica(f *family, l *placementPass, allowStore bool) bool {
	var best *loadTarget
	var evictions evictionPlan
	least := math.Inf(1)
	zones := c.replicasOf(f.model.Key).zones
	for _, p := range l.targetsFor(f, allowStore) {
		c.countVisits(1)
		candidate, ok := l.planEvictions(p, f)
		if !ok {
			continue
		}
		cost := c.placementCost(p, f, zones[p.server.Zone])
		if candidate.count > 0 {
			cost += candidate.cost + evictionCost
		}
		if cost < least {
			best, evictions, least = p, candidate, cost
		}
	}
	if best == nil {
		return false
	}
	l.beginEvictions(best, evictions)
	c.startLoad(best.server, f.model)
	f.live++
	l.invalidateHolders(f.model.Key, best.server)
	return !c.hasOnDisk(best.server, f.model.Key)
}

// placementCost returns the cost of a server as the place of one more replica.
func (c *Core) placementCost(p *loadTarget, f *family, sameZone bool) float64 {
	cost := c.loadDuration(p.server, f.model).Seconds()
	cost += float64(p.pending) * pendingOrderCost
	cost += serverLoadCost * p.load
	if sameZone {
		cost += sameZoneCost
	}
	return cost
}
