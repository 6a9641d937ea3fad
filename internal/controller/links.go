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
	ses              protocol.Session
	replyTo          protocol.Env // last message received; answers return along its path
	items            []change
	lastNum          uint64
	gen              uint64      // of the newest configuration that the router is known to have
	epoch            ident.Epoch // of the same configuration
	heard            uint64
	sent             uint64
	sentAt           clock.Tick
	until            clock.Tick // end of the router's lease on this node's clock; the router's own lease ends earlier
	pendingRenewal   uint64     // sequence number of a renewal that waits for acknowledgements
	lastHeard        clock.Tick
	holds            map[ident.Key]uint64
	callbackOrder    []ident.Key // oldest first; the oldest are shed first
	tokensInProgress map[ident.Server]int
	overflowed       bool

	tokenTimes map[ident.Key]float64 // by base, as last sent to the router
	slowest    float64
}

// change is a numbered change on a link. Its creation time limits the router's lease until the change is
// acknowledged.
type change struct {
	protocol.Item
	createdAt clock.Tick
}

// boundsLease reports whether the router's lease is limited until it acknowledges the change. This applies to
// broken callbacks and to configurations.
func (i change) boundsLease() bool { return i.Break != "" || i.Desired != nil }

func (c *Core) linkOf(e protocol.Env, s protocol.Session) *link {
	if !c.rules() {
		c.reply(e, c.notOwner(e, s))
		return nil
	}
	l := c.links[s]
	if l == nil {
		c.reply(e, protocol.NotOwner{Session: s, Gone: true, Cores: c.coreNodes()})
		return nil
	}
	l.replyTo, l.lastHeard = e, c.now
	c.workload.Heard(s, c.now)
	return l
}

// notOwner builds the answer of a node that is not the leader. It confirms the newest configuration if a
// recent majority read showed nothing newer.
func (c *Core) notOwner(e protocol.Env, s protocol.Session) protocol.NotOwner {
	answer := protocol.NotOwner{Session: s, Hint: c.duty.who, Cores: c.coreNodes(), Majority: c.hearsMajority()}
	if answer.Hint.ID == c.o.Me.ID {
		answer.Hint = protocol.Sibling{}
	}
	renewal, renews := e.Body.(protocol.Renew)
	if known := c.reg.known; renews && known != nil && c.reg.heard != 0 {
		answer.Seq, answer.Gen, answer.Epoch = renewal.Seq, known.Gen, known.Epoch
		answer.Fresh = max(0, c.o.Hold-c.now.Sub(c.reg.heard))
		answer.Leaving = c.knownToLeave()
	}
	return answer
}

func (c *Core) coreNodes() []protocol.Sibling {
	if k := c.latest(); k != nil {
		return voterset.Addresses(*k)
	}
	return c.o.Seeds
}

func (c *Core) onRenew(e protocol.Env) {
	b := e.Body.(protocol.Renew)
	if c.rules() && c.links[b.Session] == nil && b.Fresh && c.tombs[b.Session] == 0 && c.reg.known != nil {
		// Any new link may hold a lease, so the link counts as leased until its first grant.
		c.addLink(&link{ses: b.Session, until: c.now.Add(c.pad(c.o.Hold)), holds: map[ident.Key]uint64{}})
	}
	if c.rules() && c.reg.known != nil && b.Gen > c.reg.known.Gen {
		c.lift(b.Gen)
	}
	l := c.linkOf(e, b.Session)
	if l == nil {
		return
	}
	c.updateTokensInProgress(l, b.Seats)
	c.recordTokenTimes(b.Paces)
	c.workload.Report(b.Session, b.Burden, c.now)
	for _, k := range generic.SortedKeys(b.Burden) {
		if u := b.Burden[k]; u.Wait > 0 || u.Came > 0 {
			c.reportWaiting(k, u.Wait, u.Top)
			c.recordArrivals(k, u)
		}
	}
	c.acknowledge(l, b.Heard)
	l.markKnown(b.Gen, b.Epoch)
	c.offerDesired(l)
	l.pendingRenewal = max(l.pendingRenewal, b.Seq)
	if !c.grant(l) && c.rules() {
		c.tally.Withheld++
		c.reply(l.replyTo, protocol.Grant{Session: l.ses, Seq: b.Seq, Duty: c.duty.num})
	}
}

