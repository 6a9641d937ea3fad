package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// phase is the progress of an attempt to change the register.
type phase string

const (
	queued    phase = "wait"    // waits for its turn
	preparing phase = "prepare" // requests promises from a majority, and the values that it has accepted
	applying  phase = "apply"   // applies the changes to the value found, outside the core's goroutine
	accepting phase = "accept"  // requests a majority to accept the resulting value
)

// applyResult is the result of applying a change to a value.
type applied struct {
	after  protocol.Desired // the changed value; the unchanged one if the change is refused
	kind   failure.Kind
	faults fleetplan.Faults
}

// mutation is a change to the register's value.
type mutation struct {
	apply        func(protocol.Desired) (protocol.Desired, failure.Kind, fleetplan.Faults)
	beside       bool // apply reads no state of the core and may take long, so it runs concurrently with the core
	needsPrepare bool // apply depends on which voters have just answered a prepare
	done         func(applied)
}

// applyTo applies a mutation to a value.
func (m *mutation) applyTo(value protocol.Desired) applied {
	after, kind, faults := m.apply(value)
	if kind != failure.None {
		after = value
	}
	return applied{after, kind, faults}
}

// proposal is one change or full read and the state of its attempt.
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
	baseValue *protocol.Desired // the newest value known to be chosen when the attempt began
	baseAt    protocol.Ballot
	beganAt   clock.Tick
	resent    int  // how often the messages of this phase were resent
	risky     bool // the change may have been chosen: an accept of unknown outcome was sent, or it was forwarded
	fails     int
	result    applied // of the current attempt
	batched   []*op   // changes proposed in the same attempt, each applied after the one before
}

// reservation is a ballot that a majority promised together with this node's last accept. The proposer may
// continue from the value of that accept under the reserved ballot without another prepare. A reservation is
// used once.
type reservation struct {
	ballot protocol.Ballot
	value  protocol.Desired
	at     protocol.Ballot // ballot of the accept
}

// latest returns the newest value that this node knows to be chosen, or a hint whose voter set is newer.
func (c *Core) latest() *protocol.Desired {
	known, hint := c.reg.known, c.reg.hint
	if known != nil && (hint == nil || hint.Shape <= known.Shape) {
		return known
	}
	return hint
}

// maxQueued bounds the changes that wait at a node.
const mostQueued = 64

func (c *Core) newOp(m mutation) *op {
	return &op{mutation: m, came: c.now, end: c.now.Add(c.changeWait()), phase: queued}
}

// propose queues a change. The callback done runs exactly once.
func (c *Core) propose(m mutation) { c.enqueue(c.newOp(m)) }

func (c *Core) enqueue(o *op) {
	if len(c.reg.queue) > mostQueued {
		o.done(applied{kind: failure.Full})
		return
	}
	c.reg.queue = append(c.reg.queue, o)
	c.startNext()
}

// proposeAtFront puts a change before all waiting ones. Operators may submit changes as fast as they are chosen,
// and these must not delay changes of the voter set.
func (c *Core) proposeAtFront(m mutation) {
	c.reg.queue = append([]*op{c.newOp(m)}, c.reg.queue...)
	c.startNext()
}

// fullRead queues a full read: an attempt that proposes the value it finds, which also brings outdated replicas
// up to date.
func (c *Core) fullRead(done func(failure.Kind)) {
	c.tally.Reads++
	c.propose(mutation{
		apply: func(d protocol.Desired) (protocol.Desired, failure.Kind, fleetplan.Faults) {
			return d, failure.None, nil
		},
		done: func(a applied) { done(a.kind) },
	})
}

// startNext begins an attempt for the first waiting change, unless its back-off or another proposer delays it.
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

// beginPrepare starts an attempt with a prepare.
func (c *Core) beginPrepare(o *op, set protocol.Desired) {
	r := &c.reg
	r.top++
	c.beginAttempt(o, c.ballotAt(r.top), set)
	o.phase = preparing
	c.sendPhase(o)
}

