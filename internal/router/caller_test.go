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

// A client that ends its sending side while its request is under way is given up, and what it reads
// then is no whole answer: neither an empty one of ours nor the first part of the server's.
func TestHalfClosedClient(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		read         string // what the client has before it ends its sending side
	}{
		{"before the answer", "", ""},
		{"in a stream", fmt.Sprintf(streamHead, "s") + chunk(event(1)), event(1)},
		{"in a long answer", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("x", 400_000)), strings.Repeat("x", 300_000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			reached := make(chan struct{})
			srv := newStandIn(t, func(s *standIn, _ int, conn net.Conn, br *bufio.Reader) {
				s.next(br)
				_, _ = io.WriteString(conn, c.answer)
				close(reached)
				_, _ = br.ReadByte() // until the relay closes it
			})
			b := relayFor(t, &script{to: []string{srv.addr()}, again: true}, RelayOptions{})
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
			require.Error(t, err, "the answer ended early and looks whole")
		})
	}
}

// So is one whose request still waits for a server.
func TestHalfClosedClientWaits(t *testing.T) {
	quiet := &mute{script: &script{}}
	b := relayFor(t, quiet.script, RelayOptions{})
	quiet.relay.Use(quiet)
	cl := b.dial(t)
	cl.send(get("1"))
	require.Eventually(t, func() bool { return b.relay.Open() == 1 }, soon, time.Millisecond)
	require.NoError(t, cl.Conn.(*net.TCPConn).CloseWrite())
	a, err := http.ReadResponse(cl.br, &http.Request{Method: "GET"})
	require.Error(t, err, "%v", a)
	b.settled(t)
}

// Answers that say in two ways whose they are, or not for sure where they end, are none.
func TestDoubtfulAnswers(t *testing.T) {
	inner := plain("1", "hidden")
	for _, c := range []struct {
		name, method, answer string
	}{
		{"another's body where HEAD has none", "HEAD", plain("2", inner)},
		{"a status below those of HTTP", "GET", "HTTP/1.1 042 What\r\nContent-Length: 0\r\n\r\n" + plain("1", "good")},
		{"a status past those of HTTP", "GET", "HTTP/1.1 799 What\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\ngood"},
		{"another version", "GET", "HTTP/2.0 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\ngood"},
		{"nothing but the close ends it", "GET", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\n\r\nhalf"},
		{"old, in chunks", "GET", "HTTP/1.0 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
	} {
		for _, again := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " ", again), func(t *testing.T) {
				first, second := says(t, c.answer, true), newStandIn(t, func(s *standIn, _ int, conn net.Conn, br *bufio.Reader) {
					for s.next(br) != nil {
						head, body, _ := strings.Cut(plain("1", "good"), "\r\n\r\n")
						if c.method == "HEAD" {
							body = ""
						}
						_, _ = io.WriteString(conn, head+"\r\n\r\n"+body)
					}
				})
				b := relayFor(t, &script{to: []string{first.addr(), second.addr()}, again: again}, RelayOptions{})
				cl := b.dial(t)
				cl.send(c.method + " / HTTP/1.1\r\nHost: h\r\nX-Try: 1\r\n\r\n")
				a, body, err := cl.answer(c.method)
				require.NoError(t, err)
				b.settled(t)
				require.Len(t, first.requests(), 1)
				if !again {
					require.Equal(t, 502, a.StatusCode)
					require.Equal(t, []End{Lost}, b.hows())
					return
				}
				require.Equal(t, 200, a.StatusCode)
				require.Equal(t, "4", a.Header.Get("Content-Length"))
				if c.method != "HEAD" {
					require.Equal(t, "good", body)
				}
				require.Equal(t, []End{Lost, Done}, b.hows())
			})
		}
	}
}

// An answer that has no body by its status says no length of one.
func TestNoContentHasNoLength(t *testing.T) {
	srv := says(t, "HTTP/1.1 204 No Content\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\n", false)
	b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{})
	cl := b.dial(t)
	cl.send(get("1"))
	a, _, err := cl.answer("GET")
	require.NoError(t, err)
	require.Equal(t, 204, a.StatusCode)
	require.NotContains(t, a.Header, "Content-Length")
}

// A kept connection is one to a start of a server, and no other server at its address gets it.
func TestKeptForOneServer(t *testing.T) {
	srv := newStandIn(t, func(s *standIn, _ int, c net.Conn, br *bufio.Reader) {
		for s.next(br) != nil {
			_, _ = io.WriteString(c, plain("1", "good"))
		}
	})
	b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{})
	for _, c := range []struct {
		name string
		want int // connections in all
	}{{"old", 1}, {"old", 1}, {"new", 2}, {"new", 2}, {"old", 2}} {
		b.mu.Lock()
		b.names = []string{c.name}
		b.mu.Unlock()
		cl := b.dial(t)
		cl.send(get("1"))
		a, _, err := cl.answer("GET")
		require.NoError(t, err)
		require.Equal(t, 200, a.StatusCode)
		b.settled(t)
		require.Equal(t, c.want, srv.accepted())
	}
}

