package router

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/protocol"
)

// newTestFrontend creates a router's HTTP interface with a session, a plan and an entry with one server.
func newTestFrontend(t testing.TB, server string, idle time.Duration) (*frontend, *httptest.Server) {
	core := New(Options{Inc: 7})
	d := &frontend{dialer: host.Dialer("", time.Second), core: core, stop: make(chan struct{}), idleTimeout: idle}
	d.log = NewRequestLog("t", nil, 16)
	d.process = host.New(host.Options{Core: core, TickInterval: 10 * time.Millisecond, Log: host.NewLog("t", io.Discard), HandleOutput: d.log.Intercept(d.Deliver)})
	require.NoError(t, d.process.Run())
	t.Cleanup(d.process.Stop)
	e := &protocol.Entry{Key: "m", Digest: 1, Replicas: []protocol.Replica{{Server: "s", Addr: strings.TrimPrefix(server, "http://"), Incarnation: 1, Slots: 8, ReadyFor: 1e12}}}
	d.process.Step(protocol.Envelope{Body: protocol.RouterLease{Session: testSession, Until: host.Now().Add(time.Hour), Routers: 1}})
	d.process.Step(protocol.Envelope{Body: protocol.Updates{Session: testSession, Items: []protocol.Update{{Num: 1, Desired: &protocol.Desired{Gen: 1, Epoch: 1, Plan: []byte(testPlan)}}, {Num: 2, Entry: e}}}})
	s := httptest.NewServer(d.routes())
	t.Cleanup(s.Close)
	return d, s
}

func decodeBody(r *http.Request, v any) error { return json.NewDecoder(r.Body).Decode(v) }

const testCall = `{"id":"1","model":"m","kind":"k","max_tokens":2}`

