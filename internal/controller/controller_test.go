package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// voter returns a voter whose address is its id.
func voter(id string, inc ident.Incarnation) protocol.Voter {
	return protocol.Voter{Peer: protocol.Peer{ID: ident.Node(id), Addr: id}, Incarnation: inc}
}

// incarnations maps voters to the incarnations of their disks.
func incarnations(l ...protocol.Voter) map[ident.Node]ident.Incarnation {
	m := map[ident.Node]ident.Incarnation{}
	for _, v := range l {
		m[v.ID] = v.Incarnation
	}
	return m
}

// A majority counts only voters with the incarnation that the set names. While two sets are in force, it needs a
// majority of each.
func TestQuorum(t *testing.T) {
	a, b, c, d := voter("a", 1), voter("b", 1), voter("c", 1), voter("d", 1)
	reborn := voter("b", 2)
	one := protocol.Desired{Voters: []protocol.Voter{a, b, c}}
	two := protocol.Desired{Voters: []protocol.Voter{a, b, d}, PriorVoters: []protocol.Voter{a, b, c}}
	for _, x := range []struct {
		name string
		set  protocol.Desired
		yes  map[ident.Node]ident.Incarnation
		is   bool
	}{
		{"two of three", one, incarnations(a, b), true},
		{"one of three", one, incarnations(a), false},
		{"a voter with an emptied disk does not count", one, incarnations(a, reborn), false},
		{"a node outside the set does not count", one, incarnations(a, d), false},
		{"both sets", two, incarnations(a, b), true},
		{"only the new set", two, incarnations(a, d), false},
		{"only the old set", two, incarnations(a, c), false},
		{"each by another pair", two, incarnations(a, c, d), true},
		{"no set at all", protocol.Desired{}, incarnations(a, b, c), false},
	} {
		require.Equal(t, x.is, voterset.Majority(x.set, x.yes), x.name)
	}
}

// The state machine of a replica.
func TestSpots(t *testing.T) {
	for _, c := range []struct{ was, sees, now string }{
		{Ordered, ReportedReady, Ready}, {Ordered, ReportedAbsent, Gone}, {Ordered, ReportedLoading, Ordered}, {Ordered, Evict, Ordered}, {Ordered, WorkEnded, Ordered},
		{Ready, ReportedAbsent, Gone}, {Ready, Evict, Breaking}, {Ready, ReportedLoading, Ordered}, {Ready, CallbacksReleased, Ready}, {Ready, WorkEnded, Ready},
		{Breaking, CallbacksReleased, Draining}, {Breaking, WorkEnded, Breaking}, {Breaking, ReportedReady, Breaking}, {Breaking, ReportedAbsent, Gone},
		{Draining, WorkEnded, Unloading}, {Draining, Evict, Draining}, {Draining, ReportedAbsent, Gone},
		{Unloading, ReportedReady, Draining}, {Unloading, ReportedAbsent, Gone}, {Unloading, Evict, Unloading},
		{Gone, ReportedReady, Gone},
	} {
		p := &modelReplica{stage: c.was}
		p.fire(c.sees, 1)
		require.Equal(t, c.now, p.stage, "%+v", c)
		n, err := replicaMachine.PermittedTriggersCtx(context.WithValue(context.Background(), replicaContextKey{}, p))
		require.NoError(t, err)
		require.NotContains(t, n, "unload", "no trigger unloads directly; only the stage does")
	}
}

// node is a single core node that is the only voter and the leader.
type node struct {
	*Core
	t     *testing.T
	at    clock.Instant
	out   []any
	asked map[string]protocol.HTTPRequest
	sent  []protocol.Envelope
	ops   []protocol.Order
}

const onePlan = `{"name":"p","store":{"loads":1},"models":{"m":{"size":4,"floor":1},"n":{"size":4}},"kinds":{"k":{"value":3}},
"services":{"s":{"models":["m","n"]}},"routes":{"/r":{"service":"s","kinds":["k"]}}}`

