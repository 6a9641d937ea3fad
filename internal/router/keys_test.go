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

// keyHolders says whose each key is.
type keyHolders map[string]string

// keyedPlan has the routes of hostPlan, and tenants where holders are given; a tenant may be there without a key.
func keyedPlan(keys keyHolders, change func(*fleetplan.Plan)) *fleetplan.Plan {
	p := hostPlan(change)
	if keys == nil {
		return p
	}
	t := fleetplan.NewTenants()
	for _, name := range []string{"one", "two"} {
		t.Add(fleetplan.Tenant{Name: name})
	}
	for key, name := range keys {
		t.Grant(name, key)
	}
	p.SetTenants(t)
	return p
}

func withKey(c fleetplan.Call, key string) fleetplan.Call {
	c.Credential = fleetplan.NewCredential(key)
	return c
}

// setLease takes the lease away, or gives it back.
func (b *bed) setLease(on bool) []any {
	if !on {
		b.leaseUntil = 0
		return nil
	}
	return b.deliver(protocol.Hold{Session: ses, Until: b.at.Add(60e9), Routers: 1})
}

// Whose a request is, and whether it may go, follows the configuration for as long as the request has not been sent: while it
// waits, between its launch and its sending, before it is tried again, and before its stream is taken up elsewhere.
func TestKeysThatChangeUnderWay(t *testing.T) {
	mine, moved, taken := keyHolders{"k": "one"}, keyHolders{"k": "two"}, keyHolders{}
	idempotent, resumable := "/again/x", "/llm/resume/x"
	waiting := func(b *bed, path string) Ref {
		ref, l, _ := b.go1(path, withKey(fleetplan.Call{Base: "m", Max: 8}, "k"))
		require.Empty(b.t, l.Server, "no server is known yet")
		return ref
	}
	servers := func(b *bed) Launch {
		l, _ := pick[Launch](append(b.entry("web|", "p", "q"), b.entry("llm|m", "p", "q")...))
		return l
	}
	launched := func(b *bed, path string) Launch {
		servers(b)
		_, l, _ := b.go1(path, withKey(fleetplan.Call{Base: "m", Max: 8}, "k"))
		require.NotEmpty(b.t, l.Server)
		return l
	}
	sent := func(b *bed, path string) Launch {
		l := launched(b, path)
		require.True(b.t, b.MaySend(b.at, l.Ref, l.N))
		b.fund(5)
		return l
	}
	ended := func(b *bed, l Launch, how End, kind failure.Kind) []any {
		return b.Step(b.at, Ended{Ref: l.Ref, N: l.N, How: how, Kind: kind})
	}
	goesAs := func(b *bed, l Launch, tenant string) {
		b.t.Helper()
		require.NotEmpty(b.t, l.Server)
		require.Equal(b.t, tenant, l.Work.Tenant)
		require.True(b.t, l.Keyed)
		require.True(b.t, b.MaySend(b.at, l.Ref, l.N))
	}
	refusedAs := func(b *bed, out []any, kind failure.Kind) {
		b.t.Helper()
		r, ok := pick[Receipt](out)
		require.True(b.t, ok)
		require.Equal(b.t, kind, r.Kind)
		_, again := pick[Launch](out)
		require.False(b.t, again)
	}
	for _, c := range []struct {
		name  string
		first keyHolders
		then  []keyHolders
		play  func(b *bed)
	}{
		{"taken away while it waits", mine, []keyHolders{taken}, func(b *bed) {
			waiting(b, idempotent)
			refusedAs(b, b.replan(1), failure.NoKey)
		}},
		{"given to another while it waits", mine, []keyHolders{moved}, func(b *bed) {
			waiting(b, idempotent)
			b.replan(1)
			goesAs(b, servers(b), "two")
		}},
		{"taken away and given back while it waits without a lease", mine, []keyHolders{taken, mine}, func(b *bed) {
			waiting(b, idempotent)
			b.setLease(false)
			_, refused := pick[Receipt](b.replan(1))
			require.False(b.t, refused, "it cannot be sure that this is the newest")
			b.replan(2)
			b.setLease(true)
			goesAs(b, servers(b), "one")
		}},
		{"unknown without a lease, and known by a newer configuration", taken, []keyHolders{mine}, func(b *bed) {
			servers(b)
			b.setLease(false)
			_, l, out := b.go1(idempotent, withKey(fleetplan.Call{}, "k"))
			_, refused := pick[Receipt](out)
			require.False(b.t, refused)
			require.Empty(b.t, l.Server)
			b.replan(1)
			l, _ = pick[Launch](append(b.setLease(true), b.entry("web|", "p", "q")...))
			goesAs(b, l, "one")
		}},
		{"unknown without a lease, and then sure", taken, nil, func(b *bed) {
			b.setLease(false)
			b.go1(idempotent, withKey(fleetplan.Call{}, "k"))
			refusedAs(b, b.setLease(true), failure.NoKey)
		}},
		{"taken away between launch and sending", mine, []keyHolders{taken}, func(b *bed) {
			l := launched(b, idempotent)
			b.replan(1)
			require.False(b.t, b.MaySend(b.at, l.Ref, l.N))
			refusedAs(b, ended(b, l, Kept, ""), failure.NoKey)
		}},
		{"given to another between launch and sending", mine, []keyHolders{moved}, func(b *bed) {
			l := launched(b, idempotent)
			b.replan(1)
			require.False(b.t, b.MaySend(b.at, l.Ref, l.N))
			l, _ = pick[Launch](ended(b, l, Kept, ""))
			goesAs(b, l, "two")
		}},
		{"moved, and back, between launch and sending", mine, []keyHolders{moved, mine}, func(b *bed) {
			l := launched(b, idempotent)
			b.replan(1)
			b.replan(2)
			goesAs(b, l, "one")
		}},
		{"tenants come between launch and sending", nil, []keyHolders{mine}, func(b *bed) {
			l := launched(b, idempotent)
			require.False(b.t, l.Keyed)
			b.replan(1)
			require.False(b.t, b.MaySend(b.at, l.Ref, l.N), "the caller's key would be shown to the server")
			l, _ = pick[Launch](ended(b, l, Kept, ""))
			goesAs(b, l, "one")
		}},
		{"given to another before the next try", mine, []keyHolders{moved}, func(b *bed) {
			l := sent(b, idempotent)
			b.replan(1)
			l, _ = pick[Launch](append(ended(b, l, Dropped, failure.Busy), b.wait(1e9)...))
			goesAs(b, l, "two")
		}},
		{"taken away before the next try", mine, []keyHolders{taken}, func(b *bed) {
			l := sent(b, idempotent)
			b.replan(1)
			refusedAs(b, ended(b, l, Dropped, failure.Busy), failure.NoKey)
		}},
		{"taken away after it may have run", mine, []keyHolders{taken}, func(b *bed) {
			l := sent(b, idempotent)
			b.replan(1)
			refusedAs(b, ended(b, l, Lost, ""), failure.Unclear)
		}},
		{"given to another before its stream is taken up", mine, []keyHolders{moved}, func(b *bed) {
			l := sent(b, resumable)
			b.Step(b.at, Begun{Ref: l.Ref, N: l.N})
			b.replan(1)
			l, _ = pick[Launch](append(ended(b, l, Split, ""), b.wait(1e9)...))
			goesAs(b, l, "two")
		}},
		{"taken away before its stream is taken up", mine, []keyHolders{taken}, func(b *bed) {
			l := sent(b, resumable)
			b.Step(b.at, Begun{Ref: l.Ref, N: l.N})
			b.replan(1)
			refusedAs(b, ended(b, l, Split, ""), failure.Unclear)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			plans := []*fleetplan.Plan{keyedPlan(c.first, nil)}
			for _, keys := range c.then {
				plans = append(plans, keyedPlan(keys, nil))
			}
			c.play(free(t, Options{}, plans...))
		})
	}
}

