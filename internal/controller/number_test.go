package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// submit submits a change, and waits for its receipt.
func (c *cluster) submit(node string, a Admin) Receipt {
	got := c.admin(node, a)
	require.True(c.t, c.until(9e9, func() bool { return got() != nil }))
	return *got()
}

// Operators number their changes one after the other and submit each at any node.
func TestNumberedChanges(t *testing.T) {
	c := newCluster(t, nil, "a", "b", "c")
	for i := range 10 {
		c.plans[fmt.Sprint("p", i)] = modelPlan(8+i, "llm|m")
	}
	c.plans[`{"p":4}`] = modelPlan(30, "llm|m")
	put := func(plan string, on, number ident.Epoch, id string) Admin {
		return Admin{Op: "put", Raw: []byte(plan), Expect: on, Number: number, Change: id}
	}
	for i, x := range []struct {
		name  string
		a     Admin
		kind  failure.Kind
		epoch ident.Epoch // named by the receipt
		plan  string      // in force afterwards
		now   ident.Epoch
	}{
		{"the first", put("p1", 0, 5, "x1"), failure.None, 5, "p1", 5},
		{"its repeat", put("p1", 0, 5, "x1"), failure.None, 5, "p1", 5},
		{"a second change on the same epoch", put("p2", 0, 6, "x2"), failure.Conflict, 5, "p1", 5},
		{"an equal epoch number", put("p2", 5, 5, "x3"), failure.FaultyPlan, 5, "p1", 5},
		{"a lower epoch number", put("p2", 5, 4, "x4"), failure.FaultyPlan, 5, "p1", 5},
		{"a gap in the numbers", put("p2", 5, 9, "x5"), failure.None, 9, "p2", 9},
		{"the repeat of a change with a successor", put("p1", 0, 5, "x1"), failure.None, 5, "p2", 9},
		{"an outdated expected epoch", put("p3", 5, 10, "x6"), failure.Conflict, 9, "p2", 9},
		{"an expected epoch in the future", put("p3", 10, 11, "x7"), failure.Conflict, 9, "p2", 9},
		{"a patch", Admin{Op: "patch", Raw: []byte(`{"p":4}`), Expect: 9, Number: 10, Change: "x8"}, failure.None, 10, `{"p":4}`, 10},
		{"its repeat", Admin{Op: "patch", Raw: []byte(`{"p":4}`), Expect: 9, Number: 10, Change: "x8"}, failure.None, 10, `{"p":4}`, 10},
		{"a plan with faults", put("nonsense", 10, 11, "x9"), failure.FaultyPlan, 0, `{"p":4}`, 10},
		{"a refused plan takes no number", put("p5", 10, 11, "x10"), failure.None, 11, "p5", 11},
		{"the same plan under a new number", put("p5", 11, 12, "x11"), failure.None, 12, "p5", 12},
		{"the repeat of a refused change", put("p3", 5, 10, "x6"), failure.Conflict, 12, "p5", 12},
		{"no number takes the next one", put("p6", 12, 0, "x12"), failure.None, 13, "p6", 13},
	} {
		node := generic.SortedKeys(c.nodes)[i%3]
		r := c.submit(node, x.a)
		require.Equal(t, x.kind, r.Kind, x.name)
		require.Equal(t, x.epoch, r.Epoch, x.name)
		for _, id := range generic.SortedKeys(c.nodes) {
			v := c.submit(id, Admin{Op: "get"})
			require.Equal(t, x.now, v.Epoch, "%s: read at %s", x.name, id)
			require.Equal(t, x.plan, string(v.Plan), "%s: read at %s", x.name, id)
		}
	}
}

