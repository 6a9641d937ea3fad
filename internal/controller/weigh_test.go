package controller

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// newPlacementCore returns the core of a leader with servers that have held the given keys for a long time.
func newPlacementCore(p *fleetplan.Plan, holds heldKeys) *Core {
	c := New(Options{Enrolled: true, Unfenced: true})
	c.plan, c.now, c.lastListRequest = p, 100e9, 1
	c.leadership.held, c.leadership.renewedAt, c.leadership.begunAt = true, c.now, 1
	c.register.known = &protocol.Desired{Voters: []protocol.Voter{{Peer: protocol.Peer{ID: "me"}, Incarnation: 1}}}
	c.registriesReceived = map[ident.Node]ident.Incarnation{"me": 1}
	for id, l := range holds {
		s := &server{ListedServer: newAnnouncement(string(id), "live", 1).ListedServer, known: true, slots: 8, replicas: map[ident.Key]*modelReplica{}}
		s.room, s.places = p.Services["llm"].WeightCapacity, p.Services["llm"].AdapterCapacity
		for _, k := range l {
			s.replicas[k] = &modelReplica{key: k, size: p.Models[k].Size, stage: Ready, orderNum: 1, readySince: 1}
		}
		c.addServer(s)
		c.addEnrolled(&enrolled{Announcement: protocol.Announcement{ListedServer: s.ListedServer}, lastHeard: c.now, onDisk: map[ident.Key]bool{}})
	}
	return c
}

// runPlacementNow runs placement once, with the given number of loads that may start now.
func runPlacementNow(c *Core, toBegin int) {
	atOnce, _ := c.loadBudget()
	c.runPlacement(atOnce, toBegin)
}

// placementChanges lists the replicas that are ordered (+) and those being evicted (-).
func (c *Core) placementChanges() string {
	var l []string
	for _, id := range generic.SortedKeys(c.servers) {
		for k, p := range c.servers[id].replicas {
			switch {
			case p.stage == Ordered && p.orderNum == 0:
				l = append(l, fmt.Sprintf("+%s@%s", k.Name(), id))
			case p.stage == Breaking:
				l = append(l, fmt.Sprintf("-%s@%s", k.Name(), id))
			}
		}
	}
	sort.Strings(l)
	return strings.Join(l, " ")
}

