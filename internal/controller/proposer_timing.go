package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/roundtrip"
)

// How long a proposer waits for answers, for rivals and for its turn. All of it follows the round trips that this node has
// measured, so that a core whose nodes are slow, or far from each other, goes on at its own speed. The bounds are multiples
// of the time between two majority reads, which follows from the settings.

// trips are the round trips that a node measures.
type roundTrips struct {
	reads    roundtrip.Estimator // from a majority read to the answers of a majority
	rounds   roundtrip.Estimator // likewise for prepares and accepts, which carry the value
	forwards roundtrip.Estimator // from a change that is handed to the owner of the lease to its outcome
}

const (
	minAnswerRounds = 3  // times between two reads that answers are waited for at least
	maxAnswerRounds = 16 // and at most
)

// answerWait is how long the answers of a majority are waited for before an attempt is sent again.
func (c *Core) answerWait() clock.Span {
	wait := c.reg.trips.rounds.Timeout()
	if !c.reg.trips.rounds.Known() {
		wait = 2 * c.reg.trips.reads.Timeout() // a value takes longer than a question
	}
	return min(max(wait, minAnswerRounds*c.o.Round), maxAnswerRounds*c.o.Round)
}

const (
	leastChangeWait = clock.Span(4e9)
	mostChangeWait  = clock.Span(12e9)
	changeAttempts  = 4 // attempts of two rounds that a change is given time for
)

// changeWait is how long a change may wait for its turn and its rounds.
func (c *Core) changeWait() clock.Span {
	return min(max(leastChangeWait, 2*changeAttempts*c.answerWait()), mostChangeWait)
}

const (
	minRivalRounds = 1.2 // times between two reads after its last word that another proposer counts as being at work
	maxRivalRounds = 8
)

// rivalWait is how long after its last word another proposer counts as being at work.
func (c *Core) rivalWait() clock.Span {
	round := float64(c.o.Round)
	return clock.Span(min(max(float64(c.reg.trips.reads.Timeout()), minRivalRounds*round), maxRivalRounds*round))
}

// rivalIsAtIt tells whether this voter has promised itself to another proposer whose value is not chosen yet, as far as
// is known here. A new ballot now would make that proposer's rounds void, and they each other's for as long as changes come.
func (c *Core) rivalActive() bool {
	at := c.vote.promised
	if at == c.vote.reserved {
		at = c.vote.accepted // the promise came with an accept, and is used only once there is another change
	}
	return at.By != c.o.Me.ID && c.reg.at.Less(at) && c.vote.asked != 0 && c.now.Sub(c.vote.asked) < c.rivalWait()
}

// rivalsKept is how long after its last word another proposer is reckoned with.
const rivalMemory = clock.Span(1e9)

// noteRounds notes how long a change's rounds took, and that it is over: half of that time is what another proposer needs
// to hear of it and to have its own prepare heard.
func (c *Core) recordRounds(o *op) {
	c.reg.lastDuration = c.now.Sub(o.beganAt)
	c.reg.lastFinishedAt = c.now
}

// givesWay tells whether a change waits for other proposers' turn, since this node has just had one. Without that a node
// with many changes would begin its next one before others have heard that the last is over.
func (c *Core) yieldsTurn(o *op) bool {
	rivals := c.vote.rivalHeardAt != 0 && c.now.Sub(c.vote.rivalHeardAt) < rivalMemory
	return rivals && !c.urgent(o) && c.now.Sub(c.reg.lastFinishedAt) <= c.reg.lastDuration/2
}

// wakeProposal has a change that was outbid begin soon, since a value was chosen.
func (c *Core) hastenRetry() {
	o := c.reg.op
	if o == nil || o.phase != queued || c.now >= o.wake {
		return
	}
	soon := c.now
	if !c.urgent(o) {
		soon = c.now.Add(clock.Span(c.o.Rand.Int64N(int64(c.baseBackoff()))))
	}
	o.wake = min(o.wake, soon)
}

// urgentAfter is how long a change waits, at least, before it goes before others. One that has waited so long backs off no
// longer than any other: else those that lost most would go on losing.
const urgentAfter = clock.Span(1e9)

// urgent tells whether a change has waited so long that it goes before others.
func (c *Core) urgent(o *op) bool { return c.now.Sub(o.came) > max(urgentAfter, c.answerWait()) }

// An attempt that was outbid waits for up to the least backoff, twice as long after each further one, for backoffDoublings.
const (
	minBackoff       = clock.Span(20e6)
	backoffDoublings = 4
	backoffDivisor   = 4 // parts of a read's round trip that the least backoff is at least
)

func (c *Core) baseBackoff() clock.Span {
	return max(minBackoff, min(c.reg.trips.reads.Mean(), maxRivalRounds*c.o.Round)/backoffDivisor)
}

// backoff draws how long an attempt that was outbid waits.
func (c *Core) backoff(o *op) clock.Span {
	back := c.baseBackoff()
	if !c.urgent(o) {
		back <<= min(o.fails, backoffDoublings)
	}
	return back/2 + clock.Span(c.o.Rand.Int64N(int64(back)))
}
