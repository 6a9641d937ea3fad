package controller

import (
	"slices"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// version is a configuration that the owner learned of, and since when it has been in force at the latest.
type version struct {
	gen   uint64
	epoch ident.Epoch
	since clock.Tick
}

// versionsKept bounds how many versions the owner remembers: those that came within some leases.
const versionsKept = 256

// beginVersions begins the list anew with a term. Nobody here knows since when the newest version has been there: a router
// that lacks it gets no lease.
func (c *Core) beginVersions() {
	c.versions, c.rollout = nil, rollout{}
	if known := c.reg.known; known != nil {
		c.versions = append(c.versions, version{gen: known.Gen, epoch: known.Epoch})
	}
}

// pushAll has the newest desired state go down every link.
//
// A router may go by the version before until its lease ends, and no lease outlives the moment at which a newer version
// was chosen by more than the hold. The owner may learn of a version some time after it was chosen, but not before the
// last majority read that did not show it.
func (c *Core) pushAll() {
	d := c.shareNewest()
	c.versions = append(c.versions, version{gen: d.Gen, epoch: d.Epoch, since: min(c.now, c.reg.heard)})
	if n := len(c.versions) - versionsKept; n > 0 {
		c.versions = c.versions[n:]
	}
	c.beginRollout(d.Epoch)
	for _, l := range c.sorted() {
		c.offer(l)
	}
}

// shareNewest gives the newest desired state as it goes to all routers, so that it is packed once for them.
func (c *Core) shareNewest() *protocol.Desired {
	known := c.reg.known
	if c.newest == nil || c.newest.Gen != known.Gen || c.newest.Epoch != known.Epoch {
		d := *known
		c.newest, c.newestBytes = &d, &protocol.Packed{}
	}
	return c.newest
}

// offer sends a router the newest desired state if it lacks it. While one that was sent is on its way, or being read,
// a newer one waits: a router that is slow takes in the newest each time, and not each one.
func (c *Core) offer(l *link) {
	known := c.reg.known
	if known == nil || !l.lacks(known) || l.owesDesired() {
		return
	}
	c.add(l, protocol.Item{Desired: c.shareNewest(), Packed: c.newestBytes})
}

// renew puts the newest desired state in the place of an older one that goes out again.
func (c *Core) renew(l *link) {
	stale := false
	for i := range l.items {
		if d := l.items[i].Desired; d != nil && c.reg.known.Newer(d) {
			l.items[i].Desired, stale = nil, true // its number alone goes out
		}
	}
	if stale {
		c.offer(l)
	}
}

// has notes which desired state a router has. What was sent no longer has to come if it is no newer.
func (l *link) has(gen uint64, epoch ident.Epoch) {
	if gen < l.gen || gen == l.gen && epoch < l.epoch {
		return
	}
	l.gen, l.epoch = gen, epoch
	for i := range l.items {
		if d := l.items[i].Desired; d != nil && (d.Gen < gen || d.Gen == gen && d.Epoch <= epoch) {
			l.items[i].Desired = nil
		}
	}
}

// lacks tells whether a router has an older desired state than one that is known, or none.
func (l *link) lacks(known *protocol.Desired) bool {
	return l.gen < known.Gen || l.gen == known.Gen && l.epoch < known.Epoch
}

// lackedSince tells since when a router lacks a version that was chosen after the one that it has.
func (c *Core) lackedSince(l *link) (since clock.Tick, lacks bool) {
	known := c.reg.known
	if known == nil || !l.lacks(known) {
		return 0, false
	}
	for _, v := range c.versions {
		if v.gen > l.gen || v.gen == l.gen && v.epoch > l.epoch {
			return v.since, true
		}
	}
	return 0, true // it was chosen before this node's term began, nobody here knows when
}

// rollout follows one configuration on its way to the routers, for the log: how many had to take it in, how many leases
// ran out over it, and how long it took until it was in force everywhere.
type rollout struct {
	epoch  ident.Epoch
	began  clock.Tick
	links  int
	lapsed int
	open   bool
}

// beginRollout notes that a configuration goes out to every link.
func (c *Core) beginRollout(epoch ident.Epoch) {
	if c.rollout.open {
		c.noteRollout("a newer configuration overtakes one that routers have not all taken in")
	}
	c.rollout = rollout{epoch: epoch, began: c.now, links: len(c.links), open: true}
}

// watchRollout tells once no link is left that may still go by an older configuration.
func (c *Core) watchRollout() {
	if c.rollout.open && c.behind() == 0 {
		c.rollout.open = false
		c.noteRollout("the configuration is in force at every router, or the router's lease ran out")
	}
}

// behind counts the links that have not acknowledged the newest configuration that they were sent.
func (c *Core) behind() (n int) {
	for _, l := range c.links {
		if l.owesDesired() {
			n++
		}
	}
	return n
}

func (l *link) owesDesired() bool {
	return slices.ContainsFunc(l.items, func(i change) bool { return i.Desired != nil })
}

func (c *Core) noteRollout(text string) {
	c.note(text, field("epoch", c.rollout.epoch), field("took_ms", c.now.Sub(c.rollout.began).Milliseconds()), field("routers", c.rollout.links),
		field("lapsed", c.rollout.lapsed), field("behind", c.behind()), field("term", c.duty.num))
}