// Which replica is placed first, on which server, and what is evicted for it.
func TestPlacementByCost(t *testing.T) {
	const m, n, o, x, y, z = "llm|m", "llm|n", "llm|o", "llm|x", "llm|y", "llm|z"
	type demand = map[ident.Key]keyDemand
	waits := func(w int) keyDemand { return keyDemand{waiting: w, load: 0.01, currentLoad: 0.01} }
	rises := keyDemand{load: 0.6, currentLoad: 1.2, longTermRate: 3, rate: 6}
	for _, c := range []struct {
		name   string
		room   int
		budget int
		holds  heldKeys
		demand demand
		setup  func(c *Core)
		want   string
	}{
		{"no demand", 8, 9, heldKeys{"s1": {m}, "s2": {}}, nil, nil, ""},
		{"a requested key without a replica", 8, 9, heldKeys{"s1": {m}, "s2": {m, x}}, demand{n: waits(1)}, nil, "+n@s1"},
		{"on the server with less load", 8, 9, heldKeys{"s1": {x}, "s2": {y}}, demand{n: waits(1), x: {load: 0.25, currentLoad: 0.25}}, nil, "+n@s2"},
		{"on the server that held it before", 8, 9, heldKeys{"s1": {x}, "s2": {y}}, demand{n: waits(1)}, func(c *Core) { c.noteOnDisk(c.enrolledServers["s2"], n, true) }, "+n@s2"},
		{"not on a server that executes an order of another leader", 8, 9, heldKeys{"s1": {x}, "s2": {y}}, demand{n: waits(1)}, func(c *Core) { c.servers["s1"].foreignOrder = true }, "+n@s2"},
		{"not on an unreachable server", 8, 9, heldKeys{"s1": {x}, "s2": {y}}, demand{n: waits(1)}, func(c *Core) { c.servers["s1"].unreachable = true }, "+n@s2"},
		{"not on a leaving server", 8, 9, heldKeys{"s1": {x}, "s2": {y}}, demand{n: waits(1)}, func(c *Core) { c.servers["s1"].State = "leaving" }, "+n@s2"},
		{"not on a server without a report", 8, 9, heldKeys{"s1": {x}, "s2": {y}}, demand{n: waits(1)}, func(c *Core) { c.servers["s1"].known = false }, "+n@s2"},
		{"not on a server of another service", 8, 9, heldKeys{"s1": {x}, "s2": {y}}, demand{n: waits(1)}, func(c *Core) { c.servers["s1"].Service = "more" }, "+n@s2"},
		{"no server has the room", 3, 9, heldKeys{"s1": {}, "s2": {}}, demand{n: waits(1)}, nil, ""},
		{"no load may start now", 8, 0, heldKeys{"s1": {}}, demand{n: waits(1)}, nil, ""},

		{"a key with rising load before a less requested one", 8, 1, heldKeys{"s1": {m, x}, "s2": {y}}, demand{m: rises, n: waits(3)}, nil, "+m@s2"},
		{"then the less requested key", 8, 2, heldKeys{"s1": {m, x}, "s2": {y}, "s3": {z}}, demand{m: rises, n: waits(3)}, nil, "+m@s2 +n@s3"},
		{"a key that only benefits from another replica comes later", 8, 1, heldKeys{"s1": {m, x}, "s2": {y}}, demand{m: {load: 0.4, currentLoad: 0.4}, n: waits(3)}, nil, "+n@s2"},
		{"a rising load gets a replica in advance", 8, 9, heldKeys{"s1": {m, x}, "s2": {y}}, demand{m: {load: 0.2, currentLoad: 0.5}}, nil, "+m@s2"},
		{"a falling load does not", 8, 9, heldKeys{"s1": {m, x}, "s2": {y}}, demand{m: {load: 0.29, currentLoad: 0.1}}, nil, ""},
		{"the most valuable waiting key", 8, 1, heldKeys{"s1": {m, x}, "s2": {y}}, demand{n: {waiting: 2, value: 1}, o: {waiting: 2, value: 2}}, nil, "+o@s2"},
		{"many waiting requests before one of higher value", 8, 1, heldKeys{"s1": {m, x}, "s2": {y}}, demand{n: {waiting: 9, value: 1}, o: {waiting: 1, value: 2}}, nil, "+n@s2"},
		{"many running requests need more replicas", 8, 9, heldKeys{"s1": {m, x}, "s2": {y}}, demand{m: {load: 0.1, currentLoad: 0.1}}, func(c *Core) {
			c.workload.Report(protocol.Session{Num: 1}, map[ident.Key]protocol.KeyLoad{m: {Running: 2}}, c.now)
		}, "+m@s2"},

		{"the least used key is evicted", 8, 9, heldKeys{"s1": {x, y}}, demand{n: waits(1), x: {longTermRate: 0.3}, y: {longTermRate: 0.02}}, nil, "+n@s1 -y@s1"},
		{"the least used key of all servers is evicted", 8, 9, heldKeys{"s1": {x, m}, "s2": {y, z}}, demand{n: waits(1), m: {longTermRate: 1}, x: {longTermRate: 0.8}, y: {longTermRate: 0.7}, z: {longTermRate: 0.1}}, nil, "+n@s2 -z@s2"},
		{"a surplus replica is evicted before an only one", 8, 9, heldKeys{"s1": {x, y}, "s2": {x, z}}, demand{n: waits(1), x: {longTermRate: 0.3}, y: {longTermRate: 0.3}, z: {longTermRate: 0.3}}, nil, "+n@s1 -x@s1"},
		{"a key outside the plan is evicted first", 8, 9, heldKeys{"s1": {x, "llm|lost"}}, demand{n: waits(1)}, func(c *Core) { c.servers["s1"].replicas["llm|lost"].size = 4 }, "+n@s1 -lost@s1"},
		{"two keys are evicted for a large one", 8, 9, heldKeys{"s1": {x, y}}, demand{"llm|big": waits(1)}, nil, "+big@s1 -x@s1 -y@s1"},
		{"a base is evicted with its adapters", 8, 9, heldKeys{"s1": {m, "llm|m+1", "llm|m+2"}}, demand{"llm|big": waits(1)}, nil, "+big@s1 -m+1@s1 -m+2@s1 -m@s1"},
		{"a key with waiting requests is not evicted", 8, 9, heldKeys{"s1": {x, y}}, demand{n: waits(1), x: {waiting: 1}, y: {longTermRate: 0.1}}, nil, "+n@s1 -y@s1"},
		{"nor a key that is requested far more often", 8, 9, heldKeys{"s1": {x, y}}, demand{n: waits(1), x: {waiting: 1}, y: {longTermRate: 3}}, nil, ""},
		{"nor a key that was loaded recently", 8, 9, heldKeys{"s1": {x, y}}, demand{n: waits(1), y: {longTermRate: 0.1}}, func(c *Core) { c.servers["s1"].replicas[x].readySince = c.now - 1e9 }, "+n@s1 -y@s1"},
		{"no only replica is evicted for a moderately loaded key", 8, 9, heldKeys{"s1": {m, x}, "s2": {y, z}}, demand{m: {load: 0.4, currentLoad: 0.4}}, nil, ""},
		{"an only replica is evicted for an overloaded key", 8, 9, heldKeys{"s1": {m, x}, "s2": {y, z}}, demand{m: {load: 0.7, currentLoad: 0.7, rate: 5}, x: {longTermRate: 1}, y: {longTermRate: 1}}, nil, "+m@s2 -z@s2"},

		{"a floor", 8, 9, heldKeys{"s1": {"llm|f"}, "s2": {x}}, nil, nil, "+f@s2"},
		{"a floor that is met", 8, 9, heldKeys{"s1": {"llm|f"}, "s2": {"llm|f"}, "s3": {}}, nil, nil, ""},
		{"not more than the most replicas allowed", 8, 9, heldKeys{"s1": {"llm|f"}, "s2": {"llm|f"}, "s3": {"llm|f"}, "s4": {}}, demand{"llm|f": {load: 4, currentLoad: 4, longTermRate: 9}}, nil, ""},

		{"an adapter on a server with its base", 10, 9, heldKeys{"s1": {m}, "s2": {n}}, demand{"llm|n+1": waits(1)}, nil, "+n+1@s2"},
		{"the base before the adapter", 10, 9, heldKeys{"s1": {m}}, demand{"llm|n+1": waits(1)}, nil, "+n@s1"},
		{"an adapter where a place is free", 20, 9, heldKeys{"s1": {m, "llm|m+1", "llm|m+2", "llm|m+3"}, "s2": {m, x, y}}, demand{"llm|m+4": waits(1), x: {load: 0.1, currentLoad: 0.1}, y: {load: 0.1, currentLoad: 0.1}}, nil, "+m+4@s2"},
		{"an adapter where room is free", 8, 9, heldKeys{"s1": {m, x}, "s2": {m}}, demand{"llm|m+4": waits(1), m: {load: 0.5, currentLoad: 0.5}}, nil, "+m+4@s2"},
		{"without a free place the least used adapter is evicted", 20, 9, heldKeys{"s1": {m, "llm|m+1", "llm|m+2", "llm|m+3"}}, demand{"llm|m+4": waits(1), "llm|m+1": {longTermRate: 1}, "llm|m+2": {longTermRate: 0.5}, "llm|m+3": {longTermRate: 2}}, nil, "+m+4@s1 -m+2@s1"},
		{"no adapter with waiting requests is evicted", 20, 9, heldKeys{"s1": {m, "llm|m+1", "llm|m+2", "llm|m+3"}}, demand{"llm|m+4": waits(1), "llm|m+1": waits(1), "llm|m+2": waits(1), "llm|m+3": waits(1)}, nil, ""},
		{"without room and other adapters the least used base is evicted", 8, 9, heldKeys{"s1": {m, x}, "s2": {y, z}}, demand{"llm|m+1": waits(1), x: {longTermRate: 0.1}}, nil, "+m+1@s1 -x@s1"},
		{"on the server where the eviction costs least", 8, 9, heldKeys{"s1": {m, x}, "s2": {m, y}}, demand{"llm|m+1": waits(1), m: {load: 0.5, currentLoad: 0.5}, x: {longTermRate: 0.1}, y: {longTermRate: 0.02}}, nil, "+m+1@s2 -y@s2"},
		{"an idle adapter before a base", 9, 9, heldKeys{"s1": {m, "llm|m+2", x}}, demand{"llm|m+1": waits(1), x: {longTermRate: 0.1}}, nil, "+m+1@s1 -m+2@s1"},
		{"no base that is used more than the adapter", 8, 9, heldKeys{"s1": {m, x}}, demand{"llm|m+1": waits(1), x: {longTermRate: 3, rate: 3}}, nil, ""},
		{"no base for an adapter that has a replica already", 8, 9, heldKeys{"s1": {m, x}, "s2": {m, "llm|m+1"}}, demand{"llm|m+1": {waiting: 1, load: 0.7, currentLoad: 0.7}, x: {longTermRate: 0.1}}, nil, ""},
		{"nor the base of the adapter", 8, 9, heldKeys{"s1": {m, x}, "s2": {m, y}}, demand{"llm|m+1": waits(1), x: {waiting: 1}, y: {waiting: 1}}, nil, ""},
		{"an adapter with a replica and little load", 20, 9, heldKeys{"s1": {m, "llm|m+1"}, "s2": {m}}, demand{"llm|m+1": {load: 0.2, currentLoad: 0.2}}, nil, ""},
	} {
		p := modelPlan(c.room, m, n, o, x, y, z, "llm|f", "llm|n+1", "llm|m+1", "llm|m+2", "llm|m+3", "llm|m+4")
		p.Models["llm|f"] = fleetplan.Model{Key: "llm|f", Size: 4, MinReplicas: 2, MaxReplicas: 3, LoadTime: 1e9}
		p.Models["llm|big"] = fleetplan.Model{Key: "llm|big", Size: 8, MaxReplicas: 3, LoadTime: 1e9}
		if !strings.Contains(c.name, "floor") && !strings.Contains(c.name, "most") {
			delete(p.Models, "llm|f")
		}
		p.Kinds = map[string]fleetplan.Class{"a": {Value: 1}, "b": {Value: 2}}
		k := newPlacementCore(p, c.holds)
		for key, d := range c.demand {
			d.reportedAt = k.now
			k.demand[key] = &d
		}
		if c.setup != nil {
			c.setup(k)
		}
		runPlacementNow(k, c.budget)
		require.Equal(t, c.want, k.placementChanges(), c.name)
	}
}

