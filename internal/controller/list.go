package controller

import (
	"encoding/json"
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Roll is a server list as an owner of the duty had it; every core node keeps the last one, on
// disk, so that a takeover or a restart under a silent platform begins with it.
type Roll struct {
	Duty ident.Duty
	List []protocol.Listed
}

// eye is how an owner that reaches too little finds out whether a sibling reaches more.
type eye struct {
	since clock.Tick // since when it reaches too little
	asked clock.Tick
	round uint64
	told  clock.Tick // when siblings were last sent the list
}

var states = map[string]bool{"live": true, "leaving": true, "gone": true}

// sound tells whether a list can be what the platform means.
func sound(l []protocol.Listed) bool {
	seen := map[ident.Server]bool{}
	for _, x := range l {
		if x.ID == "" || x.Addr == "" || x.Zone == "" || !states[x.State] || seen[x.ID] {
			return false
		}
		seen[x.ID] = true
	}
	return true
}

// believe doubts a list that says nothing of more than half of the servers that are there: those
// stay as they were, for as long as they answer. What a list does say is always believed.
func (c *Core) believe(l []protocol.Listed) []protocol.Listed {
	seen := map[ident.Server]bool{}
	for _, x := range l {
		seen[x.ID] = true
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
		return l
	}
	c.tally.Doubts++
	if c.tally.Doubts%100 == 1 {
		c.oops(fmt.Sprintf("the platform no longer lists %d of %d servers that answer: they are kept", len(lost), there))
	}
	return append(append([]protocol.Listed{}, l...), lost...)
}

// tellList gives the list in use to every core node, when it changes and now and then.
func (c *Core) tellList() {
	var l []protocol.Listed
	for _, id := range generic.SortedKeys(c.servers) {
		if s := c.servers[id]; s.State != "gone" {
			l = append(l, s.Listed)
		}
	}
	n := Roll{c.duty.num, l}
	if string(jot(n)) == string(jot(c.list)) && (c.o.Enrolled || c.now.Sub(c.eye.told) < 3e9) {
		return
	}
	c.eye.told = c.now
	c.keepList(n)
	for _, m := range c.mates.Alive("controller") {
		if m.ID != c.o.Me.ID {
			c.send(m.Sibling, protocol.Listing{Duty: n.Duty, List: n.List})
		}
	}
}

func (c *Core) keepList(n Roll) {
	if n.Duty < c.list.Duty || string(jot(n)) == string(jot(c.list)) {
		return
	}
	c.list = n
	c.save(map[string][]byte{diskL: jot(n)}, func() {})
}

func (c *Core) onListing(e protocol.Env) {
	b := e.Body.(protocol.Listing)
	if !c.duty.mine && sound(b.List) {
		c.keepList(Roll{b.Duty, b.List})
	}
}

// reach counts the servers that should answer, and those that do.
func (c *Core) reach() (should, do int) {
	for _, s := range c.servers {
		if s.State == "gone" {
			continue
		}
		should++
		if s.known && !s.dark {
			do++
		}
	}
	return should, do
}

// beatEye asks siblings what they reach, once this owner has for long reached too little to
// serve the duty: not the platform, or less than half of the servers.
func (c *Core) beatEye() {
	if c.o.Enrolled {
		return // the core is where servers announce themselves: it is not blind beside its siblings
	}
	should, do := c.reach()
	if c.now.Sub(c.seenAt) < c.o.Blind && 2*do >= should {
		c.eye.since = 0
		return
	}
	if c.eye.since == 0 {
		c.eye.since = c.now
	}
	if c.now.Sub(c.eye.since) < c.o.Blind/2 || c.now.Sub(c.duty.began) < c.o.Blind || c.now.Sub(c.eye.asked) < 1e9 {
		return
	}
	c.eye.asked = c.now
	c.eye.round++
	c.tally.Looks++
	for _, v := range c.reg.known.Voters {
		if v.ID != c.o.Me.ID {
			c.send(v.Sibling, protocol.Look{Round: c.eye.round, List: c.list.List})
		}
	}
}

// onLook finds out what this node reaches. An order under duty 0 is none: servers only report.
func (c *Core) onLook(e protocol.Env) {
	b := e.Body.(protocol.Look)
	if len(b.List) > 1000 {
		return
	}
	left := len(b.List) + 1
	r := protocol.Looked{Round: b.Round}
	end := func() {
		if left--; left == 0 {
			c.reply(e, r)
		}
	}
	c.ask(c.o.Platform, "/servers", nil, c.o.Wait, func(t protocol.Told) {
		var l []protocol.Listed
		r.Platform = t.OK && t.Code == 200 && json.Unmarshal(t.Body, &l) == nil && sound(l)
		end()
	})
	for _, x := range b.List {
		c.ask(x.Addr, "/orders", protocol.Order{}, c.o.Wait, func(t protocol.Told) {
			var p protocol.Report
			if t.OK && json.Unmarshal(t.Body, &p) == nil && p.Server == x.ID {
				r.Servers++
			}
			end()
		})
	}
}

// onLooked gives the duty to a sibling that reaches clearly more.
func (c *Core) onLooked(e protocol.Env) {
	b := e.Body.(protocol.Looked)
	if !c.rules() || b.Round != c.eye.round || c.eye.since == 0 {
		return
	}
	should, do := c.reach()
	blind := c.now.Sub(c.seenAt) >= c.o.Blind
	if blind && b.Platform && b.Servers >= do || 2*do < should && b.Servers > do && 2*b.Servers >= should && (b.Platform || blind) {
		c.tally.Yields++
		c.giveBack(fmt.Sprintf("%s reaches %d of %d servers, this node %d", e.From.ID, b.Servers, should, do), e.From.ID)
		c.duty.shy = c.now.Add(c.o.Shy)
	}
}
