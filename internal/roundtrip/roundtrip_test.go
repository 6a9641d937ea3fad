package roundtrip

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
)

func TestEstimator(t *testing.T) {
	var e Estimator
	require.False(t, e.Known())
	require.Zero(t, e.Timeout())
	e.Observe(100e6)
	require.True(t, e.Known())
	require.Equal(t, clock.Span(100e6), e.Mean())
	require.Equal(t, clock.Span(300e6), e.Timeout())
	for range 100 {
		e.Observe(100e6)
	}
	require.Less(t, e.Timeout(), clock.Span(101e6), "what does not vary is waited for no longer than it takes")
	for range 100 {
		e.Observe(400e6)
	}
	require.Greater(t, e.Mean(), clock.Span(399e6))
}

// Of samples that vary, few take longer than the timeout; none is so long that the mean would follow it at once.
func TestTimeoutCoversTheSpread(t *testing.T) {
	dice := rand.New(rand.NewPCG(1, 2))
	var e Estimator
	late := 0
	const samples = 10_000
	for range samples {
		sample := 140e6 + clock.Span(dice.Int64N(560e6))
		if e.Known() && sample > e.Timeout() {
			late++
		}
		e.Observe(sample)
	}
	require.Less(t, late, samples/100)
	require.Less(t, e.Timeout(), clock.Span(1500e6))
	was := e.Mean()
	e.Observe(100 * was)
	require.Less(t, e.Mean(), 15*was)
}

func TestObserveNothing(t *testing.T) {
	var e Estimator
	e.Observe(0)
	require.True(t, e.Known(), "an answer within the clock's grain is a sample, too")
}
