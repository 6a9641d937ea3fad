package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/protocol"
)

// A request whose model cannot be ready in time waits until its deadline, because a more valuable one waits before it.
func TestTooLateIsToldBehindAnother(t *testing.T) {
	b := newHostedRouter(t, Options{}, hostPlan(func(p *fleetplan.Plan) {
		low := *p.Hosts["h"]["/llm/"]
		low.Name, low.Prefix, low.Class.Value = "low", "/llm/low/", 1
		p.Hosts["h"][low.Prefix] = &low
	}))
	b.deliverItem(protocol.Update{Entry: &protocol.Entry{Key: "llm|m", Digest: 1, ReadyIn: 2e9}})
	first, _, out := b.callPath("/llm/x", fleetplan.Request{Model: "m"})
	require.Empty(t, out)
	require.Equal(t, Waiting, b.requests[first].stage)
	late, _, out := b.callPath("/llm/low/x", fleetplan.Request{Model: "m", Horizon: 1e9})
	refusal, ok := findOutput[Refusal](out)
	require.True(t, ok)
	require.Equal(t, Refusal{Ref: late, Kind: failure.NotReady, RetryAfter: 2e9}, refusal)
}
