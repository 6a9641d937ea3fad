package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A line goes through each process's memory, without its warm-up; a process that lived for no longer has none.
func TestMemoryTrends(t *testing.T) {
	var samples []MemorySample
	for at := time.Duration(0); at < 30*time.Minute; at += 10 * time.Second {
		mb := 40 + 6*at.Hours()
		if at < mostWarmup {
			mb = 5
		}
		samples = append(samples, MemorySample{At: at, Machine: "core-1", Process: 7, Now: mb, Changes: int(at.Seconds())})
		if at < time.Minute {
			samples = append(samples, MemorySample{At: at, Machine: "edge-1", Process: 8, Now: 10})
		}
	}
	l := MemoryTrends(samples)
	require.Len(t, l, 1)
	require.Equal(t, "core-1", l[0].Machine)
	require.InDelta(t, 6, l[0].PerHour, 1e-6)
	require.InDelta(t, 40+6*mostWarmup.Hours(), l[0].Start, 1e-6)
	require.InDelta(t, 6/3.6, l[0].PerK, 1e-6)
	require.Equal(t, 28*time.Minute-10*time.Second, l[0].Span.Round(time.Second))
}

func TestKindsNamed(t *testing.T) {
	all, err := kindsNamed(nil)
	require.NoError(t, err)
	require.Len(t, all, len(KindNames()))
	l, err := kindsNamed([]string{"operators hurry", "large configurations"})
	require.NoError(t, err)
	require.Len(t, l, 2)
	_, err = kindsNamed([]string{"rain"})
	require.ErrorContains(t, err, `"rain"`)
}
