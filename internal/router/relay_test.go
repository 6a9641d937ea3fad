package router

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
)

// fakeDialect uses invented header names.
type fakeDialect struct{}

func (fakeDialect) ReadRequest(r *http.Request) (fleetplan.Request, *fleetplan.Fault) {
	id := r.Header.Get("X-Try")
	if id == "" {
		return fleetplan.Request{}, &fleetplan.Fault{Path: "x-try", Why: "is missing"}
	}
	n, _ := strconv.ParseUint(r.Header.Get("X-After"), 10, 64)
	return fleetplan.Request{ID: id, Host: r.Host, LastEvent: n}, nil
}

func (fakeDialect) WriteAttempt(h http.Header, a Attempt) {
	h.Set("X-Only", string(a.Server))
	if a.LastEvent > 0 {
		h.Set("X-After", strconv.FormatUint(a.LastEvent, 10))
	}
}

func (fakeDialect) ReadResponse(_ int, h http.Header) ResponseInfo {
	s := ResponseInfo{ID: h.Get("X-Try"), Sealed: h.Get("X-Seal") != ""}
	if k := h.Get("X-Not-Run"); k != "" {
		s.NotRun, s.Kind = true, failure.Kind(k)
	}
	return s
}

func (fakeDialect) EventNumber(line []byte) (uint64, bool) {
	v, ok := bytes.CutPrefix(line, []byte("id: "))
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(string(v), 10, 64)
	return n, err == nil
}

func (fakeDialect) ReadinessPath() string { return "/there" }

// scriptedDecider launches attempts at one server after another for as long as their outcomes allow it, and
// records the events that it receives.
type scriptedDecider struct {
	relay       *Relay
	mu          sync.Mutex
	addrs       []string // addresses of the servers, in order
	names       []string // names of the servers; if nil, each address stands for one server
	repeatable  bool
	resumable   bool
	timeLeft    clock.Span
	refuse      *Refusal // response to each call, in place of an attempt
	deniedSends int      // number of sends to deny
	beforeSend  func()   // called by each MaySend

	nextServer map[Ref]int
	calls      []Call
	ends       []Ended
	begun      []Begun
	quits      []Quit
	receipts   []Refusal
}

func (s *scriptedDecider) Step(in any) {
	s.mu.Lock()
	var out any
	switch v := in.(type) {
	case Call:
		s.calls = append(s.calls, v)
		if s.refuse != nil {
			a := *s.refuse
			a.Ref = v.Ref
			out = a
			break
		}
		out = s.launch(v.Ref, failure.NotReady)
	case Begun:
		s.begun = append(s.begun, v)
	case Quit:
		s.quits = append(s.quits, v)
	case Ended:
		s.ends = append(s.ends, v)
		switch v.Outcome {
		case Done:
		case Lost:
			if out = any(Refusal{Ref: v.Ref, Kind: failure.Unclear}); s.repeatable {
				out = s.launch(v.Ref, failure.Unclear)
			}
		case Split:
			if out = any(Refusal{Ref: v.Ref, Kind: failure.Cut}); s.resumable {
				out = s.launch(v.Ref, failure.Cut)
			}
		default:
			k := v.Kind
			generic.SetDefault(&k, failure.NotReady)
			out = s.launch(v.Ref, k)
		}
	}
	if r, ok := out.(Refusal); ok {
		s.receipts = append(s.receipts, r)
	}
	s.mu.Unlock()
	if out != nil {
		s.relay.Deliver(out)
	}
}

func (s *scriptedDecider) launch(ref Ref, or failure.Kind) any {
	n := s.nextServer[ref]
	if n >= len(s.addrs) {
		return Refusal{Ref: ref, Kind: or, RetryAfter: 250 * time.Millisecond}
	}
	s.nextServer[ref] = n + 1
	return Launch{Ref: ref, N: n + 1, Server: s.name(n), Addr: s.addrs[n], Remaining: s.timeLeft, Repeatable: s.repeatable, Resume: s.resumable}
}

// name returns the name of the n-th server of the script.
func (s *scriptedDecider) name(n int) ident.Server {
	if s.names != nil {
		return ident.Server(s.names[n])
	}
	return ident.Server(fmt.Sprint("s", slices.Index(s.addrs, s.addrs[n])))
}

