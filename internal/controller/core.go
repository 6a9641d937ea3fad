// Package controller implements a core node. Core nodes vote on the desired state and track each other's
// membership. The holder of the leadership lease, the leader, also places models on servers and serves the
// routers.
package controller

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/membership"
	"tidedeck/internal/protocol"
	"tidedeck/internal/workload"
)

// Options configures a core node.
type Options struct {
	Self     protocol.Peer
	Zone     ident.Zone
	Inc      ident.Incarnation // incarnation of this process
	Seeds    []protocol.Peer
	Platform string
	Rand     *rand.Rand

	RouterLease       clock.Span // a router's lease, counted from when the router sent its renewal
	LeadershipLease   clock.Span // the leadership lease, counted from when the leader requested it
	ClockMargin       clock.Span // a grantor waits longer than a grantee by this and by ClockDrift
	ClockDrift        float64
	ReadInterval      clock.Span // interval between two majority reads
	ReportInterval    clock.Span // interval between two requests for a server's report
	ServerTimeout     clock.Span // timeout for a server's answer
	ReplaceAfter      clock.Span // a voter absent for this long is replaced by a spare
	FormAfter         clock.Span // every seed must be seen blank for this long before a core forms
	MaxCallbacks      int        // maximum number of callbacks kept for one router
	MaxUnacknowledged int        // maximum number of unacknowledged changes for one router
	MinResidence      clock.Span // minimum time between the arrival of a replica and its eviction
	EvictableAfter    clock.Span // a replica without work for this long may be evicted
	UnreachableAfter  clock.Span // a leader that reaches too few servers for this long asks the other core nodes
	YieldTime         clock.Span // a leader that yields to a node reaching more does not claim the lease for this long
	RebalanceInterval clock.Span // an imbalance must last this long before a move, and moves are at least this far apart
	MinImbalance      float64    // smallest imbalance that justifies a move, as a fraction of a server's room
	MoveRecency       clock.Span // only keys that had work within this time are moved
	DrainLead         clock.Span // servers are drained this long before a maintenance window closes them
	WallClock         func() time.Time

	// ParsePlan parses plans; it should cache recent results. MergePatch applies a patch to a plan.
	ParsePlan  func([]byte) (*fleetplan.Plan, fleetplan.Faults)
	MergePatch func(plan, patch []byte) (merged []byte, f fleetplan.Faults)

	Enrolled       bool                  // servers announce themselves; there is no platform that lists them
	SilenceTimeout clock.Span            // an announced server counts as unreachable after this long without an announcement
	Unfenced       bool                  // servers check no fencing token; they count orders instead
	SettleTime     clock.Span            // a leader of unfenced servers waits this long before it sends orders
	Tenure         clock.Span            // two nodes do not take turns ordering a server within this time
	Voters         int                   // target size of the voter set; 0 keeps its initial size
	Preload        bool                  // preload models that no server has on disk while the store is idle
	RateWindow     clock.Span            // the store's rate limit holds in every window of this length
	Regions        map[ident.Zone]string // region of each zone, if there are several
	HandOver       bool                  // a stopping node's seat goes to a spare at once, not only after ReplaceAfter
	NoForwarding   bool                  // changes are never forwarded to the leader
	CoreExists     bool                  // the core already exists: an empty disk forms none
	RegistryBytes  int64                 // memory for announced servers, beyond which no further ones are accepted; unlimited if 0
	FirstStart     bool                  // the whole system starts for the first time: seeds with empty disks found the core
}

