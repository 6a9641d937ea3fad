package controller

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// ServerList is the server list of a leader. Every core node keeps the latest one on disk, so that a new leader or
// a restarted core has a list while the platform doesn't answer.
type ServerList struct {
	Duty ident.Term
	List []protocol.ListedServer
}

// reachCheck is the state of a leader with poor connectivity that checks whether a peer reaches more servers.
type reachCheck struct {
	since         clock.Instant // when connectivity became insufficient; 0 if it is sufficient
	lastLook      clock.Instant
	round         uint64
	lastBroadcast clock.Instant // when the list was last sent to the peers
}

// listedStates are the valid states of a listed server.
var listedStates = map[string]bool{"live": true, "leaving": true, "gone": true}

// validList reports whether a server list is well-formed.
func validList(list []protocol.ListedServer) bool {
	seen := map[ident.Server]bool{}
	for _, listed := range list {
		if listed.ID == "" || listed.Addr == "" || listed.Zone == "" || !listedStates[listed.State] || seen[listed.ID] {
			return false
		}
		seen[listed.ID] = true
	}
	return true
}

// retainOmitted guards against a truncated list. If a list omits more than half of the reachable servers, these keep
// their state for as long as they answer. The entries that a list does have always apply.
func (c *Core) retainOmitted(list []protocol.ListedServer) []protocol.ListedServer {
	seen := map[ident.Server]bool{}
	for _, listed := range list {
		seen[listed.ID] = true
	}
	there := 0
	var lost []protocol.ListedServer
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if s.State == "gone" || s.unreachable {
			continue
		}
		there++
		if !seen[id] {
			lost = append(lost, s.ListedServer)
		}
	}
	if 2*len(lost) <= there {
		return list
	}
	c.tally.Doubts++
	if c.tally.Doubts%100 == 1 {
		c.logError(fmt.Sprintf("the platform no longer lists %d of %d servers that answer: they are kept", len(lost), there))
	}
	return append(append([]protocol.ListedServer{}, list...), lost...)
}

// broadcastList sends the list in use to every core node, on each change and periodically.
func (c *Core) broadcastList() {
	var servers []protocol.ListedServer
	for _, id := range generic.SortedKeys(c.servers) {
		if s := c.servers[id]; s.State != "gone" {
			servers = append(servers, s.ListedServer)
		}
	}
	list := ServerList{c.leadership.term, servers}
	if string(marshal(list)) == string(marshal(c.list)) && (c.o.Enrolled || c.now.Sub(c.reachability.lastBroadcast) < 3e9) {
		return
	}
	c.reachability.lastBroadcast = c.now
	c.storeList(list)
	for _, member := range c.members.Alive("controller") {
		if member.ID != c.o.Self.ID {
			c.send(member.Peer, protocol.ServerList{Term: list.Duty, Servers: list.List})
		}
	}
}

// storeList keeps a list and writes it to disk, unless it is older than the stored one or equal to it.
func (c *Core) storeList(list ServerList) {
	if list.Duty < c.list.Duty || string(marshal(list)) == string(marshal(c.list)) {
		return
	}
	c.setList(list)
	c.save(map[string][]byte{keyServerList: marshal(list)}, func() {})
}

// setList sets the last list.
func (c *Core) setList(list ServerList) {
	c.list, c.sync.listDigest = list, xxhash.Sum64(marshal(list))
}

// onServerList handles the leader's server list.
func (c *Core) onServerList(e protocol.Envelope) {
	b := e.Body.(protocol.ServerList)
	if !c.leadership.held && validList(b.Servers) {
		c.storeList(ServerList{b.Term, b.Servers})
	}
}

// countReachable counts the servers that should answer and those that do.
func (c *Core) countReachable() (should, reached int) {
	for _, s := range c.servers {
		if s.State == "gone" {
			continue
		}
		should++
		if s.known && !s.unreachable {
			reached++
		}
	}
	return should, reached
}

// checkReach asks peers what they can reach after this leader's connectivity has been insufficient for a while, that
// is, it can't reach the platform or reaches less than half of the servers.
func (c *Core) checkReach() {
	if c.o.Enrolled {
		return // servers announce themselves to the core, so a node doesn't need to reach a platform
	}
	should, reached := c.countReachable()
	if c.now.Sub(c.listedAt) < c.o.UnreachableAfter && 2*reached >= should {
		c.reachability.since = 0
		return
	}
	if c.reachability.since == 0 {
		c.reachability.since = c.now
	}
	if c.now.Sub(c.reachability.since) < c.o.UnreachableAfter/2 || c.now.Sub(c.leadership.begunAt) < c.o.UnreachableAfter || c.now.Sub(c.reachability.lastLook) < 1e9 {
		return
	}
	c.reachability.lastLook = c.now
	c.reachability.round++
	c.tally.Looks++
	for _, voter := range c.register.known.Voters {
		if voter.ID != c.o.Self.ID {
			c.send(voter.Peer, protocol.ReachQuery{Round: c.reachability.round, Servers: c.list.List})
		}
	}
}

// onReachQuery checks what this node can reach. A server answers an order of term 0 with a report and
// doesn't execute it.
func (c *Core) onReachQuery(e protocol.Envelope) {
	b := e.Body.(protocol.ReachQuery)
	if len(b.Servers) > 1000 {
		return
	}
	remaining := len(b.Servers) + 1
	result := protocol.ReachReply{Round: b.Round}
	finish := func() {
		if remaining--; remaining == 0 {
			c.reply(e, result)
		}
	}
	c.ask(c.o.Platform, "/servers", nil, c.o.ServerTimeout, func(t protocol.HTTPResult) {
		var list []protocol.ListedServer
		result.Platform = t.OK && t.Code == 200 && json.Unmarshal(t.Body, &list) == nil && validList(list)
		finish()
	})
	for _, listed := range b.Servers {
		c.ask(listed.Addr, "/orders", protocol.Order{}, c.o.ServerTimeout, func(t protocol.HTTPResult) {
			var report protocol.ServerReport
			if t.OK && json.Unmarshal(t.Body, &report) == nil && report.Server == listed.ID {
				result.Reachable++
			}
			finish()
		})
	}
}

// onReachReply hands the leadership lease over to a peer with clearly better connectivity.
func (c *Core) onReachReply(e protocol.Envelope) {
	b := e.Body.(protocol.ReachReply)
	if !c.holdsLease() || b.Round != c.reachability.round || c.reachability.since == 0 {
		return
	}
	should, reached := c.countReachable()
	blind := c.now.Sub(c.listedAt) >= c.o.UnreachableAfter
	if blind && b.Platform && b.Reachable >= reached || 2*reached < should && b.Reachable > reached && 2*b.Reachable >= should && (b.Platform || blind) {
		c.tally.Yields++
		c.releaseLease(fmt.Sprintf("%s reaches %d of %d servers, this node %d", e.From.ID, b.Reachable, should, reached), e.From.ID)
		c.leadership.declineUntil = c.now.Add(c.o.YieldTime)
	}
}
