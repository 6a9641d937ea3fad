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
	envelopeRPC    = "/tidedeck/post"
	maxMessageSize = 16 << 20
	// idleTimeout is how long the connection to a peer is kept without messages to send.
	idleTimeout = time.Minute
)

// envelopeCodec encodes and decodes envelopes for drpc and measures the time that this takes.
type envelopeCodec struct{ times *workTimes }

// Marshal encodes an envelope.
func (c envelopeCodec) Marshal(m drpc.Message) ([]byte, error) {
	began := time.Now()
	b, err := protocol.Pack(*m.(*protocol.Envelope))
	c.times.add(workEncode, time.Since(began))
	return b, err
}

// Unmarshal decodes an envelope.
func (c envelopeCodec) Unmarshal(b []byte, m drpc.Message) error {
	began := time.Now()
	e, err := protocol.Unpack(b)
	c.times.add(workDecode, time.Since(began))
	if err == nil {
		*m.(*protocol.Envelope) = e
	}
	return err
}

var managerOptions = drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize}}

// unacknowledgedLimit bounds how long sent data may remain unacknowledged before the connection is closed and dialled
// again. A machine that lost power or is unreachable sends nothing: without this limit its connection would wait for
// TCP's next retransmission, which after the machine's return takes as long again as the machine was away.
const unacknowledgedLimit = 1500 * time.Millisecond

// peerQueue is the queue of messages for one peer.
type peerQueue struct {
	queue        chan protocol.Envelope
	lastOpenedAt atomic.Int64 // when the peer last opened a stream to this process, in ns since the transport started
}

// transport sends and receives envelopes: one persistent stream to each peer with a bounded queue in front of it. No
// caller ever waits for a peer that does not read.
type transport struct {
	mu         sync.Mutex // guards queues and writing; always the last lock to be acquired
	queues     map[string]*peerQueue
	startedAt  time.Time
	writing    int // number of envelopes being written
	ctx        context.Context
	deliver    func(protocol.Envelope)
	dialer     *net.Dialer
	localCores map[string]func(protocol.Envelope)
	times      *workTimes
}

func newTransport(ctx context.Context, advertised string, timeout time.Duration, deliver func(protocol.Envelope)) *transport {
	dialer := Dialer(advertised, timeout)
	return &transport{dialer: BoundUnacknowledged(dialer, unacknowledgedLimit), queues: map[string]*peerQueue{}, startedAt: time.Now(), ctx: ctx, deliver: deliver}
}

// BoundUnacknowledged returns a copy of a dialer that sets TCP_USER_TIMEOUT on its connections: a connection whose
// data remains unacknowledged for that long is closed.
func BoundUnacknowledged(dialer *net.Dialer, limit time.Duration) *net.Dialer {
	return withOption(dialer, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
}

// BoundUnread returns a copy of a dialer whose connections keep no more bytes unread in the kernel than that. Otherwise a
// server that sends faster than its answer is read could fill megabytes for each connection.
func BoundUnread(dialer *net.Dialer, bytes int) *net.Dialer {
	return withOption(dialer, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
}

// withOption returns a copy of a dialer that sets an option on its sockets.
func withOption(dialer *net.Dialer, level, option, value int) *net.Dialer {
	changed := *dialer
	inner := dialer.Control
	changed.Control = func(network, address string, c syscall.RawConn) error {
		if inner != nil {
			if err := inner(network, address, c); err != nil {
				return err
			}
		}
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), level, option, value) })
	}
	return &changed
}

// reopened records that a peer opened a new stream to this process: the peer may have restarted or become reachable
// again, so an older connection to it may be dead.
func (t *transport) reopened(addr string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if peer := t.queues[addr]; peer != nil {
		peer.lastOpenedAt.Store(int64(at.Sub(t.startedAt)))
	}
}

// send queues an envelope. A full queue drops its oldest envelope.
func (t *transport) send(e protocol.Envelope) {
	to := e.NextHop().Addr
	if to == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	peer := t.queues[to]
	if peer == nil {
		peer = &peerQueue{queue: make(chan protocol.Envelope, 512)}
		t.queues[to] = peer
		go t.run(to, peer)
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
func (t *transport) flush(limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		t.mu.Lock()
		pending := t.writing
		for _, peer := range t.queues {
			pending += len(peer.queue)
		}
		t.mu.Unlock()
		if pending == 0 {
			return
		}
	}
}

func (t *transport) addWriting(delta int) {
	t.mu.Lock()
	t.writing += delta
	t.mu.Unlock()
}

// run sends the queued messages for one peer until there has been none for idleTimeout.
func (t *transport) run(to string, peer *peerQueue) {
	connection := &outbound{transport: t, to: to, peer: peer}
	defer connection.close()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-idle.C:
			if t.removeIdle(to, peer) {
				return
			}
			idle.Reset(idleTimeout)
		case e := <-peer.queue:
			idle.Reset(idleTimeout)
			t.addWriting(1)
			if deliver := t.localCores[to]; deliver != nil {
				deliver(e)
			} else {
				connection.send(e)
			}
			t.addWriting(-1)
		}
	}
}

// removeIdle removes an idle queue and reports whether it did; a queue that is not empty stays.
func (t *transport) removeIdle(to string, peer *peerQueue) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(peer.queue) > 0 {
		return false
	}
	delete(t.queues, to)
	return true
}
