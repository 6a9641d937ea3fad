// Package agent implements the agent process that runs beside each router. The agent maintains the session with the
// core, forwards the router's requests for keys and its acknowledgements, and delivers the core's updates to the
// router.
package agent

import (
	"math/rand/v2"
	"slices"
	"time"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/membership"
	"tidedeck/internal/protocol"
)

// Options configures an agent. Life distinguishes the starts of the agent process in its sessions with the router.
type Options struct {
	Self          protocol.Peer
	Zone          ident.Zone
	Inc           ident.Incarnation
	Life          ident.Incarnation // start number of this agent, sent to the router; a later start on the same machine has a higher one
	Seeds         []protocol.Peer
	Router        protocol.Peer
	Rand          *rand.Rand
	RenewInterval clock.Span // interval between lease renewals
	AnswerTimeout clock.Span // time without an answer after which another path is tried
	FastRenewal   bool       // renew more often with fewer routers, since renewals report each router's load
}

// Core is the agent's state machine. It performs no I/O.
type Core struct {
	o       Options
	now     clock.Instant
	out     []any
	members *membership.Core

	router           ident.Incarnation
	gen              uint64
	epoch            ident.Epoch
	keyLoads         map[ident.Key]protocol.KeyLoad
	tokensInProgress map[ident.Server]int
	tokenTimes       map[ident.Key]float64 // shortest observed time per token since the last renewal
	routers          int

	session            protocol.Session
	seq                uint64
	sentAt             map[uint64]clock.Instant
	leaseEnd           clock.Instant
	term               ident.Term
	fresh              bool
	ackedNum           uint64
	promptAckNum       uint64 // number up to which the leader waits for an acknowledgement
	sentAckNum         uint64 // number that was last acknowledged by a message of its own
	nextRenewal        clock.Instant
	contact            coreContact   // whether any core node is reachable, independent of the current leader
	configCurrentUntil clock.Instant // until when a core node has confirmed the router's configuration as current
	leaving            []ident.Server
	lastLeaderAnswer   clock.Instant // when a leader last answered in this session
	pathChangedAt      clock.Instant
	path               corePath
	directTriedAt      clock.Instant // when a direct path was last tried while relaying through a peer
	advertisedCores    []protocol.Peer
	pathIndex          int
	newestDesired      *protocol.Desired
	earlierDesired     *protocol.Desired // the newest one before it: the router may not have applied the newest one yet
	wantsWhole         bool              // a difference could not be applied; no configuration has come since
	pacer              renewalPacer
	entryRequests      entryRequests
	leaderAddr         string        // the node that granted the last lease
	loadReportedAt     clock.Instant // when a renewal last carried the router's load
	stall              clock.StallDetector
	tally              Tally
}

// minStall is the shortest gap between two ticks that is logged as a stall.
const minStall = clock.Span(250e6)

// corePath is the path to the leader: direct, or relayed through a peer.
type corePath struct {
	to  protocol.Peer
	via protocol.Peer
}

// Tally counts an agent's events.
type Tally struct {
	Renews, Grants, Sessions, Turns, Carried uint64
	StaleNews                                uint64 // updates that arrived after their session had ended
	Withheld                                 uint64 // answers of a leader that withholds the lease until this router acknowledges
	Vouched                                  uint64 // times that a core node confirmed the configuration without granting a lease
	Sweeps                                   uint64 // times that all core nodes were queried at once
	Stalls                                   uint64 // stalls of the process
	DeltasApplied                            uint64 // configurations that came as a difference
	DeltasRefused                            uint64 // the same, but this agent lacked their base
	Unvouched                                uint64 // answers of core nodes that could not determine the newest configuration
}

