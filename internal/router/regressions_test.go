package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// A router that shuts down rejects every waiting request, and every later request that would have to wait, with an
// answer which states that the request has not run.
func TestStopTurnsAway(t *testing.T) {
	b := newHostedRouter(t, Options{})
	ref, l, _ := b.callPath("/llm/x", fleetplan.Request{Model: "m"})
	require.Empty(t, l.Server, "there is no entry yet")
	refusals := func(out []any, ref Ref) (kinds []failure.Kind) {
		for _, o := range out {
			if r, ok := o.(Refusal); ok && r.Ref == ref {
				kinds = append(kinds, r.Kind)
			}
		}
		return kinds
	}
	require.Equal(t, []failure.Kind{failure.Moved}, refusals(b.Step(b.at, protocol.Stop{}), ref))
	ref, _, out := b.callPath("/llm/x", fleetplan.Request{Model: "m"})
	require.Equal(t, []failure.Kind{failure.Moved}, refusals(append(out, b.wait(40e6)...), ref))
}

// The time per token is not observed on attempts that were queued behind other work at their server.
func TestTokenTimeOfIdleServersOnly(t *testing.T) {
	b := newLoadedRouter(t, 9, map[ident.Server]int{"s1": 9000, "s2": 9000, "s3": 9000})
	ref, l, _ := b.callPath("/llm/x", fleetplan.Request{Model: "m", PromptTokens: 850})
	b.at = b.at.Add(900e6)
	b.Step(b.at, Begun{Ref: ref, N: l.N})
	require.Empty(t, b.tokenTimes.observed)
	b = newLoadedRouter(t, 9, nil)
	ref, l, _ = b.callPath("/llm/x", fleetplan.Request{Model: "m", PromptTokens: 850})
	b.at = b.at.Add(100e6)
	b.Step(b.at, Begun{Ref: ref, N: l.N})
	require.InDelta(t, 100e6/(850+answerStartTokens), b.tokenTimes.observed["llm|m"], 1)
}