// grant extends the lease of a router. While a broken callback or a configuration is unacknowledged, the lease
// ends when it would have ended if granted just before that change, so that it expires instead of outliving
// the change. It reports whether a lease was granted.
func (c *Core) grant(l *link) bool {
	if l.pendingRenewal == 0 || !c.rules() {
		return false
	}
	old := c.now.Sub(c.knownSince())
	n := c.o.Hold - old
	if since, owes := c.owedSince(l); owes {
		n = min(n, c.o.Hold-c.now.Sub(since))
	}
	if l.overflowed || n <= 0 {
		return false
	}
	l.until = max(l.until, c.now.Add(c.pad(n)))
	c.tally.Grants++
	c.reply(l.replyTo, protocol.Grant{Session: l.ses, Seq: l.pendingRenewal, Len: n, Duty: c.duty.num, Routers: max(len(c.links), c.mates.CountAlive("agent")), Seats: c.tokensInProgressFor(l), Paces: c.tokenTimesUpdate(l)})
	l.pendingRenewal = 0
	return true
}

// knownSince returns the time from which leases count: by then this node held the term and knew the newest
// configuration.
func (c *Core) knownSince() clock.Tick { return min(c.duty.asked, c.reg.heard) }

// owesChange reports whether an unacknowledged change limits the lease of a link.
func (l *link) owesChange() bool { return slices.ContainsFunc(l.items, change.boundsLease) }

// owedSince returns the creation time of the oldest change that limits the lease of a router.
func (c *Core) owedSince(l *link) (since clock.Tick, owes bool) {
	for _, i := range l.items {
		if i.Break != "" && (!owes || i.createdAt < since) {
			since, owes = i.createdAt, true
		}
	}
	if at, lacks := c.missingSince(l); lacks && (!owes || at < since) {
		since, owes = at, true
	}
	return since, owes
}

// An unacknowledged change is sent again after minResendDelay. For a configuration, resendDelayPerByte is
// added for each byte: a router with a tenth of a CPU core and 10 Mbit/s needs about that long to process it.
const (
	minResendDelay     = clock.Span(200e6)
	resendDelayPerByte = clock.Span(1500)
)

// resendDelay returns how long to wait for an acknowledgement before sending again. It grows with the size of
// the data, as repeats of a large plan would otherwise displace all other traffic.
func (l *link) resendDelay() clock.Span {
	n := 0
	for _, i := range l.items {
		if i.Desired != nil {
			n += len(i.Desired.Plan)
		}
	}
	return minResendDelay + clock.Span(n)*resendDelayPerByte
}

func (c *Core) queueItem(l *link, i protocol.Item) uint64 {
	l.lastNum++
	i.Num = l.lastNum
	l.items = append(l.items, change{i, c.now})
	c.linkSet.unsent[l] = true
	return l.lastNum
}

func (c *Core) acknowledge(l *link, num uint64) {
	if num <= l.heard {
		return
	}
	l.heard = min(num, l.lastNum)
	n := 0
	for n < len(l.items) && l.items[n].Num <= l.heard {
		if l.items[n].Break != "" {
			c.tally.Acks++
		}
		if d := l.items[n].Desired; d != nil {
			l.markKnown(d.Gen, d.Epoch)
		}
		n++
	}
	l.items = l.items[n:]
}

func (c *Core) onAck(e protocol.Env) {
	b := e.Body.(protocol.Heard)
	if l := c.linkOf(e, b.Session); l != nil {
		c.acknowledge(l, b.Num)
		c.offerDesired(l)
		c.grant(l)
	}
}

