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

// digest returns a short hash of a body.
func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// outcome is the result of a request as its caller saw it.
type outcome string

// Outcomes of requests.
const (
	pending      outcome = ""
	served       outcome = "served"  // success, checked byte by byte
	refused      outcome = "refused" // status 408, 421, 429 or 503: the request was not executed and never will be
	failed       outcome = "failed"  // any other error status
	broken       outcome = "broken"  // the connection ended before a complete answer
	notWritten   outcome = "unread"  // no connection was opened, or it ended before the request was written
	callerLeft   outcome = "left"    // the caller closed the connection
	unauthorized outcome = "denied"  // status 401: the key is unknown
)

// requestRecord is one request of a caller and its outcome. Each has a unique id.
type requestRecord struct {
	id, method, target, body string
	path, key                string
	mode                     string
	router                   string // address of the router that received it
	sentAt, endedAt          time.Time
	timeout                  time.Duration
	paced                    bool      // its body takes seconds
	lastByteAt               time.Time // when the body of a paced request was complete; zero if it never was
	result                   outcome
	status                   int
	detail                   string
	reusedConn               bool // sent on a connection that had carried another request
}

// execution is a request that a server has started to execute.
type execution struct {
	id, server, service, router, method, target, body string
	tenant                                            string
	startedAt                                         time.Time
	remainingMs                                       int
	fault                                             fault
}

// arrival is a request head that reached a server, whether the request was executed or not.
type arrival struct {
	id, server, router string
	at                 time.Time
}

// disturbance is a period of trouble at one machine or at all of them.
type disturbance struct {
	from, to    time.Time // to is zero until the trouble ends
	planned     bool
	description string
	address     string // of the machine; empty for all machines
}

// term is the term and the leader named in an order to a server.
type term struct {
	number uint64
	leader string
}

// checker records the observations of callers, servers and operators and checks them against the guarantees.
type checker struct {
	safetyOnly bool
	trace      func(string)
	startedAt  time.Time
	history    *changeHistory // changes that operators sent

	mu           sync.Mutex // guards the rest
	violations   []string
	requests     map[string]*requestRecord
	executions   map[string][]execution
	arrivals     []arrival
	services     map[string]string // by server id
	leaveAcks    map[string]time.Time
	highestTerms map[string]term   // by server id
	termLeaders  map[uint64]string // leader of each term, as named in orders
	disturbances []*disturbance
	recoveredAt  map[string]time.Time // end of the last trouble, by machine address
}

func newChecker(o Options) *checker {
	trace := o.Trace
	if trace == nil {
		trace = func(string) {}
	}
	return &checker{safetyOnly: o.SafetyOnly, trace: trace, startedAt: time.Now(), requests: map[string]*requestRecord{}, executions: map[string][]execution{}, services: map[string]string{},
		leaveAcks: map[string]time.Time{}, highestTerms: map[string]term{}, termLeaders: map[uint64]string{}, recoveredAt: map[string]time.Time{}}
}

// maxViolations bounds the violations that the report of one run lists.
const maxViolations = 40

func (c *checker) violate(rule, format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violateLocked(rule, format, values...)
}

func (c *checker) violateLocked(rule, format string, values ...any) {
	text := fmt.Sprintf("%7.3fs %s: %s", time.Since(c.startedAt).Seconds(), rule, fmt.Sprintf(format, values...))
	c.trace("VIOLATION " + text)
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, text)
	}
}

// tracef writes a trace line with the time since the start of the run.
func (c *checker) tracef(format string, values ...any) {
	c.trace(fmt.Sprintf("%7.3fs %s", time.Since(c.startedAt).Seconds(), fmt.Sprintf(format, values...)))
}

// beginTrouble records the start of a trouble and returns the function that records its end.
func (c *checker) beginTrouble(description, address string, planned bool) (end func()) {
	c.tracef("begin %s %s", description, address)
	d := &disturbance{from: time.Now(), description: description, address: address, planned: planned}
	c.mu.Lock()
	c.disturbances = append(c.disturbances, d)
	c.mu.Unlock()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		d.to = time.Now()
		c.recoveredAt[address] = d.to
		c.trace(fmt.Sprintf("%7.3fs end %s %s", time.Since(c.startedAt).Seconds(), description, address))
	}
}

func (c *checker) serverStarted(id, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services[id] = service
}

