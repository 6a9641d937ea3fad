package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// TestWordsOfAServer checks a node's record of a server after a sequence of announcements, including delayed ones.
func TestWordsOfAServer(t *testing.T) {
	type announcement struct {
		state string
		count uint64
		addr  string
	}
	for _, c := range []struct {
		name          string
		announcements []announcement
		isNew         []bool // whether each one contains anything new
		state         string
		count         uint64
		addr          string
	}{
		{"one", []announcement{{"live", 1, "x"}}, []bool{true}, "live", 1, "x"},
		{"in order", []announcement{{"live", 1, "x"}, {"live", 2, "y"}}, []bool{true, true}, "live", 2, "y"},
		{"a delayed one", []announcement{{"live", 2, "y"}, {"live", 1, "x"}}, []bool{true, false}, "live", 2, "y"},
		{"a repeat", []announcement{{"live", 2, "y"}, {"live", 2, "x"}}, []bool{true, false}, "live", 2, "y"},
		{"a delayed leaving", []announcement{{"live", 2, "x"}, {"leaving", 1, "x"}}, []bool{true, false}, "live", 2, "x"},
		{"leaving", []announcement{{"live", 1, "x"}, {"leaving", 2, "x"}}, []bool{true, true}, "leaving", 2, "x"},
		{"leaving is sticky", []announcement{{"leaving", 2, "x"}, {"live", 3, "x"}}, []bool{true, true}, "leaving", 3, "x"},
		{"leaving despite a delayed announcement", []announcement{{"leaving", 2, "x"}, {"live", 1, "x"}}, []bool{true, false}, "leaving", 2, "x"},
		{"gone", []announcement{{"live", 2, "x"}, {"gone", 0, ""}}, []bool{true, true}, "gone", 2, "x"},
		{"gone is final", []announcement{{"live", 2, "x"}, {"gone", 0, ""}, {"live", 3, "x"}, {"leaving", 4, "x"}, {"gone", 0, ""}}, []bool{true, true, false, false, false}, "gone", 2, "x"},
		{"first announced as gone", []announcement{{"gone", 0, ""}, {"live", 3, "x"}}, []bool{true, false}, "gone", 0, ""},
		{"no address", []announcement{{"live", 1, ""}}, []bool{false}, "", 0, ""},
		{"no such state", []announcement{{"asleep", 1, "x"}}, []bool{false}, "", 0, ""},
		{"no state", []announcement{{"", 1, "x"}}, []bool{false}, "", 0, ""},
	} {
		k := New(Options{Enrolled: true})
		for i, w := range c.announcements {
			k.now = k.now.Add(1e9)
			b := newAnnouncement("s", w.state, w.count)
			b.Addr = w.addr
			require.Equal(t, c.isNew[i], k.enrol(b), "%s: announcement %d", c.name, i+1)
		}
		e := k.enrolledServers["s"]
		if c.state == "" {
			require.Nil(t, e, c.name)
			continue
		}
		require.Equal(t, []any{c.state, c.count, c.addr}, []any{e.State, e.Count, e.Addr}, c.name)
	}
	require.False(t, New(Options{Enrolled: true}).enrol(newAnnouncement("", "live", 1)), "no id")
}

// When a newer start of a server uses an address, the older id is presumed gone, and delayed announcements don't revive
// it.
func TestReusedAddress(t *testing.T) {
	c := newCluster(t, modelPlan(12, "llm|m"), "a", "b", "c")
	m := c.serve("old", "llm|m")
	r := c.route("r")
	r.keyLoads["llm|m"] = protocol.KeyLoad{Arrived: 1}
	require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "old") }))
	delete(c.models, m.Addr)
	n := c.serve("new")
	delete(c.models, n.Addr)
	n.Addr = m.Addr
	c.models[n.Addr] = n
	require.True(t, c.until(9e9, func() bool { return c.leader().servers["new"] != nil }))
	c.run(100e6)
	require.Equal(t, "gone", c.leader().enrolledServers["old"].State)
	require.False(t, r.sends("llm|m", "old"), "no requests go to the address under the old id")
	c.announce(c.owner(), newAnnouncement("old", "live", 99))
	c.announce(c.follower(), newAnnouncement("old", "live", 98))
	c.run(400e6)
	for id, k := range c.nodes {
		require.Equal(t, "gone", k.enrolledServers["old"].State, id)
		require.Equal(t, "live", k.enrolledServers["new"].State, id)
	}
}

