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
	Token     uint64
	Beacon    protocol.Announcement
	Reachable bool // a connection to the server's address has been established
}

// Announced answers Announce. OK is false if a departure is not yet known to the leader and to a majority, or if there is no
// room for the server.
type Announced struct {
	Token       uint64
	OK          bool
	IfReachable bool // there is room for the server if a connection to its address can be established
}

// enrolled is a core node's record of a server that has announced itself.
type enrolled struct {
	protocol.Announcement
	lastHeard      clock.Instant      // when the latest announcement arrived, directly or relayed
	onDisk         map[ident.Key]bool // models on the server's disk: true if certain, false if only held by an earlier start
	presumedGone   bool               // presumed gone because another start has its address
	announcedAgain clock.Instant      // first announcement after that assumption
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
	since         clock.Instant
	lastSent      clock.Instant
	announcements []protocol.Announcement
	knownBy       map[ident.Node]ident.Incarnation
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
func (c *Core) enrol(b protocol.Announcement) bool {
	if b.ID == "" || stateRank[b.State] == 0 && b.State != "live" {
		return false
	}
	e := c.enrolledServers[b.ID]
	if e == nil {
		if b.Addr == "" && b.State != "gone" {
			return false
		}
		e = &enrolled{Announcement: b, lastHeard: c.now, onDisk: map[ident.Key]bool{}}
		// If another start had this address, that start is gone, but its disk may be the same.
		for _, id := range generic.SortedKeys(c.enrolledServers) {
			other := c.enrolledServers[id]
			if b.Addr == "" || other.Addr != b.Addr || b.State == "gone" {
				continue
			}
			if other.Service == b.Service && other.Zone == b.Zone {
				for k := range other.onDisk {
					e.onDisk[k] = false
				}
			}
			c.presumeGone(other)
		}
		c.noteEnrolled(b)
		c.addEnrolled(e)
		c.recordHeld(e, b.ReadyKeys)
		c.applyEnrolled(e)
		return true
	}
	if b.State == "gone" {
		if e.State == "gone" && !e.presumedGone {
			return false
		}
		e.State, e.presumedGone, e.lastHeard = "gone", false, c.now
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
		holder := clock.Instant(0)
		for _, other := range c.enrolledServers {
			if other != e && other.Addr == b.Addr && other.State != "gone" {
				holder = max(holder, other.lastHeard)
			}
		}
		if c.now.Sub(e.announcedAgain) < relayInterval*5 || holder > e.announcedAgain {
			if holder > e.announcedAgain {
				e.announcedAgain = 0
			}
			return false
		}
		e.presumedGone, e.announcedAgain, e.State = false, 0, "live"
		for _, id := range generic.SortedKeys(c.enrolledServers) {
			if other := c.enrolledServers[id]; other != e && other.Addr == b.Addr {
				c.presumeGone(other)
			}
		}
	}
	if stateRank[b.State] < stateRank[e.State] {
		b.State = e.State
	}
	previous := e.Announcement
	e.Announcement, e.lastHeard = b, c.now
	c.recordHeld(e, b.ReadyKeys)
	if previous.State != b.State || previous.ListedServer != b.ListedServer {
		c.applyEnrolled(e)
	} else if s := c.servers[b.ID]; s != nil && s.unreachable && !s.silent(c) {
		c.markReachable(s)
	}
	return true
}

// noteEnrolled counts and logs a new server.
func (c *Core) noteEnrolled(b protocol.Announcement) {
	c.tally.Enrolments++
	c.logEvent("server enrolled", field("server", b.ID), field("address", b.Addr), field("state", b.State))
}

// presumeGone presumes that a server is gone because another start has its address.
func (c *Core) presumeGone(o *enrolled) {
	if o.State != "gone" {
		c.logEvent("server's address is now used by another start; the server is presumed gone", field("server", o.ID), field("address", o.Addr))
		o.State, o.presumedGone = "gone", true
		c.applyEnrolled(o)
	}
}

// silent reports whether an enrolled server has not announced itself for longer than allowed.
func (s *server) silent(c *Core) bool {
	e := c.enrolledServers[s.ID]
	return e != nil && c.now.Sub(e.lastHeard) > c.o.SilenceTimeout
}

// markReachable handles an announcement from a server that was unreachable.
func (c *Core) markReachable(s *server) {
	if s.plain {
		s.unreachable, s.failures = false, 0
		c.refreshEntriesOf(s)
		return
	}
	s.nextPoll = c.now // poll at once: the report lists what the server holds
}

// applyEnrolled copies the record of one server into the leader's view.
func (c *Core) applyEnrolled(e *enrolled) {
	c.sync.departuresChanged = true
	if !c.leadership.held || !c.o.Enrolled {
		return
	}
	s := c.servers[e.ID]
	if s == nil {
		if e.State == "gone" {
			return
		}
		s = newServer(e.ListedServer, c.now)
		c.addServer(s)
		c.applyService(s)
		c.refreshAllEntries()
		return
	}
	if s.ListedServer == e.ListedServer {
		return
	}
	if s.Addr != e.Addr {
		s.known = false
	}
	s.ListedServer = e.ListedServer
	c.applyService(s)
	c.refreshEntriesOf(s)
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
		s.slots = max(1, v.MaxRunning)
	}
	s.room, s.places, s.plain = v.WeightCapacity, v.AdapterCapacity, v.Plain
	for k, p := range s.replicas {
		p.size = c.sizeOf(k) // the server may have reported it before the plan with its size was known
	}
	if s.plain && !s.known {
		s.known, s.room = true, 0
		c.refreshEntriesOf(s)
	}
}

