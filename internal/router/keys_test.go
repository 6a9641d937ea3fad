package router

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// keyHolders maps each key to the tenant that holds it.
type keyHolders map[string]string

// keyedPlan returns a plan with the routes of hostPlan and, unless keys is nil, the tenants one and two with their
// keys. A tenant need not have a key.
func keyedPlan(keys keyHolders, change func(*fleetplan.Plan)) *fleetplan.Plan {
	p := hostPlan(change)
	if keys == nil {
		return p
	}
	tenants := fleetplan.NewTenants()
	for _, name := range []string{"one", "two"} {
		tenants.Add(fleetplan.Tenant{Name: name})
	}
	for key, name := range keys {
		tenants.AddKey(name, key)
	}
	p.SetTenants(tenants)
	return p
}

func withKey(c fleetplan.Request, key string) fleetplan.Request {
	c.Credential = fleetplan.NewCredential(key)
	return c
}

// setLease ends or renews the lease.
func (b *testRouter) setLease(on bool) []any {
	if !on {
		b.leaseUntil = 0
		return nil
	}
	return b.deliver(protocol.RouterLease{Session: testSession, Until: b.at.Add(60e9), Routers: 1})
}

// The tenant of a request and its admission follow the configuration in force until the request is sent: while it
// waits, between launch and sending, before a retry, and before its stream is resumed at another server.
func TestKeysThatChangeUnderWay(t *testing.T) {
	original, moved, revoked := keyHolders{"k": "one"}, keyHolders{"k": "two"}, keyHolders{}
	idempotent, resumable := "/again/x", "/llm/resume/x"
	waiting := func(b *testRouter, path string) Ref {
		ref, l, _ := b.callPath(path, withKey(fleetplan.Request{Model: "m", MaxTokens: 8}, "k"))
		require.Empty(b.t, l.Server, "no server is known yet")
		return ref
	}
	addServers := func(b *testRouter) Launch {
		l, _ := findOutput[Launch](append(b.deliverEntry("web|", "p", "q"), b.deliverEntry("llm|m", "p", "q")...))
		return l
	}
	launched := func(b *testRouter, path string) Launch {
		addServers(b)
		_, l, _ := b.callPath(path, withKey(fleetplan.Request{Model: "m", MaxTokens: 8}, "k"))
		require.NotEmpty(b.t, l.Server)
		return l
	}
	sent := func(b *testRouter, path string) Launch {
		l := launched(b, path)
		require.True(b.t, b.MaySend(b.at, l.Ref, l.N))
		b.setCredits(5)
		return l
	}
	ended := func(b *testRouter, l Launch, how Outcome, kind failure.Kind) []any {
		return b.Step(b.at, Ended{Ref: l.Ref, N: l.N, Outcome: how, Kind: kind})
	}
	requireSentAs := func(b *testRouter, l Launch, tenant string) {
		b.t.Helper()
		require.NotEmpty(b.t, l.Server)
		require.Equal(b.t, tenant, l.Work.Tenant)
		require.True(b.t, l.Keyed)
		require.True(b.t, b.MaySend(b.at, l.Ref, l.N))
	}
	requireRefused := func(b *testRouter, out []any, kind failure.Kind) {
		b.t.Helper()
		r, ok := findOutput[Refusal](out)
		require.True(b.t, ok)
		require.Equal(b.t, kind, r.Kind)
		_, again := findOutput[Launch](out)
		require.False(b.t, again)
	}
	for _, c := range []struct {
		name  string
		first keyHolders
		then  []keyHolders
		run   func(b *testRouter)
	}{
		{"revoked while waiting", original, []keyHolders{revoked}, func(b *testRouter) {
			waiting(b, idempotent)
			requireRefused(b, b.deliverPlan(1), failure.NoKey)
		}},
		{"granted to another tenant while waiting", original, []keyHolders{moved}, func(b *testRouter) {
			waiting(b, idempotent)
			b.deliverPlan(1)
			requireSentAs(b, addServers(b), "two")
		}},
		{"revoked and granted again while waiting without a lease", original, []keyHolders{revoked, original}, func(b *testRouter) {
			waiting(b, idempotent)
			b.setLease(false)
			_, refused := findOutput[Refusal](b.deliverPlan(1))
			require.False(b.t, refused, "without a lease the configuration may be outdated")
			b.deliverPlan(2)
			b.setLease(true)
			requireSentAs(b, addServers(b), "one")
		}},
		{"unknown without a lease, known in a newer configuration", revoked, []keyHolders{original}, func(b *testRouter) {
			addServers(b)
			b.setLease(false)
			_, l, out := b.callPath(idempotent, withKey(fleetplan.Request{}, "k"))
			_, refused := findOutput[Refusal](out)
			require.False(b.t, refused)
			require.Empty(b.t, l.Server)
			b.deliverPlan(1)
			l, _ = findOutput[Launch](append(b.setLease(true), b.deliverEntry("web|", "p", "q")...))
			requireSentAs(b, l, "one")
		}},
		{"unknown without a lease, then confirmed by a lease", revoked, nil, func(b *testRouter) {
			b.setLease(false)
			b.callPath(idempotent, withKey(fleetplan.Request{}, "k"))
			requireRefused(b, b.setLease(true), failure.NoKey)
		}},
		{"revoked between launch and sending", original, []keyHolders{revoked}, func(b *testRouter) {
			l := launched(b, idempotent)
			b.deliverPlan(1)
			require.False(b.t, b.MaySend(b.at, l.Ref, l.N))
			requireRefused(b, ended(b, l, Kept, ""), failure.NoKey)
		}},
		{"granted to another tenant between launch and sending", original, []keyHolders{moved}, func(b *testRouter) {
			l := launched(b, idempotent)
			b.deliverPlan(1)
			require.False(b.t, b.MaySend(b.at, l.Ref, l.N))
			l, _ = findOutput[Launch](ended(b, l, Kept, ""))
			requireSentAs(b, l, "two")
		}},
		{"moved and restored between launch and sending", original, []keyHolders{moved, original}, func(b *testRouter) {
			l := launched(b, idempotent)
			b.deliverPlan(1)
			b.deliverPlan(2)
			requireSentAs(b, l, "one")
		}},
		{"tenants added between launch and sending", nil, []keyHolders{original}, func(b *testRouter) {
			l := launched(b, idempotent)
			require.False(b.t, l.Keyed)
			b.deliverPlan(1)
			require.False(b.t, b.MaySend(b.at, l.Ref, l.N), "the caller's key would be sent to the server")
			l, _ = findOutput[Launch](ended(b, l, Kept, ""))
			requireSentAs(b, l, "one")
		}},
		{"granted to another tenant before a retry", original, []keyHolders{moved}, func(b *testRouter) {
			l := sent(b, idempotent)
			b.deliverPlan(1)
			l, _ = findOutput[Launch](append(ended(b, l, Dropped, failure.Busy), b.wait(1e9)...))
			requireSentAs(b, l, "two")
		}},
		{"revoked before a retry", original, []keyHolders{revoked}, func(b *testRouter) {
			l := sent(b, idempotent)
			b.deliverPlan(1)
			requireRefused(b, ended(b, l, Dropped, failure.Busy), failure.NoKey)
		}},
		{"revoked after the request may have run", original, []keyHolders{revoked}, func(b *testRouter) {
			l := sent(b, idempotent)
			b.deliverPlan(1)
			requireRefused(b, ended(b, l, Lost, ""), failure.Unclear)
		}},
		{"granted to another tenant before the stream is resumed", original, []keyHolders{moved}, func(b *testRouter) {
			l := sent(b, resumable)
			b.Step(b.at, Begun{Ref: l.Ref, N: l.N})
			b.deliverPlan(1)
			l, _ = findOutput[Launch](append(ended(b, l, Split, ""), b.wait(1e9)...))
			requireSentAs(b, l, "two")
		}},
		{"revoked before the stream is resumed", original, []keyHolders{revoked}, func(b *testRouter) {
			l := sent(b, resumable)
			b.Step(b.at, Begun{Ref: l.Ref, N: l.N})
			b.deliverPlan(1)
			requireRefused(b, ended(b, l, Split, ""), failure.Unclear)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			plans := []*fleetplan.Plan{keyedPlan(c.first, nil)}
			for _, keys := range c.then {
				plans = append(plans, keyedPlan(keys, nil))
			}
			c.run(newHostedRouter(t, Options{}, plans...))
		})
	}
}

