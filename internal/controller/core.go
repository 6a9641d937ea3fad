// Package controller is a core node: it votes on the desired state, knows its siblings and,
// while it owns the duty, places models on servers and keeps the routers' callbacks.
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

// Options of a core node.
type Options struct {
	Me       protocol.Sibling
	Zone     ident.Zone
	Inc      ident.Inc // of this life of the process
	Seeds    []protocol.Sibling
	Platform string
	Rand     *rand.Rand

	Hold        clock.Span // a router's hold, from the moment it sent its renewal
	Duty        clock.Span // the duty's hold, from the moment its owner asked for it
	ClockMargin clock.Span // a granter waits longer by this and by Drift
	ClockDrift  float64
	Round       clock.Span // between two reads of the register
	Poll        clock.Span // between two reports of a server
	Wait        clock.Span // for a server's answer
	Spare       clock.Span // a voter gone for so long is replaced by a spare
	Form        clock.Span // every seed must be seen blank for so long
	Most        int        // callbacks kept for one router
	Pending     int        // changes not yet acknowledged, for one router
	Rest        clock.Span // a replica is not evicted sooner after it came
	Lull        clock.Span // a replica without work for so long may be evicted
	Blind       clock.Span // an owner that reaches too little for so long asks its siblings
	Shy         clock.Span // and does not take the duty again for so long, if one reaches more
	Even        clock.Span // unevenness must last so long before a move, and moves are so far apart
	Gap         float64    // unevenness that is worth a move, as a part of a server's room
	Recent      clock.Span // a key that had work so lately is worth a move
	Lead        clock.Span // what a maintenance window closes is drained so long before it
	Wall        func() time.Time

	Read     func([]byte) (*fleetplan.Plan, fleetplan.Faults)             // of plans; it should remember those read last
	Merge    func(plan, patch []byte) (merged []byte, f fleetplan.Faults) // of changes into plans
	Enrolled bool                                                         // servers announce themselves; no platform lists them
	Silence  clock.Span                                                   // an announced server is dark after so long without a word
	Unfenced bool                                                         // servers check no fence: they count orders
	Settle   clock.Span                                                   // an owner of unfenced servers waits so long before it orders
	Tenure   clock.Span                                                   // two nodes do not order a server by turns within so long
	Voters   int                                                          // the voter set grows to so many as core nodes are there; it stays as it formed if none is said
	Warm     bool                                                         // while the store is idle, models that no server has on its own disk are loaded somewhere
	Rate     clock.Span                                                   // the store's rate is kept in every while of this length
	Regions  map[ident.Zone]string                                        // of zones, where they are in several
	HandOver bool                                                         // a stopping node's seat goes to a spare at once; else only once it has been absent for Spare
	Alone    bool                                                         // changes are proposed where they come, and never handed to the owner of the lease
	Joined   bool                                                         // this core is there already: an empty disk forms none
}

// Defaults fills what was left out.
func (o Options) Defaults() Options {
	generic.SetDefault(&o.Hold, 2000e6)
	generic.SetDefault(&o.Duty, 1200e6)
	generic.SetDefault(&o.ClockMargin, 50e6)
	generic.SetDefault(&o.Round, 250e6)
	generic.SetDefault(&o.Poll, 250e6)
	generic.SetDefault(&o.Wait, 600e6)
	generic.SetDefault(&o.Spare, 6000e6)
	generic.SetDefault(&o.Form, 1500e6)
	generic.SetDefault(&o.Rest, 4000e6)
	generic.SetDefault(&o.Lull, 2000e6)
	generic.SetDefault(&o.Lead, 60e9)
	generic.SetDefault(&o.Even, 5000e6)
	generic.SetDefault(&o.Recent, 60e9)
	generic.SetDefault(&o.Blind, 4000e6)
	generic.SetDefault(&o.Shy, 15e9)
	generic.SetDefault(&o.ClockDrift, 0.02)
	generic.SetDefault(&o.Gap, 0.35)
	generic.SetDefault(&o.Most, 1024)
	generic.SetDefault(&o.Pending, 4096)
	generic.SetDefault(&o.Silence, 3600e6)
	generic.SetDefault(&o.Settle, o.Wait+reportLag)
	generic.SetDefault(&o.Rate, 5e9)
	if o.Read == nil {
		o.Read = (&fleetplan.Memo{Read: fleetplan.ReadPlan}).Plan
	}
	if o.Merge == nil {
		o.Merge = mergePatch
	}
	return o
}