// onEntryRequest registers a callback and sends the entry, or only confirms that the router's copy is current.
func (c *Core) onEntryRequest(e protocol.Env) {
	b := e.Body.(protocol.Want)
	l := c.linkOf(e, b.Session)
	if l == nil {
		return
	}
	c.reportWaiting(b.Key, b.Waiting, b.Value)
	if !c.settled() {
		if len(c.wants) < 10_000 {
			c.wants = append(c.wants, e)
		}
		return
	}
	c.tally.Wants++
	if l.holds[b.Key] > l.heard || l.overflowed {
		return // the entry is on its way, or the link is overflowed and its lease will expire
	}
	x := c.entryOf(b.Key)
	i := c.wireEntry(b.Key, x)
	if len(x.replicas) == 0 {
		i.Soon = c.estimateReady(b.Key)
	}
	if b.Mark == x.digest && len(x.replicas) > 0 {
		i.Same, i.Replicas = true, nil
		c.tally.Sames++
	}
	if _, ok := l.holds[b.Key]; !ok {
		l.callbackOrder = append(l.callbackOrder, b.Key)
	}
	l.holds[b.Key] = c.queueItem(l, protocol.Item{Entry: &i})
	// Above the limit, the oldest callbacks are broken to free their memory (section 3.1 of the design paper, Howard
	// et al., 1988).
	for len(l.holds) > c.o.Most {
		k := l.callbackOrder[0]
		l.callbackOrder = l.callbackOrder[1:]
		if _, ok := l.holds[k]; ok {
			c.tally.Sheds++
			c.breakCallback(l, k)
		}
	}
}

func (c *Core) onDroppedEntries(e protocol.Env) {
	b := e.Body.(protocol.Removal)
	l := c.linkOf(e, b.Session)
	if l == nil {
		return
	}
	for _, d := range b.Drops {
		// A removal with an older number refers to a copy that a later delivery has replaced.
		if n, ok := l.holds[d.Key]; ok && n == d.Num {
			l.removeCallback(d.Key)
			c.tally.Removals++
		}
	}
}

func (l *link) removeCallback(k ident.Key) {
	delete(l.holds, k)
	for i, o := range l.callbackOrder {
		if o == k {
			l.callbackOrder = append(l.callbackOrder[:i:i], l.callbackOrder[i+1:]...)
			return
		}
	}
}

func (c *Core) breakCallback(l *link, k ident.Key) {
	l.removeCallback(k)
	c.queueItem(l, protocol.Item{Break: k})
	c.tally.Breaks++
	if len(l.items) > c.o.Pending {
		l.overflowed = true
	}
}

// extendCallbacks sends an entry that gained replicas to every holder. The copies of the holders contain no
// wrong replica, so no callback is broken, and no router has to ask again.
func (c *Core) extendCallbacks(k ident.Key, e *entry) {
	i, packed := c.wireEntry(k, e), &protocol.Packed{}
	for _, l := range c.sorted() {
		if _, ok := l.holds[k]; ok && !l.overflowed {
			l.holds[k] = c.queueItem(l, protocol.Item{Entry: &i, Packed: packed})
		}
	}
}

// wireEntry converts an entry to its form in messages.
func (c *Core) wireEntry(k ident.Key, e *entry) protocol.Entry {
	i := protocol.Entry{Key: k, Mark: e.digest, Never: e.unplaceable}
	for _, r := range e.replicas {
		p := r.wire
		p.Warm = c.now.Sub(r.state.ready)
		i.Replicas = append(i.Replicas, p)
	}
	return i
}

// breakCallbacks breaks the callbacks on a key at every holder. For unfenced servers the remaining entry
// follows at once: its other replicas are still valid, and the holders need not ask a leader that may have
// failed by then.
func (c *Core) breakCallbacks(k ident.Key, e *entry) {
	i, packed := c.wireEntry(k, e), &protocol.Packed{}
	for _, l := range c.sorted() {
		if _, ok := l.holds[k]; !ok {
			continue
		}
		c.breakCallback(l, k)
		if c.o.Unfenced && len(e.replicas) > 0 && !l.overflowed {
			l.callbackOrder = append(l.callbackOrder, k)
			l.holds[k] = c.queueItem(l, protocol.Item{Entry: &i, Packed: packed})
		}
	}
}

