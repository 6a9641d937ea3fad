package router

import (
	"bytes"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tidedeck/internal/generic"

	"github.com/go-faster/errors"
)

// RelayServe says where a relay is reached and how it stops.
type RelayServe struct {
	Relay     *Relay
	Ingress   string               // where clients come in, ip:port
	Readiness string               // where a router tells whether it can be given clients, ip:port
	Ready     func() bool          // whether it can
	HeadWait  time.Duration        // for a request's head, at the least; 10 s
	HeadMost  int                  // bytes of it, at the least; 64 KiB
	Heads     func() HeadLimits    // and by the plan in force clients may send so much and take so long
	Idle      time.Duration        // a client's connection may be idle for so long at least; 30 s
	Resting   func() time.Duration // and by the plan in force clients may use it again for so long
	Lame      time.Duration        // after the stop, clients are still served for so long; 2.5 s
	Grace     time.Duration        // in all, what is under way may take so long after the stop; 7 s
}

// Defaults fills what was left out.
func (o RelayServe) Defaults() RelayServe {
	if o.Ready == nil {
		o.Ready = func() bool { return true }
	}
	if o.Resting == nil {
		o.Resting = func() time.Duration { return 0 }
	}
	if o.Heads == nil {
		o.Heads = func() HeadLimits { return HeadLimits{} }
	}
	generic.SetDefault(&o.HeadWait, 10*time.Second)
	generic.SetDefault(&o.HeadMost, 64<<10)
	generic.SetDefault(&o.Idle, 30*time.Second)
	generic.SetDefault(&o.Lame, 2500*time.Millisecond)
	generic.SetDefault(&o.Grace, 7*time.Second)
	return o
}

// ServeRelay serves a relay until it is told to stop and then ends in order: it is unready at once,
// serves on for a while in which clients are led to other routers, and lets what is under way finish.
func ServeRelay(stop <-chan struct{}, o RelayServe) error {
	o = o.Defaults()
	in, err := net.Listen("tcp", o.Ingress)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	told, err := net.Listen("tcp", o.Readiness)
	if err != nil {
		_ = in.Close()
		return errors.Wrap(err, "listen for readiness")
	}
	return serveRelay(stop, o, in, told)
}

func serveRelay(stop <-chan struct{}, o RelayServe, in, told net.Listener) error {
	o = o.Defaults()
	var turn atomic.Bool
	o.Relay.close = turn.Load
	quiet := log.New(io.Discard, "", 0)
	front := &http.Server{
		Handler: o.Relay, ReadHeaderTimeout: o.HeadWait, IdleTimeout: o.Idle, MaxHeaderBytes: mostHead,
		ErrorLog: quiet, DisableGeneralOptionsHandler: true,
		ConnState: func(c net.Conn, s http.ConnState) {
			if g, ok := c.(*guard); ok && s == http.StateIdle {
				g.resting.Store(true)
			}
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, guarded{}, c) },
	}
	side := &http.Server{ReadHeaderTimeout: o.HeadWait, IdleTimeout: o.Idle, MaxHeaderBytes: 8 << 10, ErrorLog: quiet,
		Handler: readiness(o.Relay.o.Dialect.Ready(), func() bool {
			select {
			case <-stop:
				return false
			default:
				return o.Ready()
			}
		})}
	end := make(chan error, 2)
	go func() {
		end <- front.Serve(guardListener{in, o.limits, o.HeadMost})
	}()
	go func() { end <- side.Serve(told) }()
	defer o.Relay.Close()
	defer side.Close()
	select {
	case err := <-end:
		_ = front.Close()
		return errors.Wrap(err, "serve")
	case <-stop:
	}
	o.finish(front, in, func() { turn.Store(true) })
	return nil
}

// finish ends the service of clients in order: they are led elsewhere for a while, then nothing new is taken, and
// what is under way may end.
func (o RelayServe) finish(front *http.Server, in net.Listener, turn func()) {
	ctx, done := context.WithTimeout(context.Background(), o.Grace)
	defer done()
	time.Sleep(min(o.Lame/2, o.Grace))
	turn() // clients that are still here go elsewhere with their next request
	t := time.NewTimer(o.Lame - o.Lame/2)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	o.Relay.late.Store(true)
	// net/http would close connections on requests that come from now on, without a word. They are told to go
	// elsewhere for as long as others are under way.
	_ = in.Close()
	o.Relay.idle(ctx)
	if front.Shutdown(ctx) == nil {
		return
	}
	_ = front.Close() // whoever is still served by then is cut off
	closed, done := context.WithTimeout(context.Background(), closeWait)
	defer done()
	o.Relay.idle(closed)
}

// closeWait is how long a stop waits for requests whose connections it has cut.
const closeWait = 500 * time.Millisecond

// idlePoll is the time between two looks at what is under way.
const idlePoll = 10 * time.Millisecond

// idle waits until nothing is under way.
func (r *Relay) idle(ctx context.Context) {
	for r.Open() > 0 && ctx.Err() == nil {
		time.Sleep(idlePoll)
	}
}

