package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
)

// The caller's side of an exchange: a server's answer or a refusal of the router's own is written once, and
// an answer that cannot be ended as it should be is broken off so that it does not look whole.

// abort breaks the client's connection visibly: an answer that ends early must not look whole.
func (x *exchange) abort() {
	x.r.count(func(t *RelayTally) { t.Aborts++ })
	x.breakOff()
}

// breakOff ends the client's connection without an end of the answer. A handler that returned would
// have net/http write one, and a client that only ended its sending side would take it for whole. A
// client of HTTP/1.0 knows an end by the close alone, so it gets a reset.
func (x *exchange) breakOff() {
	if g := guardOf(x.req); g != nil && x.open && !x.req.ProtoAtLeast(1, 1) {
		g.resetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// refuse writes the answer that the one table has for a kind.
func (x *exchange) refuse(k failure.Kind, back clock.Span, end bool, f fleetplan.Faults) {
	a, ok := failure.Receipts[k]
	if !ok {
		a = failure.Receipts[failure.Unclear]
	}
	if back == 0 {
		back = a.Back
	}
	x.writeProblem(a.Status, host.Problem{Kind: k, Dropped: a.Dropped, BackMs: back.Milliseconds(), Faults: f}, back, end)
}

// writeProblem writes an answer of the router's own.
func (x *exchange) writeProblem(status int, p host.Problem, back clock.Span, end bool) {
	x.r.count(func(t *RelayTally) { t.Refusals++ })
	x.armDeadline()
	h := x.w.Header()
	b, _ := json.Marshal(p)
	h["Content-Type"] = []string{"application/json"}
	if status == http.StatusUnauthorized {
		h["Www-Authenticate"] = []string{fleetplan.BearerScheme}
	}
	h["Content-Length"] = []string{strconv.Itoa(len(b))}
	if back > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(back.Round(time.Millisecond).Seconds(), 'f', -1, 64)}
	}
	x.writeConnection(end)
	x.checkOwnAnswer(status)
	x.w.WriteHeader(status)
	_, _ = x.w.Write(b)
}

// writeConnection adds what the head of an answer says about the client's connection.
func (x *exchange) writeConnection(end bool) {
	if end || x.r.close() {
		x.w.Header()["Connection"] = []string{"close"}
	} else if s := int(x.r.o.KeepAlive / time.Second); s > 0 {
		x.w.Header()["Keep-Alive"] = []string{"timeout=" + strconv.Itoa(s)}
	}
}

// armDeadline bounds how long a client may take nothing. It is called before each write.
func (x *exchange) armDeadline() {
	if now := time.Now(); now.Sub(x.armed) > x.r.o.WriteWait/8 {
		x.armed = now
		_ = x.to.SetWriteDeadline(now.Add(x.r.o.WriteWait))
	}
}

// writeHead writes the head of a server's answer.
func (x *exchange) writeHead(status int, head http.Header) {
	x.armDeadline()
	x.checkAnswer(status, head)
	h := x.w.Header()
	copyHeaders(h, head)
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := h[k]; !ok {
			h[k] = nil // nothing is made up
		}
	}
	x.writeConnection(false)
	x.open = true
	x.w.WriteHeader(status)
}

// writeBody writes bytes of an answer's body.
func (x *exchange) writeBody(b []byte, flush bool) {
	if len(b) == 0 || x.gone {
		return
	}
	x.armDeadline()
	if _, err := x.w.Write(b); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.gone = true
		return
	}
	if flush && x.to.Flush() != nil {
		x.gone = true
	}
}

// writeReply writes a whole answer.
func (x *exchange) writeReply() {
	a := x.reply
	if a.body == nil {
		x.writeHead(a.status, a.head)
		return
	}
	defer putBuffer(a.body)
	x.w.Header()["Content-Length"] = []string{strconv.Itoa(a.body.Len())}
	x.writeHead(a.status, a.head)
	if x.writeBody(a.body.Bytes(), false); x.gone {
		x.abort()
	}
}
