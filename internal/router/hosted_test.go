package router

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// hostPlan returns a plan with one host, whose routes differ in prefix and mode, for plain services and a service with
// models.
func hostPlan(change func(*fleetplan.Plan)) *fleetplan.Plan {
	p := &fleetplan.Plan{
		Models: map[ident.Key]fleetplan.Model{}, Routes: map[string]fleetplan.Route{}, Hosts: map[string]map[string]*fleetplan.Route{"h": {}},
		Services: map[string]fleetplan.Service{
			"web": {Plain: true, MaxRunning: 2}, "new": {Plain: true, MaxRunning: 2},
			"llm": {MaxRunning: 4, TokenCapacity: 10_000, Keys: map[ident.Key]bool{"llm|m": true, "llm|m+a": true}},
		},
	}
	for _, r := range []fleetplan.Route{
		{Name: "once", Service: "web", Prefix: "/", Mode: fleetplan.Once},
		{Name: "again", Service: "web", Prefix: "/again/", Mode: fleetplan.Idempotent},
		{Name: "llm", Service: "llm", Prefix: "/llm/", Mode: fleetplan.Idempotent},
		{Name: "stream", Service: "llm", Prefix: "/llm/stream/", Mode: fleetplan.Continuous},
		{Name: "resume", Service: "llm", Prefix: "/llm/resume/", Mode: fleetplan.Continuous, Resume: true},
	} {
		r.Host, r.MaxAttempts, r.Class = "h", 9, fleetplan.Class{Value: 5, MaxWait: 5e9}
		p.Hosts["h"][r.Prefix] = &r
	}
	if change != nil {
		change(p)
	}
	return p
}

// newHostedRouter returns a router with the options used on a hosting platform. The first plan is in force. The encoding
// of a plan is its index as a single byte.
func newHostedRouter(t *testing.T, o Options, plans ...*fleetplan.Plan) *testRouter {
	if len(plans) == 0 {
		plans = append(plans, hostPlan(nil))
	}
	o.StatelessServers = true
	o.ReadPlan = func(raw []byte) (*fleetplan.Plan, fleetplan.Faults) {
		if len(raw) == 1 {
			return plans[raw[0]], nil
		}
		return plans[0], nil
	}
	return newTestRouter(t, o)
}

// deliverPlan puts the plan with the given index in force.
func (b *testRouter) deliverPlan(n byte) []any {
	return b.deliverItem(protocol.Update{Desired: &protocol.Desired{Gen: 1, Epoch: ident.Epoch(n) + 1, Plan: []byte{n}}})
}

// callPath passes a request with the given path to the router and returns its launch, if there was one.
func (b *testRouter) callPath(path string, c fleetplan.Request) (Ref, Launch, []any) {
	b.ref++
	if c.ID == "" {
		c.ID = fmt.Sprint(b.ref)
	}
	c.Host = "h"
	out := b.Step(b.at, Call{Ref: b.ref, Route: path, Request: c})
	l, _ := findOutput[Launch](out)
	return b.ref, l, out
}

// wait advances the time in ticks and returns the resulting outputs.
func (b *testRouter) wait(span clock.Span) (out []any) {
	for end := b.at.Add(span); b.at < end; {
		b.at = b.at.Add(20e6)
		out = append(out, b.Step(b.at, protocol.TimerTick{})...)
	}
	return out
}

