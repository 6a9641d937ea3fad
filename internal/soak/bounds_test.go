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

// programFolders holds the folders of built programs, which are removed after all tests.
var programFolders []string

// buildPrograms builds the hosted programs once for all tests, and buildRacePrograms builds them with the race detector.
var (
	buildPrograms     = sync.OnceValues(func() (string, error) { return buildWith() })
	buildRacePrograms = sync.OnceValues(func() (string, error) { return buildWith("-race") })
)

// buildWith builds the hosted programs with additional flags of go build.
func buildWith(flags ...string) (string, error) {
	folder, err := os.MkdirTemp("", "tidedeck-soak-programs-")
	if err != nil {
		return "", err
	}
	programFolders = append(programFolders, folder)
	arguments := append([]string{"build", "-o", folder + "/"}, flags...)
	out, err := exec.Command("go", append(arguments, "tidedeck/cmd/router", "tidedeck/cmd/controller")...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return folder, nil
}

func TestMain(m *testing.M) {
	code := m.Run()
	for _, folder := range programFolders {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// startSmallFleet starts a small fleet with an adjusted first configuration, and stops it when the test ends.
func startSmallFleet(t *testing.T, tune func(*peer.Configuration)) *soakRun {
	t.Helper()
	return startFleet(t, Options{Seed: 1, Cores: 3, Routers: 1, Servers: 2}, func(r *soakRun) { r.tuneFirst = tune })
}

// startFleet starts a fleet for a test, which adjusts it first, and stops it when the test ends. Violations fail the test.
func startFleet(t *testing.T, o Options, adjust func(*soakRun)) *soakRun {
	t.Helper()
	folder, err := buildPrograms()
	require.NoError(t, err)
	o.Programs, o.Folder, o.SafetyOnly = folder, filepath.Join(t.TempDir(), "fleet"), true
	c := newChecker(o)
	r, err := newRun(o, c)
	require.NoError(t, err)
	adjust(r)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		r.crashServers()
		r.fleet.killAll()
		r.readInvariants()
		require.Empty(t, c.violations)
	})
	require.NoError(t, r.start(ctx, nil))
	return r
}

// requestHead returns a request head of at least the given size.
func requestHead(id string, bytes int) string {
	line := fmt.Sprintf("GET %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 20000\r\n", pathPlain, id, requestHost, peer.HeaderID, id, peer.HeaderRemaining)
	return line + "X-Filler: " + strings.Repeat("x", bytes) + "\r\n\r\n"
}

// A router accepts request heads as long and as slow as the configuration in force allows.
func TestHeadsWithinTheBounds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	r := startSmallFleet(t, func(c *peer.Configuration) {
		c.Limits.HeadBytes, c.Limits.HeadMs = 200<<10, 20_000
	})
	router := r.fleet.withRole(routerRole)[0]
	send := func(t *testing.T, text string, pause time.Duration) *http.Response {
		c, err := net.Dial("tcp", hostPort(router.advertisedIP, portIngress))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		half := len(text) / 2
		_, err = io.WriteString(c, text[:half])
		require.NoError(t, err)
		time.Sleep(pause)
		_, err = io.WriteString(c, text[half:])
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		return response
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
			response := send(t, requestHead(c.name, c.bytes), c.pause)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.NotEmpty(t, response.Header.Get(peer.HeaderSeal))
		})
	}
}

// routerWithoutCore returns a fleet with one router and no core nodes. The router is not started yet.
func routerWithoutCore(t *testing.T) (*fleet, *machine) {
	t.Helper()
	folder, err := buildPrograms()
	require.NoError(t, err)
	o := Options{Programs: folder, Folder: filepath.Join(t.TempDir(), "fleet"), Routers: 1, SafetyOnly: true}
	f, err := newFleet(o, newChecker(o))
	require.NoError(t, err)
	t.Cleanup(f.killAll)
	return f, f.withRole(routerRole)[0]
}

// Many concurrent long bodies must not make the router exceed the memory of its machine. Requests without room for their
// bodies are answered with status 503. The router has no configuration yet, so all requests wait.
func TestLongBodiesWithinMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, router := routerWithoutCore(t)
	require.NoError(t, f.openLinks(router))
	require.NoError(t, f.start(router))
	const callers, bytes = 120, 4<<20 - 1
	body := strings.Repeat("x", bytes)
	require.NoError(t, waitUntil(context.Background(), startTimeout, "the router listens", func() bool {
		c, err := net.Dial("tcp", hostPort(router.bindIP, portIngress))
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}))
	status := make(chan int, callers)
	for i := range callers {
		go func() {
			c, err := net.Dial("tcp", hostPort(router.advertisedIP, portIngress))
			if err != nil {
				status <- 0
				return
			}
			defer c.Close()
			_, _ = fmt.Fprintf(c, "POST /i/x HTTP/1.1\r\nHost: %s\r\n%s: b%d\r\n%s: 8000\r\nContent-Length: %d\r\n\r\n", requestHost, peer.HeaderID, i, peer.HeaderRemaining, bytes)
			go func() { _, _ = io.WriteString(c, body) }()
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				status <- 0
				return
			}
			status <- response.StatusCode
		}()
	}
	for range callers {
		require.Equal(t, http.StatusServiceUnavailable, <-status)
	}
	require.LessOrEqual(t, router.peakMemory()>>10, memoryMb, "peak memory of the router in MB")
	require.Empty(t, f.checker.violations)
}

// A process that receives SIGHUP while it starts must continue to start. The settings file is a named pipe, which keeps the
// process waiting for its settings when the signal arrives.
func TestReloadWhileStarting(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, router := routerWithoutCore(t)
	require.NoError(t, os.MkdirAll(router.folder, 0o755))
	path, err := f.writeSettings(router)
	require.NoError(t, err)
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.Remove(path))
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	require.NoError(t, f.launch(router, path))
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the process has opened the pipe
	require.NoError(t, err)
	router.signal(syscall.SIGHUP, false)
	_, err = pipe.Write(raw)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	require.NoError(t, waitUntil(context.Background(), startTimeout, "the router listens", func() bool {
		c, err := net.Dial("tcp", hostPort(router.bindIP, portReadiness))
		if err == nil {
			_ = c.Close()
		}
		return err == nil || len(f.checker.violations) > 0
	}))
	require.Empty(t, f.checker.violations)
}
