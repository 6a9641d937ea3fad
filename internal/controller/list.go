package controller

import (
	"encoding/json"
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// ServerList is the server list of a leader. Every core node keeps the latest one on disk, so that a new leader or
// a restarted core has a list while the platform doesn't answer.
type Roll struct {
	Duty ident.Duty
	List []protocol.Listed
}

// reachCheck is the state of a leader with poor connectivity that checks whether a peer reaches more servers.
type eye struct {
	since         clock.Tick // when connectivity became insufficient; 0 if it is sufficient
	lastLook      clock.Tick
	round         uint64
	lastBroadcast clock.Tick // when the list was last sent to the peers
}

// listedStates are the valid states of a listed server.
var listedStates = map[string]bool{"live": true, "leaving": true, "gone": true}

// validList reports whether a server list is well-formed.
func validList(list []protocol.Listed) bool {
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
func (c *Core) retainOmitted(list []protocol.Listed) []protocol.Listed {
	seen := map[ident.Server]bool{}
	for _, listed := range list {
		seen[listed.ID] = true
	}
	there := 0
	var lost []protocol.Listed
	for _, id := range generic.SortedKeys(c.servers) {
		s := c.servers[id]
		if s.State == "gone" || s.dark {
			continue
		}
		there++
		if !seen[id] {
			lost = append(lost, s.Listed)
		}
	}
	if 2*len(lost) <= there {
		return list
	}
	c.tally.Doubts++
	if c.tally.Doubts%100 == 1 {
		c.oops(fmt.Sprintf("the platform no longer lists %d of %d servers that answer: they are kept", len(lost), there))
	}
	return append(append([]protocol.Listed{}, list...), lost...)
}

// broadcastList sends the list in use to every core node, on each change and periodically.
func (c *Core) broadcastList() {
	var servers []protocol.Listed
	for _, id := range generic.SortedKeys(c.servers) {
		if s := c.servers[id]; s.State != "gone" {
			servers = append(servers, s.Listed)
		}
	}
	list := Roll{c.duty.num, servers}
	if string(jot(list)) == string(jot(c.list)) && (c.o.Enrolled || c.now.Sub(c.eye.lastBroadcast) < 3e9) {
		return
	}
	c.eye.lastBroadcast = c.now
	c.storeList(list)
	for _, member := range c.mates.Alive("controller") {
		if member.ID != c.o.Me.ID {
			c.send(member.Sibling, protocol.Listing{Duty: list.Duty, List: list.List})
		}
	}
}

// storeList keeps a list and writes it to disk, unless it is older than the stored one or equal to it.
func (c *Core) storeList(list Roll) {
	if list.Duty < c.list.Duty || string(jot(list)) == string(jot(c.list)) {
		return
	}
	c.list = list
	c.save(map[string][]byte{diskL: jot(list)}, func() {})
}

// onServerList handles the leader's server list.
func (c *Core) onServerList(e protocol.Env) {
	b := e.Body.(protocol.Listing)
	if !c.duty.mine && validList(b.List) {
		c.storeList(Roll{b.Duty, b.List})
	}
}

// countReachable counts the servers that should answer and those that do.
func (c *Core) countReachable() (should, reached int) {
	for _, s := range c.servers {
		if s.State == "gone" {
			continue
		}
		should++
		if s.known && !s.dark {
			reached++
		}
	}
	return should, reached
}

// checkReach asks peers what they can reach after this leader's connectivity has been insufficient for a while, that
// is, it can't reach the platform or reaches less than half of the servers.
func (c *Core) beatEye() {
	if c.o.Enrolled {
		return // servers announce themselves to the core, so a node doesn't need to reach a platform
	}
	should, reached := c.countReachable()
	if c.now.Sub(c.seenAt) < c.o.Blind && 2*reached >= should {
		c.eye.since = 0
		return
	}
	if c.eye.since == 0 {
		c.eye.since = c.now
	}
	if c.now.Sub(c.eye.since) < c.o.Blind/2 || c.now.Sub(c.duty.began) < c.o.Blind || c.now.Sub(c.eye.lastLook) < 1e9 {
		return
	}
	c.eye.lastLook = c.now
	c.eye.round++
	c.tally.Looks++
	for _, voter := range c.reg.known.Voters {
		if voter.ID != c.o.Me.ID {
			c.send(voter.Sibling, protocol.Look{Round: c.eye.round, List: c.list.List})
		}
	}
}

// onReachQuery checks what this node can reach. A server answers an order of term 0 with a report and
// doesn't execute it.
func (c *Core) onReachQuery(e protocol.Env) {
	b := e.Body.(protocol.Look)
	if len(b.List) > 1000 {
		return
	}
	remaining := len(b.List) + 1
	result := protocol.Looked{Round: b.Round}
	finish := func() {
		if remaining--; remaining == 0 {
			c.reply(e, result)
		}
	}
	c.ask(c.o.Platform, "/servers", nil, c.o.Wait, func(t protocol.Told) {
		var list []protocol.Listed
		result.Platform = t.OK && t.Code == 200 && json.Unmarshal(t.Body, &list) == nil && validList(list)
		finish()
	})
	for _, listed := range b.List {
		c.ask(listed.Addr, "/orders", protocol.Order{}, c.o.Wait, func(t protocol.Told) {
			var report protocol.Report
			if t.OK && json.Unmarshal(t.Body, &report) == nil && report.Server == listed.ID {
				result.Servers++
			}
			finish()
		})
	}
}

// onReachReply hands the leadership lease over to a peer with clearly better connectivity.
func (c *Core) onReachReply(e protocol.Env) {
	b := e.Body.(protocol.Looked)
	if !c.rules() || b.Round != c.eye.round || c.eye.since == 0 {
		return
	}
	should, reached := c.countReachable()
	blind := c.now.Sub(c.seenAt) >= c.o.Blind
	if blind && b.Platform && b.Servers >= reached || 2*reached < should && b.Servers > reached && 2*b.Servers >= should && (b.Platform || blind) {
		c.tally.Yields++
		c.giveBack(fmt.Sprintf("%s reaches %d of %d servers, this node %d", e.From.ID, b.Servers, should, reached), e.From.ID)
		c.duty.shy = c.now.Add(c.o.Shy)
	}
}
