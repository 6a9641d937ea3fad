package controller

import (
	"encoding/json"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Servers that check no fencing token count the orders that they have accepted. Each order carries the count
// that it expects, so that it is executed at most once, however often it is sent. The count in a report shows
// whether the report is from before or after an order.

const (
	busyPollInterval      = 100e6 // interval between two reports while an order is in progress
	pollIdle              = 10e9  // interval otherwise; announcements show that the server is alive
	unreachablePollFactor = 4     // multiple of o.ReportInterval between two requests to a server that does not answer
	reportLag             = 500e6 // maximum age of a report
	tenureMargin          = 100e6 // margin by which two settle delays exceed the tenure
)

// ordersPath is the path at which servers accept orders and return reports.
const ordersPath = "/orders"

// Status codes of the answers to an order.
const (
	holdsAlready = 200
	taken        = 202
	underWay     = 409 // another order is in progress, or the count differs
	higherDuty   = 412
	notThisOne   = 421 // another server uses the address
)

// driveServer keeps at most one request at a time in progress to an unfenced server.
func (c *Core) steer(s *server) {
	if s.plain || s.asking || s.State == "gone" {
		return
	}
	if s.dark && c.now < s.next {
		return
	}
	if s.mayConfirm() && c.mayOrder() {
		if c.now >= s.next {
			c.confirm(s)
		}
		return
	}
	p := s.due()
	if p != nil && s.unsure == nil && !s.busy && c.mayOrder() {
		if s.ok < c.duty.began.Add(c.settleDelay()) {
			c.survey(s) // the last order of the previous leader shows only in a report from now on
			return
		}
		c.sendOrder(s, p)
		return
	}
	if c.now >= s.next || !s.known && c.now.Sub(s.asked) > busyPollInterval {
		c.survey(s)
	}
}

// mayOrder reports whether the lease is valid and orders of the previous leader can no longer arrive. After a
// stall of the process, an answer may be processed before the next tick checks the lease, so this is checked
// for each answer.
func (c *Core) mayOrder() bool { return c.rules() && c.now.Sub(c.duty.began) > c.settleDelay() }

// settleDelay is how long a new leader waits before it sends orders. After a change of leader, two such delays
// exceed Tenure, the time within which two leaders must not order a server alternately.
func (c *Core) settleDelay() clock.Span {
	if c.duty.again {
		return c.o.Settle
	}
	return max(c.o.Settle, c.o.Tenure/2+tenureMargin)
}

// sendOrder sends the order for the stage of a replica.
func (c *Core) sendOrder(s *server, p *spot) {
	order := c.orderFor(s, p)
	s.asking, s.asked, s.ordered = true, c.now, c.now
	p.num, p.ordered = s.num+1, c.now
	c.tally.Orders++
	c.countOrder(p)
	c.recordStoreLoad(s, p)
	c.checkOrder(s, p)
	duty := c.duty.num
	c.askServer(s, ordersPath, order, func(t protocol.Told) {
		if c.duty.mine && c.duty.num == duty && c.servers[s.ID] == s {
			c.onOrderAnswer(s, p, order, t)
		}
	})
}

// orderFor builds the order for the stage of a replica, with the current count of the server.
func (c *Core) orderFor(s *server, p *spot) protocol.Order {
	return protocol.Order{Duty: c.duty.num, Num: s.num, Op: verbs[p.stage], Key: p.key, Size: p.size, Owner: c.o.Me.ID, Expected: s.num - 1}
}

// recordStoreLoad records a load that comes from the store.
func (c *Core) recordStoreLoad(s *server, p *spot) {
	if p.stage != Ordered {
		return
	}
	if p.cold = !p.key.IsAdapter() && !c.sure(s, p.key); p.cold {
		c.begun = append(c.begun, c.now)
		c.checkRate()
	}
}

// onOrderAnswer processes a server's answer to an order, or the lack of one.
func (c *Core) onOrderAnswer(s *server, p *spot, order protocol.Order, t protocol.Told) {
	s.asking, s.next = false, c.now.Add(busyPollInterval)
	c.note("order answered", field("server", s.ID), field("op", order.Op), field("key", order.Key), field("term", order.Duty),
		field("count", order.Expected), field("answered", t.OK), field("status", t.Code), field("took_ms", c.now.Sub(s.ordered).Milliseconds()))
	switch {
	case t.OK && c.elsewhere(s, t):
		c.tally.OrdersRefused++
		p.num = 0
	case !t.OK: // the server may have accepted the order; the count in its next report shows it
		c.tally.OrdersUnanswered++
		s.unsure, s.next = p, c.now
	case t.Code == taken:
		s.num, s.busy = max(s.num, p.num), true
		s.doing, s.confirms, s.next = p, 0, c.now.Add(c.expected(s, p))
	case t.Code == holdsAlready:
		p.num = s.num
		c.orderDone(s, p)
	case t.Code == higherDuty:
		c.tally.OrdersRefused++
		c.lose("a server has accepted a higher term")
	default:
		c.tally.OrdersRefused++
		p.num = 0
		s.busy = true // until a report shows the reason
		if t.Code == notThisOne {
			s.known = false
		}
	}
}

// answeredByOther reports whether another server answered at the address of the requested server. The requested
// server then counts as gone, unless it continues to announce itself while the other one is silent.
func (c *Core) elsewhere(s *server, t protocol.Told) bool {
	if t.Server == s.ID || t.Server == "" && t.Code != notThisOne {
		return false
	}
	c.note("another server answered at the address of the requested server", field("server", s.ID), field("address", s.Addr), field("answers", t.Server), field("status", t.Code))
	s.known, s.dark = false, true
	s.next = c.now.Add(unreachablePollFactor * c.o.Poll)
	c.touchOn(s)
	if e := c.roll[s.ID]; e != nil {
		c.retire(e)
	}
	return true
}

// requestReport requests a report from a server.
func (c *Core) survey(s *server) {
	s.asking, s.asked = true, c.now
	c.tally.Reports++
	at, duty := c.now, c.duty.num
	c.askServer(s, ordersPath, protocol.Order{Key: ident.ServiceKey(s.Service)}, func(t protocol.Told) {
		if !c.duty.mine || c.duty.num != duty || c.servers[s.ID] != s {
			return
		}
		s.asking = false
		if t.OK && c.elsewhere(s, t) {
			return
		}
		var r protocol.Report
		if t.OK && t.Code == 200 && json.Unmarshal(t.Body, &r) == nil {
			c.onReportAnswer(s, r, at)
		} else {
			c.onReportFailed(s)
		}
	})
}

// onReportFailed records that a server returned no report. After the second failure in a row the server counts
// as unreachable.
func (c *Core) onReportFailed(s *server) {
	s.next = c.now.Add(c.o.Poll)
	if s.fails++; s.fails > 1 && !s.dark {
		s.dark = true
		c.note("server does not answer", field("server", s.ID))
		c.touchOn(s)
	}
	if s.dark {
		s.next = c.now.Add(unreachablePollFactor * c.o.Poll)
	}
}

// onReportAnswer compares a server's report with the orders that the server was sent.
func (c *Core) onReportAnswer(s *server, r protocol.Report, at clock.Tick) {
	c.spoke(s)
	if s.confirmed != 0 && s.known && !s.dark && at.Sub(s.confirmed) < reportLag {
		s.next = s.confirmed.Add(reportLag) // the report may be older than the server's last confirmation
		s.fails = 0
		return
	}
	s.next = c.now.Add(busyPollInterval)
	r.Num++ // zero stands for an order that was never sent
	if r.Num < s.num {
		return // the report is older than an accepted order
	}
	if !c.resolveUnanswered(s, r.Num, at) {
		return
	}
	changed := s.dark || !s.known
	if s.dark {
		c.note("server answers again", field("server", s.ID))
	}
	s.num, s.busy, s.fails, s.ok = r.Num, r.Busy, 0, at
	if s.confirms = 0; !r.Busy {
		s.doing = nil
	}
	s.dark, s.known = false, true
	held := map[ident.Key]bool{}
	for _, h := range r.Held {
		held[h.Key] = true
		c.observeHeld(s, r, h.Key)
	}
	c.removeMissing(s, r, held)
	waits, ours := s.pendingOrders()
	s.alien = r.Busy && !ours
	if !waits && !r.Busy {
		s.next = c.now.Add(pollIdle)
	}
	if changed {
		c.touchOn(s)
	}
}

// resolveUnanswered reports whether the outcome of every order is known, given a report with an order count and
// the time at which the report was requested.
func (c *Core) resolveUnanswered(s *server, num uint64, at clock.Tick) bool {
	p := s.unsure
	switch {
	case p == nil:
	case num >= p.num:
		s.unsure = nil // the order was accepted
	case at.Sub(s.ordered) > c.o.Wait+reportLag:
		s.unsure, p.num = nil, 0 // the order was not accepted; the repeat carries the same count
	default:
		return false
	}
	return true
}

// observeHeld records that a report lists a key as held.
func (c *Core) observeHeld(s *server, r protocol.Report, key ident.Key) {
	if e := c.roll[s.ID]; e != nil {
		c.noteOnDisk(e, key, true)
	}
	p := s.replicas[key]
	if p == nil {
		p = &spot{key: key, size: c.sizeOf(key), stage: Ordered, since: c.now, num: r.Num}
		c.putReplica(s, p)
	}
	if p.num == 0 && p.stage == Ordered && !r.Busy {
		p.num = r.Num // already held without an order
	}
	if p.unsent(r.Num) || p.stage == Unloading && r.Busy {
		return
	}
	c.becameReady(s, p)
}

// markReady records that a replica is ready.
func (c *Core) becameReady(s *server, p *spot) {
	if p.stage == Ready {
		return
	}
	placed, wasOrdered := p.since, p.ordered != 0 && p.stage == Ordered
	if !p.fire(SeeReady, c.now) {
		return
	}
	if wasOrdered {
		c.logReady(s, p, placed)
	}
	c.touch(p.key)
}

// logReady logs how long a load took from its placement until this node learned of its completion.
func (c *Core) logReady(s *server, p *spot, placed clock.Tick) {
	waited := clock.Span(0)
	if n := c.demand[p.key]; n != nil && n.waitingSince != 0 {
		waited = c.now.Sub(n.waitingSince)
	}
	c.note("replica ready", field("server", s.ID), field("key", p.key), field("from_store", p.cold),
		field("placed_ms", c.now.Sub(placed).Milliseconds()), field("ordered_ms", c.now.Sub(p.ordered).Milliseconds()),
		field("waited_ms", waited.Milliseconds()))
}

// removeMissing deletes the replicas that a report does not list, except those that may still be loading.
func (c *Core) removeMissing(s *server, r protocol.Report, held map[ident.Key]bool) {
	for _, key := range generic.SortedKeys(s.replicas) {
		if p := s.replicas[key]; !held[key] && !p.unsent(r.Num) && !(p.stage == Ordered && r.Busy) {
			c.dropSpot(s, key)
		}
	}
}

// pendingOrders reports whether a server has orders to execute or to be sent, and whether any was sent.
func (s *server) pendingOrders() (waits, sent bool) {
	for _, p := range s.replicas {
		waits = waits || verbs[p.stage] != ""
		sent = sent || verbs[p.stage] != "" && p.num != 0
	}
	return waits, sent
}