// A request goes to the service of the route of its host with the longest matching prefix.
func TestRouteByHost(t *testing.T) {
	for _, c := range []struct {
		path, base, extra string
		server            ident.Server
		kind              failure.Kind
	}{
		{"/", "", "", "w", ""}, {"/x/y", "", "", "w", ""}, {"/llm", "", "", "w", ""}, {"/llm/x", "m", "", "l", ""}, {"/llm/x", "m", "a", "a", ""},
		{"/llm/stream/x", "m", "", "l", ""}, {"/llm/x", "n", "", "", failure.NoModel}, {"/llm/x", "m", "b", "", failure.NoModel},
	} {
		b := newHostedRouter(t, Options{})
		b.deliverEntry("web|", "w")
		b.deliverEntry("llm|m", "l")
		b.deliverEntry("llm|m+a", "a")
		_, l, out := b.callPath(c.path, fleetplan.Request{Model: c.base, Adapter: c.extra})
		require.Equal(t, c.server, l.Server, "%+v", c)
		r, _ := findOutput[Refusal](out)
		require.Equal(t, c.kind, r.Kind, "%+v", c)
	}
	b := newHostedRouter(t, Options{})
	out := b.Step(b.at, Call{Ref: 1, Route: "/x", Request: fleetplan.Request{ID: "1", Host: "elsewhere"}})
	r, _ := findOutput[Refusal](out)
	require.Equal(t, failure.NoRoute, r.Kind)
}

// moveRootToNewService assigns the route with prefix / to the service new.
func moveRootToNewService(p *fleetplan.Plan) { p.Hosts["h"]["/"].Service = "new" }

// A new plan moves waiting requests to their new service and rejects those that it does not allow.
func TestPlanMovesWaiting(t *testing.T) {
	b := newHostedRouter(t, Options{}, hostPlan(nil), hostPlan(moveRootToNewService))
	ref, l, _ := b.callPath("/x", fleetplan.Request{})
	require.Empty(t, l.Server, "no server is known yet")
	out := b.deliverPlan(1)
	w, ok := findMessage[protocol.EntryRequest](out)
	require.True(t, ok)
	require.Equal(t, ident.Key("new|"), w.Key)
	_, ok = findOutput[Launch](b.deliverEntry("web|", "w"))
	require.False(t, ok, "the request no longer belongs to the old service")
	l, ok = findOutput[Launch](b.deliverEntry("new|", "n"))
	require.True(t, ok)
	require.Equal(t, Launch{Ref: ref, Server: "n"}, Launch{Ref: l.Ref, Server: l.Server})
	require.True(t, b.MaySend(b.at, ref, 1))
	_, waiting := b.Size()
	require.Zero(t, waiting)

	b = newHostedRouter(t, Options{}, hostPlan(nil), hostPlan(func(p *fleetplan.Plan) { delete(p.Hosts["h"], "/") }))
	ref, _, _ = b.callPath("/x", fleetplan.Request{})
	r, ok := findOutput[Refusal](b.deliverPlan(1))
	require.True(t, ok)
	require.Equal(t, Refusal{Ref: ref, Kind: failure.NoRoute}, r)
}

// An attempt launched under the previous plan is not sent. The request goes to its new service, or is rejected if the
// new plan does not allow it. The attempt that was not sent counts neither as an attempt nor as a retry.
func TestPlanChangeBeforeSending(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*fleetplan.Plan)
		may    bool
		server ident.Server
		kind   failure.Kind
	}{
		{"the same route", func(*fleetplan.Plan) {}, true, "", ""},
		{"another service", moveRootToNewService, false, "n", ""},
		{"another service and a single attempt", func(p *fleetplan.Plan) { moveRootToNewService(p); p.Hosts["h"]["/"].MaxAttempts = 1 }, false, "n", ""},
		{"a longer prefix", func(p *fleetplan.Plan) {
			p.Hosts["h"]["/x/"] = &fleetplan.Route{Name: "x", Service: "new", Mode: fleetplan.Once, MaxAttempts: 1, Class: fleetplan.Class{Value: 1, MaxWait: 5e9}}
		}, false, "n", ""},
		{"no route", func(p *fleetplan.Plan) { delete(p.Hosts["h"], "/") }, false, "", failure.NoRoute},
	} {
		b := newHostedRouter(t, Options{}, hostPlan(nil), hostPlan(c.change))
		b.deliverEntry("web|", "w")
		b.deliverEntry("new|", "n")
		ref, l, _ := b.callPath("/x/", fleetplan.Request{})
		require.Equal(t, ident.Server("w"), l.Server)
		b.deliverPlan(1)
		require.Equal(t, c.may, b.MaySend(b.at, ref, 1), c.name)
		if c.may {
			continue
		}
		out := b.Step(b.at, Ended{Ref: ref, N: 1, Outcome: Kept})
		l, _ = findOutput[Launch](out)
		require.Equal(t, c.server, l.Server, c.name)
		r, _ := findOutput[Refusal](out)
		require.Equal(t, c.kind, r.Kind, c.name)
		if c.server != "" {
			require.True(t, b.MaySend(b.at, ref, 2), c.name)
		}
		require.Zero(t, b.Counts().Retries, c.name)
		require.Equal(t, 0, b.servers["w"].inFlight, c.name)
	}
}