// Defaults returns the options with defaults for unset fields.
func (o Options) Defaults() Options {
	generic.SetDefault(&o.RouterLease, 2000e6)
	generic.SetDefault(&o.LeadershipLease, 1200e6)
	generic.SetDefault(&o.ClockMargin, 50e6)
	generic.SetDefault(&o.ReadInterval, 250e6)
	generic.SetDefault(&o.ReportInterval, 250e6)
	generic.SetDefault(&o.ServerTimeout, 600e6)
	generic.SetDefault(&o.ReplaceAfter, 6000e6)
	generic.SetDefault(&o.FormAfter, 1500e6)
	generic.SetDefault(&o.MinResidence, 4000e6)
	generic.SetDefault(&o.EvictableAfter, 2000e6)
	generic.SetDefault(&o.DrainLead, 60e9)
	generic.SetDefault(&o.RebalanceInterval, 5000e6)
	generic.SetDefault(&o.MoveRecency, 60e9)
	generic.SetDefault(&o.UnreachableAfter, 4000e6)
	generic.SetDefault(&o.YieldTime, 15e9)
	generic.SetDefault(&o.ClockDrift, 0.02)
	generic.SetDefault(&o.MinImbalance, 0.35)
	generic.SetDefault(&o.MaxCallbacks, 1024)
	generic.SetDefault(&o.MaxUnacknowledged, 4096)
	generic.SetDefault(&o.SilenceTimeout, 3600e6)
	generic.SetDefault(&o.SettleTime, o.ServerTimeout+maxReportAge)
	generic.SetDefault(&o.RateWindow, 5e9)
	if o.ParsePlan == nil {
		o.ParsePlan = (&fleetplan.Memo{Read: fleetplan.ReadPlan}).Plan
	}
	if o.MergePatch == nil {
		o.MergePatch = mergePatch
	}
	return o
}

// Core is the state machine of a core node, without I/O. Step is its only entry point. A Core is not safe for
// concurrent use.
type Core struct {
	o       Options
	now     clock.Instant
	out     []any
	members *membership.Core

	acceptor      acceptorState
	register      register
	leadership    leadership
	links         map[protocol.Session]*link
	endedSessions map[protocol.Session]clock.Instant
	deferredWants []protocol.Envelope

	plan      *fleetplan.Plan
	planBases planBases

	empty              map[ident.Zone]bool
	servers            map[ident.Server]*server
	tokenTimes         map[ident.Key]tokenPace // by base model
	slowest            float64                 // the slowest token pace, as of slowestAt
	slowestAt          clock.Instant
	diskPart           float64 // load time from a server's own disk, as a fraction of that from the store
	entries            map[ident.Key]*entry
	pendingAsks        map[uint64]func(protocol.HTTPResult)
	token              uint64
	continuations      map[uint64]func() // continuations of outstanding saves and computations
	forwards           forwards
	acceptedForwards   acceptedForwards
	demand             map[ident.Key]*keyDemand
	lastListRequest    clock.Instant
	listPending        bool
	list               ServerList    // the last server list that a leader had
	listedAt           clock.Instant // when the platform last sent a list
	reachability       reachCheck
	lastSweep          clock.Instant
	windows            []*window
	closedZones        map[ident.Zone]bool
	closedServers      map[ident.Server]bool
	nextWindowUpdate   clock.Instant
	closingZones       map[ident.Zone]bool // closed soon: models that are only there are loaded elsewhere first
	closingServers     map[ident.Server]bool
	moves              map[ident.Key]*replicaMove
	imbalancedSince    clock.Instant              // since when the servers' load is imbalanced
	lastMoveAt         clock.Instant              // when the last move began
	enrolledServers    map[ident.Server]*enrolled // every server that announced itself; replicated on every core node
	leavings           []byte                     // stored form of the servers that are leaving
	unrelayed          []protocol.Announcement    // announcements not yet relayed to the other core nodes
	lastRelay          clock.Instant
	lastRateUpdate     clock.Instant
	lastPrefetch       clock.Instant
	demandSince        clock.Instant     // when routers first reported demand to this leader
	loadQueue          map[ident.Key]int // queue position of keys without a replica that the store's rate limit delays
	acks               map[uint64]*leaving
	lastPlacement      clock.Instant
	placementPause     clock.Span // until the next placement pass
	serverIndex        serverIndex
	disks              diskIndex
	linkSet            linkSet
	workload           *workload.Index
	tokensInProgress   map[ident.Server]int // tokens in progress from all routers, by server
	lastAckID          uint64
	sync               registrySync
	registriesReceived map[ident.Node]ident.Incarnation // core nodes whose list of enrolled servers this leader has received
	recovered          map[ident.Node]ident.Incarnation // core nodes whose list this node has received since it lost its disk
	departuresComplete bool                             // this node has heard of all acknowledged departures, or never lost any
	recoveryStored     bool                             // the write that completes the departures is under way
	lastRegistryQuery  clock.Instant
	loadStarts         []clock.Instant // when the recent loads began
	tally              Tally
	began              bool
	ackedEpoch         ident.Epoch              // the highest epoch that this node has acknowledged
	stopping           bool                     // a planned stop is in progress; the lease is no longer claimed
	rollout            rollout                  // rollout of the newest configuration, while this node is the leader
	versions           []version                // versions chosen during this node's term, oldest first
	newest             *protocol.Desired        // as sent to routers
	newestBytes        *protocol.SharedEncoding // the same, encoded once for all routers
	deltas             configurationDeltas
	stall              clock.StallDetector // stalls of this process
	lag                tickLag
	liveAgents         int // agents that were alive at the last tick
}

