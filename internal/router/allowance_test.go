package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// What a router is lent beyond what it earned stays within the fleet's margin in each window, however often it starts again
// within it: what its earlier lives took is not known any more.
func TestMarginOutlivesRestarts(t *testing.T) {
	const window = clock.Span(10e9)
	const lend, again = 6, 4
	var taken []clock.Tick
	for life, at := 0, clock.Tick(1e9); at < 100e9; life++ {
		b := New(Options{Free: true, Lend: lend, LendAgain: again, Window: window, Share: 1e-12, Restarted: life > 0})
		span := []clock.Span{3e9, 3e9, 4e9, 25e9}[life%4]
		for end := at.Add(span); at < end; at = at.Add(100e6) {
			b.Step(at, protocol.Beat{})
			for b.spendMargin("") {
				taken = append(taken, at)
			}
		}
	}
	most := 0
	for i, from := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at.Sub(from) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	require.LessOrEqual(t, most, lend+again)
	require.GreaterOrEqual(t, most, lend)
	require.Greater(t, len(taken), 2*lend, "it is lent again once a window is over")
}

// What users saw: BUDGET on a day of high load, 821 arrivals beyond the first at one service in 10 s, where 2,830 requests for it
// allowed 732.
// Order of events: its few servers are full and turn requests away; routers send each of them on to another of them, paid for by what first
// arrivals earned; most of what they paid with had been earned at another service, by ten times as many requests.
// Cause: one allowance for all services, where the rule counts each service by itself; and what is saved for 5 s adds half of what
// a window of 10 s earns to what it may spend.
// Evidence: with either part left as it was, the test below fails; the figures of the day are in the incident's page.
func TestRetriesStayWithinEachServicesBudget(t *testing.T) {
	const fraction, window, step = 0.2, clock.Span(10e9), clock.Span(10e6)
	core, _ := HostOptions{Fraction: fraction, Window: window, First: true}.cores()
	type sent struct {
		at           clock.Tick
		first, retry int
	}
	var sends []sent
	at := clock.Tick(1e9)
	for i := range 6000 {
		at = at.Add(step)
		core.Step(at, protocol.Beat{})
		x := sent{at: at, first: 1}
		core.earn("few")
		for range 10 {
			core.earn("many")
		}
		if i/1000%2 == 1 { // nothing fails for ten seconds, and then everything for ten
			for core.spend("few") {
				x.retry++
			}
		}
		sends = append(sends, x)
	}
	for i := range sends {
		firsts, retries := 0, 0
		for _, x := range sends[i:] {
			if x.at.Sub(sends[i].at) > window {
				break
			}
			firsts, retries = firsts+x.first, retries+x.retry
		}
		if firsts >= 900 {
			require.LessOrEqual(t, float64(retries), fraction*float64(firsts), "from %v", sends[i].at)
		}
	}
}