// newOwner returns a node that is the leader.
func newOwner(t *testing.T, plan string) *node {
	me := protocol.Peer{ID: "a", Addr: "a"}
	v := protocol.Desired{Gen: 1, Epoch: 1, Plan: []byte(plan), VoterSet: 1, Voters: []protocol.Voter{voter("a", 5)}}
	n := &node{t: t, at: 1e9, asked: map[string]protocol.HTTPRequest{}}
	n.Core = New(Options{Self: me, Inc: 6, Seeds: []protocol.Peer{{Addr: "a"}}, Platform: "platform", Rand: rand.New(rand.NewPCG(1, 2))})
	n.step(protocol.Start{Disk: map[string][]byte{keyIncarnation: []byte("5"), keyAccepted: marshal(storedAccept{protocol.Ballot{N: 1, By: "a"}, &v}), keyPromised: marshal(protocol.Ballot{N: 1, By: "a"})}})
	n.run(3e9, func() bool { return n.holdsLease() })
	require.True(t, n.holdsLease())
	return n
}

func (n *node) step(in any) { n.act(n.Step(n.at, in)) }

// evictModel starts the eviction of m from the server.
func (n *node) evictModel() {
	n.Core.now, n.Core.out = n.at, nil
	n.evict(n.servers["s"], n.servers["s"].replicas["m"])
	n.flush()
	n.act(n.Core.out)
}

func (n *node) act(q []any) {
	for len(q) > 0 {
		o := q[0]
		q = q[1:]
		switch v := o.(type) {
		case protocol.Envelope:
			if v.To.Addr == "a" {
				q = append(q, n.Step(n.at, v)...)
			} else {
				n.sent = append(n.sent, v)
			}
		case protocol.Save:
			q = append(q, n.Step(n.at, protocol.Saved{Token: v.Token})...)
		case protocol.Compute:
			v.Run()
			q = append(q, n.Step(n.at, protocol.Computed{Token: v.Token})...)
		case protocol.HTTPRequest:
			n.asked[v.Addr] = v
			if p, ok := v.Body.(protocol.Order); ok && p.Op != "" {
				n.ops = append(n.ops, p)
			}
		default:
			n.out = append(n.out, o)
		}
	}
}

func (n *node) run(s clock.Span, until func() bool) {
	for end := n.at.Add(s); n.at < end && !until(); n.at = n.at.Add(20e6) {
		n.step(protocol.TimerTick{})
	}
}

// answer answers the last request to an address.
func (n *node) answer(addr string, body any) {
	a, ok := n.asked[addr]
	require.True(n.t, ok, addr)
	delete(n.asked, addr)
	b, err := json.Marshal(body)
	require.NoError(n.t, err)
	n.step(protocol.HTTPResult{Token: a.Token, OK: true, Code: 200, Body: b})
}

func (n *node) order(addr string) protocol.Order { return n.asked[addr].Body.(protocol.Order) }

// report answers the last request to a server with a report of what it holds.
func (n *node) report(addr string, h ...protocol.HeldKey) {
	o := n.order(addr)
	n.answer(addr, protocol.ServerReport{Server: ident.Server(addr), Incarnation: 3, Term: o.Term, Num: o.Num, Room: 10, Slots: 4, Held: h})
}

func held(k ident.Key, stage string) protocol.HeldKey {
	return protocol.HeldKey{Key: k, Size: 4, Stage: stage}
}

