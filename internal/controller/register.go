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
	known           *protocol.Desired // newest value known to be chosen
	at              protocol.Ballot
	hint            *protocol.Desired // a value, perhaps not chosen, whose voter set may be newer
	round           uint64            // round of the last query or attempt
	roundBase       uint64            // round before the first one of this incarnation
	top             uint64            // highest ballot number seen anywhere
	op              *op
	queue           []*op
	reads           []reader
	queries         []*query        // majority reads since the last completed one, oldest first
	lastRead        uint64          // round of the newest one that a majority has answered
	wanted          protocol.Ballot // ballot of the chosen value fetched last
	wantedAt        clock.Tick
	next            clock.Tick
	heard           clock.Tick // when the last completed majority read began: no newer value was chosen before
	completedAt     clock.Tick // when the last majority read completed
	answered        clock.Tick // when a majority last answered, whether or not the read completed
	lives           map[ident.Node]stateReport
	blankSince      clock.Tick // since when all seeds are seen blank
	agentCopy       *protocol.Desired
	force           bool
	unequal         clock.Tick                // since when a voter's copy is out of date
	lastDuration    clock.Span                // duration of this node's last attempt
	lastFinishedAt  clock.Tick                // when that attempt ended
	odd             int                       // consecutive reads that showed one newer value that is not known to be chosen
	oddSince        clock.Tick                // when the first of these reads was counted
	oddTop          protocol.Ballot           // ballot of that value
	promised        *reservation              // by a majority, together with this node's last accept
	trips           roundTrips                // measured round trips
	changingVoters  bool                      // a change of the voter set is in progress
	majorityReached bool                      // a majority answers, as last logged
	readsStalled    bool                      // a majority answers but reads do not complete, as last logged
	waitsFor        string                    // what the core waits for, as last logged
	absent          map[ident.Node]clock.Tick // voters that do not answer, and since when
}

// stateReport is the last State message received from a core node.
type stateReport struct {
	at    clock.Tick
	state protocol.State
	sib   protocol.Sibling
}

// roundBits is the width of the round numbers of one incarnation: each has 2^roundBits of them.
const roundBits = 20

// roundBaseOf returns the number before the first round of an incarnation. Incarnations use disjoint round
// numbers, so that a late answer to a query of the previous incarnation is never taken for an answer to a query
// of this one.
func roundBaseOf(life ident.Inc) uint64 { return uint64(life) << roundBits }

func (r *register) init(life ident.Inc) {
	r.roundBase = roundBaseOf(life)
	r.round = r.roundBase
	r.lives = map[ident.Node]stateReport{}
	r.absent = map[ident.Node]clock.Tick{}
}

// learnChosen stores a value that is known to be chosen, unless a newer one is known.
func (c *Core) learnChosen(b protocol.Ballot, v protocol.Desired) {
	r := &c.reg
	if r.known != nil && b.Less(r.at) {
		return
	}
	c.checkChosen(r.known, r.at, b, v)
	r.at = b
	previous := r.known
	r.known = &v
	if r.hint != nil && r.hint.Shape <= v.Shape {
		r.hint = &v
	}
	if previous == nil || previous.Epoch != v.Epoch || previous.Gen != v.Gen || !bytes.Equal(previous.Plan, v.Plan) {
		c.planned()
		if c.duty.mine {
			c.pushAll()
		}
	}
	c.hastenRetry()
	c.completeQueries()
	c.tellKnown()
}

// announceChosen notifies the other voters that a value was chosen.
func (c *Core) announceChosen(b protocol.Ballot, v protocol.Desired) {
	for _, p := range voterset.Addresses(v) {
		if p.ID != c.o.Me.ID {
			c.send(p, protocol.Taken{Epoch: v.Epoch, Ballot: b})
		}
	}
}

func (c *Core) onValueChosen(e protocol.Env) { c.hearOfChosen(e.Body.(protocol.Taken).Ballot, e.From) }

// noteChosen learns the value of a ballot that another node knows to be chosen. If this node has accepted that
// ballot, it has the value; otherwise it fetches the value from that node.
func (c *Core) hearOfChosen(b protocol.Ballot, from protocol.Sibling) {
	r := &c.reg
	if !r.at.Less(b) {
		return
	}
	if c.vote.value != nil && c.vote.accepted == b {
		c.learnChosen(b, *c.vote.value)
		return
	}
	if !r.wanted.Less(b) && c.now.Sub(r.wantedAt) < max(c.o.Round, r.trips.reads.Timeout()) {
		return // already requested
	}
	r.wanted, r.wantedAt = b, c.now
	c.send(from, protocol.Fetch{Ballot: b})
}

func (c *Core) tickRegister() {
	r := &c.reg
	if o := r.op; o != nil {
		switch {
		case c.now > o.end:
			r.op = nil
			kind := o.timeoutKind()
			r.queue = append(o.batched, r.queue...) // each has its own deadline
			o.done(applied{kind: kind})
		case o.awaitsAnswers() && c.now.Sub(o.sent) > c.answerWait()<<o.resent:
			c.resend(o)
		}
	}
	for len(r.queue) > 0 && c.now > r.queue[0].end {
		o := r.queue[0]
		r.queue = r.queue[1:]
		o.done(applied{kind: o.timeoutKind()})
	}
	c.beatForwards()
	c.startNext()
	c.dropReads()
	c.tickQueries()
	c.tickForming()
	c.tickVoters()
}
