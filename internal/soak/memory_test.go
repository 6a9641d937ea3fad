package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The trend of a process excludes its warm-up. A process that did not run for longer than the warm-up has no trend.
func TestMemoryTrends(t *testing.T) {
	var samples []MemorySample
	for at := time.Duration(0); at < 30*time.Minute; at += 10 * time.Second {
		mb := 40 + 6*at.Hours()
		if at < memoryWarmup {
			mb = 5
		}
		samples = append(samples, MemorySample{At: at, Machine: "core-1", Process: 7, ResidentMB: mb, Changes: int(at.Seconds())})
		if at < time.Minute {
			samples = append(samples, MemorySample{At: at, Machine: "edge-1", Process: 8, ResidentMB: 10})
		}
	}
	l := MemoryTrends(samples)
	require.Len(t, l, 1)
	require.Equal(t, "core-1", l[0].Machine)
	require.InDelta(t, 6, l[0].MBPerHour, 1e-6)
	require.InDelta(t, 40+6*memoryWarmup.Hours(), l[0].StartMB, 1e-6)
	require.InDelta(t, 6/3.6, l[0].MBPerThousandChanges, 1e-6)
	require.Equal(t, 28*time.Minute-10*time.Second, l[0].Span.Round(time.Second))
}

// Kinds of trouble are selected by name, and an unknown name is an error.
func TestTroubleKindsByName(t *testing.T) {
	all, err := troubleKindsByName(nil)
	require.NoError(t, err)
	require.Len(t, all, len(TroubleNames()))
	l, err := troubleKindsByName([]string{"operators hurry", "large configurations"})
	require.NoError(t, err)
	require.Len(t, l, 2)
	_, err = troubleKindsByName([]string{"rain"})
	require.ErrorContains(t, err, `"rain"`)
}