func post(t *testing.T, url, body string) (int, http.Header, string) {
	w, err := http.Post(url, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer w.Body.Close()
	b, _ := io.ReadAll(w.Body)
	return w.StatusCode, w.Header, string(b)
}

// Invalid requests are answered at once with their failure kind, and as not run.
func TestInvalidRequests(t *testing.T) {
	_, s := newTestFrontend(t, "http://127.0.0.1:1", time.Second)
	for _, c := range []struct {
		name, path, body string
		code             int
		kind             failure.Kind
	}{
		{"not JSON", "/r", `{`, 400, failure.Malformed},
		{"unknown key", "/r", `{"id":"1","model":"m","kind":"k","x":1}`, 400, failure.Malformed},
		{"duplicate key", "/r", `{"id":"1","id":"2","model":"m","kind":"k"}`, 400, failure.Malformed},
		{"overflowing", "/r", `{"id":"1","model":"m","kind":"k","max_tokens":9223372036854775808}`, 400, failure.Malformed},
		{"too large", "/r", `{"id":"` + strings.Repeat("x", fleetplan.MaxBodyBytes) + `"}`, 413, failure.Oversize},
		{"no such route", "/q", testCall, 404, failure.NoRoute},
		{"no such model", "/r", strings.Replace(testCall, `"m"`, `"z"`, 1), 404, failure.NoModel},
		{"no such adapter", "/r", strings.Replace(testCall, `"kind"`, `"adapter":"z","kind"`, 1), 404, failure.NoModel},
		{"no such kind", "/r", strings.Replace(testCall, `"k"`, `"z"`, 1), 400, failure.NoKind},
		{"past its horizon", "/r", strings.Replace(testCall, `"kind"`, `"horizon_ms":0,"kind"`, 1), 400, failure.PastDue},
		{"repeat without retry allowance", "/r", strings.Replace(testCall, `"kind"`, `"repeat":true,"kind"`, 1), 503, failure.AllowanceSpent},
	} {
		code, head, body := post(t, s.URL+c.path, c.body)
		require.Equal(t, c.code, code, c.name)
		require.Contains(t, body, fmt.Sprintf(`"kind":%q`, c.kind), c.name)
		require.Contains(t, body, `"dropped":true`, c.name)
		require.Equal(t, code == 503, head.Get("Retry-After") != "", c.name)
	}
	w, err := http.Get(s.URL + "/r")
	require.NoError(t, err)
	_ = w.Body.Close()
	require.Equal(t, http.StatusMethodNotAllowed, w.StatusCode)
}

// For each behavior of a server: what the client and the server observe. No layer below the router's ledger sends
// a request twice.
func TestStreams(t *testing.T) {
	line := func(w http.ResponseWriter, r *http.Request, n int, more string) {
		var g protocol.ServerRequest
		if n == 0 {
			_ = decodeBody(r, &g)
			w.Header().Set("X-Go", g.AttemptID)
		}
		_, _ = fmt.Fprintf(w, "data: {\"n\":%d,\"go\":%q,\"server\":\"s\"%s}\n\n", n, w.Header().Get("X-Go"), more)
		w.(http.Flusher).Flush()
	}
	for _, c := range []struct {
		name     string
		serve    func(w http.ResponseWriter, r *http.Request)
		code     int
		contains string
		excludes string
		requests int64
	}{
		{"complete", func(w http.ResponseWriter, r *http.Request) {
			line(w, r, 0, "")
			line(w, r, 1, "")
			line(w, r, 2, `,"done":true`)
		}, 200, `"done":true`, "event: error", 1},
		{"connection aborted", func(w http.ResponseWriter, r *http.Request) {
			line(w, r, 0, "")
			panic(http.ErrAbortHandler)
		}, 200, "event: error\ndata: {\"kind\":\"cut\",\"dropped\":false}", "done", 1},
		{"skips an event", func(w http.ResponseWriter, r *http.Request) {
			line(w, r, 0, "")
			line(w, r, 2, `,"done":true`)
		}, 200, `"kind":"cut"`, "done", 1},
		{"event too large", func(w http.ResponseWriter, r *http.Request) {
			line(w, r, 0, "")
			line(w, r, 1, `,"text":"`+strings.Repeat("x", maxEventBytes)+`"`)
		}, 200, `"kind":"cut"`, "xxx", 1},
		{"not JSON", func(w http.ResponseWriter, r *http.Request) {
			line(w, r, 0, "")
			_, _ = io.WriteString(w, "data: {\"n\":1,\n\n")
		}, 200, `"kind":"cut"`, "done", 1},
		{"event of another attempt", func(w http.ResponseWriter, r *http.Request) {
			line(w, r, 0, "")
			_, _ = io.WriteString(w, "data: {\"n\":1,\"go\":\"another\",\"server\":\"s\",\"done\":true}\n\n")
		}, 200, `"kind":"cut"`, "done", 1},
		{"repeats an event", func(w http.ResponseWriter, r *http.Request) {
			line(w, r, 0, "")
			line(w, r, 0, "")
		}, 200, `"kind":"cut"`, "done", 1},
		{"event after the end", func(w http.ResponseWriter, r *http.Request) {
			line(w, r, 0, `,"done":true`)
			line(w, r, 1, `,"text":"late"`)
		}, 200, `"done":true`, "late", 1},
		{"already run", func(w http.ResponseWriter, r *http.Request) { host.WriteError(w, failure.Repeated, 0, nil) }, 409, `"kind":"repeated","dropped":false`, "data:", 1},
		{"silent", func(w http.ResponseWriter, r *http.Request) {
			line(w, r, 0, "")
			<-r.Context().Done()
		}, 200, `"kind":"cut"`, "done", 1},
		{"ends before its first event", func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }, 502, `"kind":"unclear","dropped":false`, "data:", 1},
		{"fails without a problem body", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(500) }, 502, `"kind":"unclear"`, "data:", 1},
		{"not run", func(w http.ResponseWriter, r *http.Request) { host.WriteError(w, failure.Busy, 0, nil) }, 503, `"kind":"allowance_spent","dropped":true`, "data:", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var requests atomic.Int64
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				c.serve(w, r)
			}))
			t.Cleanup(backend.Close)
			_, s := newTestFrontend(t, backend.URL, 200*time.Millisecond)
			code, _, body := post(t, s.URL+"/r", testCall)
			require.Equal(t, c.code, code, body)
			require.Contains(t, body, c.contains)
			require.NotContains(t, body, c.excludes)
			require.Equal(t, c.requests, requests.Load())
		})
	}
}

// When a client disconnects, its request is canceled at the server, too.
func TestClientDisconnects(t *testing.T) {
	gone := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var g protocol.ServerRequest
		_ = decodeBody(r, &g)
		_, _ = fmt.Fprintf(w, "data: {\"n\":0,\"go\":%q,\"server\":\"s\"}\n\n", g.AttemptID)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(gone)
	}))
	t.Cleanup(backend.Close)
	d, s := newTestFrontend(t, backend.URL, time.Minute)
	ctx, leave := context.WithCancel(context.Background())
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/r", strings.NewReader(testCall))
	require.NoError(t, err)
	w, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer w.Body.Close()
	_, err = bufio.NewReader(w.Body).ReadString('\n')
	require.NoError(t, err)
	leave()
	<-gone
	s.Close() // waits for the router's handler
	d.process.Locked(func(clock.Instant) {
		require.Zero(t, d.core.servers["s"].inFlight)
		require.Empty(t, d.core.requests)
	})
}