// Core is a core node without I/O. Step is its only entrance, and it is not safe for
// use by two at once.
type Core struct {
	o     Options
	now   clock.Tick
	out   []any
	mates *membership.Core

	vote  acceptorState
	reg   register
	duty  leadership
	links map[protocol.Session]*link
	tombs map[protocol.Session]clock.Tick
	wants []protocol.Env

	plan      *fleetplan.Plan
	planBases planBases

	empty       map[ident.Zone]bool
	servers     map[ident.Server]*server
	paces       map[ident.Key]pace // by base
	slowest     float64            // of the paces, as of slowestAt
	slowestAt   clock.Tick
	diskPart    float64 // of a load's time from the store, that one from a server's own disk takes
	entries     map[ident.Key]*entry
	pendingAsks map[uint64]func(protocol.Told)
	token       uint64
	saves       map[uint64]func() // what follows once the disk, or a computation, is done
	forwards    forwards
	taken       forwardsTaken
	demand      map[ident.Key]*need
	listed      clock.Tick
	listing     bool
	list        Roll       // the last server list that an owner had
	seenAt      clock.Tick // when the platform last gave a list
	eye         eye
	swept       clock.Tick
	windows     []*window
	shutZ       map[ident.Zone]bool
	shutS       map[ident.Server]bool
	shutAt      clock.Tick
	soonZ       map[ident.Zone]bool // closed before long: what is only there is loaded elsewhere first
	soonS       map[ident.Server]bool
	shifts      map[ident.Key]*shift
	uneven      clock.Tick                 // since when the servers are burdened unevenly
	shifted     clock.Tick                 // when a move last began
	roll        map[ident.Server]*enrolled // every server that announced itself, known at every core node
	leavings    []byte                     // what the disk has of those that leave
	relays      []protocol.Beacon          // announcements that other core nodes have not been sent yet
	relayed     clock.Tick
	summed      clock.Tick
	seeded      clock.Tick
	asked       clock.Tick        // when routers first told this owner what they are asked for
	line        map[ident.Key]int // keys without a replica that the store has no room for yet, by turn
	acks        map[uint64]*leaving
	weighed     clock.Tick
	weighPause  clock.Span // until the next look at placement
	fleet       serverIndex
	disks       diskIndex
	linkSet     linkSet
	workload    *workload.Index
	seats       map[ident.Server]int // tokens that all routers have under way, by server
	mark        uint64
	rolls       map[ident.Node]ident.Inc // core nodes whose roll this owner has heard
	recovered   map[ident.Node]ident.Inc // and those whose roll this node has heard since it lost its disk
	rollWhole   bool                     // this node has heard all leavings that were acknowledged, or never lost any
	called      clock.Tick
	begun       []clock.Tick // when the loads of late began
	tally       Tally
	began       bool
	ackedEpoch  ident.Epoch       // the highest that was told as taken here
	ending      bool              // a planned stop is under way: the duty is not taken any more
	rollout     rollout           // of the newest configuration, while this node owns the duty
	versions    []version         // that came while it owned the duty, oldest first
	newest      *protocol.Desired // as it goes to routers
	newestBytes *protocol.Packed  // and its bytes, once for all of them
	stall       clock.Stall       // of this process
}

// Tally counts what a core node did; it is what its metrics show.
type Tally struct {
	Rounds, Conflicts, Changes, Reads, Repairs, Reigns      uint64
	Grants, Withheld, Breaks, Acks, Lapses, Wants, Sames    uint64
	Removals, Sheds, Loads, Unloads, Fences, Drained, Admit uint64
	Moves, Evened, Odd                                      uint64
	Doubts, Looks, Yields                                   uint64
	Beacons, Enrolments, Leaves, LeavesUnheard              uint64
	Orders, OrdersRefused, OrdersUnanswered, Reports        uint64
	Confirms                                                uint64 // askings whether an order is done
	Stalls                                                  uint64 // the process stood still
	Visits                                                  uint64 // servers, replicas and links that were looked at to decide something
	RoundsPromised                                          uint64 // attempts under a ballot that a majority had promised before
	Forwards, ForwardsUnanswered                            uint64 // changes handed to the owner of the lease, and those proposed here as no outcome came in time
	VotersMissing                                           int    // now: voters that a core without a majority waits for
	ForwardsTaken                                           uint64 // changes that another node handed to this owner
	QueriesEnded                                            uint64 // majority reads that told what is the newest
	QueriesOvertaken                                        uint64 // that a majority answered, but showed a newer value that was not learned before the next read began
	QueriesUnanswered                                       uint64 // that no majority answered before the next one began
}