// A connection that was taken and not used is kept no longer than its server said.
func TestUnusedKeepsItsTime(t *testing.T) {
	srv := newStandIn(t, func(s *standIn, _ int, c net.Conn, br *bufio.Reader) {
		for s.next(br) != nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=100\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p := newConns(ConnOptions{Idle: time.Hour})
	defer p.close()
	c, _, err := p.get(context.Background(), endpoint{addr: srv.addr()}, time.Time{})
	require.NoError(t, err)
	askConn(t, c)
	p.put(c)
	until := c.until
	c, reused, err := p.get(context.Background(), endpoint{addr: srv.addr()}, time.Time{})
	require.NoError(t, err)
	require.True(t, reused)
	p.put(c)
	require.Equal(t, until, c.until)
}

// Nothing of an attempt goes on past its time: not its dial, and not an answer that began in time.
func TestEndsAtItsTime(t *testing.T) {
	t.Run("dial", func(t *testing.T) {
		var until time.Time
		var bounded bool
		d := &net.Dialer{Timeout: 24 * time.Hour, ControlContext: func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
			until, bounded = ctx.Deadline()
			return nil
		}}
		srv := says(t, plain("1", "good"), false)
		b := relayFor(t, &script{to: []string{srv.addr()}, left: time.Hour}, RelayOptions{Conns: ConnOptions{Dialer: d}})
		cl := b.dial(t)
		cl.send(get("1"))
		_, _, err := cl.answer("GET")
		require.NoError(t, err)
		require.True(t, bounded)
		require.Less(t, time.Until(until), 2*time.Hour)
	})
	// The server is slower than the time and the slack by far; whoever still waits gets it all.
	const left, slack, late = 50 * time.Millisecond, 10 * time.Millisecond, 1500 * time.Millisecond
	for _, c := range []struct{ name, head, rest string }{
		{"body", "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\n", "late"},
		{"stream", fmt.Sprintf(streamHead, "s") + chunk(event(1)), "0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := newStandIn(t, func(s *standIn, _ int, conn net.Conn, br *bufio.Reader) {
				s.next(br)
				_, _ = io.WriteString(conn, c.head)
				_ = conn.SetReadDeadline(time.Now().Add(late))
				if _, err := br.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
					_, _ = io.WriteString(conn, c.rest)
				}
			})
			b := relayFor(t, &script{to: []string{srv.addr()}, left: left}, RelayOptions{Slack: slack})
			cl := b.dial(t)
			cl.send(get("1"))
			_, body, _ := cl.answer("GET")
			b.settled(t)
			require.NotContains(t, b.hows(), Done)
			require.NotContains(t, body, "late")
		})
	}
}

// What was passed on without a number cannot be told from what another run sends again, so a stream
// is taken up only right behind a numbered event.
func TestNoSpliceBehindUnnumbered(t *testing.T) {
	for _, c := range []struct {
		name, first, second, body string
		whole                     bool
	}{
		{"nothing but unnumbered", chunk("data: a\n\n"), chunk("data: a\n\n" + event(1)), "data: a\n\n", false},
		{"unnumbered behind a number", chunk(event(1) + "data: a\n\n"), chunk("data: a\n\n" + event(2)), event(1) + "data: a\n\n", false},
		{"a comment behind a number", chunk(event(1) + ": still here\n\n"), chunk(event(2)), event(1) + ": still here\n\n" + event(2), true},
		{"numbered last", chunk("data: a\n\n" + event(1)), chunk(event(2)), "data: a\n\n" + event(1) + event(2), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := says(t, fmt.Sprintf(streamHead, "s")+c.first, true)
			second := says(t, fmt.Sprintf(streamHead, "o")+c.second+"0\r\n\r\n", true)
			b := relayFor(t, &script{to: []string{first.addr(), second.addr()}, resume: true}, RelayOptions{})
			cl := b.dial(t)
			cl.send(get("1"))
			_, body, err := cl.answer("GET")
			require.Equal(t, c.whole, err == nil)
			require.Equal(t, c.body, body)
			b.settled(t)
		})
	}
}

// A broken stream to a client of HTTP/1.0, which knows an end only by the close, ends with a reset.
func TestOldClientSeesTheBreak(t *testing.T) {
	step := make(chan struct{})
	srv := newStandIn(t, func(s *standIn, _ int, c net.Conn, br *bufio.Reader) {
		s.next(br)
		_, _ = io.WriteString(c, fmt.Sprintf(streamHead, "s")+chunk(event(1)))
		<-step
	})
	b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{})
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

