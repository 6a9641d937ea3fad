package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// phase is how far an attempt to change the register is.
type phase string

const (
	queued    phase = "wait"    // for its turn
	preparing phase = "prepare" // asks a majority for promises, and for what it has accepted
	applying  phase = "apply"   // the changes are applied to the value found, beside the core
	accepting phase = "accept"  // asks a majority to accept what came of it
)

// applied is what became of a change that was applied to a value.
type applied struct {
	after  protocol.Desired // the value with the change; the same if it does not go through
	kind   failure.Kind
	faults fleetplan.Faults
}

// mutation is a change of the register's value.
type mutation struct {
	apply        func(protocol.Desired) (protocol.Desired, failure.Kind, fleetplan.Faults)
	beside       bool // apply looks at nothing of the core's and may take long: it is computed beside the core
	needsPrepare bool // apply looks at who has just answered a prepare
	done         func(applied)
}

// on gives what becomes of a mutation that is applied to a value.
func (m *mutation) applyTo(value protocol.Desired) applied {
	after, kind, faults := m.apply(value)
	if kind != failure.None {
		after = value
	}
	return applied{after, kind, faults}
}

// op is one change or full read in its rounds.
type op struct {
	mutation
	came      clock.Tick
	end       clock.Tick
	set       protocol.Desired
	ballot    protocol.Ballot
	round     uint64
	phase     phase
	sent      clock.Tick
	wake      clock.Tick
	yes       map[ident.Node]ident.Inc
	best      protocol.Ballot
	value     *protocol.Desired
	next      protocol.Desired
	baseValue *protocol.Desired // the newest value that was known to be chosen when the rounds began
	baseAt    protocol.Ballot
	beganAt   clock.Tick
	resent    int  // times that the messages of this phase were sent again
	risky     bool // it may have been taken: an accept was sent whose fate is not settled, or it was forwarded
	fails     int
	result    applied // in the rounds under way
	batched   []*op   // changes that go through in the same rounds, each after the one before
}

// promise is what a majority promised together with its last accept: a proposer may go on from that accept's value, under
// the ballot that was reserved, with no prepare. It is used once.
type reservation struct {
	ballot protocol.Ballot
	value  protocol.Desired
	at     protocol.Ballot // of the accept
}

func (c *Core) latest() *protocol.Desired {
	k, h := c.reg.known, c.reg.hint
	if k != nil && (h == nil || h.Shape <= k.Shape) {
		return k
	}
	return h
}

// mostQueued bounds the changes that wait at a node.
const mostQueued = 64

func (c *Core) newOp(m mutation) *op {
	return &op{mutation: m, came: c.now, end: c.now.Add(c.changeWait()), phase: queued}
}

// propose queues a change; done hears of it exactly once.
func (c *Core) propose(m mutation) { c.enqueue(c.newOp(m)) }

func (c *Core) enqueue(o *op) {
	if len(c.reg.queue) > mostQueued {
		o.done(applied{kind: failure.Full})
		return
	}
	c.reg.queue = append(c.reg.queue, o)
	c.startNext()
}

// proposeFirst puts a change before all that wait: operators' changes may come as fast as they are
// taken, and must not hold up the voter set's.
func (c *Core) proposeAtFront(m mutation) {
	c.reg.queue = append([]*op{c.newOp(m)}, c.reg.queue...)
	c.startNext()
}

// read queues a full read: a round that proposes what it finds, and so mends old copies.
func (c *Core) fullRead(done func(failure.Kind)) {
	c.tally.Reads++
	c.propose(mutation{
		apply: func(d protocol.Desired) (protocol.Desired, failure.Kind, fleetplan.Faults) {
			return d, failure.None, nil
		},
		done: func(a applied) { done(a.kind) },
	})
}

func (c *Core) startNext() {
	r := &c.reg
	if r.op == nil && len(r.queue) > 0 {
		r.op, r.queue = r.queue[0], r.queue[1:]
	}
	o := r.op
	if o == nil || o.phase != queued || c.now < o.wake || c.rivalActive() || c.yieldsTurn(o) {
		return
	}
	set := c.latest()
	if set == nil {
		return
	}
	if p := c.takeReservation(); p != nil && !o.needsPrepare {
		c.beginReserved(o, p)
		return
	}
	c.beginPrepare(o, *set)
}

