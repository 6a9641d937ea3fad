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

// silentPeer accepts connections and never answers on them, as a machine that lost its power leaves
// them behind; it tells of each connection that it accepted.
func silentPeer(t *testing.T) (addr string, accepted <-chan net.Conn) {
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

// A peer that opens a stream to us long after we connected to it may have started anew: what is sent to
// it next goes over a new connection, not over one that leads to its life before.
func TestPostDialsAgainWhenAPeerReopens(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	addr, accepted := silentPeer(t)
	p := newPost(ctx, "", time.Second, func(protocol.Env) {})
	peer := protocol.Sibling{ID: "b", Addr: addr}
	p.send(protocol.Env{To: peer, Body: protocol.Fetch{}})
	first := <-accepted
	defer first.Close()

	p.reopened(addr, time.Now().Add(staleBefore/2))
	p.send(protocol.Env{To: peer, Body: protocol.Fetch{}})
	p.flush(time.Second)
	require.Empty(t, accepted, "a stream that was opened about when ours was says nothing")

	p.reopened(addr, time.Now().Add(2*staleBefore))
	p.send(protocol.Env{To: peer, Body: protocol.Fetch{}})
	second := <-accepted
	defer second.Close()
}

// A connection whose bytes nobody acknowledges is given up within a bound, so that a machine that was
// without power or cut off is reached again soon after it is back.
func TestPostBoundsUnacknowledgedBytes(t *testing.T) {
	addr, _ := silentPeer(t)
	c, err := newPost(context.Background(), "127.0.0.1:1", time.Second, nil).dial.Dial("tcp", addr)
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