// A request's horizon counts from the arrival of its head, not from that of its body's end.
func TestHorizonFromArrival(t *testing.T) {
	for _, c := range []struct {
		name string
		age  time.Duration
		left time.Duration
	}{{"just come", 0, 5 * time.Second}, {"with a slow body", 2 * time.Second, 3 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			b := free(t, Options{})
			b.entry("web|", "s1")
			b.ref++
			out := b.Step(b.at, Call{Ref: b.ref, Route: "/again/x", Age: c.age, Call: fleetplan.Call{ID: "1", Host: "h"}})
			l, ok := pick[Launch](out)
			require.True(t, ok)
			require.Equal(t, c.left, l.Left)
		})
	}
}

// A request earns once, however often it is launched before anything of it is sent.
func TestEarnsOnce(t *testing.T) {
	b := free(t, Options{})
	b.entry("web|", "s1", "s2", "s3")
	ref, l, _ := b.go1("/again/x", fleetplan.Call{})
	for range 3 {
		require.True(t, b.MaySend(b.at, ref, l.N))
		out := b.Step(b.at, Ended{Ref: ref, N: l.N, How: Unsent})
		next, ok := pick[Launch](append(out, b.wait(retryFundingTimeout)...))
		if !ok {
			break
		}
		l = next
	}
	require.Len(t, b.retryBudget("web").credits, 1)
	require.InDelta(t, b.o.Share, b.retryBudget("web").credits[0].amount, 1e-9)
	require.Equal(t, uint64(1), b.tally.Firsts)
}

// The time for which a client's connection may rest follows the plan, and is never below the default.
func TestClientsIdle(t *testing.T) {
	for _, c := range []struct{ told, want time.Duration }{
		{0, 30 * time.Second}, {15 * time.Second, 30 * time.Second}, {time.Minute, 75 * time.Second}, {24 * time.Hour, 30 * time.Hour},
	} {
		require.Equal(t, c.want, idleFor(30*time.Second, c.told))
	}
}

// A client's connection that has rested for as long as the plan in force allows is still served.
func TestRestedClient(t *testing.T) {
	srv := says(t, plain("1", "good"), false)
	s := &script{to: []string{srv.addr()}}
	b, _, stop, end := serveUntil(t, s, RelayServe{Lame: time.Nanosecond, Idle: 20 * time.Millisecond, Resting: func() time.Duration { return time.Hour }})
	cl := b.dial(t)
	for range 2 {
		cl.send(get("1"))
		a, _, err := cl.answer("GET")
		require.NoError(t, err)
		require.Equal(t, 200, a.StatusCode)
		time.Sleep(200 * time.Millisecond) // ten times what it would rest by the default
	}
	_ = cl.Close()
	close(stop)
	require.NoError(t, <-end)
	s.settled(t)
}

// What was sent under a route that lets it run once, or is under one by now, is not sent again when it may
// have run: routes may be added while it is under way.
func TestRepeatOnlyUnderBothRoutes(t *testing.T) {
	once := func(p *fleetplan.Plan) {
		p.Hosts["h"]["/again/x/"] = &fleetplan.Route{Name: "new", Host: "h", Prefix: "/again/x/", Service: "web", Mode: fleetplan.Once,
			Tries: 9, Class: fleetplan.Class{Value: 5, Wait: 5e9}}
	}
	for _, c := range []struct {
		name          string
		before, after func(*fleetplan.Plan)
		repeated      bool
	}{
		{"may be repeated under both", nil, nil, true},
		{"sent as one that may not", once, nil, false},
		{"may not by now", nil, once, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := free(t, Options{Lend: 100}, hostPlan(c.before), hostPlan(c.after))
			b.entry("web|", "s1", "s2")
			ref, l, _ := b.go1("/again/x/y", fleetplan.Call{})
			require.True(t, b.MaySend(b.at, ref, l.N))
			b.replan(1)
			out := b.Step(b.at, Ended{Ref: ref, N: l.N, How: Lost})
			_, repeated := pick[Launch](out)
			require.Equal(t, c.repeated, repeated)
			if !c.repeated {
				r, ok := pick[Receipt](out)
				require.True(t, ok)
				require.Equal(t, failure.Unclear, r.Kind)
			}
		})
	}
}

