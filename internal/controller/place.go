package controller

import (
	"slices"
	"sort"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// Placement on servers that check a fencing token: each key gets its floor, and at least one replica while it
// is requested. Replicas without recent work are evicted to make room.

const (
	entryRefreshInterval   = 500e6 // interval of the periodic recomputation of all entries
	recentRequestSpan      = 3e9   // a key that was requested within this time gets at least one replica
	maxUnreachableLoadTime = 60e9  // a server that stopped answering may still be loading for this long
	firstReportTimeout     = 10e9  // a new server without a report is assumed to load nothing after this time
	newZoneScore           = 1_000_000
	freeRoomScale          = 1000 // resolution of a server's share of free room in the score; less than newZoneScore
)

// tickPlacement runs the periodic work of placement on the leader.
func (c *Core) tickPlacement() {
	if !c.holdsLease() {
		return
	}
	c.updateWindows()
	c.refreshList()
	c.checkReach()
	for _, s := range slices.Clone(c.serverIndex.sorted) {
		c.tickServer(s)
	}
	if c.plan != nil && c.serversKnown() {
		c.updatePlacement()
	}
	if c.now.Sub(c.lastSweep) > entryRefreshInterval {
		c.lastSweep = c.now
		c.refreshAllEntries()
	}
	c.updateRates()
	c.expireDemand()
}

// updatePlacement adjusts what the servers hold to the plan and the demand.
func (c *Core) updatePlacement() {
	if c.o.Unfenced {
		c.placeByCost()
		return
	}
	atOnce, now := c.loadBudget()
	c.cancelUnreachableLoads()
	atOnce -= c.countPossibleLoads()
	c.evictUnplanned()
	c.advanceMoves()
	c.placeRequests(min(atOnce, now))
}

// cancelUnreachableLoads cancels loads whose order cannot be sent because the server does not answer, so that another
// server may load the key.
func (c *Core) cancelUnreachableLoads() {
	for _, s := range c.servers {
		for key, p := range s.replicas {
			if s.unreachable && p.stage == Ordered && p.orderNum == 0 {
				c.removeReplica(s, key)
			}
		}
	}
}

// countPossibleLoads counts the loads that may be in progress.
func (c *Core) countPossibleLoads() int {
	n := 0
	for _, s := range c.servers {
		c.countVisits(len(s.replicas))
		for _, p := range s.replicas {
			if p.stage == Ordered && c.loadMayBeRunning(s, p) {
				n++
			}
		}
		if !s.known && !s.unreachable && s.State == "live" && c.now.Sub(s.listedAt) < firstReportTimeout {
			n++ // whether this server is loading is not known yet
		}
	}
	return n
}

// loadMayBeRunning reports whether an ordered load may still be in progress; on an unreachable server it may be for
// maxUnreachableLoadTime.
func (c *Core) loadMayBeRunning(s *server, p *modelReplica) bool {
	return !s.unreachable || c.now.Sub(p.stageSince) < maxUnreachableLoadTime
}

// evictUnplanned evicts everything that the plan does not contain.
func (c *Core) evictUnplanned() {
	for _, s := range c.serverIndex.sorted {
		if !s.known || s.unreachable {
			continue
		}
		c.countVisits(len(s.replicas))
		for _, key := range c.unplannedOn(s) {
			if p := s.replicas[key]; p.stage == Ready {
				c.evict(s, p)
			}
		}
	}
}

// unplannedOn lists the keys on a server that the plan does not contain.
func (c *Core) unplannedOn(s *server) (unplanned []ident.Key) {
	for key := range s.replicas {
		if _, planned := c.plan.Models[key]; !planned {
			unplanned = append(unplanned, key)
		}
	}
	slices.Sort(unplanned)
	return unplanned
}

// replicaSet summarizes the usable replicas of a key.
type replicaSet struct {
	count int
	slots int // sum over the servers
	zones map[ident.Zone]bool
}

// replicasOf summarizes the replicas of a key that are ready or ordered, on servers that stay available.
func (c *Core) replicasOf(key ident.Key) replicaSet {
	set := replicaSet{zones: map[ident.Zone]bool{}}
	for _, s := range c.holdersOf(key) {
		c.countVisits(1)
		if p := s.replicas[key]; p != nil && p.placed() && c.staysInService(s) {
			set.count++
			set.slots += s.slots
			set.zones[s.Zone] = true
		}
	}
	return set
}

// requirement is how many replicas a key should have and how many it has.
type requirement struct {
	wanted int
	live   int
	value  int // highest value among the requests for the key
}

// requirementOf computes how many replicas a key should have.
func (c *Core) requirementOf(m fleetplan.Model) requirement {
	has := c.replicasOf(m.Key)
	r := requirement{wanted: m.MinReplicas, live: has.count}
	if n := c.demand[m.Key]; n != nil && c.now.Sub(n.reportedAt) < recentRequestSpan {
		r.value = n.value
		r.wanted = max(r.wanted, 1)
		// With more than three quarters of its slots in use, the key gets one more replica.
		if r.live > 0 && 4*c.underWay(m.Key) > 3*has.slots {
			r.wanted = max(r.wanted, r.live+1)
		}
	}
	if c.moves[m.Key] != nil {
		r.wanted = max(r.wanted, r.live) // during a move both replicas count, until the new one can replace the old one
	} else if r.wanted == 0 && r.live == 0 && c.losingReplicas(m.Key) {
		r.wanted = 1
	}
	r.wanted = min(r.wanted, m.MaxReplicas)
	return r
}

// underWay counts the waiting and running requests for a key at all routers.
func (c *Core) underWay(key ident.Key) int { return c.workload.Outstanding(key) }

// placementRequest is a key that needs one more replica.
type placementRequest struct {
	model     fleetplan.Model
	noReplica bool // the key has no replica
	value     int
}

// placementRequests lists the keys that need one more replica, most urgent first.
func (c *Core) placementRequests() []placementRequest {
	var l []placementRequest
	for _, key := range generic.SortedKeys(c.plan.Models) {
		m := c.plan.Models[key]
		if r := c.requirementOf(m); r.live < r.wanted {
			l = append(l, placementRequest{model: m, noReplica: r.live == 0, value: r.value})
		}
	}
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.noReplica != b.noReplica {
			return a.noReplica
		}
		if a.value != b.value {
			return a.value > b.value
		}
		return !a.model.Key.IsAdapter() && b.model.Key.IsAdapter()
	})
	return l
}