// A request is sent to no more servers than its route permits, and to none of them twice. Attempts that were not sent
// do not count.
func TestTries(t *testing.T) {
	for _, c := range []struct {
		path  string
		how   []Outcome
		kind  failure.Kind // reason of each Dropped outcome
		tries int
		sent  int
		end   failure.Kind
	}{
		{"/again/x", []Outcome{Dropped, Dropped, Dropped, Dropped}, failure.Busy, 1, 1, failure.NotReady},
		{"/again/x", []Outcome{Dropped, Dropped, Dropped, Dropped}, failure.Busy, 2, 2, failure.NotReady},
		{"/again/x", []Outcome{Dropped, Dropped, Dropped, Dropped}, failure.Busy, 3, 3, failure.NotReady},
		{"/again/x", []Outcome{Lost, Lost, Lost, Lost}, "", 2, 2, failure.Unclear},
		{"/again/x", []Outcome{Unsent, Kept, Dropped, Dropped}, failure.Busy, 2, 4, failure.NotReady},
		{"/x", []Outcome{Dropped, Dropped, Dropped, Dropped}, failure.Busy, 3, 3, failure.NotReady},
		{"/x", []Outcome{Lost}, "", 3, 1, failure.Unclear},
		{"/x", []Outcome{Dropped, Lost}, failure.Busy, 3, 2, failure.Unclear},
	} {
		b := newHostedRouter(t, Options{RetryMargin: 100}, hostPlan(func(p *fleetplan.Plan) {
			for _, r := range p.Hosts["h"] {
				r.MaxAttempts = c.tries
			}
		}))
		b.deliverEntry("web|", "s1", "s2", "s3", "s4", "s5", "s6")
		ref, l, out := b.callPath(c.path, fleetplan.Request{})
		seen, n := map[ident.Server]bool{}, 0
		for {
			var ok bool
			if l, ok = findOutput[Launch](out); !ok {
				break
			}
			n++
			require.False(t, seen[l.Server], "%+v: %s twice", c, l.Server)
			seen[l.Server] = c.how[n-1] != Kept
			require.True(t, b.MaySend(b.at, ref, l.N))
			out = b.Step(b.at, Ended{Ref: ref, N: l.N, Outcome: c.how[n-1], Kind: c.kind})
		}
		require.Equal(t, c.sent, n, "%+v", c)
		r, ok := findOutput[Refusal](out)
		require.True(t, ok, "%+v", c)
		require.Equal(t, c.end, r.Kind, "%+v", c)
	}
}

