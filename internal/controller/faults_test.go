package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// An order that was lost in transit is sent again with the same expected count.
func TestLostOrderIsSentAgain(t *testing.T) {
	c := newCluster(t, withFloor(modelPlan(12, "llm|m"), 1, "llm|m"), "a")
	m := c.serve("s")
	m.lost = loseFirstOrder(false, false)
	require.True(t, c.until(15e9, func() bool { return m.holds["llm|m"] }))
	require.Len(t, c.sentOrders, 2)
	require.Zero(t, c.sentOrders[1].Expected)
}

// A server accepts an order of the old leader at the end of its lease, so that the new leader's first report doesn't
// show it yet. A model that the new leader has placed there meanwhile must still get loaded, there or elsewhere.
func TestOrderInTheLastMoment(t *testing.T) {
	for _, lag := range []clock.Span{100e6, 300e6, 500e6} {
		c := newCluster(t, modelPlan(8, "llm|m", "llm|n", "llm|o"), "a", "b", "c")
		m := c.serve("s", "llm|m")
		m.lag, m.slow = lag, 5e9
		c.run(3e9)
		r, old := c.route("r"), c.leader()
		c.partitioned["a"] = true
		c.until(5e9, func() bool { return c.at >= old.leadership.expiresAt(old)-20e6 })
		require.Equal(t, 202, m.take(protocol.Order{Op: "load", Key: "llm|n", Size: 4, Expected: m.count}), "no order is in progress")
		r.keyLoads["llm|o"] = protocol.KeyLoad{Waiting: 9, Arrived: 3, ServerSeconds: 0.1}
		require.True(t, c.until(40e9, func() bool { return m.holds["llm|o"] }), "%v", lag)
	}
}

// A base model that is removed from the plan is unloaded although the load of an adapter on it is pending.
func TestBaseGoesBesideUnsentAdapter(t *testing.T) {
	c := newCluster(t, modelPlan(10, "llm|m", "llm|m+1", "llm|n"), "a")
	m := c.serve("s", "llm|m")
	r := c.route("r")
	r.keyLoads["llm|m"] = protocol.KeyLoad{Arrived: 1}
	require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") }))
	c.run(3e9)
	s := c.leader().servers["s"]
	s.busy, s.nextPoll = true, c.at.Add(3e9) // as after a refused order
	r.keyLoads = map[ident.Key]protocol.KeyLoad{"llm|m+1": {Waiting: 1, Arrived: 1}}
	require.True(t, c.until(3e9, func() bool { return s.replicas["llm|m+1"] != nil }))
	require.Zero(t, s.replicas["llm|m+1"].orderNum)
	c.plans["2"] = modelPlan(10, "llm|n")
	c.admin("a", Admin{Op: "put", Raw: []byte("2"), Any: true})
	require.True(t, c.until(30e9, func() bool { return !m.holds["llm|m"] }))
}

// Loading one adapter evicts only one other adapter.
func TestOneAdapterMakesWayForOne(t *testing.T) {
	var keys []ident.Key
	for i := range 5 {
		keys = append(keys, ident.Key(fmt.Sprintf("llm|m+%d", i)))
	}
	p := modelPlan(10, append([]ident.Key{"llm|m"}, keys...)...)
	v := p.Services["llm"]
	v.AdapterCapacity = 4
	p.Services["llm"] = v
	c := newCluster(t, p, "a")
	c.serve("s", "llm|m", keys[0], keys[1], keys[2], keys[3])
	c.run(6e9)
	r := c.route("r")
	r.keyLoads[keys[4]] = protocol.KeyLoad{Waiting: 1, Arrived: 1, ServerSeconds: 0.01}
	require.True(t, c.until(9e9, func() bool { return r.sends(keys[4], "s") }))
	c.run(3e9)
	require.Len(t, c.orders("unload"), 1)
}

// The next leader knows of an acknowledged departure even if it was disconnected when the departure was announced.
func TestLeavingIsKnownToTheNextOwner(t *testing.T) {
	for _, state := range []string{"leaving", "gone"} {
		c := newCluster(t, modelPlan(12, "llm|m"), "a", "b", "c")
		m := c.serve("s", "llm|m")
		r := c.route("r")
		r.keyLoads["llm|m"] = protocol.KeyLoad{Arrived: 1}
		require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") }))
		c.partitioned["b"] = true
		c.run(100e6)
		m.unannounced = true
		ok, _ := c.announce("c", newAnnouncement("s", state, 99))
		require.True(t, ok)
		c.run(100e6)
		c.partitioned = map[string]bool{"a": true}
		require.True(t, c.until(6e9, func() bool { return c.owner() != "" }))
		for range 200 {
			c.tick()
			require.False(t, r.sends("llm|m", "s"), state)
		}
	}
}

// A delayed announcement of an older start doesn't end the newer start at the same address.
func TestLateWordAtAReusedAddress(t *testing.T) {
	k := New(Options{Enrolled: true})
	k.now = 1e9
	old, now := newAnnouncement("old", "live", 9), newAnnouncement("new", "live", 1)
	now.Addr = old.Addr
	k.enrol(now)
	k.enrol(old) // a relayed announcement of a start that this node didn't know
	now.Count = 2
	k.enrol(now)
	k.now = k.now.Add(1200e6)
	now.Count = 3
	require.True(t, k.enrol(now), "it keeps announcing itself, and the other start does not")
	require.Equal(t, "live", k.enrolledServers["new"].State)
	require.Equal(t, "gone", k.enrolledServers["old"].State)
}

// A server that was disconnected from the core for a long time is used again after its next announcement.
func TestBackAfterLongSilence(t *testing.T) {
	for _, s := range []clock.Span{10e9, 25e9, 32e9, 50e9} {
		c := newCluster(t, modelPlan(12, "llm|m"), "a", "b", "c")
		m := c.serve("s", "llm|m")
		r := c.route("r")
		r.keyLoads["llm|m"] = protocol.KeyLoad{Arrived: 1}
		require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") }))
		m.unannounced = true
		c.run(s)
		m.unannounced = false
		require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") }), "%v", s)
	}
}

// A key at its floor is not evicted while another one can be.
func TestFloorIsKept(t *testing.T) {
	p := modelPlan(8, "llm|f", "llm|x", "llm|n")
	p.Models["llm|f"] = fleetplan.Model{Key: "llm|f", Size: 4, MinReplicas: 1, MaxReplicas: 3, LoadTime: 1e9}
	k := newPlacementCore(p, heldKeys{"s1": {"llm|f", "llm|x"}})
	k.demand["llm|n"] = &keyDemand{reportedAt: k.now, waiting: 1}
	k.demand["llm|x"] = &keyDemand{longTermRate: 0.1}
	runPlacementNow(k, 9)
	require.Equal(t, "+n@s1 -x@s1", k.placementChanges())
}

// A model that the plan doesn't contain occupies room too, and a new leader doesn't know how much.
func TestUnnamedTakesRoom(t *testing.T) {
	c := newCluster(t, modelPlan(8, "llm|m", "llm|n"), "a")
	m := c.serve("s", "llm|m", "llm|lost")
	r := c.route("r")
	r.keyLoads["llm|n"] = protocol.KeyLoad{Waiting: 1, Arrived: 1}
	require.True(t, c.until(20e9, func() bool { return len(c.orders("load")) > 0 }))
	require.False(t, m.holds["llm|lost"], "it is unloaded before anything is loaded")
}
