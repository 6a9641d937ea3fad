package host

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/failure"
	"tidedeck/internal/protocol"
)

func saveToDisk(t *testing.T, dir string, puts ...protocol.Save) (map[string][]byte, bool) {
	t.Helper()
	opened, values, damaged, err := openDisk(dir, func(err error) { t.Error(err) })
	require.NoError(t, err)
	saved := make(chan protocol.Saved, len(puts))
	opened.onSaved = func(s protocol.Saved) { saved <- s }
	done := make(chan struct{})
	go func() { opened.run(); close(done) }()
	for _, save := range puts {
		opened.put(save)
	}
	for _, save := range puts {
		require.Equal(t, save.Token, (<-saved).Token, "in the order requested")
	}
	opened.close()
	<-done
	return values, damaged
}

// Confirmed data is found again, and a damaged store is set aside as a whole instead of being read in part.
func TestDisk(t *testing.T) {
	dir := t.TempDir()
	values, damaged := saveToDisk(t, dir, protocol.Save{Token: 1, Puts: map[string][]byte{"a": []byte("1"), "b": []byte("2")}}, protocol.Save{Token: 2, Puts: map[string][]byte{"a": []byte("3")}})
	require.Empty(t, values)
	require.False(t, damaged)
	values, damaged = saveToDisk(t, dir)
	require.False(t, damaged)
	require.Equal(t, map[string][]byte{"a": []byte("3"), "b": []byte("2")}, values)
	files, err := filepath.Glob(filepath.Join(dir, "state", "*"))
	require.NoError(t, err)
	for _, file := range files {
		if s := filepath.Ext(file); s == ".log" || s == ".ldb" {
			b, err := os.ReadFile(file)
			require.NoError(t, err)
			if len(b) > 8 {
				b[len(b)/2] ^= 0xff
				require.NoError(t, os.WriteFile(file, b, 0o644))
			}
		}
	}
	values, damaged = saveToDisk(t, dir, protocol.Save{Token: 9, Puts: map[string][]byte{"c": []byte("4")}})
	require.True(t, damaged)
	require.Empty(t, values)
	setAside, err := filepath.Glob(filepath.Join(dir, "state.damaged-*"))
	require.NoError(t, err)
	require.Len(t, setAside, 1)
	values, _ = saveToDisk(t, dir)
	require.Equal(t, map[string][]byte{"c": []byte("4")}, values)
}

func TestAddresses(t *testing.T) {
	for addr, ok := range map[string]bool{"127.0.0.1:80": true, "[::1]:80": true, "localhost:80": false, "127.0.0.1": false, "127.0.0.1:0": false, "127.0.0.1:65536": false, "1.2.3:4": false, "": false} {
		require.Equal(t, ok, len(CheckAddr("x", addr)) == 0, addr)
	}
	require.Empty(t, CheckSeeds([]string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}))
	require.Len(t, CheckSeeds([]string{"127.0.0.1:1", "127.0.0.1:1"}), 2)
}

// The ring keeps the most recent lines and writes them out only on an error.
func TestRing(t *testing.T) {
	var out bytes.Buffer
	ring := NewLog("me", &out)
	for i := range 600 {
		ring.Info(fmt.Sprint("line-", i, "."))
	}
	require.Zero(t, out.Len())
	ring.ErrorWithDump("it broke")
	require.NotContains(t, out.String(), "line-88.")
	require.Contains(t, out.String(), "line-89.")
	require.Contains(t, out.String(), "it broke")
}

// Every error kind has a response, and a request that may have been executed is never reported as not executed.
func TestErrors(t *testing.T) {
	for kind, response := range failure.Responses {
		w := httptest.NewRecorder()
		WriteError(w, kind, 0, nil)
		require.Equal(t, response.Status, w.Code)
		require.Contains(t, w.Body.String(), string(kind))
		require.Equal(t, response.RetryAfter > 0, w.Header().Get("Retry-After") != "", kind)
		require.Equal(t, kind != failure.Unclear && kind != failure.Cut && kind != failure.Repeated, response.NotExecuted, kind)
	}
}

type testCounts struct {
	Goes uint64
	Open int
	By   map[failure.Kind]uint64
}

func TestMetrics(t *testing.T) {
	w := httptest.NewRecorder()
	handler := MetricsHandler(StructMetrics{Name: "x", Read: func() any { return testCounts{3, 4, map[failure.Kind]uint64{failure.Full: 5}} }})
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	for _, line := range []string{"tidedeck_x_goes_total 3", "tidedeck_x_open 4", `tidedeck_x_by_total{kind="full"} 5`} {
		require.True(t, strings.Contains(w.Body.String(), line), line)
	}
}
