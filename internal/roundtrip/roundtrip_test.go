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
	require.Less(t, e.Timeout(), clock.Span(101e6), "without variation, the timeout converges to the mean")
	for range 100 {
		e.Observe(400e6)
	}
	require.Greater(t, e.Mean(), clock.Span(399e6))
}

// With varying samples, few exceed the timeout, and a single outlier does not dominate the mean.
func TestTimeoutCoversTheSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var e Estimator
	late := 0
	const samples = 10_000
	for range samples {
		sample := 140e6 + clock.Span(rng.Int64N(560e6))
		if e.Known() && sample > e.Timeout() {
			late++
		}
		e.Observe(sample)
	}
	require.Less(t, late, samples/100)
	require.Less(t, e.Timeout(), clock.Span(1500e6))
	before := e.Mean()
	e.Observe(100 * before)
	require.Less(t, e.Mean(), 15*before)
}

func TestObserveZero(t *testing.T) {
	var e Estimator
	e.Observe(0)
	require.True(t, e.Known(), "a round trip below the clock's resolution counts as a sample")
}