// newReadyOwner returns a leader with one server, on which m is ready, and the session of a router that holds an entry
// of m.
func newReadyOwner(t *testing.T) (*node, protocol.Session) {
	n := newOwner(t, onePlan)
	n.run(1e9, func() bool { _, ok := n.asked["platform"]; return ok })
	n.answer("platform", []protocol.ListedServer{{ID: "s", Addr: "s", Zone: "z", State: "live"}})
	n.run(1e9, func() bool { _, ok := n.asked["s"]; return ok })
	n.report("s", held("m", "ready"))
	s := protocol.Session{Node: "r", AgentIncarnation: 1, RouterIncarnation: 1, Num: 1}
	n.fromRouter(protocol.Renew{Session: s, Seq: 1, NewSession: true, Gen: 1, Epoch: 1})
	n.fromRouter(protocol.EntryRequest{Session: s, Key: "m"})
	e := n.items(s)
	require.Len(t, e, 1)
	require.Len(t, e[0].Entry.Replicas, 1)
	n.fromRouter(protocol.Ack{Session: s, Num: e[0].Num})
	return n, s
}

func (n *node) fromRouter(body any) {
	n.step(protocol.Envelope{From: protocol.Peer{ID: "r", Addr: "r"}, To: protocol.Peer{ID: "a", Addr: "a"}, Body: body})
}

func (n *node) items(protocol.Session) (l []protocol.Update) {
	for _, e := range n.sent {
		if b, ok := e.Body.(protocol.Updates); ok {
			l = append(l, b.Items...)
		}
	}
	n.sent = nil
	return l
}

func (n *node) grants() (c int) {
	for _, e := range n.sent {
		if _, ok := e.Body.(protocol.Grant); ok {
			c++
		}
	}
	return c
}

func (n *node) unloads() int {
	c := 0
	for _, o := range n.ops {
		if o.Op == "unload" {
			c++
		}
	}
	return c
}

// advance advances time while the server answers every request with a report of what it holds.
func (n *node) advance(s clock.Span, h ...protocol.HeldKey) {
	for end := n.at.Add(s); n.at < end; n.at = n.at.Add(20e6) {
		n.step(protocol.TimerTick{})
		if _, ok := n.asked["s"]; ok {
			n.report("s", h...)
		}
		delete(n.asked, "platform")
	}
}

// No unload is ordered before every holder has acknowledged the break or its lease has expired.
func TestAckOrLapse(t *testing.T) {
	for _, ack := range []bool{true, false} {
		t.Run(fmt.Sprint("acknowledged ", ack), func(t *testing.T) {
			n, s := newReadyOwner(t)
			n.advance(3e9, held("m", "ready")) // leases of a previous leader have certainly expired
			n.fromRouter(protocol.Renew{Session: s, Seq: 2, Gen: 1, Epoch: 1, AckedNum: 1})
			if n.links[s] == nil { // the first lease has expired meanwhile: start a new session
				s.Num = 2
				n.fromRouter(protocol.Renew{Session: s, Seq: 1, NewSession: true, Gen: 1, Epoch: 1})
				n.fromRouter(protocol.EntryRequest{Session: s, Key: "m"})
				n.fromRouter(protocol.Ack{Session: s, Num: 1})
				n.sent = nil
			}
			n.evictModel()
			l := n.items(s)
			require.NotEmpty(t, l)
			require.Equal(t, ident.Key("m"), l[len(l)-1].Break)
			n.advance(500e6, held("m", "ready"))
			require.Zero(t, n.unloads(), "neither acknowledged nor expired")
			was := n.links[s].leaseEnd
			n.fromRouter(protocol.Renew{Session: s, Seq: 3, Gen: 1, Epoch: 1, AckedNum: 1})
			require.Equal(t, was, n.links[s].leaseEnd, "no lease is extended after the promise was broken")
			if ack {
				n.fromRouter(protocol.Ack{Session: s, Num: l[len(l)-1].Num})
				n.advance(400e6, held("m", "ready"))
			} else {
				n.advance(1200e6, held("m", "ready"))
				require.Zero(t, n.unloads())
				n.advance(1200e6, held("m", "ready"))
			}
			require.Positive(t, n.unloads())
		})
	}
}

