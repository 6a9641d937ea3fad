package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clientSocket is the relay's end of its most recent connection to a server.
type clientSocket struct {
	mu  sync.Mutex
	raw syscall.RawConn
}

// dialer returns a dialer that records the socket of each connection and limits its send buffer.
func (s *clientSocket) dialer() *net.Dialer {
	return &net.Dialer{ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.raw = c
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
		})
	}}
}

// awaitInput waits until the socket has received data, an end of stream or a reset.
func (s *clientSocket) awaitInput(t testing.TB) {
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Eventually(t, func() bool {
		var err error
		ctl := s.raw.Control(func(fd uintptr) {
			_, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return ctl != nil || err != syscall.EAGAIN
	}, testTimeout, time.Millisecond)
}

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

const (
	bigBody    = 4_000_000 // size of a request body that far exceeds the socket buffers
	sendBuffer = 64 << 10
	readBuffer = 64 << 10
)

// A reused connection breaks at each stage of the second request. A request that must run at most once is sent
// once, and to another server only if no byte of it was sent; a repeatable request is sent again.
func TestReusedConnBreaks(t *testing.T) {
	for _, c := range []struct {
		name       string
		body       int
		breakConn  func(t *testing.T, c net.Conn, k *clientSocket) // called immediately before the relay sends
		serve      func(s *testServer, c net.Conn, br *bufio.Reader)
		atMostOnce []Outcome // outcomes of the second request's attempts if it must run at most once
		repeatable []Outcome // outcomes if it may be repeated
		received   int       // complete requests that reach the first server after the initial one
	}{
		{name: "reset before the send", breakConn: func(t *testing.T, c net.Conn, k *clientSocket) { resetConn(c); k.awaitInput(t) },
			atMostOnce: []Outcome{Unsent, Done}, repeatable: []Outcome{Unsent, Done}},
		{name: "closed before the send", breakConn: func(t *testing.T, c net.Conn, k *clientSocket) { _ = c.Close(); k.awaitInput(t) },
			atMostOnce: []Outcome{Lost}, repeatable: []Outcome{Lost, Done}},
		{name: "reset during the write", body: bigBody, serve: func(_ *testServer, c net.Conn, br *bufio.Reader) {
			_ = c.(*net.TCPConn).SetReadBuffer(readBuffer)
			_, _ = br.Discard(1 << 10)
			resetConn(c)
		}, atMostOnce: []Outcome{Lost}, repeatable: []Outcome{Lost, Done}},
		{name: "closed during the write", body: bigBody, serve: func(_ *testServer, c net.Conn, br *bufio.Reader) {
			_ = c.(*net.TCPConn).SetReadBuffer(readBuffer)
			_, _ = br.Discard(1 << 10)
		}, atMostOnce: []Outcome{Lost}, repeatable: []Outcome{Lost, Done}},
		{name: "reset after the write", serve: func(s *testServer, c net.Conn, br *bufio.Reader) {
			s.next(br)
			resetConn(c)
		}, atMostOnce: []Outcome{Lost}, repeatable: []Outcome{Lost, Done}, received: 1},
		{name: "closed after the write", serve: func(s *testServer, _ net.Conn, br *bufio.Reader) { s.next(br) },
			atMostOnce: []Outcome{Lost}, repeatable: []Outcome{Lost, Done}, received: 1},
		{name: "closed after an interim response", serve: func(s *testServer, c net.Conn, br *bufio.Reader) {
			s.next(br)
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nX-Try: 1\r\nX-Seal: s\r\n\r\n")
		}, atMostOnce: []Outcome{Lost}, repeatable: []Outcome{Lost, Done}, received: 1},
		{name: "reset during the body", serve: func(s *testServer, c net.Conn, br *bufio.Reader) {
			s.next(br)
			_, _ = io.WriteString(c, sealedResponse("1", "good")[:60])
			resetConn(c)
		}, atMostOnce: []Outcome{Lost}, repeatable: []Outcome{Lost, Done}, received: 1},
	} {
		for _, again := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " ", again), func(t *testing.T) {
				var k clientSocket
				srv := newTestServer(t, func(s *testServer, _ int, conn net.Conn, br *bufio.Reader) {
					if s.next(br) == nil {
						return
					}
					_, _ = io.WriteString(conn, sealedResponse("1", "good"))
					if c.serve != nil {
						c.serve(s, conn, br)
						return
					}
					_, _ = br.ReadByte() // until the test closes the connection
				})
				other := newFixedServer(t, sealedResponse("1", "other"), false)
				b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}, repeatable: again}, RelayOptions{Conns: ConnOptions{Dialer: k.dialer()}})
				cl := b.dial(t)
				cl.send(get("1"))
				_, body, err := cl.answer("GET")
				require.NoError(t, err)
				require.Equal(t, "good", body)
				b.requireOneEnd(t)

				b.mu.Lock()
				b.addrs = append(b.addrs, other.addr())
				if sends := 0; c.breakConn != nil {
					b.beforeSend = func() {
						if sends++; sends == 1 {
							c.breakConn(t, srv.conn(0), &k)
						}
					}
				}
				b.mu.Unlock()
				cl.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX-Try: 1\r\nContent-Length: %d\r\n\r\n%s", c.body, strings.Repeat("x", c.body)))
				a, body, err := cl.answer("POST")
				require.NoError(t, err)
				b.requireOneEnd(t)
				want := c.atMostOnce
				if again {
					want = c.repeatable
				}
				require.Equal(t, want, b.attemptEnds()[1:])
				require.Len(t, srv.requests(), 1+c.received)
				require.Equal(t, 1, srv.accepted(), "sent again to the same server")
				if want[len(want)-1] != Done {
					require.Equal(t, 502, a.StatusCode)
					require.Empty(t, other.requests())
					return
				}
				require.Equal(t, "other", body)
				require.Len(t, other.requests(), 1)
			})
		}
	}
}