// onAnnounce handles an announcement that a server sent to this node.
func (c *Core) onAnnounce(a Announce) {
	b := a.Beacon
	c.tally.Beacons++
	if !c.began || c.stopping {
		c.out = append(c.out, Announced{Token: a.Token})
		return
	}
	known := c.enrolledServers[b.ID]
	b, room := c.limitAnnouncement(known, a)
	if room != hasRoom {
		c.tally.BeaconsRefused++
		c.out = append(c.out, Announced{Token: a.Token, IfReachable: room == roomIfReachable})
		return
	}
	first := known == nil || known.State != b.State
	if b.State == "gone" && known != nil {
		b.ListedServer, b.Count = known.ListedServer, known.Count
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
		c.out = append(c.out, Announced{Token: a.Token, OK: c.register.known == nil && !c.o.CoreExists || c.Ready()})
		return
	}
	// A repeated departure is acknowledged like the first one, because the first answer may have been lost.
	c.tally.Leaves++
	c.lastAckID++
	e := c.enrolledServers[b.ID]
	if e == nil {
		c.out = append(c.out, Announced{Token: a.Token, OK: true}) // an unknown server: it was never offered
		return
	}
	departure := &leaving{token: a.Token, since: c.now, announcements: []protocol.Announcement{e.Announcement}, knownBy: map[ident.Node]ident.Incarnation{}}
	ackID := c.lastAckID
	c.acks[ackID] = departure
	departure.ownerKnows = c.holdsLease()
	c.sendLeaving(ackID, departure)
	c.persistLeavings(func() {
		if c.acks[ackID] == departure {
			departure.knownBy[c.o.Self.ID] = c.acceptor.inc
			c.tryAcknowledge(ackID, departure)
		}
	})
}

// persistLeavings writes the servers that leave or are gone to disk before calling then, which may acknowledge them.
func (c *Core) persistLeavings(then func()) {
	encoded := marshal(c.departures())
	if string(encoded) == string(c.leavings) {
		then()
		return
	}
	c.save(map[string][]byte{keyDepartures: encoded}, func() {
		c.leavings = encoded
		then()
	})
}

// restoreLeavings restores the departing servers that were stored on disk.
func (c *Core) restoreLeavings(announcements []protocol.Announcement) {
	for _, b := range announcements {
		if b.ID != "" {
			c.addEnrolled(&enrolled{Announcement: b, lastHeard: c.now, onDisk: map[ident.Key]bool{}})
		}
	}
}

// sendLeaving sends a departure to the other core nodes.
func (c *Core) sendLeaving(ackID uint64, departure *leaving) {
	departure.lastSent = c.now
	for _, peer := range c.others() {
		c.send(peer, protocol.Announcements{AckID: ackID, Announcements: departure.announcements})
	}
}