// What was seen: a router's own check, request_ends_in_time, told of requests that waited up to 2.8 s past their time (simulator,
// scene keys-slow-core, corrib, seeds 1 and 5 of the first six).
// Order of events: a request's key is unknown at a router without a lease, which waits for a newer configuration; that one knows
// the key, and gives the route less time than the request has waited already.
// Cause: the time is worked out anew under each configuration, and whether it is over was looked at by the next beat only, behind
// everything else that waits.
func TestTimeThatIsOverByANewerPlan(t *testing.T) {
	above := func(p *fleetplan.Plan) { p.Hosts["h"]["/"].Class.Value = 9 }
	short := func(p *fleetplan.Plan) {
		above(p)
		p.Hosts["h"]["/again/"].Class.Wait = clock.Span(2e9)
	}
	for _, known := range []bool{false, true} {
		first := keyHolders{}
		if known {
			first = keyHolders{"k": "one"}
		}
		b := free(t, Options{}, keyedPlan(first, above), keyedPlan(keyHolders{"k": "one"}, short))
		b.setLease(false)
		ref, _, _ := b.go1("/again/x", withKey(fleetplan.Call{}, "k"))
		b.wait(clock.Span(4e9))
		b.go1("/x", withKey(fleetplan.Call{}, "k")) // which comes first
		r, refused := pick[Receipt](b.replan(1))
		require.True(t, refused, "at once")
		require.Equal(t, Receipt{Ref: ref, Kind: failure.Expired, Back: failure.Receipts[failure.Expired].Back}, r)
	}
}