// An interrupted stream is resumed at another server if its route permits that, and the resumption uses the retry
// budget.
func TestResumes(t *testing.T) {
	for _, c := range []struct {
		name, path string
		how        Outcome
		lend       float64
		tries      int
		again      bool
		end        failure.Kind
	}{
		{"interrupted", "/llm/resume/x", Split, 1, 3, true, ""},
		{"no more data after the beginning", "/llm/resume/x", Lost, 1, 3, true, ""},
		{"no retry budget", "/llm/resume/x", Split, 0, 3, false, failure.Unclear},
		{"no attempt left", "/llm/resume/x", Split, 1, 1, false, failure.Unclear},
		{"not resumable", "/llm/stream/x", Split, 1, 3, false, failure.Cut},
		{"not resumable, no more data", "/llm/stream/x", Lost, 1, 3, false, failure.Cut},
	} {
		b := newHostedRouter(t, Options{RetryMargin: c.lend, RetryFraction: 1e-9}, hostPlan(func(p *fleetplan.Plan) {
			for _, r := range p.Hosts["h"] {
				r.MaxAttempts = c.tries
			}
		}))
		b.deliverEntry("llm|m", "s1", "s2", "s3")
		ref, l, _ := b.callPath(c.path, fleetplan.Request{Model: "m", PromptTokens: 100, MaxTokens: 50})
		require.Equal(t, c.path == "/llm/resume/x", l.Resume, c.name)
		require.True(t, b.MaySend(b.at, ref, 1))
		b.Step(b.at, Begun{Ref: ref, N: 1})
		out := b.Step(b.at, Ended{Ref: ref, N: 1, Outcome: c.how})
		second, again := findOutput[Launch](out)
		require.Equal(t, c.again, again, c.name)
		r, _ := findOutput[Refusal](out)
		require.Equal(t, c.end, r.Kind, c.name)
		if !again {
			continue
		}
		require.NotEqual(t, l.Server, second.Server, c.name)
		require.True(t, second.Resume, c.name)
		require.True(t, b.MaySend(b.at, ref, 2), c.name)
		require.EqualValues(t, 1, b.Counts().Retries, c.name)
		require.Len(t, b.retryBudget("llm").marginSpent, 1, c.name)
		b.Step(b.at, Begun{Ref: ref, N: 2})
		r, ended := findOutput[Refusal](b.Step(b.at, Ended{Ref: ref, N: 2, Outcome: Split}))
		require.True(t, ended, "the margin is spent: %s", c.name)
		require.Equal(t, failure.Unclear, r.Kind, c.name)
	}
}