// New returns an agent with the given options.
func New(o Options) *Core {
	generic.SetDefault(&o.RenewInterval, 400e6)
	generic.SetDefault(&o.AnswerTimeout, 350e6)
	c := &Core{o: o, sentAt: map[uint64]clock.Instant{}, advertisedCores: o.Seeds, pacer: newRenewalPacer(), stall: clock.StallDetector{MinGap: minStall}}
	c.members = membership.New(membership.Options{
		Self:  protocol.Member{Peer: o.Self, Role: "agent", Zone: o.Zone, Incarnation: o.Inc},
		Seeds: o.Seeds, Rand: o.Rand,
	})
	if len(o.Seeds) > 0 {
		c.pathIndex = o.Rand.IntN(len(o.Seeds))
		c.path.to = o.Seeds[c.pathIndex]
	}
	return c
}

// Step processes one input and returns the resulting outputs.
func (c *Core) Step(now clock.Instant, in any) []any {
	c.now, c.out = now, nil
	switch v := in.(type) {
	case protocol.Envelope:
		c.receive(v)
	case protocol.SeedsChanged:
		c.o.Seeds = v.Seeds
		c.members.SetSeeds(v.Seeds)
	case protocol.TimerTick:
		c.tick()
	}
	return c.out
}

func (c *Core) send(messages ...protocol.Envelope) {
	for _, e := range messages {
		c.out = append(c.out, e)
	}
}

func (c *Core) logEvent(text string, fields ...protocol.Field) {
	c.out = append(c.out, protocol.LogLine{Text: text, Fields: fields})
}

func (c *Core) sendToCore(body any) {
	c.send(protocol.Envelope{From: c.o.Self, To: c.path.to, Via: c.path.via, Body: body})
}

func (c *Core) sendToRouter(body any) {
	c.send(protocol.Envelope{From: c.o.Self, To: c.o.Router, Body: body})
}

// beginSession starts a new session. The router has to revalidate all of its cached state.
func (c *Core) beginSession(why string) {
	c.session = protocol.Session{Node: c.o.Self.ID, AgentIncarnation: c.o.Life, RouterIncarnation: c.router, Num: c.session.Num + 1}
	c.leaseEnd, c.term, c.fresh = 0, 0, true
	c.ackedNum, c.promptAckNum, c.sentAckNum = 0, 0, 0
	c.entryRequests.reset()
	c.sentAt = map[uint64]clock.Instant{}
	c.nextRenewal = c.now
	c.tally.Sessions++
	c.logEvent("session started", protocol.Field{Name: "session", Value: c.session.Num}, protocol.Field{Name: "why", Value: why}, protocol.Field{Name: "way", Value: c.path.to.Addr},
		protocol.Field{Name: "epoch", Value: c.epoch})
	c.sendLease()
}

func (c *Core) sendLease() { c.sendToRouter(c.currentLease()) }

// currentLease returns the router's current lease, and the terms on which it may continue without one.
func (c *Core) currentLease() protocol.RouterLease {
	return protocol.RouterLease{Session: c.session, Until: c.leaseEnd, Term: c.term, Partitioned: c.contact.partitioned, ConfigLeaseEnd: c.configCurrentUntil, Leaving: c.leaving}
}

