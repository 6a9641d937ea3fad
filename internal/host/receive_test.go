package host

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/protocol"
)

// A connection whose other end has failed must be closed whatever was received on it, including input on which drpc
// waits forever: a message before its stream was opened, or a message of a later stream.
func TestConnectionEnds(t *testing.T) {
	e := protocol.Envelope{From: protocol.Peer{ID: "a", Addr: "1"}, To: protocol.Peer{ID: "b", Addr: "2"}, Body: protocol.FetchValue{Round: 3}}
	sent := string(sentBytes(t, e))
	later := "\x05\x05\x01\x02{}"
	for name, c := range map[string]struct {
		raw      string
		received int
	}{
		"nothing":                       {},
		"a request of another protocol": {raw: "GET / HTTP/1.1\r\n\r\n"},
		"a message without a stream":    {raw: "\x05\x01\x01\x02{}"},
		"the end of an unopened stream": {raw: "\x0b\x01\x01\x00"},
		"an envelope":                   {raw: sent, received: 1},
		"an envelope and half of one":   {raw: sent + later[:4], received: 1},
		"a message of a later stream":   {raw: sent + later, received: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			local, remote := net.Pipe()
			received := make(chan protocol.Envelope, 8)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				r := &receiver{deliver: func(e protocol.Envelope) { received <- e }, onStreamOpened: func(string, time.Time) {}, openTimeout: 100 * time.Millisecond}
				r.receive(context.Background(), remote)
			}()
			_ = local.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = local.Write([]byte(c.raw))
			if c.received > 0 {
				require.Equal(t, e, <-received)
			}
			_ = local.Close()
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection was not closed")
			}
		})
	}
}

// A stream stays open without messages for longer than a connection may exist without a stream.
func TestIdleStreamStaysOpen(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received := make(chan protocol.Envelope, 8)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r := &receiver{deliver: func(e protocol.Envelope) { received <- e }, onStreamOpened: func(string, time.Time) {}, openTimeout: 50 * time.Millisecond}
			go r.receive(ctx, conn)
		}
	}()
	sender := newTransport(ctx, "", time.Second, nil)
	e := protocol.Envelope{From: protocol.Peer{ID: "a", Addr: "1"}, To: protocol.Peer{ID: "b", Addr: listener.Addr().String()}, Body: protocol.FetchValue{Round: 3}}
	for range 3 {
		sender.send(e)
		require.Equal(t, e, <-received)
		time.Sleep(200 * time.Millisecond)
	}
}
