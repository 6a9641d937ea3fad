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
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"tidedeck/internal/protocol"
)

const (
	rpcPost  = "/tidedeck/post"
	mostWire = 16 << 20
	// idleWait is how long a line to a peer is kept with nothing to send.
	idleWait = time.Minute
)

// coding lets drpc carry our envelopes, and counts the time that this takes.
type coding struct{ times *workTimes }

// Marshal writes an envelope.
func (c coding) Marshal(m drpc.Message) ([]byte, error) {
	began := time.Now()
	b, err := protocol.Pack(*m.(*protocol.Env))
	c.times.add(workWrite, time.Since(began))
	return b, err
}

// Unmarshal reads an envelope.
func (c coding) Unmarshal(b []byte, m drpc.Message) error {
	began := time.Now()
	e, err := protocol.Unpack(b)
	c.times.add(workRead, time.Since(began))
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
	times *workTimes
}

func newPost(ctx context.Context, told string, wait time.Duration, take func(protocol.Env)) *post {
	dialer := Dialer(told, wait)
	return &post{dial: BoundUnacknowledged(dialer, unacknowledgedLimit), lines: map[string]*peerLine{}, began: time.Now(), ctx: ctx, take: take}
}

// BoundUnacknowledged gives a copy of a dialer that sets TCP_USER_TIMEOUT on its connections: bytes that are not
// acknowledged for so long end them.
func BoundUnacknowledged(dialer *net.Dialer, limit time.Duration) *net.Dialer {
	bounded := *dialer
	before := dialer.Control
	bounded.Control = func(network, address string, c syscall.RawConn) error {
		if before != nil {
			if err := before(network, address, c); err != nil {
				return err
			}
		}
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
	}
	return &bounded
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

// run writes what is queued for one peer, until nothing has come for a while.
func (p *post) run(to string, line *peerLine) {
	o := &outbound{post: p, to: to, line: line}
	defer o.close()
	idle := time.NewTimer(idleWait)
	defer idle.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-idle.C:
			if p.forget(to, line) {
				return
			}
			idle.Reset(idleWait)
		case e := <-line.queue:
			idle.Reset(idleWait)
			p.work(1)
			if deliver := p.local[to]; deliver != nil {
				deliver(e)
			} else {
				o.send(e)
			}
			p.work(-1)
		}
	}
}

// forget drops a line on which nothing waits, and tells whether it did.
func (p *post) forget(to string, line *peerLine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(line.queue) > 0 {
		return false
	}
	delete(p.lines, to)
	return true
}