// An announcement to any node reaches the leader and every other node.
func TestBeaconsSpread(t *testing.T) {
	c := newCluster(t, modelPlan(12, "llm|m"), "a", "b", "c")
	for i, id := range generic.SortedKeys(c.nodes) {
		s := ident.Server("s" + id)
		ok, answered := c.announce(id, newAnnouncement(string(s), "live", 1))
		require.True(t, ok && answered)
		require.NotNil(t, c.leader().servers[s], "the leader knows of a new server at once")
		c.announce(id, newAnnouncement(string(s), "live", 2))
		c.run(300e6)
		for n, k := range c.nodes {
			require.NotNil(t, k.enrolledServers[s], n)
			require.EqualValues(t, 2, k.enrolledServers[s].Count, n)
		}
		require.Len(t, c.leader().servers, i+1)
	}
}

// A departure is acknowledged only when the leader and a majority know of it. The leader is a.
func TestLeavingIsKnown(t *testing.T) {
	for _, x := range []struct {
		name     string
		receiver string // the node that receives the announcement
		parted   []string
		heal     clock.Span // when the connections are restored; 0 for never
		ok       bool
		within   clock.Span // latest time of the answer
		least    clock.Span // earliest time of the answer
	}{
		{"all are there", "c", nil, 0, true, 1, 0},
		{"the leader does not receive it", "c", []string{"a"}, 0, false, 1100e6, 800e6},
		{"the leader receives it later", "c", []string{"a"}, 300e6, true, 700e6, 300e6},
		{"the third node does not receive it", "c", []string{"b"}, 0, true, 1, 0},
		{"no other node receives it", "c", []string{"a", "b"}, 0, false, 1100e6, 800e6},
		{"no other node receives it at first", "c", []string{"a", "b"}, 500e6, true, 900e6, 500e6},
		{"announced to the leader", "a", nil, 0, true, 1, 0},
		{"only the leader receives it", "a", []string{"b", "c"}, 0, false, 1100e6, 800e6},
		{"the leader and one other node receive it", "a", []string{"c"}, 0, true, 1, 0},
		{"only the leader receives it at first", "a", []string{"b", "c"}, 500e6, true, 900e6, 500e6},
	} {
		for _, state := range []string{"leaving", "gone"} {
			c := newCluster(t, modelPlan(12, "llm|m"), "a", "b", "c")
			require.Equal(t, "a", c.owner())
			c.announce("c", newAnnouncement("s", "live", 1))
			c.run(500e6)
			for _, id := range x.parted {
				c.partitioned[id] = true
			}
			at := c.at
			b := newAnnouncement("s", state, 2)
			_, answered := c.announce(x.receiver, b)
			token := c.token
			heal := func() {
				if x.heal != 0 && c.at.Sub(at) >= x.heal {
					c.partitioned = map[string]bool{}
				}
			}
			ok := false
			require.True(t, c.until(3e9, func() bool {
				heal()
				ok, answered = c.answer(token)
				return answered
			}), "%s: %s", x.name, state)
			require.Equal(t, x.ok, ok, "%s: %s", x.name, state)
			require.LessOrEqual(t, c.at.Sub(at), x.within, "%s: %s", x.name, state)
			require.GreaterOrEqual(t, c.at.Sub(at), x.least, "%s: %s", x.name, state)
			if !ok {
				continue
			}
			require.Equal(t, state, c.nodes["a"].enrolledServers["s"].State, "%s: the leader knows", x.name)
			ok, answered = c.announce(x.receiver, b) // the first answer may have been lost
			require.True(t, c.until(1e9, func() bool { ok, answered = c.answer(c.token); return answered }), x.name)
			require.True(t, ok, "%s: a repeat is answered like the first", x.name)
		}
	}
}

// An announcement that an unknown server is gone is acknowledged and has no further effect.
func TestUnknownGoing(t *testing.T) {
	c := newCluster(t, modelPlan(12, "llm|m"), "a", "b", "c")
	for _, id := range generic.SortedKeys(c.nodes) {
		b := protocol.Announcement{ListedServer: protocol.ListedServer{ID: "nobody", State: "gone"}}
		ok, answered := c.announce(id, b)
		if !answered {
			c.run(1e9)
			ok, _ = c.answer(c.token)
		}
		require.True(t, ok, id)
	}
	require.Empty(t, c.leader().servers)
}

// No router may send to a server whose departure is acknowledged: its promises are broken before, or expire with the
// lease.
func TestLeavingBreaksPromises(t *testing.T) {
	c := newCluster(t, modelPlan(12, "llm|m"), "a", "b", "c")
	m := c.serve("s", "llm|m")
	r, stuck := c.route("r"), c.route("stuck")
	for _, x := range []*router{r, stuck} {
		x.keyLoads["llm|m"] = protocol.KeyLoad{Arrived: 1}
	}
	require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") && stuck.sends("llm|m", "s") }))
	stuck.withholdAcks = true
	m.unannounced = true
	b := newAnnouncement("s", "leaving", 99)
	ok, _ := c.announce("b", b)
	require.True(t, ok)
	c.run(20e6)
	require.False(t, r.sends("llm|m", "s"))
	c.run(c.leader().o.RouterLease)
	require.False(t, stuck.sends("llm|m", "s"), "the lease is not extended after a promise is broken")
}

