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

// hostPlan has one host whose routes go by prefix and mode, over a plain service and one with models.
func hostPlan(change func(*fleetplan.Plan)) *fleetplan.Plan {
	p := &fleetplan.Plan{
		Models: map[ident.Key]fleetplan.Model{}, Routes: map[string]fleetplan.Route{}, Hosts: map[string]map[string]*fleetplan.Route{"h": {}},
		Services: map[string]fleetplan.Service{
			"web": {Plain: true, Slots: 2}, "new": {Plain: true, Slots: 2},
			"llm": {Slots: 4, Tokens: 10_000, Keys: map[ident.Key]bool{"llm|m": true, "llm|m+a": true}},
		},
	}
	for _, r := range []fleetplan.Route{
		{Name: "once", Service: "web", Prefix: "/", Mode: fleetplan.Once},
		{Name: "again", Service: "web", Prefix: "/again/", Mode: fleetplan.Idempotent},
		{Name: "llm", Service: "llm", Prefix: "/llm/", Mode: fleetplan.Idempotent},
		{Name: "stream", Service: "llm", Prefix: "/llm/stream/", Mode: fleetplan.Continuous},
		{Name: "resume", Service: "llm", Prefix: "/llm/resume/", Mode: fleetplan.Continuous, Resume: true},
	} {
		r.Host, r.Tries, r.Class = "h", 9, fleetplan.Class{Value: 5, Wait: 5e9}
		p.Hosts["h"][r.Prefix] = &r
	}
	if change != nil {
		change(p)
	}
	return p
}

// free makes a router as a hosting platform has it, that rules by the first of the plans. The number
// of a plan is what stands for its bytes.
func free(t *testing.T, o Options, plans ...*fleetplan.Plan) *bed {
	if len(plans) == 0 {
		plans = append(plans, hostPlan(nil))
	}
	o.Free = true
	o.Read = func(raw []byte) (*fleetplan.Plan, fleetplan.Faults) {
		if len(raw) == 1 {
			return plans[raw[0]], nil
		}
		return plans[0], nil
	}
	return newTestRouter(t, o)
}

func (b *bed) replan(n byte) []any {
	return b.deliverItem(protocol.Item{Desired: &protocol.Desired{Gen: 1, Epoch: ident.Epoch(n) + 1, Plan: []byte{n}}})
}

// go1 sends a request by its path and gives where it went, if anywhere.
func (b *bed) go1(path string, c fleetplan.Call) (Ref, Launch, []any) {
	b.ref++
	if c.ID == "" {
		c.ID = fmt.Sprint(b.ref)
	}
	c.Host = "h"
	out := b.Step(b.at, Call{Ref: b.ref, Route: path, Call: c})
	l, _ := pick[Launch](out)
	return b.ref, l, out
}

// wait lets time go by in beats and gathers what comes of it.
func (b *bed) wait(s clock.Span) (out []any) {
	for end := b.at.Add(s); b.at < end; {
		b.at = b.at.Add(20e6)
		out = append(out, b.Step(b.at, protocol.Beat{})...)
	}
	return out
}

// A request goes to the service of its host's route with the longest prefix.
func TestGoesByHost(t *testing.T) {
	for _, c := range []struct {
		path, base, extra string
		server            ident.Server
		kind              failure.Kind
	}{
		{"/", "", "", "w", ""}, {"/x/y", "", "", "w", ""}, {"/llm", "", "", "w", ""}, {"/llm/x", "m", "", "l", ""}, {"/llm/x", "m", "a", "a", ""},
		{"/llm/stream/x", "m", "", "l", ""}, {"/llm/x", "n", "", "", failure.NoModel}, {"/llm/x", "m", "b", "", failure.NoModel},
	} {
		b := free(t, Options{})
		b.entry("web|", "w")
		b.entry("llm|m", "l")
		b.entry("llm|m+a", "a")
		_, l, out := b.go1(c.path, fleetplan.Call{Base: c.base, Extra: c.extra})
		require.Equal(t, c.server, l.Server, "%+v", c)
		r, _ := pick[Receipt](out)
		require.Equal(t, c.kind, r.Kind, "%+v", c)
	}
	b := free(t, Options{})
	out := b.Step(b.at, Call{Ref: 1, Route: "/x", Call: fleetplan.Call{ID: "1", Host: "elsewhere"}})
	r, _ := pick[Receipt](out)
	require.Equal(t, failure.NoRoute, r.Kind)
}

