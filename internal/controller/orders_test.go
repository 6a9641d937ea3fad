package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// withFloor sets the floor of the given keys in a plan.
func withFloor(p *fleetplan.Plan, n int, keys ...ident.Key) *fleetplan.Plan {
	for _, k := range keys {
		m := p.Models[k]
		m.MinReplicas = n
		p.Models[k] = m
	}
	return p
}

// An order carries the count that the server last reported, and is sent only after the settle delay, when
// orders of a previous leader can no longer arrive.
func TestOrdersCount(t *testing.T) {
	c := newCluster(t, withFloor(modelPlan(12, "llm|m", "llm|n", "llm|o"), 1, "llm|m", "llm|n", "llm|o"), "a")
	began := c.leader().leadership.begunAt
	m := c.serve("s")
	m.count, m.reports = 7, nil
	m.snapshot()
	require.True(t, c.until(20e9, func() bool { return len(m.holds) == 3 }))
	require.Len(t, c.sentOrders, 3)
	for i, o := range c.sentOrders {
		require.Greater(t, o.at.Sub(began), c.leader().o.SettleTime)
		require.EqualValues(t, 7+i, o.Expected)
		require.Equal(t, "load", o.Op)
		require.Equal(t, 202, o.code)
		require.Equal(t, c.leader().leadership.term, o.Term)
		require.EqualValues(t, "a", o.Owner)
	}
	require.EqualValues(t, 10, m.count)
}

