package router

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"time"

	"tidedeck/internal/failure"
)

// Handling of the response to an attempt: the response is forwarded, or reports that the request was not run, or
// is unusable.

// handleResponse forwards the response to this attempt, or returns why it cannot be forwarded.
func (x *exchange) handleResponse(v Launch, use *connUse, resp *http.Response, info ResponseInfo) (Outcome, failure.Kind) {
	x.status = resp.StatusCode
	success, stream := resp.StatusCode >= 200 && resp.StatusCode < 300, isStream(resp)
	switch {
	case info.NotRun:
		x.drain(use, resp)
		return Dropped, info.Kind
	case success && !info.Sealed:
		x.cause = CauseUnsealed
		return Lost, failure.None
	case x.started && !(success && stream):
		x.cause = CauseStatus
		return Lost, failure.None
	case !success && promisesNotRun(resp.StatusCode):
		x.drain(use, resp)
		x.cause = CauseStatus
		return Lost, failure.None // without the not-executed header the status does not prove that the request was not run
	case resp.StatusCode >= 500 && v.Repeatable:
		x.drain(use, resp)
		x.cause = CauseStatus
		return Lost, failure.None
	}
	if stream && x.req.Method != http.MethodHead {
		return x.relayStream(v, use, resp)
	}
	return x.relayBuffered(v, use, resp)
}

// isStream reports whether a response is a stream of server-sent events.
func isStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// promisesNotRun reports whether a status code means that the request was not run and never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// drain reads and discards a small body so that the connection can be reused. The time for this is bounded by
// drainTimeout.
func (x *exchange) drain(use *connUse, resp *http.Response) {
	if resp.ContentLength > maxDrainBytes || closeDelimited(resp) || use.conn.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		use.release(false)
		return
	}
	n, err := io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	use.release(err == io.EOF && n < maxDrainBytes)
}

// relayBuffered forwards a response that is not a stream. A small body is read completely before any byte is sent,
// so that after a break the request can still be retried.
func (x *exchange) relayBuffered(v Launch, use *connUse, resp *http.Response) (Outcome, failure.Kind) {
	switch {
	case resp.Body == http.NoBody:
		use.release(true)
		x.relayWithoutBody(resp)
		return Done, failure.None
	case closeDelimited(resp):
		return x.connectionBroken(CauseUnframed) // a complete body cannot be distinguished from a truncated one
	case resp.ContentLength > maxBufferedResponse:
		return x.relayUnbuffered(v, use, resp, nil)
	}
	b := getBuffer()
	if resp.ContentLength > 0 {
		b.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	switch _, err := io.CopyN(b, resp.Body, maxBufferedResponse+1); err {
	case io.EOF:
		use.release(true)
		x.reply = &reply{resp.StatusCode, resp.Header, b}
		return Done, failure.None
	case nil:
		defer putBuffer(b)
		return x.relayUnbuffered(v, use, resp, b.Bytes())
	}
	putBuffer(b)
	return x.connectionBroken(CauseBody)
}

// relayWithoutBody prepares a response that has no body because of the request's method or the status code. It
// keeps the Content-Length header, which describes the body that a GET would return, except with 204, which never
// has a body.
func (x *exchange) relayWithoutBody(resp *http.Response) {
	if n, ok := resp.Header["Content-Length"]; ok && resp.StatusCode != http.StatusNoContent {
		x.w.Header()["Content-Length"] = n
	}
	x.reply = &reply{status: resp.StatusCode, header: resp.Header}
}

// relayUnbuffered forwards a response as it arrives, after the part that has already been read.
func (x *exchange) relayUnbuffered(v Launch, use *connUse, resp *http.Response, read []byte) (Outcome, failure.Kind) {
	if resp.ContentLength > 0 {
		x.w.Header()["Content-Length"] = resp.Header["Content-Length"]
	}
	x.relay.decider.Step(Begun{Ref: v.Ref, N: v.N})
	x.writeHead(resp.StatusCode, resp.Header)
	x.writeBody(read, false)
	how, kind := x.copyBody(resp, func(chunk []byte) bool {
		x.writeBody(chunk, false)
		return true
	})
	if how == Done {
		use.release(true)
	}
	return how, kind
}

// copyBody reads a response's body to its end and passes each chunk to write as it arrives.
func (x *exchange) copyBody(resp *http.Response, write func(chunk []byte) bool) (Outcome, failure.Kind) {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := resp.Body.Read(*buffer)
		if n > 0 && !write((*buffer)[:n]) {
			x.cause = CauseEvents
			return Lost, failure.None
		}
		if x.clientDisconnected {
			x.cause = CauseCaller
			return Lost, failure.None // the client has disconnected, so nobody reads the response
		}
		switch err {
		case nil:
		case io.EOF:
			return Done, failure.None
		default:
			return x.connectionBroken(CauseBody)
		}
	}
}

// relayStream forwards an event stream as it arrives.
func (x *exchange) relayStream(v Launch, use *connUse, resp *http.Response) (Outcome, failure.Kind) {
	relay := &eventRelay{exchange: x, resuming: x.started, onBegin: func() {
		x.relay.decider.Step(Begun{Ref: v.Ref, N: v.N})
		if !x.started {
			if resp.ContentLength >= 0 && !v.Resume {
				x.w.Header()["Content-Length"] = resp.Header["Content-Length"]
			}
			x.wholeEvents = v.Resume
			x.writeHead(resp.StatusCode, resp.Header)
		}
	}}
	defer relay.releaseBuffers()
	forward := relay.relayBytes
	if v.Resume {
		forward = relay.relayEvents
	}
	how, kind := x.copyBody(resp, forward)
	if how != Done {
		return how, kind
	}
	if closeDelimited(resp) {
		return x.connectionBroken(CauseUnframed)
	}
	if !relay.finish() {
		x.cause = CauseEvents
		return Lost, failure.None
	}
	use.release(true)
	if !relay.begun {
		relay.start()
	}
	return Done, failure.None
}