// New makes a core node.
func New(o Options) *Core {
	o = o.Defaults()
	c := &Core{
		o: o, diskPart: diskPartBegin, paces: map[ident.Key]pace{},
		fleet: newServerIndex(), disks: diskIndex{}, linkSet: newLinkSet(), workload: workload.NewIndex(),
		links: map[protocol.Session]*link{}, tombs: map[protocol.Session]clock.Tick{},
		servers: map[ident.Server]*server{}, entries: map[ident.Key]*entry{},
		pendingAsks: map[uint64]func(protocol.Told){}, saves: map[uint64]func(){}, forwards: forwards{open: map[uint64]*pendingChange{}},
		demand: map[ident.Key]*need{}, shifts: map[ident.Key]*shift{}, empty: map[ident.Zone]bool{},
		seats: map[ident.Server]int{}, roll: map[ident.Server]*enrolled{}, acks: map[uint64]*leaving{}, rolls: map[ident.Node]ident.Inc{}, recovered: map[ident.Node]ident.Inc{},
	}
	c.mates = membership.New(membership.Options{
		Me:    protocol.Member{Sibling: o.Me, Role: "controller", Zone: o.Zone, Inc: o.Inc},
		Seeds: o.Seeds, Rand: o.Rand,
	})
	c.reg.init(o.Inc)
	c.stall.Least = minStall
	c.mark, c.eye.round = roundBaseOf(o.Inc), roundBaseOf(o.Inc)
	return c
}

// Step takes one input and gives what is to be done.
func (c *Core) Step(now clock.Tick, in any) []any {
	c.now, c.out = now, nil
	switch v := in.(type) {
	case protocol.Start:
		c.onStart(v)
	case protocol.Saved:
		if f := c.saves[v.Token]; f != nil {
			delete(c.saves, v.Token)
			f()
		}
	case protocol.Computed:
		if f := c.saves[v.Token]; f != nil {
			delete(c.saves, v.Token)
			f()
		}
	case protocol.Told:
		if f := c.pendingAsks[v.Token]; f != nil {
			delete(c.pendingAsks, v.Token)
			f(v)
		}
	case protocol.Env:
		c.dispatch(v)
	case Admin:
		c.admin(v)
	case Announce:
		c.onAnnounce(v)
	case protocol.Reseed:
		c.updateSeeds(v.Seeds)
	case protocol.Stop:
		c.beginStop()
	case protocol.Beat:
		switch {
		case !c.began:
		case c.ending:
			c.beatEnding()
		default:
			c.beat()
		}
	}
	c.flush()
	return c.out
}

func (c *Core) dispatch(e protocol.Env) {
	if !c.began {
		return
	}
	if e.To.ID != "" && e.To.ID != c.o.Me.ID {
		return
	}
	if l, mine := c.mates.Take(c.now, e); mine {
		c.emit(l...)
		return
	}
	if f := handlers[protocol.Kind(e.Body)]; f != nil {
		f(c, e)
	}
}

// Which message goes where: the one table.
var handlers map[string]func(*Core, protocol.Env)

func init() {
	handlers = map[string]func(*Core, protocol.Env){
		"Prepare": (*Core).onPrepare, "Accept": (*Core).onAccept, "Query": (*Core).onQuery, "Release": (*Core).onRelease, "Fetch": (*Core).onFetch,
		"Promise": (*Core).onPromise, "Accepted": (*Core).onAccepted, "State": (*Core).onState, "Value": (*Core).onValue,
		"Listing": (*Core).onListing, "Look": (*Core).onLook, "Looked": (*Core).onLooked,
		"Taken": (*Core).onTaken, "Kept": (*Core).onKept, "Forward": (*Core).onForward, "Forwarded": (*Core).onForwarded,
		"RollCall": (*Core).onRollCall, "Roll": (*Core).onRoll, "Beacons": (*Core).onBeacons, "BeaconsHeard": (*Core).onBeaconsHeard,
		"Renew": (*Core).onRenew, "Heard": (*Core).onHeard, "Want": (*Core).onWant, "Removal": (*Core).onRemoval,
	}
}

// stallLeast is a gap between two beats that the log tells of.
const minStall = clock.Span(250e6)

