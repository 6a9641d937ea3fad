package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// newMoveCore returns the core of a leader with four servers of room 10: one in each of two zones and two in a
// third.
func newMoveCore(t *testing.T, holds map[ident.Server][]ident.Key) *Core {
	c := New(Options{})
	c.plan = &fleetplan.Plan{ConcurrentLoads: 2, Models: map[ident.Key]fleetplan.Model{}}
	for _, k := range []ident.Key{"a", "b", "c", "d", "a+x"} {
		c.plan.Models[k] = fleetplan.Model{Key: k, Size: 2, MaxReplicas: 3}
	}
	c.plan.Models["f"] = fleetplan.Model{Key: "f", Size: 2, MinReplicas: 2, MaxReplicas: 3}
	for id, z := range map[ident.Server]ident.Zone{"s1": "za", "s2": "zb", "s3": "zc", "s4": "zc"} {
		s := &server{ListedServer: protocol.ListedServer{ID: id, Addr: string(id), Zone: z, State: "live"}, known: true, room: 10, slots: 4, replicas: map[ident.Key]*modelReplica{}}
		for _, k := range holds[id] {
			s.replicas[k] = &modelReplica{key: k, size: 2, stage: Ready, orderNum: 1, readySince: 1}
		}
		c.addServer(s)
	}
	c.now = 100e9
	return c
}

type heldKeys = map[ident.Server][]ident.Key

// Conditions under which a move starts, and of which key. A balanced fleet starts none.
func TestRebalance(t *testing.T) {
	for _, x := range []struct {
		name  string
		holds heldKeys
		setup func(c *Core)
		key   ident.Key
		to    ident.Server
	}{
		{"balanced", heldKeys{"s1": {"a"}, "s2": {"b"}, "s3": {"c"}, "s4": {"d"}}, nil, "", ""},
		{"slightly unbalanced", heldKeys{"s1": {"a"}, "s2": {"b"}, "s3": {"c"}}, nil, "", ""},
		{"unbalanced", heldKeys{"s1": {"a", "b", "c"}, "s2": {"d"}, "s3": {"d"}, "s4": {}}, nil, "a", "s4"},
		{"the busiest key moves", heldKeys{"s1": {"a", "b", "c"}, "s2": {"d"}, "s3": {"d"}}, func(c *Core) { c.servers["s1"].replicas["b"].running = 3 }, "b", "s4"},
		{"one move at a time", heldKeys{"s1": {"a", "b", "c"}}, func(c *Core) { c.moves["d"] = &replicaMove{} }, "", ""},
		{"not right after another move", heldKeys{"s1": {"a", "b", "c"}}, func(c *Core) { c.lastMoveAt = c.now }, "", ""},
		{"not for a short imbalance", heldKeys{"s1": {"a", "b", "c"}}, func(c *Core) { c.imbalancedSince = c.now }, "", ""},
		{"not to a leaving server", heldKeys{"s1": {"a", "b", "c"}, "s2": {"d"}, "s3": {"d"}}, func(c *Core) { c.servers["s4"].State = "leaving" }, "", ""},
		{"not to a server with a maintenance window ahead", heldKeys{"s1": {"a", "b", "c"}, "s2": {"d"}, "s3": {"d"}}, func(c *Core) { c.closingServers = map[ident.Server]bool{"s4": true} }, "", ""},
		{"not to a server with a contradictory report", heldKeys{"s1": {"a", "b", "c"}, "s2": {"d"}, "s3": {"d"}}, func(c *Core) { c.servers["s4"].contradiction = "?" }, "", ""},
		{"not a base with adapters", heldKeys{"s1": {"a", "a+x", "b"}, "s2": {"d"}, "s3": {"d"}}, nil, "b", "s4"},
		{"a floor in one zone is spread", heldKeys{"s1": {"a"}, "s2": {"b"}, "s3": {"f"}, "s4": {"f"}}, nil, "f", "s1"},
		{"a floor in two zones stays", heldKeys{"s1": {"f"}, "s2": {"b"}, "s3": {"f"}, "s4": {"d"}}, nil, "", ""},
	} {
		c := newMoveCore(t, x.holds)
		c.imbalancedSince = c.now - 6e9
		if x.setup != nil {
			x.setup(c)
		}
		was := len(c.moves)
		c.rebalance()
		if x.key == "" {
			require.Len(t, c.moves, was, x.name)
			continue
		}
		require.NotNil(t, c.moves[x.key], "%s: %v", x.name, c.moves)
		require.Equal(t, x.to, c.moves[x.key].to, x.name)
		require.Equal(t, Ordered, c.servers[x.to].replicas[x.key].stage, x.name)
		require.Equal(t, Ready, c.servers[c.moves[x.key].from].replicas[x.key].stage, "the old replica stays: "+x.name)
	}
}