// pendingBreaks returns the links that may still use an older entry of a key, each with the number of the
// change that it must acknowledge before it stops doing so.
func (c *Core) pendingBreaks(k ident.Key) map[protocol.Session]uint64 {
	w := map[protocol.Session]uint64{}
	for s, l := range c.links {
		for _, i := range l.items {
			if i.Break == k || i.Entry != nil && i.Entry.Key == k {
				w[s] = max(w[s], i.Num)
			}
		}
	}
	return w
}

// dropped reports whether every link has acknowledged its change or no longer exists.
func (c *Core) dropped(w map[protocol.Session]uint64) bool {
	for s, n := range w {
		if l := c.links[s]; l != nil && l.heard < n {
			return false
		}
	}
	return true
}

// sortedLinks returns the links in session order. Links must not be added or removed during an iteration over
// the list.
func (c *Core) sorted() []*link {
	c.visit(len(c.linkSet.ordered))
	return c.linkSet.ordered
}

// addLink adds the link of a new session.
func (c *Core) addLink(l *link) {
	c.links[l.ses] = l
	c.linkSet.add(l)
}

// removeLink deletes a link and everything that its router has reported.
func (c *Core) removeLink(l *link) {
	c.updateTokensInProgress(l, nil)
	c.workload.Forget(l.ses)
	delete(c.links, l.ses)
	c.linkSet.remove(l)
	c.tombs[l.ses] = c.now
}

func (c *Core) beatLinks() {
	if !c.rules() {
		return
	}
	for _, l := range slices.Clone(c.sorted()) {
		if c.now > l.until {
			if len(l.items) > 0 {
				c.tally.Lapses++
				c.rollout.expiredLeases++
				c.note("router lease expired with unacknowledged changes", field("router", l.ses.Node), field("session", l.ses.N),
					field("unacknowledged", len(l.items)), field("owes", l.owesChange()), field("configuration", l.desiredPending()),
					field("waited_ms", c.now.Sub(l.sentAt).Milliseconds()))
			}
			c.removeLink(l)
			continue
		}
		if len(l.items) > 0 && c.now.Sub(l.sentAt) > l.resendDelay() {
			c.replaceStaleDesired(l)
			l.sent = l.heard // unacknowledged changes are sent again
			c.linkSet.unsent[l] = true
		}
	}
	c.checkRollout()
	for s, t := range c.tombs {
		if c.now.Sub(t) > 60e9 {
			delete(c.tombs, s)
		}
	}
	if c.settled() && len(c.wants) > 0 {
		l := c.wants
		c.wants = nil
		for _, e := range l {
			c.onEntryRequest(e)
		}
	}
}

// flush sends the changes that have not been sent yet on each link.
func (c *Core) flush() {
	if !c.rules() {
		return
	}
	for _, l := range c.linkSet.takeUnsent() {
		c.visit(1)
		if l.sent >= l.lastNum || len(l.items) == 0 {
			continue
		}
		n := protocol.News{Session: l.ses, Duty: c.duty.num}
		for _, i := range l.items {
			if i.Num > l.sent && len(n.Items) < maxItemsPerMessage {
				n.Items = append(n.Items, i.Item)
			}
		}
		l.sent, l.sentAt = n.Items[len(n.Items)-1].Num, c.now
		c.reply(l.replyTo, n)
		if l.sent < l.lastNum {
			c.linkSet.unsent[l] = true // the rest follows with the next input
		}
	}
}

// maxItemsPerMessage limits the number of changes in one message.
const maxItemsPerMessage = 128

// MeasureCallbackMemory returns the bytes of memory that a node uses for each of n callbacks of one router.
func Weigh(c *Core, n int, heap func() uint64) float64 {
	was := heap()
	defer runtime.KeepAlive(c)
	l := &link{holds: map[ident.Key]uint64{}}
	c.links[protocol.Session{Node: "weighed"}] = l
	for i := range n {
		k := ident.Key("model-" + string(rune('a'+i%26)) + "+adapter-" + string(rune('a'+i/26%26)) + string(rune('a'+i/676)))
		l.holds[k] = uint64(i)
		l.callbackOrder = append(l.callbackOrder, k)
	}
	return (float64(heap()) - float64(was)) / float64(n)
}
