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

// told waits for the receipt of a change.
func (c *cluster) told(node string, a Admin) Receipt {
	got := c.admin(node, a)
	require.True(c.t, c.until(9e9, func() bool { return got() != nil }))
	return *got()
}

// Changes that operators number, one after the other, each at any node.
func TestNumbers(t *testing.T) {
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
		epoch ident.Epoch // that the receipt names
		plan  string      // in force afterwards
		now   ident.Epoch
	}{
		{"the first", put("p1", 0, 5, "x1"), failure.None, 5, "p1", 5},
		{"its repeat", put("p1", 0, 5, "x1"), failure.None, 5, "p1", 5},
		{"another on the same one", put("p2", 0, 6, "x2"), failure.Conflict, 5, "p1", 5},
		{"an equal number", put("p2", 5, 5, "x3"), failure.Faulty, 5, "p1", 5},
		{"a lower one", put("p2", 5, 4, "x4"), failure.Faulty, 5, "p1", 5},
		{"a step", put("p2", 5, 9, "x5"), failure.None, 9, "p2", 9},
		{"the repeat of one that was built upon", put("p1", 0, 5, "x1"), failure.None, 5, "p2", 9},
		{"what it went on is no more", put("p3", 5, 10, "x6"), failure.Conflict, 9, "p2", 9},
		{"on what is not there yet", put("p3", 10, 11, "x7"), failure.Conflict, 9, "p2", 9},
		{"a patch", Admin{Op: "patch", Raw: []byte(`{"p":4}`), Expect: 9, Number: 10, Change: "x8"}, failure.None, 10, `{"p":4}`, 10},
		{"its repeat", Admin{Op: "patch", Raw: []byte(`{"p":4}`), Expect: 9, Number: 10, Change: "x8"}, failure.None, 10, `{"p":4}`, 10},
		{"a plan with faults", put("nonsense", 10, 11, "x9"), failure.Faulty, 0, `{"p":4}`, 10},
		{"and it has taken no number", put("p5", 10, 11, "x10"), failure.None, 11, "p5", 11},
		{"the same plan under a new number", put("p5", 11, 12, "x11"), failure.None, 12, "p5", 12},
		{"one refused is not done when it is repeated", put("p3", 5, 10, "x6"), failure.Conflict, 12, "p5", 12},
		{"no number counts on", put("p6", 12, 0, "x12"), failure.None, 13, "p6", 13},
	} {
		node := generic.SortedKeys(c.nodes)[i%3]
		r := c.told(node, x.a)
		require.Equal(t, x.kind, r.Kind, x.name)
		require.Equal(t, x.epoch, r.Epoch, x.name)
		for _, id := range generic.SortedKeys(c.nodes) {
			v := c.told(id, Admin{Op: "get"})
			require.Equal(t, x.now, v.Epoch, "%s: read at %s", x.name, id)
			require.Equal(t, x.plan, string(v.Plan), "%s: read at %s", x.name, id)
		}
	}
}

// Eight changes on top of the same one, at once and at all nodes: one is taken, and each that is sent
// again is answered as before.
func TestEightAtOnce(t *testing.T) {
	for _, x := range []struct {
		name  string
		nodes []string // that they come to in turn
		down  bool     // a node that is not the owner is parted
		delay clock.Span
	}{
		{"at one node", []string{"a"}, false, 0}, {"at one that is not the owner", []string{"c"}, false, 0}, {"at all", []string{"a", "b", "c"}, false, 0},
		{"at those that are there", []string{"a", "c"}, true, 0}, {"at one node, slowly", []string{"a"}, false, 40e6}, {"at all, slowly", []string{"a", "b", "c"}, false, 40e6},
		{"at those that are there, slowly", []string{"a", "c"}, true, 40e6},
	} {
		c := newCluster(t, nil, "a", "b", "c")
		if x.down {
			c.parted["b"] = true
		}
		c.plans["1"] = modelPlan(8, "llm|m")
		c.told("a", Admin{Op: "put", Raw: []byte("1"), Expect: 0, Number: 1, Change: "first"})
		c.run(500e6)
		c.delay = x.delay
		var l []Admin
		var got []func() *Receipt
		for i := range 8 {
			raw := fmt.Sprint("q", i)
			c.plans[raw] = modelPlan(20+i, "llm|m")
			l = append(l, Admin{Op: "put", Raw: []byte(raw), Expect: 1, Number: ident.Epoch(2 + i), Change: fmt.Sprint("c", i)})
			got = append(got, c.admin(x.nodes[i%len(x.nodes)], l[i]))
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
				require.Equal(t, -1, won, "%s: two on top of the same one", x.name)
				won = i
			default:
				require.Equal(t, failure.Conflict, g().Kind, x.name)
			}
		}
		require.NotEqual(t, -1, won, x.name)
		for i, a := range l {
			r := c.told(x.nodes[(i+1)%len(x.nodes)], a)
			require.Equal(t, i == won, r.Kind == failure.None, "%s: the repeat of %d", x.name, i)
			require.EqualValues(t, 2+won, r.Epoch, x.name)
		}
		require.Equal(t, string(l[won].Raw), string(c.told("a", Admin{Op: "get"}).Plan), x.name)
	}
}

// Eight changes one upon the other, each sent as soon as the one before is acknowledged, while every
// second answer is lost and its change is sent again elsewhere: all are there, once and in order.
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
		r := c.told(ids[(i+1)%3], a)
		require.Equal(t, failure.None, r.Kind, raw)
		require.Equal(t, a.Number, r.Epoch, raw)
	}
	c.run(500e6)
	for _, id := range ids {
		require.EqualValues(t, 24, c.nodes[id].Epoch(), id)
		require.Len(t, c.nodes[id].reg.known.Done, 8, id)
	}
}

// The newest change that a majority has is in force at the next owner, and at routers, and a change
// whose proposer was parted is either there or not, as its repeat tells.
func TestChangeOverTakeover(t *testing.T) {
	for _, after := range []clock.Span{0, 20e6, 40e6, 60e6, 80e6, 100e6, 140e6} {
		c := newCluster(t, nil, "a", "b", "c")
		c.plans["1"], c.plans["2"] = modelPlan(8, "llm|m"), modelPlan(9, "llm|m")
		c.told("a", Admin{Op: "put", Raw: []byte("1"), Expect: 0, Number: 1, Change: "first"})
		c.delay = 20e6
		a := Admin{Op: "put", Raw: []byte("2"), Expect: 1, Number: 2, Change: "second"}
		got := c.admin("a", a)
		c.run(after)
		c.parted["a"] = true
		require.True(t, c.until(6e9, func() bool { return c.owner() != "" && c.owner() != "a" }))
		r := c.told("c", a)
		require.Equal(t, failure.None, r.Kind)
		require.EqualValues(t, 2, r.Epoch)
		c.run(5e9)
		if g := got(); g != nil && g.Kind == failure.None {
			require.EqualValues(t, 2, g.Epoch)
		}
		c.parted = map[string]bool{}
		c.run(3e9)
		for id, k := range c.nodes {
			require.EqualValues(t, 2, k.Epoch(), id)
			require.Equal(t, []protocol.Change{{ID: "first", Epoch: 1}, {ID: "second", Epoch: 2}}, k.reg.known.Done, id)
		}
	}
}
