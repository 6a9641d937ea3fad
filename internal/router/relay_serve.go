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

	"tidedeck/internal/connlimit"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/host"

	"github.com/go-faster/errors"
)

// RelayServer configures the listeners and the shutdown of a relay.
type RelayServer struct {
	Relay           *Relay
	Ingress         string               // address for clients, ip:port
	Readiness       string               // address of the readiness endpoint, ip:port
	Ready           func() bool          // reports whether the router is ready for clients; always if nil
	HeadTimeout     time.Duration        // minimum time allowed for a request's head; 10 s
	HeadBytes       int                  // minimum size allowed for a request's head; 64 KiB
	PlanHeadLimits  func() HeadLimits    // limits on heads that the plan in force announces to clients
	IdleTimeout     time.Duration        // minimum time for which a client's connection may be idle; 30 s
	PlanIdleTimeout func() time.Duration // idle timeout that the plan in force announces to clients
	LameDuck        time.Duration        // how long new requests are still served after the stop; 2.5 s
	Grace           time.Duration        // total time for requests in progress to finish after the stop; 7 s
	Machine         connlimit.Machine    // bounds what all clients hold together
}

// Defaults returns the options with unset fields replaced by their defaults.
func (o RelayServer) Defaults() RelayServer {
	if o.Ready == nil {
		o.Ready = func() bool { return true }
	}
	if o.PlanIdleTimeout == nil {
		o.PlanIdleTimeout = func() time.Duration { return 0 }
	}
	if o.PlanHeadLimits == nil {
		o.PlanHeadLimits = func() HeadLimits { return HeadLimits{} }
	}
	generic.SetDefault(&o.HeadTimeout, 10*time.Second)
	generic.SetDefault(&o.HeadBytes, 64<<10)
	generic.SetDefault(&o.IdleTimeout, 30*time.Second)
	generic.SetDefault(&o.LameDuck, 2500*time.Millisecond)
	generic.SetDefault(&o.Grace, 7*time.Second)
	return o
}

// ServeRelay serves a relay until stop is closed and then shuts it down gracefully: it reports unready at once,
// continues to serve for a while so that clients can move to other routers, and waits for the requests in
// progress.
func ServeRelay(stop <-chan struct{}, o RelayServer) error {
	o = o.Defaults()
	ingress, err := o.Machine.Limits(connlimit.Clients).Listen(context.Background(), net.ListenConfig{}, o.Ingress)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	readinessListener, err := o.Machine.Limits(connlimit.Readiness).Listen(context.Background(), net.ListenConfig{}, o.Readiness)
	if err != nil {
		_ = ingress.Close()
		return errors.Wrap(err, "listen for readiness")
	}
	return serveRelay(stop, o, ingress, readinessListener)
}

func serveRelay(stop <-chan struct{}, o RelayServer, ingress, readinessListener net.Listener) error {
	o = o.Defaults()
	var closing atomic.Bool
	o.Relay.closing = closing.Load
	discard := log.New(io.Discard, "", 0)
	clientServer := &http.Server{
		Handler: o.Relay, ReadHeaderTimeout: o.HeadTimeout, IdleTimeout: o.IdleTimeout, MaxHeaderBytes: maxHeadBytes,
		ErrorLog: discard, DisableGeneralOptionsHandler: true,
		ConnState: func(c net.Conn, s http.ConnState) {
			if g, ok := c.(*headGuard); ok && s == http.StateIdle {
				g.idleNext.Store(true)
				g.Release()
			}
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, headGuardKey{}, c)
		},
	}
	readinessServer := &http.Server{ReadHeaderTimeout: o.HeadTimeout, IdleTimeout: o.IdleTimeout, MaxHeaderBytes: readinessHeadBytes, ErrorLog: discard,
		Handler: readiness(o.Relay.options.Dialect.ReadinessPath(), func() bool {
			select {
			case <-stop:
				return false
			default:
				return o.Ready()
			}
		})}
	readinessLimiter := connlimit.New(connlimit.Config{Limits: o.Machine.Limits(connlimit.Readiness), MaxHead: func() int { return readinessHeadBytes }})
	readinessLimiter.Attach(readinessServer)
	clientLimiter := o.clientLimiter()
	o.Relay.clientLimiter.Store(clientLimiter)
	failed := make(chan error, 2)
	go func() {
		failed <- clientServer.Serve(headGuardListener{ingress, clientLimiter, o.limits, o.HeadBytes})
	}()
	go func() { failed <- readinessServer.Serve(readinessLimiter.Wrap(readinessListener)) }()
	defer o.Relay.Close()
	defer readinessServer.Close()
	select {
	case err := <-failed:
		_ = clientServer.Close()
		return errors.Wrap(err, "serve clients")
	case <-stop:
	}
	o.finish(clientServer, ingress, func() { closing.Store(true) })
	return nil
}