// Eight changes that expect the same epoch arrive at once at different nodes. Exactly one is taken, and a repeat
// of any of them gets the same answer.
func TestConcurrentChangesOnOneEpoch(t *testing.T) {
	for _, x := range []struct {
		name        string
		nodes       []string // nodes that receive the changes in turn
		partitioned bool     // a node other than the leader is partitioned
		delay       clock.Span
	}{
		{"at one node", []string{"a"}, false, 0}, {"at one other than the leader", []string{"c"}, false, 0}, {"at all", []string{"a", "b", "c"}, false, 0},
		{"at the reachable nodes", []string{"a", "c"}, true, 0}, {"at one node, slowly", []string{"a"}, false, 40e6}, {"at all, slowly", []string{"a", "b", "c"}, false, 40e6},
		{"at the reachable nodes, slowly", []string{"a", "c"}, true, 40e6},
	} {
		c := newCluster(t, nil, "a", "b", "c")
		if x.partitioned {
			c.partitioned["b"] = true
		}
		c.plans["1"] = modelPlan(8, "llm|m")
		c.submit("a", Admin{Op: "put", Raw: []byte("1"), Expect: 0, Number: 1, Change: "first"})
		c.run(500e6)
		c.delay = x.delay
		var changes []Admin
		var got []func() *Receipt
		for i := range 8 {
			raw := fmt.Sprint("q", i)
			c.plans[raw] = modelPlan(20+i, "llm|m")
			changes = append(changes, Admin{Op: "put", Raw: []byte(raw), Expect: 1, Number: ident.Epoch(2 + i), Change: fmt.Sprint("c", i)})
			got = append(got, c.admin(x.nodes[i%len(x.nodes)], changes[i]))
		}
		at := c.at
		require.True(t, c.until(4e9, func() bool {
			for _, g := range got {
				if g() == nil {
					return false
				}
			}
			return true
		}), x.name)
		t.Logf("%s: answered after %v", x.name, c.at.Sub(at))
		won := -1
		for i, g := range got {
			switch g().Kind {
			case failure.None:
				require.Equal(t, -1, won, "%s: two changes confirmed on the same epoch", x.name)
				won = i
			default:
				require.Equal(t, failure.Conflict, g().Kind, x.name)
			}
		}
		require.NotEqual(t, -1, won, x.name)
		for i, a := range changes {
			r := c.submit(x.nodes[(i+1)%len(x.nodes)], a)
			require.Equal(t, i == won, r.Kind == failure.None, "%s: the repeat of %d", x.name, i)
			require.EqualValues(t, 2+won, r.Epoch, x.name)
		}
		require.Equal(t, string(changes[won].Raw), string(c.submit("a", Admin{Op: "get"}).Plan), x.name)
	}
}

// Eight changes, each based on the previous one, are sent as soon as that one is acknowledged. Every second
// answer is lost and its change is sent again to another node. All are applied once and in order.
func TestChangesInOrder(t *testing.T) {
	c := newCluster(t, nil, "a", "b", "c")
	ids := generic.SortedKeys(c.nodes)
	for i := range 8 {
		raw := fmt.Sprint("q", i)
		c.plans[raw] = modelPlan(8+i, "llm|m")
		a := Admin{Op: "put", Raw: []byte(raw), Expect: ident.Epoch(3 * i), Number: ident.Epoch(3*i + 3), Change: raw}
		if i%2 == 1 {
			c.step(ids[i%3], a)
			c.run(clock.Span(i) * 5e6)
		}
		r := c.submit(ids[(i+1)%3], a)
		require.Equal(t, failure.None, r.Kind, raw)
		require.Equal(t, a.Number, r.Epoch, raw)
	}
	c.run(500e6)
	for _, id := range ids {
		require.EqualValues(t, 24, c.nodes[id].Epoch(), id)
		require.Len(t, c.nodes[id].register.known.AppliedChanges, 8, id)
	}
}

// After a takeover, the newest change that a majority has accepted is in force at the next leader and at the
// routers. A change whose proposer was partitioned was either taken or not, as its repeat shows.
func TestChangeOverTakeover(t *testing.T) {
	for _, after := range []clock.Span{0, 20e6, 40e6, 60e6, 80e6, 100e6, 140e6} {
		c := newCluster(t, nil, "a", "b", "c")
		c.plans["1"], c.plans["2"] = modelPlan(8, "llm|m"), modelPlan(9, "llm|m")
		c.submit("a", Admin{Op: "put", Raw: []byte("1"), Expect: 0, Number: 1, Change: "first"})
		c.delay = 20e6
		a := Admin{Op: "put", Raw: []byte("2"), Expect: 1, Number: 2, Change: "second"}
		got := c.admin("a", a)
		c.run(after)
		c.partitioned["a"] = true
		require.True(t, c.until(6e9, func() bool { return c.owner() != "" && c.owner() != "a" }))
		r := c.submit("c", a)
		require.Equal(t, failure.None, r.Kind)
		require.EqualValues(t, 2, r.Epoch)
		c.run(5e9)
		if g := got(); g != nil && g.Kind == failure.None {
			require.EqualValues(t, 2, g.Epoch)
		}
		c.partitioned = map[string]bool{}
		c.run(3e9)
		for id, k := range c.nodes {
			require.EqualValues(t, 2, k.Epoch(), id)
			require.Equal(t, []protocol.Change{{ID: "first", Epoch: 1}, {ID: "second", Epoch: 2}}, k.register.known.AppliedChanges, id)
		}
	}
}
