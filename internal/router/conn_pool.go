package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tidedeck/internal/generic"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
	"tidedeck/internal/invariant"

	"github.com/go-faster/errors"
)

// ConnOptions configures the pool of keep-alive connections to servers.
type ConnOptions struct {
	Dialer             *net.Dialer   // dials servers; by default one with a timeout of 400 ms
	IdleTimeout        time.Duration // how long an idle connection is kept if the server announces no keep-alive timeout; 4 s
	MaxIdlePerEndpoint int           // idle connections kept per endpoint; 8
	UnackedTimeout     time.Duration // TCP_USER_TIMEOUT: a connection with data unacknowledged for this long is closed; 5 s
	MaxHeadSize        int64         // maximum size of a response head, in bytes; 256 KiB
	UnreadBytes        int           // size of a connection's receive buffer in the kernel, in bytes; 64 KiB
	MaxIdle            int           // idle connections kept in all; 1,024
}

// Defaults returns the options with unset fields replaced by their defaults.
func (o ConnOptions) Defaults() ConnOptions {
	if o.Dialer == nil {
		o.Dialer = &net.Dialer{Timeout: 400 * time.Millisecond}
	}
	generic.SetDefault(&o.IdleTimeout, 4*time.Second)
	generic.SetDefault(&o.MaxIdlePerEndpoint, 8)
	generic.SetDefault(&o.UnackedTimeout, 5*time.Second)
	generic.SetDefault(&o.MaxHeadSize, 256<<10)
	generic.SetDefault(&o.UnreadBytes, 64<<10)
	generic.SetDefault(&o.MaxIdle, 1024)
	return o
}

// ConnTally counts events on connections to servers.
type ConnTally struct {
	Opens, Reuses, Discards, Failures uint64
}

// idleTimeoutMargin is how long before the server's announced keep-alive timeout an idle connection is discarded.
const idleTimeoutMargin = 500 * time.Millisecond

// maxInterimResponses limits the number of responses read in search of a final one.
const maxInterimResponses = 5

// maxStatusCode is the highest status code of HTTP.
const maxStatusCode = 599

var (
	errHeadTooLong = errors.New("response head exceeds the size limit")
	errNotHTTP1    = errors.New("response is not valid HTTP/1")
)

var bufReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 8<<10) }}

// endpoint identifies one incarnation of a server at its address. A restarted server, or another server that has
// taken over the address, is a different endpoint, so that connections to the earlier one are not reused.
type endpoint struct {
	server ident.Server
	addr   string
}

// conn is a connection to a server. It carries one request at a time.
type conn struct {
	net.Conn
	endpoint     endpoint
	raw          syscall.RawConn
	reader       *bufio.Reader // from bufReaders while the connection is in use, nil while it is idle
	readLimit    int64         // bytes that may still be read
	idleDeadline time.Time     // when the connection is discarded if it is still idle
	idleTimeout  time.Duration // how long the server keeps the connection open while idle
	answered     bool          // a response was read since the connection was taken from the pool
	peekBuffer   [1]byte
}

// Read reads from the server, up to the limit that is set while a response head is read.
func (c *conn) Read(b []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errHeadTooLong
	}
	if int64(len(b)) > c.readLimit {
		b = b[:c.readLimit]
	}
	n, err := c.Conn.Read(b)
	c.readLimit -= int64(n)
	return n, err
}

// readResponse reads the head of the next final response to req.
func (c *conn) readResponse(req *http.Request, limit int64) (*http.Response, error) {
	for range maxInterimResponses {
		c.readLimit = limit
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		c.readLimit = math.MaxInt64
		if resp.ProtoMajor != 1 || resp.StatusCode < 100 || resp.StatusCode > maxStatusCode {
			return nil, errNotHTTP1
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("server switched the protocol")
		}
		if resp.StatusCode >= 200 {
			c.updateIdleTimeout(resp)
			return resp, nil
		}
	}
	return nil, errors.New("too many interim responses")
}

// updateIdleTimeout takes the connection's idle timeout from the head of a response.
func (c *conn) updateIdleTimeout(resp *http.Response) {
	c.answered = true
	if resp.Close || !resp.ProtoAtLeast(1, 1) {
		c.idleTimeout = 0
		return
	}
	for _, header := range resp.Header["Keep-Alive"] {
		for param := range strings.SplitSeq(header, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if n, err := strconv.Atoi(strings.Trim(value, `" `)); err == nil {
				c.idleTimeout = time.Duration(min(max(n, 0), 3600))*time.Second - idleTimeoutMargin
			}
		}
	}
}

// reusable reports whether an idle connection is still open and has received no data.
func (c *conn) reusable() bool {
	ok := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), c.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = err == syscall.EAGAIN
		return true
	})
	return ok && err == nil
}

// closeSocket closes the underlying connection, which fails any read or write in progress.
func (c *conn) closeSocket() { _ = c.Conn.Close() }

func (c *conn) releaseReader() {
	if c.reader != nil {
		c.reader.Reset(nil)
		bufReaders.Put(c.reader)
		c.reader = nil
	}
}

func (c *conn) close() {
	c.closeSocket()
	c.releaseReader()
}

