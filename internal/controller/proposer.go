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
type applyResult struct {
	value  protocol.Desired // the changed value; the unchanged one if the change is refused
	kind   failure.Kind
	faults fleetplan.Faults
}

// mutation is a change to the register's value.
type mutation struct {
	apply        func(protocol.Desired) (protocol.Desired, failure.Kind, fleetplan.Faults)
	concurrent   bool // apply reads no state of the core and may take long, so it runs concurrently with the core
	needsPrepare bool // apply depends on which voters have just answered a prepare
	done         func(applyResult)
}

// applyTo applies a mutation to a value.
func (m *mutation) applyTo(value protocol.Desired) applyResult {
	after, kind, faults := m.apply(value)
	if kind != failure.None {
		after = value
	}
	return applyResult{after, kind, faults}
}

// proposal is one change or full read and the state of its attempt.
type proposal struct {
	mutation
	enqueuedAt      clock.Instant
	deadline        clock.Instant
	set             protocol.Desired
	ballot          protocol.Ballot
	round           uint64
	phase           phase
	sentAt          clock.Instant
	retryAt         clock.Instant
	responders      map[ident.Node]ident.Incarnation
	highestAccepted protocol.Ballot
	value           *protocol.Desired
	proposed        protocol.Desired
	baseValue       *protocol.Desired // the newest value known to be chosen when the attempt began
	baseBallot      protocol.Ballot
	beganAt         clock.Instant
	resent          int  // how often the messages of this phase were resent
	uncertain       bool // the change may have been chosen: an accept of unknown outcome was sent, or it was forwarded
	failures        int
	result          applyResult // of the current attempt
	batched         []*proposal // changes proposed in the same attempt, each applied after the one before
}

// reservation is a ballot that a majority promised together with this node's last accept. The proposer may
// continue from the value of that accept under the reserved ballot without another prepare. A reservation is
// used once.
type reservation struct {
	ballot         protocol.Ballot
	value          protocol.Desired
	acceptedBallot protocol.Ballot // ballot of the accept
}

// latest returns the newest value that this node knows to be chosen, or a hint whose voter set is newer.
func (c *Core) latest() *protocol.Desired {
	known, hint := c.register.known, c.register.hint
	if known != nil && (hint == nil || hint.VoterSet <= known.VoterSet) {
		return known
	}
	return hint
}

// maxQueued bounds the changes that wait at a node.
const maxQueued = 64

func (c *Core) newProposal(m mutation) *proposal {
	return &proposal{mutation: m, enqueuedAt: c.now, deadline: c.now.Add(c.changeWait()), phase: queued}
}

// propose queues a change. The callback done runs exactly once.
func (c *Core) propose(m mutation) { c.enqueue(c.newProposal(m)) }

func (c *Core) enqueue(o *proposal) {
	if len(c.register.queue) > maxQueued {
		o.done(applyResult{kind: failure.Full})
		return
	}
	c.register.queue = append(c.register.queue, o)
	c.startNext()
}

// proposeAtFront puts a change before all waiting ones. Operators may submit changes as fast as they are chosen,
// and these must not delay changes of the voter set.
func (c *Core) proposeAtFront(m mutation) {
	c.register.queue = append([]*proposal{c.newProposal(m)}, c.register.queue...)
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
		done: func(a applyResult) { done(a.kind) },
	})
}

