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

// link is the owner's side of one router link: what was sent in order, what the router
// acknowledged, and for which entries it holds a callback.
type link struct {
	ses    protocol.Session
	way    protocol.Env // the last message heard, by which answers go back
	items  []change
	num    uint64
	gen    uint64      // of the configuration that the router has surely
	epoch  ident.Epoch // likewise
	heard  uint64
	sent   uint64
	sentAt clock.Tick
	until  clock.Tick // on this node's clock; the router's own ends earlier
	due    uint64     // a renewal that waits for acknowledgements
	last   clock.Tick
	holds  map[ident.Key]uint64
	order  []ident.Key // oldest first, for shedding
	seats  map[ident.Server]int
	full   bool

	paces   map[ident.Key]float64 // by base, as the router was last told
	slowest float64
}

// change is one numbered change on a link, and since when the router's lease is bounded by it.
type change struct {
	protocol.Item
	made clock.Tick
}

// owed tells whether a change takes something away: until it is acknowledged, the lease may not outlive it for long.
func (i change) owed() bool { return i.Break != "" || i.Desired != nil }

func (c *Core) linkOf(e protocol.Env, s protocol.Session) *link {
	if !c.rules() {
		c.reply(e, c.notOwner(e, s))
		return nil
	}
	l := c.links[s]
	if l == nil {
		c.reply(e, protocol.NotOwner{Session: s, Gone: true, Cores: c.cores()})
		return nil
	}
	l.way, l.last = e, c.now
	c.workload.Heard(s, c.now)
	return l
}

// notOwner answers a router at a node that does not own the duty, and vouches for the newest configuration if a majority
// showed this node nothing newer of late.
func (c *Core) notOwner(e protocol.Env, s protocol.Session) protocol.NotOwner {
	answer := protocol.NotOwner{Session: s, Hint: c.duty.who, Cores: c.cores(), Majority: c.hearsMajority()}
	if answer.Hint.ID == c.o.Me.ID {
		answer.Hint = protocol.Sibling{}
	}
	asked, renews := e.Body.(protocol.Renew)
	if known := c.reg.known; renews && known != nil && c.reg.heard != 0 {
		answer.Seq, answer.Gen, answer.Epoch = asked.Seq, known.Gen, known.Epoch
		answer.Fresh = max(0, c.o.Hold-c.now.Sub(c.reg.heard))
		answer.Leaving = c.knownToLeave()
	}
	return answer
}

func (c *Core) cores() []protocol.Sibling {
	if k := c.latest(); k != nil {
		return voterset.Addresses(*k)
	}
	return c.o.Seeds
}

func (c *Core) onRenew(e protocol.Env) {
	b := e.Body.(protocol.Renew)
	if c.rules() && c.links[b.Session] == nil && b.Fresh && c.tombs[b.Session] == 0 && c.reg.known != nil {
		// Until its first grant a link counts as held, as any new one may be.
		c.addLink(&link{ses: b.Session, until: c.now.Add(c.pad(c.o.Hold)), holds: map[ident.Key]uint64{}})
	}
	if c.rules() && c.reg.known != nil && b.Gen > c.reg.known.Gen {
		c.lift(b.Gen)
	}
	l := c.linkOf(e, b.Session)
	if l == nil {
		return
	}
	c.count(l, b.Seats)
	c.heardPaces(b.Paces)
	c.workload.Report(b.Session, b.Burden, c.now)
	for _, k := range generic.SortedKeys(b.Burden) {
		if u := b.Burden[k]; u.Wait > 0 || u.Came > 0 {
			c.wanted(k, u.Wait, u.Top)
			c.came(k, u)
		}
	}
	c.ack(l, b.Heard)
	l.has(b.Gen, b.Epoch)
	c.offer(l)
	l.due = max(l.due, b.Seq)
	if !c.grant(l) && c.rules() {
		c.tally.Withheld++
		c.reply(l.way, protocol.Grant{Session: l.ses, Seq: b.Seq, Duty: c.duty.num})
	}
}

// grant extends a link's hold. Beside a broken promise or a configuration that is still unacknowledged the hold ends when
// it would have ended, had it been granted just before them: it runs out rather than live on. It tells whether there was
// anything to grant.
func (c *Core) grant(l *link) bool {
	if l.due == 0 || !c.rules() {
		return false
	}
	old := c.now.Sub(c.knownSince())
	n := c.o.Hold - old
	if since, owes := c.owedSince(l); owes {
		n = min(n, c.o.Hold-c.now.Sub(since))
	}
	if l.full || n <= 0 {
		return false
	}
	l.until = max(l.until, c.now.Add(c.pad(n)))
	c.tally.Grants++
	c.reply(l.way, protocol.Grant{Session: l.ses, Seq: l.due, Len: n, Duty: c.duty.num, Routers: max(len(c.links), c.mates.CountAlive("agent")), Seats: c.seatsOf(l), Paces: c.pacesFor(l)})
	l.due = 0
	return true
}

