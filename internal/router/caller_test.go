package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
)

// A client that shuts down its sending side during a request counts as disconnected. It must not read a complete
// answer then, neither an empty answer of the router nor the first part of the server's answer.
func TestHalfClosedClient(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		read         string // what the client reads before it shuts down its sending side
	}{
		{"before the answer", "", ""},
		{"in a stream", fmt.Sprintf(streamHead, "s") + chunk(event(1)), event(1)},
		{"in a long answer", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("x", 400_000)), strings.Repeat("x", 300_000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			reached := make(chan struct{})
			srv := newTestServer(t, func(s *testServer, _ int, conn net.Conn, br *bufio.Reader) {
				s.next(br)
				_, _ = io.WriteString(conn, c.answer)
				close(reached)
				_, _ = br.ReadByte() // until the relay closes the connection
			})
			b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}, repeatable: true}, RelayOptions{})
			cl := b.dial(t)
			cl.send(get("1"))
			<-reached
			var a *http.Response
			var err error
			if c.read != "" {
				a, err = http.ReadResponse(cl.br, &http.Request{Method: "GET"})
				require.NoError(t, err)
				_, err = io.ReadFull(a.Body, make([]byte, len(c.read)))
				require.NoError(t, err)
			}
			require.NoError(t, cl.Conn.(*net.TCPConn).CloseWrite())
			if a == nil {
				a, err = http.ReadResponse(cl.br, &http.Request{Method: "GET"})
				require.Error(t, err, "%v", a)
				return
			}
			_, err = io.ReadAll(a.Body)
			require.Error(t, err, "the truncated answer looks complete")
		})
	}
}

// The same holds for a client whose request still waits for a server.
func TestHalfClosedClientWaits(t *testing.T) {
	silent := &silentDecider{scriptedDecider: &scriptedDecider{}}
	b := newRelayFixture(t, silent.scriptedDecider, RelayOptions{})
	silent.relay.SetDecider(silent)
	cl := b.dial(t)
	cl.send(get("1"))
	require.Eventually(t, func() bool { return b.relay.InFlight() == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, cl.Conn.(*net.TCPConn).CloseWrite())
	a, err := http.ReadResponse(cl.br, &http.Request{Method: "GET"})
	require.Error(t, err, "%v", a)
	b.requireOneEnd(t)
}

// Answers that do not clearly belong to the request, or whose end is ambiguous, are not forwarded.
func TestDoubtfulAnswers(t *testing.T) {
	inner := sealedResponse("1", "hidden")
	for _, c := range []struct {
		name, method, answer string
	}{
		{"another answer in place of the absent body of HEAD", "HEAD", sealedResponse("2", inner)},
		{"status below the range of HTTP", "GET", "HTTP/1.1 042 What\r\nContent-Length: 0\r\n\r\n" + sealedResponse("1", "good")},
		{"status above the range of HTTP", "GET", "HTTP/1.1 799 What\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\ngood"},
		{"other major version", "GET", "HTTP/2.0 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\ngood"},
		{"end marked only by the close of the connection", "GET", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\n\r\nhalf"},
		{"chunked with HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
	} {
		for _, again := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " ", again), func(t *testing.T) {
				first, second := newFixedServer(t, c.answer, true), newTestServer(t, func(s *testServer, _ int, conn net.Conn, br *bufio.Reader) {
					for s.next(br) != nil {
						head, body, _ := strings.Cut(sealedResponse("1", "good"), "\r\n\r\n")
						if c.method == "HEAD" {
							body = ""
						}
						_, _ = io.WriteString(conn, head+"\r\n\r\n"+body)
					}
				})
				b := newRelayFixture(t, &scriptedDecider{addrs: []string{first.addr(), second.addr()}, repeatable: again}, RelayOptions{})
				cl := b.dial(t)
				cl.send(c.method + " / HTTP/1.1\r\nHost: h\r\nX-Try: 1\r\n\r\n")
				a, body, err := cl.answer(c.method)
				require.NoError(t, err)
				b.requireOneEnd(t)
				require.Len(t, first.requests(), 1)
				if !again {
					require.Equal(t, 502, a.StatusCode)
					require.Equal(t, []Outcome{Lost}, b.attemptEnds())
					return
				}
				require.Equal(t, 200, a.StatusCode)
				require.Equal(t, "4", a.Header.Get("Content-Length"))
				if c.method != "HEAD" {
					require.Equal(t, "good", body)
				}
				require.Equal(t, []Outcome{Lost, Done}, b.attemptEnds())
			})
		}
	}
}

