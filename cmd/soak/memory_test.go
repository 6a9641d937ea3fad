package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/soak"
)

// writeSamples writes one CSV line per sample, and returns an error if it cannot create the file.
func TestWriteSamples(t *testing.T) {
	path := filepath.Join(t.TempDir(), "memory.csv")
	require.NoError(t, writeSamples(path, []soak.MemorySample{{At: 2e9, Machine: "core-1", Process: 7, PeakMB: 20, ResidentMB: 19.5, Changes: 3}}))
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	require.Equal(t, []string{"seconds,machine,process,peak_mb,resident_mb,changes", "2.0,core-1,7,20.00,19.50,3"}, lines)
	require.Error(t, writeSamples(filepath.Join(path, "none"), nil))
}
