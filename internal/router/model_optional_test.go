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
	p.Hosts["h"]["/any/"] = &fleetplan.Route{Name: "any", Service: "llm", Host: "h", Prefix: "/any/", Mode: fleetplan.Once, MaxAttempts: 2,
		Class: fleetplan.Class{Value: 5, MaxWait: clock.Span(5e9)}, ModelOptional: true}
}

// A request without a model is routed by the entry of the service itself, and only if its route permits that. The
// token load of requests with a model does not prevent it from being sent.
func TestRequestWithoutModel(t *testing.T) {
	b := newHostedRouter(t, Options{}, hostPlan(addModelOptionalRoute))
	_, l, out := b.callPath("/any/x", fleetplan.Request{})
	require.Empty(t, l.Server, "no server is known yet")
	w, ok := findMessage[protocol.EntryRequest](out)
	require.True(t, ok)
	require.Equal(t, ident.Key("llm|"), w.Key)
	l, ok = findOutput[Launch](b.deliverEntry("llm|", "p", "q"))
	require.True(t, ok)
	require.True(t, b.MaySend(b.at, l.Ref, l.N))

	b.deliverEntry("llm|m", "p")
	for range 2 { // the model's server processes long prompts and still has free slots
		_, long, _ := b.callPath("/llm/x", fleetplan.Request{Model: "m", PromptTokens: 2000})
		require.Equal(t, ident.Server("p"), long.Server)
	}
	for range 3 {
		_, l, _ = b.callPath("/any/x", fleetplan.Request{})
		require.Equal(t, ident.Server("q"), l.Server, "the server with less load")
	}

	_, _, out = b.callPath("/llm/x", fleetplan.Request{})
	r, _ := findOutput[Refusal](out)
	require.Equal(t, failure.NoModel, r.Kind, "this route requires a model")
	_, _, out = b.callPath("/any/x", fleetplan.Request{Model: "n"})
	r, _ = findOutput[Refusal](out)
	require.Equal(t, failure.NoModel, r.Kind, "a named model must exist")
}

// Requests without a model do not exceed the slots of the servers of a service with models either.
func TestRequestsWithoutModelWaitForSlots(t *testing.T) {
	b := newHostedRouter(t, Options{}, hostPlan(addModelOptionalRoute))
	b.deliverEntry("llm|", "p")
	sent := 0
	for range 6 {
		if _, l, _ := b.callPath("/any/x", fleetplan.Request{}); l.Server != "" {
			sent++
		}
	}
	require.Equal(t, 4, sent)
}