// An answer whose status permits no body carries no Content-Length.
func TestNoContentHasNoLength(t *testing.T) {
	srv := newFixedServer(t, "HTTP/1.1 204 No Content\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\n", false)
	b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{})
	cl := b.dial(t)
	cl.send(get("1"))
	a, _, err := cl.answer("GET")
	require.NoError(t, err)
	require.Equal(t, 204, a.StatusCode)
	require.NotContains(t, a.Header, "Content-Length")
}

// A kept-alive connection belongs to one server process and is not used for another server at the same address.
func TestKeptForOneServer(t *testing.T) {
	srv := newTestServer(t, func(s *testServer, _ int, c net.Conn, br *bufio.Reader) {
		for s.next(br) != nil {
			_, _ = io.WriteString(c, sealedResponse("1", "good"))
		}
	})
	b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{})
	for _, c := range []struct {
		name string
		want int // total number of connections
	}{{"old", 1}, {"old", 1}, {"new", 2}, {"new", 2}, {"old", 2}} {
		b.mu.Lock()
		b.names = []string{c.name}
		b.mu.Unlock()
		cl := b.dial(t)
		cl.send(get("1"))
		a, _, err := cl.answer("GET")
		require.NoError(t, err)
		require.Equal(t, 200, a.StatusCode)
		b.requireOneEnd(t)
		require.Equal(t, c.want, srv.accepted())
	}
}

// A connection that was taken from the pool but not used keeps the idle timeout announced by its server.
func TestUnusedKeepsItsTime(t *testing.T) {
	srv := newTestServer(t, func(s *testServer, _ int, c net.Conn, br *bufio.Reader) {
		for s.next(br) != nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=100\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p := newConnPool(ConnOptions{IdleTimeout: time.Hour})
	defer p.close()
	c, _, err := p.get(context.Background(), endpoint{addr: srv.addr()}, time.Time{})
	require.NoError(t, err)
	roundTrip(t, c)
	p.put(c)
	until := c.idleDeadline
	c, reused, err := p.get(context.Background(), endpoint{addr: srv.addr()}, time.Time{})
	require.NoError(t, err)
	require.True(t, reused)
	p.put(c)
	require.Equal(t, until, c.idleDeadline)
}

// No part of an attempt continues past its deadline: neither the dial nor an answer that began in time.
func TestEndsAtItsTime(t *testing.T) {
	t.Run("dial", func(t *testing.T) {
		var until time.Time
		var bounded bool
		d := &net.Dialer{Timeout: 24 * time.Hour, ControlContext: func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
			until, bounded = ctx.Deadline()
			return nil
		}}
		srv := newFixedServer(t, sealedResponse("1", "good"), false)
		b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}, timeLeft: time.Hour}, RelayOptions{Conns: ConnOptions{Dialer: d}})
		cl := b.dial(t)
		cl.send(get("1"))
		_, _, err := cl.answer("GET")
		require.NoError(t, err)
		require.True(t, bounded)
		require.Less(t, time.Until(until), 2*time.Hour)
	})
	// The server answers long after the deadline and the slack. A relay that still waits would receive the whole answer.
	const left, slack, late = 50 * time.Millisecond, 10 * time.Millisecond, 1500 * time.Millisecond
	for _, c := range []struct{ name, head, rest string }{
		{"body", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\n", "late"},
		{"stream", fmt.Sprintf(streamHead, "s") + chunk(event(1)), "0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := newTestServer(t, func(s *testServer, _ int, conn net.Conn, br *bufio.Reader) {
				s.next(br)
				_, _ = io.WriteString(conn, c.head)
				_ = conn.SetReadDeadline(time.Now().Add(late))
				if _, err := br.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
					_, _ = io.WriteString(conn, c.rest)
				}
			})
			b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}, timeLeft: left}, RelayOptions{Slack: slack})
			cl := b.dial(t)
			cl.send(get("1"))
			_, body, _ := cl.answer("GET")
			b.requireOneEnd(t)
			require.NotContains(t, b.attemptEnds(), Done)
			require.NotContains(t, body, "late")
		})
	}
}

