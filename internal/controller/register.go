package controller

import (
	"bytes"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/voterset"
)

// register is the proposer's and reader's part.
type register struct {
	known           *protocol.Desired // newest value known to be chosen
	at              protocol.Ballot
	hint            *protocol.Desired // a voter set to try, from a value perhaps not chosen
	round           uint64            // of the last question
	roundBase       uint64            // and before the first of this life
	top             uint64            // highest ballot number seen anywhere
	op              *op
	queue           []*op
	reads           []reader
	queries         []*query        // majority reads from the last that ended on, oldest first
	lastRead        uint64          // the newest of them that a majority has answered
	wanted          protocol.Ballot // of the chosen value that was fetched last
	wantedAt        clock.Tick
	next            clock.Tick
	heard           clock.Tick // when the last majority read was asked for that ended: nothing newer than what is known was chosen before
	completedAt     clock.Tick // when the last of them ended
	answered        clock.Tick // when a majority last answered, whatever it showed
	lives           map[ident.Node]stateReport
	blankSince      clock.Tick // since when every seed is seen blank
	agentCopy       *protocol.Desired
	force           bool
	unequal         clock.Tick                // since when some voter's copy is old
	lastDuration    clock.Span                // that the last change's rounds took here
	lastFinishedAt  clock.Tick                // when they ended
	odd             int                       // rounds in a row in which reads showed one value that is newer and not known to be chosen
	oddSince        clock.Tick                // when the first of them did
	oddTop          protocol.Ballot           // its ballot
	promised        *reservation              // by a majority, together with this node's last accept
	trips           roundTrips                // round trips that this node measures
	changingVoters  bool                      // a change of the voter set is under way
	majorityReached bool                      // a majority was heard lately, as the log was told last
	readsStalled    bool                      // likewise: a majority answers, and reads do not end
	waitsFor        string                    // what the core lacks to go on, as the log was told last
	absent          map[ident.Node]clock.Tick // voters that do not answer, and since when
}

type stateReport struct {
	at    clock.Tick
	state protocol.State
	sib   protocol.Sibling
}

// lifeBits is how many numbers each life of a node has for its questions.
const roundBits = 20

// firstNumber gives the number before a life's first question. Lives have numbers of their own, so that a late
// answer to a question of the life before is never taken for one to a question of this life.
func roundBaseOf(life ident.Inc) uint64 { return uint64(life) << roundBits }

func (r *register) init(life ident.Inc) {
	r.roundBase = roundBaseOf(life)
	r.round = r.roundBase
	r.lives = map[ident.Node]stateReport{}
	r.absent = map[ident.Node]clock.Tick{}
}

// learn takes in a value that is known to be chosen.
func (c *Core) learnChosen(b protocol.Ballot, v protocol.Desired) {
	r := &c.reg
	if r.known != nil && b.Less(r.at) {
		return
	}
	c.checkChosen(r.known, r.at, b, v)
	r.at = b
	old := r.known
	r.known = &v
	if r.hint != nil && r.hint.Shape <= v.Shape {
		r.hint = &v
	}
	if old == nil || old.Epoch != v.Epoch || old.Gen != v.Gen || !bytes.Equal(old.Plan, v.Plan) {
		c.planned()
		if c.duty.mine {
			c.pushAll()
		}
	}
	c.hastenRetry()
	c.completeQueries()
	c.tellKnown()
}

// announceChosen tells the other voters that a value was chosen.
func (c *Core) announceChosen(b protocol.Ballot, v protocol.Desired) {
	for _, p := range voterset.Addresses(v) {
		if p.ID != c.o.Me.ID {
			c.send(p, protocol.Taken{Epoch: v.Epoch, Ballot: b})
		}
	}
}

func (c *Core) onTaken(e protocol.Env) { c.hearOfChosen(e.Body.(protocol.Taken).Ballot, e.From) }

// hearOfChosen learns the value of a ballot that another node knows to be chosen: this node's own, if it has accepted that
// ballot, and else it asks that node for it.
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
		return // it is on its way
	}
	r.wanted, r.wantedAt = b, c.now
	c.send(from, protocol.Fetch{Ballot: b})
}

func (c *Core) beatRegister() {
	r := &c.reg
	if o := r.op; o != nil {
		switch {
		case c.now > o.end:
			r.op = nil
			k := o.timeoutKind()
			r.queue = append(o.batched, r.queue...) // each has its own time
			o.done(applied{kind: k})
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
	c.beatQuery()
	c.beatForm()
	c.beatVoters()
}