// Tally counts a core node's operations; its fields are published as metrics.
type Tally struct {
	Rounds, Conflicts, Changes, Reads, Repairs, Reigns         uint64
	Grants, Withheld, Breaks, Acks, Lapses, Wants, Sames       uint64
	Removals, Sheds, Loads, Unloads, Fences, Drained, Admit    uint64
	Moves, Evened, Odd                                         uint64
	Doubts, Looks, Yields                                      uint64
	Beacons, BeaconsRefused, Enrolments, Leaves, LeavesUnheard uint64
	Orders, OrdersRefused, OrdersUnanswered, Reports           uint64
	Confirms                                                   uint64 // queries whether an order is done
	Stalls                                                     uint64 // stalls of the process
	Visits                                                     uint64 // servers, replicas and links examined by decisions

	RoundsPromised               uint64 // attempts under a reserved ballot
	Forwards, ForwardsUnanswered uint64 // forwarded changes, and those proposed locally for lack of an outcome
	VotersMissing                int    // gauge: voters that a core without a majority waits for
	SeedsMissing                 int    // gauge: seeds that a node without a core waits for
	DeparturesIncomplete         int    // gauge: 1 while this node may lack departures that it acknowledged on an earlier disk
	ForwardsTaken                uint64 // changes that other nodes forwarded to this leader

	QueriesEnded      uint64 // completed majority reads
	QueriesOvertaken  uint64 // answered, but a later read completed first
	QueriesUnanswered uint64 // not answered by a majority before a later read completed
}

// New returns a core node.
func New(o Options) *Core {
	o = o.Defaults()
	c := &Core{
		o: o, sync: newRegistrySync(), diskPart: initialDiskLoadFraction, tokenTimes: map[ident.Key]tokenPace{},
		serverIndex: newServerIndex(), disks: diskIndex{}, linkSet: newLinkSet(), workload: workload.NewIndex(),
		links: map[protocol.Session]*link{}, endedSessions: map[protocol.Session]clock.Instant{},
		servers: map[ident.Server]*server{}, entries: map[ident.Key]*entry{},
		pendingAsks: map[uint64]func(protocol.HTTPResult){}, continuations: map[uint64]func(){}, forwards: forwards{pending: map[uint64]*pendingChange{}},
		demand: map[ident.Key]*keyDemand{}, moves: map[ident.Key]*replicaMove{}, empty: map[ident.Zone]bool{},
		tokensInProgress: map[ident.Server]int{}, enrolledServers: map[ident.Server]*enrolled{}, acks: map[uint64]*leaving{}, registriesReceived: map[ident.Node]ident.Incarnation{}, recovered: map[ident.Node]ident.Incarnation{},
	}
	c.members = membership.New(membership.Options{
		Self:  protocol.Member{Peer: o.Self, Role: "controller", Zone: o.Zone, Incarnation: o.Inc},
		Seeds: o.Seeds, Rand: o.Rand,
	})
	c.register.init(o.Inc)
	c.stall.MinGap = minStall
	c.lastAckID, c.reachability.round = roundBaseOf(o.Inc), roundBaseOf(o.Inc)
	return c
}