func (c *Core) receive(e protocol.Envelope) {
	// A peer without a direct path to the core relays through this agent. Only core traffic is relayed.
	if e.To.ID != "" && e.To.ID != c.o.Self.ID {
		if e.RelayedBy.ID == "" {
			c.tally.Carried++
			c.send(e.Relay(c.o.Self))
		}
		return
	}
	if replies, mine := c.members.Receive(c.now, e); mine {
		c.send(replies...)
		return
	}
	switch body := e.Body.(type) {
	case protocol.RouterReport:
		if body.Incarnation == 0 {
			return // a running router has a non-zero start number
		}
		if (body.Gen != c.gen || body.Epoch != c.epoch) && c.leaseEnd.Sub(c.now) < c.renewInterval()+c.answerTimeout() {
			c.nextRenewal = c.now // the leader cut the lease short until the router has this configuration
		}
		c.gen, c.epoch, c.tokensInProgress = body.Gen, body.Epoch, body.TokensInProgress
		c.mergeKeyLoads(body.KeyLoads)
		c.mergeTokenTimes(body.TokenTimes)
		if body.Incarnation != c.router {
			c.router = body.Incarnation
			c.configCurrentUntil, c.leaving = 0, nil // these applied to the previous router's configuration
			c.beginSession("router restarted")
			c.tick()
		} else if body.Session != c.session {
			c.sendLease()
		}
	case protocol.EntryRequest:
		if body.Session == c.session {
			c.entryRequests.add(body)
			c.sendEntryRequests()
		}
	case protocol.DroppedEntries:
		if body.Session == c.session {
			c.sendToCore(body)
		}
	case protocol.Ack:
		if body.Session == c.session {
			c.onAck(body)
		}
	case protocol.Grant:
		c.onGrant(e, body)
	case protocol.NotOwner:
		c.pacer.noteAnswer(e.From, body.Seq)
		c.onNotOwner(body)
	case protocol.Updates:
		c.onUpdates(e, body)
	case protocol.RecoveryReply:
		c.rememberDesired(body.Value)
	case protocol.RecoveryQuery:
		c.send(e.Reply(c.o.Self, protocol.RecoveryReply{Round: body.Round, Value: c.newestDesired}))
	}
}

// acceptFromLeader reports whether a leader's message belongs to this session. A message from a leader with a higher
// term ends the session.
func (c *Core) acceptFromLeader(session protocol.Session, term ident.Term) bool {
	if session != c.session {
		return false
	}
	if c.term != 0 && term != c.term {
		if term > c.term {
			c.beginSession("message from a leader with a higher term")
		}
		return false
	}
	c.term, c.lastLeaderAnswer, c.fresh = term, c.now, false
	return true
}

func (c *Core) onGrant(e protocol.Envelope, grant protocol.Grant) {
	c.pacer.noteAnswer(e.From, grant.Seq)
	c.noteCoreAnswer()
	if !c.acceptFromLeader(grant.Session, grant.Term) {
		return
	}
	c.path, c.leaderAddr = corePath{to: e.From, via: e.RelayedBy}, e.From.Addr
	if grant.Length <= 0 {
		c.tally.Withheld++
		return
	}
	sentAt, ok := c.sentAt[grant.Seq]
	if !ok {
		return
	}
	c.pacer.trip.Observe(c.now.Sub(sentAt))
	for seq := range c.sentAt {
		if seq <= grant.Seq {
			delete(c.sentAt, seq)
		}
	}
	c.tally.Grants++
	c.routers = grant.Routers
	c.leaseEnd = max(c.leaseEnd, sentAt.Add(grant.Length))
	lease := c.currentLease()
	lease.Routers, lease.TokensInProgress, lease.TokenTimes = grant.Routers, grant.TokensInProgress, grant.TokenTimes
	c.sendToRouter(lease)
}

func (c *Core) onNotOwner(answer protocol.NotOwner) {
	if answer.SessionEnded || answer.Majority || answer.ConfigLease > 0 {
		c.noteCoreAnswer() // a node without a majority does not count as contact with the core
	} else {
		c.tally.Unvouched++
		c.contact.inconclusive++
	}
	if answer.Session != c.session {
		return
	}
	if len(answer.CoreNodes) > 0 {
		c.advertisedCores = answer.CoreNodes
	}
	c.extendConfigCurrent(answer)
	if answer.SessionEnded {
		c.beginSession("session unknown to the leader")
		return
	}
	if answer.OwnerHint.ID != "" && answer.OwnerHint.Addr != c.path.to.Addr {
		c.path = corePath{to: answer.OwnerHint, via: c.path.via}
		c.nextRenewal, c.pathChangedAt = c.now, c.now
	}
}