// A route that stops to want a key, and wants one again.
func TestRouteThatWantsNoKeyForAWhile(t *testing.T) {
	open := func(p *fleetplan.Plan) { p.Hosts["h"]["/again/"].Unkeyed = true }
	b := free(t, Options{}, keyedPlan(keyHolders{"k": "one"}, nil), keyedPlan(keyHolders{"k": "one"}, open), keyedPlan(keyHolders{"k": "one"}, nil))
	b.entry("web|", "p", "q")
	kindOf := func(out []any) failure.Kind {
		r, _ := pick[Receipt](out)
		return r.Kind
	}
	_, _, out := b.go1("/again/x", fleetplan.Call{})
	require.Equal(t, failure.NoKey, kindOf(out))
	b.replan(1)
	for key, tenant := range map[string]string{"": "", "unknown": "", "k": "one"} {
		_, l, _ := b.go1("/again/x", withKey(fleetplan.Call{}, key))
		require.NotEmpty(t, l.Server)
		require.Equal(t, tenant, l.Work.Tenant)
		require.True(t, l.Keyed, "an unknown key, too, is shown to no server")
		require.True(t, b.MaySend(b.at, l.Ref, l.N))
		b.Step(b.at, Ended{Ref: l.Ref, N: l.N, How: Done})
	}
	b.replan(2)
	_, _, out = b.go1("/again/x", withKey(fleetplan.Call{}, "unknown"))
	require.Equal(t, failure.NoKey, kindOf(out))
}

// What may have run is not run again once a route was seen that lets it run once, also by a configuration that knew its key no more.
func TestRunsOnceAcrossAPlanWithoutItsKey(t *testing.T) {
	once := func(p *fleetplan.Plan) { p.Hosts["h"]["/again/"].Mode = fleetplan.Once }
	b := free(t, Options{}, keyedPlan(keyHolders{"k": "one"}, nil), keyedPlan(keyHolders{}, once), keyedPlan(keyHolders{"k": "one"}, nil))
	b.entry("web|", "p", "q")
	_, l, _ := b.go1("/again/x", withKey(fleetplan.Call{}, "k"))
	require.True(t, b.MaySend(b.at, l.Ref, l.N))
	b.fund(5)
	b.replan(1)
	b.setLease(false)
	b.Step(b.at, Ended{Ref: l.Ref, N: l.N, How: Lost})
	b.replan(2)
	_, again := pick[Launch](append(b.setLease(true), append(b.entry("web|", "p", "q"), b.wait(1e9)...)...))
	require.False(t, again)
}

