package router

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/host"
)

// Decider decides what becomes of requests.
type Decider interface {
	// Step takes what happened: Call, Begun, Ended, Quit. What follows comes to Relay.Act.
	Step(in any)
	// MaySend is asked at the very point of sending.
	MaySend(ref Ref, n int) bool
}

type held struct {
	c    *host.Process
	core *Core
}

// Held makes a decider of a core in its host.
func Held(c *host.Process, core *Core) Decider { return held{c, core} }

// Step gives the core one input.
func (h held) Step(in any) { h.c.Step(in) }

// MaySend asks the core.
func (h held) MaySend(ref Ref, n int) (may bool) {
	h.c.With(func(now clock.Tick) { may = h.core.MaySend(now, ref, n) })
	return may
}

// defaultSlack is how long after a request's time its answer may still end: a server stops by its own
// clock from the request's arrival, so its last word is late by the way there and back. More than a
// quarter of a second past a route's time counts as held too long.
const defaultSlack = 150 * time.Millisecond

// RelayOptions of a relay.
type RelayOptions struct {
	Decider Decider // may be set later, with Relay.Use
	Dialect Dialect
	Conns   ConnOptions
	// Limits gives the bytes that a request's body may have and how long it may take to come, by the
	// plan in force. Zeros, or no function, leave it to the defaults: 4 MiB and 15 s.
	Limits    func() (bodyMost int64, bodyWait time.Duration)
	Wait      time.Duration // an attempt that says no time left may take so long; 60 s
	Slack     time.Duration // an answer may end so long after the time left; 150 ms
	WriteWait time.Duration // a client that takes nothing for so long is given up; 10 s
	KeepAlive time.Duration // told to clients as the time for which their idle connections stay; none
}

// Defaults fills what was left out.
func (o RelayOptions) Defaults() RelayOptions {
	generic.SetDefault(&o.Wait, 60*time.Second)
	generic.SetDefault(&o.Slack, defaultSlack)
	generic.SetDefault(&o.WriteWait, 10*time.Second)
	return o
}

// RelayTally counts what a relay did.
type RelayTally struct {
	Surplus, Foreign, Broken, Aborts, Refusals, Smuggled uint64
	ConnTally
}

// Relay passes requests on to servers as they are, and the servers' answers back. A Decider
// decides everything.
type Relay struct {
	o     RelayOptions
	core  Decider
	conns *conns
	close func() bool // whether answers end their connections

	opened
	told  sync.Mutex // guards tally
	tally RelayTally
}

// NewRelay makes a relay.
func NewRelay(o RelayOptions) *Relay {
	o = o.Defaults()
	return &Relay{o: o, core: o.Decider, conns: newConns(o.Conns), close: func() bool { return false }}
}

// Use sets who decides, before the first request comes.
func (r *Relay) Use(d Decider) { r.core = d }

// Forget closes the idle connections to a server's address.
func (r *Relay) Forget(addr string) { r.conns.closeIdle(addr) }

// Close closes the idle connections to servers.
func (r *Relay) Close() { r.conns.close() }

// Counts gives the tally so far.
func (r *Relay) Counts() RelayTally {
	r.told.Lock()
	t := r.tally
	r.told.Unlock()
	t.ConnTally = r.conns.tally()
	return t
}

func (r *Relay) count(f func(t *RelayTally)) {
	r.told.Lock()
	f(&r.tally)
	r.told.Unlock()
}

// hop tells whether a header concerns one connection only.
func hop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host":
		return true
	}
	return strings.HasPrefix(name, "Proxy-")
}

// through copies the headers that go through to c.
func through(c, h http.Header) {
	for k, v := range h {
		if !hop(k) {
			c[k] = v
		}
	}
	for _, l := range h["Connection"] {
		for f := range strings.SplitSeq(l, ",") {
			delete(c, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(f)))
		}
	}
}

const (
	mostKept  = 256 << 10 // of an answer that is read whole before it is passed on
	mostDrain = 64 << 10  // of an answer that is read to be thrown away
	drainWait = 100 * time.Millisecond

	mostSurplus     = 2        // answers to others that are read off before a connection is given up
	mostSurplusBody = 1 << 20  // of one of them
	mostPiece       = 16 << 10 // of a request's body that goes with its head in one write
	mostEvents      = 1 << 20  // of one event
)

