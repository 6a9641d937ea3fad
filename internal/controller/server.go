package controller

import (
	"encoding/json"
	"slices"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// The leader's view of model servers: what each one holds, how much room it has, and whether it may receive requests.

// server is the leader's view of one model server.
type server struct {
	protocol.ListedServer
	life          ident.Incarnation // incarnation of the server, from its last report
	room          int               // total room for models
	slots         int               // maximum number of concurrent requests
	replicas      map[ident.Key]*modelReplica
	self          *modelReplica // the server itself, for requests without a model
	num           uint64        // number of the last order that the server accepted or was sent
	polling       bool          // a request to the server is in progress
	nextPoll      clock.Instant // when the server is polled next
	failures      int           // consecutive requests without an answer
	unreachable   bool          // the server doesn't answer
	known         bool          // the server has reported during this term
	reportedAt    clock.Instant // when the latest received report was requested
	listedAt      clock.Instant // when the server was first listed
	contradiction string        // contradiction in the last report; such a server gets no load orders
	plain         bool          // the server holds no models and accepts no orders
	places        int           // places for adapters; 0 if they are not limited
	busy          bool          // the server executes an order
	foreignOrder  bool          // the order is from an earlier term, so its outcome is unknown
	unanswered    *modelReplica // the replica whose last order got no answer
	lastContact   clock.Instant // time of the last request or order
	lastOrder     clock.Instant // time of the last order

	executing     *modelReplica // the replica whose order the server has accepted and executes
	confirmsSent  int           // number of confirmation requests for that order
	lastConfirmed clock.Instant // when the server last confirmed that an order was complete
}

// newServer returns the initial state of a newly listed server.
func newServer(l protocol.ListedServer, now clock.Instant) *server {
	return &server{
		ListedServer: l, replicas: map[ident.Key]*modelReplica{}, listedAt: now,
		self: &modelReplica{key: ident.ServiceKey(l.Service), stage: Ready, readySince: now, stageSince: now},
	}
}

// spotFor returns the replica of a key: a model's, or the one that stands for the server itself.
func (s *server) spotFor(k ident.Key) *modelReplica {
	if s.self != nil && k == s.self.key {
		return s.self
	}
	return s.replicas[k]
}

// used returns the room that is occupied or reserved by orders.
func (s *server) used() int {
	n := 0
	for _, p := range s.replicas {
		n += p.size
	}
	return n
}

// loading counts the ordered loads.
func (s *server) loading() int {
	n := 0
	for _, p := range s.replicas {
		if p.stage == Ordered {
			n++
		}
	}
	return n
}

// free returns the room that is neither occupied nor reserved; it is negative if the server is over capacity.
func (s *server) free() int { return s.room - s.used() }

// leaving returns the room of the replicas that are being unloaded.
func (s *server) leaving() int {
	n := 0
	for _, p := range s.replicas {
		if p.leaving() {
			n += p.size
		}
	}
	return n
}

// leavingKeys lists the keys that are being unloaded, sorted.
func (s *server) leavingKeys() (keys []ident.Key) {
	for key, p := range s.replicas {
		if p.leaving() {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// pending counts the orders that a server has yet to complete.
func (s *server) pending() int {
	n := 0
	for _, p := range s.replicas {
		if p.stage != Ready {
			n++
		}
	}
	return n
}

// adapters counts the places for adapters that are occupied or reserved.
func (s *server) adapters() int {
	n := 0
	for k := range s.replicas {
		if k.IsAdapter() {
			n++
		}
	}
	return n
}

// baseReady reports whether the base model of an adapter is ready.
func (s *server) baseReady(k ident.Key) bool {
	b := s.replicas[k.Base()]
	return b != nil && b.stage == Ready
}

// nextOrder finds a replica whose order has not been sent. Orders are derived from the replicas alone, so no order
// outlives the reason for it.
func (s *server) nextOrder() *modelReplica {
	if !s.known || s.unreachable {
		return nil
	}
	var next *modelReplica
	over := s.room > 0 && s.used() > s.room
	for _, k := range s.unsentKeys() {
		p := s.replicas[k]
		if p.stage == Ordered && (over || p.key.IsAdapter() && !s.canLoadAdapter(p.key)) {
			continue // its room is not free yet, or its base model is not ready
		}
		if next == nil || p.stage == Unloading && next.stage != Unloading {
			next = p
		}
	}
	return next
}

// unsentKeys lists the keys with an unsent order, sorted.
func (s *server) unsentKeys() (keys []ident.Key) {
	for key, p := range s.replicas {
		if p.orderNum == 0 && (p.stage == Ordered || p.stage == Unloading) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// canLoadAdapter reports whether the base model of an adapter is ready and the number of places suffices.
func (s *server) canLoadAdapter(key ident.Key) bool {
	return s.baseReady(key) && (s.places == 0 || s.adapters() <= s.places)
}

// open reports whether a server may receive new requests.
func (c *Core) open(s *server) bool {
	return !s.unreachable && s.known && c.inService(s) && c.registryComplete()
}

// inService reports whether a server is in service according to the platform and the operators, reachable or not.
func (c *Core) inService(s *server) bool {
	return s.State == "live" && !c.empty[s.Zone] && !c.closed(s.Zone, s.ID)
}

// staysInService reports whether a server is expected to remain in service for a while.
func (c *Core) staysInService(s *server) bool {
	return c.open(s) && !c.closingZones[s.Zone] && !c.closingServers[s.ID]
}

// onList applies a complete list of servers; servers that are not listed are gone.
func (c *Core) onList(list []protocol.ListedServer) {
	seen := map[ident.Server]bool{}
	for _, listed := range list {
		seen[listed.ID] = true
		s := c.servers[listed.ID]
		if s == nil {
			c.addServer(newServer(listed, c.now))
			continue
		}
		if s.ListedServer != listed {
			if s.Addr != listed.Addr {
				s.known = false
			}
			s.ListedServer = listed
			c.refreshEntriesOf(s)
		}
	}
	for _, s := range c.serverIndex.sorted {
		if !seen[s.ID] && s.State != "gone" {
			s.State = "gone"
			c.refreshEntriesOf(s)
		}
	}
}

// listInterval is the interval between two requests for the platform's servers, and between two updates of core nodes.
const listInterval = 300e6

// refreshList requests the platform's server list. If servers announce themselves, it only sends the list to the other
// core nodes.
func (c *Core) refreshList() {
	if c.o.Enrolled {
		if c.now.Sub(c.lastListRequest) > listInterval {
			c.lastListRequest = c.now
			c.broadcastList()
		}
		return
	}
	if c.listPending || c.o.Platform == "" || c.lastListRequest != 0 && c.now.Sub(c.lastListRequest) < listInterval {
		return
	}
	c.listPending = true
	duty := c.leadership.term
	c.ask(c.o.Platform, "/servers", nil, c.o.ServerTimeout, func(t protocol.HTTPResult) {
		if c.leadership.held && c.leadership.term == duty {
			c.onPlatformList(t)
		}
	})
}

// onPlatformList handles the platform's answer; the last list stays in force if the answer is not a valid list.
func (c *Core) onPlatformList(t protocol.HTTPResult) {
	c.listPending = false
	var list []protocol.ListedServer
	if !t.OK || t.Code != 200 || json.Unmarshal(t.Body, &list) != nil || !validList(list) {
		if c.lastListRequest != 0 || len(c.servers) > 0 {
			c.lastListRequest = c.now
		}
		return
	}
	c.lastListRequest, c.listedAt = c.now, c.now
	c.onList(c.retainOmitted(list))
	c.broadcastList()
}