func (s *scriptedDecider) MaySend(Ref, int) bool {
	if s.beforeSend != nil {
		s.beforeSend()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deniedSends--
	return s.deniedSends < 0
}

func (s *scriptedDecider) attemptEnds() (l []Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.ends {
		l = append(l, e.Outcome)
	}
	return l
}

// requireOneEnd checks that every request has ended exactly once.
func (s *scriptedDecider) requireOneEnd(t testing.TB) {
	require.Eventually(t, func() bool { return s.relay.InFlight() == 0 }, testTimeout, time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := map[Ref]int{}
	for _, v := range s.ends {
		if v.Outcome == Done {
			n[v.Ref]++
		}
	}
	for _, v := range s.quits {
		n[v.Ref]++
	}
	for _, v := range s.receipts {
		n[v.Ref]++
	}
	for _, v := range s.calls {
		require.Equal(t, 1, n[v.Ref], "number of ends of request %d", v.Ref)
	}
}

type relayFixture struct {
	*scriptedDecider
	addr string
}

// newRelayFixture serves a relay with a scripted decider.
func newRelayFixture(t testing.TB, s *scriptedDecider, o RelayOptions) *relayFixture {
	generic.SetDefault(&s.timeLeft, time.Minute)
	s.nextServer = map[Ref]int{}
	o.Dialect, o.Decider = fakeDialect{}, s
	s.relay = NewRelay(o)
	in, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	readiness, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	stop, end := make(chan struct{}), make(chan error, 1)
	go func() {
		end <- serveRelay(stop, RelayServer{Relay: s.relay, LameDuck: time.Nanosecond}, in, readiness)
	}()
	t.Cleanup(func() {
		close(stop)
		require.NoError(t, <-end)
		s.requireOneEnd(t)
	})
	return &relayFixture{s, in.Addr().String()}
}

// serveUntil serves a relay with a scripted decider until stop is closed.
func serveUntil(t testing.TB, s *scriptedDecider, o RelayServer) (b *relayFixture, readiness net.Listener, stop chan struct{}, end chan error) {
	generic.SetDefault(&s.timeLeft, time.Minute)
	s.nextServer = map[Ref]int{}
	s.relay = NewRelay(RelayOptions{Dialect: fakeDialect{}, Decider: s})
	o.Relay = s.relay
	in, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	readiness, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	stop, end = make(chan struct{}), make(chan error, 1)
	go func() { end <- serveRelay(stop, o, in, readiness) }()
	return &relayFixture{s, in.Addr().String()}, readiness, stop, end
}

// client is a client's connection.
type client struct {
	net.Conn
	br *bufio.Reader
	t  testing.TB
}

func (b *relayFixture) dial(t testing.TB) *client {
	c, err := net.Dial("tcp", b.addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &client{c, bufio.NewReader(c), t}
}

func (c *client) send(s string) {
	_, err := io.WriteString(c, s)
	require.NoError(c.t, err)
}

// answer reads a response. The error is that of reading the body.
func (c *client) answer(method string) (*http.Response, string, error) {
	a, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(a.Body)
	return a, string(b), err
}

func get(id string) string { return "GET /a/b HTTP/1.1\r\nHost: h\r\nX-Try: " + id + "\r\n\r\n" }

// sealedResponse returns a response with a seal and a body.
func sealedResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Try: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

const streamHead = "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// newFixedServer starts a server that sends the same bytes in response to each request. If end is set, it closes
// the connection after the first response.
func newFixedServer(t testing.TB, answer string, end bool) *testServer {
	return newTestServer(t, func(s *testServer, _ int, c net.Conn, br *bufio.Reader) {
		for s.next(br) != nil {
			if _, _ = io.WriteString(c, answer); end {
				return
			}
		}
	})
}

// Requests reach the server, and responses the client, unchanged.
func TestRelayUnchanged(t *testing.T) {
	for _, c := range []struct {
		name, send, method, target, body string
		head                             http.Header
	}{
		{"get", "GET /a/b HTTP/1.1\r\nHost: h.example\r\nX-Try: 1\r\n\r\n", "GET", "/a/b", "", nil},
		{"unusual escapes and query", "GET /a%2fb/../%7e//c;x?q=%41+b&&=%zz HTTP/1.1\r\nHost: h.example\r\nX-Try: 1\r\n\r\n", "GET", "/a%2fb/../%7e//c;x?q=%41+b&&=%zz", "", nil},
		{"two slashes", "GET //a/b? HTTP/1.1\r\nHost: h.example\r\nX-Try: 1\r\n\r\n", "GET", "//a/b?", "", nil},
		{"with a length", "POST /p HTTP/1.1\r\nHost: h.example\r\nX-Try: 1\r\nContent-Length: 5\r\n\r\na\r\nbc", "POST", "/p", "a\r\nbc", nil},
		{"in chunks", "PUT /p HTTP/1.1\r\nHost: h.example\r\nX-Try: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n", "PUT", "/p", "abcde", nil},
		{"empty, with a length", "POST /p HTTP/1.1\r\nHost: h.example\r\nX-Try: 1\r\nContent-Length: 0\r\n\r\n", "POST", "/p", "", nil},
		{"big", "POST /p HTTP/1.1\r\nHost: h.example\r\nX-Try: 1\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("0123456789", 30000), "POST", "/p", strings.Repeat("0123456789", 30000), nil},
		{"custom method", "FETCH /p HTTP/1.1\r\nHost: h.example\r\nX-Try: 1\r\n\r\n", "FETCH", "/p", "", nil},
		{
			"headers", "GET /p HTTP/1.1\r\nHost: h.example\r\nX-Try: 1\r\nX-Many: a\r\nX-Many: b\r\nAccept-Encoding: identity\r\nUser-Agent: mine\r\n" +
				"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=3\r\nTE: trailers\r\nUpgrade: x\r\nProxy-Authorization: p\r\nProxy-Connection: p\r\nExpect: 100-continue\r\n\r\n",
			"GET", "/p", "", http.Header{"X-Many": {"a", "b"}, "Accept-Encoding": {"identity"}, "User-Agent": {"mine"}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := newFixedServer(t, "HTTP/1.1 200 Fine\r\nX-Try: 1\r\nX-Seal: s\r\nX-Two: a\r\nX-Two: b\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\nContent-Length: 4\r\n\r\n\x00\xff\r\n", false)
			b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{})
			cl := b.dial(t)
			cl.send(c.send)
			a, body, err := cl.answer(c.method)
			require.NoError(t, err)
			require.Equal(t, 200, a.StatusCode)
			require.Equal(t, "\x00\xff\r\n", body)
			require.Equal(t, http.Header{"X-Try": {"1"}, "X-Seal": {"s"}, "X-Two": {"a", "b"}, "Content-Length": {"4"}}, a.Header)

			q := srv.requests()[0]
			require.Equal(t, c.method, q.Method)
			require.Equal(t, c.target, q.RequestURI)
			require.Equal(t, "h.example", q.Host)
			require.Equal(t, c.body, srv.bodies()[0])
			require.Empty(t, q.TransferEncoding)
			want := http.Header{"X-Try": {"1"}, "X-Only": {"s0"}}
			for k, v := range c.head {
				want[k] = v
			}
			h := q.Header.Clone()
			h.Del("Content-Length")
			require.Equal(t, want, h)
		})
	}
}

// Responses without a body, with an error status or in chunks are forwarded unchanged.
func TestRelayAnswers(t *testing.T) {
	big := strings.Repeat("x", 700_000)
	for _, c := range []struct {
		name, method, answer string
		status               int
		body                 string
	}{
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 12\r\n\r\n", 200, ""},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\nX-Try: 1\r\nX-Seal: s\r\n\r\n", 204, ""},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, "abc"},
		{"big", "GET", sealedResponse("1", big), 200, big},
		{"big in chunks", "GET", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(big) + "0\r\n\r\n", 200, big},
		{"redirect", "GET", "HTTP/1.1 302 Found\r\nX-Try: 1\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", 302, ""},
		{"server's 404", "GET", "HTTP/1.1 404 Not Found\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", 404, "no"},
		{"server's 500", "GET", "HTTP/1.1 500 Oops\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", 500, "no"},
		{"server's 504", "GET", "HTTP/1.1 504 Late\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", 504, "no"},
		{"encoded", "GET", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc", 200, "abc"},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := newFixedServer(t, c.answer, false)
			b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{})
			cl := b.dial(t)
			for range 2 { // the second request reuses the connections
				cl.send(c.method + " / HTTP/1.1\r\nHost: h\r\nX-Try: 1\r\n\r\n")
				a, body, err := cl.answer(c.method)
				require.NoError(t, err)
				require.Equal(t, c.status, a.StatusCode)
				require.Equal(t, c.body, body)
				require.NotContains(t, a.Header, "Date")
				require.NotContains(t, a.Header, "Content-Type")
				require.False(t, a.Close)
				if c.method == "HEAD" {
					require.Equal(t, "12", a.Header.Get("Content-Length"))
				}
			}
			b.requireOneEnd(t)
			require.Equal(t, []Outcome{Done, Done}, b.attemptEnds())
			require.Equal(t, 1, srv.accepted())
		})
	}
}

