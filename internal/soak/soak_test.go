package soak

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The short form of the soak: some troubles at a time on real processes, with the invariants on. What is bounded in
// time is left out, so that a busy machine changes no verdict.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	folder, err := programs()
	require.NoError(t, err)
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			report, err := Run(context.Background(), Options{Programs: folder, Folder: filepath.Join(t.TempDir(), "fleet"), Seed: seed,
				Cores: 3, Routers: 2, Servers: 3, Callers: 12, Length: 8 * time.Second, Safety: true})
			require.NoError(t, err)
			require.Empty(t, report.Violations)
			require.NotZero(t, report.Requests[string(served)])
			require.NotZero(t, report.Changes)
			t.Logf("%v %v", report.Requests, report.Troubles)
		})
	}
}