// extendConfigCurrent records a core node's confirmation that the router's configuration is current. Its validity
// starts when the request was sent.
func (c *Core) extendConfigCurrent(answer protocol.NotOwner) {
	sentAt, ok := c.sentAt[answer.Seq]
	if !ok || answer.ConfigLease <= 0 || answer.Gen > c.gen || answer.Gen == c.gen && answer.Epoch > c.epoch {
		return
	}
	c.leaving = answer.Leaving
	c.configCurrentUntil = max(c.configCurrentUntil, sentAt.Add(answer.ConfigLease))
	c.tally.Vouched++
	c.sendLease()
}

func (c *Core) onUpdates(e protocol.Envelope, updates protocol.Updates) {
	c.pacer.silent = 0
	c.noteCoreAnswer()
	if !c.acceptFromLeader(updates.Session, updates.Term) {
		c.forwardStaleConfig(updates)
		return
	}
	updates.Items = c.expandDeltas(updates.Items)
	for i, item := range updates.Items {
		c.rememberDesired(item.Desired)
		if updates.LateAck {
			continue
		}
		c.promptAckNum = max(c.promptAckNum, item.Num)
		if i == 0 {
			c.sentAckNum = min(c.sentAckNum, item.Num-1) // the leader has not received an earlier acknowledgement
		}
	}
	c.entryRequests.noteReceived(updates.Items)
	c.sendToRouter(updates)
	c.sendEntryRequests()
}

// expandDeltas returns the updates with each desired state whole. It cuts them off before a state whose base this agent lacks:
// the router must not acknowledge it, and the next renewal asks the leader to send it whole.
func (c *Core) expandDeltas(items []protocol.Update) []protocol.Update {
	for i, item := range items {
		if item.Delta == nil || item.Desired != nil {
			continue
		}
		base := c.newestDesired
		if !item.Delta.IsFor(base) {
			base = c.earlierDesired
		}
		whole, err := item.Delta.Apply(base)
		if err != nil {
			c.wantsWhole, c.nextRenewal = true, c.now
			c.tally.DeltasRefused++
			c.logEvent("difference of configurations not applied", protocol.Field{Name: "error", Value: err.Error()}, protocol.Field{Name: "base_epoch", Value: item.Delta.BaseEpoch}, protocol.Field{Name: "epoch", Value: c.epoch})
			return items[:i]
		}
		c.tally.DeltasApplied++
		items = slices.Clone(items)
		items[i].Desired, items[i].Delta = whole, nil
		c.rememberDesired(whole)
	}
	return items
}

// onAck passes the router's acknowledgement on if the leader waits for it. Otherwise the next renewal carries it.
func (c *Core) onAck(ack protocol.Ack) {
	c.ackedNum = max(c.ackedNum, ack.Num)
	if c.promptAckNum > c.sentAckNum {
		c.sentAckNum = ack.Num
		c.sendToCore(ack)
	}
}

// forwardStaleConfig forwards the configurations among updates whose session has ended, and drops the rest. A chosen
// configuration remains valid in any session, and a router to which delivery takes longer than a session lasts would
// otherwise never receive it.
func (c *Core) forwardStaleConfig(updates protocol.Updates) {
	updates.Items = c.expandDeltas(updates.Items)
	c.tally.StaleNews += uint64(len(updates.Items))
	var late protocol.Updates // carries no session
	for _, item := range updates.Items {
		if item.Desired == nil {
			continue
		}
		c.rememberDesired(item.Desired)
		late.Items = append(late.Items, protocol.Update{Desired: item.Desired})
		c.logEvent("configuration received after its session ended", protocol.Field{Name: "session", Value: updates.Session.Num}, protocol.Field{Name: "now", Value: c.session.Num},
			protocol.Field{Name: "its_epoch", Value: item.Desired.Epoch}, protocol.Field{Name: "epoch", Value: c.epoch})
	}
	if len(late.Items) > 0 {
		c.sendToRouter(late)
	}
}