// For each behavior of a server: the outcomes of the attempts and the client's response.
func TestRelayEnds(t *testing.T) {
	good := sealedResponse("1", "good")
	notRun := "HTTP/1.1 503 Full\r\nX-Try: 1\r\nX-Not-Run: busy\r\nContent-Length: 4\r\n\r\nfull"
	for _, c := range []struct {
		name   string
		first  string // response of the first server, which then closes the connection
		again  bool
		ends   []Outcome
		status int
		body   string // of a server's response
	}{
		{"not run", notRun, false, []Outcome{Dropped, Done}, 200, "good"},
		{"broken before the head", "", false, []Outcome{Lost}, 502, ""},
		{"broken before the head, repeatable", "", true, []Outcome{Lost, Done}, 200, "good"},
		{"broken head", "HTTP/1.1 200 OK\r\nX-T", false, []Outcome{Lost}, 502, ""},
		{"broken body", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", false, []Outcome{Lost}, 502, ""},
		{"broken body, repeatable", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", true, []Outcome{Lost, Done}, 200, "good"},
		{"broken chunks, repeatable", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true, []Outcome{Lost, Done}, 200, "good"},
		{"not HTTP", "\x16\x03\x01 what is this?\r\n\r\n", false, []Outcome{Lost}, 502, ""},
		{"not HTTP, repeatable", "\x16\x03\x01 what is this?\r\n\r\n", true, []Outcome{Lost, Done}, 200, "good"},
		{"two lengths", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nhalf", false, []Outcome{Lost}, 502, ""},
		{"other protocol", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", false, []Outcome{Lost}, 502, ""},
		{"no seal", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nContent-Length: 4\r\n\r\nfake", false, []Outcome{Lost}, 502, ""},
		{"other id", sealedResponse("2", "not yours"), false, []Outcome{Lost}, 502, ""},
		{"other id, repeatable", sealedResponse("2", "not yours"), true, []Outcome{Lost, Done}, 200, "good"},
		{"no id", "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nnot yours", false, []Outcome{Lost}, 502, ""},
		{"not run, other id", strings.Replace(notRun, "X-Try: 1", "X-Try: 2", 1), false, []Outcome{Lost}, 502, ""},
		{"one surplus response first", sealedResponse("2", "not yours") + sealedResponse("1", "mine"), false, []Outcome{Done}, 200, "mine"},
		{"two surplus responses first", sealedResponse("2", "not yours") + sealedResponse("3", "nor this") + sealedResponse("1", "mine"), false, []Outcome{Done}, 200, "mine"},
		{"three surplus responses first", sealedResponse("2", "x") + sealedResponse("3", "x") + sealedResponse("4", "x") + sealedResponse("1", "mine"), false, []Outcome{Lost}, 502, ""},
		{"surplus response after it", sealedResponse("1", "mine") + sealedResponse("2", "not yours"), false, []Outcome{Done}, 200, "mine"},
		{"server's 500", "HTTP/1.1 500 Oops\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", false, []Outcome{Done}, 500, "no"},
		{"server's 500, repeatable", "HTTP/1.1 500 Oops\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", true, []Outcome{Lost, Done}, 200, "good"},
		{"503 without proof", "HTTP/1.1 503 Full\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", false, []Outcome{Lost}, 502, ""},
		{"429 without proof", "HTTP/1.1 429 Full\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", false, []Outcome{Lost}, 502, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := newFixedServer(t, c.first, true), newFixedServer(t, good, false)
			b := newRelayFixture(t, &scriptedDecider{addrs: []string{first.addr(), second.addr()}, repeatable: c.again}, RelayOptions{})
			cl := b.dial(t)
			cl.send(get("1"))
			a, body, err := cl.answer("GET")
			require.NoError(t, err)
			require.Equal(t, c.status, a.StatusCode)
			if c.body != "" {
				require.Equal(t, c.body, body)
				require.Equal(t, "1", a.Header.Get("X-Try"))
			} else {
				require.Contains(t, body, `"kind":"unclear"`)
				require.NotContains(t, body, "yours")
			}
			b.requireOneEnd(t)
			require.Equal(t, c.ends, b.attemptEnds())
			require.Len(t, first.requests(), 1)
			require.Equal(t, len(c.ends)-1, len(second.requests()))
			if len(c.ends) > 1 {
				require.Equal(t, "s1", second.requests()[0].Header.Get("X-Only"))
			}
		})
	}
}

// An unreachable server and a denied send both leave the request unsent.
func TestRelayNotSent(t *testing.T) {
	srv := newFixedServer(t, sealedResponse("1", "good"), false)
	b := newRelayFixture(t, &scriptedDecider{addrs: []string{"127.0.0.1:1", srv.addr(), srv.addr()}, deniedSends: 1}, RelayOptions{})
	cl := b.dial(t)
	cl.send(get("1"))
	a, body, err := cl.answer("GET")
	require.NoError(t, err)
	require.Equal(t, 200, a.StatusCode)
	require.Equal(t, "good", body)
	b.requireOneEnd(t)
	require.Equal(t, []Outcome{Unsent, Kept, Done}, b.attemptEnds())
	require.Len(t, srv.requests(), 1)
	require.Equal(t, 1, srv.accepted(), "the unused connection is reused")

	cl.send(strings.Replace(get("2"), "X-Try", "X-Other", 1))
	a, body, err = cl.answer("GET")
	require.NoError(t, err)
	require.Equal(t, 400, a.StatusCode)
	require.Contains(t, body, `"kind":"malformed"`)
}

// Responses generated by the router follow failure.Responses, with a fractional Retry-After.
func TestRelayReceipts(t *testing.T) {
	for k, want := range failure.Responses {
		t.Run(string(k), func(t *testing.T) {
			b := newRelayFixture(t, &scriptedDecider{refuse: &Refusal{Kind: k, RetryAfter: 250 * time.Millisecond}}, RelayOptions{})
			cl := b.dial(t)
			cl.send(get("1"))
			a, body, err := cl.answer("GET")
			require.NoError(t, err)
			require.Equal(t, want.Status, a.StatusCode)
			require.Equal(t, "0.25", a.Header.Get("Retry-After"))
			require.Contains(t, body, fmt.Sprintf(`"dropped":%t`, want.NotExecuted))
			require.NotContains(t, a.Header, "X-Seal")
		})
	}
}

// Many requests share one connection, and a stale connection is not reused.
func TestRelayReuse(t *testing.T) {
	srv := newTestServer(t, func(s *testServer, _ int, c net.Conn, br *bufio.Reader) {
		for {
			q := s.next(br)
			if q == nil {
				return
			}
			_, _ = io.WriteString(c, sealedResponse(q.Header.Get("X-Try"), "good"))
			if len(s.requests()) == 5 {
				return // closes the connection while it is idle
			}
		}
	})
	var to []string
	for range 10 {
		to = append(to, srv.addr())
	}
	b := newRelayFixture(t, &scriptedDecider{addrs: to}, RelayOptions{})
	cl := b.dial(t)
	for i := range 10 {
		if i == 5 {
			require.Eventually(t, func() bool {
				b.relay.conns.mu.Lock()
				defer b.relay.conns.mu.Unlock()
				l := b.relay.conns.idle[endpoint{"s0", srv.addr()}]
				return len(l) == 1 && !l[0].reusable()
			}, testTimeout, time.Millisecond)
		}
		cl.send(get(fmt.Sprint("id", i)))
		a, body, err := cl.answer("GET")
		require.NoError(t, err)
		require.Equal(t, 200, a.StatusCode)
		require.Equal(t, "good", body)
	}
	require.Equal(t, 2, srv.accepted())
	require.Equal(t, ConnTally{Opens: 2, Reuses: 8, Discards: 1}, b.relay.Counts().ConnTally)
}

// The relay never resends a request on its own when a reused connection breaks.
func TestRelayDoesNotResend(t *testing.T) {
	srv := newTestServer(t, func(s *testServer, n int, c net.Conn, br *bufio.Reader) {
		if s.next(br) != nil {
			_, _ = io.WriteString(c, sealedResponse("1", "good"))
		}
		s.next(br) // closes the connection without a response
	})
	b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{})
	cl := b.dial(t)
	for _, want := range []int{200, 502} {
		cl.send(get("1"))
		a, _, err := cl.answer("GET")
		require.NoError(t, err)
		require.Equal(t, want, a.StatusCode)
	}
	require.Equal(t, []Outcome{Done, Lost}, b.attemptEnds())
	require.Len(t, srv.requests(), 2)
}

// A response after the request's deadline is lost, and none of its bytes reach a client.
func TestRelayResponseAfterDeadline(t *testing.T) {
	unblock := make(chan struct{})
	srv := newTestServer(t, func(s *testServer, n int, c net.Conn, br *bufio.Reader) {
		for s.next(br) != nil {
			if n == 0 {
				<-unblock
			}
			_, _ = io.WriteString(c, sealedResponse("1", "good"))
		}
	})
	t.Cleanup(func() { close(unblock) })
	b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}, timeLeft: 50 * time.Millisecond}, RelayOptions{Slack: 10 * time.Millisecond})
	cl := b.dial(t)
	cl.send(get("1"))
	a, _, err := cl.answer("GET")
	require.NoError(t, err)
	require.Equal(t, 502, a.StatusCode)
	require.Equal(t, []Outcome{Lost}, b.attemptEnds())
}

