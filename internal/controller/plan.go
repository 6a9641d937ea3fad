package controller

import (
	"fmt"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
)

// The plan in force at this node, and whether its owner knows enough of the servers to act by it.

// planned takes the newest desired state into force at this node.
func (c *Core) planned() {
	c.plan, c.empty, c.windows, c.shutAt = nil, map[ident.Zone]bool{}, nil, 0
	k := c.reg.known
	if k == nil {
		return
	}
	for _, z := range k.Empty {
		c.empty[z] = true
	}
	c.windows, _ = readWindows(k.Windows)
	if len(k.Plan) > 0 {
		c.plan, _ = c.o.Read(k.Plan)
	}
	if c.duty.mine {
		for _, id := range generic.SortedKeys(c.servers) {
			c.adopt(c.servers[id])
		}
		c.touchAll()
	}
}

// settled tells whether the owner knows enough of the servers to answer for them.
func (c *Core) settled() bool {
	if !c.rules() || c.listed == 0 {
		return false
	}
	if !c.rolled() {
		return false
	}
	if c.now.Sub(c.duty.began) > c.o.Wait+c.o.Poll {
		return true
	}
	for _, s := range c.servers {
		if !s.known && s.State == "live" {
			return false
		}
	}
	return true
}

// sizeOf tells the size that the plan gives a key, if it knows it.
func (c *Core) sizeOf(k ident.Key) int {
	if c.plan == nil {
		return 0
	}
	if m, ok := c.plan.Models[k]; ok || !c.o.Unfenced {
		return m.Size
	}
	most := 0 // what no plan names may be as large as anything that it names
	for x, m := range c.plan.Models {
		if x.IsAdapter() == k.IsAdapter() && x.Service() == k.Service() {
			most = max(most, m.Size)
		}
	}
	return most
}

// serversThatStay is what the servers come to that can be counted on.
type serversThatStay struct {
	count, room int
	largest     int // the most room that one of them has
	zones       map[ident.Zone]bool
}

func (c *Core) serversThatStay() serversThatStay {
	sum := serversThatStay{zones: map[ident.Zone]bool{}}
	for _, s := range c.servers {
		if c.stays(s) {
			sum.count++
			sum.room += s.room
			sum.largest = max(sum.largest, s.room)
			sum.zones[s.Zone] = true
		}
	}
	return sum
}

// lacks tells operators what of the plan the servers cannot give.
func (c *Core) lacks() (l []fleetplan.Fault) {
	if c.plan == nil || !c.settled() {
		return nil
	}
	all := c.serversThatStay()
	floors := 0
	for _, key := range generic.SortedKeys(c.plan.Models) {
		m := c.plan.Models[key]
		floors += m.Floor * m.Size
		if f := c.lack(m, all); f != nil {
			l = append(l, *f)
		}
	}
	if floors > all.room {
		l = append(l, fleetplan.Fault{Path: "$", Why: fmt.Sprintf("floors come to %d, but all room to %d", floors, all.room)})
	}
	return l
}

// lack tells what the servers cannot give one model.
func (c *Core) lack(m fleetplan.Model, all serversThatStay) *fleetplan.Fault {
	has, path := c.replicasOf(m.Key), pathOf(m.Key)
	switch {
	case m.Floor > all.count:
		return &fleetplan.Fault{Path: path + ".floor", Why: fmt.Sprintf("%d replicas, but %d servers", m.Floor, all.count)}
	case m.Size > all.largest:
		return &fleetplan.Fault{Path: path + ".size", Why: fmt.Sprintf("%d, but no server has more room than %d", m.Size, all.largest)}
	case has.count < m.Floor:
		return &fleetplan.Fault{Path: path + ".floor", Why: fmt.Sprintf("%d of %d replicas are there", has.count, m.Floor)}
	case m.Floor > 1 && len(has.zones) < 2 && len(all.zones) > 1:
		return &fleetplan.Fault{Path: path + ".floor", Why: "every replica is in one zone"}
	}
	return nil
}

// pathOf tells where in a plan a model or an adapter stands.
func pathOf(key ident.Key) string {
	if key.IsAdapter() {
		return "$.adapters." + string(key)[len(key.Base())+1:]
	}
	return "$.models." + string(key)
}
