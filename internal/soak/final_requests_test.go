package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that is not served begins the row of final requests anew, and those that were sent before it do not count.
func TestServedRow(t *testing.T) {
	start := time.Now()
	row := &servedRow{begin: start}
	for range finalRequestCount - 1 {
		row.add(start, true)
	}
	require.False(t, row.isComplete())
	row.add(start, false)
	require.True(t, row.begin.After(start))
	for range finalRequestCount {
		row.add(start, true)
	}
	require.Zero(t, row.served)
	for range finalRequestCount {
		require.False(t, row.isComplete())
		row.add(time.Now(), true)
	}
	require.True(t, row.isComplete())
	end := row.end
	row.add(time.Now(), false)
	require.Equal(t, end, row.end)
}
