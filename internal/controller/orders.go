package controller

import (
	"encoding/json"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Servers that check no fence count the orders that they have taken. An order names the count that
// it goes on, so that it is taken once or not at all, however often it is sent; and what a report
// shows is known to be from before or after an order by the count that it carries.

const (
	pollBusy    = 100e6 // between two reports while an order is under way
	pollIdle    = 10e9  // otherwise: announcements tell that the server lives
	pollDark    = 4     // times as long as o.Poll, between two questions to a server that does not answer
	reportLag   = 500e6 // a report is at most so old
	tenureSlack = 100e6 // by which two waits are longer than the tenure that they are to outlast
)

// ordersPath is where servers take orders and give reports.
const ordersPath = "/orders"

// Answers of a server to an order.
const (
	holdsAlready = 200
	taken        = 202
	underWay     = 409 // another order, or the count differs
	higherDuty   = 412
	notThisOne   = 421 // another server has the address
)

// steer keeps one question under way at a time at a server that checks no fence.
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
		if s.ok < c.duty.began.Add(c.settle()) {
			c.survey(s) // what the owner before ordered last shows only now
			return
		}
		c.order(s, p)
		return
	}
	if c.now >= s.next || !s.known && c.now.Sub(s.asked) > pollBusy {
		c.survey(s)
	}
}

// mayOrder tells whether the lease still runs, and orders of the owner before can no longer be on their way. Answers may be the
// first thing that a process takes in after it stood still, before any beat has looked at the lease.
func (c *Core) mayOrder() bool { return c.rules() && c.now.Sub(c.duty.began) > c.settle() }

// settle is how long an owner waits before it orders. Where another node owned the duty before, two such
// waits are longer than the time within which they must not order by turns.
func (c *Core) settle() clock.Span {
	if c.duty.again {
		return c.o.Settle
	}
	return max(c.o.Settle, c.o.Tenure/2+tenureSlack)
}

// order sends the order that a spot's stage asks for.
func (c *Core) order(s *server, p *spot) {
	order := c.orderFor(s, p)
	s.asking, s.asked, s.ordered = true, c.now, c.now
	p.num, p.ordered = s.num+1, c.now
	c.tally.Orders++
	c.countOrder(p)
	c.countLoad(s, p)
	c.checkOrder(s, p)
	duty := c.duty.num
	c.askServer(s, ordersPath, order, func(t protocol.Told) {
		if c.duty.mine && c.duty.num == duty && c.servers[s.ID] == s {
			c.onOrderAnswer(s, p, order, t)
		}
	})
}

// orderFor writes the order that a spot's stage asks for, on the count that the server has.
func (c *Core) orderFor(s *server, p *spot) protocol.Order {
	return protocol.Order{Duty: c.duty.num, Num: s.num, Op: verbs[p.stage], Key: p.key, Size: p.size, Owner: c.o.Me.ID, Expected: s.num - 1}
}

// countLoad counts a load that begins at the store.
func (c *Core) countLoad(s *server, p *spot) {
	if p.stage != Ordered {
		return
	}
	if p.cold = !p.key.IsAdapter() && !c.sure(s, p.key); p.cold {
		c.begun = append(c.begun, c.now)
		c.checkRate()
	}
}

// onOrderAnswer takes in what a server answered to an order, or that it did not.
func (c *Core) onOrderAnswer(s *server, p *spot, order protocol.Order, t protocol.Told) {
	s.asking, s.next = false, c.now.Add(pollBusy)
	c.note("order answered", field("server", s.ID), field("op", order.Op), field("key", order.Key), field("term", order.Duty),
		field("count", order.Expected), field("answered", t.OK), field("status", t.Code), field("took_ms", c.now.Sub(s.ordered).Milliseconds()))
	switch {
	case t.OK && c.elsewhere(s, t):
		c.tally.OrdersRefused++
		p.num = 0
	case !t.OK: // it may have been taken: the count will tell
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
		c.lose("a server obeys a higher duty")
	default:
		c.tally.OrdersRefused++
		p.num = 0
		s.busy = true // until its report shows why
		if t.Code == notThisOne {
			s.known = false
		}
	}
}

// elsewhere tells whether another server answered from the address of the one that was asked, and takes that one for gone: until
// it goes on speaking while the other is silent, or for good.
func (c *Core) elsewhere(s *server, t protocol.Told) bool {
	if t.Server == s.ID || t.Server == "" && t.Code != notThisOne {
		return false
	}
	c.note("another server answers at a server's address", field("server", s.ID), field("address", s.Addr), field("answers", t.Server), field("status", t.Code))
	s.known, s.dark = false, true
	s.next = c.now.Add(pollDark * c.o.Poll)
	c.touchOn(s)
	if e := c.roll[s.ID]; e != nil {
		c.retire(e)
	}
	return true
}