// Step handles one input and returns the resulting outputs.
func (c *Core) Step(now clock.Instant, in any) []any {
	c.now, c.out = now, nil
	switch v := in.(type) {
	case protocol.Start:
		c.onStart(v)
	case protocol.Saved:
		if f := c.continuations[v.Token]; f != nil {
			delete(c.continuations, v.Token)
			f()
		}
	case protocol.Computed:
		if f := c.continuations[v.Token]; f != nil {
			delete(c.continuations, v.Token)
			f()
		}
	case protocol.HTTPResult:
		if f := c.pendingAsks[v.Token]; f != nil {
			delete(c.pendingAsks, v.Token)
			f(v)
		}
	case protocol.Envelope:
		c.dispatch(v)
	case Admin:
		c.admin(v)
	case Announce:
		c.onAnnounce(v)
	case protocol.SeedsChanged:
		c.updateSeeds(v.Seeds)
	case protocol.Stop:
		c.beginStop()
	case protocol.TimerTick:
		switch {
		case !c.began:
		case c.stopping:
			c.tickStopping()
		default:
			c.tick()
		}
	}
	c.flush()
	return c.out
}

// dispatch passes a message to the membership protocol or to the handler of its kind.
func (c *Core) dispatch(e protocol.Envelope) {
	if !c.began {
		return
	}
	if e.To.ID != "" && e.To.ID != c.o.Self.ID {
		return
	}
	if l, mine := c.members.Receive(c.now, e); mine {
		c.emit(l...)
		return
	}
	if f := handlers[protocol.Kind(e.Body)]; f != nil {
		f(c, e)
	}
}

// handlers maps each kind of message to its handler.
var handlers map[string]func(*Core, protocol.Envelope)

func init() {
	handlers = map[string]func(*Core, protocol.Envelope){
		"Prepare": (*Core).onPrepare, "Accept": (*Core).onAccept, "Query": (*Core).onQuery, "Release": (*Core).onRelease, "Fetch": (*Core).onFetch,
		"Promise": (*Core).onPromise, "Accepted": (*Core).onAccepted, "State": (*Core).onState, "Value": (*Core).onValue,
		"Listing": (*Core).onServerList, "Look": (*Core).onReachQuery, "Looked": (*Core).onReachReply,
		"Taken": (*Core).onValueChosen, "Kept": (*Core).onRecoveryReply, "Forward": (*Core).onForward, "Forwarded": (*Core).onForwarded,
		"RollCall": (*Core).onRegistryQuery, "Roll": (*Core).onRegistryReply, "Beacons": (*Core).onAnnouncements, "BeaconsHeard": (*Core).onAnnouncementsAck,
		"Renew": (*Core).onRenew, "Heard": (*Core).onAck, "Want": (*Core).onEntryRequest, "Removal": (*Core).onDroppedEntries,
	}
}

// minStall is the shortest gap between two ticks that is logged as a stall.
const minStall = clock.Span(250e6)

func (c *Core) tick() {
	if gap := c.stall.Observe(c.now); gap > 0 {
		c.tally.Stalls++
		c.logEvent("process stalled", field("ms", gap.Milliseconds()), field("owns", c.holdsLease()))
	}
	c.lag.observe(c.now)
	c.emit(c.members.Tick(c.now)...)
	c.liveAgents = c.members.CountAlive("agent")
	c.tickRegister()
	c.tickLeadership()
	c.tickLinks()
	c.updateRegistry()
	c.tickPlacement()
}

// updateSeeds replaces the seeds. While a core may still form once all initial seeds are blank, they are kept.
func (c *Core) updateSeeds(seeds []protocol.Peer) {
	if c.latest() == nil && !c.o.CoreExists && !c.isFounder() {
		return
	}
	c.o.Seeds = seeds
	c.members.SetSeeds(seeds)
}

