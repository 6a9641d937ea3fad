package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// yard is an owner's core over servers of 10, one in each of two zones and two in a third.
func newMoveCore(t *testing.T, holds map[ident.Server][]ident.Key) *Core {
	c := New(Options{})
	c.plan = &fleetplan.Plan{Loads: 2, Models: map[ident.Key]fleetplan.Model{}}
	for _, k := range []ident.Key{"a", "b", "c", "d", "a+x"} {
		c.plan.Models[k] = fleetplan.Model{Key: k, Size: 2, Most: 3}
	}
	c.plan.Models["f"] = fleetplan.Model{Key: "f", Size: 2, Floor: 2, Most: 3}
	for id, z := range map[ident.Server]ident.Zone{"s1": "za", "s2": "zb", "s3": "zc", "s4": "zc"} {
		s := &server{Listed: protocol.Listed{ID: id, Addr: string(id), Zone: z, State: "live"}, known: true, room: 10, slots: 4, spots: map[ident.Key]*spot{}}
		for _, k := range holds[id] {
			s.spots[k] = &spot{key: k, size: 2, stage: Ready, num: 1, ready: 1}
		}
		c.addServer(s)
	}
	c.now = 100e9
	return c
}

type keys = map[ident.Server][]ident.Key

// When a move begins, and of what. A steady fleet makes none.
func TestEven(t *testing.T) {
	for _, x := range []struct {
		name  string
		holds keys
		more  func(c *Core)
		moves ident.Key
		to    ident.Server
	}{
		{"even", keys{"s1": {"a"}, "s2": {"b"}, "s3": {"c"}, "s4": {"d"}}, nil, "", ""},
		{"a little uneven", keys{"s1": {"a"}, "s2": {"b"}, "s3": {"c"}}, nil, "", ""},
		{"uneven", keys{"s1": {"a", "b", "c"}, "s2": {"d"}, "s3": {"d"}, "s4": {}}, nil, "a", "s4"},
		{"the most worked at goes", keys{"s1": {"a", "b", "c"}, "s2": {"d"}, "s3": {"d"}}, func(c *Core) { c.servers["s1"].spots["b"].work = 3 }, "b", "s4"},
		{"one move at a time", keys{"s1": {"a", "b", "c"}}, func(c *Core) { c.shifts["d"] = &shift{} }, "", ""},
		{"not right after another", keys{"s1": {"a", "b", "c"}}, func(c *Core) { c.shifted = c.now }, "", ""},
		{"not for a moment's unevenness", keys{"s1": {"a", "b", "c"}}, func(c *Core) { c.uneven = c.now }, "", ""},
		{"not to one that leaves", keys{"s1": {"a", "b", "c"}, "s2": {"d"}, "s3": {"d"}}, func(c *Core) { c.servers["s4"].State = "leaving" }, "", ""},
		{"not to one that is closed before long", keys{"s1": {"a", "b", "c"}, "s2": {"d"}, "s3": {"d"}}, func(c *Core) { c.soonS = map[ident.Server]bool{"s4": true} }, "", ""},
		{"not to one whose report is odd", keys{"s1": {"a", "b", "c"}, "s2": {"d"}, "s3": {"d"}}, func(c *Core) { c.servers["s4"].odd = "?" }, "", ""},
		{"no base under its adapters", keys{"s1": {"a", "a+x", "b"}, "s2": {"d"}, "s3": {"d"}}, nil, "b", "s4"},
		{"a floor in one zone spreads", keys{"s1": {"a"}, "s2": {"b"}, "s3": {"f"}, "s4": {"f"}}, nil, "f", "s1"},
		{"a floor in two zones stays", keys{"s1": {"f"}, "s2": {"b"}, "s3": {"f"}, "s4": {"d"}}, nil, "", ""},
	} {
		c := newMoveCore(t, x.holds)
		c.uneven = c.now - 6e9
		if x.more != nil {
			x.more(c)
		}
		was := len(c.shifts)
		c.rebalance()
		if x.moves == "" {
			require.Len(t, c.shifts, was, x.name)
			continue
		}
		require.NotNil(t, c.shifts[x.moves], "%s: %v", x.name, c.shifts)
		require.Equal(t, x.to, c.shifts[x.moves].to, x.name)
		require.Equal(t, Ordered, c.servers[x.to].spots[x.moves].stage, x.name)
		require.Equal(t, Ready, c.servers[c.shifts[x.moves].from].spots[x.moves].stage, "the old one stays: "+x.name)
	}
}

// Each step of a move, and what becomes of it. The old replica goes only when the new one is ready.
func TestShifts(t *testing.T) {
	for _, x := range []struct {
		name string
		do   func(c *Core, from, to *spot)
		left int
		from string
	}{
		{"it loads", func(_ *Core, _, to *spot) { to.stage = Ordered }, 1, Ready},
		{"it is ready, and cold", func(c *Core, _, to *spot) { to.ready = c.now }, 1, Ready},
		{"it is warm", func(*Core, *spot, *spot) {}, 0, Breaking},
		{"the target restarted empty", func(c *Core, _, _ *spot) { c.removeSpot(c.servers["s2"], "a") }, 0, Ready},
		{"the target is gone", func(c *Core, _, _ *spot) { c.removeServer("s2") }, 0, Ready},
		{"the target leaves", func(c *Core, _, _ *spot) { c.servers["s2"].State = "leaving" }, 0, Ready},
		{"the source restarted empty", func(c *Core, _, _ *spot) { c.removeSpot(c.servers["s1"], "a") }, 0, ""},
		{"the source is gone", func(c *Core, _, _ *spot) { c.removeServer("s1") }, 0, ""},
		{"the source unloads it already", func(_ *Core, from, _ *spot) { from.stage = Draining }, 0, Draining},
	} {
		c := newMoveCore(t, keys{"s1": {"a"}, "s2": {"a"}})
		c.shifts["a"] = &shift{"s1", "s2"}
		from := c.servers["s1"].spots["a"]
		x.do(c, from, c.servers["s2"].spots["a"])
		c.advanceMoves()
		require.Len(t, c.shifts, x.left, x.name)
		if x.from != "" {
			require.Equal(t, x.from, from.stage, x.name)
		}
	}
}

