package controller

import (
	"bytes"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// register is the state of the proposer and the reader.
type register struct {
	known            *protocol.Desired // newest value known to be chosen
	knownBallot      protocol.Ballot
	hint             *protocol.Desired // a value, perhaps not chosen, whose voter set may be newer
	round            uint64            // round of the last query or attempt
	roundBase        uint64            // round before the first one of this incarnation
	highestNumber    uint64            // highest ballot number seen anywhere
	active           *proposal
	queue            []*proposal
	reads            []pendingRead
	queries          []*query        // majority reads since the last completed one, oldest first
	lastRead         uint64          // round of the newest one that a majority has answered
	fetchedBallot    protocol.Ballot // ballot of the chosen value fetched last
	fetchedAt        clock.Instant
	nextQuery        clock.Instant
	knownSince       clock.Instant // when the last completed majority read began: no newer value was chosen before
	completedAt      clock.Instant // when the last majority read completed
	answered         clock.Instant // when a majority last answered, whether or not the read completed
	states           map[ident.Node]stateReport
	blankSince       clock.Instant // since when this node could form a core
	copiesQueriedAt  clock.Instant // when the agents were last asked for their copies of the configuration
	coreUnknownSince clock.Instant // since when this node knows of no core
	formingWaitsFor  string        // what a node without a core waits for, as last logged
	agentCopy        *protocol.Desired
	forceForming     bool
	staleSince       clock.Instant                // since when a voter's copy is out of date
	lastDuration     clock.Span                   // duration of this node's last attempt
	lastFinishedAt   clock.Instant                // when that attempt ended
	unsettledCount   int                          // consecutive reads that showed one newer value that is not known to be chosen
	unsettledSince   clock.Instant                // when the first of these reads was counted
	unsettledBallot  protocol.Ballot              // ballot of that value
	reserved         *reservation                 // by a majority, together with this node's last accept
	roundTrips       roundTrips                   // measured round trips
	changingVoters   bool                         // a change of the voter set is in progress
	majorityReached  bool                         // a majority answers, as last logged
	readsStalled     bool                         // a majority answers but reads do not complete, as last logged
	waitsFor         string                       // what the core waits for, as last logged
	absentSince      map[ident.Node]clock.Instant // voters that do not answer, and since when
}

// stateReport is the last State message received from a core node.
type stateReport struct {
	at      clock.Instant
	state   protocol.State
	sibling protocol.Peer
}

// roundBits is the width of the round numbers of one incarnation: each has 2^roundBits of them.
const roundBits = 20

// roundBaseOf returns the number before the first round of an incarnation. Incarnations use disjoint round numbers, so
// that a late answer to a query of the previous incarnation is never taken for an answer to a query of this one. The
// numbers wrap about every 19 hours: those of a later incarnation may be higher or lower.
func roundBaseOf(life ident.Incarnation) uint64 { return uint64(life) << roundBits }

func (r *register) init(life ident.Incarnation) {
	r.roundBase = roundBaseOf(life)
	r.round = r.roundBase
	r.states = map[ident.Node]stateReport{}
	r.absentSince = map[ident.Node]clock.Instant{}
}

// learnChosen stores a value that is known to be chosen, unless a newer one is known.
func (c *Core) learnChosen(b protocol.Ballot, v protocol.Desired) {
	r := &c.register
	if r.known != nil && b.Less(r.knownBallot) {
		return
	}
	c.checkChosen(r.known, r.knownBallot, b, v)
	r.knownBallot = b
	previous := r.known
	r.known = &v
	if r.hint != nil && r.hint.VoterSet <= v.VoterSet {
		r.hint = &v
	}
	if previous == nil || previous.Epoch != v.Epoch || previous.Gen != v.Gen || !bytes.Equal(previous.Plan, v.Plan) {
		c.applyDesired()
		if c.leadership.held {
			c.broadcastDesired()
		}
	}
	c.hastenRetry()
	c.completeQueries()
	c.reportKnownOutcomes()
}

// announceChosen notifies the other voters that a value was chosen.
func (c *Core) announceChosen(b protocol.Ballot, v protocol.Desired) {
	for _, p := range voterset.Peers(v) {
		if p.ID != c.o.Self.ID {
			c.send(p, protocol.ValueChosen{Epoch: v.Epoch, Ballot: b})
		}
	}
}

func (c *Core) onValueChosen(e protocol.Envelope) {
	c.noteChosen(e.Body.(protocol.ValueChosen).Ballot, e.From)
}

// noteChosen learns the value of a ballot that another node knows to be chosen. If this node has accepted that
// ballot, it has the value; otherwise it fetches the value from that node.
func (c *Core) noteChosen(b protocol.Ballot, from protocol.Peer) {
	r := &c.register
	if !r.knownBallot.Less(b) {
		return
	}
	if c.acceptor.value != nil && c.acceptor.accepted == b {
		c.learnChosen(b, *c.acceptor.value)
		return
	}
	if !r.fetchedBallot.Less(b) && c.now.Sub(r.fetchedAt) < max(c.o.ReadInterval, r.roundTrips.reads.Timeout()) {
		return // already requested
	}
	r.fetchedBallot, r.fetchedAt = b, c.now
	c.send(from, protocol.FetchValue{Ballot: b})
}

func (c *Core) tickRegister() {
	r := &c.register
	if o := r.active; o != nil {
		switch {
		case c.now > o.deadline:
			r.active = nil
			kind := o.timeoutKind()
			r.queue = append(o.batched, r.queue...) // each has its own deadline
			o.done(applyResult{kind: kind})
		case o.awaitsAnswers() && c.now.Sub(o.sentAt) > c.answerWait()<<o.resent:
			c.resend(o)
		}
	}
	for len(r.queue) > 0 && c.now > r.queue[0].deadline {
		o := r.queue[0]
		r.queue = r.queue[1:]
		o.done(applyResult{kind: o.timeoutKind()})
	}
	c.retryForwards()
	c.startNext()
	c.expireReads()
	c.tickQueries()
	c.tickForming()
	c.logForming()
	c.tickVoters()
}