// A client that closes its sending side is disconnected and does not receive a complete response.
func TestHalfClosedClientDisconnected(t *testing.T) {
	for _, begun := range []bool{false, true} {
		reached := make(chan struct{})
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var g protocol.ServerRequest
			_ = decodeBody(r, &g)
			if begun {
				_, _ = fmt.Fprintf(w, "data: {\"n\":0,\"go\":%q,\"server\":\"s\"}\n\n", g.AttemptID)
				w.(http.Flusher).Flush()
			}
			close(reached)
			<-r.Context().Done()
		}))
		t.Cleanup(backend.Close)
		_, s := newTestFrontend(t, backend.URL, time.Minute)
		c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		_, err = fmt.Fprintf(c, "POST /r HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(testCall), testCall)
		require.NoError(t, err)
		<-reached
		br := bufio.NewReader(c)
		var a *http.Response
		if begun {
			a, err = http.ReadResponse(br, nil)
			require.NoError(t, err)
		}
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		if begun {
			_, err = io.ReadAll(a.Body)
		} else {
			_, err = http.ReadResponse(br, nil)
		}
		require.Error(t, err)
	}
}

// BenchmarkCachedEntry measures the core's part of a request whose entry is cached: routing, the check before sending, and
// the end.
func BenchmarkCachedEntry(b *testing.B) {
	b.ReportAllocs()
	c := New(Options{Inc: 7})
	c.Step(1e9, protocol.Envelope{Body: protocol.RouterLease{Session: testSession, Until: 1e18, Routers: 1}})
	c.Step(1e9, protocol.Envelope{Body: protocol.Updates{Session: testSession, Items: []protocol.Update{{Num: 1, Desired: &protocol.Desired{Gen: 1, Epoch: 1, Plan: []byte(testPlan)}},
		{Num: 2, Entry: &protocol.Entry{Key: "m", Digest: 1, Replicas: []protocol.Replica{{Server: "s", Addr: "s", Incarnation: 1, Slots: 8, ReadyFor: 1e12}, {Server: "r", Addr: "r", Incarnation: 1, Slots: 8, ReadyFor: 1e12}}}}}}})
	x := fleetplan.Request{ID: "1", Model: "m", Kind: "k", Parts: []string{"system", "tenant"}, Repeatable: true}
	for i := range b.N {
		ref := Ref(i + 1)
		c.Step(2e9, Call{Ref: ref, Route: "/r", Request: x})
		c.MaySend(2e9, ref, 1)
		c.Step(2e9, Begun{ref, 1})
		c.Step(2e9, Ended{Ref: ref, N: 1, Outcome: Done})
	}
}

// BenchmarkRoundTrip compares requests sent directly to a server with requests through the router. Only the ratio is
// meaningful.
func BenchmarkRoundTrip(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var g protocol.ServerRequest
		_ = decodeBody(r, &g)
		for n := range 9 {
			_, _ = fmt.Fprintf(w, "data: {\"n\":%d,\"go\":%q,\"server\":\"s\",\"done\":%v}\n\n", n, g.AttemptID, n == 8)
			w.(http.Flusher).Flush()
		}
	}))
	defer backend.Close()
	_, s := newTestFrontend(b, backend.URL, time.Minute)
	h := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for name, url := range map[string]string{"direct": backend.URL + "/generate", "routed": s.URL + "/r"} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				w, err := h.Post(url, "application/json", strings.NewReader(testCall))
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, w.Body)
				_ = w.Body.Close()
			}
		})
	}
}

// A client that stops reading is disconnected, so that it neither occupies a slot of the server nor delays a
// planned stop.
func TestClientStopsReading(t *testing.T) {
	gone := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var g protocol.ServerRequest
		_ = decodeBody(r, &g)
		for n := 0; r.Context().Err() == nil; n++ {
			if _, err := fmt.Fprintf(w, "data: {\"n\":%d,\"go\":%q,\"server\":\"s\",\"text\":%q}\n\n", n, g.AttemptID, strings.Repeat("x", 100_000)); err != nil {
				break
			}
			w.(http.Flusher).Flush()
		}
		close(gone)
	}))
	t.Cleanup(backend.Close)
	d, s := newTestFrontend(t, backend.URL, 200*time.Millisecond)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	require.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /r HTTP/1.1\r\nHost: r\r\nContent-Length: %d\r\n\r\n%s", len(testCall), testCall)
	require.NoError(t, err)
	<-gone
	s.Close()
	d.process.Locked(func(clock.Instant) {
		require.Zero(t, d.core.servers["s"].inFlight)
		require.Empty(t, d.core.requests)
	})
}