// Request bodies that are too long, truncated or too slow are refused.
func TestRelayBodies(t *testing.T) {
	limits := func() (int64, time.Duration) { return 10, 50 * time.Millisecond }
	for _, c := range []struct {
		name, send string
		halfClose  bool // the client closes its sending side
		status     int  // 0 if the connection is closed without a response
	}{
		{"at the bound", "Content-Length: 10\r\n\r\n0123456789", false, 200},
		{"too long", "Content-Length: 11\r\n\r\n0123456789a", false, 413},
		{"too long in chunks", "Transfer-Encoding: chunked\r\n\r\nb\r\n0123456789a\r\n0\r\n\r\n", false, 413},
		{"too slow", "Content-Length: 10\r\n\r\n0123", false, 408},
		{"broken off", "Content-Length: 10\r\n\r\n0123", true, 0},
		{"bad chunks", "Transfer-Encoding: chunked\r\n\r\nzz\r\n0123", false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := newFixedServer(t, sealedResponse("1", "good"), false)
			o := RelayOptions{BodyLimits: limits}
			if c.halfClose {
				o.BodyLimits = func() (int64, time.Duration) { return 10, testTimeout }
			}
			b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, o)
			cl := b.dial(t)
			cl.send("POST / HTTP/1.1\r\nHost: h\r\nX-Try: 1\r\n" + c.send)
			if c.halfClose {
				require.NoError(t, cl.Conn.(*net.TCPConn).CloseWrite())
			}
			a, _, err := cl.answer("POST")
			if c.status == 0 {
				require.Error(t, err)
				require.Empty(t, srv.requests())
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.status, a.StatusCode)
			require.Equal(t, c.status != 200, a.Close)
			require.Equal(t, c.status == 200, len(srv.requests()) == 1)
		})
	}
}

