package controller

import (
	"tidedeck/internal/clock"
	"tidedeck/internal/roundtrip"
)

// How long a proposer waits for answers, for rivals and for its turn. These times follow the measured round
// trips, so that a core whose nodes are slow or far apart still makes progress. The bounds are multiples of the
// interval between two majority reads, which follows from the settings.

// roundTrips are the round-trip estimates of a node.
type roundTrips struct {
	reads    roundtrip.Estimator // from a majority read to the answers of a majority
	rounds   roundtrip.Estimator // the same for prepares and accepts, which carry the value
	forwards roundtrip.Estimator // from forwarding a change to the leader to its outcome
}

const (
	minAnswerRounds = 3  // least wait for answers, in read intervals
	maxAnswerRounds = 16 // longest wait for answers
)

// answerWait returns how long an attempt waits for the answers of a majority before it is resent.
func (c *Core) answerWait() clock.Span {
	wait := c.reg.trips.rounds.Timeout()
	if !c.reg.trips.rounds.Known() {
		wait = 2 * c.reg.trips.reads.Timeout() // a message with a value takes longer than a query
	}
	return min(max(wait, minAnswerRounds*c.o.Round), maxAnswerRounds*c.o.Round)
}

const (
	leastChangeWait = clock.Span(4e9)
	mostChangeWait  = clock.Span(12e9)
	changeAttempts  = 4 // attempts, of two phases each, that a change is given time for
)

// changeWait returns how long a change may wait for its turn and its attempts.
func (c *Core) changeWait() clock.Span {
	return min(max(leastChangeWait, 2*changeAttempts*c.answerWait()), mostChangeWait)
}

const (
	minRivalRounds = 1.2 // how long a rival counts as active after its last message, in read intervals
	maxRivalRounds = 8
)

// rivalWait returns how long another proposer counts as active after its last message.
func (c *Core) rivalWait() clock.Span {
	round := float64(c.o.Round)
	return clock.Span(min(max(float64(c.reg.trips.reads.Timeout()), minRivalRounds*round), maxRivalRounds*round))
}

// rivalActive reports whether this voter has promised a ballot of another proposer whose value is not yet known
// to be chosen. A new ballot now would invalidate that proposer's attempt, and the two would invalidate each
// other's for as long as changes arrive.
func (c *Core) rivalActive() bool {
	at := c.vote.promised
	if at == c.vote.reserved {
		at = c.vote.accepted // a reserved ballot is used only once its proposer has another change
	}
	return at.By != c.o.Me.ID && c.reg.at.Less(at) && c.vote.asked != 0 && c.now.Sub(c.vote.asked) < c.rivalWait()
}

// rivalMemory is how long after its last message another proposer is taken into account.
const rivalMemory = clock.Span(1e9)

// recordRounds records how long an attempt took and when it ended. Another proposer needs about half of that
// time to learn of the end and to have its own prepare received.
func (c *Core) recordRounds(o *op) {
	c.reg.lastDuration = c.now.Sub(o.beganAt)
	c.reg.lastFinishedAt = c.now
}

// yieldsTurn reports whether a change waits to let other proposers go first, because this node has just finished
// an attempt. Otherwise a node with many changes would begin the next one before others have learned that the
// last one is over.
func (c *Core) yieldsTurn(o *op) bool {
	hasRivals := c.vote.rivalHeardAt != 0 && c.now.Sub(c.vote.rivalHeardAt) < rivalMemory
	return hasRivals && !c.urgent(o) && c.now.Sub(c.reg.lastFinishedAt) <= c.reg.lastDuration/2
}

// hastenRetry shortens the back-off of a change that lost to another proposer, since a value was chosen.
func (c *Core) hastenRetry() {
	o := c.reg.op
	if o == nil || o.phase != queued || c.now >= o.wake {
		return
	}
	retry := c.now
	if !c.urgent(o) {
		retry = c.now.Add(clock.Span(c.o.Rand.Int64N(int64(c.baseBackoff()))))
	}
	o.wake = min(o.wake, retry)
}

// urgentAfter is the least time a change waits before it takes precedence. Its back-off no longer grows from
// then on; otherwise the changes that lost most often would go on losing.
const urgentAfter = clock.Span(1e9)

// urgent reports whether a change has waited so long that it takes precedence.
func (c *Core) urgent(o *op) bool { return c.now.Sub(o.came) > max(urgentAfter, c.answerWait()) }

// After a lost attempt, a change waits for up to the base back-off, which doubles with each further loss up to
// backoffDoublings times.
const (
	minBackoff       = clock.Span(20e6)
	backoffDoublings = 4
	backoffDivisor   = 4 // the base back-off is at least a read's round trip divided by this
)

// baseBackoff returns the longest wait after a first lost attempt.
func (c *Core) baseBackoff() clock.Span {
	return max(minBackoff, min(c.reg.trips.reads.Mean(), maxRivalRounds*c.o.Round)/backoffDivisor)
}

// backoff returns a random wait after a lost attempt.
func (c *Core) backoff(o *op) clock.Span {
	wait := c.baseBackoff()
	if !c.urgent(o) {
		wait <<= min(o.fails, backoffDoublings)
	}
	return wait/2 + clock.Span(c.o.Rand.Int64N(int64(wait)))
}
