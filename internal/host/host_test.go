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

func keep(t *testing.T, dir string, puts ...protocol.Save) (map[string][]byte, bool) {
	t.Helper()
	d, m, harm, err := openDisk(dir, func(err error) { t.Error(err) })
	require.NoError(t, err)
	done := make(chan protocol.Saved, len(puts))
	d.done = func(s protocol.Saved) { done <- s }
	end := make(chan struct{})
	go func() { d.run(); close(end) }()
	for _, p := range puts {
		d.put(p)
	}
	for _, p := range puts {
		require.Equal(t, p.Token, (<-done).Token, "in the order asked")
	}
	d.close()
	<-end
	return m, harm
}

// What was said to be saved is there again; a damaged store is set aside whole, not half read.
func TestDisk(t *testing.T) {
	dir := t.TempDir()
	m, harm := keep(t, dir, protocol.Save{Token: 1, Puts: map[string][]byte{"a": []byte("1"), "b": []byte("2")}}, protocol.Save{Token: 2, Puts: map[string][]byte{"a": []byte("3")}})
	require.Empty(t, m)
	require.False(t, harm)
	m, harm = keep(t, dir)
	require.False(t, harm)
	require.Equal(t, map[string][]byte{"a": []byte("3"), "b": []byte("2")}, m)
	l, err := filepath.Glob(filepath.Join(dir, "state", "*"))
	require.NoError(t, err)
	for _, f := range l {
		if s := filepath.Ext(f); s == ".log" || s == ".ldb" {
			b, err := os.ReadFile(f)
			require.NoError(t, err)
			if len(b) > 8 {
				b[len(b)/2] ^= 0xff
				require.NoError(t, os.WriteFile(f, b, 0o644))
			}
		}
	}
	m, harm = keep(t, dir, protocol.Save{Token: 9, Puts: map[string][]byte{"c": []byte("4")}})
	require.True(t, harm)
	require.Empty(t, m)
	side, err := filepath.Glob(filepath.Join(dir, "state.damaged-*"))
	require.NoError(t, err)
	require.Len(t, side, 1)
	m, _ = keep(t, dir)
	require.Equal(t, map[string][]byte{"c": []byte("4")}, m)
}

func TestAddresses(t *testing.T) {
	for s, ok := range map[string]bool{"127.0.0.1:80": true, "[::1]:80": true, "localhost:80": false, "127.0.0.1": false, "127.0.0.1:0": false, "127.0.0.1:65536": false, "1.2.3:4": false, "": false} {
		require.Equal(t, ok, len(Addr("x", s)) == 0, s)
	}
	require.Empty(t, Seeds([]string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}))
	require.Len(t, Seeds([]string{"127.0.0.1:1", "127.0.0.1:1"}), 2)
}

// The ring keeps the last lines and writes them out only when something goes wrong.
func TestRing(t *testing.T) {
	var b bytes.Buffer
	r := NewRing("me", &b)
	for i := range 600 {
		r.Info(fmt.Sprint("line-", i, "."))
	}
	require.Zero(t, b.Len())
	r.Oops("it broke")
	require.NotContains(t, b.String(), "line-88.")
	require.Contains(t, b.String(), "line-89.")
	require.Contains(t, b.String(), "it broke")
}

// Every kind of error has an answer, and what may have run is never called a drop.
func TestErrors(t *testing.T) {
	for k, a := range failure.Receipts {
		w := httptest.NewRecorder()
		Error(w, k, 0, nil)
		require.Equal(t, a.Status, w.Code)
		require.Contains(t, w.Body.String(), string(k))
		require.Equal(t, a.Back > 0, w.Header().Get("Retry-After") != "", k)
		require.Equal(t, k != failure.Unclear && k != failure.Cut && k != failure.Repeated, a.Dropped, k)
	}
}

type counts struct {
	Goes uint64
	Open int
	By   map[failure.Kind]uint64
}

func TestMetrics(t *testing.T) {
	w := httptest.NewRecorder()
	h := Metrics(Tallies{Name: "x", Get: func() any { return counts{3, 4, map[failure.Kind]uint64{failure.Full: 5}} }})
	h.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	for _, l := range []string{"tidedeck_x_goes_total 3", "tidedeck_x_open 4", `tidedeck_x_by_total{kind="full"} 5`} {
		require.True(t, strings.Contains(w.Body.String(), l), l)
	}
}