// begin starts an attempt with a prepare.
func (c *Core) beginPrepare(o *op, set protocol.Desired) {
	r := &c.reg
	r.top++
	c.beginAttempt(o, c.ballotAt(r.top), set)
	o.phase = preparing
	c.sendPhase(o)
}

// beginPromised starts an attempt under a ballot that a majority has promised already.
func (c *Core) beginReserved(o *op, p *reservation) {
	c.beginAttempt(o, p.ballot, p.value)
	c.tally.RoundsPromised++
	c.applyAll(o, p.value)
}

// beginAttempt lays out an attempt under a ballot of this node that was never used.
func (c *Core) beginAttempt(o *op, ballot protocol.Ballot, set protocol.Desired) {
	r := &c.reg
	r.round++
	o.set, o.ballot, o.round = set, ballot, r.round
	o.sent, o.beganAt, o.resent = c.now, c.now, 0
	o.yes, o.best, o.value = map[ident.Node]ident.Inc{}, protocol.Ballot{}, nil
	o.baseValue, o.baseAt = r.known, r.at
	c.tally.Rounds++
}

// ballotAt gives this node's ballot with a number.
func (c *Core) ballotAt(number uint64) protocol.Ballot {
	return protocol.Ballot{N: number, By: c.o.Me.ID, Life: c.o.Inc}
}

// takePromise gives what a majority has promised, if nobody is known to have gone past it, and forgets it: a ballot stands
// for one value.
func (c *Core) takeReservation() *reservation {
	r := &c.reg
	p := r.promised
	r.promised = nil
	if p == nil || r.top > p.ballot.N || p.at.Less(r.at) {
		return nil
	}
	return p
}

// sendPhase sends the message of an attempt's phase to everyone who has not answered it.
func (c *Core) sendPhase(o *op) {
	set, body := o.set, any(protocol.Prepare{Round: o.round, Ballot: o.ballot, Known: o.baseAt})
	if o.phase == accepting {
		set = voterset.Both(o.set, o.next)
		body = protocol.Accept{Round: o.round, Ballot: o.ballot, Value: o.next, Next: c.reservedBallot(o), Chosen: c.reg.at}
	}
	for _, p := range voterset.Addresses(set) {
		if _, answered := o.yes[p.ID]; !answered {
			c.send(p, body)
		}
	}
}

// reserved gives the ballot that voters promise together with an attempt's accept.
func (c *Core) reservedBallot(o *op) protocol.Ballot { return c.ballotAt(o.ballot.N + 1) }

// mostResent is how often an attempt is sent again as it is, to those who have not answered: they may only be slow, and a
// new ballot would make what they have done void. After that it begins anew.
const maxResends = 2

func (c *Core) resend(o *op) {
	if o.resent == maxResends {
		c.retryLater(o)
		return
	}
	o.resent++
	o.sent = c.now
	c.sendPhase(o)
}

// again gives an attempt up, for a later one under a new ballot.
func (c *Core) retryLater(o *op) {
	o.fails++
	o.phase = queued
	o.wake = c.now.Add(c.backoff(o))
	c.tally.Conflicts++
}

func (c *Core) onPromise(e protocol.Env) {
	b, o := e.Body.(protocol.Promise), c.reg.op
	c.reg.top = max(c.reg.top, b.Promised.N)
	if o == nil || o.phase != preparing || b.Round != o.round {
		return
	}
	if !b.OK {
		if o.ballot.Less(b.Promised) {
			c.retryLater(o)
		}
		return
	}
	value := b.Value
	if value == nil && b.Accepted == o.baseAt {
		value = o.baseValue
	}
	if value != nil && o.best.Less(b.Accepted) {
		o.best, o.value = b.Accepted, value
	}
	o.yes[e.From.ID] = b.Inc
	if !voterset.Majority(o.set, o.yes) {
		return
	}
	c.recordMajority(o)
	now := o.set // with nothing accepted anywhere, only the forming of a core proposes a first value
	if o.value != nil {
		now = *o.value
		if now.Shape >= o.set.Shape && !(voterset.Same(now.Voters, o.set.Voters) && voterset.Same(now.Prior, o.set.Prior)) {
			c.reg.hint = o.value
			c.beginPrepare(o, now)
			return
		}
	}
	c.applyAll(o, now)
}

