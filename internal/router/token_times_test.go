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
		paces *protocol.TokenTimes
		after ident.Server // where the second request goes
	}{
		{"no time is known", nil, "q"},
		{"the slowest base", &protocol.TokenTimes{Slowest: 50e3, ByBase: map[ident.Key]float64{"llm|m": 50e3}}, "q"},
		{"a hundred times as fast as the slowest base", &protocol.TokenTimes{Slowest: 50e3, ByBase: map[ident.Key]float64{"llm|m": 0.5e3}}, "p"},
	} {
		b := newHostedRouter(t, Options{})
		b.deliver(protocol.RouterLease{Session: testSession, Until: b.at.Add(60e9), Routers: 1, TokenTimes: c.paces, TokensInProgress: map[ident.Server]int{"q": 2000}})
		b.deliverEntry("llm|m", "p", "q")
		_, first, _ := b.callPath("/llm/x", fleetplan.Request{Model: "m", PromptTokens: 4000, MaxTokens: 10})
		require.Equal(t, ident.Server("p"), first.Server, c.name)
		_, second, _ := b.callPath("/llm/x", fleetplan.Request{Model: "m", PromptTokens: 4000, MaxTokens: 10})
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
	times.update(&protocol.TokenTimes{Slowest: 10, ByBase: map[ident.Key]float64{"m": 6, "n": 10}})
	require.InDelta(t, 0.6, times.relative("m"), 1e-9)
	require.InDelta(t, 8, times.of("unknown"), 1e-9)
	times.update(nil)
	times.observeKnown()
	require.Equal(t, map[ident.Key]float64{"m": 6, "n": 10}, times.takeObserved())
}
