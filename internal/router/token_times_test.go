package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// The cost of a request is scaled by the time per token of its base relative to the slowest base, as reported by the
// leader.
func TestCostScalesWithTokenTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		paces *protocol.Paces
		after ident.Server // where the second request goes
	}{
		{"no time is known", nil, "q"},
		{"the slowest base", &protocol.Paces{Slowest: 50e3, Bases: map[ident.Key]float64{"llm|m": 50e3}}, "q"},
		{"a hundred times as fast as the slowest base", &protocol.Paces{Slowest: 50e3, Bases: map[ident.Key]float64{"llm|m": 0.5e3}}, "p"},
	} {
		b := free(t, Options{})
		b.deliver(protocol.Hold{Session: ses, Until: b.at.Add(60e9), Routers: 1, Paces: c.paces, Seats: map[ident.Server]int{"q": 2000}})
		b.entry("llm|m", "p", "q")
		_, first, _ := b.go1("/llm/x", fleetplan.Call{Base: "m", Tokens: 4000, Max: 10})
		require.Equal(t, ident.Server("p"), first.Server, c.name)
		_, second, _ := b.go1("/llm/x", fleetplan.Call{Base: "m", Tokens: 4000, Max: 10})
		require.Equal(t, c.after, second.Server, c.name)
	}
}

// The shortest observed time is reported once. After observeKnown the next report includes all known times.
func TestTokenTimesAreReported(t *testing.T) {
	times := newTokenTimes()
	times.observe("m", 9)
	times.observe("m", 7)
	times.observe("m", 8)
	require.Equal(t, map[ident.Key]float64{"m": 7}, times.takeObserved())
	require.Empty(t, times.takeObserved())
	times.update(&protocol.Paces{Slowest: 10, Bases: map[ident.Key]float64{"m": 6, "n": 10}})
	require.InDelta(t, 0.6, times.relative("m"), 1e-9)
	require.InDelta(t, 8, times.of("unknown"), 1e-9)
	times.update(nil)
	times.observeKnown()
	require.Equal(t, map[ident.Key]float64{"m": 6, "n": 10}, times.takeObserved())
}