// connPool keeps idle connections to servers.
type connPool struct {
	options       ConnOptions
	mu            sync.Mutex
	idle          map[endpoint][]*conn // the most recently used connection is last
	idleCount     int
	reapTimer     *time.Timer
	reapScheduled bool
	closed        bool

	opens, reuses, discards, failures atomic.Uint64
}

func newConnPool(o ConnOptions) *connPool {
	o = o.Defaults()
	o.Dialer = host.BoundUnread(host.BoundUnacknowledged(o.Dialer, o.UnackedTimeout), o.UnreadBytes)
	return &connPool{options: o, idle: map[endpoint][]*conn{}}
}

// get returns a connection to a server: the most recently used idle one that is still reusable, or a new one. The
// deadline bounds the dial unless it is zero.
func (p *connPool) get(ctx context.Context, to endpoint, deadline time.Time) (c *conn, reused bool, err error) {
	for {
		if c = p.pop(to); c == nil {
			break
		}
		if time.Now().Before(c.idleDeadline) && c.reusable() {
			p.reuses.Add(1)
			invariant.Check(c.endpoint == to, invariant.ConnectionMatches, func() string { return fmt.Sprintf("connection to %v used for %v", c.endpoint, to) })
			p.prepare(c)
			return c, true, nil
		}
		p.discards.Add(1)
		c.close()
	}
	c, err = p.dial(ctx, to, deadline)
	return c, false, err
}

// dial opens a connection to a server.
func (p *connPool) dial(ctx context.Context, to endpoint, deadline time.Time) (*conn, error) {
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	netConn, err := p.options.Dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		p.failures.Add(1)
		return nil, errors.Wrap(err, "dial")
	}
	c := &conn{Conn: netConn, endpoint: to}
	socket, ok := netConn.(syscall.Conn)
	if ok {
		c.raw, err = socket.SyscallConn()
	}
	if !ok || err != nil {
		_ = netConn.Close()
		return nil, errors.New("connection is not a socket")
	}
	p.opens.Add(1)
	p.prepare(c)
	return c, nil
}

func (p *connPool) prepare(c *conn) {
	c.idleTimeout, c.answered = p.options.IdleTimeout, false
	c.readLimit = math.MaxInt64
	c.reader = bufReaders.Get().(*bufio.Reader)
	c.reader.Reset(io.Reader(c))
}

func (p *connPool) pop(to endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[to]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idleCount--
	idle[len(idle)-1] = nil
	if idle = idle[:len(idle)-1]; len(idle) == 0 {
		delete(p.idle, to)
	} else {
		p.idle[to] = idle
	}
	return c
}

// put returns a connection to the pool after a complete response was read from it, or if nothing was sent on it.
func (p *connPool) put(c *conn) {
	if c.idleTimeout <= 0 || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.close()
		return
	}
	c.releaseReader()
	if c.answered || c.idleDeadline.IsZero() { // the server's keep-alive timeout runs from its last response
		c.idleDeadline = time.Now().Add(c.idleTimeout)
	}
	p.mu.Lock()
	var evicted *conn
	idle := p.idle[c.endpoint]
	switch {
	case p.closed, len(idle) < p.options.MaxIdlePerEndpoint && p.idleCount >= p.options.MaxIdle:
		evicted = c
	case len(idle) >= p.options.MaxIdlePerEndpoint:
		evicted = idle[0]
		copy(idle, idle[1:])
		idle[len(idle)-1] = c
	default:
		p.idle[c.endpoint] = append(idle, c)
		p.idleCount++
	}
	if !p.closed && !p.reapScheduled {
		p.reapScheduled = true
		if p.reapTimer == nil {
			p.reapTimer = time.AfterFunc(time.Second, p.reap)
		} else {
			p.reapTimer.Reset(time.Second)
		}
	}
	p.mu.Unlock()
	if evicted != nil {
		evicted.close()
	}
}

// reap closes the connections that have been idle for too long. Its timer runs only while there are idle
// connections.
func (p *connPool) reap() {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	for to, idle := range p.idle {
		kept := 0
		for _, c := range idle {
			if now.Before(c.idleDeadline) {
				idle[kept] = c
				kept++
				continue
			}
			expired = append(expired, c)
			p.idleCount--
		}
		clear(idle[kept:])
		if kept == 0 {
			delete(p.idle, to)
		} else {
			p.idle[to] = idle[:kept]
		}
	}
	if p.reapScheduled = len(p.idle) > 0; p.reapScheduled {
		p.reapTimer.Reset(time.Second)
	}
	p.mu.Unlock()
	p.discards.Add(uint64(len(expired)))
	for _, c := range expired {
		c.close()
	}
}

// close closes all idle connections; connections returned later are closed at once.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	if p.reapTimer != nil {
		p.reapTimer.Stop()
	}
	idle := p.idle
	p.idle = map[endpoint][]*conn{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.close()
		}
	}
}

func (p *connPool) tally() ConnTally {
	return ConnTally{Opens: p.opens.Load(), Reuses: p.reuses.Load(), Discards: p.discards.Load(), Failures: p.failures.Load()}
}
