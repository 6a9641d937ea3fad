package controller

import (
	"fmt"
	"maps"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// The plan in force at this node, and whether the leader knows enough about the servers to apply it.

// applyDesired puts the newest desired state into force at this node.
func (c *Core) applyDesired() {
	earlier, emptied := c.plan, c.empty
	c.plan, c.empty, c.windows, c.nextWindowUpdate = nil, map[ident.Zone]bool{}, nil, 0
	value := c.register.known
	if value == nil {
		return
	}
	for _, z := range value.EmptiedZones {
		c.empty[z] = true
	}
	c.windows, _ = readWindows(value.Windows)
	if len(value.Plan) > 0 {
		c.plan, _ = c.o.ParsePlan(value.Plan)
	}
	if c.plan != nil && c.plan.PlacesAlike(earlier) && maps.Equal(c.empty, emptied) {
		return // servers hold what they held, and entries stay as they are
	}
	if c.leadership.held {
		for _, id := range generic.SortedKeys(c.servers) {
			c.applyService(c.servers[id])
		}
		c.refreshAllEntries()
	}
}

// serversKnown reports whether the leader knows enough about the servers to answer for them.
func (c *Core) serversKnown() bool {
	if !c.holdsLease() || c.lastListRequest == 0 {
		return false
	}
	if !c.registryComplete() {
		return false
	}
	if c.now.Sub(c.leadership.begunAt) > c.o.ServerTimeout+c.o.ReportInterval {
		return true
	}
	for _, s := range c.servers {
		if !s.known && s.State == "live" {
			return false
		}
	}
	return true
}

// sizeOf returns the size of a key in the plan, or an upper bound if the plan doesn't contain the key.
func (c *Core) sizeOf(k ident.Key) int {
	if c.plan == nil {
		return 0
	}
	if m, ok := c.plan.Models[k]; ok || !c.o.Unfenced {
		return m.Size
	}
	most := 0 // a key outside the plan may be as large as any of its kind in the plan
	for x, m := range c.plan.Models {
		if x.IsAdapter() == k.IsAdapter() && x.Service() == k.Service() {
			most = max(most, m.Size)
		}
	}
	return most
}

// stableCapacity is the total capacity of the servers that are expected to stay in service.
type stableCapacity struct {
	count, room int
	largest     int // maximum room of a single server
	zones       map[ident.Zone]bool
}

// stableCapacity sums up the servers that are expected to stay in service.
func (c *Core) stableCapacity() stableCapacity {
	total := stableCapacity{zones: map[ident.Zone]bool{}}
	for _, s := range c.servers {
		if c.staysInService(s) {
			total.count++
			total.room += s.room
			total.largest = max(total.largest, s.room)
			total.zones[s.Zone] = true
		}
	}
	return total
}

// shortfalls lists the requirements of the plan that the servers cannot meet, for operators.
func (c *Core) shortfalls() (faults []fleetplan.Fault) {
	if c.plan == nil || !c.serversKnown() {
		return nil
	}
	capacity := c.stableCapacity()
	floors := 0
	for _, key := range generic.SortedKeys(c.plan.Models) {
		m := c.plan.Models[key]
		floors += m.MinReplicas * m.Size
		if fault := c.shortfall(m, capacity); fault != nil {
			faults = append(faults, *fault)
		}
	}
	if floors > capacity.room {
		faults = append(faults, fleetplan.Fault{Path: "$", Why: fmt.Sprintf("floors need room %d in total, but the servers have %d", floors, capacity.room)})
	}
	return faults
}

// shortfall describes the first requirement of a model that the servers cannot meet, if any.
func (c *Core) shortfall(m fleetplan.Model, capacity stableCapacity) *fleetplan.Fault {
	replicas, path := c.replicasOf(m.Key), planPath(m.Key)
	switch {
	case m.MinReplicas > capacity.count:
		return &fleetplan.Fault{Path: path + ".floor", Why: fmt.Sprintf("%d replicas, but %d servers", m.MinReplicas, capacity.count)}
	case m.Size > capacity.largest:
		return &fleetplan.Fault{Path: path + ".size", Why: fmt.Sprintf("%d, but no server has more room than %d", m.Size, capacity.largest)}
	case replicas.count < m.MinReplicas:
		return &fleetplan.Fault{Path: path + ".floor", Why: fmt.Sprintf("only %d of %d replicas exist", replicas.count, m.MinReplicas)}
	case m.MinReplicas > 1 && len(replicas.zones) < 2 && len(capacity.zones) > 1:
		return &fleetplan.Fault{Path: path + ".floor", Why: "every replica is in one zone"}
	}
	return nil
}

// planPath returns the path of a model or an adapter in the plan.
func planPath(key ident.Key) string {
	if key.IsAdapter() {
		return "$.adapters." + string(key)[len(key.Base())+1:]
	}
	return "$.models." + string(key)
}
