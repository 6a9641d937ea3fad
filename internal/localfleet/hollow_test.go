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

func runHollow(t *testing.T, o HollowOptions) *Hollow {
	t.Helper()
	h := NewHollow(o)
	require.NoError(t, h.Start())
	h.Measure()
	return h
}

// counts leaves out of a run's figures what hangs on the machine.
func rowsWithoutCPU(h *Hollow) []Row {
	l := h.Rows()
	for i := range l {
		l[i].CPU = 0
	}
	return l
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

// The same seed gives the same counts and bytes.
func TestHollowRepeats(t *testing.T) {
	a, b := runHollow(t, smallHollowOptions()), runHollow(t, smallHollowOptions())
	require.Equal(t, rowsWithoutCPU(a), rowsWithoutCPU(b))
	require.Equal(t, a.Samples(), b.Samples())
	require.Equal(t, a.SyncedBytes, b.SyncedBytes)
}

// On a day without trouble every router holds its link, every floor is there, changes come into force,
// and the rates are those that the programs' periods give.
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
	// A router that has taken in a change renews at once, up to a period early: each change adds up to one renewal.
	renewals := findRow(t, h, "owner", "Renew").Received
	require.GreaterOrEqual(t, renewals, 9*2.5)
	require.LessOrEqual(t, renewals, 9*(2.5+float64(len(h.ApplyTimes))/smallHollowOptions().Duration.Seconds()))
	require.InDelta(t, 3.9, findRow(t, h, "agent", "Probe").Sent, 0.2)
	require.InDelta(t, 13/1.2, findRow(t, h, "core", "Announce").Received*2+findRow(t, h, "owner", "Announce").Received, 0.5)
	require.Positive(t, h.SyncedBytes)
}

// inForceSoon bounds the time from a change's answer until it is in force at every router, whichever core node took it.
const maxApplyTime = clock.Span(100e6)

// Without changes the renewals are those of the period, and no other.
func TestHollowRenewals(t *testing.T) {
	o := smallHollowOptions()
	o.Changes = 0
	require.InDelta(t, 9*2.5, findRow(t, runHollow(t, o), "owner", "Renew").Received, 0.01)
}

// Troubles, and what the fleet must come to afterwards.
func TestHollowTroubles(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(o *HollowOptions)
		reigns int
		missed bool
	}{
		{"a server fails", func(o *HollowOptions) { o.Failures = 1 }, 0, true},
		{"a server restarts", func(o *HollowOptions) { o.Restarts = 1 }, 0, false},
		{"the owner fails", func(o *HollowOptions) { o.OwnerFails = true }, 1, false},
		{"a region is parted for a while", func(o *HollowOptions) { o.PartitionTime = 3e9 }, -1, false},
		{"a zone goes and comes back", func(o *HollowOptions) { o.ZoneFails = true }, -1, false},
	} {
		o := smallHollowOptions()
		o.Duration, o.Changes, o.WarmUp = 12e9, 0, 2e9
		c.change(&o)
		h := runHollow(t, o)
		l := h.Samples()
		last := l[len(l)-1]
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

// Every kind of figure comes out of a run, and its CSV has a row for each.
func TestHollowHeap(t *testing.T) {
	h := runHollow(t, smallHollowOptions())
	rows := h.Rows()
	heap := h.Heap()
	require.Len(t, heap, 4)
	for role, n := range heap {
		require.Positive(t, n, role)
	}
	require.Positive(t, h.DiskBytes())
	var b bytes.Buffer
	require.NoError(t, h.WriteCSV(&b, "small", true, heap))
	l, err := csv.NewReader(&b).ReadAll()
	require.NoError(t, err)
	require.Len(t, l, 1+len(rows))
	for i, r := range rows {
		require.Equal(t, []string{"small", r.Role, r.Kind}, []string{l[1+i][0], l[1+i][10], l[1+i][11]})
	}
}