// Guards against requests that wait past a deadline shortened by a new configuration. The simulator (scene
// keys-slow-core, fleet corrib, seeds 1 and 5 of the first six) found violations of request_ends_in_time by up to 2.8
// s. A request with an unknown key waits at a router without a lease; a newer configuration knows the key, but allows
// the route less time than the request has already waited. The deadline is recomputed under each configuration, and
// only the next tick compared it with the clock, after all other waiting requests.
func TestTimeThatIsOverByANewerPlan(t *testing.T) {
	valuable := func(p *fleetplan.Plan) { p.Hosts["h"]["/"].Class.Value = 9 }
	shorter := func(p *fleetplan.Plan) {
		valuable(p)
		p.Hosts["h"]["/again/"].Class.MaxWait = clock.Span(2e9)
	}
	for _, known := range []bool{false, true} {
		first := keyHolders{}
		if known {
			first = keyHolders{"k": "one"}
		}
		b := newHostedRouter(t, Options{}, keyedPlan(first, valuable), keyedPlan(keyHolders{"k": "one"}, shorter))
		b.setLease(false)
		ref, _, _ := b.callPath("/again/x", withKey(fleetplan.Request{}, "k"))
		b.wait(clock.Span(4e9))
		b.callPath("/x", withKey(fleetplan.Request{}, "k")) // has the higher value and comes first
		r, refused := findOutput[Refusal](b.deliverPlan(1))
		require.True(t, refused, "the request ends immediately")
		require.Equal(t, Refusal{Ref: ref, Kind: failure.Expired, RetryAfter: failure.Responses[failure.Expired].RetryAfter}, r)
	}
}

