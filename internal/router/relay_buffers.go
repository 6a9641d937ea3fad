package router

import (
	"bytes"
	"sync"
	"time"
)

// Pooled buffers for requests and responses, and the size limits of each use.

const (
	maxBufferedResponse = 256 << 10 // of a response that is buffered completely before it is forwarded
	maxDrainBytes       = 64 << 10  // of a response that is read and discarded
	drainTimeout        = 100 * time.Millisecond

	maxSurplusResponses = 2        // surplus responses skipped before the connection is abandoned
	maxSurplusBody      = 1 << 20  // of one surplus response
	maxSingleWriteBody  = 16 << 10 // of a request that is sent with its head in a single write
	maxStreamEventBytes = 1 << 20  // of one event
)

var (
	buffers     = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}
)

// getBuffer returns an empty buffer.
func getBuffer() *bytes.Buffer { return buffers.Get().(*bytes.Buffer) }

// putBuffer returns a buffer to the pool unless it has grown too large.
func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxBufferedResponse {
		b.Reset()
		buffers.Put(b)
	}
}