// moveRootToNewService sends the root's requests to the new service.
func moveRootToNewService(p *fleetplan.Plan) { p.Hosts["h"]["/"].Service = "new" }

// A plan that comes moves what waits to its new service, and ends what it no longer allows.
func TestPlanMovesWaiting(t *testing.T) {
	b := free(t, Options{}, hostPlan(nil), hostPlan(moveRootToNewService))
	ref, l, _ := b.go1("/x", fleetplan.Call{})
	require.Empty(t, l.Server, "no server is known yet")
	out := b.replan(1)
	w, ok := findMessage[protocol.Want](out)
	require.True(t, ok)
	require.Equal(t, ident.Key("new|"), w.Key)
	_, ok = pick[Launch](b.entry("web|", "w"))
	require.False(t, ok, "it is the old service's no more")
	l, ok = pick[Launch](b.entry("new|", "n"))
	require.True(t, ok)
	require.Equal(t, Launch{Ref: ref, Server: "n"}, Launch{Ref: l.Ref, Server: l.Server})
	require.True(t, b.MaySend(b.at, ref, 1))
	_, waiting := b.Size()
	require.Zero(t, waiting)

	b = free(t, Options{}, hostPlan(nil), hostPlan(func(p *fleetplan.Plan) { delete(p.Hosts["h"], "/") }))
	ref, _, _ = b.go1("/x", fleetplan.Call{})
	r, ok := pick[Receipt](b.replan(1))
	require.True(t, ok)
	require.Equal(t, Receipt{Ref: ref, Kind: failure.NoRoute}, r)
}

// What is about to be sent by the plan before is held back, and goes to its new service unless the
// new plan has no place for it; neither counts as a try.
func TestPlanHoldsBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*fleetplan.Plan)
		may    bool
		server ident.Server
		kind   failure.Kind
	}{
		{"the same route", func(*fleetplan.Plan) {}, true, "", ""},
		{"another service", moveRootToNewService, false, "n", ""},
		{"another service and a single try", func(p *fleetplan.Plan) { moveRootToNewService(p); p.Hosts["h"]["/"].Tries = 1 }, false, "n", ""},
		{"a longer prefix", func(p *fleetplan.Plan) {
			p.Hosts["h"]["/x/"] = &fleetplan.Route{Name: "x", Service: "new", Mode: fleetplan.Once, Tries: 1, Class: fleetplan.Class{Value: 1, Wait: 5e9}}
		}, false, "n", ""},
		{"no route", func(p *fleetplan.Plan) { delete(p.Hosts["h"], "/") }, false, "", failure.NoRoute},
	} {
		b := free(t, Options{}, hostPlan(nil), hostPlan(c.change))
		b.entry("web|", "w")
		b.entry("new|", "n")
		ref, l, _ := b.go1("/x/", fleetplan.Call{})
		require.Equal(t, ident.Server("w"), l.Server)
		b.replan(1)
		require.Equal(t, c.may, b.MaySend(b.at, ref, 1), c.name)
		if c.may {
			continue
		}
		out := b.Step(b.at, Ended{Ref: ref, N: 1, How: Kept})
		l, _ = pick[Launch](out)
		require.Equal(t, c.server, l.Server, c.name)
		r, _ := pick[Receipt](out)
		require.Equal(t, c.kind, r.Kind, c.name)
		if c.server != "" {
			require.True(t, b.MaySend(b.at, ref, 2), c.name)
		}
		require.Zero(t, b.Counts().Retries, c.name)
		require.Equal(t, 0, b.servers["w"].work, c.name)
	}
}

