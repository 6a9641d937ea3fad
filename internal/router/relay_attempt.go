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

// An attempt writes the request to one server, once, on a connection that nobody else has meanwhile, and
// finds the answer that is its own among what comes back.

// attempt sends the request to one server and passes its answer on.
func (x *exchange) attempt(ctx context.Context, v Launch) (End, failure.Kind) {
	r := x.r
	left := v.Left
	generic.SetDefault(&left, r.o.Wait)
	due := time.Now().Add(left)
	c, _, err := r.conns.get(ctx, endpoint{v.Server, v.Addr}, due)
	if err != nil {
		x.cause = CauseDial
		return Unsent, failure.None
	}
	use := &connUse{r: r, c: c, stop: context.AfterFunc(ctx, c.cut)}
	defer use.end(false)
	if left = time.Until(due); left <= 0 {
		use.end(true)
		x.cause = CauseNoTime
		return Kept, failure.None
	}
	if !r.core.MaySend(v.Ref, v.N) {
		use.end(true)
		x.cause = CauseNotAllowed
		return Kept, failure.None
	}
	a := Attempt{Server: v.Server, Left: left, Rank: v.Rank, Keyed: v.Keyed, Tenant: v.Work.Tenant}
	if x.seen {
		a.Seen = x.last
	}
	r.o.Dialect.Write(x.head, a)
	if sent, err := x.send(c, due); err != nil {
		if sent == 0 && ctx.Err() == nil {
			x.cause = CauseWrite
			return Unsent, failure.None // not one byte of it left
		}
		return x.broken(CauseWrite)
	}
	return x.receive(v, use, due)
}

// connUse is the use of a connection by one attempt.
type connUse struct {
	r    *Relay
	c    *conn
	stop func() bool
}

// end gives the connection back, or closes it.
func (u *connUse) end(keep bool) {
	if u.c == nil {
		return
	}
	if u.stop() && keep {
		u.r.conns.put(u.c)
	} else {
		u.c.close()
	}
	u.c = nil
}

// broken says what a broken connection means.
func (x *exchange) broken(cause Cause) (End, failure.Kind) {
	x.cause = cause
	x.r.count(func(t *RelayTally) { t.Broken++ })
	if x.open {
		return Split, failure.None
	}
	return Lost, failure.None
}

// send writes the request, in one write if it is small. It tells how many bytes left.
func (x *exchange) send(c *conn, due time.Time) (int64, error) {
	b := getBuffer()
	defer putBuffer(b)
	if err := x.formatHead(b); err != nil {
		return 0, err
	}
	if err := c.SetWriteDeadline(due); err != nil {
		return 0, err
	}
	if len(x.body) <= mostPiece {
		b.Write(x.body)
		n, err := c.Conn.Write(b.Bytes())
		return int64(n), err
	}
	l := net.Buffers{b.Bytes(), x.body}
	return l.WriteTo(c.Conn)
}

// formatHead puts the request's head together. The body goes with a length, however it came.
func (x *exchange) formatHead(b *bytes.Buffer) error {
	q := x.req
	target := q.RequestURI
	if !strings.HasPrefix(target, "/") && target != "*" {
		target = q.URL.RequestURI()
	}
	b.WriteString(q.Method)
	b.WriteByte(' ')
	b.WriteString(target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(q.Host)
	b.WriteString("\r\n")
	if _, ok := q.Header["Content-Length"]; ok || len(x.body) > 0 || len(q.TransferEncoding) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(x.body)))
		b.WriteString("\r\n")
	}
	if err := x.head.Write(b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	return nil
}

// receive reads the answer to this attempt, past those that belong to earlier ones.
func (x *exchange) receive(v Launch, use *connUse, due time.Time) (End, failure.Kind) {
	r, c := x.r, use.c
	if c.SetReadDeadline(due.Add(r.o.Slack)) != nil {
		return x.broken(CauseHead)
	}
	for n := 0; ; n++ {
		a, err := c.answer(x.req, r.conns.o.MaxHeadSize)
		if err != nil {
			return x.broken(CauseHead)
		}
		said := r.o.Dialect.Answer(a.StatusCode, a.Header)
		if said.ID == x.facts.ID && said.ID != "" {
			if n > 0 {
				c.keep = 0 // who knows what else comes on it
			}
			return x.take(v, use, a, said)
		}
		// Where HEAD was asked, the end of another request's answer is not known either.
		if said.ID == "" || n == mostSurplus || closeDelimited(a) || x.req.Method == http.MethodHead {
			r.count(func(t *RelayTally) { t.Foreign++ })
			return x.broken(CauseForeign)
		}
		r.count(func(t *RelayTally) { t.Surplus++ })
		if m, err := io.CopyN(io.Discard, a.Body, mostSurplusBody); err != io.EOF || m == mostSurplusBody {
			return x.broken(CauseForeign)
		}
	}
}

// closeDelimited tells whether nothing but the end of the connection ends an answer's body.
func closeDelimited(a *http.Response) bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Body != http.NoBody
}
