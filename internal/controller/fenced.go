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
	c.visit(len(s.replicas))
	for _, key := range s.leavingKeys() {
		if p := s.replicas[key]; p != nil { // dropping one replica may drop others
			c.beatSpot(s, p)
		}
	}
	switch {
	case s.State == "gone" && (s.fails > 0 || c.o.Enrolled):
		c.forgetReplicas(s)
		if c.now.Sub(max(s.ok, s.first)) > serverRemovalDelay {
			c.removeServer(s.ID)
		}
	case c.o.Unfenced:
		c.steer(s)
	default:
		c.sendFenced(s)
	}
}

// forgetReplicas forgets all replicas of a server that is gone or has restarted.
func (c *Core) forgetReplicas(s *server) {
	for _, key := range generic.SortedKeys(s.replicas) {
		c.dropSpot(s, key)
	}
}

// forgetReplica forgets the replica of a key that a server no longer holds.
func (c *Core) dropSpot(s *server, key ident.Key) {
	s.replicas[key].fire(SeeNone, c.now)
	c.removeReplica(s, key)
	c.touch(key)
}

// sendFenced keeps one request outstanding: the order that is due, or a request for the report.
func (c *Core) sendFenced(s *server) {
	p := s.due()
	if s.asking || p == nil && c.now < s.next {
		return
	}
	s.num++
	order := protocol.Order{Duty: c.duty.num, Num: s.num}
	if p != nil {
		p.num = s.num
		order.Op, order.Key, order.Size, order.Inc = verbs[p.stage], p.key, p.size, s.inc
		c.countOrder(p)
	}
	s.asking = true
	at, duty := c.now, c.duty.num
	c.ask(s.Addr, "/orders", order, c.o.Wait, func(t protocol.Told) {
		if c.duty.mine && c.duty.num == duty && c.servers[s.ID] == s {
			c.onFencedAnswer(s, t, at)
		}
	})
}

// countOrder counts an order.
func (c *Core) countOrder(p *spot) {
	if p.stage == Ordered {
		c.tally.Loads++
	} else {
		c.tally.Unloads++
	}
}

// onFencedAnswer handles the answer to a request sent at the given time, or its failure.
func (c *Core) onFencedAnswer(s *server, t protocol.Told, at clock.Tick) {
	s.asking = false
	s.next = c.now.Add(c.o.Poll)
	var r protocol.Report
	if t.OK && json.Unmarshal(t.Body, &r) == nil && r.Server == s.ID {
		c.onReport(s, r, at)
		return
	}
	s.fails++
	// A request that failed early is retried once at once; one that timed out is not.
	if c.now.Sub(at) < c.o.Wait && s.fails <= 1 {
		s.next = c.now
		return
	}
	if !s.dark && s.known {
		s.dark = true
		c.note(fmt.Sprintf("server %s does not answer", s.ID))
		c.touchOn(s)
	}
}

// onReport handles a report that was requested at the given time.
func (c *Core) onReport(s *server, r protocol.Report, at clock.Tick) {
	if r.Drop == failure.Stale {
		c.onStale(s, r)
		return
	}
	changed := s.dark || !s.known
	s.fails, s.ok, s.dark, s.known = 0, at, false, true
	changed = c.updateServer(s, r) || changed
	if odd := oddity(r); odd != s.odd {
		if s.odd = odd; odd != "" {
			c.tally.Odd++
			c.oops(fmt.Sprintf("server %s sent an inconsistent report: %s", s.ID, odd))
		}
	}
	held := map[ident.Key]bool{}
	for _, h := range r.Held {
		held[h.Key] = true
		c.updateHeld(s, r.Num, h)
	}
	for _, key := range generic.SortedKeys(s.replicas) {
		if !held[key] && !s.replicas[key].unsent(r.Num) {
			c.dropSpot(s, key)
		}
	}
	if changed {
		c.touchOn(s)
	}
}

// onStale handles the refusal of an order whose term is too low or whose number the server has passed.
func (c *Core) onStale(s *server, r protocol.Report) {
	c.tally.Fences++
	if r.Duty > c.duty.num {
		c.duty.top = max(c.duty.top, r.Duty)
		c.lose("a server has accepted a higher term")
		return
	}
	s.num = max(s.num, r.Num)
}

// updateServer records a server's incarnation, room and slots, and reports whether any of them changed.
func (c *Core) updateServer(s *server, r protocol.Report) bool {
	room, slots := min(max(r.Room, 0), mostSize), min(max(r.Slots, 1), mostSize)
	if r.Inc == s.inc && room == s.room && slots == s.slots {
		return false
	}
	if r.Inc != s.inc {
		c.forgetReplicas(s)
	}
	s.inc, s.room, s.slots = r.Inc, room, slots
	return true
}

// updateHeld records the state of one key from a report that answers a request.
func (c *Core) updateHeld(s *server, num uint64, h protocol.Held) {
	h.Size, h.Active, h.AgeMs = min(max(h.Size, c.sizeOf(h.Key)), mostSize), max(h.Active, 0), max(h.AgeMs, 0)
	p := s.replicas[h.Key]
	if p == nil {
		p = &spot{key: h.Key, size: h.Size, stage: Ordered, since: c.now, num: num}
		c.putReplica(s, p)
	}
	if p.unsent(num) {
		return
	}
	p.size, p.work = h.Size, h.Active
	if h.Active > 0 {
		p.busy = c.now
	}
	before, trigger := p.stage, SeeLoading
	if h.Stage == "ready" {
		trigger = SeeReady
	}
	if !p.fire(trigger, c.now) {
		return
	}
	if before == Ordered && trigger == SeeReady {
		p.ready = c.now - clock.Tick(h.AgeMs)*1e6
	}
	c.touch(h.Key)
}
