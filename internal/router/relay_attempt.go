package router

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
)

// An attempt sends the request once to one server, on a connection that carries no other request at the time, and
// identifies its response among those received.

// attempt sends the request to one server and forwards the response.
func (x *exchange) attempt(ctx context.Context, v Launch) (Outcome, failure.Kind) {
	r := x.relay
	left := v.Remaining
	generic.SetDefault(&left, r.options.AttemptTimeout)
	deadline := time.Now().Add(left)
	c, _, err := r.conns.get(ctx, endpoint{v.Server, v.Addr}, deadline)
	if err != nil {
		x.cause = CauseDial
		return Unsent, failure.None
	}
	use := &connUse{relay: r, conn: c, stop: context.AfterFunc(ctx, c.closeSocket)}
	defer use.release(false)
	if left = time.Until(deadline); left <= 0 {
		use.release(true)
		x.cause = CauseNoTime
		return Kept, failure.None
	}
	if !r.decider.MaySend(v.Ref, v.N) {
		use.release(true)
		x.cause = CauseNotAllowed
		return Kept, failure.None
	}
	props := Attempt{Server: v.Server, TimeLeft: left, Precedence: v.Rank, KeyVerified: v.Keyed, Tenant: v.Work.Tenant}
	if x.hasLastEvent {
		props.LastEvent = x.lastEvent
	}
	r.options.Dialect.WriteAttempt(x.header, props)
	if sent, err := x.send(c, deadline); err != nil {
		if sent == 0 && ctx.Err() == nil {
			x.cause = CauseWrite
			return Unsent, failure.None // not a single byte was sent
		}
		return x.connectionBroken(CauseWrite)
	}
	return x.readResponse(v, use, deadline)
}

// connUse is the use of a connection by one attempt.
type connUse struct {
	relay *Relay
	conn  *conn
	stop  func() bool
}

// release returns the connection to the pool, or closes it.
func (u *connUse) release(reuse bool) {
	if u.conn == nil {
		return
	}
	if u.stop() && reuse {
		u.relay.conns.put(u.conn)
	} else {
		u.conn.close()
	}
	u.conn = nil
}

// connectionBroken returns the outcome of an attempt whose connection broke.
func (x *exchange) connectionBroken(cause Cause) (Outcome, failure.Kind) {
	x.cause = cause
	x.relay.count(func(t *RelayTally) { t.Broken++ })
	if x.started {
		return Split, failure.None
	}
	return Lost, failure.None
}

// send writes the request, in a single write if it is small, and returns the number of bytes sent.
func (x *exchange) send(c *conn, deadline time.Time) (int64, error) {
	b := getBuffer()
	defer putBuffer(b)
	if err := x.formatHead(b); err != nil {
		return 0, err
	}
	if err := c.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	if len(x.body) <= maxSingleWriteBody {
		b.Write(x.body)
		n, err := c.Conn.Write(b.Bytes())
		return int64(n), err
	}
	pieces := net.Buffers{b.Bytes(), x.body}
	return pieces.WriteTo(c.Conn)
}

// formatHead writes the head of the request. The body is sent with a Content-Length, also if it arrived in chunks.
func (x *exchange) formatHead(b *bytes.Buffer) error {
	req := x.req
	target := req.RequestURI
	if !strings.HasPrefix(target, "/") && target != "*" {
		target = req.URL.RequestURI()
	}
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	if _, ok := req.Header["Content-Length"]; ok || len(x.body) > 0 || len(req.TransferEncoding) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(x.body)))
		b.WriteString("\r\n")
	}
	if err := x.header.Write(b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	return nil
}

// readResponse reads the response to this attempt and skips surplus responses to earlier attempts.
func (x *exchange) readResponse(v Launch, use *connUse, deadline time.Time) (Outcome, failure.Kind) {
	r, c := x.relay, use.conn
	if c.SetReadDeadline(deadline.Add(r.options.Slack)) != nil {
		return x.connectionBroken(CauseHead)
	}
	for skipped := 0; ; skipped++ {
		resp, err := c.readResponse(x.req, r.conns.options.MaxHeadSize)
		if err != nil {
			return x.connectionBroken(CauseHead)
		}
		info := r.options.Dialect.ReadResponse(resp.StatusCode, resp.Header)
		if info.ID == x.facts.ID && info.ID != "" {
			if skipped > 0 {
				c.idleTimeout = 0 // further surplus responses may follow
			}
			return x.handleResponse(v, use, resp, info)
		}
		// After a HEAD request, the end of another request's response cannot be determined either.
		if info.ID == "" || skipped == maxSurplusResponses || closeDelimited(resp) || x.req.Method == http.MethodHead {
			r.count(func(t *RelayTally) { t.Foreign++ })
			return x.connectionBroken(CauseForeign)
		}
		r.count(func(t *RelayTally) { t.Surplus++ })
		if discarded, err := io.CopyN(io.Discard, resp.Body, maxSurplusBody); err != io.EOF || discarded == maxSurplusBody {
			return x.connectionBroken(CauseForeign)
		}
	}
}

// closeDelimited reports whether the body of a response ends only with the connection.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