// A request is sent to no more servers than its route says, and to none of them twice. Goes that were
// not sent do not count.
func TestTries(t *testing.T) {
	for _, c := range []struct {
		path  string
		how   []End
		kind  failure.Kind // of each drop
		tries int
		sent  int
		end   failure.Kind
	}{
		{"/again/x", []End{Dropped, Dropped, Dropped, Dropped}, failure.Busy, 1, 1, failure.NotReady},
		{"/again/x", []End{Dropped, Dropped, Dropped, Dropped}, failure.Busy, 2, 2, failure.NotReady},
		{"/again/x", []End{Dropped, Dropped, Dropped, Dropped}, failure.Busy, 3, 3, failure.NotReady},
		{"/again/x", []End{Lost, Lost, Lost, Lost}, "", 2, 2, failure.Unclear},
		{"/again/x", []End{Unsent, Kept, Dropped, Dropped}, failure.Busy, 2, 4, failure.NotReady},
		{"/x", []End{Dropped, Dropped, Dropped, Dropped}, failure.Busy, 3, 3, failure.NotReady},
		{"/x", []End{Lost}, "", 3, 1, failure.Unclear},
		{"/x", []End{Dropped, Lost}, failure.Busy, 3, 2, failure.Unclear},
	} {
		b := free(t, Options{Lend: 100}, hostPlan(func(p *fleetplan.Plan) {
			for _, r := range p.Hosts["h"] {
				r.Tries = c.tries
			}
		}))
		b.entry("web|", "s1", "s2", "s3", "s4", "s5", "s6")
		ref, l, out := b.go1(c.path, fleetplan.Call{})
		seen, n := map[ident.Server]bool{}, 0
		for {
			var ok bool
			if l, ok = pick[Launch](out); !ok {
				break
			}
			n++
			require.False(t, seen[l.Server], "%+v: %s twice", c, l.Server)
			seen[l.Server] = c.how[n-1] != Kept
			require.True(t, b.MaySend(b.at, ref, l.N))
			out = b.Step(b.at, Ended{Ref: ref, N: l.N, How: c.how[n-1], Kind: c.kind})
		}
		require.Equal(t, c.sent, n, "%+v", c)
		r, ok := pick[Receipt](out)
		require.True(t, ok, "%+v", c)
		require.Equal(t, c.end, r.Kind, "%+v", c)
	}
}

// A stream that broke off goes on at another server where its route allows it, and that is paid for.
func TestResumes(t *testing.T) {
	for _, c := range []struct {
		name, path string
		how        End
		lend       float64
		tries      int
		again      bool
		end        failure.Kind
	}{
		{"broke off", "/llm/resume/x", Split, 1, 3, true, ""},
		{"silent in the middle", "/llm/resume/x", Lost, 1, 3, true, ""},
		{"nothing to pay with", "/llm/resume/x", Split, 0, 3, false, failure.Unclear},
		{"no try left", "/llm/resume/x", Split, 1, 1, false, failure.Unclear},
		{"may not be resumed", "/llm/stream/x", Split, 1, 3, false, failure.Cut},
		{"nor if it is silent", "/llm/stream/x", Lost, 1, 3, false, failure.Cut},
	} {
		b := free(t, Options{Lend: c.lend, Share: 1e-9}, hostPlan(func(p *fleetplan.Plan) {
			for _, r := range p.Hosts["h"] {
				r.Tries = c.tries
			}
		}))
		b.entry("llm|m", "s1", "s2", "s3")
		ref, l, _ := b.go1(c.path, fleetplan.Call{Base: "m", Tokens: 100, Max: 50})
		require.Equal(t, c.path == "/llm/resume/x", l.Resume, c.name)
		require.True(t, b.MaySend(b.at, ref, 1))
		b.Step(b.at, Begun{Ref: ref, N: 1})
		out := b.Step(b.at, Ended{Ref: ref, N: 1, How: c.how})
		two, again := pick[Launch](out)
		require.Equal(t, c.again, again, c.name)
		r, _ := pick[Receipt](out)
		require.Equal(t, c.end, r.Kind, c.name)
		if !again {
			continue
		}
		require.NotEqual(t, l.Server, two.Server, c.name)
		require.True(t, two.Resume, c.name)
		require.True(t, b.MaySend(b.at, ref, 2), c.name)
		require.EqualValues(t, 1, b.Counts().Retries, c.name)
		require.Len(t, b.retryBudget("llm").marginSpent, 1, c.name)
		b.Step(b.at, Begun{Ref: ref, N: 2})
		r, ended := pick[Receipt](b.Step(b.at, Ended{Ref: ref, N: 2, How: Split}))
		require.True(t, ended, "what was lent is spent: %s", c.name)
		require.Equal(t, failure.Unclear, r.Kind, c.name)
	}
}