var (
	buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	pieces  = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}
)

func borrow() *bytes.Buffer { return buffers.Get().(*bytes.Buffer) }

func giveBack(b *bytes.Buffer) {
	if b.Cap() <= mostKept {
		b.Reset()
		buffers.Put(b)
	}
}

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

// ServeHTTP carries one client's request from its arrival to its last word.
func (r *Relay) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	x := &exchange{r: r, w: w, to: http.NewResponseController(w), req: q, came: time.Now()}
	if g := guardOf(q); g != nil {
		defer g.next()
	}
	if !unambiguous(q) {
		r.count(func(t *RelayTally) { t.Smuggled++ })
		x.refuse(failure.Malformed, 0, true, fleetplan.Faults{{Path: "$", Why: "where the body ends is not clear"}})
		return
	}
	facts, fault := r.o.Dialect.Read(q)
	if fault != nil {
		x.refuse(failure.Malformed, 0, q.Body != http.NoBody, fleetplan.Faults{*fault})
		return
	}
	b := borrow()
	defer giveBack(b)
	if !x.read(b) {
		return
	}
	x.body = b.Bytes()
	x.facts, x.last, x.seen = facts, facts.Seen, facts.Seen > 0
	x.head = make(http.Header, len(q.Header)+6)
	through(x.head, q.Header)
	x.run()
	if x.reply != nil {
		x.answer()
	}
}

// read reads the request's body.
func (x *exchange) read(b *bytes.Buffer) bool {
	q := x.req
	if q.Body == nil || q.Body == http.NoBody {
		return true
	}
	most, wait := int64(0), time.Duration(0)
	if x.r.o.Limits != nil {
		most, wait = x.r.o.Limits()
	}
	generic.SetDefault(&most, 4<<20)
	generic.SetDefault(&wait, 15*time.Second)
	big := fleetplan.Faults{{Path: "$", Why: "the body has more bytes than are allowed"}}
	if q.ContentLength > most {
		x.refuse(failure.Oversize, 0, true, big)
		return false
	}
	if q.ContentLength > 0 {
		b.Grow(int(q.ContentLength) + bytes.MinRead)
	}
	_ = x.to.SetReadDeadline(time.Now().Add(wait))
	_, err := b.ReadFrom(http.MaxBytesReader(x.w, q.Body, most))
	_ = x.to.SetReadDeadline(time.Time{})
	var over *http.MaxBytesError
	var late net.Error
	switch {
	case err == nil:
		return true
	case errors.As(err, &over):
		x.refuse(failure.Oversize, 0, true, big)
	case errors.As(err, &late) && late.Timeout():
		x.say(http.StatusRequestTimeout, host.Problem{Kind: failure.Expired, Dropped: true}, 0, true)
	default:
		x.abort()
	}
	return false
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
				if x.open && !(x.units && v.Resume && !x.loose) {
					x.abort() // its stream cannot be taken up
				}
				how, kind := x.attempt(ctx, v)
				if how != Done && (x.gone || ctx.Err() != nil) {
					x.breakOff()
				}
				settled = how == Done
				r.core.Step(Ended{Ref: ref, N: v.N, How: how, Kind: kind})
				if settled {
					return
				}
			}
		}
	}
}

// receipt says the last word when it is not a server's.
func (x *exchange) receipt(v Receipt) {
	if x.open {
		x.abort()
	}
	x.refuse(v.Kind, v.Back, false, nil)
}

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
	x.say(a.Status, host.Problem{Kind: k, Dropped: a.Dropped, BackMs: back.Milliseconds(), Faults: f}, back, end)
}

func (x *exchange) say(status int, p host.Problem, back clock.Span, end bool) {
	x.r.count(func(t *RelayTally) { t.Refusals++ })
	x.arm()
	h := x.w.Header()
	b, _ := json.Marshal(p)
	h["Content-Type"] = []string{"application/json"}
	h["Content-Length"] = []string{strconv.Itoa(len(b))}
	if back > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(back.Round(time.Millisecond).Seconds(), 'f', -1, 64)}
	}
	x.ends(end)
	x.w.WriteHeader(status)
	_, _ = x.w.Write(b)
}

