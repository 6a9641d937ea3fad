package controller

import (
	"encoding/json"
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Servers that check a fencing token refuse orders of an older term. Each server has one outstanding request,
// either an order or a request for its report, and the requests are valid until the server restarts.

// serverRemovalDelay is the time from the last report of a server that is gone to its removal.
const serverRemovalDelay = 10e9

// tickServer advances the replicas on a server and sends the request that is due.
func (c *Core) tickServer(s *server) {
	c.countVisits(len(s.replicas))
	for _, key := range s.leavingKeys() {
		if p := s.replicas[key]; p != nil { // dropping one replica may drop others
			c.advanceEviction(s, p)
		}
	}
	switch {
	case s.State == "gone" && (s.failures > 0 || c.o.Enrolled):
		c.forgetReplicas(s)
		if c.now.Sub(max(s.reportedAt, s.listedAt)) > serverRemovalDelay {
			c.removeServer(s.ID)
		}
	case c.o.Unfenced:
		c.driveServer(s)
	default:
		c.sendFenced(s)
	}
}

// forgetReplicas forgets all replicas of a server that is gone or has restarted.
func (c *Core) forgetReplicas(s *server) {
	for _, key := range generic.SortedKeys(s.replicas) {
		c.forgetReplica(s, key)
	}
}

// forgetReplica forgets the replica of a key that a server no longer holds.
func (c *Core) forgetReplica(s *server, key ident.Key) {
	s.replicas[key].fire(ReportedAbsent, c.now)
	c.removeReplica(s, key)
	c.refreshEntry(key)
}

// sendFenced keeps one request outstanding: the order that is due, or a request for the report.
func (c *Core) sendFenced(s *server) {
	p := s.nextOrder()
	if s.polling || p == nil && c.now < s.nextPoll {
		return
	}
	s.num++
	order := protocol.Order{Term: c.leadership.term, Num: s.num}
	if p != nil {
		p.orderNum = s.num
		order.Op, order.Key, order.Size, order.Incarnation = orderOps[p.stage], p.key, p.size, s.life
		c.countOrder(p)
	}
	s.polling = true
	at, duty := c.now, c.leadership.term
	c.ask(s.Addr, "/orders", order, c.o.ServerTimeout, func(t protocol.HTTPResult) {
		if c.leadership.held && c.leadership.term == duty && c.servers[s.ID] == s {
			c.onFencedAnswer(s, t, at)
		}
	})
}

// countOrder counts an order.
func (c *Core) countOrder(p *modelReplica) {
	if p.stage == Ordered {
		c.tally.Loads++
	} else {
		c.tally.Unloads++
	}
}

// onFencedAnswer handles the answer to a request sent at the given time, or its failure.
func (c *Core) onFencedAnswer(s *server, t protocol.HTTPResult, at clock.Instant) {
	s.polling = false
	s.nextPoll = c.now.Add(c.o.ReportInterval)
	var r protocol.ServerReport
	if t.OK && json.Unmarshal(t.Body, &r) == nil && r.Server == s.ID {
		c.onReport(s, r, at)
		return
	}
	s.failures++
	// A request that failed early is retried once at once; one that timed out is not.
	if c.now.Sub(at) < c.o.ServerTimeout && s.failures <= 1 {
		s.nextPoll = c.now
		return
	}
	if !s.unreachable && s.known {
		s.unreachable = true
		c.logEvent(fmt.Sprintf("server %s does not answer", s.ID))
		c.refreshEntriesOf(s)
	}
}

// onReport handles a report that was requested at the given time.
func (c *Core) onReport(s *server, r protocol.ServerReport, at clock.Instant) {
	if r.RefusedAs == failure.StaleOrder {
		c.onStale(s, r)
		return
	}
	changed := s.unreachable || !s.known
	s.failures, s.reportedAt, s.unreachable, s.known = 0, at, false, true
	changed = c.updateServer(s, r) || changed
	if odd := contradiction(r); odd != s.contradiction {
		if s.contradiction = odd; odd != "" {
			c.tally.Odd++
			c.logError(fmt.Sprintf("server %s sent an inconsistent report: %s", s.ID, odd))
		}
	}
	held := map[ident.Key]bool{}
	for _, h := range r.Held {
		held[h.Key] = true
		c.updateHeld(s, r.Num, h)
	}
	for _, key := range generic.SortedKeys(s.replicas) {
		if !held[key] && !s.replicas[key].orderUnreported(r.Num) {
			c.forgetReplica(s, key)
		}
	}
	if changed {
		c.refreshEntriesOf(s)
	}
}

// onStale handles the refusal of an order whose term is too low or whose number the server has passed.
func (c *Core) onStale(s *server, r protocol.ServerReport) {
	c.tally.Fences++
	if r.Term > c.leadership.term {
		c.leadership.highestTerm = max(c.leadership.highestTerm, r.Term)
		c.endTerm("a server has accepted a higher term")
		return
	}
	s.num = max(s.num, r.Num)
}

// updateServer records a server's incarnation, room and slots, and reports whether any of them changed.
func (c *Core) updateServer(s *server, r protocol.ServerReport) bool {
	room, slots := min(max(r.Room, 0), maxSize), min(max(r.Slots, 1), maxSize)
	if r.Incarnation == s.life && room == s.room && slots == s.slots {
		return false
	}
	if r.Incarnation != s.life {
		c.forgetReplicas(s)
	}
	s.life, s.room, s.slots = r.Incarnation, room, slots
	return true
}

// updateHeld records the state of one key from a report that answers a request.
func (c *Core) updateHeld(s *server, num uint64, h protocol.HeldKey) {
	h.Size, h.Active, h.AgeMs = min(max(h.Size, c.sizeOf(h.Key)), maxSize), max(h.Active, 0), max(h.AgeMs, 0)
	p := s.replicas[h.Key]
	if p == nil {
		p = &modelReplica{key: h.Key, size: h.Size, stage: Ordered, stageSince: c.now, orderNum: num}
		c.putReplica(s, p)
	}
	if p.orderUnreported(num) {
		return
	}
	p.size, p.running = h.Size, h.Active
	if h.Active > 0 {
		p.lastActive = c.now
	}
	before, trigger := p.stage, ReportedLoading
	if h.Stage == "ready" {
		trigger = ReportedReady
	}
	if !p.fire(trigger, c.now) {
		return
	}
	if before == Ordered && trigger == ReportedReady {
		p.readySince = c.now - clock.Instant(h.AgeMs)*1e6
	}
	c.refreshEntry(h.Key)
}
