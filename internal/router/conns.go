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

// ConnOptions bound the kept connections to servers.
type ConnOptions struct {
	Dialer      *net.Dialer   // how servers are reached; one with a time-out of 400 ms if there is none
	Idle        time.Duration // an idle connection is kept so long where the server names no time; 4 s
	MaxIdle     int           // idle connections kept for one address; 8
	Unanswered  time.Duration // TCP_USER_TIMEOUT: bytes without an acknowledgement end a connection; 5 s
	MaxHeadSize int64         // bytes of an answer's head; 256 KiB
}

// Defaults fills what was left out.
func (o ConnOptions) Defaults() ConnOptions {
	if o.Dialer == nil {
		o.Dialer = &net.Dialer{Timeout: 400 * time.Millisecond}
	}
	generic.SetDefault(&o.Idle, 4*time.Second)
	generic.SetDefault(&o.MaxIdle, 8)
	generic.SetDefault(&o.Unanswered, 5*time.Second)
	generic.SetDefault(&o.MaxHeadSize, 256<<10)
	return o
}

// ConnTally counts what became of connections to servers.
type ConnTally struct {
	Opens, Reuses, Discards, Failures uint64
}

// early is how much sooner than its server a connection is given up.
const early = 500 * time.Millisecond

// mostInterim bounds the interim answers before a final one.
const mostInterim = 5

// lastStatus is the highest status that HTTP has.
const lastStatus = 599

var (
	errHead     = errors.New("the head of the answer is too long")
	errNoAnswer = errors.New("the bytes are no answer of HTTP/1")
)

var bufReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 8<<10) }}

// endpoint is one start of a server at its address. Another start, or another server that has the
// address by now, is another endpoint: a connection kept from before leads nowhere any more.
type endpoint struct {
	server ident.Server
	addr   string
}

// conn is one connection to a server. It carries one request at a time.
type conn struct {
	net.Conn
	to    endpoint
	raw   syscall.RawConn
	br    *bufio.Reader // borrowed while the connection is in use
	room  int64         // bytes that may still be read
	until time.Time     // when an idle one is given up
	keep  time.Duration // how long its server keeps it idle
	heard bool          // an answer was read since it was taken
	byte  [1]byte
}

// Read reads within the bound on a head.
func (c *conn) Read(b []byte) (int, error) {
	if c.room <= 0 {
		return 0, errHead
	}
	if int64(len(b)) > c.room {
		b = b[:c.room]
	}
	n, err := c.Conn.Read(b)
	c.room -= int64(n)
	return n, err
}

// answer reads the head of the next answer to a request of a method.
func (c *conn) answer(q *http.Request, most int64) (*http.Response, error) {
	for range mostInterim {
		c.room = most
		a, err := http.ReadResponse(c.br, q)
		if err != nil {
			return nil, err
		}
		c.room = math.MaxInt64
		if a.ProtoMajor != 1 || a.StatusCode < 100 || a.StatusCode > lastStatus {
			return nil, errNoAnswer
		}
		if a.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the server changed the protocol")
		}
		if a.StatusCode >= 200 {
			c.heed(a)
			return a, nil
		}
	}
	return nil, errors.New("the server sent too many interim answers")
}

// heed takes from the head of an answer how long the connection may be idle.
func (c *conn) heed(a *http.Response) {
	c.heard = true
	if a.Close || !a.ProtoAtLeast(1, 1) {
		c.keep = 0
		return
	}
	for _, l := range a.Header["Keep-Alive"] {
		for f := range strings.SplitSeq(l, ",") {
			name, v, _ := strings.Cut(strings.TrimSpace(f), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if n, err := strconv.Atoi(strings.Trim(v, `" `)); err == nil {
				c.keep = time.Duration(min(max(n, 0), 3600))*time.Second - early
			}
		}
	}
}

// fresh tells whether an idle connection is still open and nothing has come on it.
func (c *conn) fresh() bool {
	ok := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), c.byte[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = err == syscall.EAGAIN
		return true
	})
	return ok && err == nil
}

// cut ends the connection; whoever uses it learns that from its next read or write.
func (c *conn) cut() { _ = c.Conn.Close() }

func (c *conn) unbuffer() {
	if c.br != nil {
		c.br.Reset(nil)
		bufReaders.Put(c.br)
		c.br = nil
	}
}

func (c *conn) close() {
	c.cut()
	c.unbuffer()
}

// conns keeps idle connections to servers.
type conns struct {
	o     ConnOptions
	mu    sync.Mutex
	idle  map[endpoint][]*conn // the one used last is the last
	sweep *time.Timer
	armed bool
	shut  bool

	opens, reuses, discards, failures atomic.Uint64
}

