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

// socket is the relay's end of its newest connection to a server.
type clientSocket struct {
	mu  sync.Mutex
	raw syscall.RawConn
}

// dialer notes the socket of each connection that it opens, and bounds what it takes in.
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

// await waits until something has come to the socket: bytes, an end or a reset.
func (s *clientSocket) awaitInput(t testing.TB) {
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Eventually(t, func() bool {
		var err error
		ctl := s.raw.Control(func(fd uintptr) {
			_, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return ctl != nil || err != syscall.EAGAIN
	}, soon, time.Millisecond)
}

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

const (
	bigBody    = 4_000_000 // of a request, far more than sockets take in at once
	sendBuffer = 64 << 10
	readBuffer = 64 << 10
)

// A kept connection dies under the second request, at each stage of it. What may run once is written
// once, or to another server if surely nothing of it left; what may be repeated is sent again.
func TestKeptDies(t *testing.T) {
	for _, c := range []struct {
		name  string
		body  int
		last  func(t *testing.T, c net.Conn, k *clientSocket) // at the relay's last look
		serve func(s *standIn, c net.Conn, br *bufio.Reader)
		once  []End // how the attempts of the second request end, if it may run once
		again []End // and if it may be repeated
		wrote int   // so many whole requests reach the first server, beside the one before
	}{
		{name: "reset at the last look", last: func(t *testing.T, c net.Conn, k *clientSocket) { resetConn(c); k.awaitInput(t) },
			once: []End{Unsent, Done}, again: []End{Unsent, Done}},
		{name: "closed at the last look", last: func(t *testing.T, c net.Conn, k *clientSocket) { _ = c.Close(); k.awaitInput(t) },
			once: []End{Lost}, again: []End{Lost, Done}},
		{name: "reset in the write", body: bigBody, serve: func(_ *standIn, c net.Conn, br *bufio.Reader) {
			_ = c.(*net.TCPConn).SetReadBuffer(readBuffer)
			_, _ = br.Discard(1 << 10)
			resetConn(c)
		}, once: []End{Lost}, again: []End{Lost, Done}},
		{name: "closed in the write", body: bigBody, serve: func(_ *standIn, c net.Conn, br *bufio.Reader) {
			_ = c.(*net.TCPConn).SetReadBuffer(readBuffer)
			_, _ = br.Discard(1 << 10)
		}, once: []End{Lost}, again: []End{Lost, Done}},
		{name: "reset after the write", serve: func(s *standIn, c net.Conn, br *bufio.Reader) {
			s.next(br)
			resetConn(c)
		}, once: []End{Lost}, again: []End{Lost, Done}, wrote: 1},
		{name: "closed after the write", serve: func(s *standIn, _ net.Conn, br *bufio.Reader) { s.next(br) },
			once: []End{Lost}, again: []End{Lost, Done}, wrote: 1},
		{name: "closed after an interim answer", serve: func(s *standIn, c net.Conn, br *bufio.Reader) {
			s.next(br)
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nX-Try: 1\r\nX-Seal: s\r\n\r\n")
		}, once: []End{Lost}, again: []End{Lost, Done}, wrote: 1},
		{name: "reset in the body", serve: func(s *standIn, c net.Conn, br *bufio.Reader) {
			s.next(br)
			_, _ = io.WriteString(c, plain("1", "good")[:60])
			resetConn(c)
		}, once: []End{Lost}, again: []End{Lost, Done}, wrote: 1},
	} {
		for _, again := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " ", again), func(t *testing.T) {
				var k clientSocket
				srv := newStandIn(t, func(s *standIn, _ int, conn net.Conn, br *bufio.Reader) {
					if s.next(br) == nil {
						return
					}
					_, _ = io.WriteString(conn, plain("1", "good"))
					if c.serve != nil {
						c.serve(s, conn, br)
						return
					}
					_, _ = br.ReadByte() // until the test ends it
				})
				other := says(t, plain("1", "other"), false)
				b := relayFor(t, &script{to: []string{srv.addr()}, again: again}, RelayOptions{Conns: ConnOptions{Dialer: k.dialer()}})
				cl := b.dial(t)
				cl.send(get("1"))
				_, body, err := cl.answer("GET")
				require.NoError(t, err)
				require.Equal(t, "good", body)
				b.settled(t)

				b.mu.Lock()
				b.to = append(b.to, other.addr())
				if looks := 0; c.last != nil {
					b.beforeSend = func() {
						if looks++; looks == 1 {
							c.last(t, srv.conn(0), &k)
						}
					}
				}
				b.mu.Unlock()
				cl.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX-Try: 1\r\nContent-Length: %d\r\n\r\n%s", c.body, strings.Repeat("x", c.body)))
				a, body, err := cl.answer("POST")
				require.NoError(t, err)
				b.settled(t)
				want := c.once
				if again {
					want = c.again
				}
				require.Equal(t, want, b.hows()[1:])
				require.Len(t, srv.requests(), 1+c.wrote)
				require.Equal(t, 1, srv.accepted(), "written again to the same server")
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

// What comes on a kept connection and belongs to no request under way reaches nobody, whenever it comes.
func TestSurplus(t *testing.T) {
	other := plain("1", "another's")
	for _, c := range []struct {
		name     string
		behind   string // comes with the first answer
		idle     string // comes while the connection is idle
		look     string // comes at the last look of the second request
		status   int
		accepted int
		kept     bool // whether the connection of the second request is kept
	}{
		{"none", "", "", "", 200, 1, true},
		{"answer behind", other, "", "", 200, 2, true},
		{"answer while idle", "", other, "", 200, 2, true},
		{"answer at the last look", "", "", other, 200, 1, false},
		{"two answers at the last look", "", "", other + other, 200, 1, false},
		{"three answers at the last look", "", "", other + other + other, 502, 1, false},
		{"interim answer at the last look", "", "", "HTTP/1.1 100 Continue\r\n\r\n", 200, 1, true},
		{"answer in chunks at the last look", "", "", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", 200, 1, false},
		{"decline at the last look", "", "", "HTTP/1.1 503 Full\r\nX-Try: 1\r\nX-Not-Run: busy\r\nContent-Length: 0\r\n\r\n", 200, 1, false},
		{"answer without an id at the last look", "", "", "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nno", 502, 1, false},
		{"endless answer at the last look", "", "", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\n\r\nno", 502, 1, false},
		{"half an answer at the last look", "", "", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 99\r\n\r\nno", 502, 1, false},
		{"bytes behind", "\r\n", "", "", 200, 2, true},
		{"bytes while idle", "", "x", "", 200, 2, true},
		{"bytes at the last look", "", "", "\x00\x01", 502, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var k clientSocket
			srv := newStandIn(t, func(s *standIn, _ int, conn net.Conn, br *bufio.Reader) {
				for q := s.next(br); q != nil; q = s.next(br) {
					id := q.Header.Get("X-Try")
					if id != "1" {
						_, _ = io.WriteString(conn, plain(id, "for "+id))
						return
					}
					_, _ = io.WriteString(conn, plain(id, "for "+id)+c.behind) // in one piece
				}
			})
			b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{Conns: ConnOptions{Dialer: k.dialer()}})
			cl := b.dial(t)
			cl.send(get("1"))
			_, body, err := cl.answer("GET")
			require.NoError(t, err)
			require.Equal(t, "for 1", body)
			b.settled(t)
			write := func(what string) {
				if what != "" {
					_, _ = io.WriteString(srv.conn(0), what)
					k.awaitInput(t)
				}
			}
			write(c.idle)
			b.mu.Lock()
			b.beforeSend = func() { write(c.look) }
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
			b.settled(t)
			require.Equal(t, c.kept, countIdle(b.relay.conns) > 0)
			if c.status == 200 {
				require.Len(t, srv.requests(), 2)
			} else {
				require.LessOrEqual(t, len(srv.requests()), 2) // it may not have read the second yet
			}
		})
	}
}

// An answer that comes after its request was given up finds nobody on its connection.
func TestAnswerAfterGivingUp(t *testing.T) {
	free := make(chan struct{})
	srv := newStandIn(t, func(s *standIn, n int, conn net.Conn, br *bufio.Reader) {
		for q := s.next(br); q != nil; q = s.next(br) {
			if id := q.Header.Get("X-Try"); id == "1" {
				<-free
			}
			_, _ = io.WriteString(conn, plain(q.Header.Get("X-Try"), "for "+q.Header.Get("X-Try")))
		}
	})
	b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{})
	leaves := b.dial(t)
	leaves.send(get("1"))
	require.Eventually(t, func() bool { return len(srv.requests()) == 1 }, soon, time.Millisecond)
	_ = leaves.Close()
	b.settled(t)
	close(free)
	for _, id := range []string{"2", "3"} {
		cl := b.dial(t)
		cl.send(get(id))
		a, body, err := cl.answer("GET")
		require.NoError(t, err)
		require.Equal(t, id, a.Header.Get("X-Try"))
		require.Equal(t, "for "+id, body)
		b.settled(t)
	}
	require.Equal(t, 2, srv.accepted(), "the connection of the request that was given up is not used again")
}

// An answer of the router's own bears no seal, whatever the server's had that it stands for.
func TestOwnAnswersBearNoSeal(t *testing.T) {
	for _, c := range []struct{ name, answer string }{
		{"failure that breaks off", "HTTP/1.1 500 Oops\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf"},
		{"success that breaks off", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf"},
		{"decline", "HTTP/1.1 503 Full\r\nX-Try: 1\r\nX-Seal: s\r\nX-Not-Run: busy\r\nContent-Length: 0\r\n\r\n"},
		{"refusal that is no decline", "HTTP/1.1 429 Full\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n"},
		{"wrong server", "HTTP/1.1 421 Wrong\r\nX-Try: 1\r\nX-Seal: s\r\nX-Not-Run: mismatch\r\nContent-Length: 0\r\n\r\n"},
		{"another's", plain("2", "x")},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := says(t, c.answer, true)
			b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{})
			cl := b.dial(t)
			cl.send(get("1"))
			a, body, err := cl.answer("GET")
			require.NoError(t, err)
			require.GreaterOrEqual(t, a.StatusCode, 400)
			require.NotContains(t, a.Header, "X-Seal")
			require.NotContains(t, a.Header, "X-Try")
			require.Contains(t, body, `"kind"`)
			b.settled(t)
		})
	}
}

// A failure of the server's own keeps its status, its seal and its body.
func TestOwnFailureOfServer(t *testing.T) {
	for _, status := range []int{302, 400, 404, 500, 502, 504} {
		srv := says(t, fmt.Sprintf("HTTP/1.1 %d X\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nno", status), false)
		b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{})
		cl := b.dial(t)
		cl.send(get("1"))
		a, body, err := cl.answer(http.MethodGet)
		require.NoError(t, err)
		require.Equal(t, status, a.StatusCode)
		require.Equal(t, "s", a.Header.Get("X-Seal"))
		require.Equal(t, "no", body)
		b.settled(t)
	}
}
