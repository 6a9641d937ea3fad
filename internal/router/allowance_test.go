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
			for b.borrow() {
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
