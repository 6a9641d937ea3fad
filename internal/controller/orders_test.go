package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// floor has the plan keep so many replicas of keys.
func floor(p *fleetplan.Plan, n int, keys ...ident.Key) *fleetplan.Plan {
	for _, k := range keys {
		m := p.Models[k]
		m.Floor = n
		p.Models[k] = m
	}
	return p
}

// An order goes on the count that the server last showed, and once the owner before is surely silent.
func TestOrdersCount(t *testing.T) {
	c := newCluster(t, floor(modelPlan(12, "llm|m", "llm|n", "llm|o"), 1, "llm|m", "llm|n", "llm|o"), "a")
	began := c.lead().duty.began
	m := c.serve("s")
	m.count, m.past = 7, nil
	m.snap()
	require.True(t, c.until(20e9, func() bool { return len(m.holds) == 3 }))
	require.Len(t, c.ops, 3)
	for i, o := range c.ops {
		require.Greater(t, o.at.Sub(began), c.lead().o.Settle)
		require.EqualValues(t, 7+i, o.Expected)
		require.Equal(t, "load", o.Op)
		require.Equal(t, 202, o.code)
		require.Equal(t, c.lead().duty.num, o.Duty)
		require.EqualValues(t, "a", o.Owner)
	}
	require.EqualValues(t, 10, m.count)
}

// What follows each answer to an order, and none: it is taken once in the end, and a model that a
// server holds is offered. Reports are from a while ago.
func TestOrderAnswers(t *testing.T) {
	for _, x := range []struct {
		name string
		do   func(m *modelServer)
		ops  []uint64 // the counts that the orders go on
		code []int
	}{
		{"taken", func(*modelServer) {}, []uint64{0}, []int{202}},
		{"taken, with old reports", func(m *modelServer) { m.lag = 450e6 }, []uint64{0}, []int{202}},
		{"taken, and slow", func(m *modelServer) { m.slow = 8e9 }, []uint64{0}, []int{202}},
		{"taken, its answer lost", func(m *modelServer) { m.lost = first(true, false) }, []uint64{0}, []int{202}},
		{"taken, its answer lost, and slow", func(m *modelServer) { m.slow, m.lost = 8e9, first(true, false) }, []uint64{0}, []int{202}},
		{"another's order came between", func(m *modelServer) {
			once := true
			m.lag = 0
			m.lost = func(protocol.Order) (bool, bool) {
				if once {
					m.count++
				}
				once = false
				return true, true
			}
		}, []uint64{0, 1}, []int{409, 202}},
		{"held already", func(m *modelServer) {
			m.lag = 0
			m.lost = func(protocol.Order) (bool, bool) {
				m.holds["llm|m"] = true
				return true, true
			}
		}, []uint64{0}, []int{200}},
	} {
		c := newCluster(t, floor(modelPlan(12, "llm|m"), 1, "llm|m"), "a")
		m := c.serve("s")
		x.do(m)
		r := c.route("r")
		r.burden["llm|m"] = protocol.Burden{Came: 1}
		require.True(t, c.until(15e9, func() bool { return r.sends("llm|m", "s") }), x.name)
		c.run(5e9)
		var ops []uint64
		var code []int
		for _, o := range c.ops {
			ops, code = append(ops, o.Expected), append(code, o.code)
		}
		require.Equal(t, x.ops, ops, x.name)
		require.Equal(t, x.code, code, x.name)
	}
}

// first loses the first order, or only its answer.
func first(taken, heard bool) func(protocol.Order) (bool, bool) {
	n := 0
	return func(protocol.Order) (bool, bool) {
		n++
		return taken || n > 1, heard || n > 1
	}
}

// An order that comes late, after its sender gave up on it, is still taken at most once.
func TestLateOrder(t *testing.T) {
	for _, late := range []clock.Span{700e6, 1000e6, 1500e6, 2500e6} {
		c := newCluster(t, floor(modelPlan(8, "llm|m", "llm|n"), 1, "llm|m", "llm|n"), "a")
		m := c.serve("s")
		var held *protocol.Order
		var at clock.Tick
		m.lost = func(o protocol.Order) (bool, bool) {
			if at == 0 {
				held, at = &o, c.at
				return false, false
			}
			return true, true
		}
		require.True(t, c.until(20e9, func() bool {
			if held != nil && c.at.Sub(at) > late {
				m.take(*held)
				held = nil
			}
			return len(m.holds) == 2 && held == nil
		}))
		require.EqualValues(t, 2, m.count, "%v", late)
	}
}

