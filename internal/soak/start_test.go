package soak

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStartThatFailsLeavesNoServerListening(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	folder, err := programs()
	require.NoError(t, err)
	o := Options{Programs: folder, Folder: filepath.Join(t.TempDir(), "fleet"), Seed: 9, Cores: 3, Routers: 1, Servers: 2, Callers: 1, Length: time.Second, Safety: true}
	r, err := newRun(o, newJudge(o))
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err = r.play(ctx, nil)
	require.Error(t, err, "nothing comes up once the run is called off")
	require.NotEmpty(t, r.servers)
	for _, s := range r.servers {
		require.False(t, s.up, "%s listens at %s", s.name, s.bind)
	}
}