// A route requires a key, then does not, then requires one again.
func TestRouteThatTemporarilyNeedsNoKey(t *testing.T) {
	open := func(p *fleetplan.Plan) { p.Hosts["h"]["/again/"].Unkeyed = true }
	b := newHostedRouter(t, Options{}, keyedPlan(keyHolders{"k": "one"}, nil), keyedPlan(keyHolders{"k": "one"}, open), keyedPlan(keyHolders{"k": "one"}, nil))
	b.deliverEntry("web|", "p", "q")
	kindOf := func(out []any) failure.Kind {
		r, _ := findOutput[Refusal](out)
		return r.Kind
	}
	_, _, out := b.callPath("/again/x", fleetplan.Request{})
	require.Equal(t, failure.NoKey, kindOf(out))
	b.deliverPlan(1)
	for key, tenant := range map[string]string{"": "", "unknown": "", "k": "one"} {
		_, l, _ := b.callPath("/again/x", withKey(fleetplan.Request{}, key))
		require.NotEmpty(t, l.Server)
		require.Equal(t, tenant, l.Work.Tenant)
		require.True(t, l.Keyed, "an unknown key is not sent to a server either")
		require.True(t, b.MaySend(b.at, l.Ref, l.N))
		b.Step(b.at, Ended{Ref: l.Ref, N: l.N, Outcome: Done})
	}
	b.deliverPlan(2)
	_, _, out = b.callPath("/again/x", withKey(fleetplan.Request{}, "unknown"))
	require.Equal(t, failure.NoKey, kindOf(out))
}