// Without a hold a router goes on by what it knew where servers guard themselves, and only there.
func TestGuards(t *testing.T) {
	for _, c := range []struct {
		name   string
		guards bool
		do     func(b *bed)
		sends  bool
	}{
		{"held", false, func(*bed) {}, true},
		{"held, and guarded", true, func(*bed) {}, true},
		{"the hold ran out", false, func(b *bed) { b.at = b.at.Add(61e9) }, false},
		{"the hold ran out, and guarded, but an owner is heard", true, func(b *bed) { b.at = b.at.Add(61e9) }, false},
		{"the hold ran out, guarded and parted", true, func(b *bed) {
			b.at = b.at.Add(61e9)
			b.deliver(protocol.Hold{Session: ses, Parted: true})
		}, true},
		{"the hold ran out, parted, but not guarded", false, func(b *bed) {
			b.at = b.at.Add(61e9)
			b.deliver(protocol.Hold{Session: ses, Parted: true})
		}, false},
		{"a new session without a hold", false, func(b *bed) {
			b.deliver(protocol.Hold{Session: protocol.Session{Node: "agent", Agent: 1, Router: 7, N: 2}})
		}, false},
		{"a new session without a hold, guarded, but an owner is heard", true, func(b *bed) {
			b.deliver(protocol.Hold{Session: protocol.Session{Node: "agent", Agent: 1, Router: 7, N: 2}})
		}, false},
		{"a new session without a hold, guarded and parted", true, func(b *bed) {
			b.deliver(protocol.Hold{Session: protocol.Session{Node: "agent", Agent: 1, Router: 7, N: 2}, Parted: true})
		}, true},
		{"a new session with a hold checks first", true, func(b *bed) {
			b.deliver(protocol.Hold{Session: protocol.Session{Node: "agent", Agent: 1, Router: 7, N: 2}, Until: b.at.Add(60e9)})
		}, false},
		{"the hold ran out, and a core node vouches", true, func(b *bed) {
			b.at = b.at.Add(61e9)
			b.deliver(protocol.Hold{Session: ses, Current: b.at.Add(1e9)})
		}, true},
		{"the hold ran out, a core node vouches, but not guarded", false, func(b *bed) {
			b.at = b.at.Add(61e9)
			b.deliver(protocol.Hold{Session: ses, Current: b.at.Add(1e9)})
		}, false},
		{"the hold ran out, and a core node vouched for a while that is over", true, func(b *bed) {
			b.at = b.at.Add(61e9)
			b.deliver(protocol.Hold{Session: ses, Current: b.at.Add(1e9)})
			b.at = b.at.Add(1e9)
		}, false},
		{"the hold ran out, and the core node that vouches knows that the server leaves", true, func(b *bed) {
			b.at = b.at.Add(61e9)
			b.deliver(protocol.Hold{Session: ses, Current: b.at.Add(1e9), Leaving: []ident.Server{"w"}})
		}, false},
		{"a node knew that the server leaves, but an owner says that it is there", true, func(b *bed) {
			b.deliver(protocol.Hold{Session: ses, Until: b.at.Add(60e9), Leaving: []ident.Server{"w"}})
		}, true},
		{"the promise was broken, then the hold ran out", true, func(b *bed) {
			b.deliverItem(protocol.Item{Break: "web|"})
			b.at = b.at.Add(61e9)
			b.deliver(protocol.Hold{Session: ses, Parted: true})
		}, false},
		{"its zone was emptied, then the hold ran out", true, func(b *bed) {
			b.deliverItem(protocol.Item{Desired: &protocol.Desired{Gen: 1, Epoch: 2, Plan: []byte{0}, Empty: []ident.Zone{"z"}}})
			b.at = b.at.Add(61e9)
			b.deliver(protocol.Hold{Session: ses, Parted: true})
		}, false},
	} {
		for _, when := range []string{"before it is launched", "before it is sent"} {
			b := free(t, Options{Guards: c.guards})
			b.entry("web|", "w")
			if when == "before it is launched" {
				c.do(b)
				ref, l, _ := b.go1("/x", fleetplan.Call{})
				require.Equal(t, c.sends, l.Server != "", "%s, %s", c.name, when)
				require.Equal(t, c.sends, b.MaySend(b.at, ref, 1), "%s, %s", c.name, when)
				continue
			}
			ref, l, _ := b.go1("/x", fleetplan.Call{})
			require.Equal(t, ident.Server("w"), l.Server)
			c.do(b)
			require.Equal(t, c.sends, b.MaySend(b.at, ref, 1), "%s, %s", c.name, when)
		}
	}
}

