// Package router implements the router, which accepts callers' requests and forwards each to a server named by a
// cached placement entry. While the controller holds a callback on an entry, the router uses the entry without
// revalidating it.
package router

import (
	"fmt"
	"sort"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Options configures a router.
type Options struct {
	Self             protocol.Peer
	Inc              ident.Incarnation
	Agent            protocol.Peer
	MaxEntries       int        // maximum number of cached placement entries
	MaxQueued        int        // maximum number of queued requests in total
	MaxQueuedPerKey  int        // maximum number of queued requests per key
	Ramp             clock.Span // time over which the load limit of a new replica grows to its full value
	RetryFraction    float64    // retries permitted per first attempt
	RetryCreditTTL   clock.Span // time after which unused retry credit from first attempts expires
	MaxAttempts      int        // maximum number of attempts per request
	HelloInterval    clock.Span
	RemovalInterval  clock.Span // minimum time between two batches of cache removals
	NoAffinity       bool       // disables prefix affinity, as a baseline for measurements
	AffinityParts    int        // number of leading shared prompt parts used for affinity; zero means all
	AlwaysRevalidate bool       // revalidates every entry on every use, as a baseline for measurements

	ReadPlan                func([]byte) (*fleetplan.Plan, fleetplan.Faults) // parses plans
	Zone                    ident.Zone                                       // zone of this router
	StatelessServers        bool                                             // servers keep no request IDs; any replica may get a non-repeatable request
	ServersEnforcePlacement bool                                             // servers reject misdirected requests, so a router may send without a lease
	RetryMargin             float64                                          // fleet-wide retries per service and retry window that need no earned credit
	RetryWindow             clock.Span

	RestartRetryMargin float64 // the same for a restarted router, during its first retry window
	Restarted          bool    // an earlier process of this router may have used its share of the margin in the current window
}

// Defaults returns a copy of the options in which unset fields have their default values.
func (o Options) Defaults() Options {
	generic.SetDefault(&o.MaxEntries, 512)
	generic.SetDefault(&o.MaxQueued, 2048)
	generic.SetDefault(&o.MaxQueuedPerKey, 512)
	generic.SetDefault(&o.MaxAttempts, 4)
	generic.SetDefault(&o.Ramp, 4000e6)
	generic.SetDefault(&o.HelloInterval, 200e6)
	generic.SetDefault(&o.RemovalInterval, 500e6)
	generic.SetDefault(&o.RetryFraction, 0.16)
	generic.SetDefault(&o.RetryCreditTTL, 5e9)
	generic.SetDefault(&o.RetryWindow, 10e9)
	if o.ReadPlan == nil {
		o.ReadPlan = fleetplan.ReadPlan
	}
	return o
}

// Ref identifies a request within one router process.
type Ref uint64

// Call is the input for a new request from a caller.
type Call struct {
	Ref     Ref
	Route   string
	Age     clock.Span // time since the request's head arrived
	Request fleetplan.Request

	Arriving clock.Span // time since the request's first byte arrived; Age if zero
}

// Begun is the input for the first byte of the answer to an attempt.
type Begun struct {
	Ref Ref
	N   int
}

// Ended is the input for the end of an attempt.
type Ended struct {
	Ref     Ref
	N       int
	Outcome Outcome
	Kind    failure.Kind // reason if a server rejected the attempt

	Status int   // HTTP status of the server's answer; zero if there was none
	Cause  Cause // recorded in the trace
}

// Quit is the input for a caller that disconnected.
type Quit struct{ Ref Ref }

// Launch is the output that starts an attempt. The receiver calls MaySend immediately before it sends the work.
type Launch struct {
	Ref        Ref
	N          int // number of the attempt, counted from 1
	Server     ident.Server
	Addr       string
	Work       protocol.ServerRequest
	Keyed      bool       // the caller's key must not be forwarded to the server
	Remaining  clock.Span // time until the request's deadline
	Rank       int        // priority among the requests at the server; lower is more urgent
	Repeatable bool       // the request may be repeated, so another server may restart its answer
	Resume     bool       // another server may resume its stream after the last forwarded event
}

// Refusal is the output for a request that the router itself answers, without a server's answer.
type Refusal struct {
	Ref        Ref
	Kind       failure.Kind
	RetryAfter clock.Span
}

type cacheEntry struct {
	protocol.Entry
	seq         uint64 // sequence number of the delivery
	hasCallback bool   // the controller notifies the router before the entry changes
	receivedAt  clock.Instant
	lastUsed    clock.Instant
	requestedAt clock.Instant // time of the last request for the entry
	requested   bool
}

// retryCredit is the retry credit earned by first attempts within a short interval.
type retryCredit struct {
	at     clock.Instant
	amount float64
}

// serverLoad is the router's view of a server's load. Except for otherTokens, it counts this router's own requests.
type serverLoad struct {
	inFlight       int
	tokens         int // cost of the requests in flight
	reservedTokens int // maximum number of tokens, prompt and output, of the requests in flight
	otherTokens    int // tokens in flight from other routers, according to the last report
	reportedTokens int // own tokens in flight when last reported
	inFlightByKey  map[ident.Key]int
	avoidUntil     clock.Instant
	failures       int
	heldBackIn     uint64 // number of the last pass in which a request that waits for memory held the server back
}

// Core implements the router's decisions without I/O.
type Core struct {
	startedAt clock.Instant // time of the first input of this process
	o         Options
	now       clock.Instant
	out       []any

	session        protocol.Session
	leaseUntil     clock.Instant
	routers        int
	earlierRouters []routerCount // larger numbers of routers within the last retry window, oldest first
	lastSeq        uint64

	gen        uint64
	epoch      ident.Epoch
	plan       *fleetplan.Plan
	history    routeHistory
	desired    *protocol.Desired // configuration in force, as received
	emptyZones map[ident.Zone]bool

	entries       map[ident.Key]*cacheEntry
	drops         []protocol.DroppedEntry
	removalSentAt clock.Instant
	helloSentAt   clock.Instant

	requests     map[Ref]*request
	queues       map[ident.Key][]*request
	queued       int
	commonWaits  map[ident.Key]WaitCause // the cause for which all requests of a queue wait, where the last pass recorded one
	passes       uint64                  // passes over a queue so far
	arrivals     map[ident.Key]int
	inFlight     map[ident.Key]int
	servers      map[ident.Server]*serverLoad
	retryBudgets map[string]*retryBudget // by service
	offeredLoad  map[ident.Key]float64   // server seconds needed by the requests received since the last report
	tokenTimes   tokenTimes
	randState    uint64
	inflows      map[ident.Key]*inflow
	partitioned  bool                  // the agent has contacted every core node and none answers
	currentUntil clock.Instant         // time until which a core node confirms the configuration in force as the newest
	leaving      map[ident.Server]bool // servers that the same core node knows to be leaving
	stopping     bool                  // shutting down: no request may wait any longer
	graceEnded   bool                  // the grace period of the stop is over: nothing is launched any more

	wasLeased   bool // last logged value of leased
	wasUnleased bool // last logged value of routesUnleased

	lastBeat clock.Instant
	pausedAt clock.Instant // time of the last late tick, which shows that the process was suspended
	tally    Tally
}

// Tally holds the counters of a router.
type Tally struct {
	Calls, Receipts, Firsts, Retries, Repeats           uint64
	Hits, Lookups, Fetches, Sames, Breaks, Removals     uint64
	Suspects, Declined, Unsent, Lost, Cuts, SendsHeld   uint64
	Waited                                              uint64
	Drops                                               map[failure.Kind]uint64
	Dropped, Plans, Sessions, StaleNews, OldPlans, Quit uint64
	SentUnleased                                        uint64 // attempts sent without a lease, on the last known state
}

// New returns a router core with the given options.
func New(o Options) *Core {
	c := &Core{
		o: o.Defaults(), entries: map[ident.Key]*cacheEntry{}, requests: map[Ref]*request{}, queues: map[ident.Key][]*request{}, commonWaits: map[ident.Key]WaitCause{},
		arrivals: map[ident.Key]int{}, inFlight: map[ident.Key]int{}, servers: map[ident.Server]*serverLoad{}, emptyZones: map[ident.Zone]bool{}, retryBudgets: map[string]*retryBudget{},
		routers: 1, offeredLoad: map[ident.Key]float64{}, tokenTimes: newTokenTimes(), inflows: map[ident.Key]*inflow{}, randState: uint64(o.Inc),
	}
	c.tally.Drops = map[failure.Kind]uint64{}
	return c
}

// Step processes one input and returns the resulting outputs.
func (c *Core) Step(now clock.Instant, in any) []any {
	c.now, c.out = now, nil
	if c.startedAt == 0 {
		c.startedAt = now
	}
	switch v := in.(type) {
	case protocol.Envelope:
		switch body := v.Body.(type) {
		case protocol.RouterLease:
			c.onHold(body)
		case protocol.Updates:
			c.onUpdates(body)
		}
	case Call:
		c.onCall(v)
	case Begun:
		c.onBegun(v)
	case Ended:
		c.onEnded(v)
	case Quit:
		c.onQuit(v)
	case protocol.Stop:
		c.onStop()
	case GraceEnded:
		c.onGraceEnded()
	case protocol.TimerTick:
		c.onTick()
	}
	return c.out
}

func (c *Core) note(text string, fields ...protocol.Field) {
	c.out = append(c.out, protocol.LogLine{Text: text, Fields: fields})
}

// logLeaseChanges logs when the lease is lost or regained and when sending without a lease starts or ends.
func (c *Core) logLeaseChanges() {
	if held := c.leased(); held != c.wasLeased {
		c.wasLeased = held
		c.note("lease", protocol.Field{Name: "held", Value: held}, protocol.Field{Name: "parted", Value: c.partitioned}, protocol.Field{Name: "epoch", Value: c.epoch})
	}
	if unleased := c.routesUnleased(); unleased != c.wasUnleased {
		c.wasUnleased = unleased
		c.note("sending of attempts without a lease started or ended", protocol.Field{Name: "begins", Value: unleased}, protocol.Field{Name: "epoch", Value: c.epoch},
			protocol.Field{Name: "session", Value: c.session.Num}, protocol.Field{Name: "since_lease_ms", Value: c.now.Sub(c.leaseUntil).Milliseconds()})
	}
}

func (c *Core) send(body any) {
	c.out = append(c.out, protocol.Envelope{From: c.o.Self, To: c.o.Agent, Body: body})
}

func (c *Core) onHold(hold protocol.RouterLease) {
	if hold.Session.RouterIncarnation != c.o.Inc {
		c.helloSentAt = 0
		return
	}
	if hold.Session != c.session {
		if hold.Session.AgentIncarnation < c.session.AgentIncarnation || hold.Session.AgentIncarnation == c.session.AgentIncarnation && hold.Session.Num < c.session.Num {
			return
		}
		if hold.Session.AgentIncarnation != c.session.AgentIncarnation && c.desired != nil {
			c.send(protocol.RecoveryReply{Value: c.desired}) // a restarted agent has lost its copy of the configuration
		}
		c.session, c.leaseUntil, c.lastSeq, c.drops = hold.Session, 0, 0, nil
		c.tally.Sessions++
		c.tokenTimes.observeKnown() // a new leader may not have the token times yet
		for _, e := range c.entries {
			if e.hasCallback {
				c.tally.Suspects++
			}
			e.hasCallback, e.requested = false, false
		}
	}
	c.partitioned, c.currentUntil = hold.Partitioned, hold.ConfigLeaseEnd
	c.leaving = map[ident.Server]bool{}
	for _, server := range hold.Leaving {
		c.leaving[server] = true
	}
	if c.routesUnleased() {
		defer c.serveAll()
	}
	c.tokenTimes.update(hold.TokenTimes)
	if hold.TokensInProgress != nil {
		c.onFleetLoad(hold.TokensInProgress)
	}
	if hold.Until > c.leaseUntil {
		wasLeased := c.leased()
		c.leaseUntil = hold.Until
		if hold.Routers > 0 {
			c.setRouters(hold.Routers)
		}
		if !wasLeased {
			c.readmitWaiting(false)
			c.serveAll()
		}
	}
}

func (c *Core) leased() bool { return c.now < c.leaseUntil }

// routesUnleased reports whether the router may send by its last known state although it has no lease. Servers must
// reject by themselves requests for models they do not hold and requests addressed to another server. In addition, a
// core node must confirm that the router's configuration is the newest, or the router must be partitioned from the core.
// A router that is merely behind must first apply the changes sent to it.
func (c *Core) routesUnleased() bool {
	return c.o.ServersEnforcePlacement && c.plan != nil && !c.leased() && (c.partitioned || c.now < c.currentUntil)
}

// excluded reports whether nothing may be sent to a replica. This is the case if its zone is being emptied, or if its
// server is leaving and the router has no lease. Under a lease the placement entry already reflects a leaving server.
func (c *Core) excluded(p *protocol.Replica) bool {
	return c.emptyZones[p.Zone] || !c.leased() && c.leaving[p.Server]
}

// usable reports whether requests may be sent by an entry without revalidation.
func (c *Core) usable(e *cacheEntry) bool {
	return e != nil && (e.hasCallback && c.leased() || c.routesUnleased() && len(e.Replicas) > 0)
}

func (c *Core) onUpdates(updates protocol.Updates) {
	if updates.Session != c.session {
		c.tally.StaleNews++
		c.applyLateConfig(updates)
		return
	}
	for _, item := range updates.Items {
		if item.Num != c.lastSeq+1 {
			continue
		}
		c.lastSeq = item.Num
		switch {
		case item.Desired != nil:
			c.onDesired(item.Desired)
		case item.Entry != nil:
			c.onEntry(item.Num, *item.Entry)
		case item.Break != "":
			c.onBreak(item.Break)
		}
	}
	c.send(protocol.Ack{Session: c.session, Num: c.lastSeq})
	c.serveAll()
}

// applyLateConfig applies a configuration that arrives too late for its session. The core nodes have chosen the
// configuration regardless of the session.
func (c *Core) applyLateConfig(updates protocol.Updates) {
	for _, item := range updates.Items {
		if item.Desired != nil {
			c.onDesired(item.Desired)
			c.helloSentAt = 0 // report the new epoch to the agent with the next tick
		}
	}
	c.serveAll()
}

func (c *Core) onDesired(d *protocol.Desired) {
	if d.Gen < c.gen || d.Gen == c.gen && d.Epoch <= c.epoch {
		c.tally.OldPlans++
		return
	}
	var plan *fleetplan.Plan
	if len(d.Plan) > 0 {
		var faults fleetplan.Faults
		if plan, faults = c.o.ReadPlan(d.Plan); faults != nil {
			return // unreachable: the core nodes accept no faulty plan
		}
	}
	c.checkEpoch(c.gen, c.epoch, d)
	c.desired = d
	if c.plan != nil && c.plan != plan && !(plan != nil && plan.Hosts.Same(c.plan.Hosts)) {
		c.history.add(c.plan.Hosts, c.now)
	}
	c.gen, c.epoch, c.plan, c.emptyZones = d.Gen, d.Epoch, plan, map[ident.Zone]bool{}
	for _, zone := range d.EmptiedZones {
		c.emptyZones[zone] = true
	}
	c.tally.Plans++
	c.note("configuration in force", protocol.Field{Name: "generation", Value: d.Gen}, protocol.Field{Name: "epoch", Value: d.Epoch},
		protocol.Field{Name: "version", Value: c.PlanName()})
	c.noteRoutes()
	// Waiting requests that the new plan does not allow are rejected, immediately if the router has a lease.
	c.readmitWaiting(true)
}

func (c *Core) onEntry(num uint64, n protocol.Entry) {
	e := c.entries[n.Key]
	if e == nil {
		e = &cacheEntry{lastUsed: c.now}
		c.entries[n.Key] = e
	}
	if n.Unchanged {
		c.tally.Sames++
		if e.Digest != n.Digest {
			e.requested, e.hasCallback, e.Digest = false, false, 0
			return
		}
	} else {
		c.tally.Fetches++
		e.Entry, e.receivedAt = n, c.now
	}
	e.seq, e.hasCallback, e.requested = num, true, false
	c.evict()
}

// evict removes the least recently used entries until the cache is within its limit. Their callbacks are released in
// batches.
func (c *Core) evict() {
	for len(c.entries) > c.o.MaxEntries {
		var oldest *cacheEntry
		for _, e := range c.entries {
			if len(c.queues[e.Key]) == 0 && (oldest == nil || e.lastUsed < oldest.lastUsed || e.lastUsed == oldest.lastUsed && e.Key < oldest.Key) {
				oldest = e
			}
		}
		if oldest == nil {
			return
		}
		delete(c.entries, oldest.Key)
		if oldest.hasCallback {
			c.drops = append(c.drops, protocol.DroppedEntry{Key: oldest.Key, Num: oldest.seq})
		}
	}
}

func (c *Core) onBreak(k ident.Key) {
	c.tally.Breaks++
	delete(c.entries, k)
}

func (c *Core) onTick() {
	c.logLeaseChanges()
	c.checkOverdue()
	c.history.forget(c.now)
	if c.now.Sub(c.helloSentAt) >= c.o.HelloInterval || c.helloSentAt == 0 {
		c.helloSentAt = c.now
		loads := map[ident.Key]protocol.KeyLoad{}
		for _, k := range generic.SortedKeys(c.queues) {
			load := protocol.KeyLoad{Waiting: len(c.queues[k]), Running: c.inFlight[k], Arrived: c.arrivals[k]}
			for _, r := range c.queues[k] {
				load.TopValue = max(load.TopValue, r.class.Value)
			}
			loads[k] = load
		}
		for k, n := range c.inFlight {
			if _, ok := loads[k]; !ok && (n > 0 || c.arrivals[k] > 0) {
				loads[k] = protocol.KeyLoad{Running: n, Arrived: c.arrivals[k]}
			}
		}
		for k, n := range c.arrivals {
			if _, ok := loads[k]; !ok && n > 0 {
				loads[k] = protocol.KeyLoad{Arrived: n}
			}
		}
		for k, seconds := range c.offeredLoad {
			load := loads[k]
			load.ServerSeconds = seconds
			loads[k] = load
		}
		c.arrivals, c.offeredLoad = map[ident.Key]int{}, map[ident.Key]float64{}
		hello := protocol.RouterReport{Incarnation: c.o.Inc, Session: c.session, Gen: c.gen, Epoch: c.epoch, KeyLoads: loads}
		if c.o.StatelessServers {
			hello.TokensInProgress, hello.TokenTimes = c.reportLoad(), c.tokenTimes.takeObserved()
		}
		c.send(hello)
	}
	if len(c.drops) > 0 && (c.now.Sub(c.removalSentAt) >= c.o.RemovalInterval || len(c.drops) >= 64) {
		c.removalSentAt = c.now
		c.tally.Removals++
		c.send(protocol.DroppedEntries{Session: c.session, Drops: c.drops})
		c.drops = nil
	}
	for _, k := range generic.SortedKeys(c.queues) {
		for _, r := range append([]*request{}, c.queues[k]...) {
			if c.now >= r.queueDeadline {
				c.finish(r, failure.Expired, 0)
			}
		}
	}
	c.serveAll()
	c.checkWorkConserved()
	if c.stopping {
		c.rejectWaiting()
	}
}

// Counts returns a copy of the counters.
func (c *Core) Counts() Tally {
	t := c.tally
	t.Drops = map[failure.Kind]uint64{}
	for k, n := range c.tally.Drops {
		t.Drops[k] = n
	}
	return t
}

// InForce returns the generation and epoch of the configuration in force, and whether the router has a lease.
func (c *Core) InForce(now clock.Instant) (uint64, ident.Epoch, bool) {
	return c.gen, c.epoch, now < c.leaseUntil
}

// CanRoute reports whether the router may send requests now, under its lease or without one by its last known state.
func (c *Core) CanRoute(now clock.Instant) bool {
	c.now = now
	return c.leased() || c.routesUnleased()
}

// Size returns the number of cached entries and the number of waiting requests.
func (c *Core) Size() (entries, waiting int) { return len(c.entries), c.queued }

// RoutesTo reports whether this router would now send requests for a key to a server without revalidation. Checkers
// compare it with the orders that servers receive.
func (c *Core) RoutesTo(now clock.Instant, k ident.Key, s ident.Server, inc ident.Incarnation) bool {
	e := c.entries[k]
	if e == nil || !e.hasCallback || now >= c.leaseUntil {
		return false
	}
	for _, p := range e.Replicas {
		if p.Server == s && p.Incarnation == inc {
			return true
		}
	}
	return false
}

// ReplicasOf lists the replicas in the router's entry for a key, for checkers.
func (c *Core) ReplicasOf(k ident.Key) (l []string) {
	if e := c.entries[k]; e != nil {
		for _, p := range e.Replicas {
			l = append(l, fmt.Sprintf("%s/%d", p.Server, p.Incarnation))
		}
	}
	sort.Strings(l)
	return l
}

// PlanName returns the name of the plan in force, or an empty string if there is none.
func (c *Core) PlanName() string {
	if c.plan == nil {
		return ""
	}
	return c.plan.Name
}
