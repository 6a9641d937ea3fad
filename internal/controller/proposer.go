package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// op is one change or full read in its rounds.
type op struct {
	apply  func(protocol.Desired) (protocol.Desired, failure.Kind)
	done   func(v protocol.Desired, k failure.Kind)
	end    clock.Tick
	set    protocol.Desired
	ballot protocol.Ballot
	round  uint64
	phase  string // wait, prepare, accept
	sent   clock.Tick
	wake   clock.Tick
	yes    map[ident.Node]ident.Inc
	best   protocol.Ballot
	value  *protocol.Desired
	next   protocol.Desired
	kind   failure.Kind
	base   *protocol.Desired // the newest value that was known to be chosen when the rounds began
	baseAt protocol.Ballot
	began  clock.Tick
	resent int  // times that the messages of this phase were sent again
	risky  bool // an accept was sent whose fate is not settled
	fails  int
	after  protocol.Desired // the value after this change, in the rounds under way
	joined []*op            // changes that go through in the same rounds, each after the one before
}

func (c *Core) latest() *protocol.Desired {
	k, h := c.reg.known, c.reg.hint
	if k != nil && (h == nil || h.Shape <= k.Shape) {
		return k
	}
	return h
}

// opWait is how long a change may wait for its turn and its rounds.
const opWait = clock.Span(4e9)

func (c *Core) newOp(apply func(protocol.Desired) (protocol.Desired, failure.Kind), done func(protocol.Desired, failure.Kind)) *op {
	return &op{apply: apply, done: done, end: c.now.Add(opWait), phase: "wait"}
}

// propose queues a change; done hears of it exactly once.
func (c *Core) propose(apply func(protocol.Desired) (protocol.Desired, failure.Kind), done func(protocol.Desired, failure.Kind)) {
	if len(c.reg.queue) > 64 {
		done(protocol.Desired{}, failure.Full)
		return
	}
	c.reg.queue = append(c.reg.queue, c.newOp(apply, done))
	c.stir()
}

// proposeFirst puts a change before all that wait: operators' changes may come as fast as they are
// taken, and must not hold up the voter set's.
func (c *Core) proposeFirst(apply func(protocol.Desired) (protocol.Desired, failure.Kind), done func(protocol.Desired, failure.Kind)) {
	c.reg.queue = append([]*op{c.newOp(apply, done)}, c.reg.queue...)
	c.stir()
}

// read queues a full read: a round that proposes what it finds, and so mends old copies.
func (c *Core) read(done func(protocol.Desired, failure.Kind)) {
	c.tally.Reads++
	c.propose(func(d protocol.Desired) (protocol.Desired, failure.Kind) { return d, failure.None }, done)
}

func (c *Core) stir() {
	r := &c.reg
	if r.op == nil && len(r.queue) > 0 {
		r.op, r.queue = r.queue[0], r.queue[1:]
	}
	o := r.op
	if o == nil || o.phase != "wait" || c.now < o.wake || c.rivalIsAtIt() || c.givesWay(o) {
		return
	}
	set := c.latest()
	if set == nil {
		return
	}
	c.begin(o, *set)
}

func (c *Core) begin(o *op, set protocol.Desired) {
	r := &c.reg
	r.top++
	r.round++
	o.set, o.ballot, o.round = set, protocol.Ballot{N: r.top, By: c.o.Me.ID, Life: c.o.Inc}, r.round
	o.phase, o.sent = "prepare", c.now
	o.yes, o.best, o.value = map[ident.Node]ident.Inc{}, protocol.Ballot{}, nil
	o.base, o.baseAt, o.resent, o.began = r.known, r.at, 0, c.now
	c.tally.Rounds++
	c.sendPhase(o)
}

// sendPhase sends the message of an attempt's phase to everyone who has not answered it.
func (c *Core) sendPhase(o *op) {
	set, body := o.set, any(protocol.Prepare{Round: o.round, Ballot: o.ballot, Known: o.baseAt})
	if o.phase == "accept" {
		set, body = both(o.set, o.next), protocol.Accept{Round: o.round, Ballot: o.ballot, Value: o.next}
	}
	for _, p := range electors(set) {
		if _, answered := o.yes[p.ID]; !answered {
			c.send(p, body)
		}
	}
}

// An attempt whose answers do not come is sent again as it is, to those who have not answered: they may only be slow, and a
// new ballot would make what they have done void. After mostResent times it begins anew.
const (
	answerSpan = clock.Span(700e6)
	mostResent = 2
)

func (c *Core) resend(o *op) {
	if o.resent == mostResent {
		c.again(o)
		return
	}
	o.resent++
	o.sent = c.now
	c.sendPhase(o)
}

// rivalSpan is how long after its last word another proposer counts as being at work.
const rivalSpan = clock.Span(300e6)

// rivalIsAtIt tells whether this voter has promised itself to another proposer whose value is not chosen yet, as far as
// is known here. A new ballot now would make that proposer's rounds void, and they each other's for as long as changes come.
func (c *Core) rivalIsAtIt() bool {
	promised := c.vote.promised
	return promised.By != c.o.Me.ID && c.reg.at.Less(promised) && c.vote.asked != 0 && c.now.Sub(c.vote.asked) < rivalSpan
}

// rivalsKept is how long after its last word another proposer is reckoned with.
const rivalsKept = clock.Span(1e9)