// rememberDesired retains the newest desired state seen, for the recovery of a core that has lost all its disks.
func (c *Core) rememberDesired(d *protocol.Desired) {
	if d == nil {
		return
	}
	c.wantsWhole = false
	if d.Newer(c.newestDesired) {
		c.earlierDesired, c.newestDesired = c.newestDesired, d
	}
}

func (c *Core) tick() {
	if gap := c.stall.Observe(c.now); gap > 0 {
		c.tally.Stalls++
		c.logEvent("process stalled", protocol.Field{Name: "ms", Value: gap.Milliseconds()})
		c.contact.discardQuery() // answers that arrived during the stall may still be unread
	}
	c.send(c.members.Tick(c.now)...)
	if c.router == 0 {
		return
	}
	if c.leaseEnd != 0 && c.now > c.leaseEnd {
		c.beginSession("lease expired") // the router revalidates its state in the new session
	}
	c.sendEntryRequests()
	c.checkContact()
	if c.now < c.nextRenewal {
		return
	}
	if c.isLeaderLate() && c.now.Sub(c.pathChangedAt) > c.o.AnswerTimeout {
		c.switchPath()
	}
	if c.path.via.ID != "" && c.now.Sub(c.directTriedAt) > relayDuration {
		c.directTriedAt, c.path.via = c.now, protocol.Peer{} // retry the direct path, so that relaying lasts no longer than necessary
	}
	if c.holdsOff(c.path) {
		return
	}
	c.nextRenewal = c.now.Add(c.renewInterval())
	if c.isLeaderLate() {
		c.nextRenewal = c.now.Add(c.pauseWithoutLeader())
	}
	c.tally.Renews++
	renewal := c.renewal()
	c.pacer.noteSent(c.path, renewal.Seq, c.now)
	if !c.reportsLoad() {
		c.sendToCore(withoutLoad(renewal))
		return
	}
	c.loadReportedAt = c.now
	c.sendToCore(renewal)
	c.keyLoads, c.tokenTimes = outstanding(c.keyLoads), nil // a sent map is not modified afterwards
}

// renewInterval returns the time until the next renewal.
func (c *Core) renewInterval() clock.Span {
	bounded := clock.Span(c.routers) * clock.Span(time.Second) / maxFleetRenewals
	switch bounded = max(bounded, tripsPerRenewal*c.pacer.trip.Mean()); {
	case bounded > c.o.RenewInterval:
		return min(bounded, c.o.RenewInterval*maxRenewStretch)
	case !c.o.FastRenewal || c.routers == 0:
		return c.o.RenewInterval
	}
	return min(c.o.RenewInterval, max(c.o.RenewInterval*3/8, c.o.RenewInterval/60*clock.Span(c.routers)))
}

const (
	// maxFleetRenewals is how many renewals a second all routers together send while maxRenewStretch allows it.
	maxFleetRenewals = 500
	// tripsPerRenewal is how many round trips a renewal waits for at least, so that a leader that is behind is asked less often.
	tripsPerRenewal = 2
	// maxRenewStretch bounds how much longer than RenewInterval a renewal waits: a lease must outlast two of them.
	maxRenewStretch = 2
)

// mergeKeyLoads records the router's current load and adds the counts accumulated since the last renewal.
func (c *Core) mergeKeyLoads(reported map[ident.Key]protocol.KeyLoad) {
	merged := map[ident.Key]protocol.KeyLoad{}
	for key, load := range reported {
		load.Arrived, load.ServerSeconds = load.Arrived+c.keyLoads[key].Arrived, load.ServerSeconds+c.keyLoads[key].ServerSeconds
		merged[key] = load
	}
	for key, load := range c.keyLoads {
		if _, ok := merged[key]; !ok && load.Arrived > 0 {
			merged[key] = protocol.KeyLoad{Arrived: load.Arrived, ServerSeconds: load.ServerSeconds}
		}
	}
	c.keyLoads = merged
}