// knownSince gives from when leases count: this node owned the term then, and knew what was the newest.
func (c *Core) knownSince() clock.Tick { return min(c.duty.asked, c.reg.heard) }

// owes tells whether anything is unacknowledged that bounds a link's lease.
func (l *link) owes() bool { return slices.ContainsFunc(l.items, change.owed) }

// owedSince tells since when a router may lack something that its lease may not outlive for long.
func (c *Core) owedSince(l *link) (since clock.Tick, owes bool) {
	for _, i := range l.items {
		if i.Break != "" && (!owes || i.made < since) {
			since, owes = i.made, true
		}
	}
	if at, lacks := c.lackedSince(l); lacks && (!owes || at < since) {
		since, owes = at, true
	}
	return since, owes
}

// A change that is not acknowledged goes out again after leastPatience, and a configuration later by patienceOfByte for
// each of its bytes: a router with a tenth of a core and 10 Mbit/s takes about so long to take it in.
const (
	leastPatience  = clock.Span(200e6)
	patienceOfByte = clock.Span(1500)
)

// patience tells how long to wait for an acknowledgement before sending again: the larger
// what was sent, the longer, or repeats of a large plan would crowd out all else.
func (l *link) patience() clock.Span {
	n := 0
	for _, i := range l.items {
		if i.Desired != nil {
			n += len(i.Desired.Plan)
		}
	}
	return leastPatience + clock.Span(n)*patienceOfByte
}

func (c *Core) add(l *link, i protocol.Item) uint64 {
	l.num++
	i.Num = l.num
	l.items = append(l.items, change{i, c.now})
	c.linkSet.unsent[l] = true
	return l.num
}

func (c *Core) ack(l *link, num uint64) {
	if num <= l.heard {
		return
	}
	l.heard = min(num, l.num)
	n := 0
	for n < len(l.items) && l.items[n].Num <= l.heard {
		if l.items[n].Break != "" {
			c.tally.Acks++
		}
		if d := l.items[n].Desired; d != nil {
			l.has(d.Gen, d.Epoch)
		}
		n++
	}
	l.items = l.items[n:]
}

func (c *Core) onHeard(e protocol.Env) {
	b := e.Body.(protocol.Heard)
	if l := c.linkOf(e, b.Session); l != nil {
		c.ack(l, b.Num)
		c.offer(l)
		c.grant(l)
	}
}

// onWant places a callback and sends the entry, or only says that the router's copy is right.
func (c *Core) onWant(e protocol.Env) {
	b := e.Body.(protocol.Want)
	l := c.linkOf(e, b.Session)
	if l == nil {
		return
	}
	c.wanted(b.Key, b.Waiting, b.Value)
	if !c.settled() {
		if len(c.wants) < 10_000 {
			c.wants = append(c.wants, e)
		}
		return
	}
	c.tally.Wants++
	if l.holds[b.Key] > l.heard || l.full {
		return // its entry is on the way, or the link is left to run out
	}
	x := c.entryOf(b.Key)
	i := c.itemOf(b.Key, x)
	if len(x.replicas) == 0 {
		i.Soon = c.soon(b.Key)
	}
	if b.Mark == x.mark && len(x.replicas) > 0 {
		i.Same, i.Replicas = true, nil
		c.tally.Sames++
	}
	if _, ok := l.holds[b.Key]; !ok {
		l.order = append(l.order, b.Key)
	}
	l.holds[b.Key] = c.add(l, protocol.Item{Entry: &i})
	// Under pressure the oldest callbacks are broken and their state reclaimed (§3.1).
	for len(l.holds) > c.o.Most {
		k := l.order[0]
		l.order = l.order[1:]
		if _, ok := l.holds[k]; ok {
			c.tally.Sheds++
			c.breakOn(l, k)
		}
	}
}

func (c *Core) onRemoval(e protocol.Env) {
	b := e.Body.(protocol.Removal)
	l := c.linkOf(e, b.Session)
	if l == nil {
		return
	}
	for _, d := range b.Drops {
		// A removal that a newer delivery has overtaken is about an older copy.
		if n, ok := l.holds[d.Key]; ok && n == d.Num {
			l.forget(d.Key)
			c.tally.Removals++
		}
	}
}

func (l *link) forget(k ident.Key) {
	delete(l.holds, k)
	for i, o := range l.order {
		if o == k {
			l.order = append(l.order[:i:i], l.order[i+1:]...)
			return
		}
	}
}

func (c *Core) breakOn(l *link, k ident.Key) {
	l.forget(k)
	c.add(l, protocol.Item{Break: k})
	c.tally.Breaks++
	if len(l.items) > c.o.Pending {
		l.full = true
	}
}