// Events without a number that were already forwarded cannot be distinguished from those repeated by another run. A
// stream is therefore resumed only directly after a numbered event.
func TestNoSpliceBehindUnnumbered(t *testing.T) {
	for _, c := range []struct {
		name, first, second, body string
		whole                     bool
	}{
		{"only unnumbered events", chunk("data: a\n\n"), chunk("data: a\n\n" + event(1)), "data: a\n\n", false},
		{"unnumbered event after a numbered one", chunk(event(1) + "data: a\n\n"), chunk("data: a\n\n" + event(2)), event(1) + "data: a\n\n", false},
		{"comment after a numbered event", chunk(event(1) + ": still here\n\n"), chunk(event(2)), event(1) + ": still here\n\n" + event(2), true},
		{"numbered event last", chunk("data: a\n\n" + event(1)), chunk(event(2)), "data: a\n\n" + event(1) + event(2), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := newFixedServer(t, fmt.Sprintf(streamHead, "s")+c.first, true)
			second := newFixedServer(t, fmt.Sprintf(streamHead, "o")+c.second+"0\r\n\r\n", true)
			b := newRelayFixture(t, &scriptedDecider{addrs: []string{first.addr(), second.addr()}, resumable: true}, RelayOptions{})
			cl := b.dial(t)
			cl.send(get("1"))
			_, body, err := cl.answer("GET")
			require.Equal(t, c.whole, err == nil)
			require.Equal(t, c.body, body)
			b.requireOneEnd(t)
		})
	}
}

// An interrupted stream to an HTTP/1.0 client ends with a connection reset, because the client would take a close as
// the end of the answer.
func TestOldClientSeesTheBreak(t *testing.T) {
	step := make(chan struct{})
	srv := newTestServer(t, func(s *testServer, _ int, c net.Conn, br *bufio.Reader) {
		s.next(br)
		_, _ = io.WriteString(c, fmt.Sprintf(streamHead, "s")+chunk(event(1)))
		<-step
	})
	b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{})
	cl := b.dial(t)
	cl.send("GET / HTTP/1.0\r\nHost: h\r\nX-Try: 1\r\n\r\n")
	a, err := http.ReadResponse(cl.br, &http.Request{Method: "GET"})
	require.NoError(t, err)
	_, err = io.ReadFull(a.Body, make([]byte, len(event(1))))
	require.NoError(t, err)
	close(step)
	_, err = io.ReadAll(a.Body)
	require.Error(t, err)
}

// A request's time limit counts from the arrival of its head, not from the end of its body.
func TestHorizonFromArrival(t *testing.T) {
	for _, c := range []struct {
		name string
		age  time.Duration
		left time.Duration
	}{{"just arrived", 0, 5 * time.Second}, {"with a slow body", 2 * time.Second, 3 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			b := newHostedRouter(t, Options{})
			b.deliverEntry("web|", "s1")
			b.ref++
			out := b.Step(b.at, Call{Ref: b.ref, Route: "/again/x", Age: c.age, Request: fleetplan.Request{ID: "1", Host: "h"}})
			l, ok := findOutput[Launch](out)
			require.True(t, ok)
			require.Equal(t, c.left, l.Remaining)
		})
	}
}

// A request earns retry credit once, however many attempts are launched before one reaches a server.
func TestEarnsOnce(t *testing.T) {
	b := newHostedRouter(t, Options{})
	b.deliverEntry("web|", "s1", "s2", "s3")
	ref, l, _ := b.callPath("/again/x", fleetplan.Request{})
	for range 3 {
		require.True(t, b.MaySend(b.at, ref, l.N))
		out := b.Step(b.at, Ended{Ref: ref, N: l.N, Outcome: Unsent})
		next, ok := findOutput[Launch](append(out, b.wait(retryFundingTimeout)...))
		if !ok {
			break
		}
		l = next
	}
	require.Len(t, b.retryBudget("web").credits, 1)
	require.InDelta(t, b.o.RetryFraction, b.retryBudget("web").credits[0].amount, 1e-9)
	require.Equal(t, uint64(1), b.tally.Firsts)
}

// The idle timeout of client connections follows the plan and is never below the default.
func TestClientsIdle(t *testing.T) {
	for _, c := range []struct{ planned, want time.Duration }{
		{0, 30 * time.Second}, {15 * time.Second, 30 * time.Second}, {time.Minute, 75 * time.Second}, {24 * time.Hour, 30 * time.Hour},
	} {
		require.Equal(t, c.want, clientIdleTimeout(30*time.Second, c.planned))
	}
}

