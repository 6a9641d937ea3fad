package controller

import (
	"runtime"
	"slices"

	"tidedeck/internal/clock"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// link is the leader's side of the connection to one router: the changes sent in order, those that the router
// acknowledged, and the keys for which it holds a callback.
type link struct {
	session          protocol.Session
	replyTo          protocol.Envelope // last message received; answers return along its path
	unacked          []change
	lastNum          uint64
	gen              uint64      // of the newest configuration that the router is known to have
	epoch            ident.Epoch // of the same configuration
	ackedNum         uint64
	sentNum          uint64
	sentAt           clock.Instant
	leaseEnd         clock.Instant // end of the router's lease on this node's clock; the router's own lease ends earlier
	pendingRenewal   uint64        // sequence number of a renewal that waits for acknowledgements
	lastHeard        clock.Instant
	callbacks        map[ident.Key]uint64
	callbackOrder    []ident.Key // oldest first; the oldest are shed first
	tokensInProgress map[ident.Server]int
	overflowed       bool
	isDeferred       bool // it is in linkSet.deferred
	isRemoved        bool
	appliesDeltas    bool // the router's agent applies differences of configurations

	tokenTimes map[ident.Key]float64 // by base, as last sent to the router
	slowest    float64
}

// change is a numbered change on a link. Its creation time limits the router's lease until the change is
// acknowledged.
type change struct {
	protocol.Update
	createdAt clock.Instant
	sentAt    clock.Instant // when it was last sent
}

// boundsLease reports whether the router's lease is limited until it acknowledges the change. This applies to
// broken callbacks and to configurations.
func (i change) boundsLease() bool { return i.Break != "" || i.Desired != nil }

func (c *Core) linkOf(e protocol.Envelope, s protocol.Session) *link {
	if !c.holdsLease() {
		c.reply(e, c.notOwner(e, s))
		return nil
	}
	l := c.links[s]
	if l == nil {
		c.reply(e, protocol.NotOwner{Session: s, SessionEnded: true, CoreNodes: c.coreNodes()})
		return nil
	}
	l.replyTo, l.lastHeard = e, c.now
	c.workload.MarkActive(s, c.now)
	return l
}

// notOwner builds the answer of a node that is not the leader. It confirms the newest configuration if a
// recent majority read showed nothing newer. A router that goes on by that avoids the servers that the node knows to leave,
// so a node that may lack acknowledged departures confirms nothing.
func (c *Core) notOwner(e protocol.Envelope, s protocol.Session) protocol.NotOwner {
	answer := protocol.NotOwner{Session: s, OwnerHint: c.leadership.owner, CoreNodes: c.coreNodes(), Majority: c.hearsMajority()}
	if answer.OwnerHint.ID == c.o.Self.ID {
		answer.OwnerHint = protocol.Peer{}
	}
	renewal, renews := e.Body.(protocol.Renew)
	answer.Seq = renewal.Seq
	if known := c.register.known; renews && known != nil && c.register.knownSince != 0 && c.knowsDepartures() {
		answer.Gen, answer.Epoch = known.Gen, known.Epoch
		answer.ConfigLease = max(0, c.o.RouterLease-c.now.Sub(c.register.knownSince))
		answer.Leaving = c.leavingServers()
	}
	return answer
}

// knowsDepartures reports whether this node's disk has every departure that the node acknowledged.
func (c *Core) knowsDepartures() bool { return !c.o.Enrolled || c.departuresComplete }

func (c *Core) coreNodes() []protocol.Peer {
	if k := c.latest(); k != nil {
		return voterset.Peers(*k)
	}
	return c.o.Seeds
}

func (c *Core) onRenew(e protocol.Envelope) {
	b := e.Body.(protocol.Renew)
	if c.holdsLease() && c.links[b.Session] == nil && b.NewSession && c.endedSessions[b.Session] == 0 && c.register.known != nil {
		// Any new link may hold a lease, so the link counts as leased until its first grant.
		c.addLink(&link{session: b.Session, leaseEnd: c.now.Add(c.withDrift(c.o.RouterLease)), callbacks: map[ident.Key]uint64{}})
	}
	if c.holdsLease() && c.register.known != nil && b.Gen > c.register.known.Gen {
		c.raiseGeneration(b.Gen)
	}
	l := c.linkOf(e, b.Session)
	if l == nil {
		return
	}
	if !b.LoadUnchanged {
		c.recordLoad(l, b)
	}
	l.appliesDeltas = b.AppliesDeltas
	if !b.AppliesDeltas && l.awaitsDelta() {
		c.resendUnacked(l)
	}
	c.acknowledge(l, b.AckedNum)
	l.markKnown(b.Gen, b.Epoch)
	c.offerDesired(l)
	l.pendingRenewal = max(l.pendingRenewal, b.Seq)
	if !c.grant(l) && c.holdsLease() {
		c.tally.Withheld++
		c.reply(l.replyTo, protocol.Grant{Session: l.session, Seq: b.Seq, Term: c.leadership.term})
	}
}

// recordLoad replaces what a router reported before by what its renewal reports.
func (c *Core) recordLoad(l *link, b protocol.Renew) {
	c.updateTokensInProgress(l, b.TokensInProgress)
	c.recordTokenTimes(b.TokenTimes)
	c.workload.Report(b.Session, b.KeyLoads, c.now)
	for _, k := range generic.SortedKeys(b.KeyLoads) {
		if u := b.KeyLoads[k]; u.Waiting > 0 || u.Arrived > 0 {
			c.reportWaiting(k, u.Waiting, u.TopValue)
			c.recordArrivals(k, u)
		}
	}
}

// grant extends the lease of a router. While a broken callback or a configuration is unacknowledged, the lease
// ends when it would have ended if granted just before that change, so that it expires instead of outliving
// the change. It reports whether a lease was granted.
func (c *Core) grant(l *link) bool {
	if l.pendingRenewal == 0 || !c.holdsLease() {
		return false
	}
	old := c.now.Sub(c.knownSince())
	n := c.o.RouterLease - old
	if since, owes := c.unackedSince(l); owes {
		n = min(n, c.o.RouterLease-c.now.Sub(since))
	}
	if l.overflowed || n <= 0 {
		return false
	}
	l.leaseEnd = max(l.leaseEnd, c.now.Add(c.withDrift(n)))
	c.tally.Grants++
	c.reply(l.replyTo, protocol.Grant{Session: l.session, Seq: l.pendingRenewal, Length: n, Term: c.leadership.term, Routers: max(len(c.links), c.liveAgents), TokensInProgress: c.tokensInProgressFor(l), TokenTimes: c.tokenTimesUpdate(l)})
	l.pendingRenewal = 0
	return true
}

// knownSince returns the time from which leases count: by then this node held the term and knew the newest
// configuration.
func (c *Core) knownSince() clock.Instant { return min(c.leadership.renewedAt, c.register.knownSince) }

// owesChange reports whether an unacknowledged change limits the lease of a link.
func (l *link) owesChange() bool { return slices.ContainsFunc(l.unacked, change.boundsLease) }

// unackedSince returns the creation time of the oldest change that limits the lease of a router.
func (c *Core) unackedSince(l *link) (since clock.Instant, owes bool) {
	for _, i := range l.unacked {
		if i.Break != "" && (!owes || i.createdAt < since) {
			since, owes = i.createdAt, true
		}
	}
	if at, lacks := c.missingSince(l); lacks && (!owes || at < since) {
		since, owes = at, true
	}
	return since, owes
}

func (c *Core) acknowledge(l *link, num uint64) {
	if num <= l.ackedNum {
		return
	}
	l.ackedNum = min(num, l.lastNum)
	n := 0
	for n < len(l.unacked) && l.unacked[n].Num <= l.ackedNum {
		if l.unacked[n].Break != "" {
			c.tally.Acks++
		}
		if d := l.unacked[n].Desired; d != nil {
			l.markKnown(d.Gen, d.Epoch)
		}
		n++
	}
	l.unacked = l.unacked[n:]
}

func (c *Core) onAck(e protocol.Envelope) {
	b := e.Body.(protocol.Ack)
	if l := c.linkOf(e, b.Session); l != nil {
		c.acknowledge(l, b.Num)
		c.offerDesired(l)
		c.grant(l)
	}
}

// onEntryRequest answers a router's requests for entries. While the servers are not known, all of them wait.
func (c *Core) onEntryRequest(e protocol.Envelope) {
	b := e.Body.(protocol.EntryRequest)
	l := c.linkOf(e, b.Session)
	if l == nil {
		return
	}
	requested := append([]protocol.RequestedEntry{{Key: b.Key, Digest: b.Digest, Waiting: b.Waiting, Value: b.Value}}, b.More...)
	for _, r := range requested {
		c.reportWaiting(r.Key, r.Waiting, r.Value)
	}
	if !c.serversKnown() {
		if len(c.deferredWants) < 10_000 {
			c.deferredWants = append(c.deferredWants, e)
		}
		return
	}
	for _, r := range requested {
		c.answerEntryRequest(l, r)
	}
}

// answerEntryRequest registers a callback and sends the entry, or only confirms that the router's copy is current.
func (c *Core) answerEntryRequest(l *link, b protocol.RequestedEntry) {
	c.tally.Wants++
	if l.overflowed {
		return // its lease will expire
	}
	if l.callbacks[b.Key] > l.ackedNum {
		if c.now.Sub(l.sentAt) > minResendDelay {
			c.resendUnacked(l) // the entry is on its way, and late
		}
		return
	}
	x := c.entryOf(b.Key)
	i := c.wireEntry(b.Key, x)
	if len(x.replicas) == 0 {
		i.ReadyIn = c.estimateReady(b.Key)
	}
	if b.Digest == x.digest && len(x.replicas) > 0 {
		i.Unchanged, i.Replicas = true, nil
		c.tally.Sames++
	}
	if _, ok := l.callbacks[b.Key]; !ok {
		l.callbackOrder = append(l.callbackOrder, b.Key)
	}
	l.callbacks[b.Key] = c.queueItem(l, protocol.Update{Entry: &i})
	// Above the limit, the oldest callbacks are broken to free their memory (section 3.1 of the design paper, Howard
	// et al., 1988).
	for len(l.callbacks) > c.o.MaxCallbacks {
		k := l.callbackOrder[0]
		l.callbackOrder = l.callbackOrder[1:]
		if _, ok := l.callbacks[k]; ok {
			c.tally.Sheds++
			c.breakCallback(l, k)
		}
	}
}

func (c *Core) onDroppedEntries(e protocol.Envelope) {
	b := e.Body.(protocol.DroppedEntries)
	l := c.linkOf(e, b.Session)
	if l == nil {
		return
	}
	for _, d := range b.Drops {
		// A removal with an older number refers to a copy that a later delivery has replaced.
		if n, ok := l.callbacks[d.Key]; ok && n == d.Num {
			l.removeCallback(d.Key)
			c.tally.Removals++
		}
	}
}

func (l *link) removeCallback(k ident.Key) {
	delete(l.callbacks, k)
	for i, o := range l.callbackOrder {
		if o == k {
			l.callbackOrder = append(l.callbackOrder[:i:i], l.callbackOrder[i+1:]...)
			return
		}
	}
}

func (c *Core) breakCallback(l *link, k ident.Key) {
	l.removeCallback(k)
	c.queueItem(l, protocol.Update{Break: k})
	c.tally.Breaks++
	if len(l.unacked) > c.o.MaxUnacknowledged {
		l.overflowed = true
	}
}

// extendCallbacks sends an entry that gained replicas to every holder. The copies of the holders contain no
// wrong replica, so no callback is broken, and no router has to ask again. A holder that had replicas before can wait.
func (c *Core) extendCallbacks(k ident.Key, e *entry, hadReplicas bool) {
	i, packed := c.wireEntry(k, e), &protocol.SharedEncoding{}
	for _, l := range c.sortedLinks() {
		switch _, ok := l.callbacks[k]; {
		case !ok || l.overflowed:
		case hadReplicas:
			l.callbacks[k] = c.queueDeferred(l, protocol.Update{Entry: &i, Shared: packed})
		default:
			l.callbacks[k] = c.queueItem(l, protocol.Update{Entry: &i, Shared: packed})
		}
	}
}

// wireEntry converts an entry to its form in messages.
func (c *Core) wireEntry(k ident.Key, e *entry) protocol.Entry {
	i := protocol.Entry{Key: k, Digest: e.digest, Unplaceable: e.unplaceable}
	for _, r := range e.replicas {
		p := r.wire
		p.ReadyFor = c.now.Sub(r.state.readySince)
		i.Replicas = append(i.Replicas, p)
	}
	return i
}

// breakCallbacks breaks the callbacks on a key at every holder. For unfenced servers the remaining entry
// follows at once: its other replicas are still valid, and the holders need not ask a leader that may have
// failed by then.
func (c *Core) breakCallbacks(k ident.Key, e *entry) {
	i, packed := c.wireEntry(k, e), &protocol.SharedEncoding{}
	for _, l := range c.sortedLinks() {
		if _, ok := l.callbacks[k]; !ok {
			continue
		}
		c.breakCallback(l, k)
		if c.o.Unfenced && len(e.replicas) > 0 && !l.overflowed {
			l.callbackOrder = append(l.callbackOrder, k)
			l.callbacks[k] = c.queueItem(l, protocol.Update{Entry: &i, Shared: packed})
		}
	}
}

// pendingBreaks returns the links that may still use an older entry of a key, each with the number of the
// change that it must acknowledge before it stops doing so.
func (c *Core) pendingBreaks(k ident.Key) map[protocol.Session]uint64 {
	w := map[protocol.Session]uint64{}
	for s, l := range c.links {
		for _, i := range l.unacked {
			if i.Break == k || i.Entry != nil && i.Entry.Key == k {
				w[s] = max(w[s], i.Num)
			}
		}
	}
	return w
}

// allAcked reports whether every link has acknowledged its change or no longer exists.
func (c *Core) allAcked(w map[protocol.Session]uint64) bool {
	for s, n := range w {
		if l := c.links[s]; l != nil && l.ackedNum < n {
			return false
		}
	}
	return true
}

// sortedLinks returns the links in session order. Links must not be added or removed during an iteration over
// the list.
func (c *Core) sortedLinks() []*link {
	c.countVisits(len(c.linkSet.ordered))
	return c.linkSet.ordered
}

// addLink adds the link of a new session.
func (c *Core) addLink(l *link) {
	c.links[l.session] = l
	c.linkSet.add(l)
}

// removeLink deletes a link and everything that its router has reported.
func (c *Core) removeLink(l *link) {
	c.updateTokensInProgress(l, nil)
	c.workload.Forget(l.session)
	delete(c.links, l.session)
	c.linkSet.remove(l)
	c.endedSessions[l.session] = c.now
}

func (c *Core) tickLinks() {
	if !c.holdsLease() {
		return
	}
	for _, l := range slices.Clone(c.sortedLinks()) {
		if c.now > l.leaseEnd {
			if len(l.unacked) > 0 {
				c.tally.Lapses++
				c.rollout.expiredLeases++
				c.logEvent("router lease expired with unacknowledged changes", field("router", l.session.Node), field("session", l.session.Num),
					field("unacknowledged", len(l.unacked)), field("owes", l.owesChange()), field("configuration", l.desiredPending()),
					field("waited_ms", c.now.Sub(l.sentAt).Milliseconds()))
			}
			c.removeLink(l)
			continue
		}
		if l.overdue(c.now) {
			c.resendUnacked(l)
		}
	}
	c.linkSet.releaseDeferred(c.now)
	c.checkRollout()
	for s, t := range c.endedSessions {
		if c.now.Sub(t) > 60e9 {
			delete(c.endedSessions, s)
		}
	}
	if c.serversKnown() && len(c.deferredWants) > 0 {
		l := c.deferredWants
		c.deferredWants = nil
		for _, e := range l {
			c.onEntryRequest(e)
		}
	}
}

// MeasureCallbackMemory returns the bytes of memory that a node uses for each of n callbacks of one router.
func MeasureCallbackMemory(c *Core, n int, heap func() uint64) float64 {
	was := heap()
	defer runtime.KeepAlive(c)
	l := &link{callbacks: map[ident.Key]uint64{}}
	c.links[protocol.Session{Node: "weighed"}] = l
	for i := range n {
		k := ident.Key("model-" + string(rune('a'+i%26)) + "+adapter-" + string(rune('a'+i/26%26)) + string(rune('a'+i/676)))
		l.callbacks[k] = uint64(i)
		l.callbackOrder = append(l.callbackOrder, k)
	}
	return (float64(heap()) - float64(was)) / float64(n)
}