// An unload waits for active requests, according to a report that was requested after the break.
func TestDrainBeforeUnload(t *testing.T) {
	n, s := newReadyOwner(t)
	n.advance(3e9, held("m", "ready"))
	_ = s
	busy := held("m", "ready")
	busy.Active = 2
	n.evictModel()
	n.advance(5e9, busy)
	require.Zero(t, n.unloads())
	n.advance(1e9, held("m", "ready"))
	require.Positive(t, n.unloads())
}

// A removal that was overtaken by a newer delivery has no effect, since the router holds the newer copy.
func TestLateRemoval(t *testing.T) {
	for _, c := range []struct {
		num  uint64
		held bool
	}{{1, true}, {2, false}} {
		n, s := newReadyOwner(t)
		n.fromRouter(protocol.EntryRequest{Session: s, Key: "m"}) // the router has dropped the first copy
		n.fromRouter(protocol.Ack{Session: s, Num: 2})
		n.fromRouter(protocol.DroppedEntries{Session: s, Drops: []protocol.DroppedEntry{{Key: "m", Num: c.num}}})
		_, ok := n.links[s].callbacks["m"]
		require.Equal(t, c.held, ok)
	}
}

// Orders are derived from the stages of the replicas alone. The simulator (moves-cut, seed 9) found an unload that
// stayed in a queue after its reason had ceased to apply and was sent a second time.
func TestNoOrderOutlivesItsReason(t *testing.T) {
	n, _ := newReadyOwner(t)
	n.advance(3e9, held("m", "ready"))
	n.evictModel()
	n.run(3e9, func() bool {
		return n.servers["s"].replicas["m"].stage == Unloading || len(n.asked) > 0 && n.answered()
	})
	n.advance(3e9, held("m", "ready")) // each unload is refused: the replica drains again and the order is repeated
	before := n.unloads()
	require.Positive(t, before)
	n.advance(300e6)                       // the unload succeeds
	n.advance(400e6, held("m", "loading")) // the model is loaded again because of its floor
	n.advance(3e9, held("m", "ready"))     //
	require.LessOrEqual(t, n.unloads(), before+1, "the reloaded model is not unloaded")
	require.Equal(t, Ready, n.servers["s"].replicas["m"].stage)
}

// answered has the server report m as ready if a request is pending. It always returns false.
func (n *node) answered() bool {
	if _, ok := n.asked["s"]; ok {
		n.report("s", held("m", "ready"))
	}
	return false
}

// The number of callbacks is bounded: the oldest callbacks are broken to make room.
func TestShedding(t *testing.T) {
	n, s := newReadyOwner(t)
	n.o.MaxCallbacks = 3
	for i := range 5 {
		n.fromRouter(protocol.EntryRequest{Session: s, Key: ident.Key(fmt.Sprint("x", i))})
	}
	require.Len(t, n.links[s].callbacks, 3)
	broken := 0
	for _, i := range n.items(s) {
		if i.Break != "" {
			broken++
		}
	}
	require.Equal(t, 3, broken)
}

// An expired session gets an answer that says so, and is not revived.
func TestGoneSession(t *testing.T) {
	n, s := newReadyOwner(t)
	n.advance(3e9, held("m", "ready"))
	n.sent = nil
	n.fromRouter(protocol.Renew{Session: s, Seq: 9, Gen: 1, Epoch: 1, AckedNum: 1})
	n.fromRouter(protocol.Renew{Session: s, Seq: 9, NewSession: true, Gen: 1, Epoch: 1})
	require.Zero(t, n.grants())
	gone := 0
	for _, e := range n.sent {
		if b, ok := e.Body.(protocol.NotOwner); ok && b.SessionEnded {
			gone++
		}
	}
	require.Equal(t, 2, gone)
}