// A client connection that has been idle for a time permitted by the plan in force is still served.
func TestRestedClient(t *testing.T) {
	srv := newFixedServer(t, sealedResponse("1", "good"), false)
	s := &scriptedDecider{addrs: []string{srv.addr()}}
	b, _, stop, end := serveUntil(t, s, RelayServer{LameDuck: time.Nanosecond, IdleTimeout: 20 * time.Millisecond, PlanIdleTimeout: func() time.Duration { return time.Hour }})
	cl := b.dial(t)
	for range 2 {
		cl.send(get("1"))
		a, _, err := cl.answer("GET")
		require.NoError(t, err)
		require.Equal(t, 200, a.StatusCode)
		time.Sleep(200 * time.Millisecond) // ten times the default idle timeout
	}
	_ = cl.Close()
	close(stop)
	require.NoError(t, <-end)
	s.requireOneEnd(t)
}

// A request that may have run is not sent again if its route at the time of sending, or its route now, permits only
// one run. A plan may add routes while the request is in flight.
func TestRepeatOnlyUnderBothRoutes(t *testing.T) {
	once := func(p *fleetplan.Plan) {
		p.Hosts["h"]["/again/x/"] = &fleetplan.Route{Name: "new", Host: "h", Prefix: "/again/x/", Service: "web", Mode: fleetplan.Once,
			MaxAttempts: 9, Class: fleetplan.Class{Value: 5, MaxWait: 5e9}}
	}
	for _, c := range []struct {
		name          string
		before, after func(*fleetplan.Plan)
		repeated      bool
	}{
		{"repeatable under both plans", nil, nil, true},
		{"not repeatable when sent", once, nil, false},
		{"not repeatable now", nil, once, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHostedRouter(t, Options{RetryMargin: 100}, hostPlan(c.before), hostPlan(c.after))
			b.deliverEntry("web|", "s1", "s2")
			ref, l, _ := b.callPath("/again/x/y", fleetplan.Request{})
			require.True(t, b.MaySend(b.at, ref, l.N))
			b.deliverPlan(1)
			out := b.Step(b.at, Ended{Ref: ref, N: l.N, Outcome: Lost})
			_, repeated := findOutput[Launch](out)
			require.Equal(t, c.repeated, repeated)
			if !c.repeated {
				r, ok := findOutput[Refusal](out)
				require.True(t, ok)
				require.Equal(t, failure.Unclear, r.Kind)
			}
		})
	}
}

// A retry that would be past the request's deadline uses no retry budget.
func TestNoRetryBudgetPastDeadline(t *testing.T) {
	b := newHostedRouter(t, Options{RetryMargin: 100})
	b.deliverEntry("web|", "s1", "s2")
	ref, l, _ := b.callPath("/again/x", fleetplan.Request{})
	require.True(t, b.MaySend(b.at, ref, l.N))
	b.at = b.at.Add(6e9)
	out := b.Step(b.at, Ended{Ref: ref, N: l.N, Outcome: Dropped, Kind: failure.Busy})
	r, ok := findOutput[Refusal](out)
	require.True(t, ok)
	require.Equal(t, failure.Expired, r.Kind)
	require.Empty(t, b.retryBudget("web").marginSpent)
}

