package experiment

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Traces are found among other lines and summed by their longest wait, or by what ended the request.
func TestExplain(t *testing.T) {
	lines := []string{
		`no json at all`,
		`{"msg":"something else"}`,
		`{"request":"not a trace"}`,
		`  1.5 edge-1 {"msg":"x","request":{"key":"s|m","end":"served","first_ms":1000,"aim_ms":800,"waits_ms":{"ready":700},"attempts":[{"at_ms":705}]}}`,
		`{"request":{"key":"s|m","end":"served","first_ms":1400,"aim_ms":800,"waits_ms":{"ready":900,"entry":10},"attempts":[{"at_ms":915}]}}`,
		`{"request":{"key":"s|m+a","end":"served","first_ms":2000,"aim_ms":800,"attempts":[{"at_ms":2}]}}`,
		`{"request":{"key":"s|m+a","end":"served","first_ms":2000,"aim_ms":800,"attempts":[{"at_ms":0,"how":"dropped"},{"at_ms":1500}]}}`,
		`{"request":{"key":"s|","end":"refused","kind":"not_ready","attempts":[{"how":"dropped","status":503}]}}`,
		`{"request":{"end":"caller_left"}}`,
	}
	x := NewExplanation()
	require.NoError(t, x.Read(strings.NewReader(strings.Join(lines, "\n"))))
	require.Equal(t, []Loss{
		{true, "ready", "base", 2, 1600},
		{true, "earlier", "adapter", 1, 1500},
		{true, "server", "adapter", 1, 1998},
		{false, "caller_left not sent", "service", 1, 0},
		{false, "refused not_ready dropped 503", "service", 1, 0},
	}, x.Losses())
	var text bytes.Buffer
	require.NoError(t, x.WriteText(&text))
	require.Contains(t, text.String(), "late     ready")
}