// readiness answers whether a router can be given clients.
func readiness(path string, ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch {
		case q.URL.Path != path:
			w.WriteHeader(http.StatusNotFound)
		case ready():
			w.WriteHeader(http.StatusOK)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

type guarded struct{}

// mostHead bounds a request's head whatever the plan allows.
const mostHead = 1 << 20

// HeadLimits bound the heads of requests.
type HeadLimits struct {
	Bytes int
	Wait  time.Duration
}

// clientLimits are what a client's connection may do, by the plan in force.
type clientLimits struct {
	idle     time.Duration // how long it may rest
	headWait time.Duration // how long a head may take
	headMost int           // bytes of it
}

// limits draws what clients may do from the plan in force and from the router's own least figures. Beyond what
// the plan tells clients there is a quarter for what lies between them and here.
func (o RelayServe) limits() clientLimits {
	told := o.Heads()
	return clientLimits{
		idle:     idleFor(o.Idle, o.Resting()),
		headWait: max(o.HeadWait, told.Wait+told.Wait/4),
		headMost: max(o.HeadMost, told.Bytes+told.Bytes/4),
	}
}

// guardListener watches the heads of requests on the connections it accepts.
type guardListener struct {
	net.Listener
	limits  func() clientLimits
	headAny int // bytes of a head that may come whatever the plan says
}

// Accept waits for a client.
func (l guardListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guard{Conn: c, limits: l.limits, headAny: l.headAny}, nil
}

// guard watches a request's head for two ways of telling where its body ends: net/http settles on
// one and forgets that there was another, and what is behind may be a request that nobody sent.
type guard struct {
	net.Conn
	mu   sync.Mutex
	line []byte // of a line that is not whole yet
	head guardedHead

	limits  func() clientLimits
	headAny int
	resting atomic.Bool // the next deadline is that of an idle connection
}

// SetReadDeadline sets the time of an idle connection, and that of a head, by the plan that is in force then: the
// server's own are fixed at its start.
func (g *guard) SetReadDeadline(t time.Time) error {
	switch {
	case t.IsZero(), t.Before(time.Now()): // none, or one that ends a read under way
	case g.resting.Swap(false):
		t = time.Now().Add(g.limits().idle)
	case !g.saw().over:
		t = time.Now().Add(g.limits().headWait)
	}
	return g.Conn.SetReadDeadline(t)
}

// resetOnClose has the connection end with a reset.
func (g *guard) resetOnClose() {
	if c, ok := g.Conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
}

// guardedHead is what a guard saw of a head.
type guardedHead struct {
	bytes  int
	over   bool // it has come whole
	lines  int
	first  bool // its first line
	length bool // a Content-Length
	chunks bool // a Transfer-Encoding
}

// Read reads from the client.
func (g *guard) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	if n > 0 {
		g.mu.Lock()
		g.watch(b[:n])
		g.mu.Unlock()
	}
	return n, err
}

func (g *guard) watch(b []byte) {
	for !g.head.over && len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			g.head.bytes += len(b)
			g.line = append(g.line, b...)
			return
		}
		g.head.bytes += i + 1
		l := b[:i]
		if b = b[i+1:]; len(g.line) > 0 {
			l = append(g.line, l...)
			g.line = l[:0]
		}
		g.see(bytes.TrimSuffix(l, []byte("\r")))
	}
}

func (g *guard) see(l []byte) {
	h := &g.head
	switch h.lines++; {
	case h.lines == 1:
		h.first = bytes.HasSuffix(l, []byte(" HTTP/1.1")) || bytes.HasSuffix(l, []byte(" HTTP/1.0"))
	case len(l) == 0:
		h.over = true
	case named(l, "content-length"):
		h.length = true
	case named(l, "transfer-encoding"):
		h.chunks = true
	}
}

func named(l []byte, name string) bool {
	return len(l) > len(name) && l[len(name)] == ':' && bytes.EqualFold(l[:len(name)], []byte(name))
}

// next begins to watch for the next head.
func (g *guard) next() {
	g.mu.Lock()
	g.head, g.line = guardedHead{}, g.line[:0]
	g.mu.Unlock()
}

func (g *guard) saw() guardedHead {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.head
}

// tooLong tells whether a request's head has more bytes than the plan in force allows.
func tooLong(q *http.Request) bool {
	g := guardOf(q)
	if g == nil {
		return false
	}
	bytes := g.saw().bytes
	return bytes > g.headAny && bytes > g.limits().headMost // the plan is asked only by heads that need it
}

func guardOf(q *http.Request) *guard {
	g, _ := q.Context().Value(guarded{}).(*guard)
	return g
}

// unambiguous tells whether the head of a request says in one way only where its body ends.
func unambiguous(q *http.Request) bool {
	if q.ProtoMajor != 1 {
		return false
	}
	g := guardOf(q)
	if g == nil {
		return true
	}
	h := g.saw()
	if h.chunks && (h.length || !q.ProtoAtLeast(1, 1)) {
		return false
	}
	return len(q.TransferEncoding) == 0 || h.first
}

// idleFor gives how long a client's connection may be idle, by the plan: clients may use one again
// until the time that the plan tells, so it is closed a quarter of that later, and no sooner than by default.
func idleFor(least, told time.Duration) time.Duration { return max(least, told+told/4) }
