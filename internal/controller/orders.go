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
	idlePollInterval      = 10e9  // interval otherwise; announcements show that the server is alive
	unreachablePollFactor = 4     // multiple of o.ReportInterval between two requests to a server that does not answer
	maxReportAge          = 500e6 // maximum age of a report
	tenureMargin          = 100e6 // margin by which two settle delays exceed the tenure
)

// ordersPath is the path at which servers accept orders and return reports.
const ordersPath = "/orders"

// Status codes of the answers to an order.
const (
	statusAlreadyHeld = 200
	statusAccepted    = 202
	statusConflict    = 409 // another order is in progress, or the count differs
	statusHigherTerm  = 412
	statusWrongServer = 421 // another server uses the address
)

// driveServer keeps at most one request at a time in progress to an unfenced server.
func (c *Core) driveServer(s *server) {
	if s.plain || s.polling || s.State == "gone" {
		return
	}
	if s.unreachable && c.now < s.nextPoll {
		return
	}
	if s.canConfirm() && c.mayOrder() {
		if c.now >= s.nextPoll {
			c.confirm(s)
		}
		return
	}
	p := s.nextOrder()
	if p != nil && s.unanswered == nil && !s.busy && c.mayOrder() {
		if s.reportedAt < c.leadership.begunAt.Add(c.settleDelay()) {
			c.requestReport(s) // the last order of the previous leader shows only in a report from now on
			return
		}
		c.sendOrder(s, p)
		return
	}
	if c.now >= s.nextPoll || !s.known && c.now.Sub(s.lastContact) > busyPollInterval {
		c.requestReport(s)
	}
}

// mayOrder reports whether the lease is valid and orders of the previous leader can no longer arrive. After a
// stall of the process, an answer may be processed before the next tick checks the lease, so this is checked
// for each answer.
func (c *Core) mayOrder() bool {
	return c.holdsLease() && c.now.Sub(c.leadership.begunAt) > c.settleDelay()
}

// settleDelay is how long a new leader waits before it sends orders. After a change of leader, two such delays
// exceed Tenure, the time within which two leaders must not order a server alternately.
func (c *Core) settleDelay() clock.Span {
	if c.leadership.reacquired {
		return c.o.SettleTime
	}
	return max(c.o.SettleTime, c.o.Tenure/2+tenureMargin)
}

// sendOrder sends the order for the stage of a replica.
func (c *Core) sendOrder(s *server, p *modelReplica) {
	order := c.orderFor(s, p)
	s.polling, s.lastContact, s.lastOrder = true, c.now, c.now
	p.orderNum, p.orderedAt = s.num+1, c.now
	c.tally.Orders++
	c.countOrder(p)
	c.recordStoreLoad(s, p)
	c.checkOrder(s, p)
	duty := c.leadership.term
	c.askServer(s, ordersPath, order, func(t protocol.HTTPResult) {
		if c.leadership.held && c.leadership.term == duty && c.servers[s.ID] == s {
			c.onOrderAnswer(s, p, order, t)
		}
	})
}

// orderFor builds the order for the stage of a replica, with the current count of the server.
func (c *Core) orderFor(s *server, p *modelReplica) protocol.Order {
	return protocol.Order{Term: c.leadership.term, Num: s.num, Op: orderOps[p.stage], Key: p.key, Size: p.size, Owner: c.o.Self.ID, Expected: s.num - 1}
}

// recordStoreLoad records a load that comes from the store.
func (c *Core) recordStoreLoad(s *server, p *modelReplica) {
	if p.stage != Ordered {
		return
	}
	if p.fromStore = !p.key.IsAdapter() && !c.hasOnDisk(s, p.key); p.fromStore {
		c.loadStarts = append(c.loadStarts, c.now)
		c.checkRate()
	}
}