// finish shuts the client server down: clients are directed to other routers for a while, then new requests are
// refused and those in progress may finish. Those that have not finished by the end of the grace period get a final
// answer of the router's own.
func (o RelayServer) finish(clientServer *http.Server, ingress net.Listener, startClosing func()) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Grace)
	defer cancel()
	time.Sleep(min(o.LameDuck/2, o.Grace))
	startClosing() // from now on responses close their connections, which moves clients to other routers
	timer := time.NewTimer(o.LameDuck - o.LameDuck/2)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	o.Relay.rejectNew.Store(true)
	// net/http would close the connections of requests that arrive from now on without a response. Instead they
	// are refused with a response for as long as other requests are in progress.
	_ = ingress.Close()
	o.Relay.waitIdle(ctx)
	if clientServer.Shutdown(ctx) == nil {
		return
	}
	o.Relay.decider.Step(GraceEnded{})
	answered, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()
	if clientServer.Shutdown(answered) == nil {
		return
	}
	_ = clientServer.Close() // cuts off answers under way, and requests that have not been read whole
	closed, cancel := context.WithTimeout(context.Background(), forcedCloseTimeout)
	defer cancel()
	o.Relay.waitIdle(closed)
}

const (
	finalAnswerTimeout = 400 * time.Millisecond // for the final answers at the end of the grace period
	forcedCloseTimeout = 100 * time.Millisecond // for requests whose connections a shutdown has closed
)

// idlePoll is the interval at which a shutdown checks for requests in progress.
const idlePoll = 10 * time.Millisecond

// waitIdle waits until no request is in progress.
func (r *Relay) waitIdle(ctx context.Context) {
	for r.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(idlePoll)
	}
}

// readiness returns a handler that reports whether the router is ready for clients.
func readiness(path string, ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch {
		case req.URL.Path != path:
			w.WriteHeader(http.StatusNotFound)
		case ready():
			w.WriteHeader(http.StatusOK)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

type headGuardKey struct{}

const (
	maxHeadBytes       = 1 << 20 // limits a request's head regardless of the plan
	readinessHeadBytes = 8 << 10 // limits the head of a readiness check
)

// clientLimiter returns the limiter of the connections of all clients.
func (o RelayServer) clientLimiter() *connlimit.Limiter {
	return connlimit.New(connlimit.Config{
		Limits:      o.Machine.Limits(connlimit.Clients),
		MaxHead:     func() int { return min(o.limits().headBytes, maxHeadBytes) },
		HeadTooLong: host.RefusalOnConn(failure.HeadTooLong),
		Full:        host.RefusalOnConn(failure.Full),
	})
}

// HeadLimits are limits on the heads of requests.
type HeadLimits struct {
	Bytes   int
	Timeout time.Duration
}

// clientLimits are the limits on a client's connection according to the plan in force.
type clientLimits struct {
	idleTimeout time.Duration // how long the connection may be idle
	headTimeout time.Duration // time for a request's head
	headBytes   int           // size of a request's head
}

// limits derives the limits on clients from the plan in force and the router's own minimums. The limits that the
// plan announces are extended by a quarter, to allow for the network between clients and the router.
func (o RelayServer) limits() clientLimits {
	announced := o.PlanHeadLimits()
	return clientLimits{
		idleTimeout: clientIdleTimeout(o.IdleTimeout, o.PlanIdleTimeout()),
		headTimeout: max(o.HeadTimeout, announced.Timeout+announced.Timeout/4),
		headBytes:   max(o.HeadBytes, announced.Bytes+announced.Bytes/4),
	}
}

// headGuardListener wraps each accepted connection in a headGuard.
type headGuardListener struct {
	net.Listener
	limiter      *connlimit.Limiter
	limits       func() clientLimits
	minHeadBytes int // size of a head that is always allowed, regardless of the plan
}

// Accept waits for a client's connection.
func (l headGuardListener) Accept() (net.Conn, error) {
	c, err := l.limiter.Accept(l.Listener)
	if err != nil {
		return nil, err
	}
	return &headGuard{Conn: c, limits: l.limits, minHeadBytes: l.minHeadBytes}, nil
}

// headGuard inspects a request's head for conflicting declarations of where its body ends. net/http picks one of
// them and discards the other, so the bytes after the body could contain a smuggled request.
type headGuard struct {
	*connlimit.Conn
	mu       sync.Mutex
	line     headLine // the line that is being read
	observed observedHead

	limits       func() clientLimits
	minHeadBytes int
	idleNext     atomic.Bool // the next read deadline is that of an idle connection

	// A client may send its next request before the response to the last one has ended.
	bodyRead   bool      // the request in progress has been read whole: bytes that follow are those of the next one
	nextByteAt time.Time // when the first of these arrived
	lastByteAt time.Time // when the first byte of the last request arrived
}

// SetReadDeadline replaces the deadlines of idle connections and of heads by those of the plan in force, because
// the timeouts of http.Server are fixed at its start.
func (g *headGuard) SetReadDeadline(t time.Time) error {
	switch {
	case t.IsZero(), t.Before(time.Now()): // none, or one that interrupts a read in progress
	case g.idleNext.Swap(false):
		t = time.Now().Add(g.limits().idleTimeout)
	case !g.snapshot().complete:
		t = time.Now().Add(g.limits().headTimeout)
	}
	return g.Conn.SetReadDeadline(t)
}

// observedHead is the information that a headGuard collects about a head.
type observedHead struct {
	bytes               int
	firstByteAt         time.Time
	complete            bool // the head has ended
	lines               int
	validRequestLine    bool // the request line names HTTP/1.0 or HTTP/1.1
	hasLength           bool // has a Content-Length
	hasTransferEncoding bool // has a Transfer-Encoding
}

// Read reads from the client and inspects the request's head.
func (g *headGuard) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	if n > 0 {
		g.mu.Lock()
		g.observe(b[:n])
		g.mu.Unlock()
	}
	return n, err
}

func (g *headGuard) observe(b []byte) {
	switch {
	case !g.observed.complete && g.observed.firstByteAt.IsZero():
		g.observed.firstByteAt = time.Now()
	case g.bodyRead && g.nextByteAt.IsZero():
		g.nextByteAt = time.Now()
	}
	for !g.observed.complete && len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			g.observed.bytes += len(b)
			g.line.add(b)
			return
		}
		g.observed.bytes += i + 1
		g.line.add(b[:i])
		b = b[i+1:]
		g.observeLine()
		g.line = headLine{}
	}
}