// mergeTokenTimes keeps the shortest observed time per token for each base until the next renewal.
func (c *Core) mergeTokenTimes(seen map[ident.Key]float64) {
	if c.tokenTimes == nil {
		c.tokenTimes = map[ident.Key]float64{}
	}
	for base, pace := range seen {
		if known, ok := c.tokenTimes[base]; !ok || pace < known {
			c.tokenTimes[base] = pace
		}
	}
}

// relayDuration is how long a relayed path is used before the direct path is retried.
const relayDuration = clock.Span(5e9)

// sentRetention is how long a renewal's send time is kept. A later answer grants no lease.
const sentRetention = clock.Span(5e9)

// renewal returns a lease renewal with a new sequence number.
func (c *Core) renewal() protocol.Renew {
	c.seq++
	c.sentAt[c.seq] = c.now
	for seq, sentAt := range c.sentAt {
		if c.now.Sub(sentAt) > sentRetention {
			delete(c.sentAt, seq)
		}
	}
	c.contact.noteRequest(c.now)
	return protocol.Renew{Session: c.session, Seq: c.seq, NewSession: c.fresh, Gen: c.gen, Epoch: c.epoch, AckedNum: c.ackedNum, KeyLoads: c.keyLoads, TokensInProgress: c.tokensInProgress, TokenTimes: c.tokenTimes, AppliesDeltas: !c.wantsWhole}
}

// withoutLoad returns a renewal that leaves the load that the router reported before as it is.
func withoutLoad(renewal protocol.Renew) protocol.Renew {
	renewal.KeyLoads, renewal.TokensInProgress, renewal.TokenTimes, renewal.LoadUnchanged = nil, nil, nil, true
	return renewal
}

// outstanding returns the waiting and running requests of a load report, without the counts of new arrivals.
func outstanding(burden map[ident.Key]protocol.KeyLoad) map[ident.Key]protocol.KeyLoad {
	result := map[ident.Key]protocol.KeyLoad{}
	for key, load := range burden {
		if load.Arrived, load.ServerSeconds = 0, 0; load.Waiting > 0 || load.Running > 0 {
			result[key] = load
		}
	}
	return result
}

// coreNodes lists all core nodes known to this agent.
func (c *Core) coreNodes() (nodes []protocol.Peer) {
	add := func(node protocol.Peer) {
		for _, known := range nodes {
			if known.Addr == node.Addr {
				return
			}
		}
		nodes = append(nodes, node)
	}
	for _, m := range c.members.Alive("controller") {
		add(m.Peer)
	}
	for _, node := range append(append([]protocol.Peer{}, c.advertisedCores...), c.o.Seeds...) {
		add(node)
	}
	return nodes
}

// switchPath selects the next path: each core node directly, then each through a peer.
func (c *Core) switchPath() {
	c.pathChangedAt = c.now
	c.tally.Turns++
	nodes := c.coreNodes()
	if len(nodes) == 0 {
		return
	}
	c.pathIndex++
	next := corePath{to: nodes[c.pathIndex%len(nodes)]}
	var peers []protocol.Peer
	for _, m := range c.members.Alive("agent") {
		if m.ID != c.o.Self.ID {
			peers = append(peers, m.Peer)
		}
	}
	// Passes over the core nodes alternate between direct paths and paths through a peer.
	if n := c.pathIndex / len(nodes); n%2 == 1 && len(peers) > 0 && next.to.ID != "" {
		next.via = peers[c.o.Rand.IntN(len(peers))]
	}
	c.path = next
}

// Session returns the current session.
func (c *Core) Session() protocol.Session { return c.session }

// Counts returns the event counters.
func (c *Core) Counts() Tally { return c.tally }

// HasLease reports whether the lease is valid at the given time.
func (c *Core) HasLease(now clock.Instant) bool { return now < c.leaseEnd }

// Members lists the members known to this agent.
func (c *Core) Members() []protocol.Member { return c.members.Members() }
