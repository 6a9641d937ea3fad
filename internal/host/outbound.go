package host

import (
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"tidedeck/internal/protocol"
)

const (
	// redialDelay is the pause after a connection failed; messages sent meanwhile are dropped.
	redialDelay = 100 * time.Millisecond
	// writeTimeout is the timeout for a write to a peer that does not read.
	writeTimeout = 2 * time.Second
)

// staleMargin is the age difference above which an outbound connection is assumed to lead to the peer's previous
// incarnation: the connection is that much older than the peer's newest inbound stream. Two peers that reconnect to
// each other settle immediately, since both connections are then younger than this.
const staleMargin = time.Second

// outbound is the connection to one peer and the stream on it. It is dialled when there is a message to send.
type outbound struct {
	transport *transport
	to        string
	peer      *peerQueue
	conn      *drpcconn.Conn
	stream    drpc.Stream
	dialledAt time.Time
	failedAt  time.Time
}

// send writes an envelope. An envelope that cannot be written is lost, as on any network.
func (o *outbound) send(e protocol.Envelope) {
	if o.conn != nil && o.stale() {
		o.close()
	}
	if o.conn == nil {
		if time.Since(o.failedAt) < redialDelay {
			return
		}
		if err := o.open(); err != nil {
			o.fail()
			return
		}
	}
	if err := o.stream.MsgSend(&e, envelopeCodec{o.transport.times}); err != nil {
		o.fail()
	}
}

// stale reports whether the connection is closed or leads to the peer's previous incarnation, because it is older
// than the peer's newest stream to this process.
func (o *outbound) stale() bool {
	select {
	case <-o.conn.Closed():
		return true
	default:
	}
	return o.dialledAt.Sub(o.transport.startedAt)+staleMargin < time.Duration(o.peer.lastOpenedAt.Load())
}

func (o *outbound) open() error {
	o.dialledAt = time.Now()
	conn, err := o.transport.dialer.Dial("tcp", o.to)
	if err != nil {
		return err
	}
	o.conn = drpcconn.NewWithOptions(deadlineConn{conn}, drpcconn.Options{Manager: managerOptions})
	o.stream, err = o.conn.NewStream(o.transport.ctx, envelopeRPC, envelopeCodec{o.transport.times})
	return err
}

func (o *outbound) fail() {
	o.close()
	o.failedAt = time.Now()
}

func (o *outbound) close() {
	if o.conn != nil {
		_ = o.conn.Close()
	}
	o.conn, o.stream = nil, nil
}

// deadlineConn is a connection that bounds the time of each write.
type deadlineConn struct{ net.Conn }

// Write fails if the peer blocks it for longer than writeTimeout.
func (c deadlineConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(b)
}