// What refuses an order for good: a higher fence ends the reign, another server at the address is not
// ordered anything until it has reported.
func TestOrderRefused(t *testing.T) {
	for _, x := range []struct {
		code  int
		reign bool
		known bool
	}{{412, false, false}, {421, true, false}, {400, true, true}, {409, true, true}, {503, true, true}} {
		c := newCluster(t, floor(modelPlan(12, "llm|m"), 1, "llm|m"), "a")
		c.serve("s")
		k := c.lead()
		num := k.duty.num
		require.True(t, c.until(9e9, func() bool { return len(c.ops) == 1 }))
		for i, a := range c.asks {
			if a.ask.Body.(protocol.Order).Op != "" {
				c.asks = append(c.asks[:i:i], c.asks[i+1:]...)
				c.step("a", protocol.Told{Token: a.ask.Token, OK: true, Code: x.code})
				break
			}
		}
		require.Equal(t, x.reign, k.duty.mine && k.duty.num == num, x.code)
		if x.reign {
			require.Equal(t, x.known, k.servers["s"].known, x.code)
			require.Equal(t, Ordered, k.servers["s"].spots["llm|m"].stage, x.code)
		}
		c.run(60e6)
		require.Len(t, c.ops, 1, "%d: a report comes first", x.code)
	}
}

// A report from before an order says nothing of it, whichever way the order went.
func TestOldReports(t *testing.T) {
	for _, x := range []struct {
		name  string
		r     protocol.Report
		stage string
	}{
		{"from before it", protocol.Report{Num: 4}, Ordered},
		{"from before it, with what it held then", protocol.Report{Num: 4, Held: []protocol.Held{{Key: "llm|n"}}}, Ordered},
		{"under way", protocol.Report{Num: 5, Busy: true}, Ordered},
		{"done", protocol.Report{Num: 5, Held: []protocol.Held{{Key: "llm|m"}}}, Ready},
		{"it came to nothing", protocol.Report{Num: 5}, ""},
	} {
		c := newCluster(t, modelPlan(12, "llm|m", "llm|n"), "a")
		k := c.lead()
		s := &server{Listed: beacon("s", "live", 1).Listed, known: true, room: 12, slots: 4, num: 6, spots: map[ident.Key]*spot{}}
		k.putSpot(s, &spot{key: "llm|m", size: 4, stage: Ordered, num: 6})
		k.addServer(s)
		k.now = c.at
		k.onReportAnswer(s, x.r, c.at)
		got := ""
		if p := s.spots["llm|m"]; p != nil {
			got = p.stage
		}
		require.Equal(t, x.stage, got, x.name)
		if x.r.Num == 4 {
			require.Nil(t, s.spots["llm|n"], x.name)
			require.EqualValues(t, 6, s.num, x.name)
		}
	}
}

