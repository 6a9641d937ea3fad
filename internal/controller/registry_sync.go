package controller

import (
	"github.com/cespare/xxhash/v2"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Core nodes bring each other up to date on departures and on the server list. Every answer to a majority read carries a
// digest of both. A node that sees another's departures differ asks for them, and the leader sends its list to a node that
// has another one. While nothing differs, that costs two numbers an answer, whatever the size of the fleet.

const (
	// syncInterval is the shortest time between two transfers with one node.
	syncInterval = clock.Span(leaveResendInterval)
	// listSettleTime is how long a list must be unchanged before it is sent again: the first copy may be under way.
	listSettleTime = clock.Span(1e9)
	// adoptionMargin is how long before it would be forgotten a departure is no longer learned from others. Nodes forget it
	// at slightly different times, and must not teach it to each other again and again.
	adoptionMargin = clock.Span(10e9)
)

// registrySync is the state of the synchronization with other core nodes.
type registrySync struct {
	departuresChanged bool   // since departuresDigest was computed
	departuresDigest  uint64 // digest of the departures that this node knows
	listDigest        uint64 // digest of the last server list
	requests          map[ident.Node]departuresRequest
	listSentAt        map[ident.Node]clock.Instant
}

// departuresRequest is the last request for a node's departures, with the digests of both sides.
type departuresRequest struct {
	at           clock.Instant
	mine, theirs uint64
	answered     bool
}

func newRegistrySync() registrySync {
	return registrySync{departuresChanged: true, requests: map[ident.Node]departuresRequest{}, listSentAt: map[ident.Node]clock.Instant{}}
}

// isDeparture reports whether a server is known to be leaving or gone, and not only presumed to be.
func (e *enrolled) isDeparture() bool { return e.State != "live" && !e.presumedGone }

// departures lists the departures that this node knows, ordered by server.
func (c *Core) departures() (departing []protocol.Announcement) {
	for _, id := range generic.SortedKeys(c.enrolledServers) {
		if e := c.enrolledServers[id]; e.isDeparture() {
			departing = append(departing, e.Announcement)
		}
	}
	return departing
}

// departuresDigest returns a digest of the departures that this node knows.
func (c *Core) departuresDigest() uint64 {
	if c.sync.departuresChanged {
		digest := xxhash.New()
		for _, b := range c.departures() {
			_, _ = digest.WriteString(string(b.ID) + "\x00" + b.State + "\x00")
		}
		c.sync.departuresDigest, c.sync.departuresChanged = digest.Sum64(), false
	}
	return c.sync.departuresDigest
}

// compareRegistries compares this node's departures and server list with the digests in another node's answer.
func (c *Core) compareRegistries(from protocol.Peer, s protocol.State) {
	if !c.o.Enrolled || from.ID == c.o.Self.ID || s.DeparturesDigest == 0 {
		return
	}
	c.requestDepartures(from, s.DeparturesDigest)
	if c.holdsLease() && s.ListDigest != c.sync.listDigest {
		c.resendList(from)
	}
}

// requestDepartures asks a node for its departures if they differ, unless it has answered the same request before.
func (c *Core) requestDepartures(from protocol.Peer, theirs uint64) {
	mine, last := c.departuresDigest(), c.sync.requests[from.ID]
	isRepeat := last.answered && last.mine == mine && last.theirs == theirs
	if theirs == mine || isRepeat || c.now.Sub(last.at) <= syncInterval {
		return
	}
	c.sync.requests[from.ID] = departuresRequest{at: c.now, mine: mine, theirs: theirs}
	c.send(from, protocol.RegistryQuery{AskerIncarnation: c.o.Inc, DeparturesOnly: true})
}

// resendList sends the leader's server list to a node that has another one.
func (c *Core) resendList(to protocol.Peer) {
	if c.now.Sub(c.reachability.lastBroadcast) <= listSettleTime || c.now.Sub(c.sync.listSentAt[to.ID]) <= listSettleTime || c.list.Duty != c.leadership.term {
		return
	}
	c.sync.listSentAt[to.ID] = c.now
	c.send(to, protocol.ServerList{Term: c.list.Duty, Servers: c.list.List})
}

// replyDepartures answers a request for this node's departures.
func (c *Core) replyDepartures(e protocol.Envelope, request protocol.RegistryQuery) {
	reply := protocol.RegistryReply{AskerIncarnation: request.AskerIncarnation, Incarnation: c.acceptor.inc, DeparturesOnly: true, SilentFor: map[ident.Server]clock.Span{}}
	reply.Announcements = c.departures()
	for _, b := range reply.Announcements {
		reply.SilentFor[b.ID] = c.now.Sub(c.enrolledServers[b.ID].lastHeard)
	}
	c.reply(e, reply)
}

// mergeDepartures learns another node's departures. A server that was unknown here is as old as it is there.
func (c *Core) mergeDepartures(from ident.Node, reply protocol.RegistryReply) {
	request := c.sync.requests[from]
	request.answered = true
	c.sync.requests[from] = request
	for _, b := range reply.Announcements {
		silence := reply.SilentFor[b.ID]
		switch {
		case c.enrolledServers[b.ID] != nil:
			c.enrol(b)
		case b.ID != "" && stateRank[b.State] > 0 && silence < c.retention(b.State)-adoptionMargin:
			c.adoptDeparture(b, silence)
		}
	}
	c.persistLeavings(func() {})
}

// adoptDeparture records the departure of a server that this node has never heard. If a live server has its address by now,
// it is gone.
func (c *Core) adoptDeparture(b protocol.Announcement, silence clock.Span) {
	for _, e := range c.enrolledServers {
		if e.State == "live" && e.Addr == b.Addr {
			b.State = "gone"
		}
	}
	c.noteEnrolled(b)
	e := &enrolled{Announcement: b, lastHeard: c.now.Add(-silence), onDisk: map[ident.Key]bool{}}
	c.addEnrolled(e)
	c.applyEnrolled(e)
}

// retention returns for how long a silent server in a state stays on record.
func (c *Core) retention(state string) clock.Span {
	if state == "gone" {
		return goneEnrolmentRetention
	}
	return goneAfterSilences * c.o.SilenceTimeout
}