// Loads stay within the store's budget and the server's room, including ordered loads.
func TestLoadsKeepWithin(t *testing.T) {
	n := newOwner(t, strings.Replace(onePlan, `"n":{"size":4}`, `"n":{"size":4,"floor":1},"o":{"size":4,"floor":1}`, 1))
	n.run(1e9, func() bool { _, ok := n.asked["platform"]; return ok })
	n.answer("platform", []protocol.ListedServer{{ID: "s", Addr: "s", Zone: "z", State: "live"}})
	n.run(1e9, func() bool { _, ok := n.asked["s"]; return ok })
	n.report("s")
	n.run(1e9, func() bool { return len(n.ops) == 1 })
	n.advance(2e9, held("m", "loading"))
	require.Len(t, n.ops, 1, "the budget allows one load at a time")
	n.run(1e9, func() bool { _, ok := n.asked["s"]; return ok })
	n.report("s", held("m", "ready"))
	n.run(1e9, func() bool { return len(n.ops) == 2 })
	n.advance(2e9, held("m", "ready"), held("n", "ready"))
	require.Len(t, n.ops, 2, "a third model does not fit: 4 + 4 of 10 are occupied")
}

// Operators' changes: expected epochs, repeats and faults.
func TestChanges(t *testing.T) {
	n := newOwner(t, onePlan)
	ask := func(a Admin) Receipt {
		n.out = nil
		a.Token = 1
		n.step(a)
		for _, o := range n.out {
			if r, ok := o.(Receipt); ok {
				return r
			}
		}
		t.Fatal("no answer")
		return Receipt{}
	}
	two := []byte(strings.Replace(onePlan, `"p"`, `"two"`, 1) + "\n  ")
	for _, c := range []struct {
		name  string
		a     Admin
		kind  failure.Kind
		epoch ident.Epoch
		plan  string
	}{
		{"stale epoch", Admin{Op: "put", Raw: two, Expect: 0, Change: "x"}, failure.Conflict, 1, onePlan},
		{"taken", Admin{Op: "put", Raw: two, Expect: 1, Change: "x"}, failure.None, 2, string(two)},
		{"its repeat is answered, not redone", Admin{Op: "put", Raw: two, Expect: 1, Change: "x"}, failure.None, 2, string(two)},
		{"faulty", Admin{Op: "put", Raw: []byte(`{}`), Any: true}, failure.FaultyPlan, 0, string(two)},
		{"patch", Admin{Op: "patch", Raw: []byte(`{"name":"three"}`), Expect: 2, Change: "y"}, failure.None, 3, ""},
		{"patch that leaves a fault", Admin{Op: "patch", Raw: []byte(`{"services":null}`), Any: true}, failure.FaultyPlan, 3, ""},
		{"patch with a duplicate key", Admin{Op: "patch", Raw: []byte(`{"name":"a","name":"b"}`), Any: true}, failure.Malformed, 0, ""},
		{"empty", Admin{Op: "empty", Zone: "z", Any: true}, failure.None, 4, ""},
		{"refill", Admin{Op: "refill", Zone: "z", Expect: 4}, failure.None, 5, ""},
		{"bad calendar", Admin{Op: "windows", Raw: []byte("BEGIN:NOTHING"), Any: true}, failure.FaultyPlan, 0, ""},
		{"nothing such", Admin{Op: "dance"}, failure.Unknown, 0, ""},
	} {
		r := ask(c.a)
		require.Equal(t, c.kind, r.Kind, c.name)
		require.Equal(t, c.epoch, r.Epoch, c.name)
		if c.plan != "" {
			require.Equal(t, c.plan, string(ask(Admin{Op: "get"}).Plan), c.name)
		}
	}
}

const calendar = "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:x\r\nBEGIN:VEVENT\r\nUID:1\r\nDTSTAMP:20260101T000000Z\r\nLOCATION:server s\r\nDTSTART:20260105T100000Z\r\nDTEND:20260105T110000Z\r\nRRULE:FREQ=WEEKLY\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n"

