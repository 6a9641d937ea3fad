package soak

import (
	"net"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/localfleet"
)

// serverWithoutFleet returns a server that is not part of a running fleet, and a scheduler for it.
func serverWithoutFleet(t *testing.T) (*scheduler, *server) {
	t.Helper()
	o := Options{Folder: filepath.Join(t.TempDir(), "fleet"), Seed: 1}
	c := newChecker(o)
	f := &fleet{links: localfleet.NewRelays(), checker: c, bounds: deploymentBounds}
	require.NoError(t, f.reserve())
	f.addMachine("core-1", controllerRole, 0) // without a process
	target := newServer(f, 0, plainService, 1)
	t.Cleanup(func() {
		target.crash()
		_ = f.reserved.Close()
	})
	return newScheduler(&soakRun{options: o, checker: c, fleet: f}), target
}

// Two concurrent troubles that crashed the same server both restart it. Exactly one starts the next incarnation, and neither
// reports a violation.
func TestConcurrentServerRestarts(t *testing.T) {
	s, target := serverWithoutFleet(t)
	require.NoError(t, target.start())
	for range 5 {
		target.crash()
		before := target.incarnations
		var both sync.WaitGroup
		for range 2 {
			both.Go(func() { s.restartServer(target) })
		}
		both.Wait()
		require.True(t, target.isRunning())
		require.Equal(t, before+1, target.incarnations)
		require.Empty(t, s.run.checker.violations)
	}
}

// A server whose address is in use cannot be restarted, which is reported as a violation.
func TestServerRestartWithAddressInUse(t *testing.T) {
	s, target := serverWithoutFleet(t)
	taken, err := net.Listen("tcp", target.bind)
	require.NoError(t, err)
	defer taken.Close()
	s.restartServer(target)
	require.False(t, target.isRunning())
	require.Len(t, s.run.checker.violations, 1)
}
