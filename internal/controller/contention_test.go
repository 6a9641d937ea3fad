package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
)

// maxOrders is how many orders operators have outstanding.
const maxOrders = 8

// pendingOrder is an order that operators resend, to any node, until it is taken.
type pendingOrder struct {
	admin       Admin
	first, last clock.Instant
	answers     []func() *Receipt
}

// Eight orders are outstanding at all times, each sent to any node and resent if no answer arrives within a
// second. Proposers invalidate each other's attempts, and every order must still be taken in time.
func TestOrdersUnderContention(t *testing.T) {
	for _, delay := range []clock.Span{2e6, 20e6} {
		c := newTunedCluster(t, nil, hostedTimes, "a", "b", "c")
		c.plans["1"] = modelPlan(8, "llm|m")
		c.delay = delay
		nodes := []string{"a", "b", "c"}
		var open []*pendingOrder
		sent, taken, longest := 0, 0, clock.Span(0)
		send := func(o *pendingOrder) {
			o.last = c.at
			o.answers = append(o.answers, c.admin(nodes[c.rng.IntN(len(nodes))], o.admin))
		}
		for end := c.at.Add(60e9); c.at < end; c.tick() {
			for len(open) < maxOrders {
				sent++
				o := &pendingOrder{admin: Admin{Op: "put", Raw: []byte("1"), Any: true, Change: fmt.Sprint("order-", sent)}, first: c.at}
				open = append(open, o)
				send(o)
			}
			var remaining []*pendingOrder
			for _, o := range open {
				done := false
				for _, answer := range o.answers {
					r := answer()
					done = done || r != nil && r.Kind == failure.None
				}
				switch {
				case done:
					taken++
					longest = max(longest, c.at.Sub(o.first))
				case c.at.Sub(o.last) > 1e9:
					send(o)
					remaining = append(remaining, o)
				default:
					remaining = append(remaining, o)
				}
			}
			open = remaining
			c.outputs = nil // all receipts of this step have been read
		}
		t.Logf("delay %v: %d changes confirmed in 60 s, the slowest after %v", delay, taken, longest)
		require.Less(t, longest, 4*clock.Span(1e9))
	}
}