// Data that arrives on a reused connection and belongs to no request in progress reaches no client, whenever it
// arrives.
func TestSurplusResponses(t *testing.T) {
	other := sealedResponse("1", "another's")
	for _, c := range []struct {
		name     string
		after    string // sent together with the first response
		idle     string // sent while the connection is idle
		send     string // sent immediately before the second request
		status   int
		accepted int
		kept     bool // whether the connection of the second request is kept
	}{
		{"none", "", "", "", 200, 1, true},
		{"response after the first", other, "", "", 200, 2, true},
		{"response while idle", "", other, "", 200, 2, true},
		{"response before the send", "", "", other, 200, 1, false},
		{"two responses before the send", "", "", other + other, 200, 1, false},
		{"three responses before the send", "", "", other + other + other, 502, 1, false},
		{"interim response before the send", "", "", "HTTP/1.1 100 Continue\r\n\r\n", 200, 1, true},
		{"response in chunks before the send", "", "", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", 200, 1, false},
		{"not run before the send", "", "", "HTTP/1.1 503 Full\r\nX-Try: 1\r\nX-Not-Run: busy\r\nContent-Length: 0\r\n\r\n", 200, 1, false},
		{"response without an ID before the send", "", "", "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nno", 502, 1, false},
		{"close-delimited response before the send", "", "", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\n\r\nno", 502, 1, false},
		{"truncated response before the send", "", "", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 99\r\n\r\nno", 502, 1, false},
		{"bytes after the first response", "\r\n", "", "", 200, 2, true},
		{"bytes while idle", "", "x", "", 200, 2, true},
		{"bytes before the send", "", "", "\x00\x01", 502, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var k clientSocket
			srv := newTestServer(t, func(s *testServer, _ int, conn net.Conn, br *bufio.Reader) {
				for q := s.next(br); q != nil; q = s.next(br) {
					id := q.Header.Get("X-Try")
					if id != "1" {
						_, _ = io.WriteString(conn, sealedResponse(id, "for "+id))
						return
					}
					_, _ = io.WriteString(conn, sealedResponse(id, "for "+id)+c.after) // in a single write
				}
			})
			b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{Conns: ConnOptions{Dialer: k.dialer()}})
			cl := b.dial(t)
			cl.send(get("1"))
			_, body, err := cl.answer("GET")
			require.NoError(t, err)
			require.Equal(t, "for 1", body)
			b.requireOneEnd(t)
			write := func(what string) {
				if what != "" {
					_, _ = io.WriteString(srv.conn(0), what)
					k.awaitInput(t)
				}
			}
			write(c.idle)
			b.mu.Lock()
			b.beforeSend = func() { write(c.send) }
			b.mu.Unlock()
			cl.send(get("2"))
			a, body, err := cl.answer("GET")
			require.NoError(t, err)
			require.Equal(t, c.status, a.StatusCode)
			if c.status == 200 {
				require.Equal(t, "2", a.Header.Get("X-Try"))
				require.Equal(t, "for 2", body)
			} else {
				require.Empty(t, a.Header.Get("X-Try"))
				require.Empty(t, a.Header.Get("X-Seal"))
			}
			require.Equal(t, c.accepted, srv.accepted())
			b.requireOneEnd(t)
			require.Equal(t, c.kept, countIdle(b.relay.conns) > 0)
			if c.status == 200 {
				require.Len(t, srv.requests(), 2)
			} else {
				require.LessOrEqual(t, len(srv.requests()), 2) // the server may not have read the second request yet
			}
		})
	}
}

// A response that arrives after its request was abandoned reaches no other request.
func TestResponseAfterAbandon(t *testing.T) {
	unblock := make(chan struct{})
	srv := newTestServer(t, func(s *testServer, n int, conn net.Conn, br *bufio.Reader) {
		for q := s.next(br); q != nil; q = s.next(br) {
			if id := q.Header.Get("X-Try"); id == "1" {
				<-unblock
			}
			_, _ = io.WriteString(conn, sealedResponse(q.Header.Get("X-Try"), "for "+q.Header.Get("X-Try")))
		}
	})
	b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{})
	leaves := b.dial(t)
	leaves.send(get("1"))
	require.Eventually(t, func() bool { return len(srv.requests()) == 1 }, testTimeout, time.Millisecond)
	_ = leaves.Close()
	b.requireOneEnd(t)
	close(unblock)
	for _, id := range []string{"2", "3"} {
		cl := b.dial(t)
		cl.send(get(id))
		a, body, err := cl.answer("GET")
		require.NoError(t, err)
		require.Equal(t, id, a.Header.Get("X-Try"))
		require.Equal(t, "for "+id, body)
		b.requireOneEnd(t)
	}
	require.Equal(t, 2, srv.accepted(), "the connection of the abandoned request is not reused")
}

