package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/protocol"
)

// A server's reports are old when they come. Whether an order is done is known sooner by sending it once more, on the
// count that it led to: the server says that it holds so already, or that an order is under way. It is not taken twice
// unless it came to nothing; then the count differs from there on, and the next report tells.

const (
	unloadSpan   = clock.Span(20e6) // an unload without runs to wait for, or an adapter, takes about so long
	confirmLag   = clock.Span(5e6)  // by which an order's end is asked for later than it is expected
	confirmFirst = clock.Span(25e6) // from one asking to the next one, which waits twice as long
	confirmMost  = clock.Span(200e6)
	confirmTries = 10 // before a report is asked for

	diskPartBegin = 0.25 // of the time from the store, before any load from a server's own disk was seen
	diskPartEase  = 0.9  // by which the part shrinks when such a load had ended before it was asked for
	diskPartBlend = 0.5  // of what was seen last, in the part
)

// mayConfirm tells whether a server carries out an order that it can be asked about.
func (s *server) mayConfirm() bool {
	return s.doing != nil && s.unsure == nil && s.known && s.confirms < confirmTries && verbs[s.doing.stage] != ""
}

// confirm asks whether the order under way at a server is done.
func (c *Core) confirm(s *server) {
	p := s.doing
	order := c.orderFor(s, p)
	order.Confirms = true
	s.asking, s.asked = true, c.now
	s.confirms++
	c.tally.Confirms++
	duty := c.duty.num
	c.askServer(s, ordersPath, order, func(t protocol.Told) {
		if c.duty.mine && c.duty.num == duty && c.servers[s.ID] == s {
			c.onConfirmed(s, p, t)
		}
	})
}

// onConfirmed takes in what a server says of an order that it has taken.
func (c *Core) onConfirmed(s *server, p *spot, t protocol.Told) {
	s.asking = false
	if s.doing != p {
		return // a report was sooner
	}
	switch {
	case t.OK && c.elsewhere(s, t):
		s.doing = nil
	case t.OK && t.Code == holdsAlready:
		c.orderDone(s, p)
	case t.OK && (t.Code == underWay || t.Code == taken): // a server may also answer that it is being done
		s.next = c.now.Add(min(confirmMost, confirmFirst<<(s.confirms-1)))
	case t.OK && t.Code == higherDuty:
		c.tally.OrdersRefused++
		c.lose("a server obeys a higher duty")
	default: // its report will tell
		s.doing, s.next = nil, c.now
	}
}

// orderDone takes in that a server has carried an order out. Reports from before are older than that.
func (c *Core) orderDone(s *server, p *spot) {
	c.learnSpan(s, p)
	s.doing, s.busy, s.alien = nil, false, false
	s.confirmed, s.fails, s.next = c.now, 0, c.now.Add(pollIdle)
	c.spoke(s)
	if p.stage == Ordered {
		if e := c.roll[s.ID]; e != nil {
			c.noteOnDisk(e, p.key, true)
		}
		c.becameReady(s, p)
	} else {
		for _, key := range generic.SortedKeys(s.spots) {
			if key == p.key || !p.key.IsAdapter() && key.Base() == p.key {
				c.dropSpot(s, key)
			}
		}
	}
	c.steer(s) // what waited for it is sent at once
}

// expected is how long an order will take until it is first asked about.
func (c *Core) expected(s *server, p *spot) clock.Span {
	n := unloadSpan
	if p.stage == Ordered && !p.key.IsAdapter() {
		n = c.loadSpan(s, c.plan.Models[p.key])
	}
	return n + confirmLag
}

// loadSpan is how long a server takes to load a base: from its own disk a part of the time, which is learned.
func (c *Core) loadSpan(s *server, m fleetplan.Model) clock.Span {
	if c.has(s, m.Key) {
		return clock.Span(float64(m.Load) * c.diskPart)
	}
	return m.Load
}

// learnSpan learns from a load that has ended how long loads from servers' own disks take.
func (c *Core) learnSpan(s *server, p *spot) {
	full := c.plan.Models[p.key].Load
	if p.stage != Ordered || p.key.IsAdapter() || p.cold || full <= 0 || s.doing != p {
		return
	}
	if s.confirms <= 1 {
		c.diskPart *= diskPartEase // it may have ended sooner
		return
	}
	seen := c.now.Sub(p.ordered).Seconds() / full.Seconds()
	c.diskPart += (seen - c.diskPart) * diskPartBlend
}
