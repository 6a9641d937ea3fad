package soak

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A run whose start fails must close the listeners of the servers that it has already started.
func TestStartThatFailsLeavesNoServerListening(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	folder, err := buildPrograms()
	require.NoError(t, err)
	o := Options{Programs: folder, Folder: filepath.Join(t.TempDir(), "fleet"), Seed: 9, Cores: 3, Routers: 1, Servers: 2, Callers: 1, TroubleDuration: time.Second, SafetyOnly: true}
	r, err := newRun(o, newChecker(o))
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err = r.execute(ctx, nil)
	require.Error(t, err, "a cancelled run must not start")
	require.NotEmpty(t, r.servers)
	for _, s := range r.servers {
		require.False(t, s.running, "%s still listens at %s", s.name, s.bind)
	}
}
