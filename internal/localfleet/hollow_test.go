package localfleet

import (
	"bytes"
	"encoding/csv"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
)

func smallHollowOptions() HollowOptions {
	return HollowOptions{Routers: 9, Servers: 13, Models: 8, Adapters: 20, CoreNodes: 3, Zones: 12, WarmUp: 2e9, Duration: 4e9, Changes: 2, Seed: 3}
}

func runHollow(t *testing.T, options HollowOptions) *Hollow {
	t.Helper()
	h := NewHollow(options)
	require.NoError(t, h.Start())
	h.Measure()
	return h
}

// rowsWithoutCPU returns a run's figures without the processor time, which depends on the machine.
func rowsWithoutCPU(h *Hollow) []Row {
	rows := h.Rows()
	for i := range rows {
		rows[i].CPU = 0
	}
	return rows
}

func findRow(t *testing.T, h *Hollow, role, kind string) Row {
	t.Helper()
	for _, r := range h.Rows() {
		if r.Role == role && r.Kind == kind {
			return r
		}
	}
	require.Failf(t, "no such row", "%s %s", role, kind)
	return Row{}
}

// Two runs with the same seed have the same counts and bytes.
func TestHollowRepeats(t *testing.T) {
	a, b := runHollow(t, smallHollowOptions()), runHollow(t, smallHollowOptions())
	require.Equal(t, rowsWithoutCPU(a), rowsWithoutCPU(b))
	require.Equal(t, a.Samples(), b.Samples())
	require.Equal(t, a.SyncedBytes, b.SyncedBytes)
}

// Without failures every router keeps its lease, all floors are met, changes come into force, and the message rates match
// the periods of the programs.
func TestHollowQuiet(t *testing.T) {
	h := runHollow(t, smallHollowOptions())
	for _, m := range h.Samples() {
		require.Equal(t, 9, m.Routers)
		require.Equal(t, 9, m.Leased, "at %v", m.At)
		require.Zero(t, m.BelowFloor, "at %v", m.At)
	}
	require.Len(t, h.ApplyTimes, 2)
	require.Empty(t, h.TermStarts)
	require.Empty(t, h.DetectionTimes)
	require.Zero(t, h.LogCounts["live server reported unreachable"])
	for _, took := range h.ApplyTimes {
		require.LessOrEqual(t, took, maxApplyTime)
	}
	require.InDelta(t, 5, findRow(t, h, "router", "Hello").Sent, 0.4)
	// A router that receives a change renews at once, up to a period early: each change adds at most one renewal.
	renewals := findRow(t, h, "owner", "Renew").Received
	require.GreaterOrEqual(t, renewals, 9*2.5)
	require.LessOrEqual(t, renewals, 9*(2.5+float64(len(h.ApplyTimes))/smallHollowOptions().Duration.Seconds()))
	require.InDelta(t, 3.9, findRow(t, h, "agent", "Probe").Sent, 0.2)
	require.InDelta(t, 13/1.2, findRow(t, h, "core", "Announce").Received*2+findRow(t, h, "owner", "Announce").Received, 0.5)
	require.Positive(t, h.SyncedBytes)
}

// maxApplyTime bounds the time from the reply to a change until it is in force at every router, for a request to any core
// node.
const maxApplyTime = clock.Span(100e6)

// Without changes routers renew only once per period.
func TestHollowRenewals(t *testing.T) {
	options := smallHollowOptions()
	options.Changes = 0
	require.InDelta(t, 9*2.5, findRow(t, runHollow(t, options), "owner", "Renew").Received, 0.01)
}

// After each kind of failure all routers have a lease again, all floors are met, and there is a leader.
func TestHollowTroubles(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(options *HollowOptions)
		reigns int
		missed bool
	}{
		{"a server fails", func(options *HollowOptions) { options.Failures = 1 }, 0, true},
		{"a server restarts", func(options *HollowOptions) { options.Restarts = 1 }, 0, false},
		{"the owner fails", func(options *HollowOptions) { options.OwnerFails = true }, 1, false},
		{"a region is partitioned for a while", func(options *HollowOptions) { options.PartitionTime = 3e9 }, -1, false},
		{"a zone fails and recovers", func(options *HollowOptions) { options.ZoneFails = true }, -1, false},
	} {
		options := smallHollowOptions()
		options.Duration, options.Changes, options.WarmUp = 12e9, 0, 2e9
		c.change(&options)
		h := runHollow(t, options)
		samples := h.Samples()
		last := samples[len(samples)-1]
		require.Equal(t, 9, last.Leased, c.name)
		require.Zero(t, last.BelowFloor, c.name)
		require.NotNil(t, h.Owner(), c.name)
		if c.reigns >= 0 {
			require.Len(t, h.TermStarts, c.reigns, c.name)
		}
		if c.missed {
			require.Len(t, h.DetectionTimes, 1, c.name)
		}
	}
}

// A run yields heap and disk figures, and its CSV has a line for each row.
func TestHollowHeap(t *testing.T) {
	h := runHollow(t, smallHollowOptions())
	rows := h.Rows()
	heap := h.Heap()
	require.Len(t, heap, 4)
	for role, n := range heap {
		require.Positive(t, n, role)
	}
	require.Positive(t, h.DiskBytes())
	var buffer bytes.Buffer
	require.NoError(t, h.WriteCSV(&buffer, "small", true, heap))
	records, err := csv.NewReader(&buffer).ReadAll()
	require.NoError(t, err)
	require.Len(t, records, 1+len(rows))
	for i, r := range rows {
		require.Equal(t, []string{"small", r.Role, r.Kind}, []string{records[1+i][0], records[1+i][10], records[1+i][11]})
	}
}
