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

// An exchange is one caller's request from its arrival to its last word: it is read whole, the core is
// asked, and what the core says is done until the request has its end.

// exchange is one client's request and its answer.
type exchange struct {
	r     *Relay
	w     http.ResponseWriter
	to    *http.ResponseController
	req   *http.Request
	facts fleetplan.Call
	head  http.Header // what goes through
	body  []byte
	armed time.Time // when the deadline of writes was set

	reply *reply // a whole answer that is still to be written
	open  bool   // the client has bytes of an answer
	units bool   // they are whole events
	gone  bool   // the client takes no more

	status int   // of the server's answer to the attempt under way
	cause  Cause // that this attempt ends for, as far as it is known

	came  time.Time // when its head was read
	seen  bool      // an event with a number was passed on
	last  uint64    // the number of the last
	loose bool      // and behind it one without a number, which another run may send again
}

// reply is a whole answer.
type reply struct {
	status int
	head   http.Header
	body   *bytes.Buffer
}

// addedHeaders is about how many headers an attempt adds to a request's own.
const addedHeaders = 6

// ServeHTTP carries one client's request from its arrival to its last word.
func (r *Relay) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	x := &exchange{r: r, w: w, to: http.NewResponseController(w), req: q, came: time.Now()}
	defer func() { r.seconds.Observe(time.Since(x.came).Seconds()) }()
	if g := guardOf(q); g != nil {
		defer g.next()
	}
	if !unambiguous(q) {
		r.count(func(t *RelayTally) { t.Smuggled++ })
		x.traceRefusal(failure.Malformed)
		x.refuse(failure.Malformed, 0, true, fleetplan.Faults{{Path: "$", Why: "where the body ends is not clear"}})
		return
	}
	if tooLong(q) {
		x.traceRefusal(failure.HeadTooLong)
		x.refuse(failure.HeadTooLong, 0, true, nil)
		return
	}
	facts, fault := r.o.Dialect.Read(q)
	if fault != nil {
		x.traceRefusal(failure.Malformed)
		x.refuse(failure.Malformed, 0, q.Body != http.NoBody, fleetplan.Faults{*fault})
		return
	}
	x.facts = facts
	if r.late.Load() {
		x.traceRefusal(failure.Moved)
		x.refuse(failure.Moved, 0, true, nil)
		return
	}
	room := &reservation{budget: &r.bodies}
	defer room.release()
	b := getBuffer()
	defer putBuffer(b)
	if !x.read(b, room) {
		return
	}
	x.body = b.Bytes()
	x.last, x.seen = facts.Seen, facts.Seen > 0
	x.head = make(http.Header, len(q.Header)+addedHeaders)
	copyHeaders(x.head, q.Header)
	x.run()
	if x.reply != nil {
		x.writeReply()
	}
	x.armDeadline() // for the end that net/http writes: a stream may have paused for long before it
}

// What a request's body may have and take where the plan says nothing.
const (
	defaultBodyMost = 4 << 20
	defaultBodyWait = 15 * time.Second
)

// bodyLimits gives the bytes that a body may have, and how long it may take to come.
func (r *Relay) bodyLimits() (most int64, wait time.Duration) {
	if r.o.Limits != nil {
		most, wait = r.o.Limits()
	}
	generic.SetDefault(&most, defaultBodyMost)
	generic.SetDefault(&wait, defaultBodyWait)
	return most, wait
}

// read reads the request's body; what it cannot take is answered at once.
func (x *exchange) read(b *bytes.Buffer, room *reservation) bool {
	q := x.req
	if q.Body == nil || q.Body == http.NoBody {
		return true
	}
	most, wait := x.r.bodyLimits()
	big := fleetplan.Faults{{Path: "$", Why: "the body has more bytes than are allowed"}}
	if q.ContentLength > most {
		x.traceRefusal(failure.Oversize)
		x.refuse(failure.Oversize, 0, true, big)
		return false
	}
	body := io.Reader(http.MaxBytesReader(x.w, q.Body, most))
	switch {
	case q.ContentLength < 0:
		body = reservingReader{body, room}
	case !room.take(q.ContentLength):
		x.refuseBody()
		return false
	default:
		b.Grow(int(q.ContentLength) + bytes.MinRead)
	}
	_ = x.to.SetReadDeadline(time.Now().Add(wait))
	_, err := b.ReadFrom(body)
	_ = x.to.SetReadDeadline(time.Time{})
	var over *http.MaxBytesError
	var late net.Error
	switch {
	case err == nil:
		return true
	case errors.Is(err, errNoRoom):
		x.refuseBody()
	case errors.As(err, &over):
		x.traceRefusal(failure.Oversize)
		x.refuse(failure.Oversize, 0, true, big)
	case errors.As(err, &late) && late.Timeout():
		x.traceRefusal(failure.Expired)
		x.writeProblem(http.StatusRequestTimeout, host.Problem{Kind: failure.Expired, Dropped: true}, 0, true)
	default:
		x.r.o.Refused(x.refusal(EndedLeft, failure.None))
		x.abort()
	}
	return false
}

// refuseBody tells a client to come back: there is no room for its body now.
func (x *exchange) refuseBody() {
	x.traceRefusal(failure.Full)
	x.refuse(failure.Full, 0, true, nil)
}

// traceRefusal has it known that the request is refused before the core hears of it.
func (x *exchange) traceRefusal(kind failure.Kind) { x.r.o.Refused(x.refusal(EndedRefused, kind)) }

func (x *exchange) refusal(end string, kind failure.Kind) RequestTrace {
	return RequestTrace{ID: x.facts.ID, Route: x.req.URL.Path, TookMs: time.Since(x.came).Milliseconds(), End: end, Kind: kind}
}

// run asks the decider and does what it says until the request has its end.
func (x *exchange) run() {
	r := x.r
	ref, ch, done := r.add()
	settled := false
	defer func() {
		if !settled {
			r.core.Step(Quit{ref})
		}
		done()
	}()
	r.core.Step(Call{Ref: ref, Route: x.req.URL.Path, Age: time.Since(x.came), Call: x.facts})
	ctx := x.req.Context()
	for {
		select {
		case <-ctx.Done():
			x.breakOff()
		case o := <-ch:
			switch v := o.(type) {
			case Receipt:
				settled = true
				x.receipt(v)
				return
			case Launch:
				ended := x.launch(ctx, v)
				settled = ended.How == Done
				r.core.Step(ended)
				if settled {
					return
				}
			}
		}
	}
}

// launch makes the attempt that the decider asks for, and breaks the client's connection off where that
// cannot end in an answer any more.
func (x *exchange) launch(ctx context.Context, v Launch) Ended {
	if x.open && !x.resumable(v) {
		x.abort()
	}
	x.status, x.cause = 0, CauseNone
	how, kind := x.attempt(ctx, v)
	if how != Done && (x.gone || ctx.Err() != nil) {
		x.breakOff()
	}
	return Ended{Ref: v.Ref, N: v.N, How: how, Kind: kind, Status: x.status, Cause: x.cause}
}

// resumable tells whether an answer that has begun may go on with another attempt: the client has whole
// events, and nothing behind the last numbered one that another run may send again.
func (x *exchange) resumable(v Launch) bool { return x.units && v.Resume && !x.loose }

// receipt says the last word when it is not a server's.
func (x *exchange) receipt(v Receipt) {
	if x.open {
		x.abort()
	}
	x.refuse(v.Kind, v.Back, false, nil)
}
