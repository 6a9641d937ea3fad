package host

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/protocol"
)

// A connection whose other end is gone is ended, whatever came on it: also what drpc waits on for ever,
// a message before its stream was begun, or one of a stream to come.
func TestConnectionEnds(t *testing.T) {
	e := protocol.Env{From: protocol.Sibling{ID: "a", Addr: "1"}, To: protocol.Sibling{ID: "b", Addr: "2"}, Body: protocol.Fetch{Round: 3}}
	sent := string(sentBytes(t, e))
	later := "\x05\x05\x01\x02{}"
	for name, c := range map[string]struct {
		raw  string
		took int
	}{
		"nothing":                       {},
		"a request of another protocol": {raw: "GET / HTTP/1.1\r\n\r\n"},
		"a message with no stream":      {raw: "\x05\x01\x01\x02{}"},
		"the end of no stream":          {raw: "\x0b\x01\x01\x00"},
		"an envelope":                   {raw: sent, took: 1},
		"an envelope and half of one":   {raw: sent + later[:4], took: 1},
		"one of a stream to come":       {raw: sent + later, took: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near, far := net.Pipe()
			took := make(chan protocol.Env, 8)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				r := &receiver{take: func(e protocol.Env) { took <- e }, opened: func(string, time.Time) {}, wait: 100 * time.Millisecond}
				r.receive(context.Background(), far)
			}()
			_ = near.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = near.Write([]byte(c.raw))
			if c.took > 0 {
				require.Equal(t, e, <-took)
			}
			_ = near.Close()
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is not ended")
			}
		})
	}
}

// A stream that is quiet for longer than a connection may be without one goes on.
func TestQuietStreamGoesOn(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	took := make(chan protocol.Env, 8)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := &receiver{take: func(e protocol.Env) { took <- e }, opened: func(string, time.Time) {}, wait: 50 * time.Millisecond}
			go r.receive(ctx, c)
		}
	}()
	p := newPost(ctx, "", time.Second, nil)
	e := protocol.Env{From: protocol.Sibling{ID: "a", Addr: "1"}, To: protocol.Sibling{ID: "b", Addr: l.Addr().String()}, Body: protocol.Fetch{Round: 3}}
	for range 3 {
		p.send(e)
		require.Equal(t, e, <-took)
		time.Sleep(200 * time.Millisecond)
	}
}