func (c *checker) leaveAcknowledged(id string, at time.Time) {
	c.tracef("departure of %s acknowledged", id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaveAcks[id].IsZero() {
		c.leaveAcks[id] = at
	}
}

func (c *checker) requestSent(q *requestRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[q.id] = q
}

// requestComplete records that the last byte of a paced request has been sent.
func (c *checker) requestComplete(q *requestRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.lastByteAt = time.Now()
}

// requestEnded records the outcome of a request. The caller does not write to q afterwards.
func (c *checker) requestEnded(q *requestRecord, result outcome, status int, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.endedAt, q.result, q.status, q.detail = time.Now(), result, status, detail
}

func (c *checker) requestArrived(id, server, router string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, arrival{id, server, router, time.Now()})
}

func (c *checker) requestExecuted(e execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[e.id] = append(c.executions[e.id], e)
}

// checkOrder checks an order against the orders that servers received before. The sender is an IP address.
func (c *checker) checkOrder(server, sender string, o peer.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader := c.termLeaders[o.Term]; leader != "" && leader != o.Owner {
		c.violateLocked("ONE", "term %d has orders from leaders %s and %s", o.Term, leader, o.Owner)
	}
	c.termLeaders[o.Term] = o.Owner
	seen := c.highestTerms[server]
	if o.Term < seen.number && time.Since(c.recoveredAt[sender]) > unfreezeLimit && !c.inTroubleLocked(sender, time.Now()) {
		c.violateLocked("ONE", "%s received an order of %s under term %d after term %d of %s", server, o.Owner, o.Term, seen.number, seen.leader)
	}
	if o.Term > seen.number {
		c.highestTerms[server] = term{o.Term, o.Owner}
	}
}

// inTroubleLocked reports whether a machine is in trouble at a time.
func (c *checker) inTroubleLocked(address string, at time.Time) bool {
	for _, d := range c.disturbances {
		if (d.address == "" || d.address == address) && d.from.Before(at) && (d.to.IsZero() || d.to.After(at)) {
			return true
		}
	}
	return false
}

// undisturbed reports whether no trouble overlaps the period, extended by contactLimit before its start. Planned
// troubles count only if planned is set.
func (c *checker) undisturbed(from, to time.Time, planned bool) bool {
	for _, d := range c.disturbances {
		if d.planned && !planned {
			continue
		}
		if d.from.Before(to) && (d.to.IsZero() || d.to.After(from.Add(-contactLimit))) {
			return false
		}
	}
	return true
}

// checkAll checks all observations of the run against the guarantees.
func (c *checker) checkAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		c.checkRequest(c.requests[id])
	}
	for id, executions := range c.executions {
		if c.requests[id] == nil {
			c.violateLocked("UNASKED", "%s executed %q, which no caller sent", executions[0].server, id)
		}
	}
	if !c.safetyOnly {
		c.checkTimeBounds()
	}
}

// checkRequest checks one request against its executions at servers.
func (c *checker) checkRequest(q *requestRecord) {
	executions := c.executions[q.id]
	if q.mode == peer.Effectful && len(executions) > 1 {
		c.violateLocked("TWICE", "%s was executed at %s and at %s (%s %s)", q.id, executions[0].server, executions[1].server, q.result, q.detail)
	}
	if q.result == refused && q.mode == peer.Effectful && len(executions) > 0 {
		c.violateLocked("REFUSED", "%s was refused with %d but executed at %s (%s)", q.id, q.status, executions[0].server, executions[0].fault)
	}
	for _, e := range executions {
		if e.method != q.method || e.target != q.target || e.body != q.body {
			c.violateLocked("UNASKED", "%s was executed as %s %s %s at %s but sent as %s %s %s", q.id, e.method, e.target, e.body, e.server, q.method, q.target, q.body)
		}
		if !serviceAllowed(q.target, e.service) {
			c.violateLocked("ROUTE", "%s for %s was executed at %s of service %s", q.id, q.target, e.server, e.service)
		}
	}
	if q.result == served && len(executions) == 0 {
		c.violateLocked("MIXED", "%s was answered but no server executed it", q.id)
	}
	c.checkKeys(q, false)
}

// serviceAllowed reports whether any configuration of a run routes the target's path to the service.
func serviceAllowed(target, service string) bool {
	switch {
	case strings.HasPrefix(target, pathMoving):
		return service == plainService || service == otherService
	case strings.HasPrefix(target, pathPlain):
		return service == plainService
	case strings.HasPrefix(target, pathSlow):
		return service == slowService
	}
	return service == modelService
}

const (
	timeSlack         = 150 * time.Millisecond // for scheduling delays on the machine that runs the soak
	toleratedRequests = 3                      // number of exceptions that some rules allow
	abortDelayLimit   = 500 * time.Millisecond
	lossSlack         = 200 * time.Millisecond
)