// Maintenance windows from iCalendar files: valid ones open and close, invalid ones are refused with the reason.
func TestWindows(t *testing.T) {
	for _, c := range []struct {
		name, old, new, why string
	}{
		{"sound", "", "", ""},
		{"no target", "LOCATION:server s\r\n", "", "LOCATION"},
		{"strange target", "server s", "planet x", "LOCATION"},
		{"no end", "DTEND:20260105T110000Z\r\n", "", "lasts"},
		{"ends before it begins", "DTEND:20260105T110000Z", "DTEND:20260105T090000Z", "lasts"},
		{"too long", "DTEND:20260105T110000Z", "DTEND:20270105T090000Z", "lasts"},
		{"bad time", "DTSTART:20260105T100000Z", "DTSTART:yesterday", "DTSTART"},
		{"too often", "FREQ=WEEKLY", "FREQ=SECONDLY", "RRULE"},
		{"bad rule", "FREQ=WEEKLY", "FREQ=NEVER", "RRULE"},
		{"cut short", "END:VEVENT\r\nEND:VCALENDAR\r\n", "", "malformed"},
		{"a parameter without a value", "DTSTART:20260105T100000Z", "DTSTART;X=Y", "malformed"},
	} {
		l, f := readWindows([]byte(strings.Replace(calendar, c.old, c.new, 1)))
		if c.why == "" {
			require.Nil(t, f, c.name)
			require.Len(t, l, 1)
			continue
		}
		require.NotEmpty(t, f, c.name)
		require.Contains(t, f.Error(), c.why, c.name)
		require.Nil(t, l)
	}
	l, _ := readWindows([]byte(calendar))
	for _, c := range []struct {
		at  string
		run bool
	}{
		{"2026-01-05T09:58:30Z", false}, {"2026-01-05T09:59:30Z", true}, {"2026-01-05T10:59:59Z", true}, {"2026-01-05T11:00:00Z", false},
		{"2026-03-02T10:30:00Z", true}, {"2026-03-03T10:30:00Z", false}, {"2025-12-29T10:30:00Z", false}, // the clock may also jump back
	} {
		at, err := time.Parse(time.RFC3339, c.at)
		require.NoError(t, err)
		require.Equal(t, c.run, l[0].openAt(at, time.Minute), c.at)
	}
}

// A server gets no more requests before its maintenance window begins.
func TestWindowDrains(t *testing.T) {
	n, s := newReadyOwner(t)
	at := time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	n.o.WallClock = func() time.Time { return at }
	n.step(Admin{Op: "windows", Raw: []byte(calendar), Any: true})
	n.step(protocol.TimerTick{})
	require.Len(t, n.entryOf("m").replicas, 1)
	n.items(s)
	at = time.Date(2026, 1, 5, 9, 59, 30, 0, time.UTC)
	n.at = n.at.Add(1100e6)
	n.step(protocol.TimerTick{})
	require.Empty(t, n.entryOf("m").replicas)
	broke := false
	for _, i := range n.items(s) {
		broke = broke || i.Break == "m"
	}
	require.True(t, broke, "the promise is broken")
}

// Routers are notified if a key is too large for every server, but not if a server has room for it.
func TestNever(t *testing.T) {
	n, s := newReadyOwner(t)
	n.fromRouter(protocol.EntryRequest{Session: s, Key: "n"})
	l := n.items(s)
	require.False(t, l[len(l)-1].Entry.Unplaceable)
	n.step(Admin{Op: "put", Raw: []byte(strings.Replace(onePlan, `"n":{"size":4}`, `"n":{"size":400}`, 1)), Any: true})
	n.advance(600e6, held("m", "ready"))
	n.items(s)
	n.fromRouter(protocol.EntryRequest{Session: s, Key: "n"})
	l = n.items(s)
	require.True(t, l[len(l)-1].Entry.Unplaceable)
}

