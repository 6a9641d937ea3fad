package controller

import (
	"encoding/json"
	"slices"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// The owner's view of model servers: what each one holds, has room for, and may be offered.

// server is the owner's view of one model server.
type server struct {
	protocol.Listed
	inc     ident.Inc // of the server's life, as last reported
	room    int       // for models, in all
	slots   int       // requests that it serves at once
	spots   map[ident.Key]*spot
	whole   *spot      // stands for the server itself, to requests that name no model
	num     uint64     // of the last order that it took, or was sent
	asking  bool       // a question is under way
	next    clock.Tick // when it is asked again
	fails   int        // questions in a row that got no answer
	dark    bool       // it does not answer
	known   bool       // it has reported in this reign
	ok      clock.Tick // when the last report that came was asked for
	first   clock.Tick // when it was listed first
	odd     string     // what its report contradicts itself in; it is ordered to load nothing
	plain   bool       // it holds no models and takes no orders
	places  int        // for adapters; zero where they are not counted
	busy    bool       // it carries out an order
	alien   bool       // that is not of this reign: what it comes to is not known
	unsure  *spot      // the spot whose order got no answer
	asked   clock.Tick // when it was asked or ordered last
	ordered clock.Tick // when it was ordered last

	doing     *spot      // the spot whose order it has taken and carries out
	confirms  int        // how often it was asked whether that is done
	confirmed clock.Tick // when it last said that an order was done
}

// newServer is a server that was just listed.
func newServer(l protocol.Listed, now clock.Tick) *server {
	return &server{
		Listed: l, spots: map[ident.Key]*spot{}, first: now,
		whole: &spot{key: ident.ServiceKey(l.Service), stage: Ready, ready: now, since: now},
	}
}

// spotOf gives what a server has for a key: a model's spot, or the one that stands for itself.
func (s *server) spotOf(k ident.Key) *spot {
	if s.whole != nil && k == s.whole.key {
		return s.whole
	}
	return s.spots[k]
}

// used is the room that is taken, or ordered to be.
func (s *server) used() int {
	n := 0
	for _, p := range s.spots {
		n += p.size
	}
	return n
}

// loading counts the loads that are ordered.
func (s *server) loading() int {
	n := 0
	for _, p := range s.spots {
		if p.stage == Ordered {
			n++
		}
	}
	return n
}

// free is the room that nothing takes, nor is ordered to take; it is below zero where too much is.
func (s *server) free() int { return s.room - s.used() }

// leaving is the room that is on its way to be free.
func (s *server) leaving() int {
	n := 0
	for _, p := range s.spots {
		if p.leaves() {
			n += p.size
		}
	}
	return n
}

// leavingKeys lists what is on its way out, in order.
func (s *server) leavingKeys() (l []ident.Key) {
	for key, p := range s.spots {
		if p.leaves() {
			l = append(l, key)
		}
	}
	slices.Sort(l)
	return l
}

// pending counts the orders that a server still has to carry out.
func (s *server) pending() int {
	n := 0
	for _, p := range s.spots {
		if p.stage != Ready {
			n++
		}
	}
	return n
}

// adapters counts the places for adapters that are taken or promised.
func (s *server) adapters() int {
	n := 0
	for k := range s.spots {
		if k.IsAdapter() {
			n++
		}
	}
	return n
}

// based tells whether the base of an adapter is ready.
func (s *server) based(k ident.Key) bool {
	b := s.spots[k.Base()]
	return b != nil && b.stage == Ready
}

// due finds a spot whose order has not been sent: what is ordered follows from the spots
// alone, so no order outlives the reason for it.
func (s *server) due() *spot {
	if !s.known || s.dark {
		return nil
	}
	var next *spot
	over := s.room > 0 && s.used() > s.room
	for _, k := range s.unsentKeys() {
		p := s.spots[k]
		if p.stage == Ordered && (over || p.key.IsAdapter() && !s.mayTakeAdapter(p.key)) {
			continue // what makes way for it is not gone yet, or its base is not there
		}
		if next == nil || p.stage == Unloading && next.stage != Unloading {
			next = p
		}
	}
	return next
}

// unsentKeys lists what an order is to be sent for, in order.
func (s *server) unsentKeys() (l []ident.Key) {
	for key, p := range s.spots {
		if p.num == 0 && (p.stage == Ordered || p.stage == Unloading) {
			l = append(l, key)
		}
	}
	slices.Sort(l)
	return l
}

// mayTakeAdapter tells whether the base of an adapter is ready, and the places are not more than taken.
func (s *server) mayTakeAdapter(key ident.Key) bool {
	return s.based(key) && (s.places == 0 || s.adapters() <= s.places)
}

// open tells whether a server may be offered new work.
func (c *Core) open(s *server) bool {
	return !s.dark && s.known && c.meant(s) && c.rolled()
}

// meant tells whether platform and operators mean a server to work, whether it answers or not.
func (c *Core) meant(s *server) bool {
	return s.State == "live" && !c.empty[s.Zone] && !c.closed(s.Zone, s.ID)
}

// stays tells whether what a server holds can be counted on for a while.
func (c *Core) stays(s *server) bool {
	return c.open(s) && !c.soonZ[s.Zone] && !c.soonS[s.ID]
}

// onList takes in the servers that there are; one that is not listed is gone.
func (c *Core) onList(l []protocol.Listed) {
	seen := map[ident.Server]bool{}
	for _, x := range l {
		seen[x.ID] = true
		s := c.servers[x.ID]
		if s == nil {
			c.addServer(newServer(x, c.now))
			continue
		}
		if s.Listed != x {
			if s.Addr != x.Addr {
				s.known = false
			}
			s.Listed = x
			c.touchOn(s)
		}
	}
	for _, s := range c.fleet.ordered {
		if !seen[s.ID] && s.State != "gone" {
			s.State = "gone"
			c.touchOn(s)
		}
	}
}

// listEvery is how often the platform is asked for its servers, and core nodes are told of them.
const listEvery = 300e6

// beatList asks the platform which servers there are, or, where they announce themselves, only tells the
// other core nodes.
func (c *Core) beatList() {
	if c.o.Enrolled {
		if c.now.Sub(c.listed) > listEvery {
			c.listed = c.now
			c.tellList()
		}
		return
	}
	if c.listing || c.o.Platform == "" || c.listed != 0 && c.now.Sub(c.listed) < listEvery {
		return
	}
	c.listing = true
	duty := c.duty.num
	c.ask(c.o.Platform, "/servers", nil, c.o.Wait, func(t protocol.Told) {
		if c.duty.mine && c.duty.num == duty {
			c.onPlatformList(t)
		}
	})
}

// onPlatformList takes in the platform's answer; the last list stands while it gives none.
func (c *Core) onPlatformList(t protocol.Told) {
	c.listing = false
	var l []protocol.Listed
	if !t.OK || t.Code != 200 || json.Unmarshal(t.Body, &l) != nil || !sound(l) {
		if c.listed != 0 || len(c.servers) > 0 {
			c.listed = c.now
		}
		return
	}
	c.listed, c.seenAt = c.now, c.now
	c.onList(c.believe(l))
	c.tellList()
}
