package host

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/protocol"
)

// SIGHUP makes the seeds be read again; a signal that arrives while the file cannot be read has no effect.
func TestFollowSeeds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	changes := make(chan protocol.SeedsChanged, 4)
	reads := make(chan struct{}, 4)
	WatchSeeds(path, func() ([]string, error) {
		defer func() { reads <- struct{}{} }()
		raw, err := os.ReadFile(path)
		return []string{string(raw)}, err
	}, func(r protocol.SeedsChanged) { changes <- r })
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	<-reads
	require.Empty(t, changes)
	require.NoError(t, os.WriteFile(path, []byte("127.0.0.1:9"), 0o644))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, protocol.SeedsChanged{Seeds: []protocol.Peer{{Addr: "127.0.0.1:9"}}}, <-changes)
}