// A router without a lease continues to send by its last known state only if servers reject misdirected requests, and
// only while the router is partitioned or a core node confirms its configuration.
func TestGuards(t *testing.T) {
	for _, c := range []struct {
		name   string
		guards bool
		do     func(b *testRouter)
		sends  bool
	}{
		{"lease", false, func(*testRouter) {}, true},
		{"lease, enforcing servers", true, func(*testRouter) {}, true},
		{"lease expired", false, func(b *testRouter) { b.at = b.at.Add(61e9) }, false},
		{"lease expired, enforcing servers, leader reachable", true, func(b *testRouter) { b.at = b.at.Add(61e9) }, false},
		{"lease expired, enforcing servers, partitioned", true, func(b *testRouter) {
			b.at = b.at.Add(61e9)
			b.deliver(protocol.RouterLease{Session: testSession, Partitioned: true})
		}, true},
		{"lease expired, partitioned, no enforcing servers", false, func(b *testRouter) {
			b.at = b.at.Add(61e9)
			b.deliver(protocol.RouterLease{Session: testSession, Partitioned: true})
		}, false},
		{"new session without a lease", false, func(b *testRouter) {
			b.deliver(protocol.RouterLease{Session: protocol.Session{Node: "agent", AgentIncarnation: 1, RouterIncarnation: 7, Num: 2}})
		}, false},
		{"new session without a lease, enforcing servers, leader reachable", true, func(b *testRouter) {
			b.deliver(protocol.RouterLease{Session: protocol.Session{Node: "agent", AgentIncarnation: 1, RouterIncarnation: 7, Num: 2}})
		}, false},
		{"new session without a lease, enforcing servers, partitioned", true, func(b *testRouter) {
			b.deliver(protocol.RouterLease{Session: protocol.Session{Node: "agent", AgentIncarnation: 1, RouterIncarnation: 7, Num: 2}, Partitioned: true})
		}, true},
		{"new session with a lease, entry not yet revalidated", true, func(b *testRouter) {
			b.deliver(protocol.RouterLease{Session: protocol.Session{Node: "agent", AgentIncarnation: 1, RouterIncarnation: 7, Num: 2}, Until: b.at.Add(60e9)})
		}, false},
		{"lease expired, configuration confirmed by a core node", true, func(b *testRouter) {
			b.at = b.at.Add(61e9)
			b.deliver(protocol.RouterLease{Session: testSession, ConfigLeaseEnd: b.at.Add(1e9)})
		}, true},
		{"lease expired, configuration confirmed, no enforcing servers", false, func(b *testRouter) {
			b.at = b.at.Add(61e9)
			b.deliver(protocol.RouterLease{Session: testSession, ConfigLeaseEnd: b.at.Add(1e9)})
		}, false},
		{"lease expired, confirmation by a core node expired", true, func(b *testRouter) {
			b.at = b.at.Add(61e9)
			b.deliver(protocol.RouterLease{Session: testSession, ConfigLeaseEnd: b.at.Add(1e9)})
			b.at = b.at.Add(1e9)
		}, false},
		{"lease expired, configuration confirmed, server known to leave", true, func(b *testRouter) {
			b.at = b.at.Add(61e9)
			b.deliver(protocol.RouterLease{Session: testSession, ConfigLeaseEnd: b.at.Add(1e9), Leaving: []ident.Server{"w"}})
		}, false},
		{"lease, server leaving according to a core node but present in the entry", true, func(b *testRouter) {
			b.deliver(protocol.RouterLease{Session: testSession, Until: b.at.Add(60e9), Leaving: []ident.Server{"w"}})
		}, true},
		{"callback broken, then lease expired", true, func(b *testRouter) {
			b.deliverItem(protocol.Update{Break: "web|"})
			b.at = b.at.Add(61e9)
			b.deliver(protocol.RouterLease{Session: testSession, Partitioned: true})
		}, false},
		{"zone emptied, then lease expired", true, func(b *testRouter) {
			b.deliverItem(protocol.Update{Desired: &protocol.Desired{Gen: 1, Epoch: 2, Plan: []byte{0}, EmptiedZones: []ident.Zone{"z"}}})
			b.at = b.at.Add(61e9)
			b.deliver(protocol.RouterLease{Session: testSession, Partitioned: true})
		}, false},
	} {
		for _, when := range []string{"before the launch", "before sending"} {
			b := newHostedRouter(t, Options{ServersEnforcePlacement: c.guards})
			b.deliverEntry("web|", "w")
			if when == "before the launch" {
				c.do(b)
				ref, l, _ := b.callPath("/x", fleetplan.Request{})
				require.Equal(t, c.sends, l.Server != "", "%s, %s", c.name, when)
				require.Equal(t, c.sends, b.MaySend(b.at, ref, 1), "%s, %s", c.name, when)
				continue
			}
			ref, l, _ := b.callPath("/x", fleetplan.Request{})
			require.Equal(t, ident.Server("w"), l.Server)
			c.do(b)
			require.Equal(t, c.sends, b.MaySend(b.at, ref, 1), "%s, %s", c.name, when)
		}
	}
}

// The retries that the routers of a fleet together pay for from the margin stay within it in any window, whatever the
// demand at each router.
func TestRetryMargin(t *testing.T) {
	const window = clock.Span(10e9)
	for _, c := range []struct {
		routers int
		lend    float64
	}{{1, 0}, {1, 1}, {1, 7.9}, {3, 2}, {3, 10}, {4, 34.8}, {7, 34.8}} {
		var paid []clock.Instant
		var fleet []*testRouter
		for range c.routers {
			b := newHostedRouter(t, Options{RetryMargin: c.lend, RetryWindow: window, RetryFraction: 1e-12})
			b.deliver(protocol.RouterLease{Session: testSession, Until: b.at.Add(600e9), Routers: c.routers})
			b.deliverEntry("web|", "s1", "s2", "s3", "s4")
			fleet = append(fleet, b)
		}
		random := rand.New(rand.NewPCG(uint64(c.routers), 1))
		for end := fleet[0].at.Add(45e9); fleet[0].at < end; {
			for _, b := range fleet {
				b.at = b.at.Add(50e6)
				if random.IntN(3) == 0 {
					continue
				}
				ref, l, out := b.callPath("/again/x", fleetplan.Request{})
				for ok := l.Server != ""; ok; l, ok = findOutput[Launch](out) {
					require.True(t, b.MaySend(b.at, ref, l.N))
					if l.N > 1 {
						paid = append(paid, b.at)
					}
					out = b.Step(b.at, Ended{Ref: ref, N: l.N, Outcome: Dropped, Kind: failure.Busy})
				}
				if _, over := findOutput[Refusal](out); !over {
					b.Step(b.at, Quit{Ref: ref})
				}
			}
		}
		most := 0
		for i := range paid {
			n := 0
			for _, at := range paid[i:] {
				if at.Sub(paid[i]) <= window {
					n++
				}
			}
			most = max(most, n)
		}
		require.LessOrEqual(t, float64(most), c.lend, "%+v", c)
		if c.lend >= float64(c.routers) {
			require.Greater(t, most, c.routers*int(c.lend/float64(c.routers))/2, "most of the margin is used: %+v", c)
		}
	}
}

