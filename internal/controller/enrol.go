package controller

import (
	"slices"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// Announce passes a server's announcement to a core node.
type Announce struct {
	Token  uint64
	Beacon protocol.Beacon
}

// Announced answers Announce. OK is false if a departure is not yet known to the leader and to a majority.
type Announced struct {
	Token uint64
	OK    bool
}

// enrolled is a core node's record of a server that has announced itself.
type enrolled struct {
	protocol.Beacon
	heard          clock.Tick         // when the latest announcement arrived, directly or relayed
	had            map[ident.Key]bool // models on the server's disk: true if certain, false if only held by an earlier start
	presumedGone   bool               // presumed gone because another start has its address
	announcedAgain clock.Tick         // first announcement after that assumption
}

// recordHeld adds the models that a server reports to hold to those known to be on its disk.
func (c *Core) recordHeld(e *enrolled, held []ident.Key) {
	for _, k := range held {
		c.noteOnDisk(e, k, true)
	}
}

// leaving is an announcement that a server leaves or is gone, and that has not been acknowledged yet. Before that, the
// leader must have broken every callback on the server, and a majority of the core must know, or the next leader might
// not know.
type leaving struct {
	token         uint64
	since         clock.Tick
	lastSent      clock.Tick
	announcements []protocol.Beacon
	knownBy       map[ident.Node]ident.Inc
	ownerKnows    bool
}

// stateRank orders the states of a server's life; a server never returns to an earlier state.
var stateRank = map[string]int{"live": 0, "leaving": 1, "gone": 2}

const (
	relayInterval          = 100e6
	goneEnrolmentRetention = 60e9 // how long gone servers stay on record, in case an announcement is delayed
	leaveTimeout           = 900e6
	leaveResendInterval    = 200e6
)

// enrol processes a server's announcement, which may be delayed, and reports whether it contains anything new.
func (c *Core) enrol(b protocol.Beacon) bool {
	if b.ID == "" || stateRank[b.State] == 0 && b.State != "live" {
		return false
	}
	e := c.roll[b.ID]
	if e == nil {
		if b.Addr == "" && b.State != "gone" {
			return false
		}
		e = &enrolled{Beacon: b, heard: c.now, had: map[ident.Key]bool{}}
		// If another start had this address, that start is gone, but its disk may be the same.
		for _, id := range generic.SortedKeys(c.roll) {
			other := c.roll[id]
			if b.Addr == "" || other.Addr != b.Addr || b.State == "gone" {
				continue
			}
			if other.Service == b.Service && other.Zone == b.Zone {
				for k := range other.had {
					e.had[k] = false
				}
			}
			c.retire(other)
		}
		c.noteEnrolled(b)
		c.enlist(e)
		c.recordHeld(e, b.Held)
		c.applyEnrolled(e)
		return true
	}
	if b.State == "gone" {
		if e.State == "gone" && !e.presumedGone {
			return false
		}
		e.State, e.presumedGone, e.heard = "gone", false, c.now
		c.applyEnrolled(e)
		return true
	}
	if b.Count <= e.Count || e.State == "gone" && !e.presumedGone {
		return false
	}
	if e.presumedGone {
		// The announcement may be delayed. A present server keeps announcing itself while the other start is silent.
		e.Count = b.Count
		if e.announcedAgain == 0 {
			e.announcedAgain = c.now
		}
		holder := clock.Tick(0)
		for _, other := range c.roll {
			if other != e && other.Addr == b.Addr && other.State != "gone" {
				holder = max(holder, other.heard)
			}
		}
		if c.now.Sub(e.announcedAgain) < relayInterval*5 || holder > e.announcedAgain {
			if holder > e.announcedAgain {
				e.announcedAgain = 0
			}
			return false
		}
		e.presumedGone, e.announcedAgain, e.State = false, 0, "live"
		for _, id := range generic.SortedKeys(c.roll) {
			if other := c.roll[id]; other != e && other.Addr == b.Addr {
				c.retire(other)
			}
		}
	}
	if stateRank[b.State] < stateRank[e.State] {
		b.State = e.State
	}
	previous := e.Beacon
	e.Beacon, e.heard = b, c.now
	c.recordHeld(e, b.Held)
	if previous.State != b.State || previous.Listed != b.Listed {
		c.applyEnrolled(e)
	} else if s := c.servers[b.ID]; s != nil && s.dark && !s.silent(c) {
		c.markReachable(s)
	}
	return true
}

// noteEnrolled counts and logs a new server.
func (c *Core) noteEnrolled(b protocol.Beacon) {
	c.tally.Enrolments++
	c.note("server enrolled", field("server", b.ID), field("address", b.Addr), field("state", b.State))
}

// presumeGone presumes that a server is gone because another start has its address.
func (c *Core) retire(o *enrolled) {
	if o.State != "gone" {
		c.note("server's address is now used by another start; the server is presumed gone", field("server", o.ID), field("address", o.Addr))
		o.State, o.presumedGone = "gone", true
		c.applyEnrolled(o)
	}
}

// silent reports whether an enrolled server has not announced itself for longer than allowed.
func (s *server) silent(c *Core) bool {
	e := c.roll[s.ID]
	return e != nil && c.now.Sub(e.heard) > c.o.Silence
}

// markReachable handles an announcement from a server that was unreachable.
func (c *Core) markReachable(s *server) {
	if s.plain {
		s.dark, s.fails = false, 0
		c.touchOn(s)
		return
	}
	s.next = c.now // poll at once: the report lists what the server holds
}

// applyEnrolled copies the record of one server into the leader's view.
func (c *Core) applyEnrolled(e *enrolled) {
	if !c.duty.mine || !c.o.Enrolled {
		return
	}
	s := c.servers[e.ID]
	if s == nil {
		if e.State == "gone" {
			return
		}
		s = newServer(e.Listed, c.now)
		c.addServer(s)
		c.applyService(s)
		c.touchAll()
		return
	}
	if s.Listed == e.Listed {
		return
	}
	if s.Addr != e.Addr {
		s.known = false
	}
	s.Listed = e.Listed
	c.applyService(s)
	c.touchOn(s)
}

// applyService sets a server's properties from its announcement and from its service in the plan.
func (c *Core) applyService(s *server) {
	if !c.o.Enrolled || c.plan == nil {
		return
	}
	v, ok := c.plan.Services[s.Service]
	if !ok {
		return
	}
	if s.slots = s.Slots; s.slots <= 0 {
		s.slots = max(1, v.Slots)
	}
	s.room, s.places, s.plain = v.Room, v.Places, v.Plain
	for k, p := range s.replicas {
		p.size = c.sizeOf(k) // the server may have reported it before the plan with its size was known
	}
	if s.plain && !s.known {
		s.known, s.room = true, 0
		c.touchOn(s)
	}
}

// onAnnounce handles an announcement that a server sent to this node.
func (c *Core) onAnnounce(a Announce) {
	b := a.Beacon
	c.tally.Beacons++
	if !c.began || c.ending {
		c.out = append(c.out, Announced{Token: a.Token})
		return
	}
	known := c.roll[b.ID]
	first := known == nil || known.State != b.State
	if b.State == "gone" && known != nil {
		b.Listed, b.Count = known.Listed, known.Count
		b.State = "gone"
	}
	if c.enrol(b) {
		c.unrelayed = append(c.unrelayed, b)
	}
	if b.State == "live" {
		if first {
			c.relayAnnouncements()
		}
		// A node without contact to the core answers not OK, so that the server tries another node.
		c.out = append(c.out, Announced{Token: a.Token, OK: c.reg.known == nil && !c.o.Joined || c.Ready()})
		return
	}
	// A repeated departure is acknowledged like the first one, because the first answer may have been lost.
	c.tally.Leaves++
	c.lastAckID++
	e := c.roll[b.ID]
	if e == nil {
		c.out = append(c.out, Announced{Token: a.Token, OK: true}) // an unknown server: it was never offered
		return
	}
	departure := &leaving{token: a.Token, since: c.now, announcements: []protocol.Beacon{e.Beacon}, knownBy: map[ident.Node]ident.Inc{}}
	ackID := c.lastAckID
	c.acks[ackID] = departure
	departure.ownerKnows = c.rules()
	c.sendLeaving(ackID, departure)
	c.persistLeavings(func() {
		if c.acks[ackID] == departure {
			departure.knownBy[c.o.Me.ID] = c.vote.inc
			c.tryAcknowledge(ackID, departure)
		}
	})
}

// persistLeavings writes the servers that leave or are gone to disk before calling then, which may acknowledge them.
func (c *Core) persistLeavings(then func()) {
	var departing []protocol.Beacon
	for _, id := range generic.SortedKeys(c.roll) {
		if e := c.roll[id]; e.State != "live" && !e.presumedGone {
			departing = append(departing, e.Beacon)
		}
	}
	encoded := jot(departing)
	if string(encoded) == string(c.leavings) {
		then()
		return
	}
	c.save(map[string][]byte{diskR: encoded}, func() {
		c.leavings = encoded
		then()
	})
}

// restoreLeavings restores the departing servers that were stored on disk.
func (c *Core) recall(announcements []protocol.Beacon) {
	for _, b := range announcements {
		if b.ID != "" {
			c.enlist(&enrolled{Beacon: b, heard: c.now, had: map[ident.Key]bool{}})
		}
	}
}

// sendLeaving sends a departure to the other core nodes.
func (c *Core) sendLeaving(ackID uint64, departure *leaving) {
	departure.lastSent = c.now
	for _, peer := range c.others() {
		c.send(peer, protocol.Beacons{Mark: ackID, List: departure.announcements})
	}
}

// others lists the other core nodes: voters and live members.
func (c *Core) others() (nodes []protocol.Sibling) {
	byID := map[ident.Node]protocol.Sibling{}
	if value := c.latest(); value != nil {
		for _, p := range voterset.Addresses(*value) {
			byID[p.ID] = p
		}
	}
	for _, m := range c.mates.Alive("controller") {
		byID[m.ID] = m.Sibling
	}
	for _, id := range generic.SortedKeys(byID) {
		if id != c.o.Me.ID {
			nodes = append(nodes, byID[id])
		}
	}
	return nodes
}

// tryAcknowledge acknowledges a departure once the leader and a majority know of it.
func (c *Core) tryAcknowledge(ackID uint64, departure *leaving) {
	value := c.latest()
	if !departure.ownerKnows || value == nil || !voterset.Majority(*value, departure.knownBy) {
		return
	}
	delete(c.acks, ackID)
	c.checkLeaving(departure)
	c.noteLeaving("leaving acknowledged", departure)
	c.out = append(c.out, Announced{Token: departure.token, OK: true})
}

// noteLeaving logs the outcome of a departure.
func (c *Core) noteLeaving(text string, departure *leaving) {
	for _, b := range departure.announcements {
		c.note(text, field("server", b.ID), field("state", b.State), field("owner_knows", departure.ownerKnows),
			field("known_at", generic.SortedKeys(departure.knownBy)), field("took_ms", c.now.Sub(departure.since).Milliseconds()))
	}
}

// onAnnouncements handles announcements that another core node relays.
func (c *Core) onAnnouncements(e protocol.Env) {
	b := e.Body.(protocol.Beacons)
	for _, beacon := range b.List {
		c.enrol(beacon)
	}
	if b.Mark != 0 && !c.ending {
		c.persistLeavings(func() { c.reply(e, protocol.BeaconsHeard{Mark: b.Mark, Inc: c.vote.inc, Ruled: c.rules()}) })
	}
}

// onAnnouncementsAck handles another node's confirmation that it has stored a departure.
func (c *Core) onAnnouncementsAck(e protocol.Env) {
	b := e.Body.(protocol.BeaconsHeard)
	departure := c.acks[b.Mark]
	if departure == nil {
		return
	}
	if b.Inc != 0 {
		departure.knownBy[e.From.ID] = b.Inc
	}
	departure.ownerKnows = departure.ownerKnows || b.Ruled
	c.tryAcknowledge(b.Mark, departure)
}

// relayAnnouncements sends the announcements that this node has received to the other core nodes.
func (c *Core) relayAnnouncements() {
	c.lastRelay = c.now
	if len(c.unrelayed) == 0 {
		return
	}
	announcements := c.unrelayed
	c.unrelayed = nil
	for _, peer := range c.others() {
		c.send(peer, protocol.Beacons{List: announcements})
	}
}

// updateRegistry runs the periodic work of the registry: it relays announcements, gives up on departures that too few
// nodes confirmed, requests missing registries, and has the leader check on silent servers.
func (c *Core) beatRoll() {
	if !c.o.Enrolled {
		return
	}
	if c.now.Sub(c.lastRelay) > relayInterval {
		c.relayAnnouncements()
	}
	for _, ackID := range generic.SortedKeys(c.acks) {
		departure := c.acks[ackID]
		switch {
		case c.now.Sub(departure.since) > leaveTimeout:
			delete(c.acks, ackID)
			c.tally.LeavesUnheard++
			c.noteLeaving("leaving not acknowledged: too few core nodes know of it", departure)
			c.out = append(c.out, Announced{Token: departure.token})
		case c.now.Sub(departure.lastSent) > leaveResendInterval:
			departure.ownerKnows = departure.ownerKnows || c.rules()
			c.sendLeaving(ackID, departure)
			c.tryAcknowledge(ackID, departure)
		}
	}
	c.expireServers()
	if !c.rollWhole {
		c.requestRegistries()
	}
	if !c.rules() {
		return
	}
	if !c.registryComplete() && c.now.Sub(c.lastRegistryQuery) > leaveResendInterval {
		c.lastRegistryQuery = c.now
		for _, peer := range c.others() {
			c.send(peer, protocol.RollCall{Duty: c.duty.num, Life: c.o.Inc})
		}
	}
	for _, s := range c.fleet.ordered {
		if !s.dark && !s.asking && s.State != "gone" && s.silent(c) && c.now.Sub(s.asked) > c.o.Poll {
			c.inquire(s)
		}
	}
}

// goneAfterSilences is the number of silence intervals after which a server is presumed gone.
const goneAfterSilences = 8

// expireServers presumes that servers are gone after a long silence, and removes those that have been gone for a while.
func (c *Core) expireServers() {
	var expired []ident.Server
	for id, e := range c.roll {
		if silence := c.now.Sub(e.heard); e.State == "gone" && silence > goneEnrolmentRetention || e.State != "gone" && silence > goneAfterSilences*c.o.Silence {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		if e := c.roll[id]; e.State != "gone" {
			e.State = "gone"
			c.applyEnrolled(e)
		}
		c.delist(id) // a later announcement enrols the server again
	}
}

// checkAlive polls a silent server, because its announcements may reach a core node that is disconnected from this one.
// Only a server that doesn't answer either is marked unreachable.
func (c *Core) inquire(s *server) {
	if !s.plain {
		c.survey(s)
		return
	}
	s.asking, s.asked = true, c.now
	duty := c.duty.num
	c.askServer(s, c.plan.Services[s.Service].Probe, protocol.Order{Key: ident.ServiceKey(s.Service)}, func(t protocol.Told) {
		if !c.duty.mine || c.duty.num != duty || c.servers[s.ID] != s {
			return
		}
		s.asking = false
		if t.OK && c.elsewhere(s, t) {
			return
		}
		if t.OK {
			c.spoke(s)
			return
		}
		if s.fails++; s.fails > 1 && !s.dark {
			s.dark = true
			c.note("server is silent and does not answer", field("server", s.ID))
			c.touchOn(s)
		}
	})
}

// noteAnswer records that a server has answered this leader, which counts like an announcement.
func (c *Core) spoke(s *server) {
	if e := c.roll[s.ID]; e != nil {
		e.heard = c.now
	}
	if s.plain {
		s.fails = 0
	}
}

// rebuildServers rebuilds the leader's view from the registry and, for servers that are unknown to this node in its
// present incarnation, from the previous leader's last list. A listed server whose address an enrolled server has is
// skipped: it is gone and was already removed here, or will announce itself soon. The other listed servers count as
// silent from the start, so that they are polled at once: the start of a new term says nothing about whether they are
// reachable.
func (c *Core) callRoll() {
	taken := map[string]bool{}
	for _, e := range c.roll {
		taken[e.Addr] = taken[e.Addr] || e.State != "gone"
	}
	for _, x := range c.list.List {
		if c.roll[x.ID] == nil && x.State != "gone" && !taken[x.Addr] {
			c.enlist(&enrolled{Beacon: protocol.Beacon{Listed: x}, heard: c.now.Add(-c.o.Silence - 1), had: map[ident.Key]bool{}})
		}
	}
	for _, id := range generic.SortedKeys(c.roll) {
		c.applyEnrolled(c.roll[id])
	}
	c.listed = c.now
}

// leavingServers lists the servers that this node knows to be leaving or gone.
func (c *Core) knownToLeave() (servers []ident.Server) {
	for id, e := range c.roll {
		if e.State != "live" {
			servers = append(servers, id)
		}
	}
	slices.Sort(servers)
	return servers
}

// mayHaveOnDisk reports whether a server probably has a model on its own disk.
func (c *Core) has(s *server, k ident.Key) bool {
	_, ok := c.disks[k][s.ID]
	return ok
}

// hasOnDisk reports whether a server certainly has a model on its own disk.
func (c *Core) sure(s *server, k ident.Key) bool {
	return c.disks[k][s.ID]
}

// onRegistryQuery sends this node's registry.
func (c *Core) onRegistryQuery(e protocol.Env) {
	var announcements []protocol.Beacon
	for _, id := range generic.SortedKeys(c.roll) {
		if record := c.roll[id]; !record.presumedGone {
			announcements = append(announcements, record.Beacon)
		}
	}
	request := e.Body.(protocol.RollCall)
	c.reply(e, protocol.Roll{Duty: request.Duty, Life: request.Life, Inc: c.vote.inc, Partial: !c.rollWhole, List: announcements})
}

// requestRegistries asks the other nodes for their registries. It runs at a node with a new disk, which has lost the
// departures that it once acknowledged. Its own registry must not count towards a majority until it has received a
// majority.
func (c *Core) requestRegistries() {
	if c.now.Sub(c.lastRegistryQuery) <= leaveResendInterval {
		return
	}
	c.lastRegistryQuery = c.now
	for _, peer := range c.others() {
		c.send(peer, protocol.RollCall{Life: c.o.Inc})
	}
}

// finishRecovery marks this node's registry as complete once it has merged a majority's registries and stored them on
// disk.
func (c *Core) finishRecovery() {
	if c.reg.known == nil || !voterset.Majority(*c.reg.known, c.recovered) {
		return
	}
	c.persistLeavings(func() {
		c.rollWhole = true
		c.registriesReceived[c.o.Me.ID] = c.vote.inc
	})
}

// registryComplete reports whether the leader has merged the registries of a majority, which contain every acknowledged
// departure.
func (c *Core) registryComplete() bool {
	return !c.o.Enrolled || c.reg.known != nil && voterset.Majority(*c.reg.known, c.registriesReceived)
}

// onRegistryReply merges another node's registry.
func (c *Core) onRegistryReply(e protocol.Env) {
	b := e.Body.(protocol.Roll)
	for _, beacon := range b.List {
		c.enrol(beacon)
	}
	if b.Partial || b.Life != c.o.Inc {
		return // may lack departures that were acknowledged since
	}
	if !c.rollWhole {
		c.recovered[e.From.ID] = b.Inc
		c.finishRecovery()
	}
	if !c.duty.mine || b.Duty != c.duty.num {
		return
	}
	wasComplete := c.registryComplete()
	c.registriesReceived[e.From.ID] = b.Inc
	if !wasComplete && c.registryComplete() {
		c.touchAll()
	}
}
