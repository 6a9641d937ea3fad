package host

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"tidedeck/internal/protocol"
)

const (
	// openWait is how long a connection may have no stream. Data received before a stream is opened may be arbitrary,
	// and drpc would keep such a connection even after the other end is gone.
	openWait = 5 * time.Second
	// acceptWait is the pause after a failed accept, for example when file descriptors are exhausted.
	acceptWait = 100 * time.Millisecond
)

// listen accepts connections from other processes.
func (p *post) listen(addr string) error {
	// TCP keep-alive closes connections left open by a peer that lost power or is unreachable.
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}
	listener, err := config.Listen(p.ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	context.AfterFunc(p.ctx, func() { _ = listener.Close() })
	go p.accept(listener)
	return nil
}

func (p *post) accept(listener net.Listener) {
	for p.ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			time.Sleep(acceptWait)
			continue
		}
		r := &receiver{take: p.take, opened: p.reopened, wait: openWait, times: p.times}
		go r.receive(p.ctx, conn)
	}
}

// receiver passes on the messages that arrive on one connection.
type receiver struct {
	take   func(protocol.Env)
	opened func(from string, at time.Time) // called for each stream with its first envelope
	wait   time.Duration
	expiry *time.Timer // closes the connection if it has no stream for too long
	times  *workTimes
}

// receive reads a connection until it ends.
func (r *receiver) receive(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.expiry = time.AfterFunc(r.wait, cancel)
	defer r.expiry.Stop()
	server := drpcserver.NewWithOptions(r, drpcserver.Options{Manager: manage})
	_ = server.ServeOne(ctx, conn)
}

// HandleRPC reads a stream until it ends.
func (r *receiver) HandleRPC(stream drpc.Stream, rpc string) error {
	r.expiry.Stop()
	defer r.expiry.Reset(r.wait)
	if rpc != rpcPost {
		return errors.Errorf("unknown RPC %q", rpc)
	}
	opened := time.Now()
	for first := true; ; first = false {
		var envelope protocol.Env
		if err := stream.MsgRecv(&envelope, coding{r.times}); err != nil {
			return nil
		}
		if first {
			r.opened(envelope.From.Addr, opened)
		}
		r.take(envelope)
	}
}
