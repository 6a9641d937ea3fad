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
	// openWait is how long a connection may be without a stream. What comes on it before one is
	// begun may be anything, and drpc would keep such a connection even after its other end is gone.
	openWait = 5 * time.Second
	// acceptWait is the pause after a connection could not be accepted, as descriptors ran out.
	acceptWait = 100 * time.Millisecond
)

// listen takes connections of other processes.
func (p *post) listen(addr string) error {
	// Probes end what a peer that lost its power, or was cut off, has left open here.
	listening := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}
	l, err := listening.Listen(p.ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	context.AfterFunc(p.ctx, func() { _ = l.Close() })
	go p.accept(l)
	return nil
}

func (p *post) accept(l net.Listener) {
	for p.ctx.Err() == nil {
		c, err := l.Accept()
		if err != nil {
			time.Sleep(acceptWait)
			continue
		}
		r := &receiver{take: p.take, opened: p.reopened, wait: openWait, times: p.times}
		go r.receive(p.ctx, c)
	}
}

// receiver hands on what comes on one connection.
type receiver struct {
	take   func(protocol.Env)
	opened func(from string, at time.Time) // hears of each stream with its first envelope
	wait   time.Duration
	expiry *time.Timer // ends the connection while it has no stream
	times  *workTimes
}

// receive reads a connection to its end.
func (r *receiver) receive(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.expiry = time.AfterFunc(r.wait, cancel)
	defer r.expiry.Stop()
	s := drpcserver.NewWithOptions(r, drpcserver.Options{Manager: manage})
	_ = s.ServeOne(ctx, c)
}

// HandleRPC reads a stream to its end.
func (r *receiver) HandleRPC(s drpc.Stream, rpc string) error {
	r.expiry.Stop()
	defer r.expiry.Reset(r.wait)
	if rpc != rpcPost {
		return errors.Errorf("no such call: %s", rpc)
	}
	opened := time.Now()
	for first := true; ; first = false {
		var e protocol.Env
		if err := s.MsgRecv(&e, coding{r.times}); err != nil {
			return nil
		}
		if first {
			r.opened(e.From.Addr, opened)
		}
		r.take(e)
	}
}
