package host

import (
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"tidedeck/internal/protocol"
)

const (
	// redialWait is the pause after a connection failed; messages sent meanwhile are dropped.
	redialWait = 100 * time.Millisecond
	// writeWait is the timeout for a write to a peer that does not read.
	writeWait = 2 * time.Second
)

// staleBefore is the age difference above which an outbound connection is assumed to lead to the peer's previous
// incarnation: the connection is that much older than the peer's newest inbound stream. Two peers that reconnect to
// each other settle immediately, since both connections are then younger than this.
const staleBefore = time.Second

// outbound is the connection to one peer and the stream on it. It is dialled when there is a message to send.
type outbound struct {
	post    *post
	to      string
	line    *peerLine
	conn    *drpcconn.Conn
	stream  drpc.Stream
	dialled time.Time
	failed  time.Time
}

// send writes an envelope. An envelope that cannot be written is lost, as on any network.
func (o *outbound) send(e protocol.Env) {
	if o.conn != nil && o.ended() {
		o.close()
	}
	if o.conn == nil {
		if time.Since(o.failed) < redialWait {
			return
		}
		if err := o.open(); err != nil {
			o.fail()
			return
		}
	}
	if err := o.stream.MsgSend(&e, coding{o.post.times}); err != nil {
		o.fail()
	}
}

// ended reports whether the connection is closed or leads to the peer's previous incarnation, because it is older
// than the peer's newest stream to this process.
func (o *outbound) ended() bool {
	select {
	case <-o.conn.Closed():
		return true
	default:
	}
	return o.dialled.Sub(o.post.began)+staleBefore < time.Duration(o.line.reopened.Load())
}

func (o *outbound) open() error {
	o.dialled = time.Now()
	conn, err := o.post.dial.Dial("tcp", o.to)
	if err != nil {
		return err
	}
	o.conn = drpcconn.NewWithOptions(slowGuard{conn}, drpcconn.Options{Manager: manage})
	o.stream, err = o.conn.NewStream(o.post.ctx, rpcPost, coding{o.post.times})
	return err
}

func (o *outbound) fail() {
	o.close()
	o.failed = time.Now()
}

func (o *outbound) close() {
	if o.conn != nil {
		_ = o.conn.Close()
	}
	o.conn, o.stream = nil, nil
}

// slowGuard is a connection that bounds the time of each write.
type slowGuard struct{ net.Conn }

// Write fails if the peer blocks it for longer than writeWait.
func (c slowGuard) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeWait))
	return c.Conn.Write(b)
}
