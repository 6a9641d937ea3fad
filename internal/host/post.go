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
	// idleWait is how long the connection to a peer is kept without messages to send.
	idleWait = time.Minute
)

// coding encodes and decodes envelopes for drpc and measures the time that this takes.
type coding struct{ times *workTimes }

// Marshal encodes an envelope.
func (c coding) Marshal(m drpc.Message) ([]byte, error) {
	began := time.Now()
	b, err := protocol.Pack(*m.(*protocol.Env))
	c.times.add(workWrite, time.Since(began))
	return b, err
}

// Unmarshal decodes an envelope.
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

// unacknowledgedLimit bounds how long sent data may remain unacknowledged before the connection is closed and dialled
// again. A machine that lost power or is unreachable sends nothing: without this limit its connection would wait for
// TCP's next retransmission, which after the machine's return takes as long again as the machine was away.
const unacknowledgedLimit = 1500 * time.Millisecond

// peerLine is the queue of messages for one peer.
type peerLine struct {
	queue    chan protocol.Env
	reopened atomic.Int64 // when the peer last opened a stream to this process, in ns since the post started
}

// post sends and receives envelopes: one persistent stream to each peer with a bounded queue in front of it. No
// caller ever waits for a peer that does not read.
type post struct {
	mu    sync.Mutex // guards lines and busy; always the last lock to be acquired
	lines map[string]*peerLine
	began time.Time
	busy  int // number of envelopes being written
	ctx   context.Context
	take  func(protocol.Env)
	dial  *net.Dialer
	local map[string]func(protocol.Env)
	times *workTimes
}

func newPost(ctx context.Context, advertised string, timeout time.Duration, take func(protocol.Env)) *post {
	dialer := Dialer(advertised, timeout)
	return &post{dial: BoundUnacknowledged(dialer, unacknowledgedLimit), lines: map[string]*peerLine{}, began: time.Now(), ctx: ctx, take: take}
}

// BoundUnacknowledged returns a copy of a dialer that sets TCP_USER_TIMEOUT on its connections: a connection whose
// data remains unacknowledged for that long is closed.
func BoundUnacknowledged(dialer *net.Dialer, limit time.Duration) *net.Dialer {
	bounded := *dialer
	inner := dialer.Control
	bounded.Control = func(network, address string, c syscall.RawConn) error {
		if inner != nil {
			if err := inner(network, address, c); err != nil {
				return err
			}
		}
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
	}
	return &bounded
}

// reopened records that a peer opened a new stream to this process: the peer may have restarted or become reachable
// again, so an older connection to it may be dead.
func (p *post) reopened(addr string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.lines[addr]; peer != nil {
		peer.reopened.Store(int64(at.Sub(p.began)))
	}
}

// send queues an envelope. A full queue drops its oldest envelope.
func (p *post) send(e protocol.Env) {
	to := e.Hop().Addr
	if to == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.lines[to]
	if peer == nil {
		peer = &peerLine{queue: make(chan protocol.Env, 512)}
		p.lines[to] = peer
		go p.run(to, peer)
	}
	for {
		select {
		case peer.queue <- e:
			return
		default:
		}
		select {
		case <-peer.queue:
		default:
		}
	}
}

// flush waits until all queues are empty and the messages taken from them are written, for at most the given time.
func (p *post) flush(limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		p.mu.Lock()
		pending := p.busy
		for _, peer := range p.lines {
			pending += len(peer.queue)
		}
		p.mu.Unlock()
		if pending == 0 {
			return
		}
	}
}

func (p *post) work(delta int) {
	p.mu.Lock()
	p.busy += delta
	p.mu.Unlock()
}

// run sends the queued messages for one peer until there has been none for idleWait.
func (p *post) run(to string, peer *peerLine) {
	connection := &outbound{post: p, to: to, line: peer}
	defer connection.close()
	idle := time.NewTimer(idleWait)
	defer idle.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-idle.C:
			if p.forget(to, peer) {
				return
			}
			idle.Reset(idleWait)
		case e := <-peer.queue:
			idle.Reset(idleWait)
			p.work(1)
			if deliver := p.local[to]; deliver != nil {
				deliver(e)
			} else {
				connection.send(e)
			}
			p.work(-1)
		}
	}
}

// forget removes an idle queue and reports whether it did; a queue that is not empty stays.
func (p *post) forget(to string, peer *peerLine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(peer.queue) > 0 {
		return false
	}
	delete(p.lines, to)
	return true
}