// newLoadedRouter returns a router with replicas of model m at s1, s2 and s3, each with the given number of slots, and
// with the given tokens of other routers in flight at them.
func newLoadedRouter(t *testing.T, slots int, others map[ident.Server]int) *testRouter {
	b := newHostedRouter(t, Options{Zone: "z"})
	e := &protocol.Entry{Key: "llm|m", Digest: 1}
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		e.Replicas = append(e.Replicas, protocol.Replica{Server: s, Addr: string(s), Zone: "z", Slots: slots})
	}
	b.deliverItem(protocol.Update{Entry: e})
	b.deliver(protocol.RouterLease{Session: testSession, Until: b.at.Add(61e9), TokensInProgress: others})
	return b
}

// The replica with the least load from all routers is chosen, and never one without enough token memory or a free slot.
func TestLeastLoaded(t *testing.T) {
	type seats = map[ident.Server]int
	for _, c := range []struct {
		name   string
		slots  int
		others seats
		tokens int
		may    string // servers that may be chosen
	}{
		{"all idle", 9, seats{}, 100, "s1 s2 s3"},
		{"one idle", 9, seats{"s1": 3000, "s2": 3000}, 100, "s3"},
		{"one loaded", 9, seats{"s2": 3000}, 100, "s1 s3"},
		{"one with less load", 9, seats{"s1": 4000, "s2": 2000, "s3": 4000}, 100, "s2"},
		{"no memory at two", 9, seats{"s1": 9950, "s2": 9950, "s3": 9800}, 100, "s3"},
		{"no memory at all", 9, seats{"s1": 9950, "s2": 9950, "s3": 9950}, 100, ""},
		{"a request larger than the memory goes to an idle server", 9, seats{"s1": 1, "s2": 1}, 20_000, "s3"},
		{"a request larger than the memory waits without an idle server", 9, seats{"s1": 1, "s2": 1, "s3": 1}, 20_000, ""},
	} {
		got := map[ident.Server]bool{}
		for i := range 60 {
			b := newLoadedRouter(t, c.slots, c.others)
			b.randState = uint64(i)
			_, l, _ := b.callPath("/llm/x", fleetplan.Request{Model: "m", PromptTokens: c.tokens})
			if l.Server != "" {
				got[l.Server] = true
			}
		}
		require.Equal(t, c.may, join(generic.SortedKeys(got)), c.name)
	}
}

func join(l []ident.Server) (s string) {
	for i, x := range l {
		if i > 0 {
			s += " "
		}
		s += string(x)
	}
	return s
}