// What waits is given up by its tenant's precedence first, then by its route's, and servers are told the same order.
func TestTenantsPrecedence(t *testing.T) {
	p := hostPlan(func(p *fleetplan.Plan) {
		p.Hosts["h"]["/again/"].Class.Value = 9
		p.Hosts["h"]["/"].Unkeyed = true
	})
	tenants := fleetplan.NewTenants()
	for i, name := range []string{"first", "second", "third"} {
		tenants.Add(fleetplan.Tenant{Name: name, Precedence: i})
		tenants.Grant(name, name)
	}
	p.SetTenants(tenants)
	b := free(t, Options{MaxQueuedPerKey: 3}, p)
	ask := func(path, key string) (Ref, []any) {
		ref, _, out := b.go1(path, withKey(fleetplan.Call{}, key))
		return ref, out
	}
	third, _ := ask("/again/x", "third")
	nobody, _ := ask("/x", "")
	ask("/x", "first")
	_, out := ask("/x", "second")
	r, _ := pick[Receipt](out)
	require.Equal(t, nobody, r.Ref, "nobody's requests make way before any tenant's")
	_, out = ask("/x", "second")
	r, _ = pick[Receipt](out)
	require.Equal(t, third, r.Ref, "a higher route of a lower tenant makes way")
	last, out := ask("/again/x", "third")
	r, _ = pick[Receipt](out)
	require.Equal(t, last, r.Ref)

	b = free(t, Options{}, p)
	b.entry("web|", "p", "q")
	ranks := []int{}
	for _, x := range []struct{ path, key string }{{"/again/x", "first"}, {"/x", "first"}, {"/again/x", "second"}, {"/x", "second"}, {"/again/x", "third"}, {"/x", "third"}, {"/x", ""}} {
		_, l, _ := b.go1(x.path, withKey(fleetplan.Call{}, x.key))
		require.NotEmpty(t, l.Server)
		ranks = append(ranks, l.Rank)
		b.Step(b.at, Ended{Ref: l.Ref, N: l.N, How: Kept})
		b.Step(b.at, Quit{Ref: l.Ref})
	}
	require.IsIncreasing(t, ranks)
}

// keyChangeRun is a router under changes of keys, drawn from a seed, beside what a plain reading of the configurations says.
type keyChangeRun struct {
	*bed
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

// checkOutputs takes in what the router did.
func (k *keyChangeRun) checkOutputs(out []any) {
	for _, o := range out {
		switch v := o.(type) {
		case Launch:
			k.open = append(k.open, v)
		case Receipt:
			if v.Kind != failure.NoKey {
				continue
			}
			k.refused++
			require.True(k.t, k.leased(), "only a router that is sure of the newest configuration says that a key is unknown")
			_, known := k.holdersInForce()[k.keys[v.Ref]]
			require.False(k.t, known)
		}
	}
}

func (k *keyChangeRun) send(l Launch) {
	if !k.MaySend(k.at, l.Ref, l.N) {
		k.checkOutputs(k.Step(k.at, Ended{Ref: l.Ref, N: l.N, How: Kept}))
		return
	}
	k.sends++
	require.Equal(k.t, k.holdersInForce() != nil, l.Keyed)
	require.Equal(k.t, k.holdersInForce()[k.keys[l.Ref]], l.Work.Tenant)
	if k.holdersInForce() != nil && l.Work.Tenant == "" {
		k.t.Fatalf("a request with the key %q is sent for nobody", k.keys[l.Ref])
	}
	how := []End{Done, Done, Dropped, Lost, Split}[k.random.IntN(5)]
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
	k.checkOutputs(k.Step(k.at, Ended{Ref: l.Ref, N: l.N, How: how, Kind: kind}))
}

// change puts the next configuration in force, if there is one.
func (k *keyChangeRun) change() {
	if int(k.epoch) < len(k.plans) {
		k.checkOutputs(k.replan(byte(k.epoch)))
	}
}

// Requests whose keys are taken away, moved and given back while they wait, are launched, tried again or taken up are sent as
// the configuration in force says, or not at all.
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
		k.bed = free(t, Options{}, plans...)
		for range 300 {
			k.fund(5)
			switch random.IntN(7) {
			case 0:
				k.change()
			case 1:
				k.checkOutputs(k.setLease(random.IntN(2) == 0))
			case 2:
				k.checkOutputs(k.entry([]ident.Key{"web|", "llm|m"}[random.IntN(2)], []string{"p", "q", "s"}[:random.IntN(4)]...))
			case 3:
				k.checkOutputs(k.wait(clock.Span(random.IntN(300)) * 1e6))
			case 4, 5:
				path := []string{"/again/x", "/x", "/llm/x", "/llm/stream/x", "/llm/resume/x"}[random.IntN(5)]
				key := randomKeys[random.IntN(4)]
				k.keys[k.ref+1], k.paths[k.ref+1] = key, path
				_, _, out := k.go1(path, withKey(fleetplan.Call{ID: fmt.Sprint(seed, k.ref), Base: "m", Max: 8}, key))
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