// A request with conflicting declarations of where its body ends reaches no server, and neither does a request
// hidden in its body.
func TestRelaySmuggling(t *testing.T) {
	hidden := "GET /hidden HTTP/1.1\r\nHost: h\r\nX-Try: 2\r\n\r\n"
	for _, c := range []struct{ name, head, body string }{
		{"length and chunks", fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", 5+len(hidden)), "0\r\n\r\n" + hidden},
		{"chunks and length, other case", fmt.Sprintf("tRANSFER-eNCODING: chunked\r\ncONTENT-lENGTH: %d\r\n", 5+len(hidden)), "0\r\n\r\n" + hidden},
		{"two lengths", fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n", len(hidden)), hidden},
		{"unknown coding", "Transfer-Encoding: xchunked\r\n", hidden},
		{"two codings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n" + hidden},
		{"blank before the colon", "Transfer-Encoding : chunked\r\n", "0\r\n\r\n" + hidden},
		{"length with a sign", "Content-Length: +0\r\n", hidden},
	} {
		for _, split := range []int{1 << 20, 1, 7} {
			t.Run(fmt.Sprint(c.name, " ", split), func(t *testing.T) {
				srv := newFixedServer(t, sealedResponse("1", "good"), false)
				b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{})
				cl := b.dial(t)
				s := "POST / HTTP/1.1\r\nHost: h\r\nX-Try: 1\r\n" + c.head + "\r\n" + c.body
				for len(s) > 0 {
					n := min(split, len(s))
					if _, err := io.WriteString(cl, s[:n]); err != nil {
						break // the request was refused already
					}
					s = s[n:]
				}
				a, _, err := cl.answer("POST")
				if err == nil {
					require.Contains(t, []int{400, 501}, a.StatusCode)
					_, _, err = cl.answer("GET")
				}
				require.Error(t, err)
				require.Empty(t, srv.requests())
			})
		}
	}

	t.Run("HTTP/1.0 with chunks", func(t *testing.T) {
		srv := newFixedServer(t, sealedResponse("1", "good"), false)
		b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{})
		cl := b.dial(t)
		cl.send("POST / HTTP/1.0\r\nHost: h\r\nX-Try: 1\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden)
		a, _, err := cl.answer("POST")
		require.NoError(t, err)
		require.Equal(t, 400, a.StatusCode)
		_, _, err = cl.answer("GET")
		require.Error(t, err)
		require.Empty(t, srv.requests())
	})

	t.Run("chunks after chunks", func(t *testing.T) {
		srv := newFixedServer(t, sealedResponse("1", "good"), false)
		b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{})
		cl := b.dial(t)
		for i := range 3 {
			cl.send("POST / HTTP/1.1\r\nHost: h\r\nX-Try: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
			a, _, err := cl.answer("POST")
			require.NoError(t, err)
			require.Equal(t, 200, a.StatusCode, i)
			b.requireOneEnd(t)
		}
		require.Equal(t, []string{"ab", "ab", "ab"}, srv.bodies())
	})
}

// writeAll writes the parts of a stream one after the other.
func writeAll(c net.Conn, l ...string) {
	for _, p := range l {
		if _, err := io.WriteString(c, p); err != nil {
			return
		}
	}
}

// Event streams are forwarded as they arrive and end completely.
func TestRelayStream(t *testing.T) {
	for _, resume := range []bool{false, true} {
		t.Run(fmt.Sprint(resume), func(t *testing.T) {
			step := make(chan struct{})
			srv := newTestServer(t, func(s *testServer, _ int, c net.Conn, br *bufio.Reader) {
				for s.next(br) != nil {
					writeAll(c, fmt.Sprintf(streamHead, "s"))
					for i := 1; i <= 3; i++ {
						writeAll(c, chunk(event(i)))
						<-step // the client has received the event
					}
					writeAll(c, chunk("data: last\n\n"), "0\r\n\r\n")
				}
			})
			b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}, resumable: resume}, RelayOptions{})
			cl := b.dial(t)
			for range 2 {
				cl.send(get("1"))
				a, err := http.ReadResponse(cl.br, &http.Request{Method: "GET"})
				require.NoError(t, err)
				require.Equal(t, "text/event-stream", a.Header.Get("Content-Type"))
				for i := 1; i <= 3; i++ {
					p := make([]byte, len(event(i)))
					_, err := io.ReadFull(a.Body, p)
					require.NoError(t, err)
					require.Equal(t, event(i), string(p))
					step <- struct{}{}
				}
				rest, err := io.ReadAll(a.Body)
				require.NoError(t, err)
				require.Equal(t, "data: last\n\n", string(rest))
				b.requireOneEnd(t)
				b.nextServer[1], b.nextServer[2] = 0, 0
			}
			require.Equal(t, []Outcome{Done, Done}, b.attemptEnds())
			require.Len(t, b.begun, 2)
			require.Equal(t, 1, srv.accepted())
		})
	}
}

