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

func (fakeDialect) Read(r *http.Request) (fleetplan.Call, *fleetplan.Fault) {
	id := r.Header.Get("X-Try")
	if id == "" {
		return fleetplan.Call{}, &fleetplan.Fault{Path: "x-try", Why: "is missing"}
	}
	n, _ := strconv.ParseUint(r.Header.Get("X-After"), 10, 64)
	return fleetplan.Call{ID: id, Host: r.Host, Seen: n}, nil
}

func (fakeDialect) Write(h http.Header, a Attempt) {
	h.Set("X-Only", string(a.Server))
	if a.Seen > 0 {
		h.Set("X-After", strconv.FormatUint(a.Seen, 10))
	}
}

func (fakeDialect) Answer(_ int, h http.Header) Said {
	s := Said{ID: h.Get("X-Try"), Sealed: h.Get("X-Seal") != ""}
	if k := h.Get("X-Not-Run"); k != "" {
		s.NotRun, s.Kind = true, failure.Kind(k)
	}
	return s
}

func (fakeDialect) Event(line []byte) (uint64, bool) {
	v, ok := bytes.CutPrefix(line, []byte("id: "))
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(string(v), 10, 64)
	return n, err == nil
}

func (fakeDialect) Ready() string { return "/there" }

// scriptedDecider launches attempts at one server after another for as long as their outcomes allow it, and
// records the events that it receives.
type script struct {
	relay       *Relay
	mu          sync.Mutex
	to          []string // addresses of the servers, in order
	names       []string // names of the servers; if nil, each address stands for one server
	again       bool
	resume      bool
	left        clock.Span
	refuse      *Receipt // response to each call, in place of an attempt
	deniedSends int      // number of sends to deny
	beforeSend  func()   // called by each MaySend

	nextServer map[Ref]int
	calls      []Call
	ends       []Ended
	begun      []Begun
	quits      []Quit
	receipts   []Receipt
}

func (s *script) Step(in any) {
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
		switch v.How {
		case Done:
		case Lost:
			if out = any(Receipt{Ref: v.Ref, Kind: failure.Unclear}); s.again {
				out = s.launch(v.Ref, failure.Unclear)
			}
		case Split:
			if out = any(Receipt{Ref: v.Ref, Kind: failure.Cut}); s.resume {
				out = s.launch(v.Ref, failure.Cut)
			}
		default:
			k := v.Kind
			generic.SetDefault(&k, failure.NotReady)
			out = s.launch(v.Ref, k)
		}
	}
	if r, ok := out.(Receipt); ok {
		s.receipts = append(s.receipts, r)
	}
	s.mu.Unlock()
	if out != nil {
		s.relay.Act(out)
	}
}

func (s *script) launch(ref Ref, or failure.Kind) any {
	n := s.nextServer[ref]
	if n >= len(s.to) {
		return Receipt{Ref: ref, Kind: or, Back: 250 * time.Millisecond}
	}
	s.nextServer[ref] = n + 1
	return Launch{Ref: ref, N: n + 1, Server: s.name(n), Addr: s.to[n], Left: s.left, Again: s.again, Resume: s.resume}
}

// name returns the name of the n-th server of the script.
func (s *script) name(n int) ident.Server {
	if s.names != nil {
		return ident.Server(s.names[n])
	}
	return ident.Server(fmt.Sprint("s", slices.Index(s.to, s.to[n])))
}

