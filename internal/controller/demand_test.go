package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// The demand for a key is the sum over all routers. A router whose requests for the key don't wait must not
// hide the waiting requests of another router.
func TestWaitingAtSeveralRouters(t *testing.T) {
	const key = "llm|n"
	type report struct {
		router  uint64
		waiting int
		value   int
		ask     bool // a lookup instead of a renewal
		silent  bool // no message from any router while time passes
	}
	const interval = 200e6 // between two reports
	for _, test := range []struct {
		name    string
		reports []report
		waiting int
		value   int
		age     clock.Span
	}{
		{"one router", []report{{router: 1, waiting: 2, value: 5}, {router: 1, waiting: 3, value: 5}}, 3, 5, interval},
		{"its requests no longer wait", []report{{router: 1, waiting: 2, value: 5}, {router: 1}}, 0, 0, 0},
		{"its requests wait again later", []report{{router: 1, waiting: 2, value: 5}, {router: 1}, {router: 1, waiting: 1, value: 4}, {router: 1, waiting: 1, value: 4}}, 1, 4, interval},
		{"another router without waiting requests", []report{{router: 1, waiting: 2, value: 5}, {router: 2}, {router: 1, waiting: 2, value: 5}, {router: 2}}, 2, 5, 3 * interval},
		{"two routers with waiting requests", []report{{router: 1, waiting: 2, value: 5}, {router: 2, waiting: 1, value: 3}}, 3, 5, interval},
		{"the first of two routers is served", []report{{router: 1, waiting: 2, value: 5}, {router: 2, waiting: 1, value: 3}, {router: 1}}, 1, 3, 2 * interval},
		{"both routers are served", []report{{router: 1, waiting: 2, value: 5}, {router: 2, waiting: 1, value: 3}, {router: 1}, {router: 2}}, 0, 0, 0},
		{"a lookup before the renewal that includes it", []report{{router: 1, waiting: 1, value: 5, ask: true}, {router: 2}}, 1, 5, interval},
		{"a lookup that no renewal follows", []report{{router: 1, waiting: 1, value: 5, ask: true}, {router: 2}, {router: 2}, {router: 2}}, 0, 0, 0},
		{"a router without messages for a long time", []report{{router: 1, waiting: 1, value: 5}, {silent: true}, {router: 2}}, 0, 0, 0},
	} {
		c := newPlacementCore(modelPlan(8, key), heldKeys{"s1": {}})
		for _, n := range []uint64{1, 2} {
			session := protocol.Session{Node: "router", Num: n}
			c.addLink(&link{session: session, leaseEnd: c.now.Add(60e9), callbacks: map[ident.Key]uint64{}})
		}
		for i, r := range test.reports {
			if i > 0 {
				c.now = c.now.Add(interval)
			}
			session := protocol.Session{Node: "router", Num: r.router}
			switch {
			case r.silent:
				c.now = c.now.Add(2 * freshness)
				c.leadership.renewedAt = c.now // the node still holds the term
			case r.ask:
				c.onEntryRequest(protocol.Envelope{Body: protocol.EntryRequest{Session: session, Key: key, Waiting: r.waiting, Value: r.value}})
			default:
				keyLoad := protocol.KeyLoad{Waiting: r.waiting, TopValue: r.value, Arrived: 1}
				c.onRenew(protocol.Envelope{Body: protocol.Renew{Session: session, KeyLoads: map[ident.Key]protocol.KeyLoad{key: keyLoad}}})
			}
		}
		n := c.demand[key]
		require.NotNil(t, n, test.name)
		require.Equal(t, test.waiting, n.waiting, "%s: waiting requests", test.name)
		require.Equal(t, test.value, n.value, "%s: highest value among the waiting requests", test.name)
		age := clock.Span(0)
		if n.waitingSince != 0 {
			age = c.now.Sub(n.waitingSince)
		}
		require.Equal(t, test.age, age, "%s: time for which requests have waited", test.name)
	}
}