// extendAll sends an entry that has grown to every holder: what they have is not wrong, so no promise is
// broken, and nobody need ask.
func (c *Core) extendAll(k ident.Key, e *entry) {
	i, packed := c.itemOf(k, e), &protocol.Packed{}
	for _, l := range c.sorted() {
		if _, ok := l.holds[k]; ok && !l.full {
			l.holds[k] = c.add(l, protocol.Item{Entry: &i, Packed: packed})
		}
	}
}

// itemOf writes an entry as routers are told it.
func (c *Core) itemOf(k ident.Key, e *entry) protocol.Entry {
	i := protocol.Entry{Key: k, Mark: e.mark, Never: e.never}
	for _, r := range e.replicas {
		p := r.rep
		p.Warm = c.now.Sub(r.spot.ready)
		i.Replicas = append(i.Replicas, p)
	}
	return i
}

// breakAll breaks a key's callbacks at every holder. Where servers guard themselves, what is left of the entry follows at once:
// the other replicas are as good as before, and who holds it need not ask an owner that may be gone by then.
func (c *Core) breakAll(k ident.Key, e *entry) {
	i, packed := c.itemOf(k, e), &protocol.Packed{}
	for _, l := range c.sorted() {
		if _, ok := l.holds[k]; !ok {
			continue
		}
		c.breakOn(l, k)
		if c.o.Unfenced && len(e.replicas) > 0 && !l.full {
			l.order = append(l.order, k)
			l.holds[k] = c.add(l, protocol.Item{Entry: &i, Packed: packed})
		}
	}
}

// promised lists the links that may still route by an older entry of a key, and the change
// that each must acknowledge before it surely does not.
func (c *Core) promised(k ident.Key) map[protocol.Session]uint64 {
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

// dropped tells whether every link has acknowledged, or lapsed and is gone.
func (c *Core) dropped(w map[protocol.Session]uint64) bool {
	for s, n := range w {
		if l := c.links[s]; l != nil && l.heard < n {
			return false
		}
	}
	return true
}

// sorted lists the links in the order of their sessions. Who goes through the list adds and removes none meanwhile.
func (c *Core) sorted() []*link {
	c.visit(len(c.linkSet.ordered))
	return c.linkSet.ordered
}

// addLink takes in the link of a new session.
func (c *Core) addLink(l *link) {
	c.links[l.ses] = l
	c.linkSet.add(l)
}

// removeLink forgets a link, and all that its router has reported.
func (c *Core) removeLink(l *link) {
	c.count(l, nil)
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
				c.rollout.lapsed++
				c.note("router's lease ran out with changes unacknowledged", field("router", l.ses.Node), field("session", l.ses.N),
					field("unacknowledged", len(l.items)), field("owes", l.owes()), field("configuration", l.owesDesired()),
					field("waited_ms", c.now.Sub(l.sentAt).Milliseconds()))
			}
			c.removeLink(l)
			continue
		}
		if len(l.items) > 0 && c.now.Sub(l.sentAt) > l.patience() {
			c.renew(l)
			l.sent = l.heard // unacknowledged changes go out again
			c.linkSet.unsent[l] = true
		}
	}
	c.watchRollout()
	for s, t := range c.tombs {
		if c.now.Sub(t) > 60e9 {
			delete(c.tombs, s)
		}
	}
	if c.settled() && len(c.wants) > 0 {
		l := c.wants
		c.wants = nil
		for _, e := range l {
			c.onWant(e)
		}
	}
}

// flush sends what each link has not been sent yet.
func (c *Core) flush() {
	if !c.rules() {
		return
	}
	for _, l := range c.linkSet.takeUnsent() {
		c.visit(1)
		if l.sent >= l.num || len(l.items) == 0 {
			continue
		}
		n := protocol.News{Session: l.ses, Duty: c.duty.num}
		for _, i := range l.items {
			if i.Num > l.sent && len(n.Items) < mostItems {
				n.Items = append(n.Items, i.Item)
			}
		}
		l.sent, l.sentAt = n.Items[len(n.Items)-1].Num, c.now
		c.reply(l.way, n)
		if l.sent < l.num {
			c.linkSet.unsent[l] = true // with the next input
		}
	}
}

// mostItems is how many changes a message carries at most.
const mostItems = 128

// Weigh measures the memory that a node keeps for each of n callbacks of one router.
func Weigh(c *Core, n int, heap func() uint64) float64 {
	was := heap()
	defer runtime.KeepAlive(c)
	l := &link{holds: map[ident.Key]uint64{}}
	c.links[protocol.Session{Node: "weighed"}] = l
	for i := range n {
		k := ident.Key("model-" + string(rune('a'+i%26)) + "+adapter-" + string(rune('a'+i/26%26)) + string(rune('a'+i/676)))
		l.holds[k] = uint64(i)
		l.order = append(l.order, k)
	}
	return (float64(heap()) - float64(was)) / float64(n)
}