// checkTimeBounds checks the time bounds for all observations outside of troubles.
func (c *checker) checkTimeBounds() {
	lateArrivals := 0
	for _, a := range c.arrivals {
		ack := c.leaveAcks[a.server]
		if !ack.IsZero() && a.at.Sub(ack) > drainCutoff+timeSlack && c.undisturbed(a.at, a.at, true) {
			c.violateLocked("DRAIN", "%s reached %s %v after the server's departure was acknowledged", a.id, a.server, a.at.Sub(ack))
		}
		q := c.requests[a.id]
		if q != nil && q.result == callerLeft && a.at.Sub(q.endedAt) > abortDelayLimit+timeSlack && c.undisturbed(q.endedAt, a.at, true) {
			lateArrivals++
		}
	}
	if lateArrivals > toleratedRequests {
		c.violateLocked("GONE", "%d requests reached a server after their caller had closed the connection", lateArrivals)
	}
	c.checkPlannedStops()
	c.checkConfigurations()
	lost, checked := 0, 0
	for _, q := range c.requests {
		if q.endedAt.IsZero() || !c.undisturbed(q.sentAt, q.endedAt, true) || c.serverMisbehaved(q.id) {
			continue
		}
		checked++
		if q.result == broken && q.reusedConn && c.reachedServer(q.id) {
			lost++
		}
	}
	if lost > toleratedRequests {
		c.violateLocked("LOST", "%d requests on reused connections got no answer outside of troubles", lost)
	}
	c.tracef("%d of %d requests ran outside of troubles", checked, len(c.requests))
}

// checkConfigurations finds requests that were routed by a configuration after applyLimit had passed since a newer
// one was acknowledged.
func (c *checker) checkConfigurations() {
	for _, q := range c.requests {
		if over := q.endedAt; !over.IsZero() && c.undisturbed(q.sentAt, over, true) {
			c.checkKeys(q, true)
		}
		if !strings.HasPrefix(q.target, pathMoving) {
			continue
		}
		for _, e := range c.executions[q.id] {
			if !c.undisturbed(q.sentAt, e.startedAt, true) || c.history.mayBeInForce(e.service, q.sentAt, e.startedAt) {
				continue
			}
			c.violateLocked("CONFIG", "%s, sent to %s, was executed at %s of service %s by a configuration that had been superseded for more than %v", q.id, q.router, e.server, e.service, applyLimit)
		}
	}
}

// checkPlannedStops finds requests that were cut off by planned work.
func (c *checker) checkPlannedStops() {
	for _, d := range c.disturbances {
		if !d.planned {
			continue
		}
		for _, q := range c.requests {
			if q.router != d.address || q.endedAt.IsZero() || q.endedAt.Before(d.from) || q.sentAt.After(d.from.Add(stopGrace)) || q.result != broken {
				continue
			}
			if c.serverMisbehaved(q.id) || q.endedAt.Sub(q.sentAt) >= q.timeout || !c.undisturbed(q.sentAt, q.endedAt, false) {
				continue
			}
			if q.paced && q.lastByteAt.IsZero() {
				continue // it was never complete, so it was not read whole
			}
			if !c.reachedServer(q.id) && q.endedAt.Sub(q.completeAt()) < lossSlack {
				continue // the request crossed the close of the connection and may not have been read
			}
			c.violateLocked("LOST", "%s, sent %v after %s at %s, was cut off %v later: %s", q.id, q.sentAt.Sub(d.from), d.description, d.address, q.endedAt.Sub(q.sentAt), q.detail)
		}
	}
}

// completeAt returns when the last byte of a request was sent, or its first one where that is all one write.
func (q *requestRecord) completeAt() time.Time {
	if q.paced {
		return q.lastByteAt
	}
	return q.sentAt
}

// reachedServer reports whether a request arrived at any server.
func (c *checker) reachedServer(id string) bool {
	return len(c.executions[id]) > 0 || slices.ContainsFunc(c.arrivals, func(a arrival) bool { return a.id == id })
}

// serverMisbehaved reports whether a server injected a fault into a request.
func (c *checker) serverMisbehaved(id string) bool {
	for _, e := range c.executions[id] {
		if e.fault != noFault {
			return true
		}
	}
	return false
}

// Tally counts requests by outcome.
type Tally map[string]int

func (c *checker) tally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := Tally{}
	for _, q := range c.requests {
		n[string(q.result)]++
	}
	return n
}
