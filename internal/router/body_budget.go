package router

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// errNoRoom says that the bodies under way take all the room that there is for them.
var errNoRoom = errors.New("no room for the body")

// bodyBudget bounds the bytes of all requests' bodies that a router holds at once: each is read whole before it is
// sent on, and many long ones at once must not take the machine's memory.
type bodyBudget struct {
	most int64 // no bound if zero
	used atomic.Int64
}

// take reserves bytes; it tells whether there was room.
func (b *bodyBudget) take(n int64) bool {
	if b.used.Add(n) <= b.most || b.most == 0 {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyBudget) give(n int64) { b.used.Add(-n) }

// reservation is what one request has of the budget.
type reservation struct {
	budget *bodyBudget
	held   int64
}

func (r *reservation) take(n int64) bool {
	if !r.budget.take(n) {
		return false
	}
	r.held += n
	return true
}

func (r *reservation) release() {
	r.budget.give(r.held)
	r.held = 0
}

// growth is how many bytes a buffer of unknown length may have for each byte in it.
const growth = 2

// reservingReader reserves what it reads of a body whose length is not known.
type reservingReader struct {
	io.Reader
	*reservation
}

// Read reads within the budget.
func (r reservingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 && !r.take(int64(n)*growth) {
		return 0, errNoRoom
	}
	return n, err
}