// Whatever is asked for and however often it changes, no order takes a server past its room or its
// places, no model leaves while a router may send to it, and loads from the store keep to their rate.
func TestLimits(t *testing.T) {
	for seed := range uint64(6) {
		keys := []ident.Key{"llm|a", "llm|b", "llm|c", "llm|d", "llm|e", "llm|f", "llm|g", "llm|h", "llm|a+1", "llm|a+2", "llm|b+1", "llm|b+2", "llm|c+1", "llm|d+1"}
		p := modelPlan(10, keys...)
		c := newCluster(t, p, "a", "b", "c")
		dice := c.nodes["a"].o.Rand
		for i, id := range []string{"s1", "s2", "s3", "s4"} {
			m := c.serve(id, keys[i])
			m.lost = func(protocol.Order) (bool, bool) { return dice.IntN(12) > 0, dice.IntN(12) > 0 }
			m.lag = clock.Span(200+50*i) * 1e6
		}
		r := c.route("r")
		for round := range 12 {
			r.burden = map[ident.Key]protocol.Burden{}
			for range 3 {
				k := keys[dice.IntN(len(keys))]
				n := 1 + dice.IntN(9)
				r.burden[k] = protocol.Burden{Wait: n, Came: n, Load: float64(n) / 20}
			}
			r.holdup = dice.IntN(4) == 0
			if round%5 == 4 {
				c.parted[c.owner()] = true
				require.True(t, c.until(6e9, func() bool { return c.owner() != "" }))
			}
			c.run(4e9)
			c.parted = map[string]bool{}
		}
		v := p.Services["llm"]
		window := c.lead().o.Rate
		for i, from := range c.begun {
			n := 0
			for _, at := range c.begun[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			require.LessOrEqual(t, n, int(v.Loads*window.Seconds()*1.1)+3, "seed %d", seed)
		}
		require.NotEmpty(t, c.orders("load"), "seed %d", seed)
		require.NotEmpty(t, c.orders("unload"), "seed %d", seed)
	}
}

// A new owner finds an order of the old one under way, which its own reports do not show yet: it
// orders nothing that would not fit beside it.
func TestTakeoverWithOrderUnderWay(t *testing.T) {
	for _, slow := range []clock.Span{1e9, 4e9, 12e9} {
		for _, lag := range []clock.Span{100e6, 300e6, 500e6} {
			c := newCluster(t, modelPlan(8, "llm|m", "llm|n", "llm|o"), "a", "b", "c")
			m := c.serve("s", "llm|m")
			m.strict, m.slow, m.lag = true, slow, lag
			c.run(3e9)
			r := c.route("r")
			r.burden["llm|n"] = protocol.Burden{Wait: 2, Came: 1, Load: 0.01}
			require.True(t, c.until(9e9, func() bool { return m.doing.Op == "load" }))
			c.parted[c.owner()] = true
			delete(r.burden, "llm|n")
			r.burden["llm|o"] = protocol.Burden{Wait: 9, Came: 3, Load: 0.1}
			require.True(t, c.until(6e9, func() bool { return c.owner() != "" }))
			for end := c.at.Add(3*slow + 10e9); c.at < end && !m.holds["llm|o"]; {
				c.tick()
				if k := c.lead(); k != nil && m.doing.Key == "llm|n" && k.servers["s"] != nil && k.servers["s"].known && k.servers["s"].busy {
					require.True(t, k.servers["s"].alien, "it is not this reign's")
				}
			}
			require.True(t, m.holds["llm|o"], "%v, %v: it comes in the end", slow, lag)
		}
	}
}

// A base goes with its adapters, in one order, once every promise on any of them is gone.
func TestBaseGoesWithAdapters(t *testing.T) {
	for _, x := range []struct {
		name  string
		key   ident.Key // that a router holds up its promise on
		holds []ident.Key
	}{
		{"the base is promised", "llm|m", []ident.Key{"llm|m"}},
		{"an adapter is promised", "llm|m+1", []ident.Key{"llm|m", "llm|m+1"}},
		{"one of two is", "llm|m+2", []ident.Key{"llm|m", "llm|m+1", "llm|m+2"}},
		{"the base is, beside its adapters", "llm|m", []ident.Key{"llm|m", "llm|m+1", "llm|m+2"}},
	} {
		c := newCluster(t, modelPlan(10, "llm|m", "llm|m+1", "llm|m+2", "llm|n"), "a")
		m := c.serve("s", x.holds...)
		r := c.route("r")
		r.burden[x.key] = protocol.Burden{Came: 1}
		require.True(t, c.until(9e9, func() bool { return r.sends(x.key, "s") }), x.name)
		c.run(3e9)
		r.holdup = true
		k := c.lead()
		k.now, k.out = c.at, nil
		k.evict(k.servers["s"], k.servers["s"].spots["llm|m"])
		for _, h := range x.holds {
			require.Equal(t, Breaking, k.servers["s"].spots[h].stage, "%s: %s", x.name, h)
		}
		at := c.at
		// That the promise is gone by then is looked at where the server takes the order.
		require.True(t, c.until(9e9, func() bool { return len(c.orders("unload")) > 0 }), x.name)
		require.Greater(t, c.at.Sub(at), 1000e6+clock.Span(0), "%s: it waits for the hold to run out", x.name)
		require.False(t, r.sends(x.key, "s"), x.name)
		c.run(3e9)
		require.Len(t, c.orders("unload"), 1, x.name)
		require.Equal(t, ident.Key("llm|m"), c.orders("unload")[0].Key, x.name)
		require.Empty(t, m.holds, x.name)
	}
}

// A new owner does not know who holds promises of the old one: it unloads nothing before they have run
// out, and a router that reached nobody meanwhile is not surprised.
func TestPromisesOfTheOwnerBefore(t *testing.T) {
	for _, hold := range []clock.Span{2e9, 5e9, 9e9} {
		c := newCluster(t, modelPlan(4, "llm|m", "llm|n"), "a", "b", "c")
		for _, k := range c.nodes {
			k.o.Hold = hold
		}
		m := c.serve("s", "llm|m")
		r := c.route("r")
		r.burden["llm|m"] = protocol.Burden{Came: 1}
		require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") }))
		c.run(1e9)
		c.parted["r"], c.parted[c.owner()] = true, true
		require.True(t, c.until(6e9, func() bool { return c.owner() != "" }))
		require.True(t, c.until(3e9, func() bool { s := c.lead().servers["s"]; return s.known && s.spots["llm|m"] != nil }))
		k := c.lead()
		k.now, k.out = c.at, nil
		k.evict(k.servers["s"], k.servers["s"].spots["llm|m"])
		require.True(t, r.sends("llm|m", "s"), "%v", hold)
		require.True(t, c.until(2*hold, func() bool { return !m.holds["llm|m"] }), "%v", hold)
		require.False(t, r.sends("llm|m", "s"), "%v", hold)
		require.Len(t, c.orders("unload"), 1, "%v", hold)
	}
}

// A load waits until what makes way for it is gone, by a report.
func TestLoadWaitsForRoom(t *testing.T) {
	c := newCluster(t, modelPlan(4, "llm|m", "llm|n"), "a")
	m := c.serve("s", "llm|m")
	m.strict, m.slow = true, 2e9
	c.run(4e9)
	r := c.route("r")
	r.burden["llm|n"] = protocol.Burden{Wait: 3, Came: 3, Load: 0.1}
	require.True(t, c.until(20e9, func() bool { return r.sends("llm|n", "s") }))
	var got []string
	for _, o := range c.ops {
		got = append(got, o.Op+" "+string(o.Key))
	}
	require.Equal(t, []string{"unload llm|m", "load llm|n"}, got)
	require.GreaterOrEqual(t, c.ops[1].at.Sub(c.ops[0].at), clock.Span(2e9))
}

// Many models that are wanted at once come from the store no faster than it bears, and about as fast.
func TestStoreRate(t *testing.T) {
	var keys []ident.Key
	for i := range 40 {
		keys = append(keys, ident.Key("llm|m"+string(rune('a'+i%26))+string(rune('a'+i/26))))
	}
	for _, x := range []struct {
		rate float64
		load clock.Span
	}{{0.5, 1e9}, {1, 2e9}, {2.1, 2e9}, {2.1, 200e6}, {4, 1e9}} {
		p := floor(modelPlan(8, keys...), 1, keys...)
		v := p.Services["llm"]
		v.Loads = x.rate
		p.Services["llm"] = v
		for _, k := range keys {
			m := p.Models[k]
			m.Load = x.load
			p.Models[k] = m
		}
		c := newCluster(t, p, "a")
		for i := range 20 {
			c.serve("s" + string(rune('a'+i)))
		}
		c.run(30e9)
		window, most := c.lead().o.Rate, 0
		for i, from := range c.begun {
			n := 0
			for _, at := range c.begun[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			most = max(most, n)
		}
		bound := x.rate * window.Seconds()
		t.Logf("%+v: %d began, at most %d in %v, where %.1f are borne", x, len(c.begun), most, window, bound)
		require.LessOrEqual(t, float64(most), bound*1.1+3, "%+v", x)
		require.GreaterOrEqual(t, float64(len(c.begun)), min(40, x.rate*30*0.4), "%+v", x)
	}
}