// others lists the other core nodes: voters and live members.
func (c *Core) others() (nodes []protocol.Peer) {
	byID := map[ident.Node]protocol.Peer{}
	if value := c.latest(); value != nil {
		for _, p := range voterset.Peers(*value) {
			byID[p.ID] = p
		}
	}
	for _, m := range c.members.Alive("controller") {
		byID[m.ID] = m.Peer
	}
	for _, id := range generic.SortedKeys(byID) {
		if id != c.o.Self.ID {
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
		c.logEvent(text, field("server", b.ID), field("state", b.State), field("owner_knows", departure.ownerKnows),
			field("known_at", generic.SortedKeys(departure.knownBy)), field("took_ms", c.now.Sub(departure.since).Milliseconds()))
	}
}

// onAnnouncements handles announcements that another core node relays.
func (c *Core) onAnnouncements(e protocol.Envelope) {
	b := e.Body.(protocol.Announcements)
	for _, beacon := range b.Announcements {
		c.enrol(beacon)
	}
	if b.AckID != 0 && !c.stopping {
		c.persistLeavings(func() {
			c.reply(e, protocol.AnnouncementsAck{AckID: b.AckID, Incarnation: c.acceptor.inc, OwnerConfirmed: c.holdsLease()})
		})
	}
}

// onAnnouncementsAck handles another node's confirmation that it has stored a departure.
func (c *Core) onAnnouncementsAck(e protocol.Envelope) {
	b := e.Body.(protocol.AnnouncementsAck)
	departure := c.acks[b.AckID]
	if departure == nil {
		return
	}
	if b.Incarnation != 0 {
		departure.knownBy[e.From.ID] = b.Incarnation
	}
	departure.ownerKnows = departure.ownerKnows || b.OwnerConfirmed
	c.tryAcknowledge(b.AckID, departure)
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
		c.send(peer, protocol.Announcements{Announcements: announcements})
	}
}

// updateRegistry runs the periodic work of the registry: it relays announcements, gives up on departures that too few
// nodes confirmed, requests missing registries, and has the leader check on silent servers.
func (c *Core) updateRegistry() {
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
			departure.ownerKnows = departure.ownerKnows || c.holdsLease()
			c.sendLeaving(ackID, departure)
			c.tryAcknowledge(ackID, departure)
		}
	}
	c.expireServers()
	c.tally.DeparturesIncomplete = 0
	if !c.departuresComplete {
		c.tally.DeparturesIncomplete = 1
		c.finishRecovery()
		c.requestRegistries()
	}
	if !c.holdsLease() {
		return
	}
	if !c.registryComplete() && c.now.Sub(c.lastRegistryQuery) > leaveResendInterval {
		c.lastRegistryQuery = c.now
		for _, peer := range c.others() {
			c.send(peer, protocol.RegistryQuery{Term: c.leadership.term, AskerIncarnation: c.o.Inc})
		}
	}
	for _, s := range c.serverIndex.sorted {
		if !s.unreachable && !s.polling && s.State != "gone" && s.silent(c) && c.now.Sub(s.lastContact) > c.o.ReportInterval {
			c.checkAlive(s)
		}
	}
}

// goneAfterSilences is the number of silence intervals after which a server is presumed gone.
const goneAfterSilences = 8

// expireServers presumes that servers are gone after a long silence, and removes those that have been gone for a while.
func (c *Core) expireServers() {
	var expired []ident.Server
	for id, e := range c.enrolledServers {
		if c.now.Sub(e.lastHeard) > c.retention(e.State) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		if e := c.enrolledServers[id]; e.State != "gone" {
			e.State = "gone"
			c.applyEnrolled(e)
		}
		c.sync.departuresChanged = true
		c.removeEnrolled(id) // a later announcement enrols the server again
	}
}

// checkAlive polls a silent server, because its announcements may reach a core node that is disconnected from this one.
// Only a server that doesn't answer either is marked unreachable.
func (c *Core) checkAlive(s *server) {
	if !s.plain {
		c.requestReport(s)
		return
	}
	s.polling, s.lastContact = true, c.now
	duty := c.leadership.term
	c.askServer(s, c.plan.Services[s.Service].Probe, protocol.Order{Key: ident.ServiceKey(s.Service)}, func(t protocol.HTTPResult) {
		if !c.leadership.held || c.leadership.term != duty || c.servers[s.ID] != s {
			return
		}
		s.polling = false
		if t.OK && c.answeredByOther(s, t) {
			return
		}
		if t.OK {
			c.noteAnswer(s)
			return
		}
		if s.failures++; s.failures > 1 && !s.unreachable {
			s.unreachable = true
			c.logEvent("server is silent and does not answer", field("server", s.ID))
			c.refreshEntriesOf(s)
		}
	})
}

// noteAnswer records that a server has answered this leader, which counts like an announcement.
func (c *Core) noteAnswer(s *server) {
	if e := c.enrolledServers[s.ID]; e != nil {
		e.lastHeard = c.now
	}
	if s.plain {
		s.failures = 0
	}
}

