package host

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"tidedeck/internal/protocol"
)

const (
	rpcPost  = "/tidedeck/post"
	mostWire = 16 << 20
)

// coding lets drpc carry our envelopes.
type coding struct{}

// Marshal writes an envelope.
func (coding) Marshal(m drpc.Message) ([]byte, error) { return protocol.Pack(*m.(*protocol.Env)) }

// Unmarshal reads an envelope.
func (coding) Unmarshal(b []byte, m drpc.Message) error {
	e, err := protocol.Unpack(b)
	if err == nil {
		*m.(*protocol.Env) = e
	}
	return err
}

var manage = drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: mostWire}}

// unacknowledgedLimit bounds how long bytes to a peer may go unacknowledged before the connection is
// given up and dialled anew. A machine without power, or behind a cut, says nothing: without this bound
// its connection would wait for TCP's next retransmission, which comes as late after the machine is back
// as it was away.
const unacknowledgedLimit = 1500 * time.Millisecond

// staleBefore is how much older than a peer's new inbound stream our own connection to it must be to be
// taken for one to the peer's life before. Two peers that reconnect to each other settle at once, since
// both connections are then younger than this.
const staleBefore = time.Second

// peerLine is what waits to be sent to one peer.
type peerLine struct {
	queue    chan protocol.Env
	reopened atomic.Int64 // when the peer last opened a stream to this process, in ns since the post began
}

// post carries envelopes between processes: one held stream to each sibling, a bounded queue
// before it, and nothing that waits for a sibling that does not read.
type post struct {
	mu    sync.Mutex // guards lines and busy; taken last of all locks
	lines map[string]*peerLine
	began time.Time
	busy  int // envelopes being written
	ctx   context.Context
	take  func(protocol.Env)
	dial  *net.Dialer
	local map[string]func(protocol.Env)
}

func newPost(ctx context.Context, told string, wait time.Duration, take func(protocol.Env)) *post {
	dialer := Dialer(told, wait)
	return &post{dial: boundUnacknowledged(dialer), lines: map[string]*peerLine{}, began: time.Now(), ctx: ctx, take: take}
}

// boundUnacknowledged makes a dialer set TCP_USER_TIMEOUT on its connections.
func boundUnacknowledged(dialer *net.Dialer) *net.Dialer {
	before := dialer.Control
	dialer.Control = func(network, address string, c syscall.RawConn) error {
		if before != nil {
			if err := before(network, address, c); err != nil {
				return err
			}
		}
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedLimit.Milliseconds()))
		})
	}
	return dialer
}

// reopened notes that a peer opened a new stream to this process: it may have started anew, or come
// back from a cut, so that an older connection to it leads nowhere.
func (p *post) reopened(addr string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if line := p.lines[addr]; line != nil {
		line.reopened.Store(int64(at.Sub(p.began)))
	}
}

// stale tells whether a connection that was dialled at some moment is older than the peer's newest stream.
func (p *post) stale(line *peerLine, dialled time.Time) bool {
	return dialled.Sub(p.began)+staleBefore < time.Duration(line.reopened.Load())
}

// send queues an envelope; a full queue lets go of its oldest.
func (p *post) send(e protocol.Env) {
	to := e.Hop().Addr
	if to == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	line := p.lines[to]
	if line == nil {
		line = &peerLine{queue: make(chan protocol.Env, 512)}
		p.lines[to] = line
		go p.run(to, line)
	}
	for {
		select {
		case line.queue <- e:
			return
		default:
		}
		select {
		case <-line.queue:
		default:
		}
	}
}

// flush waits until every queue is empty and what was taken from it is written.
func (p *post) flush(most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		p.mu.Lock()
		n := p.busy
		for _, line := range p.lines {
			n += len(line.queue)
		}
		p.mu.Unlock()
		if n == 0 {
			return
		}
	}
}

func (p *post) work(n int) {
	p.mu.Lock()
	p.busy += n
	p.mu.Unlock()
}

type slowGuard struct{ net.Conn }

// Write bounds the time that a sibling may keep us from writing.
func (c slowGuard) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	return c.Conn.Write(b)
}

func (p *post) run(to string, line *peerLine) {
	q := line.queue
	var c *drpcconn.Conn
	var s drpc.Stream
	var bad, dialled time.Time
	quit := func() {
		if c != nil {
			_ = c.Close()
		}
		c, s = nil, nil
	}
	defer quit()
	put := func(e protocol.Env) {
		if c != nil {
			select {
			case <-c.Closed():
				quit()
			default:
			}
		}
		if c != nil && p.stale(line, dialled) {
			quit()
		}
		if c == nil {
			if time.Since(bad) < 100*time.Millisecond {
				return
			}
			dialled = time.Now()
			n, err := p.dial.Dial("tcp", to)
			if err != nil {
				bad = time.Now()
				return
			}
			c = drpcconn.NewWithOptions(slowGuard{n}, drpcconn.Options{Manager: manage})
			if s, err = c.NewStream(p.ctx, rpcPost, coding{}); err != nil {
				quit()
				bad = time.Now()
				return
			}
		}
		if err := s.MsgSend(&e, coding{}); err != nil {
			quit()
			bad = time.Now()
		}
	}
	idle := time.NewTimer(time.Minute)
	defer idle.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-idle.C:
			p.mu.Lock()
			if len(q) == 0 {
				delete(p.lines, to)
				p.mu.Unlock()
				return
			}
			p.mu.Unlock()
			idle.Reset(time.Minute)
		case e := <-q:
			idle.Reset(time.Minute)
			p.work(1)
			if f := p.local[to]; f != nil {
				f(e)
			} else {
				put(e)
			}
			p.work(-1)
		}
	}
}
