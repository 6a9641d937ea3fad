package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"tidedeck/platform/peer"
)

// digest names the bytes of a body.
func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// outcome is how a request ended for its caller.
type outcome string

// The outcomes.
const (
	pending outcome = ""
	served  outcome = "served"  // a success, checked to the byte
	refused outcome = "refused" // 408, 421, 429, 503: it never ran and never will
	failed  outcome = "failed"  // another failure
	broken  outcome = "broken"  // the connection ended without a whole answer
	unread  outcome = "unread"  // no connection came up, or it ended before the request was written
	left    outcome = "left"    // the caller went away
	denied  outcome = "denied"  // its key is unknown
)

// try is one request of a caller, with an id of its own.
type try struct {
	id, method, target, body string
	path, key                string
	mode                     string
	router                   string // address of the router that took it
	sent, over               time.Time
	result                   outcome
	status                   int
	detail                   string
	reused                   bool // it went on a connection that had carried another
}

// run is a request that a server has begun working on.
type run struct {
	id, server, service, from, method, target, body string
	tenant                                          string
	at                                              time.Time
	left                                            int
	fault                                           fault
}

// arrival is a request's head at a server, run or not.
type arrival struct {
	id, server, from string
	at               time.Time
}

// span is a time of trouble at some machines.
type span struct {
	from, to time.Time // no end yet where to is zero
	planned  bool
	what     string
	at       string // address of the machine, or empty for all
}

// term is what a server heard of the holders that order it.
type term struct {
	number uint64
	owner  string
}

// judge gathers what callers, servers and operators see, and holds it against the promises.
type judge struct {
	safety bool
	trace  func(string)
	began  time.Time
	ledger *ledger // of the changes that operators made

	mu         sync.Mutex // guards the rest
	violations []string
	tries      map[string]*try
	runs       map[string][]run
	arrivals   []arrival
	services   map[string]string // of servers' lives
	leavings   map[string]time.Time
	terms      map[string]term      // highest that each server's life saw
	owners     map[uint64]string    // of each term, as orders name them
	spans      []*span              // troubles
	thawed     map[string]time.Time // machines, by address, and when they last woke or were mended
}

func newJudge(o Options) *judge {
	trace := o.Trace
	if trace == nil {
		trace = func(string) {}
	}
	return &judge{safety: o.Safety, trace: trace, began: time.Now(), tries: map[string]*try{}, runs: map[string][]run{}, services: map[string]string{},
		leavings: map[string]time.Time{}, terms: map[string]term{}, owners: map[uint64]string{}, thawed: map[string]time.Time{}}
}

// mostViolations is how many violations of one run are told.
const mostViolations = 40

func (j *judge) violate(rule, format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violateLocked(rule, format, values...)
}

func (j *judge) violateLocked(rule, format string, values ...any) {
	text := fmt.Sprintf("%7.3fs %s: %s", time.Since(j.began).Seconds(), rule, fmt.Sprintf(format, values...))
	j.trace("VIOLATION " + text)
	if len(j.violations) < mostViolations {
		j.violations = append(j.violations, text)
	}
}

// note tells the trace what happens, with the time since the run began.
func (j *judge) note(format string, values ...any) {
	j.trace(fmt.Sprintf("%7.3fs %s", time.Since(j.began).Seconds(), fmt.Sprintf(format, values...)))
}

// trouble notes that a trouble begins, and gives what is to be called at its end.
func (j *judge) trouble(what, at string, planned bool) (end func()) {
	j.note("begin %s %s", what, at)
	s := &span{from: time.Now(), what: what, at: at, planned: planned}
	j.mu.Lock()
	j.spans = append(j.spans, s)
	j.mu.Unlock()
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		s.to = time.Now()
		j.thawed[at] = s.to
		j.trace(fmt.Sprintf("%7.3fs end %s %s", time.Since(j.began).Seconds(), what, at))
	}
}

func (j *judge) serverBegan(id, service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.services[id] = service
}

