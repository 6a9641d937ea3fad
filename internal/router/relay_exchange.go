package router

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/host"
)

// An exchange handles one client's request from its arrival to the end of its response: it reads the complete
// request, passes it to the core and carries out the core's decisions until the request has ended.

// exchange is one client's request and its response.
type exchange struct {
	relay       *Relay
	w           http.ResponseWriter
	control     *http.ResponseController
	req         *http.Request
	facts       fleetplan.Request
	header      http.Header // headers that are forwarded
	body        []byte
	deadlineSet time.Time // when the write deadline was last set

	reply              *reply // complete response that is still to be written
	started            bool   // the client has received part of a response
	wholeEvents        bool   // that part consists of complete events
	clientDisconnected bool   // the client accepts no more data

	status int   // of the server's response to the current attempt
	cause  Cause // why the current attempt ends, as far as known

	arrived        time.Time // when the request's head was read
	firstByte      time.Time // when its first byte arrived
	hasLastEvent   bool      // lastEvent is set
	lastEvent      uint64    // number of the last numbered event that the client has
	unnumberedTail bool      // an unnumbered event followed it, which another attempt may send again
}

// reply is a complete response.
type reply struct {
	status int
	header http.Header
	body   *bytes.Buffer
}

// addedHeaders is the approximate number of headers that an attempt adds to those of a request.
const addedHeaders = 6

// ServeHTTP handles one client's request from its arrival to the end of its response.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	x := &exchange{relay: r, w: w, control: http.NewResponseController(w), req: req, arrived: time.Now()}
	defer func() { r.requestSeconds.Observe(time.Since(x.arrived).Seconds()) }()
	x.firstByte = x.arrived
	if g := headGuardOf(req); g != nil {
		x.firstByte = g.firstByte()
		g.HeadComplete()
		defer g.reset()
	}
	if !unambiguousFraming(req) {
		r.count(func(t *RelayTally) { t.Smuggled++ })
		x.traceRefusal(failure.Malformed)
		x.writeRefusal(failure.Malformed, 0, true, fleetplan.Faults{{Path: "$", Why: "ambiguous request framing: the end of the body is not uniquely defined"}})
		return
	}
	if headTooLong(req) {
		x.traceRefusal(failure.HeadTooLong)
		x.writeRefusal(failure.HeadTooLong, 0, true, nil)
		return
	}
	facts, fault := r.options.Dialect.ReadRequest(req)
	if fault != nil {
		x.traceRefusal(failure.Malformed)
		x.writeRefusal(failure.Malformed, 0, req.Body != http.NoBody, fleetplan.Faults{*fault})
		return
	}
	x.facts = facts
	if x.refuseDuringStop() {
		return
	}
	reserved := &reservation{budget: &r.bodies}
	defer reserved.release()
	b := getBuffer()
	defer putBuffer(b)
	if !x.readBody(b, reserved) || x.refuseDuringStop() {
		return
	}
	if g := headGuardOf(req); g != nil {
		g.readWhole()
		g.Claim()
	}
	x.body = b.Bytes()
	x.lastEvent, x.hasLastEvent = facts.LastEvent, facts.LastEvent > 0
	x.header = make(http.Header, len(req.Header)+addedHeaders)
	copyHeaders(x.header, req.Header)
	x.run()
	if x.reply != nil {
		x.writeReply()
	}
	x.armDeadline() // for the end that net/http writes after a stream that may have paused for a long time
}

// refuseDuringStop refuses the request if the router no longer accepts new ones, and reports whether it did. It is
// called before the body is read, which may take long, and again once it is complete: the grace period may end before a
// server could answer.
func (x *exchange) refuseDuringStop() bool {
	if !x.relay.rejectNew.Load() {
		return false
	}
	x.traceRefusal(failure.Moved)
	x.writeRefusal(failure.Moved, 0, true, nil)
	return true
}

// Limits on a request's body that apply where the plan sets none.
const (
	defaultMaxBodySize = 4 << 20
	defaultBodyTimeout = 15 * time.Second
)

// bodyLimits returns the maximum size of a request body and the time within which it must arrive.
func (r *Relay) bodyLimits() (limit int64, timeout time.Duration) {
	if r.options.BodyLimits != nil {
		limit, timeout = r.options.BodyLimits()
	}
	generic.SetDefault(&limit, defaultMaxBodySize)
	generic.SetDefault(&timeout, defaultBodyTimeout)
	return limit, timeout
}