// Responses generated by the router carry no seal, even if the server's response that they replace had one.
func TestGeneratedResponsesHaveNoSeal(t *testing.T) {
	for _, c := range []struct{ name, answer string }{
		{"truncated failure", "HTTP/1.1 500 Oops\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf"},
		{"truncated success", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf"},
		{"not run", "HTTP/1.1 503 Full\r\nX-Try: 1\r\nX-Seal: s\r\nX-Not-Run: busy\r\nContent-Length: 0\r\n\r\n"},
		{"refusal without proof", "HTTP/1.1 429 Full\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n"},
		{"wrong server", "HTTP/1.1 421 Wrong\r\nX-Try: 1\r\nX-Seal: s\r\nX-Not-Run: mismatch\r\nContent-Length: 0\r\n\r\n"},
		{"response to another request", sealedResponse("2", "x")},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := newFixedServer(t, c.answer, true)
			b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{})
			cl := b.dial(t)
			cl.send(get("1"))
			a, body, err := cl.answer("GET")
			require.NoError(t, err)
			require.GreaterOrEqual(t, a.StatusCode, 400)
			require.NotContains(t, a.Header, "X-Seal")
			require.NotContains(t, a.Header, "X-Try")
			require.Contains(t, body, `"kind"`)
			b.requireOneEnd(t)
		})
	}
}

// A failure response generated by a server keeps its status, seal and body.
func TestServerFailureUnchanged(t *testing.T) {
	for _, status := range []int{302, 400, 404, 500, 502, 504} {
		srv := newFixedServer(t, fmt.Sprintf("HTTP/1.1 %d X\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nno", status), false)
		b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{})
		cl := b.dial(t)
		cl.send(get("1"))
		a, body, err := cl.answer(http.MethodGet)
		require.NoError(t, err)
		require.Equal(t, status, a.StatusCode)
		require.Equal(t, "s", a.Header.Get("X-Seal"))
		require.Equal(t, "no", body)
		b.requireOneEnd(t)
	}
}