func newConns(o ConnOptions) *conns {
	o = o.Defaults()
	o.Dialer = host.BoundUnacknowledged(o.Dialer, o.Unanswered)
	return &conns{o: o, idle: map[endpoint][]*conn{}}
}

// get gives a connection to a server: the one used last, if it still stands, or a new one. A dial ends
// at the deadline, if there is one.
func (p *conns) get(ctx context.Context, to endpoint, deadline time.Time) (c *conn, reused bool, err error) {
	for {
		if c = p.pop(to); c == nil {
			break
		}
		if time.Now().Before(c.until) && c.fresh() {
			p.reuses.Add(1)
			invariant.Check(c.to == to, invariant.ConnectionMatches, func() string { return fmt.Sprintf("a connection to %v is used for %v", c.to, to) })
			p.ready(c)
			return c, true, nil
		}
		p.discards.Add(1)
		c.close()
	}
	c, err = p.dial(ctx, to, deadline)
	return c, false, err
}

// dial opens a connection to a server.
func (p *conns) dial(ctx context.Context, to endpoint, deadline time.Time) (*conn, error) {
	if !deadline.IsZero() {
		var done context.CancelFunc
		ctx, done = context.WithDeadline(ctx, deadline)
		defer done()
	}
	n, err := p.o.Dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		p.failures.Add(1)
		return nil, errors.Wrap(err, "dial")
	}
	c := &conn{Conn: n, to: to}
	s, ok := n.(syscall.Conn)
	if ok {
		c.raw, err = s.SyscallConn()
	}
	if !ok || err != nil {
		_ = n.Close()
		return nil, errors.New("the connection is no socket")
	}
	p.opens.Add(1)
	p.ready(c)
	return c, nil
}

func (p *conns) ready(c *conn) {
	c.keep, c.heard = p.o.Idle, false
	c.room = math.MaxInt64
	c.br = bufReaders.Get().(*bufio.Reader)
	c.br.Reset(io.Reader(c))
}

func (p *conns) pop(to endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[to]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	l[len(l)-1] = nil
	if l = l[:len(l)-1]; len(l) == 0 {
		delete(p.idle, to)
	} else {
		p.idle[to] = l
	}
	return c
}

// put takes a connection back on which a whole answer was read, or nothing was sent.
func (p *conns) put(c *conn) {
	if c.keep <= 0 || c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.close()
		return
	}
	c.unbuffer()
	if c.heard || c.until.IsZero() { // its server counts from its last answer
		c.until = time.Now().Add(c.keep)
	}
	p.mu.Lock()
	var old *conn
	l := p.idle[c.to]
	switch {
	case p.shut:
		old = c
	case len(l) >= p.o.MaxIdle:
		old = l[0]
		copy(l, l[1:])
		l[len(l)-1] = c
	default:
		p.idle[c.to] = append(l, c)
	}
	if !p.shut && !p.armed {
		p.armed = true
		if p.sweep == nil {
			p.sweep = time.AfterFunc(time.Second, p.reap)
		} else {
			p.sweep.Reset(time.Second)
		}
	}
	p.mu.Unlock()
	if old != nil {
		old.close()
	}
}

// reap closes what has been idle for too long. Its timer rests while nothing is idle.
func (p *conns) reap() {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	for a, l := range p.idle {
		n := 0
		for _, c := range l {
			if now.Before(c.until) {
				l[n] = c
				n++
				continue
			}
			old = append(old, c)
		}
		clear(l[n:])
		if n == 0 {
			delete(p.idle, a)
		} else {
			p.idle[a] = l[:n]
		}
	}
	if p.armed = len(p.idle) > 0; p.armed {
		p.sweep.Reset(time.Second)
	}
	p.mu.Unlock()
	p.discards.Add(uint64(len(old)))
	for _, c := range old {
		c.close()
	}
}

// close closes every idle connection, and from then on each that comes back.
func (p *conns) close() {
	p.mu.Lock()
	p.shut = true
	if p.sweep != nil {
		p.sweep.Stop()
	}
	all := p.idle
	p.idle = map[endpoint][]*conn{}
	p.mu.Unlock()
	for _, l := range all {
		for _, c := range l {
			c.close()
		}
	}
}

func (p *conns) tally() ConnTally {
	return ConnTally{Opens: p.opens.Load(), Reuses: p.reuses.Load(), Discards: p.discards.Load(), Failures: p.failures.Load()}
}
