package clock

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStall(t *testing.T) {
	s := Stall{Least: 300e6}
	require.Zero(t, s.Beat(5e9), "the first tick has no predecessor")
	require.Zero(t, s.Beat(5e9+299e6))
	require.Equal(t, Span(300e6), s.Beat(5e9+599e6))
	require.Zero(t, s.Beat(5e9+620e6), "a stall is reported once")
}
