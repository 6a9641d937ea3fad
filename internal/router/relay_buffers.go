package router

import (
	"bytes"
	"sync"
	"time"
)

// Buffers that requests and answers are gathered in are used again, and each kind has its bound.

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

// getBuffer gives an empty buffer.
func getBuffer() *bytes.Buffer { return buffers.Get().(*bytes.Buffer) }

// putBuffer takes a buffer back, unless it has grown out of its kind.
func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= mostKept {
		b.Reset()
		buffers.Put(b)
	}
}