func (j *judge) leavingAcked(id string, at time.Time) {
	j.note("leaving of %s acknowledged", id)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.leavings[id].IsZero() {
		j.leavings[id] = at
	}
}

func (j *judge) asked(t *try) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tries[t.id] = t
}

// ended notes how a try ended; the judge reads it from here on.
func (j *judge) ended(t *try, result outcome, status int, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t.over, t.result, t.status, t.detail = time.Now(), result, status, detail
}

func (j *judge) reached(id, server, from string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, arrival{id, server, from, time.Now()})
}

func (j *judge) ran(r run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.id] = append(j.runs[r.id], r)
}

// ordered holds an order against those that the server saw before.
func (j *judge) ordered(server, from string, o peer.Order) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if owner := j.owners[o.Term]; owner != "" && owner != o.Owner {
		j.violateLocked("ONE", "term %d gives orders as %s and as %s", o.Term, owner, o.Owner)
	}
	j.owners[o.Term] = o.Owner
	seen := j.terms[server]
	if o.Term < seen.number && time.Since(j.thawed[from]) > thawSpan && !j.troubledLocked(from, time.Now()) {
		j.violateLocked("ONE", "%s is ordered by %s under term %d after term %d of %s", server, o.Owner, o.Term, seen.number, seen.owner)
	}
	if o.Term > seen.number {
		j.terms[server] = term{o.Term, o.Owner}
	}
}

// troubledLocked tells whether a machine is in trouble at a time.
func (j *judge) troubledLocked(address string, at time.Time) bool {
	for _, s := range j.spans {
		if (s.at == "" || s.at == address) && s.from.Before(at) && (s.to.IsZero() || s.to.After(at)) {
			return true
		}
	}
	return false
}

// quiet tells whether no trouble of a kind touched a span of time, nor any time contactSpan before it.
func (j *judge) quiet(from, to time.Time, planned bool) bool {
	for _, s := range j.spans {
		if s.planned && !planned {
			continue
		}
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-contactSpan))) {
			return false
		}
	}
	return true
}

// finish holds all that was seen against the promises.
func (j *judge) finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(j.tries)) {
		j.judgeTry(j.tries[id])
	}
	for id, runs := range j.runs {
		if j.tries[id] == nil {
			j.violateLocked("UNASKED", "%s ran %q, which nobody sent", runs[0].server, id)
		}
	}
	if !j.safety {
		j.judgeTimes()
	}
}

// judgeTry holds one request against what servers did with it.
func (j *judge) judgeTry(t *try) {
	runs := j.runs[t.id]
	if t.mode == peer.Effectful && len(runs) > 1 {
		j.violateLocked("TWICE", "%s ran at %s and at %s (%s %s)", t.id, runs[0].server, runs[1].server, t.result, t.detail)
	}
	if t.result == refused && t.mode == peer.Effectful && len(runs) > 0 {
		j.violateLocked("REFUSED", "%s was told %d, and ran at %s (%s)", t.id, t.status, runs[0].server, runs[0].fault)
	}
	for _, r := range runs {
		if r.method != t.method || r.target != t.target || r.body != t.body {
			j.violateLocked("UNASKED", "%s ran as %s %s %s at %s, and was sent as %s %s %s", t.id, r.method, r.target, r.body, r.server, t.method, t.target, t.body)
		}
		if !serviceAllowed(t.target, r.service) {
			j.violateLocked("ROUTE", "%s for %s ran at %s of %s", t.id, t.target, r.server, r.service)
		}
	}
	if t.result == served && len(runs) == 0 {
		j.violateLocked("MIXED", "%s was answered and ran nowhere", t.id)
	}
	j.judgeKeys(t, false)
}

// serviceAllowed tells whether any configuration of a run sends a path to a service.
func serviceAllowed(target, service string) bool {
	switch {
	case strings.HasPrefix(target, pathMoving):
		return service == plainService || service == otherService
	case strings.HasPrefix(target, pathPlain):
		return service == plainService
	}
	return service == modelService
}