func (s *script) MaySend(Ref, int) bool {
	if s.beforeSend != nil {
		s.beforeSend()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deniedSends--
	return s.deniedSends < 0
}

func (s *script) hows() (l []End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.ends {
		l = append(l, e.How)
	}
	return l
}

// requireOneEnd checks that every request has ended exactly once.
func (s *script) settled(t testing.TB) {
	require.Eventually(t, func() bool { return s.relay.Open() == 0 }, soon, time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := map[Ref]int{}
	for _, v := range s.ends {
		if v.How == Done {
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
	*script
	addr string
}

// newRelayFixture serves a relay with a scripted decider.
func relayFor(t testing.TB, s *script, o RelayOptions) *relayFixture {
	generic.SetDefault(&s.left, time.Minute)
	s.nextServer = map[Ref]int{}
	o.Dialect, o.Decider = fakeDialect{}, s
	s.relay = NewRelay(o)
	in, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	readiness, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	stop, end := make(chan struct{}), make(chan error, 1)
	go func() {
		end <- serveRelay(stop, RelayServe{Relay: s.relay, Lame: time.Nanosecond}, in, readiness)
	}()
	t.Cleanup(func() {
		close(stop)
		require.NoError(t, <-end)
		s.settled(t)
	})
	return &relayFixture{s, in.Addr().String()}
}

// serveUntil serves a relay with a scripted decider until stop is closed.
func serveUntil(t testing.TB, s *script, o RelayServe) (b *relayFixture, readiness net.Listener, stop chan struct{}, end chan error) {
	generic.SetDefault(&s.left, time.Minute)
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
	require.NoError(t, c.SetDeadline(time.Now().Add(soon)))
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
func plain(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Try: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

const streamHead = "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// newFixedServer starts a server that sends the same bytes in response to each request. If end is set, it closes
// the connection after the first response.
func says(t testing.TB, answer string, end bool) *standIn {
	return newStandIn(t, func(s *standIn, _ int, c net.Conn, br *bufio.Reader) {
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
			srv := says(t, "HTTP/1.1 200 Fine\r\nX-Try: 1\r\nX-Seal: s\r\nX-Two: a\r\nX-Two: b\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\nContent-Length: 4\r\n\r\n\x00\xff\r\n", false)
			b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{})
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
		{"big", "GET", plain("1", big), 200, big},
		{"big in chunks", "GET", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(big) + "0\r\n\r\n", 200, big},
		{"redirect", "GET", "HTTP/1.1 302 Found\r\nX-Try: 1\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", 302, ""},
		{"server's 404", "GET", "HTTP/1.1 404 Not Found\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", 404, "no"},
		{"server's 500", "GET", "HTTP/1.1 500 Oops\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", 500, "no"},
		{"server's 504", "GET", "HTTP/1.1 504 Late\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", 504, "no"},
		{"encoded", "GET", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc", 200, "abc"},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := says(t, c.answer, false)
			b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{})
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
			b.settled(t)
			require.Equal(t, []End{Done, Done}, b.hows())
			require.Equal(t, 1, srv.accepted())
		})
	}
}

// For each behavior of a server: the outcomes of the attempts and the client's response.
func TestRelayEnds(t *testing.T) {
	good := plain("1", "good")
	notRun := "HTTP/1.1 503 Full\r\nX-Try: 1\r\nX-Not-Run: busy\r\nContent-Length: 4\r\n\r\nfull"
	for _, c := range []struct {
		name   string
		first  string // response of the first server, which then closes the connection
		again  bool
		ends   []End
		status int
		body   string // of a server's response
	}{
		{"not run", notRun, false, []End{Dropped, Done}, 200, "good"},
		{"broken before the head", "", false, []End{Lost}, 502, ""},
		{"broken before the head, repeatable", "", true, []End{Lost, Done}, 200, "good"},
		{"broken head", "HTTP/1.1 200 OK\r\nX-T", false, []End{Lost}, 502, ""},
		{"broken body", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", false, []End{Lost}, 502, ""},
		{"broken body, repeatable", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", true, []End{Lost, Done}, 200, "good"},
		{"broken chunks, repeatable", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true, []End{Lost, Done}, 200, "good"},
		{"not HTTP", "\x16\x03\x01 what is this?\r\n\r\n", false, []End{Lost}, 502, ""},
		{"not HTTP, repeatable", "\x16\x03\x01 what is this?\r\n\r\n", true, []End{Lost, Done}, 200, "good"},
		{"two lengths", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nhalf", false, []End{Lost}, 502, ""},
		{"other protocol", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", false, []End{Lost}, 502, ""},
		{"no seal", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nContent-Length: 4\r\n\r\nfake", false, []End{Lost}, 502, ""},
		{"other id", plain("2", "not yours"), false, []End{Lost}, 502, ""},
		{"other id, repeatable", plain("2", "not yours"), true, []End{Lost, Done}, 200, "good"},
		{"no id", "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nnot yours", false, []End{Lost}, 502, ""},
		{"not run, other id", strings.Replace(notRun, "X-Try: 1", "X-Try: 2", 1), false, []End{Lost}, 502, ""},
		{"one surplus response first", plain("2", "not yours") + plain("1", "mine"), false, []End{Done}, 200, "mine"},
		{"two surplus responses first", plain("2", "not yours") + plain("3", "nor this") + plain("1", "mine"), false, []End{Done}, 200, "mine"},
		{"three surplus responses first", plain("2", "x") + plain("3", "x") + plain("4", "x") + plain("1", "mine"), false, []End{Lost}, 502, ""},
		{"surplus response after it", plain("1", "mine") + plain("2", "not yours"), false, []End{Done}, 200, "mine"},
		{"server's 500", "HTTP/1.1 500 Oops\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", false, []End{Done}, 500, "no"},
		{"server's 500, repeatable", "HTTP/1.1 500 Oops\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", true, []End{Lost, Done}, 200, "good"},
		{"503 without proof", "HTTP/1.1 503 Full\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", false, []End{Lost}, 502, ""},
		{"429 without proof", "HTTP/1.1 429 Full\r\nX-Try: 1\r\nContent-Length: 2\r\n\r\nno", false, []End{Lost}, 502, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := says(t, c.first, true), says(t, good, false)
			b := relayFor(t, &script{to: []string{first.addr(), second.addr()}, again: c.again}, RelayOptions{})
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
			b.settled(t)
			require.Equal(t, c.ends, b.hows())
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
	srv := says(t, plain("1", "good"), false)
	b := relayFor(t, &script{to: []string{"127.0.0.1:1", srv.addr(), srv.addr()}, deniedSends: 1}, RelayOptions{})
	cl := b.dial(t)
	cl.send(get("1"))
	a, body, err := cl.answer("GET")
	require.NoError(t, err)
	require.Equal(t, 200, a.StatusCode)
	require.Equal(t, "good", body)
	b.settled(t)
	require.Equal(t, []End{Unsent, Kept, Done}, b.hows())
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
	for k, want := range failure.Receipts {
		t.Run(string(k), func(t *testing.T) {
			b := relayFor(t, &script{refuse: &Receipt{Kind: k, Back: 250 * time.Millisecond}}, RelayOptions{})
			cl := b.dial(t)
			cl.send(get("1"))
			a, body, err := cl.answer("GET")
			require.NoError(t, err)
			require.Equal(t, want.Status, a.StatusCode)
			require.Equal(t, "0.25", a.Header.Get("Retry-After"))
			require.Contains(t, body, fmt.Sprintf(`"dropped":%t`, want.Dropped))
			require.NotContains(t, a.Header, "X-Seal")
		})
	}
}

// Many requests share one connection, and a stale connection is not reused.
func TestRelayReuse(t *testing.T) {
	srv := newStandIn(t, func(s *standIn, _ int, c net.Conn, br *bufio.Reader) {
		for {
			q := s.next(br)
			if q == nil {
				return
			}
			_, _ = io.WriteString(c, plain(q.Header.Get("X-Try"), "good"))
			if len(s.requests()) == 5 {
				return // closes the connection while it is idle
			}
		}
	})
	var to []string
	for range 10 {
		to = append(to, srv.addr())
	}
	b := relayFor(t, &script{to: to}, RelayOptions{})
	cl := b.dial(t)
	for i := range 10 {
		if i == 5 {
			require.Eventually(t, func() bool {
				b.relay.conns.mu.Lock()
				defer b.relay.conns.mu.Unlock()
				l := b.relay.conns.idle[endpoint{"s0", srv.addr()}]
				return len(l) == 1 && !l[0].reusable()
			}, soon, time.Millisecond)
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
	srv := newStandIn(t, func(s *standIn, n int, c net.Conn, br *bufio.Reader) {
		if s.next(br) != nil {
			_, _ = io.WriteString(c, plain("1", "good"))
		}
		s.next(br) // closes the connection without a response
	})
	b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{})
	cl := b.dial(t)
	for _, want := range []int{200, 502} {
		cl.send(get("1"))
		a, _, err := cl.answer("GET")
		require.NoError(t, err)
		require.Equal(t, want, a.StatusCode)
	}
	require.Equal(t, []End{Done, Lost}, b.hows())
	require.Len(t, srv.requests(), 2)
}

// A response after the request's deadline is lost, and none of its bytes reach a client.
func TestRelayResponseAfterDeadline(t *testing.T) {
	unblock := make(chan struct{})
	srv := newStandIn(t, func(s *standIn, n int, c net.Conn, br *bufio.Reader) {
		for s.next(br) != nil {
			if n == 0 {
				<-unblock
			}
			_, _ = io.WriteString(c, plain("1", "good"))
		}
	})
	t.Cleanup(func() { close(unblock) })
	b := relayFor(t, &script{to: []string{srv.addr()}, left: 50 * time.Millisecond}, RelayOptions{Slack: 10 * time.Millisecond})
	cl := b.dial(t)
	cl.send(get("1"))
	a, _, err := cl.answer("GET")
	require.NoError(t, err)
	require.Equal(t, 502, a.StatusCode)
	require.Equal(t, []End{Lost}, b.hows())
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
			srv := says(t, plain("1", "good"), false)
			o := RelayOptions{BodyLimits: limits}
			if c.halfClose {
				o.BodyLimits = func() (int64, time.Duration) { return 10, soon }
			}
			b := relayFor(t, &script{to: []string{srv.addr()}}, o)
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
				srv := says(t, plain("1", "good"), false)
				b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{})
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
		srv := says(t, plain("1", "good"), false)
		b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{})
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
		srv := says(t, plain("1", "good"), false)
		b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{})
		cl := b.dial(t)
		for i := range 3 {
			cl.send("POST / HTTP/1.1\r\nHost: h\r\nX-Try: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
			a, _, err := cl.answer("POST")
			require.NoError(t, err)
			require.Equal(t, 200, a.StatusCode, i)
			b.settled(t)
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
			srv := newStandIn(t, func(s *standIn, _ int, c net.Conn, br *bufio.Reader) {
				for s.next(br) != nil {
					writeAll(c, fmt.Sprintf(streamHead, "s"))
					for i := 1; i <= 3; i++ {
						writeAll(c, chunk(event(i)))
						<-step // the client has received the event
					}
					writeAll(c, chunk("data: last\n\n"), "0\r\n\r\n")
				}
			})
			b := relayFor(t, &script{to: []string{srv.addr()}, resume: resume}, RelayOptions{})
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
				b.settled(t)
				b.nextServer[1], b.nextServer[2] = 0, 0
			}
			require.Equal(t, []End{Done, Done}, b.hows())
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
		ends          []End
		body          string
		whole         bool
	}{
		{"truncated, not resumable", false, cut, rest(3, 4), []End{Split}, event(1) + event(2) + "id: 3\ndata: pie", false},
		{"not terminated, not resumable", false, head + chunk(event(1)), rest(2), []End{Split}, event(1), false},
		{"close-delimited, not resumable", false, "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n" + event(1), rest(2), []End{Split}, event(1), false},
		{"shorter than its length, not resumable", false, "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 999\r\n\r\n" + event(1), rest(2), []End{Split}, event(1), false},
		{"resumed", true, cut, rest(3, 4), []End{Split, Done}, all, true},
		{"resumed with earlier events repeated", true, cut, rest(1, 2, 3, 4), []End{Split, Done}, all, true},
		{"resumed after an incomplete event", true, head + chunk(event(1)[:4]) + chunk(event(1)[4:]+event(2)) + chunk("id: 3\n"), rest(3, 4), []End{Split, Done}, all, true},
		{"resumed with unnumbered events", true, cut, fmt.Sprintf(streamHead, "o") + chunk(": hello\n\n"+event(3)) + chunk(event(4)+"data: end\n\n") + "0\r\n\r\n", []End{Split, Done}, event(1) + event(2) + ": hello\n\n" + event(3) + event(4) + "data: end\n\n", true},
		{"resumed with no further numbered event", true, cut, fmt.Sprintf(streamHead, "o") + chunk(event(2)) + chunk("data: end\n\n") + "0\r\n\r\n", []End{Split, Done}, event(1) + event(2) + "data: end\n\n", true},
		{"resumed with a gap", true, cut, rest(4), []End{Split, Lost}, event(1) + event(2), false},
		{"resumed without a stream", true, cut, plain("1", event(3)), []End{Split, Lost}, event(1) + event(2), false},
		{"resumed without a seal", true, cut, strings.Replace(rest(3, 4), "X-Seal: other", "X-Unsealed: x", 1), []End{Split, Lost}, event(1) + event(2), false},
		{"resumed with a failure", true, cut, "HTTP/1.1 500 Oops\r\nX-Try: 1\r\nContent-Length: 0\r\n\r\n", []End{Split, Lost}, event(1) + event(2), false},
		{"resumption not run", true, cut, "HTTP/1.1 503 Full\r\nX-Try: 1\r\nX-Not-Run: busy\r\nContent-Length: 0\r\n\r\n", []End{Split, Dropped}, event(1) + event(2), false},
		{"truncated twice", true, cut, fmt.Sprintf(streamHead, "o") + chunk(event(3)), []End{Split, Split}, event(1) + event(2) + event(3), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := says(t, c.first, true), says(t, c.second, true)
			b := relayFor(t, &script{to: []string{first.addr(), second.addr()}, resume: c.resume}, RelayOptions{})
			cl := b.dial(t)
			cl.send(get("1"))
			a, body, err := cl.answer("GET")
			require.NotNil(t, a)
			require.Equal(t, c.whole, err == nil)
			require.Equal(t, c.body, body)
			require.Equal(t, "s", a.Header.Get("X-Seal"))
			b.settled(t)
			require.Equal(t, c.ends, b.hows())
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
		first, second := says(t, fmt.Sprintf(streamHead, "s"), true), says(t, fmt.Sprintf(streamHead, "o")+chunk(event(1))+"0\r\n\r\n", false)
		b := relayFor(t, &script{to: []string{first.addr(), second.addr()}, again: again}, RelayOptions{})
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
	first, second := says(t, fmt.Sprintf(streamHead, "s")+chunk(event(8))+chunk("id"), true), says(t, fmt.Sprintf(streamHead, "o")+chunk(event(9))+"0\r\n\r\n", false)
	b := relayFor(t, &script{to: []string{first.addr(), second.addr()}, resume: true}, RelayOptions{})
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
		first, second := says(t, "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\n"+head+strings.Repeat("x", 500_000), true), says(t, plain("1", "good"), false)
		b := relayFor(t, &script{to: []string{first.addr(), second.addr()}, again: true, resume: true}, RelayOptions{})
		cl := b.dial(t)
		cl.send(get("1"))
		_, body, err := cl.answer("GET")
		require.Error(t, err)
		require.NotContains(t, body, "good")
		require.Empty(t, second.requests())
		b.settled(t)
		require.Equal(t, []End{Split}, b.hows())
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
			srv := newStandIn(t, func(s *standIn, _ int, conn net.Conn, br *bufio.Reader) {
				s.next(br)
				_, _ = io.WriteString(conn, c.answer)
				close(reached)
				_, _ = br.ReadByte() // until the relay closes the connection
				close(left)
			})
			b := relayFor(t, &script{to: []string{srv.addr()}, again: true}, RelayOptions{})
			cl := b.dial(t)
			cl.send(get("1"))
			<-reached
			if strings.Contains(c.answer, "chunked") {
				_, err := http.ReadResponse(cl.br, &http.Request{Method: "GET"})
				require.NoError(t, err)
			}
			_ = cl.Close()
			<-left
			b.settled(t)
			require.Len(t, b.quits, 1)
			require.Empty(t, b.ends)
		})
	}
	t.Run("while waiting", func(t *testing.T) {
		silent := &mute{script: &script{}}
		b := relayFor(t, silent.script, RelayOptions{})
		silent.relay.Use(silent)
		cl := b.dial(t)
		cl.send(get("1"))
		require.Eventually(t, func() bool { return b.relay.Open() == 1 }, soon, time.Millisecond)
		_ = cl.Close()
		b.settled(t)
		require.Len(t, b.quits, 1)
	})
}

// silentDecider launches no attempts.
type mute struct{ *script }

func (m *mute) Step(in any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := in.(Quit); ok {
		m.quits = append(m.quits, v)
	}
}

// A client that stops reading is disconnected.
func TestRelayClientStalls(t *testing.T) {
	srv := newStandIn(t, func(s *standIn, _ int, c net.Conn, br *bufio.Reader) {
		s.next(br)
		writeAll(c, fmt.Sprintf(streamHead, "s"))
		for i := 1; ; i++ {
			if _, err := io.WriteString(c, chunk(event(i)+strings.Repeat(":\n", 8000)+"\n")); err != nil {
				return
			}
		}
	})
	b := relayFor(t, &script{to: []string{srv.addr()}, resume: true}, RelayOptions{WriteWait: 100 * time.Millisecond})
	cl := b.dial(t)
	cl.send(get("1"))
	b2 := make([]byte, 16)
	_, err := io.ReadFull(cl, b2)
	require.NoError(t, err)
	b.settled(t)
	require.Len(t, b.quits, 1)
}

// After many requests of all kinds no goroutine is left behind.
func TestRelayLeaksNoGoroutines(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("mixed requests", func(t *testing.T) {
		srv := newStandIn(t, func(s *standIn, n int, c net.Conn, br *bufio.Reader) {
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
					_, _ = io.WriteString(c, plain("none", "surplus")+plain(id, "good"))
				default:
					_, _ = io.WriteString(c, plain(id, "good"))
				}
			}
		})
		b := relayFor(t, &script{to: []string{srv.addr(), srv.addr(), srv.addr()}, again: true, resume: true}, RelayOptions{})
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
					_ = c.SetDeadline(time.Now().Add(soon))
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
		b.settled(t)
	})
	for end := time.Now().Add(soon); runtime.NumGoroutine() > before && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	p := make([]byte, 1<<20)
	require.LessOrEqual(t, runtime.NumGoroutine(), before, "%s", p[:runtime.Stack(p, true)])
}

// After the stop, the router reports unready at once, continues to serve, directs clients to other routers and
// lets requests in progress finish.
func TestRelayStops(t *testing.T) {
	unblock := make(chan struct{})
	srv := newStandIn(t, func(s *standIn, n int, c net.Conn, br *bufio.Reader) {
		for {
			q := s.next(br)
			if q == nil {
				return
			}
			if q.Header.Get("X-Try") == "slow" {
				<-unblock
			}
			_, _ = io.WriteString(c, plain(q.Header.Get("X-Try"), "good"))
		}
	})
	s := &script{to: []string{srv.addr()}}
	b, readiness, stop, end := serveUntil(t, s, RelayServe{Lame: 2 * time.Second, Grace: soon})
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
	require.Eventually(t, func() bool { return len(srv.requests()) == 1 }, soon, time.Millisecond)
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
	}, soon, time.Millisecond)
	close(unblock)
	a, body, err := slow.answer("GET")
	require.NoError(t, err)
	require.Equal(t, "good", body)
	require.True(t, a.Close)
	require.NoError(t, <-end)
	s.settled(t)
}

// The relay works with the real core in its host.
func TestRelayCore(t *testing.T) {
	core := New(Options{Inc: 7})
	r := NewRelay(RelayOptions{Dialect: fakeDialect{}})
	c := host.New(host.Options{Core: core, Beat: 10 * time.Millisecond, Ring: host.NewRing("t", io.Discard), Else: r.Act})
	r.Use(NewHostedDecider(c, core))
	require.NoError(t, c.Run())
	t.Cleanup(c.Stop)
	require.False(t, NewHostedDecider(c, core).MaySend(1, 1))
	ref, ch, done := r.register()
	defer done()
	r.decider.Step(Call{Ref: ref, Call: fleetplan.Call{ID: "1", Wait: -1}})
	require.Equal(t, failure.PastDue, (<-ch).(Receipt).Kind)
	r.Act("an unknown output")
}

// BenchmarkRelay measures small requests over reused connections, including the client and the server.
func BenchmarkRelay(b *testing.B) {
	answer := plain("1", strings.Repeat("x", 200))
	srv := newStandIn(b, func(_ *standIn, _ int, c net.Conn, br *bufio.Reader) {
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
	s := &script{to: []string{srv.addr()}}
	x := relayFor(b, s, RelayOptions{})
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