// For each answer to an order, and for a lost answer, the order is executed exactly once in the end, and the
// model is listed for routers. Reports are some time old.
func TestOrderAnswers(t *testing.T) {
	for _, x := range []struct {
		name   string
		setup  func(m *modelServer)
		counts []uint64 // the counts that the orders carry
		codes  []int
	}{
		{"accepted", func(*modelServer) {}, []uint64{0}, []int{202}},
		{"accepted, with old reports", func(m *modelServer) { m.lag = 450e6 }, []uint64{0}, []int{202}},
		{"accepted, and slow", func(m *modelServer) { m.slow = 8e9 }, []uint64{0}, []int{202}},
		{"accepted, its answer lost", func(m *modelServer) { m.lost = loseFirstOrder(true, false) }, []uint64{0}, []int{202}},
		{"accepted, its answer lost, and slow", func(m *modelServer) { m.slow, m.lost = 8e9, loseFirstOrder(true, false) }, []uint64{0}, []int{202}},
		{"an order of another sender in between", func(m *modelServer) {
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
		{"already held", func(m *modelServer) {
			m.lag = 0
			m.lost = func(protocol.Order) (bool, bool) {
				m.holds["llm|m"] = true
				return true, true
			}
		}, []uint64{0}, []int{200}},
	} {
		c := newCluster(t, withFloor(modelPlan(12, "llm|m"), 1, "llm|m"), "a")
		m := c.serve("s")
		x.setup(m)
		r := c.route("r")
		r.keyLoads["llm|m"] = protocol.KeyLoad{Arrived: 1}
		require.True(t, c.until(15e9, func() bool { return r.sends("llm|m", "s") }), x.name)
		c.run(5e9)
		var counts []uint64
		var codes []int
		for _, o := range c.sentOrders {
			counts, codes = append(counts, o.Expected), append(codes, o.code)
		}
		require.Equal(t, x.counts, counts, x.name)
		require.Equal(t, x.codes, codes, x.name)
	}
}

// loseFirstOrder drops the first order, or only its answer.
func loseFirstOrder(taken, heard bool) func(protocol.Order) (bool, bool) {
	n := 0
	return func(protocol.Order) (bool, bool) {
		n++
		return taken || n > 1, heard || n > 1
	}
}

// An order that arrives after its sender gave up on it is still executed at most once.
func TestLateOrder(t *testing.T) {
	for _, late := range []clock.Span{700e6, 1000e6, 1500e6, 2500e6} {
		c := newCluster(t, withFloor(modelPlan(8, "llm|m", "llm|n"), 1, "llm|m", "llm|n"), "a")
		m := c.serve("s")
		var delayed *protocol.Order
		var lostAt clock.Instant
		m.lost = func(o protocol.Order) (bool, bool) {
			if lostAt == 0 {
				delayed, lostAt = &o, c.at
				return false, false
			}
			return true, true
		}
		require.True(t, c.until(20e9, func() bool {
			if delayed != nil && c.at.Sub(lostAt) > late {
				m.take(*delayed)
				delayed = nil
			}
			return len(m.holds) == 2 && delayed == nil
		}))
		require.EqualValues(t, 2, m.count, "%v", late)
	}
}

// Answers that reject an order: a higher term ends the leadership, and another server at the address gets no
// order before it has reported.
func TestOrderRefused(t *testing.T) {
	for _, x := range []struct {
		code      int
		keepsTerm bool
		known     bool
	}{{412, false, false}, {421, true, false}, {400, true, true}, {409, true, true}, {503, true, true}} {
		c := newCluster(t, withFloor(modelPlan(12, "llm|m"), 1, "llm|m"), "a")
		c.serve("s")
		k := c.leader()
		num := k.leadership.term
		require.True(t, c.until(9e9, func() bool { return len(c.sentOrders) == 1 }))
		for i, a := range c.httpRequests {
			if a.request.Body.(protocol.Order).Op != "" {
				c.httpRequests = append(c.httpRequests[:i:i], c.httpRequests[i+1:]...)
				c.step("a", protocol.HTTPResult{Token: a.request.Token, OK: true, Code: x.code})
				break
			}
		}
		require.Equal(t, x.keepsTerm, k.leadership.held && k.leadership.term == num, x.code)
		if x.keepsTerm {
			require.Equal(t, x.known, k.servers["s"].known, x.code)
			require.Equal(t, Ordered, k.servers["s"].replicas["llm|m"].stage, x.code)
		}
		c.run(60e6)
		require.Len(t, c.sentOrders, 1, "%d: a report must come first", x.code)
	}
}

// A report from before an order must not change the state of the ordered replica, whatever the outcome of the
// order.
func TestOldReports(t *testing.T) {
	for _, x := range []struct {
		name  string
		r     protocol.ServerReport
		stage string
	}{
		{"before the order", protocol.ServerReport{Num: 4}, Ordered},
		{"before the order, with a key held then", protocol.ServerReport{Num: 4, Held: []protocol.HeldKey{{Key: "llm|n"}}}, Ordered},
		{"in progress", protocol.ServerReport{Num: 5, Busy: true}, Ordered},
		{"completed", protocol.ServerReport{Num: 5, Held: []protocol.HeldKey{{Key: "llm|m"}}}, Ready},
		{"failed", protocol.ServerReport{Num: 5}, ""},
	} {
		c := newCluster(t, modelPlan(12, "llm|m", "llm|n"), "a")
		k := c.leader()
		s := &server{ListedServer: newAnnouncement("s", "live", 1).ListedServer, known: true, room: 12, slots: 4, num: 6, replicas: map[ident.Key]*modelReplica{}}
		k.putReplica(s, &modelReplica{key: "llm|m", size: 4, stage: Ordered, orderNum: 6})
		k.addServer(s)
		k.now = c.at
		k.onReportAnswer(s, x.r, c.at)
		got := ""
		if p := s.replicas["llm|m"]; p != nil {
			got = p.stage
		}
		require.Equal(t, x.stage, got, x.name)
		if x.r.Num == 4 {
			require.Nil(t, s.replicas["llm|n"], x.name)
			require.EqualValues(t, 6, s.num, x.name)
		}
	}
}

// With randomly changing demand, no order exceeds the room or adapter places of a server, no model is unloaded
// while a router may send requests to it, and loads from the store keep to their rate.
func TestLimits(t *testing.T) {
	for seed := range uint64(6) {
		keys := []ident.Key{"llm|a", "llm|b", "llm|c", "llm|d", "llm|e", "llm|f", "llm|g", "llm|h", "llm|a+1", "llm|a+2", "llm|b+1", "llm|b+2", "llm|c+1", "llm|d+1"}
		p := modelPlan(10, keys...)
		c := newCluster(t, p, "a", "b", "c")
		rng := c.nodes["a"].o.Rand
		for i, id := range []string{"s1", "s2", "s3", "s4"} {
			m := c.serve(id, keys[i])
			m.lost = func(protocol.Order) (bool, bool) { return rng.IntN(12) > 0, rng.IntN(12) > 0 }
			m.lag = clock.Span(200+50*i) * 1e6
		}
		r := c.route("r")
		for round := range 12 {
			r.keyLoads = map[ident.Key]protocol.KeyLoad{}
			for range 3 {
				k := keys[rng.IntN(len(keys))]
				n := 1 + rng.IntN(9)
				r.keyLoads[k] = protocol.KeyLoad{Waiting: n, Arrived: n, ServerSeconds: float64(n) / 20}
			}
			r.withholdAcks = rng.IntN(4) == 0
			if round%5 == 4 {
				c.partitioned[c.owner()] = true
				require.True(t, c.until(6e9, func() bool { return c.owner() != "" }))
			}
			c.run(4e9)
			c.partitioned = map[string]bool{}
		}
		v := p.Services["llm"]
		window := c.leader().o.RateWindow
		for i, from := range c.loadStarts {
			n := 0
			for _, at := range c.loadStarts[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			require.LessOrEqual(t, n, int(v.LoadRate*window.Seconds()*1.1)+3, "seed %d", seed)
		}
		require.NotEmpty(t, c.orders("load"), "seed %d", seed)
		require.NotEmpty(t, c.orders("unload"), "seed %d", seed)
	}
}

// A new leader takes over while an order of the previous one is in progress that reports don't show yet. It
// must not order anything that does not fit beside that order.
func TestTakeoverWithOrderUnderWay(t *testing.T) {
	for _, slow := range []clock.Span{1e9, 4e9, 12e9} {
		for _, lag := range []clock.Span{100e6, 300e6, 500e6} {
			c := newCluster(t, modelPlan(8, "llm|m", "llm|n", "llm|o"), "a", "b", "c")
			m := c.serve("s", "llm|m")
			m.strict, m.slow, m.lag = true, slow, lag
			c.run(3e9)
			r := c.route("r")
			r.keyLoads["llm|n"] = protocol.KeyLoad{Waiting: 2, Arrived: 1, ServerSeconds: 0.01}
			require.True(t, c.until(9e9, func() bool { return m.current.Op == "load" }))
			c.partitioned[c.owner()] = true
			delete(r.keyLoads, "llm|n")
			r.keyLoads["llm|o"] = protocol.KeyLoad{Waiting: 9, Arrived: 3, ServerSeconds: 0.1}
			require.True(t, c.until(6e9, func() bool { return c.owner() != "" }))
			for end := c.at.Add(3*slow + 10e9); c.at < end && !m.holds["llm|o"]; {
				c.tick()
				if k := c.leader(); k != nil && m.current.Key == "llm|n" && k.servers["s"] != nil && k.servers["s"].known && k.servers["s"].busy {
					require.True(t, k.servers["s"].foreignOrder, "the order in progress is not from this term")
				}
			}
			require.True(t, m.holds["llm|o"], "%v, %v: the key is loaded in the end", slow, lag)
		}
	}
}

// A base and its adapters are unloaded by one order, after every callback on any of them is gone.
func TestBaseGoesWithAdapters(t *testing.T) {
	for _, x := range []struct {
		name  string
		key   ident.Key // the key whose callback the router keeps
		holds []ident.Key
	}{
		{"callback on the base", "llm|m", []ident.Key{"llm|m"}},
		{"callback on an adapter", "llm|m+1", []ident.Key{"llm|m", "llm|m+1"}},
		{"callback on one of two adapters", "llm|m+2", []ident.Key{"llm|m", "llm|m+1", "llm|m+2"}},
		{"callback on a base with adapters", "llm|m", []ident.Key{"llm|m", "llm|m+1", "llm|m+2"}},
	} {
		c := newCluster(t, modelPlan(10, "llm|m", "llm|m+1", "llm|m+2", "llm|n"), "a")
		m := c.serve("s", x.holds...)
		r := c.route("r")
		r.keyLoads[x.key] = protocol.KeyLoad{Arrived: 1}
		require.True(t, c.until(9e9, func() bool { return r.sends(x.key, "s") }), x.name)
		c.run(3e9)
		r.withholdAcks = true
		k := c.leader()
		k.now, k.out = c.at, nil
		k.evict(k.servers["s"], k.servers["s"].replicas["llm|m"])
		for _, h := range x.holds {
			require.Equal(t, Breaking, k.servers["s"].replicas[h].stage, "%s: %s", x.name, h)
		}
		at := c.at
		// The model server of the cluster checks, when it takes the order, that no callback is left.
		require.True(t, c.until(9e9, func() bool { return len(c.orders("unload")) > 0 }), x.name)
		require.Greater(t, c.at.Sub(at), 1000e6+clock.Span(0), "%s: the unload waits until the lease expires", x.name)
		require.False(t, r.sends(x.key, "s"), x.name)
		c.run(3e9)
		require.Len(t, c.orders("unload"), 1, x.name)
		require.Equal(t, ident.Key("llm|m"), c.orders("unload")[0].Key, x.name)
		require.Empty(t, m.holds, x.name)
	}
}

// A new leader does not know the callbacks granted by the previous one. It must not unload anything before
// they have expired, so that an isolated router never sends to an unloaded model.
func TestPromisesOfTheOwnerBefore(t *testing.T) {
	for _, hold := range []clock.Span{2e9, 5e9, 9e9} {
		c := newCluster(t, modelPlan(4, "llm|m", "llm|n"), "a", "b", "c")
		for _, k := range c.nodes {
			k.o.RouterLease = hold
		}
		m := c.serve("s", "llm|m")
		r := c.route("r")
		r.keyLoads["llm|m"] = protocol.KeyLoad{Arrived: 1}
		require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") }))
		c.run(1e9)
		c.partitioned["r"], c.partitioned[c.owner()] = true, true
		require.True(t, c.until(6e9, func() bool { return c.owner() != "" }))
		require.True(t, c.until(3e9, func() bool { s := c.leader().servers["s"]; return s.known && s.replicas["llm|m"] != nil }))
		k := c.leader()
		k.now, k.out = c.at, nil
		k.evict(k.servers["s"], k.servers["s"].replicas["llm|m"])
		require.True(t, r.sends("llm|m", "s"), "%v", hold)
		require.True(t, c.until(2*hold, func() bool { return !m.holds["llm|m"] }), "%v", hold)
		require.False(t, r.sends("llm|m", "s"), "%v", hold)
		require.Len(t, c.orders("unload"), 1, "%v", hold)
	}
}

// A load is sent only after a report shows that the evicted model is gone.
func TestLoadWaitsForRoom(t *testing.T) {
	c := newCluster(t, modelPlan(4, "llm|m", "llm|n"), "a")
	m := c.serve("s", "llm|m")
	m.strict, m.slow = true, 2e9
	c.run(4e9)
	r := c.route("r")
	r.keyLoads["llm|n"] = protocol.KeyLoad{Waiting: 3, Arrived: 3, ServerSeconds: 0.1}
	require.True(t, c.until(20e9, func() bool { return r.sends("llm|n", "s") }))
	var got []string
	for _, o := range c.sentOrders {
		got = append(got, o.Op+" "+string(o.Key))
	}
	require.Equal(t, []string{"unload llm|m", "load llm|n"}, got)
	require.GreaterOrEqual(t, c.sentOrders[1].at.Sub(c.sentOrders[0].at), clock.Span(2e9))
}

// When many models are needed at once, loads from the store neither exceed its rate nor fall far below it.
func TestStoreRate(t *testing.T) {
	var keys []ident.Key
	for i := range 40 {
		keys = append(keys, ident.Key("llm|m"+string(rune('a'+i%26))+string(rune('a'+i/26))))
	}
	for _, x := range []struct {
		rate float64
		load clock.Span
	}{{0.5, 1e9}, {1, 2e9}, {2.1, 2e9}, {2.1, 200e6}, {4, 1e9}} {
		p := withFloor(modelPlan(8, keys...), 1, keys...)
		v := p.Services["llm"]
		v.LoadRate = x.rate
		p.Services["llm"] = v
		for _, k := range keys {
			m := p.Models[k]
			m.LoadTime = x.load
			p.Models[k] = m
		}
		c := newCluster(t, p, "a")
		for i := range 20 {
			c.serve("s" + string(rune('a'+i)))
		}
		c.run(30e9)
		window, most := c.leader().o.RateWindow, 0
		for i, from := range c.loadStarts {
			n := 0
			for _, at := range c.loadStarts[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			most = max(most, n)
		}
		bound := x.rate * window.Seconds()
		t.Logf("%+v: %d loads started, at most %d in %v; the store supports %.1f", x, len(c.loadStarts), most, window, bound)
		require.LessOrEqual(t, float64(most), bound*1.1+3, "%+v", x)
		require.GreaterOrEqual(t, float64(len(c.loadStarts)), min(40, x.rate*30*0.4), "%+v", x)
	}
}
