package soak

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A short soak: overlapping troubles on real processes, with invariant checks enabled. The programs are built with the race
// detector, whose reports are violations. Time bounds are not checked, so that a busy machine cannot change the result.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	folder, err := buildRacePrograms()
	require.NoError(t, err)
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			report, err := Run(context.Background(), Options{Programs: folder, Folder: filepath.Join(t.TempDir(), "fleet"), Seed: seed,
				Cores: 3, Routers: 2, Servers: 3, Callers: 12, TroubleDuration: 8 * time.Second, SafetyOnly: true})
			require.NoError(t, err)
			require.Empty(t, report.Violations)
			require.NotZero(t, report.Requests[string(served)])
			require.NotZero(t, report.Changes)
			t.Logf("%v %v", report.Requests, report.Troubles)
		})
	}
}
