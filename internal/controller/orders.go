package controller

import (
	"encoding/json"
	"fmt"

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
	unloadSpan  = 50e6  // an unload, or an adapter, takes about so long
	freshReport = 100e6 // a report is rarely fresher
	pollIdle    = 10e9  // otherwise: announcements tell that the server lives
	reportLag   = 500e6 // a report is at most so old
)

// steer keeps one question under way at a time at a server that checks no fence.
func (c *Core) steer(s *server) {
	if s.plain || s.asking || s.State == "gone" {
		return
	}
	if s.dark && c.now < s.next {
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

// mayOrder tells whether orders of the owner before can no longer be on their way.
func (c *Core) mayOrder() bool { return c.now.Sub(c.duty.began) > c.settle() }

// settle is how long an owner waits before it orders. Where another node owned the duty before, two such
// waits are longer than the time within which they must not order by turns.
func (c *Core) settle() clock.Span {
	if c.duty.again {
		return c.o.Settle
	}
	return max(c.o.Settle, c.o.Tenure/2+100e6)
}

func (c *Core) order(s *server, p *spot) {
	q := protocol.Order{Duty: c.duty.num, Num: s.num, Op: verbs[p.stage], Key: p.key, Size: p.size, Owner: c.o.Me.ID, Expected: s.num - 1}
	s.asking, s.asked, s.ordered = true, c.now, c.now
	p.num = s.num + 1
	c.tally.Orders++
	if p.stage == Ordered {
		c.tally.Loads++
		if p.cold = !p.key.IsAdapter() && !c.sure(s, p.key); p.cold {
			c.begun = append(c.begun, c.now)
		}
	} else {
		c.tally.Unloads++
	}
	num := c.duty.num
	c.ask(s.Addr, "/orders", q, c.o.Wait, func(t protocol.Told) {
		if !c.duty.mine || c.duty.num != num || c.servers[s.ID] != s {
			return
		}
		s.asking, s.next = false, c.now.Add(c.expected(s, p))
		switch {
		case !t.OK: // it may have been taken: the count will tell
			c.tally.OrdersUnanswered++
			s.unsure, s.next = p, c.now
		case t.Code == 202:
			s.num, s.busy = max(s.num, p.num), true
		case t.Code == 200:
			p.num = s.num // it holds so already
			s.busy = true // until its report shows it
		case t.Code == 412:
			c.tally.OrdersRefused++
			c.lose("a server obeys a higher duty")
		default:
			c.tally.OrdersRefused++
			c.note(fmt.Sprintf("server %s refused to %s %s: %d", s.ID, q.Op, q.Key, t.Code))
			p.num = 0
			s.busy = true // until its report shows why
			if t.Code == 421 {
				s.known = false
			}
		}
	})
}

// expected is how long an order will take until a report may show it done: none is asked for before.
func (c *Core) expected(s *server, p *spot) clock.Span {
	n := clock.Span(unloadSpan)
	if p.stage == Ordered && !p.key.IsAdapter() {
		n = c.plan.Models[p.key].Load
		if c.has(s, p.key) {
			n = clock.Span(float64(n) * warmPart)
		}
	}
	return max(pollBusy, n*9/10+freshReport)
}

// survey asks a server for its report.
func (c *Core) survey(s *server) {
	s.asking, s.asked = true, c.now
	c.tally.Reports++
	at, num := c.now, c.duty.num
	c.ask(s.Addr, "/orders", protocol.Order{Key: ident.Key("").In(s.Service)}, c.o.Wait, func(t protocol.Told) {
		if !c.duty.mine || c.duty.num != num || c.servers[s.ID] != s {
			return
		}
		s.asking = false
		var r protocol.Report
		if !t.OK || t.Code != 200 || json.Unmarshal(t.Body, &r) != nil {
			s.next = c.now.Add(c.o.Poll)
			if s.fails++; s.fails > 1 && !s.dark {
				s.dark = true
				c.note(fmt.Sprintf("server %s does not answer", s.ID))
				c.touchOn(s)
			}
			if s.dark {
				s.next = c.now.Add(4 * c.o.Poll)
			}
			return
		}
		c.onSurvey(s, r, at)
	})
}

// onSurvey holds a server's report against what it was ordered.
func (c *Core) onSurvey(s *server, r protocol.Report, at clock.Tick) {
	c.spoke(s)
	s.next = c.now.Add(pollBusy)
	r.Num++ // zero stands for what was never ordered
	if r.Num < s.num {
		return // it is from before an order that was taken
	}
	if p := s.unsure; p != nil {
		switch {
		case r.Num >= p.num:
			s.unsure = nil // it was taken
		case at.Sub(s.ordered) > c.o.Wait+reportLag:
			s.unsure, p.num = nil, 0 // it was not; sent again it names the same count
		default:
			return
		}
	}
	changed := s.dark || !s.known
	s.num, s.busy, s.fails, s.ok = r.Num, r.Busy, 0, at
	s.dark, s.known = false, true
	held := map[ident.Key]bool{}
	for _, h := range r.Held {
		held[h.Key] = true
		if e := c.roll[s.ID]; e != nil {
			e.had[h.Key] = true
		}
		p := s.spots[h.Key]
		if p == nil {
			p = &spot{key: h.Key, size: c.sizeOf(h.Key), stage: Ordered, since: c.now, num: r.Num}
			s.spots[h.Key] = p
		}
		if p.num == 0 && p.stage == Ordered && !r.Busy {
			p.num = r.Num // it holds so already
		}
		if p.unsent(r.Num) || p.stage == Unloading && r.Busy {
			continue
		}
		if p.fire(SeeReady, c.now) {
			c.touch(h.Key)
		}
	}
	waits, ours := false, false
	for _, k := range generic.SortedKeys(s.spots) {
		p := s.spots[k]
		if !held[k] && !p.unsent(r.Num) && !(p.stage == Ordered && r.Busy) {
			p.fire(SeeNone, c.now)
			delete(s.spots, k)
			c.touch(k)
			continue
		}
		waits = waits || verbs[p.stage] != ""
		ours = ours || verbs[p.stage] != "" && p.num != 0
	}
	s.alien = r.Busy && !ours
	if !waits && !r.Busy {
		s.next = c.now.Add(pollIdle)
	}
	if changed {
		c.touchOn(s)
	}
}
