package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// A load's end is known from the server itself, however old its reports are; an old report takes nothing back.
func TestOrderIsConfirmed(t *testing.T) {
	for _, lag := range []clock.Span{0, 200e6, 450e6} {
		for _, repeats := range []int{409, 202} { // what a server says of an order that it is carrying out
			name := fmt.Sprint(lag, repeats)
			c := newCluster(t, modelPlan(12, "llm|m", "llm|n"), "a")
			s := c.serve("s")
			s.lag, s.whileBusy, s.slow = lag, repeats, 1300e6 // more than a load should take
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

// A report that is from before a confirmation does not show what was confirmed, and says nothing of it.
func TestReportFromBeforeAConfirmation(t *testing.T) {
	c := newCluster(t, modelPlan(12, "llm|m"), "a")
	s := c.serve("s")
	s.lag = 450e6
	r := c.route("r")
	c.run(3e9)
	r.ask("llm|m")
	require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") }))
	c.lead().servers["s"].next = c.at // its report is asked for now
	for end := c.at.Add(2e9); c.at < end; c.tick() {
		require.True(t, r.sends("llm|m", "s"))
	}
}

// What must make way is known to be gone as soon, so that its successor is ordered at once; a report from before shows
// it as held still, and brings it back to nobody.
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
	require.Len(t, c.ops, 2)
}

// An answer that gets lost, or a load that takes much longer than it should, leaves it to reports.
func TestConfirmationsGetLost(t *testing.T) {
	for _, slow := range []clock.Span{0, 6e9} {
		c := newCluster(t, modelPlan(12, "llm|m"), "a")
		s := c.serve("s")
		s.slow = slow
		n := 0
		s.lost = func(protocol.Order) (bool, bool) { n++; return true, n == 1 }
		r := c.route("r")
		r.burden["llm|m"] = protocol.Burden{Wait: 1, Came: 1, Load: 0.1}
		require.True(t, c.until(20e9, func() bool { return r.sends("llm|m", ident.Server("s")) }), slow)
		require.Len(t, c.orders("load"), 1, slow)
	}
}

// What was seen: an owner that had stood still for seconds told of orders without a lease, three of them, on a day of quick changes
// (the process's own check, orders_under_lease; none left the machine, as an order bears the end of its lease).
// Order of events: it asks whether an order is done and stands still; its lease runs out; it wakes, and the answer is the first
// thing that it takes in, before it looks at the time.
// Cause: what waited for a confirmed order is sent at once, and only the beat looked at the lease.
func TestNoOrderOnAConfirmationAfterTheLease(t *testing.T) {
	c := newCluster(t, modelPlan(4, "llm|m", "llm|n"), "a")
	c.serve("s", "llm|m")
	r := c.route("r")
	c.run(4e9)
	r.ask("llm|n")
	confirms := func() *pendingAsk {
		for i := range c.asks {
			if o := c.asks[i].ask.Body.(protocol.Order); o.Confirms && c.asks[i].told != nil && c.asks[i].told.Code == holdsAlready {
				return &c.asks[i]
			}
		}
		return nil
	}
	require.True(t, c.until(9e9, func() bool { return confirms() != nil }))
	k := c.lead()
	for _, out := range k.Step(c.at.Add(clock.Span(5e9)), *confirms().told) {
		if a, is := out.(protocol.Ask); is {
			require.Empty(t, a.Body.(protocol.Order).Op, "its lease has run out")
		}
	}
}
