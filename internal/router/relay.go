package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/host"
)

// The relay is the router's second door: it passes requests on to servers as they are, and the servers'
// answers back. This file has its options, its counters and the seam to the core that decides.

// Decider decides what becomes of requests.
type Decider interface {
	// Step takes what happened: Call, Begun, Ended, Quit. What follows comes to Relay.Act.
	Step(in any)
	// MaySend is asked at the very point of sending.
	MaySend(ref Ref, n int) bool
}

type held struct {
	c    *host.Process
	core *Core
}

// Held makes a decider of a core in its host.
func Held(c *host.Process, core *Core) Decider { return held{c, core} }

// Step gives the core one input.
func (h held) Step(in any) { h.c.Step(in) }

// MaySend asks the core.
func (h held) MaySend(ref Ref, n int) (may bool) {
	h.c.With(func(now clock.Tick) { may = h.core.MaySend(now, ref, n) })
	return may
}

// defaultSlack is how long after a request's time its answer may still end: a server stops by its own
// clock from the request's arrival, so its last word is late by the way there and back. More than a
// quarter of a second past a route's time counts as held too long.
const defaultSlack = 150 * time.Millisecond

// RelayOptions of a relay.
type RelayOptions struct {
	Decider Decider // may be set later, with Relay.Use
	Dialect Dialect
	Conns   ConnOptions
	// Limits gives the bytes that a request's body may have and how long it may take to come, by the
	// plan in force. Zeros, or no function, leave it to the defaults: 4 MiB and 15 s.
	Limits     func() (bodyMost int64, bodyWait time.Duration)
	BodyBudget int64              // bytes of all bodies held at once; no bound if zero
	Wait       time.Duration      // an attempt that says no time left may take so long; 60 s
	Slack      time.Duration      // an answer may end so long after the time left; 150 ms
	WriteWait  time.Duration      // a client that takes nothing for so long is given up; 10 s
	Refused    func(RequestTrace) // hears of requests that are refused before the core knows of them; nobody if nil
	KeepAlive  time.Duration      // told to clients as the time for which their idle connections stay; none
}

// Defaults fills what was left out.
func (o RelayOptions) Defaults() RelayOptions {
	generic.SetDefault(&o.Wait, 60*time.Second)
	generic.SetDefault(&o.Slack, defaultSlack)
	generic.SetDefault(&o.WriteWait, 10*time.Second)
	if o.Refused == nil {
		o.Refused = func(RequestTrace) {}
	}
	return o
}

// RelayTally counts what a relay did.
type RelayTally struct {
	Surplus, Foreign, Broken, Aborts, Refusals, Smuggled uint64
	ConnTally
}

// Relay passes requests on to servers as they are, and the servers' answers back. A Decider
// decides everything.
type Relay struct {
	o     RelayOptions
	core  Decider
	conns *conns
	close func() bool // whether answers end their connections

	bodies  bodyBudget
	late    atomic.Bool          // a stop is far on: what comes now is sent to no server any more
	seconds prometheus.Histogram // from a request's head to its last word
	opened
	told  sync.Mutex // guards tally
	tally RelayTally
}

// NewRelay makes a relay.
func NewRelay(o RelayOptions) *Relay {
	o = o.Defaults()
	r := &Relay{o: o, core: o.Decider, conns: newConns(o.Conns), close: func() bool { return false }, seconds: newRequestSeconds()}
	r.bodies.most = o.BodyBudget
	return r
}

// newRequestSeconds makes the histogram of how long requests take: 5 ms to 40 s, each bound twice the one before.
func newRequestSeconds() prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "tidedeck_relay_request_seconds", Help: "From a request's head to the last word of its answer.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
	})
}

// Use sets who decides, before the first request comes.
func (r *Relay) Use(d Decider) { r.core = d }

// Close closes the idle connections to servers.
func (r *Relay) Close() { r.conns.close() }

// Counts gives the tally so far.
func (r *Relay) Counts() RelayTally {
	r.told.Lock()
	t := r.tally
	r.told.Unlock()
	t.ConnTally = r.conns.tally()
	return t
}

func (r *Relay) count(f func(t *RelayTally)) {
	r.told.Lock()
	f(&r.tally)
	r.told.Unlock()
}
