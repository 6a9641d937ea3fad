package host

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
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

// post carries envelopes between processes: one held stream to each sibling, a bounded queue
// before it, and nothing that waits for a sibling that does not read.
type post struct {
	mu    sync.Mutex // guards lines and busy; taken last of all locks
	lines map[string]chan protocol.Env
	busy  int // envelopes being written
	ctx   context.Context
	take  func(protocol.Env)
	dial  *net.Dialer
	local map[string]func(protocol.Env)
}

func newPost(ctx context.Context, told string, wait time.Duration, take func(protocol.Env)) *post {
	return &post{dial: Dialer(told, wait), lines: map[string]chan protocol.Env{}, ctx: ctx, take: take}
}

func (p *post) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s := drpcserver.NewWithOptions(p, drpcserver.Options{Manager: manage})
	go func() { _ = s.Serve(p.ctx, l) }()
	return nil
}

// HandleRPC reads a sibling's stream to its end.
func (p *post) HandleRPC(s drpc.Stream, rpc string) error {
	if rpc != rpcPost {
		return errors.Errorf("no such call: %s", rpc)
	}
	for {
		var e protocol.Env
		if err := s.MsgRecv(&e, coding{}); err != nil {
			return nil
		}
		p.take(e)
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
	q := p.lines[to]
	if q == nil {
		q = make(chan protocol.Env, 512)
		p.lines[to] = q
		go p.run(to, q)
	}
	for {
		select {
		case q <- e:
			return
		default:
		}
		select {
		case <-q:
		default:
		}
	}
}

// flush waits until every queue is empty and what was taken from it is written.
func (p *post) flush(most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		p.mu.Lock()
		n := p.busy
		for _, q := range p.lines {
			n += len(q)
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

func (p *post) run(to string, q chan protocol.Env) {
	var c *drpcconn.Conn
	var s drpc.Stream
	var bad time.Time
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
		if c == nil {
			if time.Since(bad) < 100*time.Millisecond {
				return
			}
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
