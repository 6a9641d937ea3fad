package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// A base whose tokens take a tenth of the time counts for a tenth at its server, once the owner has told so.
func TestTokensCountByPace(t *testing.T) {
	for _, c := range []struct {
		name  string
		paces *protocol.Paces
		after ident.Server // where the second request goes
	}{
		{"nothing is known", nil, "q"},
		{"it is the slowest", &protocol.Paces{Slowest: 50e3, Bases: map[ident.Key]float64{"llm|m": 50e3}}, "q"},
		{"it is a hundred times as fast", &protocol.Paces{Slowest: 50e3, Bases: map[ident.Key]float64{"llm|m": 0.5e3}}, "p"},
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

// What was seen is told once, at its shortest; to a new session also what is known.
func TestPacesAreTold(t *testing.T) {
	p := newTokenTimes()
	p.observe("m", 9)
	p.observe("m", 7)
	p.observe("m", 8)
	require.Equal(t, map[ident.Key]float64{"m": 7}, p.takeObserved())
	require.Empty(t, p.takeObserved())
	p.update(&protocol.Paces{Slowest: 10, Bases: map[ident.Key]float64{"m": 6, "n": 10}})
	require.InDelta(t, 0.6, p.relative("m"), 1e-9)
	require.InDelta(t, 8, p.of("unknown"), 1e-9)
	p.update(nil)
	p.observeKnown()
	require.Equal(t, map[ident.Key]float64{"m": 6, "n": 10}, p.takeObserved())
}
