package clock

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStall(t *testing.T) {
	s := StallDetector{MinGap: 300e6}
	require.Zero(t, s.Observe(5e9), "the first tick has no predecessor")
	require.Zero(t, s.Observe(5e9+299e6))
	require.Equal(t, Span(300e6), s.Observe(5e9+599e6))
	require.Zero(t, s.Observe(5e9+620e6), "a stall is reported once")
}