// majorityAnswered notes that a majority has answered the messages of an attempt's phase.
func (c *Core) recordMajority(o *op) {
	c.reg.answered = c.now
	if o.resent == 0 {
		c.reg.trips.rounds.Observe(c.now.Sub(o.sent))
	}
}

// mostJoined bounds how many changes go through in the same rounds.
const maxBatched = 16

// join takes the changes that wait at this node into the rounds of one: they all become part of one value, so that the
// node's changes do not take a turn each against other proposers'. Those that the core applies itself go first.
func (c *Core) batchWaiting(o *op) {
	beside := o.beside
	for _, x := range o.batched {
		beside = beside || x.beside
	}
	for len(c.reg.queue) > 0 && len(o.batched) < maxBatched {
		x := c.reg.queue[0]
		if beside && !x.beside || x.needsPrepare && len(o.yes) == 0 {
			return
		}
		beside = x.beside
		o.batched = append(o.batched, x)
		c.reg.queue = c.reg.queue[1:]
	}
}

// applyAll applies a change to the newest value, and behind it those that wait at this node. What may take long is computed
// beside the core, which goes on meanwhile.
func (c *Core) applyAll(o *op, value protocol.Desired) {
	c.batchWaiting(o)
	o.phase = applying
	batch := append([]*op{o}, o.batched...)
	for len(batch) > 0 && !batch[0].beside {
		batch[0].result = batch[0].applyTo(value)
		value = batch[0].result.after
		batch = batch[1:]
	}
	if len(batch) == 0 {
		c.sendAccept(o, value)
		return
	}
	round, results := o.round, make([]applied, len(batch))
	c.compute(func() { applySequentially(batch, value, results) }, func() {
		if c.reg.op != o || o.phase != applying || o.round != round {
			return // it was given up meanwhile
		}
		for i, x := range batch {
			x.result = results[i]
		}
		c.sendAccept(o, results[len(results)-1].after)
	})
}

// applyInTurn applies changes each to what came of the one before.
func applySequentially(batch []*op, value protocol.Desired, results []applied) {
	for i, x := range batch {
		results[i] = x.applyTo(value)
		value = results[i].after
	}
}

// sendAccept asks the voters to accept a value.
func (c *Core) sendAccept(o *op, value protocol.Desired) {
	o.next = value
	o.phase, o.sent, o.yes, o.resent = accepting, c.now, map[ident.Node]ident.Inc{}, 0
	o.risky = true
	for _, x := range o.batched {
		x.risky = true
	}
	c.reg.top = max(c.reg.top, c.reservedBallot(o).N)
	c.sendPhase(o)
}

// awaitsAnswers tells whether messages of an attempt are on their way.
func (o *op) awaitsAnswers() bool { return o.phase == preparing || o.phase == accepting }

// givenUp is what is told of a change whose time is over: it may have been taken once an accept with it was sent.
func (o *op) timeoutKind() failure.Kind {
	if o.risky {
		return failure.Unclear
	}
	return failure.NotReady
}

// settle tells everyone whose change went through the rounds, or did not, in the order in which they were applied.
func (o *op) reportResults() {
	o.done(o.result)
	for _, x := range o.batched {
		x.done(x.result)
	}
}

func (c *Core) onAccepted(e protocol.Env) {
	b, o := e.Body.(protocol.Accepted), c.reg.op
	c.reg.top = max(c.reg.top, b.Promised.N)
	if o == nil || o.phase != accepting || b.Round != o.round {
		return
	}
	if !b.OK {
		if o.ballot.Less(b.Promised) {
			c.retryLater(o)
		}
		return
	}
	o.yes[e.From.ID] = b.Inc
	if !voterset.Majority(o.set, o.yes) || !voterset.Majority(o.next, o.yes) {
		return
	}
	c.recordMajority(o)
	c.reg.op = nil
	c.reg.promised = &reservation{ballot: c.reservedBallot(o), value: o.next, at: o.ballot}
	c.recordRounds(o)
	c.announceChosen(o.ballot, o.next)
	c.learnChosen(o.ballot, o.next)
	o.reportResults()
	c.startNext()
}
