package router

import (
	"bytes"
)

// Forwarding of event streams. If a stream can be resumed at another server, only complete events are forwarded,
// and the next server's events must follow directly after the last one that was forwarded.

// eventRelay forwards the events of one attempt's stream.
type eventRelay struct {
	exchange *exchange
	onBegin  func()
	begun    bool
	resuming bool // the attempt continues a stream that an earlier one began, and no new event has arrived yet

	partial    *bytes.Buffer // start of an incomplete event
	complete   *bytes.Buffer // complete events to be forwarded
	unnumbered *bytes.Buffer // unnumbered events received before the first new event of a resumed stream
}

func (f *eventRelay) releaseBuffers() {
	for _, b := range []*bytes.Buffer{f.partial, f.complete, f.unnumbered} {
		if b != nil {
			putBuffer(b)
		}
	}
}

func (f *eventRelay) start() {
	f.begun = true
	f.onBegin()
}

func (f *eventRelay) write(b []byte) {
	if len(b) == 0 {
		return
	}
	if !f.begun {
		f.start()
	}
	f.exchange.writeBody(b, true)
}

// relayBytes forwards the bytes of a stream that cannot be resumed, as they arrive.
func (f *eventRelay) relayBytes(p []byte) bool {
	f.write(p)
	return true
}

// relayEvents forwards the complete events and keeps the rest. It returns false if the stream cannot be continued.
func (f *eventRelay) relayEvents(p []byte) bool {
	if f.partial == nil {
		f.partial, f.complete, f.unnumbered = getBuffer(), getBuffer(), getBuffer()
	}
	f.partial.Write(p)
	ok := true
	for ok {
		n := eventLength(f.partial.Bytes())
		if n == 0 {
			break
		}
		ok = f.handleEvent(f.partial.Next(n))
	}
	f.write(f.complete.Bytes())
	f.complete.Reset()
	return ok && f.partial.Len() <= maxStreamEventBytes
}

// finish handles the bytes after the last complete event of a stream that ended cleanly.
func (f *eventRelay) finish() bool {
	if f.partial == nil {
		return true
	}
	ok := f.partial.Len() == 0 || f.handleEvent(f.partial.Bytes())
	if f.resuming && ok {
		f.complete.Write(f.unnumbered.Bytes())
	}
	f.write(f.complete.Bytes())
	f.complete.Reset()
	return ok
}

// handleEvent handles one event. It returns false if the event does not follow those that the client has.
func (f *eventRelay) handleEvent(b []byte) bool {
	x := f.exchange
	id, ok := x.relay.eventNumber(b)
	if f.resuming {
		switch {
		case !ok:
			f.unnumbered.Write(b)
			return true
		case x.hasLastEvent && id <= x.lastEvent:
			f.unnumbered.Reset()
			return true
		case x.hasLastEvent && id != x.lastEvent+1:
			return false
		}
		f.resuming = false
		f.complete.Write(f.unnumbered.Bytes())
		f.unnumbered.Reset()
	}
	if ok {
		x.hasLastEvent, x.lastEvent, x.unnumberedTail = true, id, false
	} else if !isComment(b) {
		x.unnumberedTail = true
	}
	f.complete.Write(b)
	return true
}

// eventNumber returns the number of an event.
func (r *Relay) eventNumber(b []byte) (id uint64, ok bool) {
	for len(b) > 0 {
		line := b
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			line, b = b[:i], b[i+1:]
		} else {
			b = nil
		}
		if n, found := r.options.Dialect.EventNumber(bytes.TrimSuffix(line, []byte("\r"))); found {
			id, ok = n, true
		}
	}
	return id, ok
}

// isComment reports whether an event carries no data: each of its lines is empty or begins with a colon.
func isComment(b []byte) bool {
	for line := range bytes.Lines(b) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventLength returns the length of the first event, including its terminating empty line, or 0 if the event is
// incomplete.
func eventLength(b []byte) int {
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