// The averages follow the arrivals over their time spans, and the forecast extrapolates a rise.
func TestDemandRates(t *testing.T) {
	c := newPlacementCore(modelPlan(8, "llm|m"), heldKeys{"s1": {"llm|m"}})
	c.reportWaiting("llm|m", 0, 0)
	n := c.demand["llm|m"]
	step := func(s clock.Span, rate float64) {
		for end := c.now.Add(s); c.now < end; {
			c.now = c.now.Add(250e6)
			c.recordArrivals("llm|m", protocol.KeyLoad{Arrived: int(rate / 4), ServerSeconds: rate / 4 / 20})
			c.updateRates()
		}
	}
	step(120e9, 8)
	require.InDelta(t, 8, n.rate, 0.1)
	require.InDelta(t, 8, n.longTermRate, 0.1)
	require.InDelta(t, 0.4, n.load, 0.01)
	require.InDelta(t, 0.4, n.forecastLoad(), 0.01, "the forecast of a steady load is the load")
	step(2e9, 80)
	require.Greater(t, n.forecastLoad(), n.currentLoad)
	require.Greater(t, n.currentLoad, n.load)
	require.Greater(t, n.load, 0.4)
	require.Less(t, n.longTermRate, n.rate)
	step(120e9, 80)
	require.InDelta(t, 4, n.forecastLoad(), 0.1)
	step(2e9, 0)
	require.Less(t, n.currentLoad, n.load)
	require.InDelta(t, n.load, n.forecastLoad(), 1e-9, "the forecast of a falling load follows the slower average")
	step(200e9, 0)
	require.InDelta(t, 0, n.rate+n.longTermRate+n.load+n.currentLoad, 0.1)
}