// observeLine inspects the line that has ended. Empty lines before the request line are not part of a request.
func (g *headGuard) observeLine() {
	h := &g.observed
	switch empty := g.line.isEmpty(); {
	case empty && h.lines == 0:
		return
	case empty:
		h.complete = true
	case h.lines == 0:
		h.validRequestLine = g.line.hasSuffix(" HTTP/1.1") || g.line.hasSuffix(" HTTP/1.0")
	case g.line.hasName("content-length"):
		h.hasLength = true
	case g.line.hasName("transfer-encoding"):
		h.hasTransferEncoding = true
	}
	h.lines++
}

// reset prepares for the next head.
func (g *headGuard) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastByteAt = g.firstByteOr(g.lastByteAt)
	g.observed, g.line = observedHead{firstByteAt: g.nextByteAt}, headLine{}
	g.bodyRead, g.nextByteAt = false, time.Time{}
}

// readWhole notes that the request in progress has been read whole.
func (g *headGuard) readWhole() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bodyRead = true
}

// firstByte returns when the first byte of the request in progress arrived, or a time before it: a request that arrived
// together with the last one is taken to be as old as that.
func (g *headGuard) firstByte() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstByteOr(g.lastByteAt)
}

func (g *headGuard) firstByteOr(earlier time.Time) time.Time {
	if g.observed.firstByteAt.IsZero() {
		return earlier
	}
	return g.observed.firstByteAt
}

func (g *headGuard) snapshot() observedHead {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.observed
}

// headTooLong reports whether a request's head exceeds the size that the plan in force allows.
func headTooLong(req *http.Request) bool {
	g := headGuardOf(req)
	if g == nil {
		return false
	}
	bytes := g.snapshot().bytes
	return bytes > g.minHeadBytes && bytes > g.limits().headBytes // only heads above the minimum require the plan
}

func headGuardOf(req *http.Request) *headGuard {
	g, _ := req.Context().Value(headGuardKey{}).(*headGuard)
	return g
}

// unambiguousFraming reports whether a request's head determines the end of its body in only one way.
func unambiguousFraming(req *http.Request) bool {
	if req.ProtoMajor != 1 {
		return false
	}
	g := headGuardOf(req)
	if g == nil {
		return true
	}
	h := g.snapshot()
	if h.hasTransferEncoding && (h.hasLength || !req.ProtoAtLeast(1, 1)) {
		return false
	}
	return len(req.TransferEncoding) == 0 || h.validRequestLine
}

// clientIdleTimeout returns how long a client's connection may be idle. Clients may reuse a connection for the
// time that the plan announces, so the router closes it a quarter of that time later, and never earlier than its
// own minimum.
func clientIdleTimeout(minimum, announced time.Duration) time.Duration {
	return max(minimum, announced+announced/4)
}
