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

// addModelOptionalRoute adds a route to the service with models whose requests need not name a model.
func addModelOptionalRoute(p *fleetplan.Plan) {
	p.Hosts["h"]["/any/"] = &fleetplan.Route{Name: "any", Service: "llm", Host: "h", Prefix: "/any/", Mode: fleetplan.Once, Tries: 2,
		Class: fleetplan.Class{Value: 5, Wait: clock.Span(5e9)}, ModelOptional: true}
}

// A request without a model is routed by the entry of the service itself, and only if its route permits that. The
// token load of requests with a model does not prevent it from being sent.
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
	for range 2 { // the model's server processes long prompts and still has free slots
		_, long, _ := b.go1("/llm/x", fleetplan.Call{Base: "m", Tokens: 2000})
		require.Equal(t, ident.Server("p"), long.Server)
	}
	for range 3 {
		_, l, _ = b.go1("/any/x", fleetplan.Call{})
		require.Equal(t, ident.Server("q"), l.Server, "the server with less load")
	}

	_, _, out = b.go1("/llm/x", fleetplan.Call{})
	r, _ := pick[Receipt](out)
	require.Equal(t, failure.NoModel, r.Kind, "this route requires a model")
	_, _, out = b.go1("/any/x", fleetplan.Call{Base: "n"})
	r, _ = pick[Receipt](out)
	require.Equal(t, failure.NoModel, r.Kind, "a named model must exist")
}

// Requests without a model do not exceed the slots of the servers of a service with models either.
func TestRequestsWithoutModelWaitForSlots(t *testing.T) {
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