// survey asks a server for its report.
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
			c.onSurvey(s, r, at)
		} else {
			c.onNoSurvey(s)
		}
	})
}

// onNoSurvey takes in that a server gave no report: the second time in a row it is dark.
func (c *Core) onNoSurvey(s *server) {
	s.next = c.now.Add(c.o.Poll)
	if s.fails++; s.fails > 1 && !s.dark {
		s.dark = true
		c.note("server does not answer", field("server", s.ID))
		c.touchOn(s)
	}
	if s.dark {
		s.next = c.now.Add(pollDark * c.o.Poll)
	}
}

// onSurvey holds a server's report against what it was ordered.
func (c *Core) onSurvey(s *server, r protocol.Report, at clock.Tick) {
	c.spoke(s)
	if s.confirmed != 0 && s.known && !s.dark && at.Sub(s.confirmed) < reportLag {
		s.next = s.confirmed.Add(reportLag) // it may be from before what the server confirmed
		s.fails = 0
		return
	}
	s.next = c.now.Add(pollBusy)
	r.Num++ // zero stands for what was never ordered
	if r.Num < s.num {
		return // it is from before an order that was taken
	}
	if !c.resolved(s, r.Num, at) {
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
		c.seeReady(s, r, h.Key)
	}
	c.seeMissing(s, r, held)
	waits, ours := s.ordersLeft()
	s.alien = r.Busy && !ours
	if !waits && !r.Busy {
		s.next = c.now.Add(pollIdle)
	}
	if changed {
		c.touchOn(s)
	}
}

// resolved tells whether it is known what became of every order, by a report with a count that was asked
// for at a time.
func (c *Core) resolved(s *server, num uint64, at clock.Tick) bool {
	p := s.unsure
	switch {
	case p == nil:
	case num >= p.num:
		s.unsure = nil // it was taken
	case at.Sub(s.ordered) > c.o.Wait+reportLag:
		s.unsure, p.num = nil, 0 // it was not; sent again it names the same count
	default:
		return false
	}
	return true
}

// seeReady takes in that a report shows a key as held.
func (c *Core) seeReady(s *server, r protocol.Report, key ident.Key) {
	if e := c.roll[s.ID]; e != nil {
		c.noteOnDisk(e, key, true)
	}
	p := s.spots[key]
	if p == nil {
		p = &spot{key: key, size: c.sizeOf(key), stage: Ordered, since: c.now, num: r.Num}
		c.putSpot(s, p)
	}
	if p.num == 0 && p.stage == Ordered && !r.Busy {
		p.num = r.Num // it holds so already
	}
	if p.unsent(r.Num) || p.stage == Unloading && r.Busy {
		return
	}
	c.becameReady(s, p)
}

// becameReady takes in that a replica is ready.
func (c *Core) becameReady(s *server, p *spot) {
	if p.stage == Ready {
		return
	}
	placed, wasOrdered := p.since, p.ordered != 0 && p.stage == Ordered
	if !p.fire(SeeReady, c.now) {
		return
	}
	if wasOrdered {
		c.noteReady(s, p, placed)
	}
	c.touch(p.key)
}

// noteReady logs how long it took until a load that was decided on at a moment is known to have ended.
func (c *Core) noteReady(s *server, p *spot, placed clock.Tick) {
	waited := clock.Span(0)
	if n := c.demand[p.key]; n != nil && n.since != 0 {
		waited = c.now.Sub(n.since)
	}
	c.note("replica ready", field("server", s.ID), field("key", p.key), field("from_store", p.cold),
		field("placed_ms", c.now.Sub(placed).Milliseconds()), field("ordered_ms", c.now.Sub(p.ordered).Milliseconds()),
		field("waited_ms", waited.Milliseconds()))
}

// seeMissing forgets what a report does not show, unless it may be loading still.
func (c *Core) seeMissing(s *server, r protocol.Report, held map[ident.Key]bool) {
	for _, key := range generic.SortedKeys(s.spots) {
		if p := s.spots[key]; !held[key] && !p.unsent(r.Num) && !(p.stage == Ordered && r.Busy) {
			c.dropSpot(s, key)
		}
	}
}

// ordersLeft tells whether a server has orders to carry out or to be sent, and whether any was sent.
func (s *server) ordersLeft() (waits, sent bool) {
	for _, p := range s.spots {
		waits = waits || verbs[p.stage] != ""
		sent = sent || verbs[p.stage] != "" && p.num != 0
	}
	return waits, sent
}
