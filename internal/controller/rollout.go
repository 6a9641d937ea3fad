package controller

import (
	"slices"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// version is a configuration that the leader learned of, and a time before which it was not chosen.
type version struct {
	gen   uint64
	epoch ident.Epoch
	since clock.Instant
}

// maxVersions limits how many recent versions the leader remembers.
const maxVersions = 256

// resetVersions restarts the version list at the beginning of a term. When the newest version was chosen is
// unknown to a new leader, so a router that lacks it gets no lease.
func (c *Core) resetVersions() {
	c.versions, c.rollout, c.deltas = nil, rollout{}, configurationDeltas{}
	if known := c.register.known; known != nil {
		c.versions = append(c.versions, version{gen: known.Gen, epoch: known.Epoch})
	}
}

// broadcastDesired sends the newest desired state to every router.
//
// A router may use the previous version until its lease ends, and no lease may end later than RouterLease after a
// newer version was chosen. The leader may learn of a version some time after it was chosen. The version was
// not chosen before the last majority read that did not show it, so the time of that read is a safe bound.
func (c *Core) broadcastDesired() {
	d := c.sharedDesired()
	c.versions = append(c.versions, version{gen: d.Gen, epoch: d.Epoch, since: min(c.now, c.register.knownSince)})
	if n := len(c.versions) - maxVersions; n > 0 {
		c.versions = c.versions[n:]
	}
	c.startRollout(d.Epoch)
	for _, l := range c.sortedLinks() {
		c.offerDesired(l)
	}
}

// sharedDesired returns the newest desired state in a form shared by all links, so that it is encoded only
// once.
func (c *Core) sharedDesired() *protocol.Desired {
	known := c.register.known
	if c.newest == nil || c.newest.Gen != known.Gen || c.newest.Epoch != known.Epoch {
		d := *known
		c.deltas.replace(c.newest)
		c.newest, c.newestBytes = &d, &protocol.SharedEncoding{}
	}
	return c.newest
}

// offerDesired sends the newest desired state to a router that lacks it. While an earlier one is
// unacknowledged, the newer one waits. A slow router thus receives only the latest version, not every version.
func (c *Core) offerDesired(l *link) {
	known := c.register.known
	if known == nil || !l.lacks(known) || l.desiredPending() {
		return
	}
	update := protocol.Update{Desired: c.sharedDesired(), Shared: c.newestBytes}
	if base := c.deltas.baseFor(l); base != nil {
		update.Base, update.Shared = base, c.deltas.encodingFrom(base)
	}
	c.queueItem(l, update)
}

// replaceStaleDesired replaces an outdated desired state that is about to be sent again by the newest one.
func (c *Core) replaceStaleDesired(l *link) {
	stale := false
	for i := range l.unacked {
		if d := l.unacked[i].Desired; d != nil && c.register.known.Newer(d) {
			l.unacked[i].Desired, stale = nil, true // only the number is sent
		}
	}
	if stale {
		c.offerDesired(l)
	}
}

// markKnown records which desired state a router has. Queued states that are not newer need not be sent any
// more.
func (l *link) markKnown(gen uint64, epoch ident.Epoch) {
	if gen < l.gen || gen == l.gen && epoch < l.epoch {
		return
	}
	l.gen, l.epoch = gen, epoch
	for i := range l.unacked {
		if d := l.unacked[i].Desired; d != nil && (d.Gen < gen || d.Gen == gen && d.Epoch <= epoch) {
			l.unacked[i].Desired = nil
		}
	}
}

// lacks reports whether a router has no desired state or an older one than the given one.
func (l *link) lacks(known *protocol.Desired) bool {
	return l.gen < known.Gen || l.gen == known.Gen && l.epoch < known.Epoch
}

// missingSince returns the recorded time of the oldest version that a router lacks.
func (c *Core) missingSince(l *link) (since clock.Instant, lacks bool) {
	known := c.register.known
	if known == nil || !l.lacks(known) {
		return 0, false
	}
	for _, v := range c.versions {
		if v.gen > l.gen || v.gen == l.gen && v.epoch > l.epoch {
			return v.since, true
		}
	}
	return 0, true // it was chosen at an unknown time before the term of this node began
}

// rollout tracks the newest configuration on its way to the routers, for the log: how many routers had to
// receive it, how many leases expired meanwhile, and how long it took until it was in force everywhere.
type rollout struct {
	epoch         ident.Epoch
	began         clock.Instant
	links         int
	expiredLeases int
	active        bool
}

// startRollout records that a configuration is sent to every router.
func (c *Core) startRollout(epoch ident.Epoch) {
	if c.rollout.active {
		c.logRollout("configuration superseded before every router acknowledged it")
	}
	c.rollout = rollout{epoch: epoch, began: c.now, links: len(c.links), active: true}
}

// checkRollout logs the end of a rollout, when no router may use an older configuration any more.
func (c *Core) checkRollout() {
	if c.rollout.active && c.countBehind() == 0 {
		c.rollout.active = false
		c.logRollout("configuration in force: every router acknowledged it or its lease expired")
	}
}

// countBehind counts the links that have not acknowledged a configuration that they were sent.
func (c *Core) countBehind() (n int) {
	for _, l := range c.links {
		if l.desiredPending() {
			n++
		}
	}
	return n
}

func (l *link) desiredPending() bool {
	return slices.ContainsFunc(l.unacked, func(i change) bool { return i.Desired != nil })
}

func (c *Core) logRollout(text string) {
	c.logEvent(text, field("epoch", c.rollout.epoch), field("took_ms", c.now.Sub(c.rollout.began).Milliseconds()), field("routers", c.rollout.links),
		field("lapsed", c.rollout.expiredLeases), field("behind", c.countBehind()), field("term", c.leadership.term))
}
