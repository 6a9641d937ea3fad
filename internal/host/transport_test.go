package host

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"tidedeck/internal/protocol"
)

// startSilentPeer accepts connections and never answers on them, like a machine that lost power. It returns the accepted
// connections on a channel.
func startSilentPeer(t *testing.T) (addr string, accepted <-chan net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- c
		}
	}()
	return listener.Addr().String(), connections
}

// A peer that opens a stream to this process long after this process connected to it may have restarted: the next
// message must be sent over a new connection, not over one to the peer's previous incarnation.
func TestPostDialsAgainWhenAPeerReopens(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	addr, accepted := startSilentPeer(t)
	p := newTransport(ctx, "", time.Second, func(protocol.Envelope) {})
	peer := protocol.Peer{ID: "b", Addr: addr}
	p.send(protocol.Envelope{To: peer, Body: protocol.FetchValue{}})
	first := <-accepted
	defer first.Close()

	p.reopened(addr, time.Now().Add(staleMargin/2))
	p.send(protocol.Envelope{To: peer, Body: protocol.FetchValue{}})
	p.flush(time.Second)
	require.Empty(t, accepted, "a stream opened at about the same time as the connection has no effect")

	p.reopened(addr, time.Now().Add(2*staleMargin))
	p.send(protocol.Envelope{To: peer, Body: protocol.FetchValue{}})
	second := <-accepted
	defer second.Close()
}

// A connection whose data is not acknowledged is closed within a limit, so that a machine that lost power or was
// unreachable can be reached soon after its return.
func TestPostBoundsUnacknowledgedBytes(t *testing.T) {
	addr, _ := startSilentPeer(t)
	c, err := newTransport(context.Background(), "127.0.0.1:1", time.Second, nil).dialer.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var limit int
	require.NoError(t, raw.Control(func(fd uintptr) {
		limit, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	require.Equal(t, unacknowledgedLimit, time.Duration(limit)*time.Millisecond)
}
