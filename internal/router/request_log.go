package router

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// RequestLog keeps, in a ring buffer of fixed size, the traces of recent requests that failed, needed more than
// one attempt or were answered late. Operators look them up by the request's ID.
type RequestLog struct {
	router string
	ring   *host.Log // receives a line for each failed or late request; may be nil

	mu      sync.Mutex // guards entries, next and counts
	entries []LoggedRequest
	next    int
	counts  map[failure.Kind]uint64 // requests by the way in which they ended
}

// LoggedRequest is a trace with the time at which its request ended.
type LoggedRequest struct {
	At     time.Time `json:"at"`
	Router string    `json:"router"`
	RequestTrace
}

// defaultRequestLogSize is the number of requests kept: about one minute of failures of a busy router.
const defaultRequestLogSize = 2048

// NewRequestLog creates the log of one router's requests.
func NewRequestLog(router string, ring *host.Log, size int) *RequestLog {
	return &RequestLog{router: router, ring: ring, entries: make([]LoggedRequest, 0, size), counts: map[failure.Kind]uint64{}}
}

// maxLoggedBytes is how much of a client's text is kept: names may be as long as a head, and 2,048 of those take 130 MB.
const maxLoggedBytes = 256

// shortened returns the beginning of a client's text, without keeping the rest in memory.
func shortened(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return strings.Clone(text[:maxLoggedBytes])
}

// Add adds a trace and, if the log is full, overwrites the oldest one.
func (l *RequestLog) Add(t RequestTrace) {
	t.ID, t.Key = shortened(t.ID), ident.Key(shortened(string(t.Key)))
	entry := LoggedRequest{At: time.Now(), Router: l.router, RequestTrace: t}
	l.mu.Lock()
	l.counts[failure.Kind(t.End)]++
	if len(l.entries) < cap(l.entries) {
		l.entries = append(l.entries, entry)
	} else {
		l.entries[l.next] = entry
		l.next = (l.next + 1) % len(l.entries)
	}
	l.mu.Unlock()
	switch {
	case l.ring == nil:
	case t.End != EndedServed:
		l.ring.Info("request ended without a response from a server", protocol.Field{Name: "request", Value: t})
	case t.FirstMs > t.AimMs:
		l.ring.Info("request answered later than its aim", protocol.Field{Name: "request", Value: t})
	}
}

// Intercept returns a function that logs the traces among a core's outputs and passes all other outputs to next.
func (l *RequestLog) Intercept(next func(any)) func(any) {
	return func(out any) {
		if t, ok := out.(RequestTrace); ok {
			l.Add(t)
			return
		}
		next(out)
	}
}

// find returns the traces of a request, newest first, or of all requests if id is empty. Only the beginning of an ID counts.
func (l *RequestLog) find(id string, limit int) []LoggedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := []LoggedRequest{}
	id = shortened(id)
	for i := 1; i <= len(l.entries) && len(found) < limit; i++ {
		entry := l.entries[(l.next+len(l.entries)-i)%len(l.entries)]
		if id == "" || entry.ID == id {
			found = append(found, entry)
		}
	}
	return found
}

// Counts returns the number of logged requests by the way in which they ended.
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
	defaultListed = 100
	maxListed     = 10_000
)

// ServeHTTP handles GET with ?id=ID, or ?last=N for the newest N requests.
func (l *RequestLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limit := defaultListed
	if s := r.URL.Query().Get("last"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxListed {
			host.WriteError(w, failure.Malformed, 0, fleetplan.Faults{{Path: "last", Why: "must be an integer from 1 to 10000"}})
			return
		}
		limit = n
	}
	host.WriteJSON(w, http.StatusOK, map[string][]LoggedRequest{"requests": l.find(r.URL.Query().Get("id"), limit)})
}