func (c *Core) beat() {
	if gap := c.stall.Beat(c.now); gap > 0 {
		c.tally.Stalls++
		c.note("stood still", field("ms", gap.Milliseconds()), field("owns", c.rules()))
	}
	c.emit(c.mates.Beat(c.now)...)
	c.beatRegister()
	c.beatDuty()
	c.beatLinks()
	c.beatRoll()
	c.beatPlace()
}

// reseed takes other seeds. While a core may still form of those that it began with, it keeps to them.
func (c *Core) updateSeeds(seeds []protocol.Sibling) {
	if c.latest() == nil && !c.o.Joined {
		return
	}
	c.o.Seeds = seeds
	c.mates.Reseed(seeds)
}

// beatEnding keeps a node that was told to stop among the voters, until a spare has its seat.
func (c *Core) beatEnding() {
	c.emit(c.mates.Beat(c.now)...)
	c.beatRegister()
}

func (c *Core) emit(l ...protocol.Env) {
	for _, e := range l {
		c.out = append(c.out, e)
	}
}

func (c *Core) send(to protocol.Sibling, body any) {
	c.emit(protocol.Env{From: c.o.Me, To: to, Body: body})
}

func (c *Core) reply(e protocol.Env, body any) { c.emit(e.Reply(c.o.Me, body)) }

func (c *Core) save(puts map[string][]byte, then func()) {
	c.token++
	c.saves[c.token] = then
	c.out = append(c.out, protocol.Save{Token: c.token, Puts: puts})
}

// compute has something computed beside the core, and goes on with then once it is done.
func (c *Core) compute(run, then func()) {
	c.token++
	c.saves[c.token], c.out = then, append(c.out, protocol.Compute{Token: c.token, Run: run})
}

func (c *Core) ask(addr, path string, body any, wait clock.Span, then func(protocol.Told)) {
	c.queueAsk("", addr, path, body, wait, then)
}

// askServer asks one server, or orders it something. It is named, since an address is no identity: another start of a server
// may have it by now, and must neither carry out what is meant for this one nor answer for it.
func (c *Core) askServer(s *server, path string, order protocol.Order, then func(protocol.Told)) {
	c.queueAsk(s.ID, s.Addr, path, order, c.o.Wait, then)
}

func (c *Core) queueAsk(server ident.Server, addr, path string, body any, wait clock.Span, then func(protocol.Told)) {
	c.token++
	c.pendingAsks[c.token] = then
	a := protocol.Ask{Token: c.token, Addr: addr, Server: server, Path: path, Body: body, Wait: wait}
	if o, ok := body.(protocol.Order); ok {
		a.Kept = o.Op == "" && c.o.Unfenced
	}
	if c.duty.mine {
		a.Until = c.duty.until(c) // an owner that froze must not order when its duty is over
	}
	c.out = append(c.out, a)
}

func (c *Core) note(s string, fields ...protocol.Field) {
	c.out = append(c.out, protocol.Note{Text: s, Fields: fields})
}

// field names a value of a log line.
func field(name string, value any) protocol.Field { return protocol.Field{Name: name, Value: value} }

func (c *Core) oops(s string) { c.out = append(c.out, protocol.Oops{Text: s}) }

func jot(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only our own plain types come here
	}
	return b
}

// visit counts servers, replicas or links that are looked at to decide something: what that costs, whatever machine it runs on.
func (c *Core) visit(n int) { c.tally.Visits += uint64(n) }

// Counts gives the tally so far.
func (c *Core) Counts() Tally { return c.tally }

// Owns tells whether this node owns the duty now, and its number.
func (c *Core) Owns(now clock.Tick) (ident.Duty, bool) {
	return c.duty.num, c.duty.mine && now <= c.duty.until(c)
}

// Epoch tells the newest epoch this node knows to be taken.
func (c *Core) Epoch() ident.Epoch {
	if c.reg.known == nil {
		return 0
	}
	return c.reg.known.Epoch
}

// Ready tells whether this node can serve operators: it knows a voter set and hears a majority.
func (c *Core) Ready() bool {
	return c.reg.known != nil && c.reg.answered != 0 && c.now.Sub(c.reg.answered) < 3*c.o.Round+c.o.Duty
}

// hearsMajority tells whether a majority of the core has answered this node within a router's lease.
func (c *Core) hearsMajority() bool {
	return c.reg.known != nil && c.reg.answered != 0 && c.now.Sub(c.reg.answered) < c.o.Hold
}