// placeRequests orders loads within the budget of the store. If no key needs a replica, a move may start
// instead.
func (c *Core) placeRequests(budget int) {
	requests := c.placementRequests()
	for _, req := range requests {
		if budget <= 0 {
			return
		}
		if c.placeOne(req) {
			budget--
		}
	}
	if len(requests) == 0 && budget > 0 {
		c.rebalance()
	} else {
		c.imbalancedSince = 0
	}
}

// placeOne orders one load for a request, or makes room for it. It reports whether a load was ordered.
func (c *Core) placeOne(req placementRequest) bool {
	key := req.model.Key
	if key.IsAdapter() && c.replicasOf(key.Base()).count == 0 {
		return c.placeOne(placementRequest{model: c.plan.Models[key.Base()], noReplica: true, value: req.value})
	}
	s := c.chooseServer(req.model)
	if s == nil {
		c.makeRoom(req)
		return false
	}
	c.startLoad(s, req.model)
	return true
}

// startLoad marks a model as ordered on a server; the order itself is sent when due.
func (c *Core) startLoad(s *server, m fleetplan.Model) {
	c.putReplica(s, &modelReplica{key: m.Key, size: m.Size, stage: Ordered, stageSince: c.now})
}

// chooseServer returns the server for one more replica of a model. It prefers zones without a replica, then
// the largest share of free room.
func (c *Core) chooseServer(m fleetplan.Model) (best *server) {
	zones := c.replicasOf(m.Key).zones
	most := 0
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if !c.mayHold(s, m.Key) || s.loading() > 0 {
			continue
		}
		if s.free() < m.Size {
			continue
		}
		score := freeRoomScale * (s.free() + 1) / (s.room + 1)
		if !zones[s.Zone] {
			score += newZoneScore
		}
		if best == nil || score > most {
			best, most = s, score
		}
	}
	return best
}

// mayHold reports whether a server may be ordered to load a key, regardless of its free room.
func (c *Core) mayHold(s *server, key ident.Key) bool {
	if !c.staysInService(s) || s.replicas[key] != nil || s.contradiction != "" {
		return false
	}
	if s.plain || s.foreignOrder || s.Service != key.Service() {
		return false
	}
	if key.IsAdapter() {
		return s.baseReady(key) && (s.places == 0 || s.adapters() < s.places)
	}
	return true
}
