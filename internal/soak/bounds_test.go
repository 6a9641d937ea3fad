package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/platform/peer"
)

// programs builds the hosted programs, once for all tests.
var programs = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "tidedeck-soak-programs-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", folder+"/", "tidedeck/cmd/router", "tidedeck/cmd/controller").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return folder, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if folder, err := programs(); err == nil {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// small starts a small fleet under a configuration, and ends it with the test.
func small(t *testing.T, tune func(*peer.Configuration)) *soakRun {
	t.Helper()
	folder, err := programs()
	require.NoError(t, err)
	o := Options{Programs: folder, Folder: filepath.Join(t.TempDir(), "fleet"), Seed: 1, Cores: 3, Routers: 1, Servers: 2, Safety: true}
	j := newJudge(o)
	r, err := newRun(o, j)
	require.NoError(t, err)
	r.first = tune
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		for _, s := range r.servers {
			s.crash()
		}
		r.fleet.down()
		r.readInvariants()
		require.Empty(t, j.violations)
	})
	require.NoError(t, r.start(ctx))
	return r
}

// head writes a request's head that has so many bytes at the least.
func head(id string, bytes int) string {
	line := fmt.Sprintf("GET %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 20000\r\n", pathPlain, id, callersHost, peer.HeaderID, id, peer.HeaderLeft)
	return line + "X-Filler: " + strings.Repeat("x", bytes) + "\r\n\r\n"
}

// Heads as long and as slow as the configuration in force allows are read.
func TestHeadsWithinTheBounds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	r := small(t, func(c *peer.Configuration) {
		c.Limits.HeadBytes, c.Limits.HeadMs = 200<<10, 20_000
	})
	router := r.fleet.of(routerRole)[0]
	send := func(t *testing.T, text string, pause time.Duration) *http.Response {
		c, err := net.Dial("tcp", at(router.told, portIngress))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		half := len(text) / 2
		_, err = io.WriteString(c, text[:half])
		require.NoError(t, err)
		time.Sleep(pause)
		_, err = io.WriteString(c, text[half:])
		require.NoError(t, err)
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		return a
	}
	for _, c := range []struct {
		name  string
		bytes int
		pause time.Duration
	}{
		{"long", 150 << 10, 0},
		{"slow", 100, 11 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a := send(t, head(c.name, c.bytes), c.pause)
			require.Equal(t, http.StatusOK, a.StatusCode)
			require.NotEmpty(t, a.Header.Get(peer.HeaderSeal))
		})
	}
}

// alone lays out a router without a core, which is not started yet.
func alone(t *testing.T) (*fleet, *machine) {
	t.Helper()
	folder, err := programs()
	require.NoError(t, err)
	o := Options{Programs: folder, Folder: filepath.Join(t.TempDir(), "fleet"), Routers: 1, Safety: true}
	f, err := newFleet(o, newJudge(o))
	require.NoError(t, err)
	t.Cleanup(f.down)
	return f, f.of(routerRole)[0]
}

// Many long bodies at once are no reason to use more memory than the machine has: those that there is no room for
// are told to come back. The router knows no configuration yet, so that all wait.
func TestLongBodiesWithinMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, router := alone(t)
	require.NoError(t, f.open(router))
	require.NoError(t, f.start(router))
	const callers, bytes = 120, 4<<20 - 1
	body := strings.Repeat("x", bytes)
	require.NoError(t, until(context.Background(), startWait, "the router listens", func() bool {
		c, err := net.Dial("tcp", at(router.bind, portIngress))
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}))
	status := make(chan int, callers)
	for i := range callers {
		go func() {
			c, err := net.Dial("tcp", at(router.told, portIngress))
			if err != nil {
				status <- 0
				return
			}
			defer c.Close()
			_, _ = fmt.Fprintf(c, "POST /i/x HTTP/1.1\r\nHost: %s\r\n%s: b%d\r\n%s: 8000\r\nContent-Length: %d\r\n\r\n", callersHost, peer.HeaderID, i, peer.HeaderLeft, bytes)
			go func() { _, _ = io.WriteString(c, body) }()
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				status <- 0
				return
			}
			status <- a.StatusCode
		}()
	}
	for range callers {
		require.Equal(t, http.StatusServiceUnavailable, <-status)
	}
	require.LessOrEqual(t, router.peak()>>10, memoryMb, "MB of the router at its peak")
	require.Empty(t, f.judge.violations)
}

// A process that is told that its settings have changed while it is only starting goes on starting. The settings are
// a pipe here, so that it is known to wait for them.
func TestReloadWhileStarting(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, router := alone(t)
	require.NoError(t, os.MkdirAll(router.folder, 0o755))
	path, err := f.settings(router)
	require.NoError(t, err)
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.Remove(path))
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	require.NoError(t, f.launch(router, path))
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // until the process has it open
	require.NoError(t, err)
	router.signal(syscall.SIGHUP, false)
	_, err = pipe.Write(raw)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	require.NoError(t, until(context.Background(), startWait, "the router listens", func() bool {
		c, err := net.Dial("tcp", at(router.bind, portReadiness))
		if err == nil {
			_ = c.Close()
		}
		return err == nil || len(f.judge.violations) > 0
	}))
	require.Empty(t, f.judge.violations)
}