// Under random arrivals, beginnings and ends, neither the slots nor the token memory of a server is exceeded, and no
// load remains after all requests have ended.
func TestWithinSlotsAndMemory(t *testing.T) {
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 1))
		b := newLoadedRouter(t, 4, map[ident.Server]int{"s1": random.IntN(4000)})
		type run struct {
			l     Launch
			size  int
			begun bool
		}
		runs, sizes := map[Ref]*run{}, map[Ref]int{}
		take := func(out []any) {
			for _, o := range out {
				l, ok := o.(Launch)
				if !ok {
					continue
				}
				x := b.servers[l.Server]
				require.LessOrEqual(t, x.inFlight, 4, "seed %d", seed)
				own := sizes[l.Ref]
				require.True(t, x.reservedTokens <= 10_000 || x.reservedTokens == own, "seed %d: %d tokens reserved, %d by this request", seed, x.reservedTokens, own)
				require.True(t, b.MaySend(b.at, l.Ref, l.N))
				runs[l.Ref] = &run{l: l, size: own}
			}
		}
		for range 600 {
			b.at = b.at.Add(clock.Span(random.IntN(30)) * 1e6)
			l := generic.SortedKeys(runs)
			switch n := random.IntN(10); {
			case n < 5 || len(l) == 0:
				c := fleetplan.Request{Model: "m", PromptTokens: 1 + random.IntN(4000), MaxTokens: 1 + random.IntN(500)}
				if random.IntN(40) == 0 {
					c.PromptTokens = 30_000
				}
				sizes[b.ref+1] = c.PromptTokens + c.MaxTokens
				_, _, out := b.callPath("/llm/x", c)
				take(out)
			case n < 7:
				x := runs[l[random.IntN(len(l))]]
				if !x.begun {
					x.begun = true
					take(b.Step(b.at, Begun{Ref: x.l.Ref, N: x.l.N}))
				}
			case n < 9:
				x := runs[l[random.IntN(len(l))]]
				delete(runs, x.l.Ref)
				how := []Outcome{Done, Lost, Split, Dropped, Unsent}[random.IntN(5)]
				if x.begun && how != Done {
					how = Split
				}
				take(b.Step(b.at, Ended{Ref: x.l.Ref, N: x.l.N, Outcome: how, Kind: failure.Busy}))
			default:
				x := runs[l[random.IntN(len(l))]]
				delete(runs, x.l.Ref)
				take(b.Step(b.at, Quit{Ref: x.l.Ref}))
			}
		}
		for range 60 { // waiting requests are sent or expire
			for len(runs) > 0 {
				ref := generic.SortedKeys(runs)[0]
				x := runs[ref]
				delete(runs, ref)
				take(b.Step(b.at, Ended{Ref: ref, N: x.l.N, Outcome: Done}))
			}
			take(b.wait(100e6))
		}
		for s, x := range b.servers {
			require.Zero(t, x.inFlight, "seed %d: %s", seed, s)
			require.Zero(t, x.tokens, "seed %d: %s", seed, s)
		}
		require.Empty(t, b.requests, "seed %d", seed)
		require.Empty(t, b.inFlight, "seed %d", seed)
	}
}

