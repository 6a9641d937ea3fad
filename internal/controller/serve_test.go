package controller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/protocol"
)

// The operators' HTTP interface of a single-node core on a real disk: invalid input changes nothing and is answered
// with the kind and the paths of its faults; an accepted plan is read back byte for byte.
func TestAdminAPI(t *testing.T) {
	dir := t.TempDir()
	v := protocol.Desired{Gen: 1, Epoch: 1, Plan: []byte(onePlan), VoterSet: 1, Voters: []protocol.Voter{voter("a", 5)}}
	core := New(Options{Self: protocol.Peer{ID: "a", Addr: "a"}, Inc: 6, Platform: "127.0.0.1:1", Rand: host.NewRand()})
	d := &adminServer{}
	// A single-node core sends messages only to itself, so they are fed back as input.
	loop := &loopback{core: core}
	d.process = host.New(host.Options{Core: loop, TickInterval: time.Millisecond, Log: host.NewLog("a", io.Discard), DataDir: dir, HandleOutput: d.handleOutput})
	loop.disk = map[string][]byte{keyIncarnation: []byte("5"), keyAccepted: marshal(storedAccept{protocol.Ballot{N: 1, By: "a"}, &v}), keyPromised: marshal(protocol.Ballot{N: 1, By: "a"})}
	require.NoError(t, d.process.Run())
	t.Cleanup(d.process.Stop)
	s := httptest.NewServer(d.routes(core))
	t.Cleanup(s.Close)
	do := func(how, path, expect, body string) (int, string) {
		q, err := http.NewRequestWithContext(context.Background(), how, s.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		if expect != "" {
			q.Header.Set("X-Expect-Epoch", expect)
		}
		w, err := http.DefaultClient.Do(q)
		require.NoError(t, err)
		defer w.Body.Close()
		b, _ := io.ReadAll(w.Body)
		return w.StatusCode, string(b)
	}
	ready := make(chan struct{})
	go func() {
		for {
			if c, _ := do("GET", "/ready", "", ""); c == 200 {
				close(ready)
				return
			}
		}
	}()
	<-ready
	odd := strings.Replace(onePlan, `"p"`, `"odd"`, 1) + "\n\t "
	for _, c := range []struct {
		name, how, path, expect, body string
		code                          int
		has                           string
	}{
		{"no epoch", "PUT", "/plan", "", onePlan, 400, "X-Expect-Epoch"},
		{"epoch no number", "PUT", "/plan", "one", onePlan, 400, "X-Expect-Epoch"},
		{"epoch overflows", "PUT", "/plan", "99999999999999999999", onePlan, 400, "X-Expect-Epoch"},
		{"stale epoch", "PUT", "/plan", "0", onePlan, 409, `"epoch":1`},
		{"malformed", "PUT", "/plan", "1", `{`, 422, "malformed JSON"},
		{"every faulty path", "PUT", "/plan", "1", strings.Replace(onePlan, `"size":4`, `"size":-4,"sze":1`, 2), 422, "$.models.n.sze"},
		{"oversize", "PUT", "/plan", "1", strings.Repeat(" ", fleetplan.MaxPlanBytes+1), 413, "oversize"},
		{"patch that is no JSON", "PATCH", "/plan", "1", `{"a"`, 400, "malformed"},
		{"no such method", "DELETE", "/plan", "", "", 405, ""},
		{"no such path", "GET", "/plans", "", "", 404, ""},
		{"bad calendar", "PUT", "/windows", "any", "hello", 422, "iCalendar"},
		{"nothing changed so far", "GET", "/plan", "", "", 200, onePlan},
		{"taken", "PUT", "/plan", "1", odd, 200, `"epoch":2`},
		{"read back", "GET", "/plan", "", "", 200, odd},
		{"empty a zone", "POST", "/zones/z/empty", "2", "", 200, `"empty":["z"]`},
		{"the plan's bytes are the same", "GET", "/plan", "", "", 200, odd},
		{"status", "GET", "/status", "", "", 200, `"epoch":3`},
		{"nodes", "GET", "/nodes", "", "", 200, `"voters"`},
		{"replacement by an unknown node", "POST", "/core/replace/a/b", "", "", 503, "not_ready"},
		{"form where a core is", "POST", "/core/form", "", "", 409, "conflict"},
		{"metrics", "GET", "/metrics", "", "", 200, "tidedeck_controller_changes_total 2"},
		{"live", "GET", "/live", "", "", 200, "true"},
	} {
		code, body := do(c.how, c.path, c.expect, c.body)
		require.Equal(t, c.code, code, "%s: %s", c.name, body)
		if c.path == "/plan" && c.how == "GET" {
			require.Equal(t, c.has, body, c.name)
		} else {
			require.Contains(t, body, c.has, c.name)
		}
	}
}

// loopback feeds the messages of a single-node core back to it.
type loopback struct {
	core *Core
	disk map[string][]byte
}

// Step runs a step of the core and of every message that it sends to itself, and returns the other outputs.
func (e *loopback) Step(now clock.Instant, in any) (out []any) {
	if s, ok := in.(protocol.Start); ok && len(s.Disk) == 0 {
		in = protocol.Start{Disk: e.disk}
	}
	q := []any{in}
	for len(q) > 0 {
		l := e.core.Step(now, q[0])
		q = q[1:]
		for _, o := range l {
			if m, ok := o.(protocol.Envelope); ok {
				q = append(q, m)
			} else {
				out = append(out, o)
			}
		}
	}
	return out
}

// Check reports every fault in the settings at once.
func TestSettings(t *testing.T) {
	s := Settings{ID: "a", Zone: "z", Listen: "127.0.0.1:1", Admin: "127.0.0.1:2", Platform: "127.0.0.1:3", Seeds: []string{"127.0.0.1:1", "127.0.0.1:4", "127.0.0.1:5"},
		HoldMs: 2000, DutyMs: 1200, SpareMs: 6000, LeadMs: 60000}
	require.Empty(t, s.Check())
	s.Listen, s.Seeds, s.HoldMs = "here", s.Seeds[:2], -1
	var paths []string
	for _, f := range s.Check() {
		paths = append(paths, f.Path)
	}
	require.Equal(t, []string{"listen", "seeds", "hold-ms"}, paths, fmt.Sprint(s.Check()))
}