// noteRounds notes how long a change's rounds took, and that it is over: half of that time is what another proposer needs
// to hear of it and to have its own prepare heard.
func (c *Core) noteRounds(o *op) {
	c.reg.rounds = c.now.Sub(o.began)
	c.reg.over = c.now
}

// givesWay tells whether a change waits for other proposers' turn, since this node has just had one. Without that a node
// with many changes would begin its next one before others have heard that the last is over.
func (c *Core) givesWay(o *op) bool {
	rivals := c.vote.rival != 0 && c.now.Sub(c.vote.rival) < rivalsKept
	return rivals && !c.urgent(o) && c.now.Sub(c.reg.over) <= c.reg.rounds/2
}

// wakeProposal has a change that was outbid begin soon, since a value was chosen.
func (c *Core) wakeProposal() {
	o := c.reg.op
	if o == nil || o.phase != "wait" || c.now >= o.wake {
		return
	}
	soon := c.now
	if !c.urgent(o) {
		soon = c.now.Add(clock.Span(c.o.Rand.Int64N(int64(leastBackoff))))
	}
	o.wake = min(o.wake, soon)
}

// urgent tells whether a change has waited so long that it goes before others.
func (c *Core) urgent(o *op) bool { return c.now.Sub(o.end.Add(-opWait)) > urgentAfter }

// An attempt that was outbid waits for up to leastBackoff, twice as long after each further one. A change that has
// waited for urgentAfter does not wait so long any more: else those that lost most would go on losing.
const (
	leastBackoff     = clock.Span(20e6)
	backoffDoublings = 4
	urgentAfter      = clock.Span(1e9)
)

func (c *Core) again(o *op) {
	o.fails++
	o.phase = "wait"
	back := leastBackoff << min(o.fails, backoffDoublings)
	if c.urgent(o) {
		back = leastBackoff // those that came later give way
	}
	o.wake = c.now.Add(back/2 + clock.Span(c.o.Rand.Int64N(int64(back))))
	c.tally.Conflicts++
}

func (c *Core) onPromise(e protocol.Env) {
	b, o := e.Body.(protocol.Promise), c.reg.op
	c.reg.top = max(c.reg.top, b.Promised.N)
	if o == nil || o.phase != "prepare" || b.Round != o.round {
		return
	}
	if !b.OK {
		if o.ballot.Less(b.Promised) {
			c.again(o)
		}
		return
	}
	value := b.Value
	if value == nil && b.Accepted == o.baseAt {
		value = o.base
	}
	if value != nil && o.best.Less(b.Accepted) {
		o.best, o.value = b.Accepted, value
	}
	o.yes[e.From.ID] = b.Inc
	if !quorum(o.set, o.yes) {
		return
	}
	c.reg.answered = c.now
	now := o.set // with nothing accepted anywhere, only the forming of a core proposes a first value
	if o.value != nil {
		now = *o.value
		if now.Shape >= o.set.Shape && !(alike(now.Voters, o.set.Voters) && alike(now.Prior, o.set.Prior)) {
			c.reg.hint = o.value
			c.begin(o, now)
			return
		}
	}
	c.applyAll(o, now)
	o.phase, o.sent, o.yes, o.resent = "accept", c.now, map[ident.Node]ident.Inc{}, 0
	o.risky = true
	c.sendPhase(o)
}

// mostJoined bounds how many changes go through in the same rounds.
const mostJoined = 16

// applyAll applies a change to the newest value, and behind it the changes that wait at this node: they all become
// part of one value, so that the node's changes do not take a turn each against other proposers'.
func (c *Core) applyAll(o *op, now protocol.Desired) {
	for len(c.reg.queue) > 0 && len(o.joined) < mostJoined {
		o.joined = append(o.joined, c.reg.queue[0])
		c.reg.queue = c.reg.queue[1:]
	}
	o.next = o.on(now)
	for _, x := range o.joined {
		o.next = x.on(o.next)
		x.risky = true
	}
}

// on gives the value after this change: the same if it does not go through.
func (o *op) on(value protocol.Desired) protocol.Desired {
	o.after, o.kind = o.apply(value)
	if o.kind != failure.None {
		o.after = value
	}
	return o.after
}

// givenUp is what is told of a change whose time is over: it may have been taken once an accept with it was sent.
func (o *op) givenUp() failure.Kind {
	if o.risky {
		return failure.Unclear
	}
	return failure.NotReady
}

// settle tells everyone whose change went through the rounds, or did not, in the order in which they were applied.
func (o *op) settle() {
	o.done(o.after, o.kind)
	for _, x := range o.joined {
		x.done(x.after, x.kind)
	}
}

func both(a, b protocol.Desired) protocol.Desired {
	a.Prior = append(append(append([]protocol.Voter{}, a.Prior...), b.Voters...), b.Prior...)
	return a
}

func (c *Core) onAccepted(e protocol.Env) {
	b, o := e.Body.(protocol.Accepted), c.reg.op
	c.reg.top = max(c.reg.top, b.Promised.N)
	if o == nil || o.phase != "accept" || b.Round != o.round {
		return
	}
	if !b.OK {
		if o.ballot.Less(b.Promised) {
			c.again(o)
		}
		return
	}
	o.yes[e.From.ID] = b.Inc
	if !quorum(o.set, o.yes) || !quorum(o.next, o.yes) {
		return
	}
	c.reg.op, c.reg.answered = nil, c.now
	c.noteRounds(o)
	c.announceChosen(o.ballot, o.next)
	c.learn(o.ballot, o.next)
	o.settle()
	c.stir()
}