// A silent server that answers polls stays reachable: its announcements may go to a core node that is disconnected from
// the leader.
func TestSilentButThere(t *testing.T) {
	c := newCluster(t, modelPlan(12, "llm|m"), "a", "b", "c")
	m, w := c.serve("s", "llm|m"), c.serve("w")
	w.Service = "web"
	r := c.route("r")
	r.keyLoads["llm|m"], r.keyLoads["web|"] = protocol.KeyLoad{Arrived: 1}, protocol.KeyLoad{Arrived: 1}
	require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") && r.sends("web|", "w") }))
	m.unannounced, w.unannounced = true, true
	for range 1000 {
		c.tick()
		require.True(t, r.sends("llm|m", "s"))
		require.True(t, r.sends("web|", "w"))
	}
}

// A server that is silent and doesn't answer polls is unreachable: it gets no requests until its next announcement.
func TestSilence(t *testing.T) {
	c := newCluster(t, modelPlan(12, "llm|m"), "a", "b", "c")
	m := c.serve("s", "llm|m")
	r := c.route("r")
	r.keyLoads["llm|m"] = protocol.KeyLoad{Arrived: 1}
	require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") }))
	c.run(10e9)
	require.True(t, r.sends("llm|m", "s"), "the server announces itself")
	m.unannounced, m.unresponsive = true, true
	c.run(c.leader().o.SilenceTimeout - 1100e6)
	require.True(t, r.sends("llm|m", "s"), "the next announcement is not overdue yet")
	c.run(1500e6 + 2*(c.leader().o.ServerTimeout+c.leader().o.ReportInterval))
	require.False(t, r.sends("llm|m", "s"))
	require.True(t, c.leader().servers["s"].unreachable)
	m.unannounced, m.unresponsive = false, false
	require.True(t, c.until(2e9, func() bool { return r.sends("llm|m", "s") }), "an announcement makes it reachable again")
}

// Servers that announce themselves before there is a plan are used once the plan arrives.
func TestPlanAfterServers(t *testing.T) {
	c := newCluster(t, nil, "a", "b", "c")
	m := c.serve("s", "llm|m")
	w := c.serve("w")
	w.Service = "web"
	c.run(3e9)
	require.Len(t, c.leader().servers, 2)
	require.Empty(t, c.sentOrders)
	p := modelPlan(12, "llm|m", "llm|n")
	p.Models["llm|n"] = fleetplan.Model{Key: "llm|n", Size: 4, MinReplicas: 1, MaxReplicas: 1, LoadTime: 1e9}
	c.plans["new"] = p
	got := c.admin("b", Admin{Op: "put", Raw: []byte("new"), Expect: 0, Number: 7})
	require.True(t, c.until(2e9, func() bool { return got() != nil }))
	require.Equal(t, failure.None, got().Kind)
	r := c.route("r")
	r.keyLoads["llm|m"], r.keyLoads["web|"] = protocol.KeyLoad{Arrived: 1}, protocol.KeyLoad{Arrived: 1}
	require.True(t, c.until(3e9, func() bool { return r.sends("llm|m", "s") && r.sends("web|", "w") }))
	require.True(t, c.until(9e9, func() bool { return m.holds["llm|n"] }), "the floor of n is met")
}

// A new leader starts with the last server list and its own registry, so that routers get entries again at once, with
// servers that have not announced themselves since.
func TestTakeoverKnowsServers(t *testing.T) {
	c := newCluster(t, modelPlan(12, "llm|m"), "a", "b", "c")
	s, w := c.serve("s", "llm|m"), c.serve("w")
	w.Service = "web"
	r := c.route("r")
	r.keyLoads["llm|m"], r.keyLoads["web|"] = protocol.KeyLoad{Arrived: 1}, protocol.KeyLoad{Arrived: 1}
	require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") && r.sends("web|", "w") }))
	c.run(1e9)
	for _, id := range []string{"b", "c"} {
		require.Len(t, c.nodes[id].list.List, 2, id)
	}
	for _, known := range []bool{true, false} {
		if !known {
			for _, id := range generic.SortedKeys(c.nodes) {
				c.nodes[id].enrolledServers = map[ident.Server]*enrolled{} // as after a restart
			}
		}
		s.unannounced, w.unannounced = true, true
		was := c.owner()
		c.partitioned[was] = true
		require.True(t, c.until(5e9, func() bool { return c.owner() != "" && c.owner() != was }))
		require.Len(t, c.leader().servers, 2)
		require.True(t, c.until(3e9, func() bool { return r.sends("llm|m", "s") && r.sends("web|", "w") }))
		c.partitioned = map[string]bool{}
		s.unannounced, w.unannounced = false, false
		c.run(4e9)
	}
}