// beginReserved starts an attempt under a ballot that a majority has already promised.
func (c *Core) beginReserved(o *op, p *reservation) {
	c.beginAttempt(o, p.ballot, p.value)
	c.tally.RoundsPromised++
	c.applyAll(o, p.value)
}

// beginAttempt initialises an attempt under a ballot of this node that was never used before.
func (c *Core) beginAttempt(o *op, ballot protocol.Ballot, set protocol.Desired) {
	r := &c.reg
	r.round++
	o.set, o.ballot, o.round = set, ballot, r.round
	o.sent, o.beganAt, o.resent = c.now, c.now, 0
	o.yes, o.best, o.value = map[ident.Node]ident.Inc{}, protocol.Ballot{}, nil
	o.baseValue, o.baseAt = r.known, r.at
	c.tally.Rounds++
}

// ballotAt returns this node's ballot with the given number.
func (c *Core) ballotAt(number uint64) protocol.Ballot {
	return protocol.Ballot{N: number, By: c.o.Me.ID, Life: c.o.Inc}
}

// takeReservation returns and clears the reservation, or returns nil if another proposer is known to have used a
// higher ballot. It is cleared because a ballot may stand for one value only.
func (c *Core) takeReservation() *reservation {
	r := &c.reg
	p := r.promised
	r.promised = nil
	if p == nil || r.top > p.ballot.N || p.at.Less(r.at) {
		return nil
	}
	return p
}

// sendPhase sends the message of an attempt's phase to every voter that has not answered it.
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

// reservedBallot returns the ballot that voters promise together with an attempt's accept.
func (c *Core) reservedBallot(o *op) protocol.Ballot { return c.ballotAt(o.ballot.N + 1) }

// maxResends is how often an attempt is resent unchanged to the voters that have not answered. They may only be
// slow, and a new ballot would discard the work they have done. After that, a new attempt begins.
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

// retryLater abandons an attempt and schedules the next one, under a new ballot.
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
	base := o.set // if nothing was accepted anywhere, this is the first value, which only the forming of a core proposes
	if o.value != nil {
		base = *o.value
		if base.Shape >= o.set.Shape && !(voterset.Same(base.Voters, o.set.Voters) && voterset.Same(base.Prior, o.set.Prior)) {
			c.reg.hint = o.value
			c.beginPrepare(o, base)
			return
		}
	}
	c.applyAll(o, base)
}

// recordMajority records that a majority has answered the messages of an attempt's phase.
func (c *Core) recordMajority(o *op) {
	c.reg.answered = c.now
	if o.resent == 0 {
		c.reg.trips.rounds.Observe(c.now.Sub(o.sent))
	}
}

// maxBatched bounds how many waiting changes join an attempt.
const maxBatched = 16

// batchWaiting adds the changes that wait at this node to an attempt. They all become part of one value, so that
// each of them does not have to compete with other proposers separately. Changes that the core applies itself
// come first.
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

// applyAll applies a change, and then those that wait at this node, to the newest value. Changes that may take
// long are computed concurrently while the core goes on.
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
			return // the attempt was abandoned in the meantime
		}
		for i, x := range batch {
			x.result = results[i]
		}
		c.sendAccept(o, results[len(results)-1].after)
	})
}

// applySequentially applies each change to the result of the one before.
func applySequentially(batch []*op, value protocol.Desired, results []applied) {
	for i, x := range batch {
		results[i] = x.applyTo(value)
		value = results[i].after
	}
}

// sendAccept requests the voters to accept a value.
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

// awaitsAnswers reports whether messages of an attempt are outstanding.
func (o *op) awaitsAnswers() bool { return o.phase == preparing || o.phase == accepting }

// timeoutKind returns the outcome of a change whose time is over. The change may have been chosen if an accept
// with it was sent.
func (o *op) timeoutKind() failure.Kind {
	if o.risky {
		return failure.Unclear
	}
	return failure.NotReady
}

// reportResults reports the result to every change of the attempt, in the order in which they were applied.
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
