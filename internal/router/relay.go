package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"tidedeck/internal/clock"
	"tidedeck/internal/connlimit"
	"tidedeck/internal/generic"
	"tidedeck/internal/host"
)

// The relay forwards requests to servers unchanged, and the servers' responses to clients. This file contains its
// options, its counters and the interface to the core, which makes the decisions.

// Decider decides what happens to requests.
type Decider interface {
	// Step takes an event: Call, Begun, Ended or Quit. Resulting decisions are passed to Relay.Deliver.
	Step(in any)
	// MaySend reports whether an attempt may be sent. It is called immediately before sending.
	MaySend(ref Ref, n int) bool
}

type hostedDecider struct {
	process *host.Process
	core    *Core
}

// NewHostedDecider returns the Decider of a core that runs in a host process.
func NewHostedDecider(c *host.Process, core *Core) Decider { return hostedDecider{c, core} }

// Step passes one input to the core.
func (h hostedDecider) Step(in any) { h.process.Step(in) }

// MaySend asks the core whether an attempt may be sent.
func (h hostedDecider) MaySend(ref Ref, n int) (allowed bool) {
	h.process.Locked(func(now clock.Instant) { allowed = h.core.MaySend(now, ref, n) })
	return allowed
}

// defaultSlack is how long after a request's deadline its response may still end. Servers measure the time left
// from the arrival of the request, so their last bytes can be late by one round trip. A request held for more than
// 250 ms past its route's maximum wait counts as held too long.
const defaultSlack = 150 * time.Millisecond

// RelayOptions configures a relay.
type RelayOptions struct {
	Decider Decider // may be set later with Relay.SetDecider
	Dialect Dialect
	Conns   ConnOptions
	// BodyLimits returns the maximum size of a request body and the time within which it must arrive, according to
	// the plan in force. Zero values, or no function, select the defaults: 4 MiB and 15 s.
	BodyLimits     func() (bodyMost int64, bodyWait time.Duration)
	BodyBudget     int64              // maximum total size of the bodies held at once, in bytes; unlimited if zero
	AttemptTimeout time.Duration      // limit for attempts without a time left; 60 s
	Slack          time.Duration      // how long after the time left a response may still end; 150 ms
	WriteTimeout   time.Duration      // a client that accepts no data for this long is disconnected; 10 s
	OnRefusal      func(RequestTrace) // called for requests that are refused before they reach the core; may be nil
	KeepAlive      time.Duration      // keep-alive timeout announced to clients; none if zero
}

// Defaults returns the options with unset fields replaced by their defaults.
func (o RelayOptions) Defaults() RelayOptions {
	generic.SetDefault(&o.AttemptTimeout, 60*time.Second)
	generic.SetDefault(&o.Slack, defaultSlack)
	generic.SetDefault(&o.WriteTimeout, 10*time.Second)
	if o.OnRefusal == nil {
		o.OnRefusal = func(RequestTrace) {}
	}
	return o
}

// RelayTally counts events of a relay.
type RelayTally struct {
	Surplus, Foreign, Broken, Aborts, Refusals, Smuggled uint64
	ConnTally
}

// Relay forwards requests to servers unchanged, and the servers' responses to clients. All decisions are made by a
// Decider.
type Relay struct {
	options RelayOptions
	decider Decider
	conns   *connPool
	closing func() bool // whether responses close their client's connection

	bodies         bodyBudget
	rejectNew      atomic.Bool          // set late in a shutdown: new requests are refused and sent to no server
	requestSeconds prometheus.Histogram // time from a request's head to the end of its response
	clientLimiter  atomic.Pointer[connlimit.Limiter]
	inFlight
	tallyMu sync.Mutex // guards tally
	tally   RelayTally
}

// NewRelay creates a relay.
func NewRelay(o RelayOptions) *Relay {
	o = o.Defaults()
	r := &Relay{options: o, decider: o.Decider, conns: newConnPool(o.Conns), closing: func() bool { return false }, requestSeconds: newRequestSeconds()}
	r.bodies.limit = o.BodyBudget
	return r
}

// newRequestSeconds creates the histogram of request durations, with buckets from 5 ms to 40 s, each twice as
// large as the one before.
func newRequestSeconds() prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "tidedeck_relay_request_seconds", Help: "Time from a request's head to the end of its response.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
	})
}

// SetDecider sets the Decider. It must be called before the first request arrives.
func (r *Relay) SetDecider(d Decider) { r.decider = d }

// ClientCounts returns the current counts of the clients' connections.
func (r *Relay) ClientCounts() connlimit.Counts {
	if l := r.clientLimiter.Load(); l != nil {
		return l.Counts()
	}
	return connlimit.Counts{}
}

// Close closes the idle connections to servers.
func (r *Relay) Close() { r.conns.close() }

// Counts returns the current counters.
func (r *Relay) Counts() RelayTally {
	r.tallyMu.Lock()
	t := r.tally
	r.tallyMu.Unlock()
	t.ConnTally = r.conns.tally()
	return t
}

func (r *Relay) count(f func(t *RelayTally)) {
	r.tallyMu.Lock()
	f(&r.tally)
	r.tallyMu.Unlock()
}