// A key that had work lately and is only held where it cannot stay is wished for elsewhere; what
// has another replica, or no work, is not.
func TestParting(t *testing.T) {
	for _, x := range []struct {
		name string
		do   func(c *Core)
		need int
	}{
		{"all stays", func(*Core) {}, 0},
		{"its server leaves", func(c *Core) { c.servers["s1"].State = "leaving" }, 1},
		{"its zone is emptied", func(c *Core) { c.empty["za"] = true }, 1},
		{"its server is closed before long", func(c *Core) { c.soonS = map[ident.Server]bool{"s1": true} }, 1},
		{"its zone is, too", func(c *Core) { c.soonZ = map[ident.Zone]bool{"za": true} }, 1},
		{"no work for long", func(c *Core) { c.servers["s1"].State, c.servers["s1"].spots["a"].busy = "leaving", 1 }, 0},
		{"another replica stays", func(c *Core) {
			c.servers["s1"].State = "leaving"
			c.putSpot(c.servers["s2"], &spot{key: "a", stage: Ready})
		}, 0},
	} {
		c := newMoveCore(t, keys{"s1": {"a"}})
		c.servers["s1"].spots["a"].busy = c.now - 5e9
		x.do(c)
		require.Equal(t, x.need, c.requirementOf(c.plan.Models["a"]).wanted, x.name)
	}
}

// A report that contradicts itself is told, and its numbers free no room.
func TestOddity(t *testing.T) {
	ok := protocol.Held{Key: "a", Size: 2, Stage: "ready"}
	with := func(f func(h *protocol.Held)) protocol.Held { h := ok; f(&h); return h }
	for _, x := range []struct {
		name string
		r    protocol.Report
		odd  bool
	}{
		{"sound", protocol.Report{Room: 10, Slots: 4, Held: []protocol.Held{ok}}, false},
		{"more than its room", protocol.Report{Room: 1, Slots: 4, Held: []protocol.Held{ok}}, true},
		{"room below zero", protocol.Report{Room: -1, Slots: 4}, true},
		{"no slots", protocol.Report{Room: 10}, true},
		{"room past counting", protocol.Report{Room: 1 << 62, Slots: 4}, true},
		{"a key twice", protocol.Report{Room: 10, Slots: 4, Held: []protocol.Held{ok, ok}}, true},
		{"a size below zero", protocol.Report{Room: 10, Slots: 4, Held: []protocol.Held{with(func(h *protocol.Held) { h.Size = -9 })}}, true},
		{"sizes that overflow", protocol.Report{Room: 10, Slots: 4, Held: []protocol.Held{with(func(h *protocol.Held) { h.Size = 1 << 62 }), with(func(h *protocol.Held) { h.Key, h.Size = "b", 1<<62 })}}, true},
		{"work below zero", protocol.Report{Room: 10, Slots: 4, Held: []protocol.Held{with(func(h *protocol.Held) { h.Active = -1 })}}, true},
		{"no name", protocol.Report{Room: 10, Slots: 4, Held: []protocol.Held{with(func(h *protocol.Held) { h.Key = "" })}}, true},
		{"no such stage", protocol.Report{Room: 10, Slots: 4, Held: []protocol.Held{with(func(h *protocol.Held) { h.Stage = "gone" })}}, true},
	} {
		require.Equal(t, x.odd, oddity(x.r) != "", x.name)
		c := newMoveCore(t, nil)
		s := c.servers["s1"]
		c.onReport(s, x.r, c.now)
		used := s.used()
		require.True(t, used >= 0 && used <= 2*mostSize, x.name)
		require.Equal(t, !x.odd, c.mayHold(s, "d"), x.name)
		require.Equal(t, x.odd, s.odd != "", x.name)
	}
}

// What of a plan the servers cannot give is told with its path.
func TestLacks(t *testing.T) {
	c := newMoveCore(t, keys{"s1": {"f"}, "s2": {"f"}})
	c.duty.mine, c.duty.asked, c.listed = true, c.now, 1
	require.Empty(t, c.lacks())
	for _, x := range []struct {
		key  ident.Key
		m    fleetplan.Model
		path string
	}{
		{"d", fleetplan.Model{Size: 2, Floor: 5, Most: 9}, "$.models.d.floor"},
		{"d", fleetplan.Model{Size: 11, Floor: 0, Most: 9}, "$.models.d.size"},
		{"a+x", fleetplan.Model{Size: 2, Floor: 1, Most: 9}, "$.adapters.x.floor"},
		{"d", fleetplan.Model{Size: 10, Floor: 4, Most: 9}, "$"},
	} {
		c := newMoveCore(t, keys{"s1": {"f"}, "s2": {"f"}})
		c.duty.mine, c.duty.asked, c.listed = true, c.now, 1
		x.m.Key = x.key
		c.plan.Models[x.key] = x.m
		l := c.lacks()
		require.NotEmpty(t, l)
		require.Equal(t, x.path, l[len(l)-1].Path)
	}
	c = newMoveCore(t, keys{"s3": {"f"}, "s4": {"f"}})
	c.duty.mine, c.duty.asked, c.listed = true, c.now, 1
	require.Equal(t, fleetplan.Faults{{Path: "$.models.f.floor", Why: "every replica is in one zone"}}, fleetplan.Faults(c.lacks()))
}