// onOrderAnswer processes a server's answer to an order, or the lack of one.
func (c *Core) onOrderAnswer(s *server, p *modelReplica, order protocol.Order, t protocol.HTTPResult) {
	s.polling, s.nextPoll = false, c.now.Add(busyPollInterval)
	c.logEvent("order answered", field("server", s.ID), field("op", order.Op), field("key", order.Key), field("term", order.Term),
		field("count", order.Expected), field("answered", t.OK), field("status", t.Code), field("took_ms", c.now.Sub(s.lastOrder).Milliseconds()))
	switch {
	case t.OK && c.answeredByOther(s, t):
		c.tally.OrdersRefused++
		p.orderNum = 0
	case !t.OK: // the server may have accepted the order; the count in its next report shows it
		c.tally.OrdersUnanswered++
		s.unanswered, s.nextPoll = p, c.now
	case t.Code == statusAccepted:
		s.num, s.busy = max(s.num, p.orderNum), true
		s.executing, s.confirmsSent, s.nextPoll = p, 0, c.now.Add(c.expectedDuration(s, p))
	case t.Code == statusAlreadyHeld:
		p.orderNum = s.num
		c.completeOrder(s, p)
	case t.Code == statusHigherTerm:
		c.tally.OrdersRefused++
		c.endTerm("a server has accepted a higher term")
	default:
		c.tally.OrdersRefused++
		p.orderNum = 0
		s.busy = true // until a report shows the reason
		if t.Code == statusWrongServer {
			s.known = false
		}
	}
}

// answeredByOther reports whether another server answered at the address of the requested server. The requested
// server then counts as gone, unless it continues to announce itself while the other one is silent.
func (c *Core) answeredByOther(s *server, t protocol.HTTPResult) bool {
	if t.Server == s.ID || t.Server == "" && t.Code != statusWrongServer {
		return false
	}
	c.logEvent("another server answered at the address of the requested server", field("server", s.ID), field("address", s.Addr), field("answers", t.Server), field("status", t.Code))
	s.known, s.unreachable = false, true
	s.nextPoll = c.now.Add(unreachablePollFactor * c.o.ReportInterval)
	c.refreshEntriesOf(s)
	if e := c.enrolledServers[s.ID]; e != nil {
		c.presumeGone(e)
	}
	return true
}

