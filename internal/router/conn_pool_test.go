package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testTimeout is how long a test waits at most for an expected event.
const testTimeout = 30 * time.Second

// testServer is a server that passes each connection, with its number starting from 0, to a function.
type testServer struct {
	net.Listener
	mu             sync.Mutex
	conns          []net.Conn
	received       []*http.Request // requests whose bodies have been read
	receivedBodies []string
}

func newTestServer(t testing.TB, serve func(s *testServer, n int, c net.Conn, br *bufio.Reader)) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testServer{Listener: l}
	var handlers sync.WaitGroup
	handlers.Add(1)
	go func() {
		defer handlers.Done()
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			handlers.Add(1)
			go func() {
				defer handlers.Done()
				defer c.Close()
				serve(s, n, c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		handlers.Wait()
	})
	return s
}

func (s *testServer) addr() string { return s.Addr().String() }

// next reads and records a complete request. It returns nil if the connection has ended.
func (s *testServer) next(br *bufio.Reader) *http.Request {
	q, err := http.ReadRequest(br)
	if err != nil {
		return nil
	}
	b, err := io.ReadAll(q.Body)
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, q)
	s.receivedBodies = append(s.receivedBodies, string(b))
	return q
}

func (s *testServer) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request{}, s.received...)
}

func (s *testServer) bodies() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.receivedBodies...)
}

func (s *testServer) accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// conn returns a connection by its number.
func (s *testServer) conn(n int) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[n]
}

func countIdle(p *connPool) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		n += len(l)
	}
	return n
}

// roundTrip sends a request on a connection and reads the complete response.
func roundTrip(t *testing.T, c *conn) string {
	_, err := io.WriteString(c.Conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	a, err := c.readResponse(&http.Request{Method: http.MethodGet}, 1<<16)
	require.NoError(t, err)
	b, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	return string(b)
}

// A connection is reused or not, depending on the server's response and behavior.
func TestConnReuse(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		reused       bool
	}{
		{"plain", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"keep-alive timeout", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok", true},
		{"keep-alive timeout of zero", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false},
		{"connection close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"surplus bytes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t, func(s *testServer, _ int, conn net.Conn, br *bufio.Reader) {
				for s.next(br) != nil {
					_, _ = io.WriteString(conn, c.answer)
				}
			})
			p := newConnPool(ConnOptions{})
			defer p.close()
			for i := range 3 {
				x, reused, err := p.get(context.Background(), endpoint{addr: s.addr()}, time.Time{})
				require.NoError(t, err)
				require.Equal(t, c.reused && i > 0, reused)
				require.Equal(t, "ok", roundTrip(t, x))
				p.put(x)
			}
			if c.reused {
				require.Equal(t, ConnTally{Opens: 1, Reuses: 2}, p.tally())
			} else {
				require.Equal(t, uint64(3), p.tally().Opens)
			}
		})
	}
}

// An idle connection that its server has closed, or that has received data, is not reused.
func TestStaleConns(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(net.Conn)
	}{
		{"closed", func(c net.Conn) { _ = c.Close() }},
		{"reset", func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }},
		{"surplus", func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t, func(s *testServer, _ int, conn net.Conn, br *bufio.Reader) {
				for s.next(br) != nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			p := newConnPool(ConnOptions{})
			defer p.close()
			x, _, err := p.get(context.Background(), endpoint{addr: s.addr()}, time.Time{})
			require.NoError(t, err)
			roundTrip(t, x)
			p.put(x)
			s.mu.Lock()
			c.do(s.conns[0])
			s.mu.Unlock()
			require.Eventually(t, func() bool { return !x.reusable() }, testTimeout, time.Millisecond)
			y, reused, err := p.get(context.Background(), endpoint{addr: s.addr()}, time.Time{})
			require.NoError(t, err)
			require.False(t, reused)
			require.NotSame(t, x, y)
			require.Equal(t, "ok", roundTrip(t, y))
			p.put(y)
			require.Equal(t, uint64(1), p.tally().Discards)
		})
	}
}

// The most recently used connection is reused first, the number of idle connections stays within its limit, and
// reap and closeIdle close idle connections.
func TestConnPoolLimits(t *testing.T) {
	s := newTestServer(t, func(s *testServer, _ int, _ net.Conn, br *bufio.Reader) {
		for s.next(br) != nil {
		}
	})
	p := newConnPool(ConnOptions{MaxIdlePerEndpoint: 2, IdleTimeout: time.Hour})
	defer p.close()
	var l []*conn
	for range 4 {
		c, reused, err := p.get(context.Background(), endpoint{addr: s.addr()}, time.Time{})
		require.NoError(t, err)
		require.False(t, reused)
		l = append(l, c)
	}
	for _, c := range l {
		p.put(c)
	}
	require.Equal(t, 2, countIdle(p))
	for _, want := range []*conn{l[3], l[2]} {
		c, reused, err := p.get(context.Background(), endpoint{addr: s.addr()}, time.Time{})
		require.NoError(t, err)
		require.True(t, reused)
		require.Same(t, want, c)
	}
	p.put(l[2])
	p.closeIdle(s.addr())
	require.Zero(t, countIdle(p))

	l[3].idleTimeout, l[3].answered = time.Nanosecond, true // as announced by its last response
	p.put(l[3])
	p.reap()
	require.Zero(t, countIdle(p))
	require.False(t, p.reapScheduled)

	_, _, err := p.get(context.Background(), endpoint{addr: "127.0.0.1:1"}, time.Time{})
	require.Error(t, err)
	require.Equal(t, uint64(1), p.tally().Failures)
}

// Reading an endless response head stops at the size limit.
func TestResponseHeadLimit(t *testing.T) {
	s := newTestServer(t, func(_ *testServer, _ int, c net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for i := 0; ; i++ {
			if _, err := fmt.Fprintf(c, "H-%d: v\r\n", i); err != nil {
				return
			}
		}
	})
	p := newConnPool(ConnOptions{})
	defer p.close()
	c, _, err := p.get(context.Background(), endpoint{addr: s.addr()}, time.Time{})
	require.NoError(t, err)
	defer c.close()
	_, err = c.readResponse(&http.Request{Method: http.MethodGet}, 4096)
	require.Error(t, err)
	require.Zero(t, c.readLimit)
}

// closeIdle closes all idle connections to an address, whichever server they were opened to.
func (p *connPool) closeIdle(addr string) {
	var l []*conn
	p.mu.Lock()
	for to, kept := range p.idle {
		if to.addr == addr {
			l = append(l, kept...)
			delete(p.idle, to)
		}
	}
	p.mu.Unlock()
	p.discards.Add(uint64(len(l)))
	for _, c := range l {
		c.close()
	}
}
