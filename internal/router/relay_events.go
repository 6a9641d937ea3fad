package router

import (
	"bytes"
)

// The events of a stream. Where a stream may be taken up at another server only whole events are passed on,
// and the next server's must begin right behind the last.

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
			putBuffer(b)
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
	f.x.writeBody(b, true)
}

// bytes passes a stream on that cannot be taken up: every byte as it comes.
func (f *events) bytes(p []byte) bool {
	f.pass(p)
	return true
}

// whole passes on the events that are whole, and keeps the rest.
func (f *events) whole(p []byte) bool {
	if f.buf == nil {
		f.buf, f.out, f.wait = getBuffer(), getBuffer(), getBuffer()
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
