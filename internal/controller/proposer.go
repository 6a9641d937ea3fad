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
	if o == nil || o.phase != "wait" || c.now < o.wake {
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
	c.tally.Rounds++
	for _, p := range electors(set) {
		c.send(p, protocol.Prepare{Round: o.round, Ballot: o.ballot})
	}
}

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
	if c.now.Sub(o.end.Add(-opWait)) > urgentAfter {
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
	if b.Value != nil && o.best.Less(b.Accepted) {
		o.best, o.value = b.Accepted, b.Value
	}
	o.yes[e.From.ID] = b.Inc
	if !quorum(o.set, o.yes) {
		return
	}
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
	o.phase, o.sent, o.yes = "accept", c.now, map[ident.Node]ident.Inc{}
	o.risky = true
	for _, p := range electors(both(o.set, o.next)) {
		c.send(p, protocol.Accept{Round: o.round, Ballot: o.ballot, Value: o.next})
	}
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
	c.reg.op = nil
	c.learn(o.ballot, o.next)
	o.settle()
	c.stir()
}