// readBody reads the request's body. If that fails, it responds to the client and returns false.
func (x *exchange) readBody(b *bytes.Buffer, reserved *reservation) bool {
	req := x.req
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	limit, timeout := x.relay.bodyLimits()
	faults := fleetplan.Faults{{Path: "$", Why: "request body exceeds the size limit"}}
	if req.ContentLength > limit {
		x.traceRefusal(failure.Oversize)
		x.writeRefusal(failure.Oversize, 0, true, faults)
		return false
	}
	body := io.Reader(http.MaxBytesReader(x.w, req.Body, limit))
	switch {
	case req.ContentLength < 0:
		body = reservingReader{body, reserved}
	case !reserved.reserve(req.ContentLength):
		x.refuseBody()
		return false
	default:
		b.Grow(int(req.ContentLength) + bytes.MinRead)
	}
	_ = x.control.SetReadDeadline(time.Now().Add(timeout))
	_, err := b.ReadFrom(body)
	_ = x.control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case err == nil:
		return true
	case errors.Is(err, errBodyBudgetExhausted):
		x.refuseBody()
	case errors.As(err, &tooLarge):
		x.traceRefusal(failure.Oversize)
		x.writeRefusal(failure.Oversize, 0, true, faults)
	case errors.As(err, &netErr) && netErr.Timeout():
		x.traceRefusal(failure.Expired)
		x.writeProblem(http.StatusRequestTimeout, host.ErrorBody{Kind: failure.Expired, Dropped: true}, 0, true)
	default:
		x.relay.options.OnRefusal(x.refusal(EndedCallerLeft, failure.None))
		x.abortResponse()
	}
	return false
}

// refuseBody refuses a request, with a time to retry, because the body budget is exhausted.
func (x *exchange) refuseBody() {
	x.traceRefusal(failure.Full)
	x.writeRefusal(failure.Full, 0, true, nil)
}

// traceRefusal reports a request that is refused before it reaches the core.
func (x *exchange) traceRefusal(kind failure.Kind) {
	x.relay.options.OnRefusal(x.refusal(EndedRefused, kind))
}

func (x *exchange) refusal(end string, kind failure.Kind) RequestTrace {
	return RequestTrace{ID: x.facts.ID, Route: x.req.URL.Path, TookMs: time.Since(x.arrived).Milliseconds(), End: end, Kind: kind}
}

// run passes the request to the decider and carries out its decisions until the request has ended.
func (x *exchange) run() {
	r := x.relay
	ctx := x.req.Context()
	inFlight := r.register(ctx)
	finished := false
	defer func() {
		if !finished {
			r.decider.Step(Quit{inFlight.ref})
		}
		r.remove(inFlight)
	}()
	r.decider.Step(Call{Ref: inFlight.ref, Route: x.req.URL.Path, Age: time.Since(x.arrived), Arriving: time.Since(x.firstByte), Request: x.facts})
	for {
		select {
		case <-ctx.Done():
			x.dropConnection()
		case decision := <-inFlight.decisions:
			switch v := decision.(type) {
			case Refusal:
				finished = true
				x.finishWithRefusal(v)
				return
			case Launch:
				ended := x.runAttempt(inFlight.attempts, v)
				finished = ended.Outcome == Done
				r.decider.Step(ended)
				if finished {
					return
				}
			}
		}
	}
}

// runAttempt makes the attempt that the decider launched. It drops the client's connection if the attempt can no
// longer lead to a complete response. The end of ctx interrupts the attempt.
func (x *exchange) runAttempt(ctx context.Context, v Launch) Ended {
	if x.started && !x.resumable(v) {
		x.abortResponse()
	}
	x.status, x.cause = 0, CauseNone
	how, kind := x.attempt(ctx, v)
	if how != Done && (x.clientDisconnected || x.req.Context().Err() != nil) {
		x.dropConnection()
	}
	return Ended{Ref: v.Ref, N: v.N, Outcome: how, Kind: kind, Status: x.status, Cause: x.cause}
}

// resumable reports whether a response that has been started can continue with another attempt: the client has
// only complete events, and none after the last numbered one that the next attempt may send again.
func (x *exchange) resumable(v Launch) bool { return x.wholeEvents && v.Resume && !x.unnumberedTail }

// finishWithRefusal ends a request that no server has completed.
func (x *exchange) finishWithRefusal(v Refusal) {
	if x.started {
		x.abortResponse()
	}
	x.writeRefusal(v.Kind, v.RetryAfter, false, nil)
}
