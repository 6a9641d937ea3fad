package router

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"time"

	"tidedeck/internal/failure"
)

// What becomes of the answer to an attempt: it is passed on, or it tells that the request did not run, or it
// is as good as none.

// take passes on the answer to this attempt, or tells why it cannot.
func (x *exchange) take(v Launch, use *connUse, a *http.Response, said Said) (End, failure.Kind) {
	x.status = a.StatusCode
	good, stream := a.StatusCode >= 200 && a.StatusCode < 300, isStream(a)
	switch {
	case said.NotRun:
		x.drain(use, a)
		return Dropped, said.Kind
	case good && !said.Sealed:
		x.cause = CauseUnsealed
		return Lost, failure.None
	case x.open && !(good && stream):
		x.cause = CauseStatus
		return Lost, failure.None
	case !good && promisesNotRun(a.StatusCode):
		x.drain(use, a)
		x.cause = CauseStatus
		return Lost, failure.None // its status would say that it did not run, and it may have
	case a.StatusCode >= 500 && v.Again:
		x.drain(use, a)
		x.cause = CauseStatus
		return Lost, failure.None
	}
	if stream && x.req.Method != http.MethodHead {
		return x.flow(v, use, a)
	}
	return x.whole(v, use, a)
}

// isStream tells whether an answer is a series of events.
func isStream(a *http.Response) bool {
	t, _, err := mime.ParseMediaType(a.Header.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}

// promisesNotRun tells whether a status says that a request did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// drain reads a small body off, so that the connection can be kept; nobody waits long for that.
func (x *exchange) drain(use *connUse, a *http.Response) {
	if a.ContentLength > mostDrain || closeDelimited(a) || use.c.SetReadDeadline(time.Now().Add(drainWait)) != nil {
		use.end(false)
		return
	}
	n, err := io.CopyN(io.Discard, a.Body, mostDrain)
	use.end(err == io.EOF && n < mostDrain)
}

// whole passes an answer on that is no stream. A small one is read whole first: if it breaks off,
// the client has no byte of it yet.
func (x *exchange) whole(v Launch, use *connUse, a *http.Response) (End, failure.Kind) {
	switch {
	case a.Body == http.NoBody:
		use.end(true)
		x.bodiless(a)
		return Done, failure.None
	case closeDelimited(a):
		return x.broken(CauseUnframed) // its end cannot be told from a break
	case a.ContentLength > mostKept:
		return x.long(v, use, a, nil)
	}
	b := getBuffer()
	if a.ContentLength > 0 {
		b.Grow(int(a.ContentLength) + bytes.MinRead)
	}
	switch _, err := io.CopyN(b, a.Body, mostKept+1); err {
	case io.EOF:
		use.end(true)
		x.reply = &reply{a.StatusCode, a.Header, b}
		return Done, failure.None
	case nil:
		defer putBuffer(b)
		return x.long(v, use, a, b.Bytes())
	}
	putBuffer(b)
	return x.broken(CauseBody)
}

// bodiless readies an answer that has no body by the request's method or the status. Its length stands for
// the body that there would be, but for a status that never has one.
func (x *exchange) bodiless(a *http.Response) {
	if n, ok := a.Header["Content-Length"]; ok && a.StatusCode != http.StatusNoContent {
		x.w.Header()["Content-Length"] = n
	}
	x.reply = &reply{status: a.StatusCode, head: a.Header}
}

// long passes an answer on as it comes, after what was read of it already.
func (x *exchange) long(v Launch, use *connUse, a *http.Response, read []byte) (End, failure.Kind) {
	if a.ContentLength > 0 {
		x.w.Header()["Content-Length"] = a.Header["Content-Length"]
	}
	x.r.core.Step(Begun{Ref: v.Ref, N: v.N})
	x.writeHead(a.StatusCode, a.Header)
	x.writeBody(read, false)
	how, kind := x.pump(a, func(p []byte) bool {
		x.writeBody(p, false)
		return true
	})
	if how == Done {
		use.end(true)
	}
	return how, kind
}

// pump reads an answer's body to its end and hands on each piece as it comes.
func (x *exchange) pump(a *http.Response, f func(p []byte) bool) (End, failure.Kind) {
	p := pieces.Get().(*[]byte)
	defer pieces.Put(p)
	for {
		n, err := a.Body.Read(*p)
		if n > 0 && !f((*p)[:n]) {
			x.cause = CauseEvents
			return Lost, failure.None
		}
		if x.gone {
			x.cause = CauseCaller
			return Lost, failure.None // nobody reads it any more
		}
		switch err {
		case nil:
		case io.EOF:
			return Done, failure.None
		default:
			return x.broken(CauseBody)
		}
	}
}

// flow passes a stream on as it comes.
func (x *exchange) flow(v Launch, use *connUse, a *http.Response) (End, failure.Kind) {
	f := &events{x: x, resumed: x.open, begin: func() {
		x.r.core.Step(Begun{Ref: v.Ref, N: v.N})
		if !x.open {
			if a.ContentLength >= 0 && !v.Resume {
				x.w.Header()["Content-Length"] = a.Header["Content-Length"]
			}
			x.units = v.Resume
			x.writeHead(a.StatusCode, a.Header)
		}
	}}
	defer f.free()
	each := f.bytes
	if v.Resume {
		each = f.whole
	}
	how, kind := x.pump(a, each)
	if how != Done {
		return how, kind
	}
	if closeDelimited(a) {
		return x.broken(CauseUnframed)
	}
	if !f.end() {
		x.cause = CauseEvents
		return Lost, failure.None
	}
	use.end(true)
	if !f.begun {
		f.start()
	}
	return Done, failure.None
}