// Each state of a move and its outcome. The old replica is evicted only when the new one is ready.
func TestMoveSteps(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(c *Core, from, to *modelReplica)
		moves  int
		stage  string
	}{
		{"loading", func(_ *Core, _, to *modelReplica) { to.stage = Ordered }, 1, Ready},
		{"ready for a short time", func(c *Core, _, to *modelReplica) { to.readySince = c.now }, 1, Ready},
		{"ready long enough", func(*Core, *modelReplica, *modelReplica) {}, 0, Breaking},
		{"the target restarted empty", func(c *Core, _, _ *modelReplica) { c.removeReplica(c.servers["s2"], "a") }, 0, Ready},
		{"the target is gone", func(c *Core, _, _ *modelReplica) { c.removeServer("s2") }, 0, Ready},
		{"the target leaves", func(c *Core, _, _ *modelReplica) { c.servers["s2"].State = "leaving" }, 0, Ready},
		{"the source restarted empty", func(c *Core, _, _ *modelReplica) { c.removeReplica(c.servers["s1"], "a") }, 0, ""},
		{"the source is gone", func(c *Core, _, _ *modelReplica) { c.removeServer("s1") }, 0, ""},
		{"the source is already evicting it", func(_ *Core, from, _ *modelReplica) { from.stage = Draining }, 0, Draining},
	} {
		c := newMoveCore(t, heldKeys{"s1": {"a"}, "s2": {"a"}})
		c.moves["a"] = &replicaMove{"s1", "s2"}
		from := c.servers["s1"].replicas["a"]
		x.change(c, from, c.servers["s2"].replicas["a"])
		c.advanceMoves()
		require.Len(t, c.moves, x.moves, x.name)
		if x.stage != "" {
			require.Equal(t, x.stage, from.stage, x.name)
		}
	}
}

// A recently used key gets a replica elsewhere if its only servers will not stay available. A key with another
// replica, or without recent work, does not.
func TestLeavingServersLoseNoKey(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(c *Core)
		wanted int
	}{
		{"its server stays", func(*Core) {}, 0},
		{"its server leaves", func(c *Core) { c.servers["s1"].State = "leaving" }, 1},
		{"its zone is emptied", func(c *Core) { c.empty["za"] = true }, 1},
		{"its server has a maintenance window ahead", func(c *Core) { c.closingServers = map[ident.Server]bool{"s1": true} }, 1},
		{"its zone has a maintenance window ahead", func(c *Core) { c.closingZones = map[ident.Zone]bool{"za": true} }, 1},
		{"no recent work", func(c *Core) { c.servers["s1"].State, c.servers["s1"].replicas["a"].lastActive = "leaving", 1 }, 0},
		{"another replica stays", func(c *Core) {
			c.servers["s1"].State = "leaving"
			c.putReplica(c.servers["s2"], &modelReplica{key: "a", stage: Ready})
		}, 0},
	} {
		c := newMoveCore(t, heldKeys{"s1": {"a"}})
		c.servers["s1"].replicas["a"].lastActive = c.now - 5e9
		x.change(c)
		require.Equal(t, x.wanted, c.requirementOf(c.plan.Models["a"]).wanted, x.name)
	}
}