// The write timeout covers only time spent writing. It excludes the idle time of the client's connection and the time
// before the end of a stream that pauses.
func TestWriteBoundCountsWritesOnly(t *testing.T) {
	const bound, pause = 400 * time.Millisecond, 700 * time.Millisecond
	t.Run("idle connection", func(t *testing.T) {
		srv := newFixedServer(t, sealedResponse("1", "good"), false)
		b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{WriteTimeout: bound})
		cl := b.dial(t)
		cl.send(get("1"))
		_, _, err := cl.answer("GET")
		require.NoError(t, err)
		time.Sleep(pause)
		cl.send("POST / HTTP/1.1\r\nHost: h\r\nX-Try: 1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		a, err := http.ReadResponse(cl.br, &http.Request{Method: "POST"})
		require.NoError(t, err)
		require.Equal(t, 100, a.StatusCode)
		cl.send("ab")
		a, body, err := cl.answer("POST")
		require.NoError(t, err)
		require.Equal(t, 200, a.StatusCode)
		require.Equal(t, "good", body)
	})
	t.Run("pause before the end", func(t *testing.T) {
		srv := newTestServer(t, func(s *testServer, _ int, c net.Conn, br *bufio.Reader) {
			s.next(br)
			_, _ = io.WriteString(c, fmt.Sprintf(streamHead, "s")+chunk(event(1)))
			time.Sleep(pause)
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{WriteTimeout: bound})
		cl := b.dial(t)
		cl.send(get("1"))
		_, body, err := cl.answer("GET")
		require.NoError(t, err)
		require.Equal(t, event(1), body)
	})
}

// A request is not sent to a server again after a failed attempt there, however long ago that was.
func TestNotTwiceToOneServer(t *testing.T) {
	for _, how := range []Outcome{Dropped, Lost, Unsent} {
		b := newHostedRouter(t, Options{RetryMargin: 100})
		b.deliverEntry("web|", "s1")
		ref, l, _ := b.callPath("/again/x", fleetplan.Request{})
		require.True(t, b.MaySend(b.at, ref, l.N))
		out := b.Step(b.at, Ended{Ref: ref, N: l.N, Outcome: how, Kind: failure.Busy})
		_, again := findOutput[Launch](append(out, b.wait(4e9)...))
		require.False(t, again, how)
		_, again = findOutput[Launch](b.deliverEntry("web|", "s1", "s2"))
		require.True(t, again, how)
	}
}

// A request that arrives late in a shutdown, on a connection opened before it, is refused immediately. Otherwise a
// server might still process it when the remaining connections are cut.
func TestLateRequestAtAStop(t *testing.T) {
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	srv := newTestServer(t, func(s *testServer, _ int, c net.Conn, br *bufio.Reader) {
		for q := s.next(br); q != nil; q = s.next(br) {
			<-hold
			_, _ = io.WriteString(c, sealedResponse(q.Header.Get("X-Try"), "good"))
		}
	})
	s := &scriptedDecider{addrs: []string{srv.addr()}}
	b, _, stop, end := serveUntil(t, s, RelayServer{LameDuck: 10 * time.Millisecond, Grace: testTimeout})
	defer release()
	early, late := b.dial(t), b.dial(t)
	early.send(get("1"))
	require.Eventually(t, func() bool { return len(srv.requests()) == 1 }, testTimeout, time.Millisecond)
	close(stop)
	require.Eventually(t, func() bool { // the listener is closed
		c, err := net.Dial("tcp", b.addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, testTimeout, time.Millisecond)
	late.send(get("2"))
	a, _, err := late.answer("GET")
	require.NoError(t, err, "the connection was closed without an answer")
	require.Equal(t, 503, a.StatusCode)
	require.NotEmpty(t, a.Header.Get("Retry-After"))
	require.True(t, a.Close)
	release()
	a, body, err := early.answer("GET")
	require.NoError(t, err)
	require.Equal(t, 200, a.StatusCode)
	require.Equal(t, "good", body)
	require.NoError(t, <-end)
	s.requireOneEnd(t)
}

// Buffered bodies share one budget, with and without a Content-Length, and return their share.
func TestBodyBudget(t *testing.T) {
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	srv := newTestServer(t, func(s *testServer, _ int, c net.Conn, br *bufio.Reader) {
		for q := s.next(br); q != nil; q = s.next(br) {
			<-hold
			_, _ = io.WriteString(c, sealedResponse(q.Header.Get("X-Try"), "good"))
		}
	})
	b := newRelayFixture(t, &scriptedDecider{addrs: []string{srv.addr()}}, RelayOptions{BodyBudget: 100})
	t.Cleanup(release)
	post := func(id, how, body string) string {
		return "POST /p HTTP/1.1\r\nHost: h\r\nX-Try: " + id + "\r\n" + how + "\r\n\r\n" + body
	}
	long := strings.Repeat("x", 60)
	first := b.dial(t)
	first.send(post("1", "Content-Length: 60", long))
	require.Eventually(t, func() bool { return len(srv.requests()) == 1 }, testTimeout, time.Millisecond)
	for _, how := range []struct{ header, body string }{
		{"Content-Length: 60", long},
		{"Transfer-Encoding: chunked", "3c\r\n" + long + "\r\n0\r\n\r\n"},
	} {
		second := b.dial(t)
		second.send(post("2", how.header, how.body))
		a, body, err := second.answer("POST")
		require.NoError(t, err)
		require.Equal(t, 503, a.StatusCode, body)
		require.NotEmpty(t, a.Header.Get("Retry-After"))
	}
	require.EqualValues(t, 60, b.relay.bodies.used.Load())
	release()
	a, _, err := first.answer("POST")
	require.NoError(t, err)
	require.Equal(t, 200, a.StatusCode)
	require.Eventually(t, func() bool { return b.relay.bodies.used.Load() == 0 }, testTimeout, time.Millisecond)
}
