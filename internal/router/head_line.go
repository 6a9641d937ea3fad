package router

import (
	"bytes"
	"strings"
)

// Sizes of the parts of a line that are kept, in bytes.
const (
	headLineStart = 32 // holds the longest header name that is looked for, and its colon
	headLineEnd   = 16 // holds the protocol version at the end of a request line, and the end of the line
)

// headLine is what is kept of a line of a request's head while it is read: its start and its end, whatever its length.
type headLine struct {
	length int
	start  [headLineStart]byte
	end    [headLineEnd]byte // the last bytes, shifted to the end of the array
}

// add appends a part of the line.
func (l *headLine) add(b []byte) {
	if l.length < headLineStart {
		copy(l.start[l.length:], b)
	}
	l.length += len(b)
	last := b[max(0, len(b)-headLineEnd):]
	copy(l.end[:], l.end[len(last):])
	copy(l.end[headLineEnd-len(last):], last)
}

// isEmpty reports whether the line, which has ended, holds nothing but its line end.
func (l *headLine) isEmpty() bool {
	return l.length == 0 || l.length == 1 && l.start[0] == '\r'
}

// hasSuffix reports whether the line, which has ended, ends with a text.
func (l *headLine) hasSuffix(text string) bool {
	end := bytes.TrimSuffix(l.end[max(0, headLineEnd-l.length):], []byte("\r"))
	return bytes.HasSuffix(end, []byte(text))
}

// hasName reports whether the line is a header of the given name.
func (l *headLine) hasName(name string) bool {
	return l.length > len(name) && l.start[len(name)] == ':' && strings.EqualFold(string(l.start[:len(name)]), name)
}