// rebuildServers rebuilds the leader's view from the registry and, for servers that are unknown to this node in its
// present incarnation, from the previous leader's last list. A listed server whose address an enrolled server has is
// skipped: it is gone and was already removed here, or will announce itself soon. The other listed servers count as
// silent from the start, so that they are polled at once: the start of a new term says nothing about whether they are
// reachable.
func (c *Core) rebuildServers() {
	taken := map[string]bool{}
	for _, e := range c.enrolledServers {
		taken[e.Addr] = taken[e.Addr] || e.State != "gone"
	}
	for _, x := range c.list.List {
		if c.enrolledServers[x.ID] == nil && x.State != "gone" && !taken[x.Addr] {
			c.addEnrolled(&enrolled{Announcement: protocol.Announcement{ListedServer: x}, lastHeard: c.now.Add(-c.o.SilenceTimeout - 1), onDisk: map[ident.Key]bool{}})
		}
	}
	for _, id := range generic.SortedKeys(c.enrolledServers) {
		c.applyEnrolled(c.enrolledServers[id])
	}
	c.lastListRequest = c.now
}

// leavingServers lists the servers that this node knows to be leaving or gone.
func (c *Core) leavingServers() (servers []ident.Server) {
	for id, e := range c.enrolledServers {
		if e.State != "live" {
			servers = append(servers, id)
		}
	}
	slices.Sort(servers)
	return servers
}

// mayHaveOnDisk reports whether a server probably has a model on its own disk.
func (c *Core) mayHaveOnDisk(s *server, k ident.Key) bool {
	_, ok := c.disks[k][s.ID]
	return ok
}

// hasOnDisk reports whether a server certainly has a model on its own disk.
func (c *Core) hasOnDisk(s *server, k ident.Key) bool {
	return c.disks[k][s.ID]
}

// onRegistryQuery sends this node's registry.
func (c *Core) onRegistryQuery(e protocol.Envelope) {
	request := e.Body.(protocol.RegistryQuery)
	if request.DeparturesOnly {
		c.replyDepartures(e, request)
		return
	}
	var announcements []protocol.Announcement
	for _, id := range generic.SortedKeys(c.enrolledServers) {
		if record := c.enrolledServers[id]; !record.presumedGone {
			announcements = append(announcements, record.Announcement)
		}
	}
	c.reply(e, protocol.RegistryReply{Term: request.Term, AskerIncarnation: request.AskerIncarnation, Incarnation: c.acceptor.inc, Partial: !c.departuresComplete, Announcements: announcements})
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
		c.send(peer, protocol.RegistryQuery{AskerIncarnation: c.o.Inc})
	}
}

// finishRecovery marks this node's registry as complete once it has merged a majority's registries and stored them on
// disk. A voter of the core's first set has lost nothing.
func (c *Core) finishRecovery() {
	if c.recoveryStored || c.register.known == nil || !voterset.Majority(*c.register.known, c.recovered) && !c.isFoundingVoter() {
		return
	}
	c.recoveryStored = true
	c.persistLeavings(func() { c.save(map[string][]byte{keyRecovering: marshal(false)}, c.completeRecovery) })
}

// completeRecovery marks this node's registry as complete, after the disk says so too.
func (c *Core) completeRecovery() {
	if c.departuresComplete {
		return
	}
	c.departuresComplete = true
	c.registriesReceived[c.o.Self.ID] = c.acceptor.inc
	c.logRegistryState("departures recovered", field("from", generic.SortedKeys(c.recovered)))
}

// logRegistryState logs an event with how far this node's registry can be relied on.
func (c *Core) logRegistryState(text string, fields ...protocol.Field) {
	c.logEvent(text, append(fields, field("incarnation", c.acceptor.inc), field("departures_complete", c.departuresComplete),
		field("departures", c.leavingServers()), field("listed", len(c.list.List)))...)
}

// registryComplete reports whether the leader has merged the registries of a majority, which contain every acknowledged
// departure.
func (c *Core) registryComplete() bool {
	return !c.o.Enrolled || c.register.known != nil && voterset.Majority(*c.register.known, c.registriesReceived)
}

// onRegistryReply merges another node's registry.
func (c *Core) onRegistryReply(e protocol.Envelope) {
	b := e.Body.(protocol.RegistryReply)
	if b.DeparturesOnly {
		if b.AskerIncarnation == c.o.Inc {
			c.mergeDepartures(e.From.ID, b)
		}
		return
	}
	for _, beacon := range b.Announcements {
		c.enrol(beacon)
	}
	if b.Partial || b.AskerIncarnation != c.o.Inc {
		return // may lack departures that were acknowledged since
	}
	if !c.departuresComplete {
		c.recovered[e.From.ID] = b.Incarnation
		c.finishRecovery()
	}
	if !c.leadership.held || b.Term != c.leadership.term {
		return
	}
	wasComplete := c.registryComplete()
	c.registriesReceived[e.From.ID] = b.Incarnation
	if !wasComplete && c.registryComplete() {
		c.logRegistryState("registries of a majority received", field("from", generic.SortedKeys(c.registriesReceived)))
		c.refreshAllEntries()
	}
}