// startNext begins an attempt for the first waiting change, unless its back-off or another proposer delays it.
func (c *Core) startNext() {
	r := &c.register
	if r.active == nil && len(r.queue) > 0 {
		r.active, r.queue = r.queue[0], r.queue[1:]
	}
	o := r.active
	if o == nil || o.phase != queued || c.now < o.retryAt || c.rivalActive() || c.yieldsTurn(o) {
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
func (c *Core) beginPrepare(o *proposal, set protocol.Desired) {
	r := &c.register
	r.highestNumber++
	c.beginAttempt(o, c.ballotAt(r.highestNumber), set)
	o.phase = preparing
	c.sendPhase(o)
}

// beginReserved starts an attempt under a ballot that a majority has already promised.
func (c *Core) beginReserved(o *proposal, p *reservation) {
	c.beginAttempt(o, p.ballot, p.value)
	c.tally.RoundsPromised++
	c.applyAll(o, p.value)
}

// beginAttempt initialises an attempt under a ballot of this node that was never used before.
func (c *Core) beginAttempt(o *proposal, ballot protocol.Ballot, set protocol.Desired) {
	r := &c.register
	r.round++
	o.set, o.ballot, o.round = set, ballot, r.round
	o.sentAt, o.beganAt, o.resent = c.now, c.now, 0
	o.responders, o.highestAccepted, o.value = map[ident.Node]ident.Incarnation{}, protocol.Ballot{}, nil
	o.baseValue, o.baseBallot = r.known, r.knownBallot
	c.tally.Rounds++
}

// ballotAt returns this node's ballot with the given number.
func (c *Core) ballotAt(number uint64) protocol.Ballot {
	return protocol.Ballot{N: number, By: c.o.Self.ID, Incarnation: c.o.Inc}
}

// takeReservation returns and clears the reservation, or returns nil if another proposer is known to have used a
// higher ballot. It is cleared because a ballot may stand for one value only.
func (c *Core) takeReservation() *reservation {
	r := &c.register
	p := r.reserved
	r.reserved = nil
	if p == nil || r.highestNumber > p.ballot.N || p.acceptedBallot.Less(r.knownBallot) {
		return nil
	}
	return p
}

// sendPhase sends the message of an attempt's phase to every voter that has not answered it.
func (c *Core) sendPhase(o *proposal) {
	set, body := o.set, any(protocol.Prepare{Round: o.round, Ballot: o.ballot, Known: o.baseBallot})
	if o.phase == accepting {
		set = voterset.Joint(o.set, o.proposed)
		body = protocol.Accept{Round: o.round, Ballot: o.ballot, Value: o.proposed, Next: c.reservedBallot(o), Chosen: c.register.knownBallot}
	}
	for _, p := range voterset.Peers(set) {
		if _, answered := o.responders[p.ID]; !answered {
			c.send(p, body)
		}
	}
}

// reservedBallot returns the ballot that voters promise together with an attempt's accept.
func (c *Core) reservedBallot(o *proposal) protocol.Ballot { return c.ballotAt(o.ballot.N + 1) }

// maxResends is how often an attempt is resent unchanged to the voters that have not answered. They may only be
// slow, and a new ballot would discard the work they have done. After that, a new attempt begins.
const maxResends = 2

func (c *Core) resend(o *proposal) {
	if o.resent == maxResends {
		c.retryLater(o)
		return
	}
	o.resent++
	o.sentAt = c.now
	c.sendPhase(o)
}

// retryLater abandons an attempt and schedules the next one, under a new ballot.
func (c *Core) retryLater(o *proposal) {
	o.failures++
	o.phase = queued
	o.retryAt = c.now.Add(c.backoff(o))
	c.tally.Conflicts++
}

func (c *Core) onPromise(e protocol.Envelope) {
	b, o := e.Body.(protocol.Promise), c.register.active
	c.register.highestNumber = max(c.register.highestNumber, b.Promised.N)
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
	if value == nil && b.Accepted == o.baseBallot {
		value = o.baseValue
	}
	if value != nil && o.highestAccepted.Less(b.Accepted) {
		o.highestAccepted, o.value = b.Accepted, value
	}
	o.responders[e.From.ID] = b.Incarnation
	if !voterset.Majority(o.set, o.responders) {
		return
	}
	c.recordMajority(o)
	base := o.set // if nothing was accepted anywhere, this is the first value, which only the forming of a core proposes
	if o.value != nil {
		base = *o.value
		if base.VoterSet >= o.set.VoterSet && !(voterset.Equal(base.Voters, o.set.Voters) && voterset.Equal(base.PriorVoters, o.set.PriorVoters)) {
			c.register.hint = o.value
			c.beginPrepare(o, base)
			return
		}
	}
	c.applyAll(o, base)
}

// recordMajority records that a majority has answered the messages of an attempt's phase.
func (c *Core) recordMajority(o *proposal) {
	c.register.answered = c.now
	if o.resent == 0 {
		c.register.roundTrips.rounds.Observe(c.now.Sub(o.sentAt))
	}
}

// maxBatched bounds how many waiting changes join an attempt.
const maxBatched = 16

// batchWaiting adds the changes that wait at this node to an attempt. They all become part of one value, so that
// each of them does not have to compete with other proposers separately. Changes that the core applies itself
// come first.
func (c *Core) batchWaiting(o *proposal) {
	beside := o.concurrent
	for _, x := range o.batched {
		beside = beside || x.concurrent
	}
	for len(c.register.queue) > 0 && len(o.batched) < maxBatched {
		x := c.register.queue[0]
		if beside && !x.concurrent || x.needsPrepare && len(o.responders) == 0 {
			return
		}
		beside = x.concurrent
		o.batched = append(o.batched, x)
		c.register.queue = c.register.queue[1:]
	}
}

// applyAll applies a change, and then those that wait at this node, to the newest value. Changes that may take
// long are computed concurrently while the core goes on.
func (c *Core) applyAll(o *proposal, value protocol.Desired) {
	c.batchWaiting(o)
	o.phase = applying
	batch := append([]*proposal{o}, o.batched...)
	for len(batch) > 0 && !batch[0].concurrent {
		batch[0].result = batch[0].applyTo(value)
		value = batch[0].result.value
		batch = batch[1:]
	}
	if len(batch) == 0 {
		c.sendAccept(o, value)
		return
	}
	round, results := o.round, make([]applyResult, len(batch))
	c.compute(func() { applySequentially(batch, value, results) }, func() {
		if c.register.active != o || o.phase != applying || o.round != round {
			return // the attempt was abandoned in the meantime
		}
		for i, x := range batch {
			x.result = results[i]
		}
		c.sendAccept(o, results[len(results)-1].value)
	})
}

// applySequentially applies each change to the result of the one before.
func applySequentially(batch []*proposal, value protocol.Desired, results []applyResult) {
	for i, x := range batch {
		results[i] = x.applyTo(value)
		value = results[i].value
	}
}

// sendAccept requests the voters to accept a value.
func (c *Core) sendAccept(o *proposal, value protocol.Desired) {
	o.proposed = value
	o.phase, o.sentAt, o.responders, o.resent = accepting, c.now, map[ident.Node]ident.Incarnation{}, 0
	o.uncertain = true
	for _, x := range o.batched {
		x.uncertain = true
	}
	c.register.highestNumber = max(c.register.highestNumber, c.reservedBallot(o).N)
	c.sendPhase(o)
}

// awaitsAnswers reports whether messages of an attempt are outstanding.
func (o *proposal) awaitsAnswers() bool { return o.phase == preparing || o.phase == accepting }

// timeoutKind returns the outcome of a change whose time is over. The change may have been chosen if an accept
// with it was sent.
func (o *proposal) timeoutKind() failure.Kind {
	if o.uncertain {
		return failure.Unclear
	}
	return failure.NotReady
}

// reportResults reports the result to every change of the attempt, in the order in which they were applied.
func (o *proposal) reportResults() {
	o.done(o.result)
	for _, x := range o.batched {
		x.done(x.result)
	}
}

func (c *Core) onAccepted(e protocol.Envelope) {
	b, o := e.Body.(protocol.Accepted), c.register.active
	c.register.highestNumber = max(c.register.highestNumber, b.Promised.N)
	if o == nil || o.phase != accepting || b.Round != o.round {
		return
	}
	if !b.OK {
		if o.ballot.Less(b.Promised) {
			c.retryLater(o)
		}
		return
	}
	o.responders[e.From.ID] = b.Incarnation
	if !voterset.Majority(o.set, o.responders) || !voterset.Majority(o.proposed, o.responders) {
		return
	}
	c.recordMajority(o)
	c.register.active = nil
	c.register.reserved = &reservation{ballot: c.reservedBallot(o), value: o.proposed, acceptedBallot: o.ballot}
	c.recordRounds(o)
	c.announceChosen(o.ballot, o.proposed)
	c.learnChosen(o.ballot, o.proposed)
	o.reportResults()
	c.startNext()
}