const (
	timeSlack    = 150 * time.Millisecond // of this machine's own
	fewRequests  = 3                      // that some rules allow
	gonePatience = 500 * time.Millisecond
	lossSlack    = 200 * time.Millisecond
)

// judgeTimes holds what was seen against bounds on time, wherever the times were calm.
func (j *judge) judgeTimes() {
	gone := 0
	for _, a := range j.arrivals {
		ack := j.leavings[a.server]
		if !ack.IsZero() && a.at.Sub(ack) > drainSpan+timeSlack && j.quiet(a.at, a.at, true) {
			j.violateLocked("DRAIN", "%s reaches %s %v after its leaving was acknowledged", a.id, a.server, a.at.Sub(ack))
		}
		t := j.tries[a.id]
		if t != nil && t.result == left && a.at.Sub(t.over) > gonePatience+timeSlack && j.quiet(t.over, a.at, true) {
			gone++
		}
	}
	if gone > fewRequests {
		j.violateLocked("GONE", "%d requests reached a server after their caller had left", gone)
	}
	j.judgeStops()
	j.judgeConfigurations()
	kept, calm := 0, 0
	for _, t := range j.tries {
		if t.over.IsZero() || !j.quiet(t.sent, t.over, true) || j.rude(t.id) {
			continue
		}
		calm++
		if t.result == broken && t.reused && j.passedOn(t.id) {
			kept++
		}
	}
	if kept > fewRequests {
		j.violateLocked("LOST", "%d requests on kept connections ended without an answer in calm times", kept)
	}
	j.note("%d of %d requests were in calm times", calm, len(j.tries))
}

// judgeConfigurations looks for requests that were handled by a configuration that a newer one had followed for too long.
func (j *judge) judgeConfigurations() {
	for _, t := range j.tries {
		if over := t.over; !over.IsZero() && j.quiet(t.sent, over, true) {
			j.judgeKeys(t, true)
		}
		if !strings.HasPrefix(t.target, pathMoving) {
			continue
		}
		for _, r := range j.runs[t.id] {
			if !j.quiet(t.sent, r.at, true) || j.ledger.mayBeInForce(r.service, t.sent, r.at) {
				continue
			}
			j.violateLocked("CONFIG", "%s, sent to %s, ran at %s of %s, by a configuration that a newer one had followed for %v", t.id, t.router, r.server, r.service, applySpan)
		}
	}
}

// judgeStops looks for requests that planned work cut off.
func (j *judge) judgeStops() {
	for _, s := range j.spans {
		if !s.planned {
			continue
		}
		for _, t := range j.tries {
			if t.router != s.at || t.over.IsZero() || t.over.Before(s.from) || t.sent.After(s.from.Add(graceSpan)) || t.result != broken {
				continue
			}
			if j.rude(t.id) || t.over.Sub(t.sent) >= horizonSpan || !j.quiet(t.sent, t.over, false) {
				continue
			}
			if !j.passedOn(t.id) && t.over.Sub(t.sent) < lossSlack {
				continue // it crossed the close, and nobody may have read it
			}
			j.violateLocked("LOST", "%s, sent %v after %s at %s, was cut off %v later: %s", t.id, t.sent.Sub(s.from), s.what, s.at, t.over.Sub(t.sent), t.detail)
		}
	}
}

// passedOn tells whether a request came to any server.
func (j *judge) passedOn(id string) bool {
	return len(j.runs[id]) > 0 || slices.ContainsFunc(j.arrivals, func(a arrival) bool { return a.id == id })
}

// rude tells whether a server misbehaved at a request.
func (j *judge) rude(id string) bool {
	for _, r := range j.runs[id] {
		if r.fault != sound {
			return true
		}
	}
	return false
}

// Tally counts requests by how they ended.
type Tally map[string]int

func (j *judge) tally() Tally {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := Tally{}
	for _, t := range j.tries {
		n[string(t.result)]++
	}
	return n
}