// ends adds what the head of an answer says about the client's connection.
func (x *exchange) ends(end bool) {
	if end || x.r.close() {
		x.w.Header()["Connection"] = []string{"close"}
	} else if s := int(x.r.o.KeepAlive / time.Second); s > 0 {
		x.w.Header()["Keep-Alive"] = []string{"timeout=" + strconv.Itoa(s)}
	}
}

// arm bounds how long a client may take nothing.
func (x *exchange) arm() {
	if now := time.Now(); now.Sub(x.armed) > x.r.o.WriteWait/8 {
		x.armed = now
		_ = x.to.SetWriteDeadline(now.Add(x.r.o.WriteWait))
	}
}

// begin writes the head of a server's answer.
func (x *exchange) begin(status int, head http.Header) {
	x.arm()
	h := x.w.Header()
	through(h, head)
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := h[k]; !ok {
			h[k] = nil // nothing is made up
		}
	}
	x.ends(false)
	x.open = true
	x.w.WriteHeader(status)
}

// pass writes bytes of an answer's body.
func (x *exchange) pass(b []byte, flush bool) {
	if len(b) == 0 || x.gone {
		return
	}
	x.arm()
	if _, err := x.w.Write(b); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.gone = true
		return
	}
	if flush && x.to.Flush() != nil {
		x.gone = true
	}
}

// answer writes a whole answer.
func (x *exchange) answer() {
	a := x.reply
	if a.body == nil {
		x.begin(a.status, a.head)
		return
	}
	defer giveBack(a.body)
	x.w.Header()["Content-Length"] = []string{strconv.Itoa(a.body.Len())}
	x.begin(a.status, a.head)
	if x.pass(a.body.Bytes(), false); x.gone {
		x.abort()
	}
}

// attempt sends the request to one server and passes its answer on.
func (x *exchange) attempt(ctx context.Context, v Launch) (End, failure.Kind) {
	r := x.r
	left := v.Left
	generic.SetDefault(&left, r.o.Wait)
	due := time.Now().Add(left)
	c, _, err := r.conns.get(ctx, endpoint{v.Server, v.Addr}, due)
	if err != nil {
		return Unsent, failure.None
	}
	l := &lease{r: r, c: c, stop: context.AfterFunc(ctx, c.cut)}
	defer l.end(false)
	if left = time.Until(due); left <= 0 {
		l.end(true)
		return Kept, failure.None
	}
	if !r.core.MaySend(v.Ref, v.N) {
		l.end(true)
		return Kept, failure.None
	}
	a := Attempt{Server: v.Server, Left: left, Rank: v.Rank}
	if x.seen {
		a.Seen = x.last
	}
	r.o.Dialect.Write(x.head, a)
	if sent, err := x.send(c, due); err != nil {
		if sent == 0 && ctx.Err() == nil {
			return Unsent, failure.None // not one byte of it left
		}
		return x.broken()
	}
	return x.receive(v, l, due)
}

// lease is the use of a connection by one attempt.
type lease struct {
	r    *Relay
	c    *conn
	stop func() bool
}

// end gives the connection back, or closes it.
func (l *lease) end(keep bool) {
	if l.c == nil {
		return
	}
	if l.stop() && keep {
		l.r.conns.put(l.c)
	} else {
		l.c.close()
	}
	l.c = nil
}

// broken says what a broken connection means.
func (x *exchange) broken() (End, failure.Kind) {
	x.r.count(func(t *RelayTally) { t.Broken++ })
	if x.open {
		return Split, failure.None
	}
	return Lost, failure.None
}

// send writes the request, in one write if it is small. It tells how many bytes left.
func (x *exchange) send(c *conn, due time.Time) (int64, error) {
	q := x.req
	b := borrow()
	defer giveBack(b)
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
		return 0, err
	}
	b.WriteString("\r\n")
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

