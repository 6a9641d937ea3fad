package controller

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
)

// The pace of a base is the shortest time that any router observed. It grows slowly without new observations
// and is sent when it has changed.
func TestPaces(t *testing.T) {
	c := New(Options{})
	c.plan, c.now = modelPlan(8, "llm|m", "llm|n"), clock.Instant(1e9)
	c.recordTokenTimes(map[ident.Key]float64{"llm|m": 50e3, "llm|n": 20e3, "llm|none": 1})
	c.recordTokenTimes(map[ident.Key]float64{"llm|m": 80e3})
	c.recordTokenTimes(map[ident.Key]float64{"llm|m": 40e3, "llm|n": math.Inf(1)})
	c.recordTokenTimes(map[ident.Key]float64{"llm|m": 0, "llm|n": -3})
	c.recordTokenTimes(map[ident.Key]float64{"llm|m": math.NaN()})
	require.Len(t, c.tokenTimes, 2)

	l := &link{callbacks: map[ident.Key]uint64{"llm|m": 1}}
	update := c.tokenTimesUpdate(l)
	require.Equal(t, map[ident.Key]float64{"llm|m": 40e3}, update.ByBase, "only the bases that the router uses")
	require.InDelta(t, 40e3, update.Slowest, 1)
	require.Nil(t, c.tokenTimesUpdate(l), "no pace has changed")
	l.callbacks["llm|n+a"] = 2
	require.Equal(t, map[ident.Key]float64{"llm|n": 20e3}, c.tokenTimesUpdate(l).ByBase, "an adapter uses the pace of its base")

	c.now = c.now.Add(clock.Span(10e9))
	c.recordTokenTimes(map[ident.Key]float64{"llm|m": 43e3})
	require.InDelta(t, 43e3, c.tokenTimes["llm|m"].decayed(c.now), 1, "a pace grows by a tenth in ten seconds without a new observation")
}

// The duration of loads from a server's own disk is learned, whether they take less or more time than loads
// from the store.
func TestDiskLoadsAreLearned(t *testing.T) {
	for _, part := range []float64{0.1, 0.25, 0.6, 1.6} {
		c := newCluster(t, modelPlan(4, "llm|m", "llm|n"), "a")
		s := c.serve("s", "llm|m")
		s.diskPart = part
		r := c.route("r")
		for i := range 16 { // the two keys are requested alternately, and the server has room for one of them
			key := ident.Key("llm|n")
			if i%2 == 1 {
				key = "llm|m"
			}
			r.ask(key)
			require.True(t, c.until(20e9, func() bool { return r.sends(key, "s") }), "%v: %d", part, i)
			c.run(2e9)
		}
		require.InDelta(t, part, c.leader().diskPart, 0.15+part*0.25, "%v", part)
	}
}