// A report that contradicts itself is recorded as such, and its numbers free no room.
func TestContradictoryReport(t *testing.T) {
	ok := protocol.HeldKey{Key: "a", Size: 2, Stage: "ready"}
	with := func(f func(h *protocol.HeldKey)) protocol.HeldKey { h := ok; f(&h); return h }
	for _, x := range []struct {
		name          string
		r             protocol.ServerReport
		contradictory bool
	}{
		{"consistent", protocol.ServerReport{Room: 10, Slots: 4, Held: []protocol.HeldKey{ok}}, false},
		{"more held than its room", protocol.ServerReport{Room: 1, Slots: 4, Held: []protocol.HeldKey{ok}}, true},
		{"negative room", protocol.ServerReport{Room: -1, Slots: 4}, true},
		{"no slots", protocol.ServerReport{Room: 10}, true},
		{"excessive room", protocol.ServerReport{Room: 1 << 62, Slots: 4}, true},
		{"duplicate key", protocol.ServerReport{Room: 10, Slots: 4, Held: []protocol.HeldKey{ok, ok}}, true},
		{"negative size", protocol.ServerReport{Room: 10, Slots: 4, Held: []protocol.HeldKey{with(func(h *protocol.HeldKey) { h.Size = -9 })}}, true},
		{"overflowing sizes", protocol.ServerReport{Room: 10, Slots: 4, Held: []protocol.HeldKey{with(func(h *protocol.HeldKey) { h.Size = 1 << 62 }), with(func(h *protocol.HeldKey) { h.Key, h.Size = "b", 1<<62 })}}, true},
		{"negative work", protocol.ServerReport{Room: 10, Slots: 4, Held: []protocol.HeldKey{with(func(h *protocol.HeldKey) { h.Active = -1 })}}, true},
		{"empty key", protocol.ServerReport{Room: 10, Slots: 4, Held: []protocol.HeldKey{with(func(h *protocol.HeldKey) { h.Key = "" })}}, true},
		{"unknown stage", protocol.ServerReport{Room: 10, Slots: 4, Held: []protocol.HeldKey{with(func(h *protocol.HeldKey) { h.Stage = "gone" })}}, true},
	} {
		require.Equal(t, x.contradictory, contradiction(x.r) != "", x.name)
		c := newMoveCore(t, nil)
		s := c.servers["s1"]
		c.onReport(s, x.r, c.now)
		used := s.used()
		require.True(t, used >= 0 && used <= 2*maxSize, x.name)
		require.Equal(t, !x.contradictory, c.mayHold(s, "d"), x.name)
		require.Equal(t, x.contradictory, s.contradiction != "", x.name)
	}
}

// Requirements of a plan that the servers cannot meet are reported with their path.
func TestUnmetRequirements(t *testing.T) {
	c := newMoveCore(t, heldKeys{"s1": {"f"}, "s2": {"f"}})
	c.leadership.held, c.leadership.renewedAt, c.lastListRequest = true, c.now, 1
	require.Empty(t, c.shortfalls())
	for _, x := range []struct {
		key  ident.Key
		m    fleetplan.Model
		path string
	}{
		{"d", fleetplan.Model{Size: 2, MinReplicas: 5, MaxReplicas: 9}, "$.models.d.floor"},
		{"d", fleetplan.Model{Size: 11, MinReplicas: 0, MaxReplicas: 9}, "$.models.d.size"},
		{"a+x", fleetplan.Model{Size: 2, MinReplicas: 1, MaxReplicas: 9}, "$.adapters.x.floor"},
		{"d", fleetplan.Model{Size: 10, MinReplicas: 4, MaxReplicas: 9}, "$"},
	} {
		c := newMoveCore(t, heldKeys{"s1": {"f"}, "s2": {"f"}})
		c.leadership.held, c.leadership.renewedAt, c.lastListRequest = true, c.now, 1
		x.m.Key = x.key
		c.plan.Models[x.key] = x.m
		l := c.shortfalls()
		require.NotEmpty(t, l)
		require.Equal(t, x.path, l[len(l)-1].Path)
	}
	c = newMoveCore(t, heldKeys{"s3": {"f"}, "s4": {"f"}})
	c.leadership.held, c.leadership.renewedAt, c.lastListRequest = true, c.now, 1
	require.Equal(t, fleetplan.Faults{{Path: "$.models.f.floor", Why: "every replica is in one zone"}}, fleetplan.Faults(c.shortfalls()))
}