// With steady demand, placement sends no more orders after some time, whatever the mix of keys.
func TestSteadyDemandEndsOrders(t *testing.T) {
	for _, x := range []struct {
		name    string
		servers int
		room    int
		burden  map[ident.Key]protocol.KeyLoad // in each renewal of either router
	}{
		{"few keys that fit", 3, 8, map[ident.Key]protocol.KeyLoad{"llm|m0": {Arrived: 4, Running: 1, ServerSeconds: 0.05}, "llm|m1": {Arrived: 1, ServerSeconds: 0.01}}},
		{"a busy key and others that fit beside it", 4, 8, map[ident.Key]protocol.KeyLoad{"llm|m0": {Arrived: 20, Running: 2, ServerSeconds: 0.2}, "llm|m1": {Arrived: 4, ServerSeconds: 0.03}, "llm|m2": {Arrived: 1, ServerSeconds: 0.01}, "llm|m3": {Arrived: 1, ServerSeconds: 0.01}}},
		{"two busy keys", 6, 8, map[ident.Key]protocol.KeyLoad{"llm|m0": {Arrived: 20, Running: 2, ServerSeconds: 0.2}, "llm|m1": {Arrived: 20, Running: 2, ServerSeconds: 0.15}, "llm|m2": {Arrived: 1, ServerSeconds: 0.01}}},
		{"more load than the servers can serve", 2, 8, map[ident.Key]protocol.KeyLoad{"llm|m0": {Arrived: 40, Running: 9, ServerSeconds: 0.6}, "llm|m1": {Arrived: 40, Running: 9, ServerSeconds: 0.6}}},
		{"adapters", 2, 10, map[ident.Key]protocol.KeyLoad{"llm|m0+a": {Arrived: 4, ServerSeconds: 0.02}, "llm|m0+b": {Arrived: 4, ServerSeconds: 0.02}, "llm|m1": {Arrived: 4, ServerSeconds: 0.02}}},
	} {
		var all []ident.Key
		for i := range 8 {
			all = append(all, ident.Key(fmt.Sprint("llm|m", i)))
		}
		c := newCluster(t, modelPlan(x.room, append(all, "llm|m0+a", "llm|m0+b")...), "a", "b", "c")
		for i := range x.servers {
			c.serve(fmt.Sprint("s", i), all[(2*i)%8], all[(2*i+1)%8])
		}
		r, s := c.route("r"), c.route("s")
		r.keyLoads, s.keyLoads = x.burden, x.burden
		c.run(40e9)
		was := len(c.sentOrders)
		c.run(60e9)
		t.Logf("%s: %d orders in the first 40 s, %d in the next 60 s", x.name, was, len(c.sentOrders)-was)
		require.Empty(t, c.sentOrders[was:], x.name)
		for k := range x.burden {
			n := 0
			for _, m := range c.models {
				if m.holds[k] {
					n++
				}
			}
			require.Positive(t, n, "%s: %s is served", x.name, k)
		}
	}
}

