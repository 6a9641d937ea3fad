package host

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"tidedeck/internal/connlimit"
	"tidedeck/internal/protocol"
)

const (
	// streamOpenTimeout is how long a connection may have no stream. Data received before a stream is opened may be
	// arbitrary, and drpc would keep such a connection even after the other end has failed.
	streamOpenTimeout = 5 * time.Second
	// acceptRetryDelay is the pause after a failed accept, for example when file descriptors are exhausted.
	acceptRetryDelay = 100 * time.Millisecond
)

// nodeInputCost is the memory that a byte of an incomplete message costs, in bytes: the buffers of drpc are copied as they
// grow, and a message of several frames is assembled in another one.
const nodeInputCost = 3

// listen accepts connections from other processes, within the limits.
func (t *transport) listen(addr string, limits connlimit.Limits) error {
	// TCP keep-alive closes connections left open by a peer that lost power or is unreachable.
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}
	listener, err := limits.Listen(t.ctx, config, addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	context.AfterFunc(t.ctx, func() { _ = listener.Close() })
	go t.accept(listener, connlimit.New(connlimit.Config{Limits: limits, BodyCost: nodeInputCost}))
	return nil
}

func (t *transport) accept(listener net.Listener, limiter *connlimit.Limiter) {
	for t.ctx.Err() == nil {
		conn, err := limiter.Accept(listener)
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		r := &receiver{deliver: t.deliver, onStreamOpened: t.reopened, openTimeout: streamOpenTimeout, times: t.times, identified: conn.Trust}
		go r.receive(t.ctx, conn)
	}
}

// receiver passes on the messages that arrive on one connection.
type receiver struct {
	deliver        func(protocol.Envelope)
	onStreamOpened func(from string, at time.Time) // called for each stream with its first envelope
	openTimeout    time.Duration
	openTimer      *time.Timer // closes the connection if it has no stream for too long
	times          *workTimes
	identified     func() // called with the first complete envelope; may be nil
}

// receive reads a connection until it ends.
func (r *receiver) receive(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.openTimer = time.AfterFunc(r.openTimeout, cancel)
	defer r.openTimer.Stop()
	server := drpcserver.NewWithOptions(r, drpcserver.Options{Manager: managerOptions})
	_ = server.ServeOne(ctx, conn)
}

// HandleRPC reads a stream until it ends.
func (r *receiver) HandleRPC(stream drpc.Stream, rpc string) error {
	r.openTimer.Stop()
	defer r.openTimer.Reset(r.openTimeout)
	if rpc != envelopeRPC {
		return errors.Errorf("unknown RPC %q", rpc)
	}
	opened := time.Now()
	for first := true; ; first = false {
		var envelope protocol.Envelope
		if err := stream.MsgRecv(&envelope, envelopeCodec{r.times}); err != nil {
			return nil
		}
		if first {
			r.onStreamOpened(envelope.From.Addr, opened)
			if r.identified != nil {
				r.identified()
			}
		}
		r.deliver(envelope)
	}
}
