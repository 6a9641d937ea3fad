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

// Servers that check a fence refuse orders of an older duty. Each is asked one question at a time, an
// order or only for its report, and an order is right as long as the server has not restarted.

// beatServer keeps one question under way at a time: an order, or only for the report.
func (c *Core) beatServer(s *server) {
	for _, k := range generic.SortedKeys(s.spots) {
		if p := s.spots[k]; p != nil { // one spot's end may end another
			c.beatSpot(s, p)
		}
	}
	if s.State == "gone" && (s.fails > 0 || c.o.Enrolled) {
		for _, k := range generic.SortedKeys(s.spots) {
			s.spots[k].fire(SeeNone, c.now)
			delete(s.spots, k)
			c.touch(k)
		}
		if c.now.Sub(max(s.ok, s.first)) > 10e9 {
			delete(c.servers, s.ID)
		}
		return
	}
	if c.o.Unfenced {
		c.steer(s)
		return
	}
	p := s.due()
	if s.asking || p == nil && c.now < s.next {
		return
	}
	s.num++
	q := protocol.Order{Duty: c.duty.num, Num: s.num, Inc: s.inc}
	if p != nil {
		q.Op, q.Key, q.Size, p.num = verbs[p.stage], p.key, p.size, s.num
		if p.stage == Ordered {
			c.tally.Loads++
		} else {
			c.tally.Unloads++
		}
	}
	if q.Op == "" {
		q.Inc = 0
	}
	s.asking = true
	at, num := c.now, c.duty.num
	c.ask(s.Addr, "/orders", q, c.o.Wait, func(t protocol.Told) {
		if !c.duty.mine || c.duty.num != num || c.servers[s.ID] != s {
			return
		}
		s.asking = false
		s.next = c.now.Add(c.o.Poll)
		var r protocol.Report
		if !t.OK || json.Unmarshal(t.Body, &r) != nil || r.Server != s.ID {
			s.fails++
			// A question cut short at once is asked once more; one that waited in vain is not.
			if c.now.Sub(at) >= c.o.Wait || s.fails > 1 {
				if !s.dark && s.known {
					s.dark = true
					c.note(fmt.Sprintf("server %s is dark", s.ID))
					c.touchOn(s)
				}
			} else {
				s.next = c.now
			}
			return
		}
		c.onReport(s, r, at)
	})
}

func (c *Core) onReport(s *server, r protocol.Report, at clock.Tick) {
	if r.Drop == failure.Stale {
		c.tally.Fences++
		if r.Duty > c.duty.num {
			c.duty.top = max(c.duty.top, r.Duty)
			c.lose("a server obeys a higher duty")
			return
		}
		s.num = max(s.num, r.Num)
		return
	}
	s.fails, s.ok = 0, at
	changed := s.dark || !s.known
	s.dark, s.known = false, true
	room, slots := min(max(r.Room, 0), mostSize), min(max(r.Slots, 1), mostSize)
	if r.Inc != s.inc || room != s.room || slots != s.slots {
		if r.Inc != s.inc {
			for _, k := range generic.SortedKeys(s.spots) {
				s.spots[k].fire(SeeNone, c.now)
				delete(s.spots, k)
				c.touch(k)
			}
		}
		s.inc, s.room, s.slots = r.Inc, room, slots
		changed = true
	}
	if odd := oddity(r); odd != s.odd {
		if s.odd = odd; odd != "" {
			c.tally.Odd++
			c.oops(fmt.Sprintf("server %s reports what cannot be: %s", s.ID, odd))
		}
	}
	held := map[ident.Key]protocol.Held{}
	for _, h := range r.Held {
		h.Size, h.Active, h.AgeMs = min(max(h.Size, c.sizeOf(h.Key)), mostSize), max(h.Active, 0), max(h.AgeMs, 0)
		held[h.Key] = h
		p := s.spots[h.Key]
		if p == nil {
			p = &spot{key: h.Key, size: h.Size, stage: Ordered, since: c.now, num: r.Num}
			s.spots[h.Key] = p
		}
		if p.unsent(r.Num) {
			continue
		}
		p.size, p.work = h.Size, h.Active
		if h.Active > 0 {
			p.busy = c.now
		}
		was := p.stage
		if h.Stage == "ready" {
			if p.fire(SeeReady, c.now) {
				if was == Ordered {
					p.ready = c.now - clock.Tick(h.AgeMs)*1e6
				}
				c.touch(h.Key)
			}
		} else if p.fire(SeeLoading, c.now) {
			c.touch(h.Key)
		}
	}
	for _, k := range generic.SortedKeys(s.spots) {
		p := s.spots[k]
		if _, ok := held[k]; ok || p.unsent(r.Num) {
			continue
		}
		p.fire(SeeNone, c.now)
		delete(s.spots, k)
		c.touch(k)
	}
	if changed {
		c.touchOn(s)
	}
}
