package soak

import (
	"net"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/localfleet"
)

// loneServer is a server of the soak's own without a fleet around it.
func loneServer(t *testing.T) (*troubles, *server) {
	t.Helper()
	o := Options{Folder: filepath.Join(t.TempDir(), "fleet"), Seed: 1}
	j := newJudge(o)
	f := &fleet{links: localfleet.NewRelays(), judge: j, bounds: bounds}
	require.NoError(t, f.reserve())
	f.add("core-1", controllerRole, 0) // which no process runs
	s := newServer(f, 0, plainService, 1)
	t.Cleanup(func() {
		s.crash()
		_ = f.reserved.Close()
	})
	return newTroubles(&soakRun{options: o, judge: j, fleet: f}), s
}

// Two troubles that had the same server crash both begin its next life: one does, and neither is a violation.
func TestReviveBesideAnother(t *testing.T) {
	trouble, s := loneServer(t)
	require.NoError(t, s.begin())
	for range 5 {
		s.crash()
		lives := s.life
		var both sync.WaitGroup
		for range 2 {
			both.Go(func() { trouble.revive(s) })
		}
		both.Wait()
		require.True(t, s.alive())
		require.Equal(t, lives+1, s.life)
		require.Empty(t, trouble.run.judge.violations)
	}
}

// A server whose address another process has cannot start again, and that is told.
func TestReviveWithoutAnAddress(t *testing.T) {
	trouble, s := loneServer(t)
	taken, err := net.Listen("tcp", s.bind)
	require.NoError(t, err)
	defer taken.Close()
	trouble.revive(s)
	require.False(t, s.alive())
	require.Len(t, trouble.run.judge.violations, 1)
}
