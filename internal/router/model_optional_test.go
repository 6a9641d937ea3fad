package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// addModelOptionalRoute adds a route to the service with models whose requests may name none.
func addModelOptionalRoute(p *fleetplan.Plan) {
	p.Hosts["h"]["/any/"] = &fleetplan.Route{Name: "any", Service: "llm", Host: "h", Prefix: "/any/", Mode: fleetplan.Once, Tries: 2,
		Class: fleetplan.Class{Value: 5, Wait: clock.Span(5e9)}, ModelOptional: true}
}

// A request that names no model goes to a server of its service under the service's own entry, and only by a route that
// lets it; what a model's requests weigh at the servers does not keep it out.
func TestRequestWithoutModel(t *testing.T) {
	b := free(t, Options{}, hostPlan(addModelOptionalRoute))
	_, l, out := b.go1("/any/x", fleetplan.Call{})
	require.Empty(t, l.Server, "no server is known yet")
	w, ok := findMessage[protocol.Want](out)
	require.True(t, ok)
	require.Equal(t, ident.Key("llm|"), w.Key)
	l, ok = pick[Launch](b.entry("llm|", "p", "q"))
	require.True(t, ok)
	require.True(t, b.MaySend(b.at, l.Ref, l.N))

	b.entry("llm|m", "p")
	for range 2 { // the model's server is busy with long prompts, and has places left
		_, long, _ := b.go1("/llm/x", fleetplan.Call{Base: "m", Tokens: 2000})
		require.Equal(t, ident.Server("p"), long.Server)
	}
	for range 3 {
		_, l, _ = b.go1("/any/x", fleetplan.Call{})
		require.Equal(t, ident.Server("q"), l.Server, "the one with less under way")
	}

	_, _, out = b.go1("/llm/x", fleetplan.Call{})
	r, _ := pick[Receipt](out)
	require.Equal(t, failure.NoModel, r.Kind, "this route wants a model")
	_, _, out = b.go1("/any/x", fleetplan.Call{Base: "n"})
	r, _ = pick[Receipt](out)
	require.Equal(t, failure.NoModel, r.Kind, "a model that is named must be one")
}

// Servers of a service with models are asked for no more than they have places for, by requests without a model too.
func TestRequestsWithoutModelWaitForPlaces(t *testing.T) {
	b := free(t, Options{}, hostPlan(addModelOptionalRoute))
	b.entry("llm|", "p")
	sent := 0
	for range 6 {
		if _, l, _ := b.go1("/any/x", fleetplan.Call{}); l.Server != "" {
			sent++
		}
	}
	require.Equal(t, 4, sent)
}