// A request that may have run is not run again if any configuration since had a route that permits only one run, even
// one that did not contain the request's key.
func TestRunsOnceAcrossAPlanWithoutItsKey(t *testing.T) {
	once := func(p *fleetplan.Plan) { p.Hosts["h"]["/again/"].Mode = fleetplan.Once }
	b := newHostedRouter(t, Options{}, keyedPlan(keyHolders{"k": "one"}, nil), keyedPlan(keyHolders{}, once), keyedPlan(keyHolders{"k": "one"}, nil))
	b.deliverEntry("web|", "p", "q")
	_, l, _ := b.callPath("/again/x", withKey(fleetplan.Request{}, "k"))
	require.True(t, b.MaySend(b.at, l.Ref, l.N))
	b.setCredits(5)
	b.deliverPlan(1)
	b.setLease(false)
	b.Step(b.at, Ended{Ref: l.Ref, N: l.N, Outcome: Lost})
	b.deliverPlan(2)
	_, again := findOutput[Launch](append(b.setLease(true), append(b.deliverEntry("web|", "p", "q"), b.wait(1e9)...)...))
	require.False(t, again)
}

// Waiting requests are rejected by the precedence of their tenant first and by that of their route second. Servers
// receive ranks in the same order.
func TestTenantPrecedence(t *testing.T) {
	p := hostPlan(func(p *fleetplan.Plan) {
		p.Hosts["h"]["/again/"].Class.Value = 9
		p.Hosts["h"]["/"].Unkeyed = true
	})
	tenants := fleetplan.NewTenants()
	for i, name := range []string{"first", "second", "third"} {
		tenants.Add(fleetplan.Tenant{Name: name, Precedence: i})
		tenants.AddKey(name, name)
	}
	p.SetTenants(tenants)
	b := newHostedRouter(t, Options{MaxQueuedPerKey: 3}, p)
	ask := func(path, key string) (Ref, []any) {
		ref, _, out := b.callPath(path, withKey(fleetplan.Request{}, key))
		return ref, out
	}
	third, _ := ask("/again/x", "third")
	nobody, _ := ask("/x", "")
	ask("/x", "first")
	_, out := ask("/x", "second")
	r, _ := findOutput[Refusal](out)
	require.Equal(t, nobody, r.Ref, "requests without a tenant are rejected before those of any tenant")
	_, out = ask("/x", "second")
	r, _ = findOutput[Refusal](out)
	require.Equal(t, third, r.Ref, "the tenant's precedence outweighs the route's")
	last, out := ask("/again/x", "third")
	r, _ = findOutput[Refusal](out)
	require.Equal(t, last, r.Ref)

	b = newHostedRouter(t, Options{}, p)
	b.deliverEntry("web|", "p", "q")
	ranks := []int{}
	for _, x := range []struct{ path, key string }{{"/again/x", "first"}, {"/x", "first"}, {"/again/x", "second"}, {"/x", "second"}, {"/again/x", "third"}, {"/x", "third"}, {"/x", ""}} {
		_, l, _ := b.callPath(x.path, withKey(fleetplan.Request{}, x.key))
		require.NotEmpty(t, l.Server)
		ranks = append(ranks, l.Rank)
		b.Step(b.at, Ended{Ref: l.Ref, N: l.N, Outcome: Kept})
		b.Step(b.at, Quit{Ref: l.Ref})
	}
	require.IsIncreasing(t, ranks)
}

// keyChangeRun is a router under random changes of keys. Its decisions are compared with the configurations.
type keyChangeRun struct {
	*testRouter
	random  *rand.Rand
	plans   []keyHolders
	paths   map[Ref]string
	keys    map[Ref]string
	open    []Launch
	refused int
	sends   int
}

var randomKeys = []string{"k0", "k1", "k2", ""}

func (k *keyChangeRun) holdersInForce() keyHolders { return k.plans[k.epoch-1] }

// checkOutputs checks the outputs of the router and records its launches.
func (k *keyChangeRun) checkOutputs(out []any) {
	for _, o := range out {
		switch v := o.(type) {
		case Launch:
			k.open = append(k.open, v)
		case Refusal:
			if v.Kind != failure.NoKey {
				continue
			}
			k.refused++
			require.True(k.t, k.leased(), "only a router with a lease may reject a request because of an unknown key")
			_, known := k.holdersInForce()[k.keys[v.Ref]]
			require.False(k.t, known)
		}
	}
}

