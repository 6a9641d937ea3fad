package router

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// errBodyBudgetExhausted reports that the request bodies currently held use up the whole body budget.
var errBodyBudgetExhausted = errors.New("request bodies exceed the body budget")

// bodyBudget limits the total size of the request bodies that a router holds at once. Each body is buffered
// completely before it is forwarded, so without a limit many large bodies could exhaust the machine's memory.
type bodyBudget struct {
	limit int64 // unlimited if zero
	used  atomic.Int64
}

// reserve reserves n bytes and reports whether they fit into the budget.
func (b *bodyBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit || b.limit == 0 {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyBudget) release(n int64) { b.used.Add(-n) }

// reservation is the share of the budget that one request has reserved.
type reservation struct {
	budget *bodyBudget
	bytes  int64
}

func (r *reservation) reserve(n int64) bool {
	if !r.budget.reserve(n) {
		return false
	}
	r.bytes += n
	return true
}

func (r *reservation) release() {
	r.budget.release(r.bytes)
	r.bytes = 0
}

// bufferGrowth is how many bytes of buffer a body of unknown length may occupy for each byte read.
const bufferGrowth = 2

// reservingReader reserves budget for a body of unknown length as it is read.
type reservingReader struct {
	io.Reader
	*reservation
}

// Read reads from the body and fails with errBodyBudgetExhausted if the budget does not allow the bytes read.
func (r reservingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 && !r.reserve(int64(n)*bufferGrowth) {
		return 0, errBodyBudgetExhausted
	}
	return n, err
}
