package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// The end of a load is known from the server itself, however late its reports are, and an outdated report does
// not revoke it.
func TestOrderIsConfirmed(t *testing.T) {
	for _, lag := range []clock.Span{0, 200e6, 450e6} {
		for _, repeats := range []int{409, 202} { // answer to an order that the server is carrying out
			name := fmt.Sprint(lag, repeats)
			c := newCluster(t, modelPlan(12, "llm|m", "llm|n"), "a")
			s := c.serve("s")
			s.lag, s.whileBusy, s.slow = lag, repeats, 1300e6 // longer than a load is expected to take
			r := c.route("r")
			c.run(3e9)
			r.ask("llm|m")
			require.True(t, c.until(9e9, func() bool { return s.holds["llm|m"] }), name)
			held := c.at
			require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") }), name)
			require.Less(t, c.at.Sub(held), clock.Span(150e6), name)
			require.NotZero(t, c.confirmations, name)
			for end := c.at.Add(3e9); c.at < end; c.tick() {
				require.True(t, r.sends("llm|m", "s"), "%s: %v after the load", name, c.at.Sub(held))
			}
			require.Len(t, c.orders("load"), 1, name)
			r.ask("llm|n")
			require.True(t, c.until(2500e6, func() bool { return r.sends("llm|n", "s") }), "%s: the next order", name)
			require.Len(t, c.orders("load"), 2, name)
		}
	}
}

// A report older than a confirmation does not show what was confirmed, and must not contradict it.
func TestReportFromBeforeAConfirmation(t *testing.T) {
	c := newCluster(t, modelPlan(12, "llm|m"), "a")
	s := c.serve("s")
	s.lag = 450e6
	r := c.route("r")
	c.run(3e9)
	r.ask("llm|m")
	require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") }))
	c.leader().servers["s"].nextPoll = c.at // its report is requested now
	for end := c.at.Add(2e9); c.at < end; c.tick() {
		require.True(t, r.sends("llm|m", "s"))
	}
}

// The end of an unload is confirmed as early, so that the load that needs its room is ordered at once. An older
// report still shows the evicted model as held and must not offer it to routers again.
func TestUnloadIsConfirmed(t *testing.T) {
	c := newCluster(t, modelPlan(4, "llm|m", "llm|n"), "a")
	s := c.serve("s", "llm|m")
	s.lag = 450e6
	r := c.route("r")
	c.run(4e9)
	r.ask("llm|n")
	require.True(t, c.until(9e9, func() bool { return len(c.orders("unload")) == 1 }))
	require.True(t, c.until(300e6, func() bool { return len(c.orders("load")) == 1 }))
	require.True(t, c.until(3e9, func() bool { return r.sends("llm|n", "s") }))
	c.run(2e9)
	require.False(t, r.sends("llm|m", "s"))
	require.Len(t, c.sentOrders, 2)
}

// If a confirmation is lost, or a load takes much longer than expected, reports show the result.
func TestConfirmationsGetLost(t *testing.T) {
	for _, slow := range []clock.Span{0, 6e9} {
		c := newCluster(t, modelPlan(12, "llm|m"), "a")
		s := c.serve("s")
		s.slow = slow
		n := 0
		s.lost = func(protocol.Order) (bool, bool) { n++; return true, n == 1 }
		r := c.route("r")
		r.keyLoads["llm|m"] = protocol.KeyLoad{Waiting: 1, Arrived: 1, ServerSeconds: 0.1}
		require.True(t, c.until(20e9, func() bool { return r.sends("llm|m", ident.Server("s")) }), slow)
		require.Len(t, c.orders("load"), 1, slow)
	}
}

// Guards against orders without a lease: after standing still for seconds during rapid changes, a leader issued
// three such orders (found by its own check orders_under_lease; none left the machine, as an order carries the
// end of its lease).
//
// The leader asks whether an order is done and stalls; its lease expires; after the stall it handles the answer
// before it looks at the time. The cause was that an order which waits for a confirmed one is sent at once,
// while only the tick checked the lease.
func TestNoOrderOnAConfirmationAfterTheLease(t *testing.T) {
	c := newCluster(t, modelPlan(4, "llm|m", "llm|n"), "a")
	c.serve("s", "llm|m")
	r := c.route("r")
	c.run(4e9)
	r.ask("llm|n")
	confirmation := func() *pendingRequest {
		for i := range c.httpRequests {
			if o := c.httpRequests[i].request.Body.(protocol.Order); o.QueriesCompletion && c.httpRequests[i].result != nil && c.httpRequests[i].result.Code == statusAlreadyHeld {
				return &c.httpRequests[i]
			}
		}
		return nil
	}
	require.True(t, c.until(9e9, func() bool { return confirmation() != nil }))
	k := c.leader()
	for _, out := range k.Step(c.at.Add(clock.Span(5e9)), *confirmation().result) {
		if a, is := out.(protocol.HTTPRequest); is {
			require.Empty(t, a.Body.(protocol.Order).Op, "the lease has expired")
		}
	}
}