// receive reads the answer to this attempt, past those that belong to earlier ones.
func (x *exchange) receive(v Launch, l *lease, due time.Time) (End, failure.Kind) {
	r, c := x.r, l.c
	if c.SetReadDeadline(due.Add(r.o.Slack)) != nil {
		return x.broken()
	}
	for n := 0; ; n++ {
		a, err := c.answer(x.req, r.conns.o.MaxHeadSize)
		if err != nil {
			return x.broken()
		}
		said := r.o.Dialect.Answer(a.StatusCode, a.Header)
		if said.ID == x.facts.ID && said.ID != "" {
			if n > 0 {
				c.keep = 0 // who knows what else comes on it
			}
			return x.take(v, l, a, said)
		}
		// Where HEAD was asked, the end of another request's answer is not known either.
		if said.ID == "" || n == mostSurplus || until(a) || x.req.Method == http.MethodHead {
			r.count(func(t *RelayTally) { t.Foreign++ })
			return x.broken()
		}
		r.count(func(t *RelayTally) { t.Surplus++ })
		if m, err := io.CopyN(io.Discard, a.Body, mostSurplusBody); err != io.EOF || m == mostSurplusBody {
			return x.broken()
		}
	}
}

// until tells whether nothing but the end of the connection ends an answer's body.
func until(a *http.Response) bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Body != http.NoBody
}

// take passes on the answer to this attempt, or tells why it cannot.
func (x *exchange) take(v Launch, l *lease, a *http.Response, said Said) (End, failure.Kind) {
	good := a.StatusCode >= 200 && a.StatusCode < 300
	stream := false
	if t, _, err := mime.ParseMediaType(a.Header.Get("Content-Type")); err == nil {
		stream = t == "text/event-stream"
	}
	switch {
	case said.NotRun:
		x.drain(l, a)
		return Dropped, said.Kind
	case good && !said.Sealed:
		return Lost, failure.None
	case x.open && !(good && stream):
		return Lost, failure.None
	case !good && promises(a.StatusCode):
		x.drain(l, a)
		return Lost, failure.None // its status would say that it did not run, and it may have
	case a.StatusCode >= 500 && v.Again:
		x.drain(l, a)
		return Lost, failure.None
	}
	if stream && x.req.Method != http.MethodHead {
		return x.flow(v, l, a)
	}
	return x.whole(v, l, a)
}

// promises tells whether a status says that a request did not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// drain reads a small body off, so that the connection can be kept; nobody waits long for that.
func (x *exchange) drain(l *lease, a *http.Response) {
	if a.ContentLength > mostDrain || until(a) || l.c.SetReadDeadline(time.Now().Add(drainWait)) != nil {
		l.end(false)
		return
	}
	n, err := io.CopyN(io.Discard, a.Body, mostDrain)
	l.end(err == io.EOF && n < mostDrain)
}

// whole passes an answer on that is no stream. A small one is read whole first: if it breaks off,
// the client has no byte of it yet.
func (x *exchange) whole(v Launch, l *lease, a *http.Response) (End, failure.Kind) {
	if a.Body == http.NoBody {
		l.end(true)
		// There is no body by the request's method or the status. The length then stands for the body
		// that there would be, but for a status that never has one.
		if n, ok := a.Header["Content-Length"]; ok && a.StatusCode != http.StatusNoContent {
			x.w.Header()["Content-Length"] = n
		}
		x.reply = &reply{status: a.StatusCode, head: a.Header}
		return Done, failure.None
	}
	if until(a) {
		return x.broken() // its end cannot be told from a break
	}
	b := borrow()
	if a.ContentLength <= mostKept {
		if a.ContentLength > 0 {
			b.Grow(int(a.ContentLength) + bytes.MinRead)
		}
		switch _, err := io.CopyN(b, a.Body, mostKept+1); err {
		case io.EOF:
			l.end(true)
			x.reply = &reply{a.StatusCode, a.Header, b}
			return Done, failure.None
		case nil:
		default:
			giveBack(b)
			return x.broken()
		}
	}
	defer giveBack(b)
	if a.ContentLength > 0 {
		x.w.Header()["Content-Length"] = a.Header["Content-Length"]
	}
	x.r.core.Step(Begun{Ref: v.Ref, N: v.N})
	x.begin(a.StatusCode, a.Header)
	x.pass(b.Bytes(), false)
	how, kind := x.pump(a, func(p []byte) bool {
		x.pass(p, false)
		return true
	})
	if how == Done {
		l.end(true)
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
			return Lost, failure.None
		}
		if x.gone {
			return Lost, failure.None // nobody reads it any more
		}
		switch err {
		case nil:
		case io.EOF:
			return Done, failure.None
		default:
			return x.broken()
		}
	}
}