// A retry that would come too late takes nothing out of the allowance.
func TestNoPayPastTheHorizon(t *testing.T) {
	b := free(t, Options{Lend: 100})
	b.entry("web|", "s1", "s2")
	ref, l, _ := b.go1("/again/x", fleetplan.Call{})
	require.True(t, b.MaySend(b.at, ref, l.N))
	b.at = b.at.Add(6e9)
	out := b.Step(b.at, Ended{Ref: ref, N: l.N, How: Dropped, Kind: failure.Busy})
	r, ok := pick[Receipt](out)
	require.True(t, ok)
	require.Equal(t, failure.Expired, r.Kind)
	require.Empty(t, b.retryBudget("web").marginSpent)
}

// The bound on a client that takes nothing does not count the time in which nothing was written to it: not
// while its connection rested, and not before the end of a stream that pauses.
func TestWriteBoundCountsWritesOnly(t *testing.T) {
	const bound, pause = 400 * time.Millisecond, 700 * time.Millisecond
	t.Run("rested", func(t *testing.T) {
		srv := says(t, plain("1", "good"), false)
		b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{WriteWait: bound})
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
		srv := newStandIn(t, func(s *standIn, _ int, c net.Conn, br *bufio.Reader) {
			s.next(br)
			_, _ = io.WriteString(c, fmt.Sprintf(streamHead, "s")+chunk(event(1)))
			time.Sleep(pause)
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{WriteWait: bound})
		cl := b.dial(t)
		cl.send(get("1"))
		_, body, err := cl.answer("GET")
		require.NoError(t, err)
		require.Equal(t, event(1), body)
	})
}

// A request does not go to a server again that had it, however long ago that was.
func TestNotTwiceToOneServer(t *testing.T) {
	for _, how := range []End{Dropped, Lost, Unsent} {
		b := free(t, Options{Lend: 100})
		b.entry("web|", "s1")
		ref, l, _ := b.go1("/again/x", fleetplan.Call{})
		require.True(t, b.MaySend(b.at, ref, l.N))
		out := b.Step(b.at, Ended{Ref: ref, N: l.N, How: how, Kind: failure.Busy})
		_, again := pick[Launch](append(out, b.wait(4e9)...))
		require.False(t, again, how)
		_, again = pick[Launch](b.entry("web|", "s1", "s2"))
		require.True(t, again, how)
	}
}

// A request that comes when a stop is far on, on a connection from before it, is told to go elsewhere at once: a
// server might still be at work on it when what is left is cut off.
func TestLateRequestAtAStop(t *testing.T) {
	free := make(chan struct{})
	release := sync.OnceFunc(func() { close(free) })
	srv := newStandIn(t, func(s *standIn, _ int, c net.Conn, br *bufio.Reader) {
		for q := s.next(br); q != nil; q = s.next(br) {
			<-free
			_, _ = io.WriteString(c, plain(q.Header.Get("X-Try"), "good"))
		}
	})
	s := &script{to: []string{srv.addr()}}
	b, _, stop, end := serveUntil(t, s, RelayServe{Lame: 10 * time.Millisecond, Grace: soon})
	defer release()
	early, late := b.dial(t), b.dial(t)
	early.send(get("1"))
	require.Eventually(t, func() bool { return len(srv.requests()) == 1 }, soon, time.Millisecond)
	close(stop)
	require.Eventually(t, func() bool { // the door is closed
		c, err := net.Dial("tcp", b.addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, soon, time.Millisecond)
	late.send(get("2"))
	a, _, err := late.answer("GET")
	require.NoError(t, err, "it is closed without a word")
	require.Equal(t, 503, a.StatusCode)
	require.NotEmpty(t, a.Header.Get("Retry-After"))
	require.True(t, a.Close)
	release()
	a, body, err := early.answer("GET")
	require.NoError(t, err)
	require.Equal(t, 200, a.StatusCode)
	require.Equal(t, "good", body)
	require.NoError(t, <-end)
	s.settled(t)
}

// Bodies that are held take from one budget, whatever way their length is told, and give it back.
func TestBodyBudget(t *testing.T) {
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	srv := newStandIn(t, func(s *standIn, _ int, c net.Conn, br *bufio.Reader) {
		for q := s.next(br); q != nil; q = s.next(br) {
			<-hold
			_, _ = io.WriteString(c, plain(q.Header.Get("X-Try"), "good"))
		}
	})
	b := relayFor(t, &script{to: []string{srv.addr()}}, RelayOptions{BodyBudget: 100})
	t.Cleanup(release)
	post := func(id, how, body string) string {
		return "POST /p HTTP/1.1\r\nHost: h\r\nX-Try: " + id + "\r\n" + how + "\r\n\r\n" + body
	}
	long := strings.Repeat("x", 60)
	first := b.dial(t)
	first.send(post("1", "Content-Length: 60", long))
	require.Eventually(t, func() bool { return len(srv.requests()) == 1 }, soon, time.Millisecond)
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
	require.Eventually(t, func() bool { return b.relay.bodies.used.Load() == 0 }, soon, time.Millisecond)
}