// A router with another generation is sent the plan, whatever its epoch.
func TestOtherGeneration(t *testing.T) {
	n, _ := newReadyOwner(t)
	s := protocol.Session{Node: "r", AgentIncarnation: 2, RouterIncarnation: 1, Num: 1}
	for _, c := range []struct{ has, gets uint64 }{{1, 0}, {0, 1}, {7, 8}} {
		s.Num++
		n.sent = nil
		n.fromRouter(protocol.Renew{Session: s, Seq: 1, NewSession: true, Gen: c.has, Epoch: 1})
		l := n.items(s)
		if c.gets == 0 {
			require.Empty(t, l)
			continue
		}
		// If a router's generation is higher, the core moves to a still higher one, or the router would keep its old
		// plan.
		require.Equal(t, c.gets, l[len(l)-1].Desired.Gen)
	}
}

// Validation of server lists. Missing servers are retained only if a list omits most of those that answer.
func TestLists(t *testing.T) {
	x := func(id, state string) protocol.ListedServer {
		return protocol.ListedServer{ID: ident.Server(id), Addr: id, Zone: "z", State: state}
	}
	for _, c := range []struct {
		name  string
		list  []protocol.ListedServer
		sound bool
	}{
		{"one", []protocol.ListedServer{x("a", "live")}, true}, {"none", nil, true}, {"leaving and gone", []protocol.ListedServer{x("a", "leaving"), x("b", "gone")}, true},
		{"twice", []protocol.ListedServer{x("a", "live"), x("a", "gone")}, false}, {"no such state", []protocol.ListedServer{x("a", "asleep")}, false},
		{"no id", []protocol.ListedServer{x("", "live")}, false}, {"no zone", []protocol.ListedServer{{ID: "a", Addr: "a", State: "live"}}, false},
		{"no address", []protocol.ListedServer{{ID: "a", Zone: "z", State: "live"}}, false},
	} {
		require.Equal(t, c.sound, validList(c.list), c.name)
	}
	for _, c := range []struct {
		name  string
		dark  string
		list  []protocol.ListedServer
		stays string
	}{
		{"all", "", []protocol.ListedServer{x("a", "live"), x("b", "live"), x("c", "live"), x("d", "live")}, "abcd"},
		{"one is missing", "", []protocol.ListedServer{x("a", "live"), x("b", "live"), x("c", "live")}, "abc"},
		{"half are missing", "", []protocol.ListedServer{x("a", "live"), x("b", "live")}, "ab"},
		{"most are missing", "", []protocol.ListedServer{x("a", "live")}, "abcd"},
		{"most are missing, and unreachable", "bcd", []protocol.ListedServer{x("a", "live")}, "a"},
		{"an empty list", "", nil, "abcd"},
		{"listed as gone", "", []protocol.ListedServer{x("a", "gone"), x("b", "gone"), x("c", "gone"), x("d", "live")}, "d"},
	} {
		k := New(Options{})
		for _, id := range []string{"a", "b", "c", "d"} {
			k.servers[ident.Server(id)] = &server{ListedServer: x(id, "live"), known: true, unreachable: strings.Contains(c.dark, id)}
		}
		got := ""
		for _, y := range k.retainOmitted(c.list) {
			if y.State == "live" {
				got += string(y.ID)
			}
		}
		require.Equal(t, c.stays, got, c.name)
	}
}

