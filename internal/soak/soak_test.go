package soak

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// soakSeeds is the number of seeds of a short soak.
const soakSeeds = 3

// shortSoak runs overlapping troubles on real processes, with invariant checks enabled. Time bounds are not checked, so that
// a busy machine cannot change the result.
func shortSoak(t *testing.T, build func() (string, error), adjust func(*Options)) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	folder, err := build()
	require.NoError(t, err)
	for seed := uint64(1); seed <= soakSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o := Options{Programs: folder, Folder: filepath.Join(t.TempDir(), "fleet"), Seed: seed,
				Cores: 3, Routers: 2, Servers: 3, Callers: 12, TroubleDuration: 8 * time.Second, SafetyOnly: true}
			adjust(&o)
			report, err := Run(context.Background(), o)
			require.NoError(t, err)
			require.Empty(t, report.Violations)
			require.NotZero(t, report.Requests[string(served)])
			require.NotZero(t, report.Changes)
			t.Logf("%v %v %v", report.Requests, report.Troubles, report.PeakMB)
		})
	}
}

// The programs are built with the race detector, whose reports are violations.
func TestSoak(t *testing.T) {
	shortSoak(t, buildRacePrograms, func(*Options) {})
}

// Crowds of clients that don't behave connect beside the other troubles.
func TestSoakWithCrowds(t *testing.T) {
	shortSoak(t, buildPrograms, func(o *Options) { o.Crowds = true })
}

// The same with the race detector. What it needs itself is several times the memory of the program, so memory is not checked.
func TestRacesUnderCrowds(t *testing.T) {
	shortSoak(t, buildRacePrograms, func(o *Options) { o.Crowds, o.UncheckedMemory = true, true })
}