// requestReport requests a report from a server.
func (c *Core) requestReport(s *server) {
	s.polling, s.lastContact = true, c.now
	c.tally.Reports++
	at, duty := c.now, c.leadership.term
	c.askServer(s, ordersPath, protocol.Order{Key: ident.ServiceKey(s.Service)}, func(t protocol.HTTPResult) {
		if !c.leadership.held || c.leadership.term != duty || c.servers[s.ID] != s {
			return
		}
		s.polling = false
		if t.OK && c.answeredByOther(s, t) {
			return
		}
		var r protocol.ServerReport
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
	s.nextPoll = c.now.Add(c.o.ReportInterval)
	if s.failures++; s.failures > 1 && !s.unreachable {
		s.unreachable = true
		c.logEvent("server does not answer", field("server", s.ID))
		c.refreshEntriesOf(s)
	}
	if s.unreachable {
		s.nextPoll = c.now.Add(unreachablePollFactor * c.o.ReportInterval)
	}
}

// onReportAnswer compares a server's report with the orders that the server was sent.
func (c *Core) onReportAnswer(s *server, r protocol.ServerReport, at clock.Instant) {
	c.noteAnswer(s)
	if s.lastConfirmed != 0 && s.known && !s.unreachable && at.Sub(s.lastConfirmed) < maxReportAge {
		s.nextPoll = s.lastConfirmed.Add(maxReportAge) // the report may be older than the server's last confirmation
		s.failures = 0
		return
	}
	s.nextPoll = c.now.Add(busyPollInterval)
	r.Num++ // zero stands for an order that was never sent
	if r.Num < s.num {
		return // the report is older than an accepted order
	}
	if !c.resolveUnanswered(s, r.Num, at) {
		return
	}
	changed := s.unreachable || !s.known
	if s.unreachable {
		c.logEvent("server answers again", field("server", s.ID))
	}
	s.num, s.busy, s.failures, s.reportedAt = r.Num, r.Busy, 0, at
	if s.confirmsSent = 0; !r.Busy {
		s.executing = nil
	}
	s.unreachable, s.known = false, true
	held := map[ident.Key]bool{}
	for _, h := range r.Held {
		held[h.Key] = true
		c.observeHeld(s, r, h.Key)
	}
	c.removeMissing(s, r, held)
	waits, ours := s.pendingOrders()
	s.foreignOrder = r.Busy && !ours
	if !waits && !r.Busy {
		s.nextPoll = c.now.Add(idlePollInterval)
	}
	if changed {
		c.refreshEntriesOf(s)
	}
}

// resolveUnanswered reports whether the outcome of every order is known, given a report with an order count and
// the time at which the report was requested.
func (c *Core) resolveUnanswered(s *server, num uint64, at clock.Instant) bool {
	p := s.unanswered
	switch {
	case p == nil:
	case num >= p.orderNum:
		s.unanswered = nil // the order was accepted
	case at.Sub(s.lastOrder) > c.o.ServerTimeout+maxReportAge:
		s.unanswered, p.orderNum = nil, 0 // the order was not accepted; the repeat carries the same count
	default:
		return false
	}
	return true
}

// observeHeld records that a report lists a key as held.
func (c *Core) observeHeld(s *server, r protocol.ServerReport, key ident.Key) {
	if e := c.enrolledServers[s.ID]; e != nil {
		c.noteOnDisk(e, key, true)
	}
	p := s.replicas[key]
	if p == nil {
		p = &modelReplica{key: key, size: c.sizeOf(key), stage: Ordered, stageSince: c.now, orderNum: r.Num}
		c.putReplica(s, p)
	}
	if p.orderNum == 0 && p.stage == Ordered && !r.Busy {
		p.orderNum = r.Num // already held without an order
	}
	if p.orderUnreported(r.Num) || p.stage == Unloading && r.Busy {
		return
	}
	c.markReady(s, p)
}

// markReady records that a replica is ready.
func (c *Core) markReady(s *server, p *modelReplica) {
	if p.stage == Ready {
		return
	}
	placed, wasOrdered := p.stageSince, p.orderedAt != 0 && p.stage == Ordered
	if !p.fire(ReportedReady, c.now) {
		return
	}
	if wasOrdered {
		c.logReady(s, p, placed)
	}
	c.refreshEntry(p.key)
}

// logReady logs how long a load took from its placement until this node learned of its completion.
func (c *Core) logReady(s *server, p *modelReplica, placed clock.Instant) {
	waited := clock.Span(0)
	if n := c.demand[p.key]; n != nil && n.waitingSince != 0 {
		waited = c.now.Sub(n.waitingSince)
	}
	c.logEvent("replica ready", field("server", s.ID), field("key", p.key), field("from_store", p.fromStore),
		field("placed_ms", c.now.Sub(placed).Milliseconds()), field("ordered_ms", c.now.Sub(p.orderedAt).Milliseconds()),
		field("waited_ms", waited.Milliseconds()))
}

// removeMissing deletes the replicas that a report does not list, except those that may still be loading.
func (c *Core) removeMissing(s *server, r protocol.ServerReport, held map[ident.Key]bool) {
	for _, key := range generic.SortedKeys(s.replicas) {
		if p := s.replicas[key]; !held[key] && !p.orderUnreported(r.Num) && !(p.stage == Ordered && r.Busy) {
			c.forgetReplica(s, key)
		}
	}
}

// pendingOrders reports whether a server has orders to execute or to be sent, and whether any was sent.
func (s *server) pendingOrders() (waits, sent bool) {
	for _, p := range s.replicas {
		waits = waits || orderOps[p.stage] != ""
		sent = sent || orderOps[p.stage] != "" && p.orderNum != 0
	}
	return waits, sent
}