// flow passes a stream on as it comes.
func (x *exchange) flow(v Launch, l *lease, a *http.Response) (End, failure.Kind) {
	f := &events{x: x, resumed: x.open, begin: func() {
		x.r.core.Step(Begun{Ref: v.Ref, N: v.N})
		if !x.open {
			if a.ContentLength >= 0 && !v.Resume {
				x.w.Header()["Content-Length"] = a.Header["Content-Length"]
			}
			x.units = v.Resume
			x.begin(a.StatusCode, a.Header)
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
	if until(a) {
		return x.broken()
	}
	if !f.end() {
		return Lost, failure.None
	}
	l.end(true)
	if !f.begun {
		f.start()
	}
	return Done, failure.None
}

// events follows the events of one attempt's stream.
type events struct {
	x       *exchange
	begin   func()
	begun   bool
	resumed bool // it continues what an earlier attempt began

	buf  *bytes.Buffer // of an event that is not whole yet
	out  *bytes.Buffer // whole events to be passed on
	wait *bytes.Buffer // events without a number before the first new one of a resumed stream
}

func (f *events) free() {
	for _, b := range []*bytes.Buffer{f.buf, f.out, f.wait} {
		if b != nil {
			giveBack(b)
		}
	}
}

func (f *events) start() {
	f.begun = true
	f.begin()
}

func (f *events) pass(b []byte) {
	if len(b) == 0 {
		return
	}
	if !f.begun {
		f.start()
	}
	f.x.pass(b, true)
}

// bytes passes a stream on that cannot be taken up: every byte as it comes.
func (f *events) bytes(p []byte) bool {
	f.pass(p)
	return true
}

// whole passes on the events that are whole, and keeps the rest.
func (f *events) whole(p []byte) bool {
	if f.buf == nil {
		f.buf, f.out, f.wait = borrow(), borrow(), borrow()
	}
	f.buf.Write(p)
	ok := true
	for ok {
		n := eventEnd(f.buf.Bytes())
		if n == 0 {
			break
		}
		ok = f.event(f.buf.Next(n))
	}
	f.pass(f.out.Bytes())
	f.out.Reset()
	return ok && f.buf.Len() <= mostEvents
}

// end takes what stands behind the last whole event of a stream that ended cleanly.
func (f *events) end() bool {
	if f.buf == nil {
		return true
	}
	ok := f.buf.Len() == 0 || f.event(f.buf.Bytes())
	if f.resumed && ok {
		f.out.Write(f.wait.Bytes())
	}
	f.pass(f.out.Bytes())
	f.out.Reset()
	return ok
}

// event takes one event; false tells that it does not follow what the client has.
func (f *events) event(b []byte) bool {
	x := f.x
	id, ok := x.r.number(b)
	if f.resumed {
		switch {
		case !ok:
			f.wait.Write(b)
			return true
		case x.seen && id <= x.last:
			f.wait.Reset()
			return true
		case x.seen && id != x.last+1:
			return false
		}
		f.resumed = false
		f.out.Write(f.wait.Bytes())
		f.wait.Reset()
	}
	if ok {
		x.seen, x.last, x.loose = true, id, false
	} else if !comment(b) {
		x.loose = true
	}
	f.out.Write(b)
	return true
}

// number gives the number of an event.
func (r *Relay) number(b []byte) (id uint64, ok bool) {
	for len(b) > 0 {
		l := b
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			l, b = b[:i], b[i+1:]
		} else {
			b = nil
		}
		if n, is := r.o.Dialect.Event(bytes.TrimSuffix(l, []byte("\r"))); is {
			id, ok = n, true
		}
	}
	return id, ok
}

// comment tells whether an event carries nothing: all of its lines are empty or begin with a colon.
func comment(b []byte) bool {
	for line := range bytes.Lines(b) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventEnd gives the length of the first event with the empty line behind it; 0 if it is not whole.
func eventEnd(b []byte) int {
	for i := 0; i < len(b); {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		if n == 0 || n == 1 && b[i] == '\r' {
			return i + n + 1
		}
		i += n + 1
	}
	return 0
}