// Servers of a plain service are offered as soon as they announce themselves. They get no orders and no evictions.
func TestPlainServers(t *testing.T) {
	c := newCluster(t, modelPlan(8, "llm|m", "llm|n", "llm|o"), "a")
	r := c.route("r")
	r.keyLoads["web|"] = protocol.KeyLoad{Arrived: 5, ServerSeconds: 1}
	c.run(2e9)
	w := c.serve("w")
	w.Service = "web"
	require.True(t, c.until(600e6, func() bool { return r.sends("web|", "w") }))
	c.serve("s", "llm|m", "llm|n")
	r.keyLoads["llm|o"] = protocol.KeyLoad{Waiting: 5, Arrived: 5, ServerSeconds: 1}
	delete(r.keyLoads, "web|")
	c.run(20e9)
	r.keyLoads["web|"] = protocol.KeyLoad{Arrived: 1}
	c.run(1e9)
	require.True(t, r.sends("web|", "w"))
	require.NotEmpty(t, c.sentOrders)
	for _, o := range c.sentOrders {
		require.NotEqual(t, w.Addr, o.addr)
	}
}

// Servers with models are also offered for requests without a model, from their first report until they leave, whatever
// models they hold. This causes no orders and no evictions.
func TestServersOfferedWithoutModel(t *testing.T) {
	c := newCluster(t, modelPlan(8, "llm|m", "llm|n", "llm|o"), "a", "b", "c")
	r := c.route("r")
	r.keyLoads["llm|"] = protocol.KeyLoad{Arrived: 5, ServerSeconds: 1}
	c.serve("s", "llm|m", "llm|n")
	c.serve("empty")
	require.True(t, c.until(4e9, func() bool { return r.sends("llm|", "s") && r.sends("llm|", "empty") }))
	r.keyLoads["llm|o"] = protocol.KeyLoad{Waiting: 5, Arrived: 5, ServerSeconds: 1}
	c.run(10e9)
	require.True(t, r.sends("llm|", "s") && r.sends("llm|", "empty"))
	for _, o := range c.sentOrders {
		require.NotEqual(t, ident.Key("llm|"), o.Key)
	}
	c.models["at-s"].unannounced = true
	c.announce(c.follower(), protocol.Announcement{ListedServer: newAnnouncement("s", "leaving", 1000).ListedServer, Count: 1000})
	require.True(t, c.until(4e9, func() bool { return !r.sends("llm|", "s") }))
	require.True(t, r.sends("llm|", "empty"))
}

// An unreachable server is not offered for requests without a model either.
func TestDarkServerNotOfferedWithoutModel(t *testing.T) {
	c := newCluster(t, modelPlan(8, "llm|m"), "a", "b", "c")
	r := c.route("r")
	r.keyLoads["llm|"] = protocol.KeyLoad{Arrived: 5, ServerSeconds: 1}
	s := c.serve("s", "llm|m")
	c.serve("t", "llm|m")
	require.True(t, c.until(4e9, func() bool { return r.sends("llm|", "s") && r.sends("llm|", "t") }))
	s.unannounced, s.unresponsive = true, true
	require.True(t, c.until(20e9, func() bool { return !r.sends("llm|", "s") }))
	require.True(t, r.sends("llm|", "t"))
}

// When an entry loses a server, its holder gets the break and the remaining servers in one message, so that it needn't
// ask a leader that may have failed by then.
func TestBrokenEntryKeepsItsOtherServers(t *testing.T) {
	c := newCluster(t, modelPlan(8, "llm|m"), "a", "b", "c")
	r := c.route("r")
	r.keyLoads["web|"] = protocol.KeyLoad{Arrived: 5, ServerSeconds: 1}
	for _, id := range []string{"w1", "w2", "w3"} {
		c.serve(id).Service = "web"
	}
	all := func() bool { return r.sends("web|", "w1") && r.sends("web|", "w2") && r.sends("web|", "w3") }
	require.True(t, c.until(4e9, all))
	delete(r.keyLoads, "web|") // the router has no demand that would request the entry again
	leaving := newAnnouncement("w1", "leaving", 1000).ListedServer
	leaving.Service = "web"
	c.models["at-w1"].unannounced = true
	c.announce(c.follower(), protocol.Announcement{ListedServer: leaving, Count: 1000})
	require.True(t, c.until(4e9, func() bool { return !r.sends("web|", "w1") }))
	require.True(t, r.sends("web|", "w2"))
	require.True(t, r.sends("web|", "w3"))
	c.partitioned["r"] = true
	c.run(200e6)
	require.True(t, r.sends("web|", "w2"))
}
