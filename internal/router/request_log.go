package router

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/protocol"
)

// RequestLog keeps the traces of the requests that failed lately, or were served by a later attempt, in a
// ring of fixed size. Operators ask for them by the request's id.
type RequestLog struct {
	router string
	ring   *host.Ring // gets a line for each that failed; none if nil

	mu     sync.Mutex // guards kept and next
	kept   []LoggedRequest
	next   int
	counts map[failure.Kind]uint64 // ends by kind, and by way of ending
}

// LoggedRequest is a trace with the time at which its request ended.
type LoggedRequest struct {
	At     time.Time `json:"at"`
	Router string    `json:"router"`
	RequestTrace
}

// defaultRequestLog is how many requests are remembered: about a minute of a busy router's failures.
const defaultRequestLog = 2048

// NewRequestLog makes a log of one router's requests.
func NewRequestLog(router string, ring *host.Ring, size int) *RequestLog {
	return &RequestLog{router: router, ring: ring, kept: make([]LoggedRequest, 0, size), counts: map[failure.Kind]uint64{}}
}

// Add keeps a trace; the oldest makes way for it.
func (l *RequestLog) Add(t RequestTrace) {
	entry := LoggedRequest{At: time.Now(), Router: l.router, RequestTrace: t}
	l.mu.Lock()
	l.counts[failure.Kind(t.End)]++
	if len(l.kept) < cap(l.kept) {
		l.kept = append(l.kept, entry)
	} else {
		l.kept[l.next] = entry
		l.next = (l.next + 1) % len(l.kept)
	}
	l.mu.Unlock()
	switch {
	case l.ring == nil:
	case t.End != EndedServed:
		l.ring.Info("request ended without a server's answer", protocol.Field{Name: "request", Value: t})
	case t.FirstMs > t.AimMs:
		l.ring.Info("request answered later than its aim", protocol.Field{Name: "request", Value: t})
	}
}

// Tap takes traces out of what a core gives out, and hands on the rest.
func (l *RequestLog) Tap(rest func(any)) func(any) {
	return func(out any) {
		if t, ok := out.(RequestTrace); ok {
			l.Add(t)
			return
		}
		rest(out)
	}
}

// find gives what is known of a request, and with no id the newest ones.
func (l *RequestLog) find(id string, most int) []LoggedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := []LoggedRequest{}
	for i := 1; i <= len(l.kept) && len(found) < most; i++ {
		entry := l.kept[(l.next+len(l.kept)-i)%len(l.kept)]
		if id == "" || entry.ID == id {
			found = append(found, entry)
		}
	}
	return found
}

// Counts gives how many requests ended in each way that is logged.
func (l *RequestLog) Counts() map[failure.Kind]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[failure.Kind]uint64, len(l.counts))
	for kind, n := range l.counts {
		counts[kind] = n
	}
	return counts
}

const (
	defaultLast = 100
	mostLast    = 10_000
)

// ServeHTTP answers GET with ?id=ID, or ?last=N for the newest.
func (l *RequestLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	most := defaultLast
	if s := r.URL.Query().Get("last"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > mostLast {
			host.Error(w, failure.Malformed, 0, fleetplan.Faults{{Path: "last", Why: "wants a whole number from 1 to 10000"}})
			return
		}
		most = n
	}
	host.JSON(w, http.StatusOK, map[string][]LoggedRequest{"requests": l.find(r.URL.Query().Get("id"), most)})
}