// A key with rising load gets more replicas, and keeps them afterwards until other keys need the room.
func TestRisingLoad(t *testing.T) {
	c := newCluster(t, modelPlan(8, "llm|m", "llm|n", "llm|o", "llm|p", "llm|q"), "a")
	c.serve("s1", "llm|m", "llm|n")
	c.serve("s2", "llm|o", "llm|p")
	c.serve("s3", "llm|q")
	r := c.route("r")
	r.keyLoads = map[ident.Key]protocol.KeyLoad{"llm|m": {Arrived: 4, ServerSeconds: 0.04}, "llm|n": {Arrived: 1, ServerSeconds: 0.01}, "llm|q": {Arrived: 1, ServerSeconds: 0.01}}
	c.run(20e9)
	require.Empty(t, c.sentOrders)
	r.keyLoads["llm|m"] = protocol.KeyLoad{Arrived: 40, Running: 3, ServerSeconds: 0.4}
	require.True(t, c.until(9e9, func() bool { return c.models["at-s3"].holds["llm|m"] }), "a server with free room")
	require.True(t, c.until(20e9, func() bool { return c.models["at-s2"].holds["llm|m"] }), "a server with an eviction")
	for _, o := range c.orders("unload") {
		require.Contains(t, []ident.Key{"llm|o", "llm|p"}, o.Key, "keys without requests")
	}
	r.keyLoads["llm|m"] = protocol.KeyLoad{Arrived: 1, ServerSeconds: 0.01}
	was := len(c.sentOrders)
	c.run(60e9)
	require.Empty(t, c.sentOrders[was:], "no eviction while no other key needs the room")
	r.keyLoads["llm|o"], r.keyLoads["llm|p"] = protocol.KeyLoad{Arrived: 1, Waiting: 1, ServerSeconds: 0.01}, protocol.KeyLoad{Arrived: 1, Waiting: 1, ServerSeconds: 0.01}
	c.run(20e9)
	n := 0
	for _, m := range c.models {
		require.True(t, !m.holds["llm|n"] || m.ID == "s1")
		if m.holds["llm|m"] {
			n++
		}
	}
	require.Positive(t, n)
	for _, k := range []ident.Key{"llm|n", "llm|o", "llm|p", "llm|q"} {
		require.Len(t, c.leader().entryOf(k).replicas, 1, "%s", k)
	}
}