// A stream that breaks off either breaks off visibly at the client or is resumed at another server, with no event
// missing or repeated.
func TestRelayStreamBreaks(t *testing.T) {
	head := fmt.Sprintf(streamHead, "s")
	cut := head + chunk(event(1)) + chunk(event(2)) + chunk("id: 3\ndata: pie")
	rest := func(l ...int) string {
		s := fmt.Sprintf(streamHead, "other")
		for _, n := range l {
			s += chunk(event(n))
		}
		return s + "0\r\n\r\n"
	}
	all := event(1) + event(2) + event(3) + event(4)
	for _, c := range []struct {
		name          string
		resume        bool
		first, second string
		ends          []Outcome
		body          string
		whole         bool
	}{
		{"truncated, not resumable", false, cut, rest(3, 4), []Outcome{Split}, event(1) + event(2) + "id: 3\ndata: pie", false},
		{"not terminated, not resumable", false, head + chunk(event(1)), rest(2), []Outcome{Split}, event(1), false},
		{"close-delimited, not resumable", false, "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n" + event(1), rest(2), []Outcome{Split}, event(1), false},
		{"shorter than its length, not resumable", false, "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 999\r\n\r\n" + event(1), rest(2), []Outcome{Split}, event(1), false},
		{"resumed", true, cut, rest(3, 4), []Outcome{Split, Done}, all, true},
		{"resumed with earlier events repeated", true, cut, rest(1, 2, 3, 4), []Outcome{Split, Done}, all, true},
		{"resumed after an incomplete event", true, head + chunk(event(1)[:4]) + chunk(event(1)[4:]+event(2)) + chunk("id: 3\n"), rest(3, 4), []Outcome{Split, Done}, all, true},
		{"resumed with unnumbered events", true, cut, fmt.Sprintf(streamHead, "o") + chunk(": hello\n\n"+event(3)) + chunk(event(4)+"data: end\n\n") + "0\r\n\r\n", []Outcome{Split, Done}, event(1) + event(2) + ": hello\n\n" + event(3) + event(4) + "data: end\n\n", true},
		{"resumed with no further numbered event", true, cut, fmt.Sprintf(streamHead, "o") + chunk(event(2)) + chunk("data: end\n\n") + "0\r\n\r\n", []Outcome{Split, Done}, event(1) + event(2) + "data: end\n\n", true},
		{"resumed with a gap", true, cut, rest(4), []Outcome{Split, Lost}, event(1) + event(2), false},
		{"resumed without a stream", true, cut, sealedResponse("1", event(3)), []Outcome{Split, Lost}, event(1) + event(2), false},
		{"resumed without a seal", true, cut, strings.Replace(rest(3, 4), "X-Seal: other", "X-Unsealed: x", 1), []Outcome{Split, Lost}, event(1) + event(2), false},
		{"resumed with a failure", true, cut, "HTTP/1.1 500 Oops\r\nX-Try: 1\r\nContent-Length: 0\r\n\r\n", []Outcome{Split, Lost}, event(1) + event(2), false},
		{"resumption not run", true, cut, "HTTP/1.1 503 Full\r\nX-Try: 1\r\nX-Not-Run: busy\r\nContent-Length: 0\r\n\r\n", []Outcome{Split, Dropped}, event(1) + event(2), false},
		{"truncated twice", true, cut, fmt.Sprintf(streamHead, "o") + chunk(event(3)), []Outcome{Split, Split}, event(1) + event(2) + event(3), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := newFixedServer(t, c.first, true), newFixedServer(t, c.second, true)
			b := newRelayFixture(t, &scriptedDecider{addrs: []string{first.addr(), second.addr()}, resumable: c.resume}, RelayOptions{})
			cl := b.dial(t)
			cl.send(get("1"))
			a, body, err := cl.answer("GET")
			require.NotNil(t, a)
			require.Equal(t, c.whole, err == nil)
			require.Equal(t, c.body, body)
			require.Equal(t, "s", a.Header.Get("X-Seal"))
			b.requireOneEnd(t)
			require.Equal(t, c.ends, b.attemptEnds())
			if len(c.ends) > 1 {
				require.Equal(t, "2", second.requests()[0].Header.Get("X-After"))
			} else {
				require.Empty(t, second.requests())
			}
		})
	}
}