// Requests with the same shared parts go to one server, the same at every router, until its extra load exceeds the
// saving from its cached prefix. Requests without shared parts are spread over the servers.
func TestPrefixAffinity(t *testing.T) {
	callWith := func(parts ...string) fleetplan.Request {
		c := fleetplan.Request{Model: "m", PromptTokens: 4100, MaxTokens: 10, Parts: append(parts, "own"), PartTokens: []int{}}
		for range parts {
			c.PartTokens = append(c.PartTokens, 4000/len(parts))
		}
		c.PartTokens = append(c.PartTokens, 100)
		return c
	}
	homes := map[ident.Server]int{}
	for i := range 60 {
		part, first := fmt.Sprint("part", i), ident.Server("")
		for router := range 4 {
			b := newLoadedRouter(t, 9, nil)
			b.randState = uint64(router * 1000)
			for n := range 3 {
				ref, l, _ := b.callPath("/llm/x", callWith(part))
				if first == "" {
					first = l.Server
				}
				require.Equal(t, first, l.Server, "router %d, request %d", router, n)
				b.Step(b.at, Ended{Ref: ref, N: 1, Outcome: Done})
			}
		}
		homes[first]++
	}
	require.Len(t, homes, 3)
	for s, n := range homes {
		require.InDelta(t, 20, n, 12, "%s", s)
	}
	b := newLoadedRouter(t, 9, nil)
	_, l, _ := b.callPath("/llm/x", callWith("part"))
	b = newLoadedRouter(t, 9, map[ident.Server]int{l.Server: 5000})
	_, second, _ := b.callPath("/llm/x", callWith("part"))
	require.NotEqual(t, l.Server, second.Server, "the extra load exceeds the saving from the cached prefix")
	b = newLoadedRouter(t, 9, map[ident.Server]int{l.Server: 1000})
	_, second, _ = b.callPath("/llm/x", callWith("part"))
	require.Equal(t, l.Server, second.Server, "the extra load is below the saving from the cached prefix")
	spread := map[ident.Server]int{}
	b = newLoadedRouter(t, 1000, nil)
	for range 300 {
		ref, l, _ := b.callPath("/llm/x", fleetplan.Request{Model: "m", PromptTokens: 10})
		spread[l.Server]++
		b.Step(b.at, Ended{Ref: ref, N: 1, Outcome: Done})
	}
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		require.InDelta(t, 100, spread[s], 40, "%v", spread)
	}
}

// The load of other routers is the fleet's total minus this router's own load as last reported.
func TestFleetLoad(t *testing.T) {
	b := newLoadedRouter(t, 9, map[ident.Server]int{"s1": 50, "s2": 9000, "s3": 9000})
	ref, l, _ := b.callPath("/llm/x", fleetplan.Request{Model: "m", PromptTokens: 700, MaxTokens: 300})
	require.Equal(t, ident.Server("s1"), l.Server)
	h, ok := findMessage[protocol.RouterReport](b.wait(300e6))
	require.True(t, ok)
	require.Equal(t, map[ident.Server]int{"s1": 700 + maxOutputTokens}, h.TokensInProgress)
	for _, c := range []struct {
		fleet map[ident.Server]int
		under int
	}{
		{map[ident.Server]int{"s1": 1500}, 1500}, {map[ident.Server]int{"s1": 1000}, 1000}, {map[ident.Server]int{"s1": 600}, 700 + maxOutputTokens}, {map[ident.Server]int{"s2": 5}, 700 + maxOutputTokens},
	} {
		b.deliver(protocol.RouterLease{Session: testSession, Until: b.at.Add(60e9), TokensInProgress: c.fleet})
		require.Equal(t, c.under, b.servers["s1"].load(), "%v", c.fleet)
	}
	b.Step(b.at, Begun{Ref: ref, N: 1})
	require.Equal(t, maxOutputTokens, b.servers["s1"].tokens, "the prompt has been processed")
	require.Equal(t, 1000, b.servers["s1"].reservedTokens, "the memory remains reserved")
}

// A configuration that arrives too late for its session is put in force, and its epoch is reported to the agent with
// the next tick.
func TestLateConfiguration(t *testing.T) {
	b := newHostedRouter(t, Options{ServersEnforcePlacement: true}, hostPlan(nil), hostPlan(nil))
	out := b.deliver(protocol.Updates{Items: []protocol.Update{{Desired: &protocol.Desired{Gen: 1, Epoch: 9, Plan: []byte{1}}}}})
	_, acknowledged := findMessage[protocol.Ack](out)
	require.False(t, acknowledged, "changes of an earlier session are not acknowledged")
	b.at = b.at.Add(20e6)
	hello, reported := findMessage[protocol.RouterReport](b.Step(b.at, protocol.TimerTick{}))
	require.True(t, reported)
	require.Equal(t, ident.Epoch(9), hello.Epoch)
	b.deliver(protocol.Updates{Items: []protocol.Update{{Desired: &protocol.Desired{Gen: 1, Epoch: 8, Plan: []byte{0}}}}})
	_, epoch, _ := b.InForce(b.at)
	require.Equal(t, ident.Epoch(9), epoch, "an older configuration changes nothing")
}