// tickStopping keeps a stopping node among the voters until a spare has its seat.
func (c *Core) tickStopping() {
	c.emit(c.members.Tick(c.now)...)
	c.tickRegister()
}

func (c *Core) emit(l ...protocol.Envelope) {
	for _, e := range l {
		c.out = append(c.out, e)
	}
}

func (c *Core) send(to protocol.Peer, body any) {
	c.emit(protocol.Envelope{From: c.o.Self, To: to, Body: body})
}

func (c *Core) reply(e protocol.Envelope, body any) { c.emit(e.Reply(c.o.Self, body)) }

// save writes entries to disk, and calls then once they are durable.
func (c *Core) save(puts map[string][]byte, then func()) {
	c.token++
	c.continuations[c.token] = then
	c.out = append(c.out, protocol.Save{Token: c.token, Puts: puts})
}

// compute requests that run be executed concurrently with the core, and calls then once run is done.
func (c *Core) compute(run, then func()) {
	c.token++
	c.continuations[c.token], c.out = then, append(c.out, protocol.Compute{Token: c.token, Run: run})
}

func (c *Core) ask(addr, path string, body any, wait clock.Span, then func(protocol.HTTPResult)) {
	c.queueAsk("", addr, path, body, wait, then)
}

// askServer sends a request or an order to one server. The request names the server, because an address is no
// identity: another server may have received the address since, and must neither carry out the order nor answer
// for the intended server.
func (c *Core) askServer(s *server, path string, order protocol.Order, then func(protocol.HTTPResult)) {
	c.queueAsk(s.ID, s.Addr, path, order, c.o.ServerTimeout, then)
}

func (c *Core) queueAsk(server ident.Server, addr, path string, body any, wait clock.Span, then func(protocol.HTTPResult)) {
	c.token++
	c.pendingAsks[c.token] = then
	a := protocol.HTTPRequest{Token: c.token, Addr: addr, Server: server, Path: path, Body: body, Timeout: wait}
	if o, ok := body.(protocol.Order); ok {
		a.ReuseConn = o.Op == "" && c.o.Unfenced
	}
	if c.leadership.held {
		a.NotAfter = c.leadership.expiresAt(c) // a leader that was suspended must not send orders after its lease has expired
	}
	c.out = append(c.out, a)
}

// logEvent logs an event with its fields.
func (c *Core) logEvent(s string, fields ...protocol.Field) {
	c.out = append(c.out, protocol.LogLine{Text: s, Fields: fields})
}

// field returns a named value of a log line.
func field(name string, value any) protocol.Field { return protocol.Field{Name: name, Value: value} }

// logError logs an error.
func (c *Core) logError(s string) { c.out = append(c.out, protocol.ErrorReport{Text: s}) }

// marshal encodes a value as JSON.
func marshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only types of this program, which always encode, are passed
	}
	return b
}

// countVisits counts the servers, replicas or links that a decision examines: its cost, independent of the machine.
func (c *Core) countVisits(n int) { c.tally.Visits += uint64(n) }

// Counts returns the tally so far.
func (c *Core) Counts() Tally { return c.tally }

// Owns reports whether this node holds the leadership lease now, and returns its term.
func (c *Core) Owns(now clock.Instant) (ident.Term, bool) {
	return c.leadership.term, c.leadership.held && now <= c.leadership.expiresAt(c)
}

// Epoch returns the newest epoch that this node knows to be chosen, or 0.
func (c *Core) Epoch() ident.Epoch {
	if c.register.known == nil {
		return 0
	}
	return c.register.known.Epoch
}

// Ready reports whether this node can serve operators: it knows a voter set and hears a majority.
func (c *Core) Ready() bool {
	return c.register.known != nil && c.register.answered != 0 && c.now.Sub(c.register.answered) < 3*c.o.ReadInterval+c.o.LeadershipLease
}

// hearsMajority reports whether a majority of the core has answered this node within the length of a router's
// lease.
func (c *Core) hearsMajority() bool {
	return c.register.known != nil && c.register.answered != 0 && c.now.Sub(c.register.answered) < c.o.RouterLease
}