func (k *keyChangeRun) send(l Launch) {
	if !k.MaySend(k.at, l.Ref, l.N) {
		k.checkOutputs(k.Step(k.at, Ended{Ref: l.Ref, N: l.N, Outcome: Kept}))
		return
	}
	k.sends++
	require.Equal(k.t, k.holdersInForce() != nil, l.Keyed)
	require.Equal(k.t, k.holdersInForce()[k.keys[l.Ref]], l.Work.Tenant)
	if k.holdersInForce() != nil && l.Work.Tenant == "" {
		k.t.Fatalf("a request with the key %q is sent without a tenant", k.keys[l.Ref])
	}
	how := []Outcome{Done, Done, Dropped, Lost, Split}[k.random.IntN(5)]
	kind := failure.None
	if how == Dropped {
		kind = failure.Busy
	}
	if how == Split || k.random.IntN(4) == 0 {
		k.Step(k.at, Begun{Ref: l.Ref, N: l.N})
	}
	if k.random.IntN(3) == 0 {
		k.change()
	}
	k.checkOutputs(k.Step(k.at, Ended{Ref: l.Ref, N: l.N, Outcome: how, Kind: kind}))
}

// change puts the next configuration, if any, in force.
func (k *keyChangeRun) change() {
	if int(k.epoch) < len(k.plans) {
		k.checkOutputs(k.deliverPlan(byte(k.epoch)))
	}
}

// Under random changes of keys, every request that is sent has the tenant of the configuration in force, whether the
// key changed while the request waited, between launch and sending, before a retry, or before its stream was resumed.
func TestKeysUnderDrawnChanges(t *testing.T) {
	sends, refused := 0, 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 40))
		k := &keyChangeRun{random: random, paths: map[Ref]string{}, keys: map[Ref]string{}}
		var plans []*fleetplan.Plan
		for range 40 {
			h := keyHolders{}
			for _, key := range randomKeys[:3] {
				if name := []string{"one", "two", ""}[random.IntN(3)]; name != "" {
					h[key] = name
				}
			}
			if random.IntN(10) == 0 {
				h = nil
			}
			k.plans = append(k.plans, h)
			plans = append(plans, keyedPlan(h, nil))
		}
		k.testRouter = newHostedRouter(t, Options{}, plans...)
		for range 300 {
			k.setCredits(5)
			switch random.IntN(7) {
			case 0:
				k.change()
			case 1:
				k.checkOutputs(k.setLease(random.IntN(2) == 0))
			case 2:
				k.checkOutputs(k.deliverEntry([]ident.Key{"web|", "llm|m"}[random.IntN(2)], []string{"p", "q", "s"}[:random.IntN(4)]...))
			case 3:
				k.checkOutputs(k.wait(clock.Span(random.IntN(300)) * 1e6))
			case 4, 5:
				path := []string{"/again/x", "/x", "/llm/x", "/llm/stream/x", "/llm/resume/x"}[random.IntN(5)]
				key := randomKeys[random.IntN(4)]
				k.keys[k.ref+1], k.paths[k.ref+1] = key, path
				_, _, out := k.callPath(path, withKey(fleetplan.Request{ID: fmt.Sprint(seed, k.ref), Model: "m", MaxTokens: 8}, key))
				k.checkOutputs(out)
			default:
				if len(k.open) > 0 {
					i := random.IntN(len(k.open))
					l := k.open[i]
					k.open = append(k.open[:i], k.open[i+1:]...)
					k.send(l)
				}
			}
		}
		sends, refused = sends+k.sends, refused+k.refused
	}
	t.Logf("%d sent, %d refused", sends, refused)
	require.Greater(t, sends, 1000)
	require.Greater(t, refused, 1000)
}