// A stream that breaks before its first event counts as an attempt without a response.
func TestRelayStreamEarly(t *testing.T) {
	for _, again := range []bool{false, true} {
		first, second := newFixedServer(t, fmt.Sprintf(streamHead, "s"), true), newFixedServer(t, fmt.Sprintf(streamHead, "o")+chunk(event(1))+"0\r\n\r\n", false)
		b := newRelayFixture(t, &scriptedDecider{addrs: []string{first.addr(), second.addr()}, repeatable: again}, RelayOptions{})
		cl := b.dial(t)
		cl.send(get("1"))
		a, body, err := cl.answer("GET")
		require.NoError(t, err)
		if again {
			require.Equal(t, event(1), body)
			require.Equal(t, "o", a.Header.Get("X-Seal"))
		} else {
			require.Equal(t, 502, a.StatusCode)
		}
	}
}

// If no event was forwarded yet, a stream is resumed from the client's own position.
func TestRelayResumesFromClientPosition(t *testing.T) {
	first, second := newFixedServer(t, fmt.Sprintf(streamHead, "s")+chunk(event(8))+chunk("id"), true), newFixedServer(t, fmt.Sprintf(streamHead, "o")+chunk(event(9))+"0\r\n\r\n", false)
	b := newRelayFixture(t, &scriptedDecider{addrs: []string{first.addr(), second.addr()}, resumable: true}, RelayOptions{})
	cl := b.dial(t)
	cl.send("GET / HTTP/1.1\r\nHost: h\r\nX-Try: 1\r\nX-After: 7\r\n\r\n")
	_, body, err := cl.answer("GET")
	require.NoError(t, err)
	require.Equal(t, event(8)+event(9), body)
	require.Equal(t, "7", first.requests()[0].Header.Get("X-After"))
	require.Equal(t, "8", second.requests()[0].Header.Get("X-After"))
}

// A large response that breaks off after the client has received part of it is aborted visibly.
func TestRelayBigBreaks(t *testing.T) {
	for _, head := range []string{"Content-Length: 900000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", 900000)} {
		first, second := newFixedServer(t, "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\n"+head+strings.Repeat("x", 500_000), true), newFixedServer(t, sealedResponse("1", "good"), false)
		b := newRelayFixture(t, &scriptedDecider{addrs: []string{first.addr(), second.addr()}, repeatable: true, resumable: true}, RelayOptions{})
		cl := b.dial(t)
		cl.send(get("1"))
		_, body, err := cl.answer("GET")
		require.Error(t, err)
		require.NotContains(t, body, "good")
		require.Empty(t, second.requests())
		b.requireOneEnd(t)
		require.Equal(t, []Outcome{Split}, b.attemptEnds())
		require.Len(t, b.quits, 1)
	}
}

// When a client disconnects, its server's connection is closed at any stage of the request.
func TestRelayClientLeaves(t *testing.T) {
	for _, c := range []struct {
		name, answer string
	}{
		{"before the head", ""},
		{"during a body", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf"},
		{"during a stream", fmt.Sprintf(streamHead, "s") + chunk(event(1))},
	} {
		t.Run(c.name, func(t *testing.T) {
			left := make(chan struct{})
			reached := make(chan struct{})
			srv := newTestServer(t, func(s *testServer, _ int, conn net.Conn, br *bufio.Reader) {
				s.next(br)
				_, _ = io.WriteString(conn, c.answer)
				close(reached)
				_, _ = br.ReadByte() // until the relay closes the connection
				close(left)
			})
			b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}, repeatable: true}, RelayOptions{})
			cl := b.dial(t)
			cl.send(get("1"))
			<-reached
			if strings.Contains(c.answer, "chunked") {
				_, err := http.ReadResponse(cl.br, &http.Request{Method: "GET"})
				require.NoError(t, err)
			}
			_ = cl.Close()
			<-left
			b.requireOneEnd(t)
			require.Len(t, b.quits, 1)
			require.Empty(t, b.ends)
		})
	}
	t.Run("while waiting", func(t *testing.T) {
		silent := &silentDecider{scriptedDecider: &scriptedDecider{}}
		b := newRelayFixture(t, silent.scriptedDecider, RelayOptions{})
		silent.relay.SetDecider(silent)
		cl := b.dial(t)
		cl.send(get("1"))
		require.Eventually(t, func() bool { return b.relay.InFlight() == 1 }, testTimeout, time.Millisecond)
		_ = cl.Close()
		b.requireOneEnd(t)
		require.Len(t, b.quits, 1)
	})
}

// silentDecider launches no attempts.
type silentDecider struct{ *scriptedDecider }

func (m *silentDecider) Step(in any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := in.(Quit); ok {
		m.quits = append(m.quits, v)
	}
}

// A client that stops reading is disconnected.
func TestRelayClientStalls(t *testing.T) {
	srv := newTestServer(t, func(s *testServer, _ int, c net.Conn, br *bufio.Reader) {
		s.next(br)
		writeAll(c, fmt.Sprintf(streamHead, "s"))
		for i := 1; ; i++ {
			if _, err := io.WriteString(c, chunk(event(i)+strings.Repeat(":\n", 8000)+"\n")); err != nil {
				return
			}
		}
	})
	b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}, resumable: true}, RelayOptions{WriteTimeout: 100 * time.Millisecond})
	cl := b.dial(t)
	cl.send(get("1"))
	b2 := make([]byte, 16)
	_, err := io.ReadFull(cl, b2)
	require.NoError(t, err)
	b.requireOneEnd(t)
	require.Len(t, b.quits, 1)
}