// A voter answers that it grants the lease only once the grant is on disk, also if a second query arrives while the
// first grant is being written. Otherwise a voter that loses power could grant one term to two nodes.
func TestPledgeIsSynced(t *testing.T) {
	v := protocol.Desired{Gen: 1, Epoch: 1, VoterSet: 1, Voters: []protocol.Voter{voter("a", 5), voter("b", 5), voter("c", 5)}}
	c := New(Options{Self: protocol.Peer{ID: "a", Addr: "a"}, Inc: 6, Rand: rand.New(rand.NewPCG(1, 2))})
	c.Step(1e9, protocol.Start{Disk: map[string][]byte{keyIncarnation: []byte("5"), keyAccepted: marshal(storedAccept{protocol.Ballot{N: 1, By: "a"}, &v})}})
	ask := func(from string, d ident.Term) (granted bool, save *protocol.Save) {
		for _, o := range c.Step(9e9, protocol.Envelope{From: protocol.Peer{ID: ident.Node(from), Addr: from}, Body: protocol.Query{Claim: true, Term: d}}) {
			switch x := o.(type) {
			case protocol.Envelope:
				granted = granted || x.Body.(protocol.State).Granted
			case protocol.Save:
				save = &x
			}
		}
		return granted, save
	}
	granted, first := ask("b", 3)
	require.False(t, granted)
	require.NotNil(t, first)
	granted, again := ask("b", 3)
	require.False(t, granted, "the grant is not on disk yet")
	require.Nil(t, again)
	granted, _ = ask("c", 4)
	require.False(t, granted, "the lease of another node is in force")
	granted = false
	for _, o := range c.Step(9e9, protocol.Saved{Token: first.Token}) {
		if x, ok := o.(protocol.Envelope); ok {
			granted = x.Body.(protocol.State).Granted
		}
	}
	require.True(t, granted)
	granted, _ = ask("b", 3)
	require.True(t, granted)
}

// A large plan that is not acknowledged yet is not sent repeatedly. With a plan of 30,000 routes on real processes, the
// repeats delayed the leader's own rounds until it lost the lease.
func TestLargePlanIsNotRepeated(t *testing.T) {
	for size, most := range map[int]int{0: 6, 2_000_000: 1} {
		n, s := newReadyOwner(t)
		n.fromRouter(protocol.Renew{Session: s, Seq: 2, Gen: 1, Epoch: 1, AckedNum: 1})
		big := strings.Replace(onePlan, `"kinds"`, strings.Repeat(" ", size)+`"kinds"`, 1)
		n.step(Admin{Op: "put", Raw: []byte(big), Any: true})
		n.advance(900e6, held("m", "ready"))
		sent := 0
		for _, i := range n.items(s) {
			if i.Desired != nil {
				sent++
			}
		}
		require.GreaterOrEqual(t, most, sent)
		require.Positive(t, sent)
	}
}

// A read queries a majority and proposes nothing, however large the plan.
func TestReadProposesNothing(t *testing.T) {
	n := newOwner(t, onePlan)
	was := n.Counts().Rounds
	n.out = nil
	n.step(Admin{Op: "get", Token: 7})
	require.Len(t, n.out, 1)
	require.Equal(t, onePlan, string(n.out[0].(Receipt).Plan))
	require.Equal(t, was, n.Counts().Rounds)
}

// A round that was in progress when the lease was released doesn't regain it: its grants may have been released
// meanwhile, and another node may hold the lease. Found by simulator scene blind, seed 50000.
func TestGivenBackStaysSo(t *testing.T) {
	n := newOwner(t, onePlan)
	n.Core.now, n.Core.out = n.at, nil
	n.register.nextQuery = 0
	n.tickQueries()
	q := n.register.newestQuery()
	require.True(t, q.claim)
	n.releaseLease("it is blind", "b")
	n.leadership.declineUntil = n.at.Add(15e9)
	n.Step(n.at, protocol.Envelope{From: protocol.Peer{ID: "a", Addr: "a"}, Body: protocol.State{Round: q.round, Incarnation: 5, Granted: true, Term: q.term, Accepted: n.register.knownBallot}})
	require.False(t, n.holdsLease())
	n.run(9e9, func() bool { return n.holdsLease() })
	require.False(t, n.holdsLease(), "the node does not claim the lease during the yield time")
	n.run(9e9, func() bool { return n.holdsLease() })
	require.True(t, n.holdsLease(), "the node claims the lease again if no other node does")
}