// What the routers of a fleet are lent together stays within the loan in any window, however much
// each of them wants.
func TestLoan(t *testing.T) {
	const window = clock.Span(10e9)
	for _, c := range []struct {
		routers int
		lend    float64
	}{{1, 0}, {1, 1}, {1, 7.9}, {3, 2}, {3, 10}, {4, 34.8}, {7, 34.8}} {
		var paid []clock.Tick
		var fleet []*bed
		for range c.routers {
			b := free(t, Options{Lend: c.lend, Window: window, Share: 1e-12})
			b.deliver(protocol.Hold{Session: ses, Until: b.at.Add(600e9), Routers: c.routers})
			b.entry("web|", "s1", "s2", "s3", "s4")
			fleet = append(fleet, b)
		}
		dice := rand.New(rand.NewPCG(uint64(c.routers), 1))
		for end := fleet[0].at.Add(45e9); fleet[0].at < end; {
			for _, b := range fleet {
				b.at = b.at.Add(50e6)
				if dice.IntN(3) == 0 {
					continue
				}
				ref, l, out := b.go1("/again/x", fleetplan.Call{})
				for ok := l.Server != ""; ok; l, ok = pick[Launch](out) {
					require.True(t, b.MaySend(b.at, ref, l.N))
					if l.N > 1 {
						paid = append(paid, b.at)
					}
					out = b.Step(b.at, Ended{Ref: ref, N: l.N, How: Dropped, Kind: failure.Busy})
				}
				if _, over := pick[Receipt](out); !over {
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
			require.Greater(t, most, c.routers*int(c.lend/float64(c.routers))/2, "most of it is used: %+v", c)
		}
	}
}

// newLoadedRouter has a router of a fleet, with replicas of m at s1, s2 and s3 that take the given numbers of
// requests, and others' tokens under way there.
func newLoadedRouter(t *testing.T, slots int, others map[ident.Server]int) *bed {
	b := free(t, Options{Zone: "z"})
	e := &protocol.Entry{Key: "llm|m", Mark: 1}
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		e.Replicas = append(e.Replicas, protocol.Replica{Server: s, Addr: string(s), Zone: "z", Slots: slots})
	}
	b.deliverItem(protocol.Item{Entry: e})
	b.deliver(protocol.Hold{Session: ses, Until: b.at.Add(61e9), Seats: others})
	return b
}

// The replica with the least under way, over all routers, is chosen; one without the memory or a
// place for the request never is.
func TestWeigh(t *testing.T) {
	type seats = map[ident.Server]int
	for _, c := range []struct {
		name   string
		slots  int
		others seats
		tokens int
		may    string // servers that it may go to
	}{
		{"all are free", 9, seats{}, 100, "s1 s2 s3"},
		{"one is free", 9, seats{"s1": 3000, "s2": 3000}, 100, "s3"},
		{"one is burdened", 9, seats{"s2": 3000}, 100, "s1 s3"},
		{"one is burdened less", 9, seats{"s1": 4000, "s2": 2000, "s3": 4000}, 100, "s2"},
		{"no memory at two", 9, seats{"s1": 9950, "s2": 9950, "s3": 9800}, 100, "s3"},
		{"no memory at all", 9, seats{"s1": 9950, "s2": 9950, "s3": 9950}, 100, ""},
		{"a large one goes where nothing runs", 9, seats{"s1": 1, "s2": 1}, 20_000, "s3"},
		{"and waits while there is no such place", 9, seats{"s1": 1, "s2": 1, "s3": 1}, 20_000, ""},
	} {
		got := map[ident.Server]bool{}
		for i := range 60 {
			b := newLoadedRouter(t, c.slots, c.others)
			b.randState = uint64(i)
			_, l, _ := b.go1("/llm/x", fleetplan.Call{Base: "m", Tokens: c.tokens})
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

// Whatever comes, begins and ends, a server's places and its memory are never passed, and nothing is
// left of what has ended.
func TestWithinPlaces(t *testing.T) {
	for seed := range uint64(12) {
		dice := rand.New(rand.NewPCG(seed, 1))
		b := newLoadedRouter(t, 4, map[ident.Server]int{"s1": dice.IntN(4000)})
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
				require.LessOrEqual(t, x.work, 4, "seed %d", seed)
				own := sizes[l.Ref]
				require.True(t, x.reservedTokens <= 10_000 || x.reservedTokens == own, "seed %d: %d under way, %d of it its own", seed, x.reservedTokens, own)
				require.True(t, b.MaySend(b.at, l.Ref, l.N))
				runs[l.Ref] = &run{l: l, size: own}
			}
		}
		for range 600 {
			b.at = b.at.Add(clock.Span(dice.IntN(30)) * 1e6)
			l := generic.SortedKeys(runs)
			switch n := dice.IntN(10); {
			case n < 5 || len(l) == 0:
				c := fleetplan.Call{Base: "m", Tokens: 1 + dice.IntN(4000), Max: 1 + dice.IntN(500)}
				if dice.IntN(40) == 0 {
					c.Tokens = 30_000
				}
				sizes[b.ref+1] = c.Tokens + c.Max
				_, _, out := b.go1("/llm/x", c)
				take(out)
			case n < 7:
				x := runs[l[dice.IntN(len(l))]]
				if !x.begun {
					x.begun = true
					take(b.Step(b.at, Begun{Ref: x.l.Ref, N: x.l.N}))
				}
			case n < 9:
				x := runs[l[dice.IntN(len(l))]]
				delete(runs, x.l.Ref)
				how := []End{Done, Lost, Split, Dropped, Unsent}[dice.IntN(5)]
				if x.begun && how != Done {
					how = Split
				}
				take(b.Step(b.at, Ended{Ref: x.l.Ref, N: x.l.N, How: how, Kind: failure.Busy}))
			default:
				x := runs[l[dice.IntN(len(l))]]
				delete(runs, x.l.Ref)
				take(b.Step(b.at, Quit{Ref: x.l.Ref}))
			}
		}
		for range 60 { // what waits is sent or expires
			for len(runs) > 0 {
				ref := generic.SortedKeys(runs)[0]
				x := runs[ref]
				delete(runs, ref)
				take(b.Step(b.at, Ended{Ref: ref, N: x.l.N, How: Done}))
			}
			take(b.wait(100e6))
		}
		for s, x := range b.servers {
			require.Zero(t, x.work, "seed %d: %s", seed, s)
			require.Zero(t, x.tokens, "seed %d: %s", seed, s)
		}
		require.Empty(t, b.requests, "seed %d", seed)
		require.Empty(t, b.inFlight, "seed %d", seed)
	}
}

// Requests that share parts meet at one server, the same at every router, until it is burdened by
// more than the parts are worth; without parts they spread.
func TestHome(t *testing.T) {
	of := func(parts ...string) fleetplan.Call {
		c := fleetplan.Call{Base: "m", Tokens: 4100, Max: 10, Parts: append(parts, "own"), Sizes: []int{}}
		for range parts {
			c.Sizes = append(c.Sizes, 4000/len(parts))
		}
		c.Sizes = append(c.Sizes, 100)
		return c
	}
	homes := map[ident.Server]int{}
	for i := range 60 {
		part, first := fmt.Sprint("part", i), ident.Server("")
		for router := range 4 {
			b := newLoadedRouter(t, 9, nil)
			b.randState = uint64(router * 1000)
			for n := range 3 {
				ref, l, _ := b.go1("/llm/x", of(part))
				if first == "" {
					first = l.Server
				}
				require.Equal(t, first, l.Server, "router %d, request %d", router, n)
				b.Step(b.at, Ended{Ref: ref, N: 1, How: Done})
			}
		}
		homes[first]++
	}
	require.Len(t, homes, 3)
	for s, n := range homes {
		require.InDelta(t, 20, n, 12, "%s", s)
	}
	b := newLoadedRouter(t, 9, nil)
	_, l, _ := b.go1("/llm/x", of("part"))
	b = newLoadedRouter(t, 9, map[ident.Server]int{l.Server: 5000})
	_, two, _ := b.go1("/llm/x", of("part"))
	require.NotEqual(t, l.Server, two.Server, "its home is burdened by more than the parts are worth")
	b = newLoadedRouter(t, 9, map[ident.Server]int{l.Server: 1000})
	_, two, _ = b.go1("/llm/x", of("part"))
	require.Equal(t, l.Server, two.Server, "and here by less")
	spread := map[ident.Server]int{}
	b = newLoadedRouter(t, 1000, nil)
	for range 300 {
		ref, l, _ := b.go1("/llm/x", fleetplan.Call{Base: "m", Tokens: 10})
		spread[l.Server]++
		b.Step(b.at, Ended{Ref: ref, N: 1, How: Done})
	}
	for _, s := range []ident.Server{"s1", "s2", "s3"} {
		require.InDelta(t, 100, spread[s], 40, "%v", spread)
	}
}

// What other routers have under way is the fleet's less this one's own as it was told.
func TestSeats(t *testing.T) {
	b := newLoadedRouter(t, 9, map[ident.Server]int{"s1": 50, "s2": 9000, "s3": 9000})
	ref, l, _ := b.go1("/llm/x", fleetplan.Call{Base: "m", Tokens: 700, Max: 300})
	require.Equal(t, ident.Server("s1"), l.Server)
	h, ok := findMessage[protocol.Hello](b.wait(300e6))
	require.True(t, ok)
	require.Equal(t, map[ident.Server]int{"s1": 700 + maxOutputTokens}, h.Seats)
	for _, c := range []struct {
		fleet map[ident.Server]int
		under int
	}{
		{map[ident.Server]int{"s1": 1500}, 1500}, {map[ident.Server]int{"s1": 1000}, 1000}, {map[ident.Server]int{"s1": 600}, 700 + maxOutputTokens}, {map[ident.Server]int{"s2": 5}, 700 + maxOutputTokens},
	} {
		b.deliver(protocol.Hold{Session: ses, Until: b.at.Add(60e9), Seats: c.fleet})
		require.Equal(t, c.under, b.servers["s1"].load(), "%v", c.fleet)
	}
	b.Step(b.at, Begun{Ref: ref, N: 1})
	require.Equal(t, maxOutputTokens, b.servers["s1"].tokens, "the prompt is read")
	require.Equal(t, 1000, b.servers["s1"].reservedTokens, "but its memory is taken")
}

// A configuration that comes too late for its session rules all the same, and the agent is told of it at once.
func TestLateConfiguration(t *testing.T) {
	b := free(t, Options{Guards: true}, hostPlan(nil), hostPlan(nil))
	out := b.deliver(protocol.News{Items: []protocol.Item{{Desired: &protocol.Desired{Gen: 1, Epoch: 9, Plan: []byte{1}}}}})
	_, heard := findMessage[protocol.Heard](out)
	require.False(t, heard, "it acknowledges nothing of a session")
	b.at = b.at.Add(20e6)
	hello, told := findMessage[protocol.Hello](b.Step(b.at, protocol.Beat{}))
	require.True(t, told)
	require.Equal(t, ident.Epoch(9), hello.Epoch)
	b.deliver(protocol.News{Items: []protocol.Item{{Desired: &protocol.Desired{Gen: 1, Epoch: 8, Plan: []byte{0}}}}})
	_, epoch, _ := b.Rules(b.at)
	require.Equal(t, ident.Epoch(9), epoch, "an older one changes nothing")
}