// After many requests of all kinds no goroutine is left behind.
func TestRelayLeaksNoGoroutines(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("mixed requests", func(t *testing.T) {
		srv := newTestServer(t, func(s *testServer, n int, c net.Conn, br *bufio.Reader) {
			for k := n; ; k++ {
				q := s.next(br)
				if q == nil {
					return
				}
				id := q.Header.Get("X-Try")
				switch k % 6 {
				case 0:
					_, _ = io.WriteString(c, strings.Replace(fmt.Sprintf(streamHead, "s"), "X-Try: 1", "X-Try: "+id, 1)+chunk(event(1)))
					return
				case 1:
					return
				case 2:
					_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Try: "+id+"\r\nX-Not-Run: busy\r\nContent-Length: 0\r\n\r\n")
				case 3:
					_, _ = io.WriteString(c, sealedResponse("none", "surplus")+sealedResponse(id, "good"))
				default:
					_, _ = io.WriteString(c, sealedResponse(id, "good"))
				}
			}
		})
		b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr(), srv.addr(), srv.addr()}, repeatable: true, resumable: true}, RelayOptions{})
		var clients sync.WaitGroup
		for w := range 8 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for i := range 40 {
					c, err := net.Dial("tcp", b.addr)
					if err != nil {
						t.Error(err)
						return
					}
					_ = c.SetDeadline(time.Now().Add(testTimeout))
					id := fmt.Sprint(w, "-", i)
					_, _ = io.WriteString(c, get(id))
					if i%5 > 0 {
						a, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: "GET"})
						if err != nil {
							t.Error(err)
						} else if a.StatusCode == 200 {
							if got := a.Header.Get("X-Try"); got != id {
								t.Errorf("%s received the response to %s", id, got)
							}
							_, _ = io.Copy(io.Discard, a.Body)
						}
					}
					_ = c.Close()
				}
			}()
		}
		clients.Wait()
		b.requireOneEnd(t)
	})
	for end := time.Now().Add(testTimeout); runtime.NumGoroutine() > before && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	p := make([]byte, 1<<20)
	require.LessOrEqual(t, runtime.NumGoroutine(), before, "%s", p[:runtime.Stack(p, true)])
}

// After the stop, the router reports unready at once, continues to serve, directs clients to other routers and
// lets requests in progress finish.
func TestRelayStops(t *testing.T) {
	unblock := make(chan struct{})
	srv := newTestServer(t, func(s *testServer, n int, c net.Conn, br *bufio.Reader) {
		for {
			q := s.next(br)
			if q == nil {
				return
			}
			if q.Header.Get("X-Try") == "slow" {
				<-unblock
			}
			_, _ = io.WriteString(c, sealedResponse(q.Header.Get("X-Try"), "good"))
		}
	})
	s := &scriptedDecider{addrs: []string{srv.addr()}}
	b, readiness, stop, end := serveUntil(t, s, RelayServer{LameDuck: 2 * time.Second, Grace: testTimeout})
	ready := func() int {
		c, err := net.Dial("tcp", readiness.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, _ = io.WriteString(c, "GET /there HTTP/1.1\r\nHost: h\r\n\r\n")
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		return a.StatusCode
	}
	require.Equal(t, 200, ready())
	slow, kept := b.dial(t), b.dial(t)
	slow.send(get("slow"))
	require.Eventually(t, func() bool { return len(srv.requests()) == 1 }, testTimeout, time.Millisecond)
	close(stop)
	require.Equal(t, 503, ready())
	for { // until responses close their connections
		kept.send(get("1"))
		a, _, err := kept.answer("GET")
		require.NoError(t, err)
		require.Equal(t, 200, a.StatusCode)
		if a.Close {
			break
		}
	}
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", b.addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, testTimeout, time.Millisecond)
	close(unblock)
	a, body, err := slow.answer("GET")
	require.NoError(t, err)
	require.Equal(t, "good", body)
	require.True(t, a.Close)
	require.NoError(t, <-end)
	s.requireOneEnd(t)
}

// The relay works with the real core in its host.
func TestRelayCore(t *testing.T) {
	core := New(Options{Inc: 7})
	r := NewRelay(RelayOptions{Dialect: fakeDialect{}})
	c := host.New(host.Options{Core: core, TickInterval: 10 * time.Millisecond, Log: host.NewLog("t", io.Discard), HandleOutput: r.Deliver})
	r.SetDecider(NewHostedDecider(c, core))
	require.NoError(t, c.Run())
	t.Cleanup(c.Stop)
	require.False(t, NewHostedDecider(c, core).MaySend(1, 1))
	inFlight := r.register(t.Context())
	defer r.remove(inFlight)
	r.decider.Step(Call{Ref: inFlight.ref, Request: fleetplan.Request{ID: "1", Horizon: -1}})
	require.Equal(t, failure.PastDue, (<-inFlight.decisions).(Refusal).Kind)
	r.Deliver("an unknown output")
}

// BenchmarkRelay measures small requests over reused connections, including the client and the server.
func BenchmarkRelay(b *testing.B) {
	answer := sealedResponse("1", strings.Repeat("x", 200))
	srv := newTestServer(b, func(_ *testServer, _ int, c net.Conn, br *bufio.Reader) {
		for {
			for {
				l, err := br.ReadSlice('\n')
				if err != nil {
					return
				}
				if len(l) == 2 {
					break
				}
			}
			_, _ = io.WriteString(c, answer)
		}
	})
	s := &scriptedDecider{addrs: []string{srv.addr()}}
	x := newRelayFixture(b, s, RelayOptions{})
	c := x.dial(b)
	p := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		c.send(get("1"))
		for n := 0; n < len(answer); {
			m, err := c.Read(p)
			require.NoError(b, err)
			n += m
		}
	}
}
