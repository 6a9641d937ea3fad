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
	wait := c.register.roundTrips.rounds.Timeout()
	if !c.register.roundTrips.rounds.Known() {
		wait = 2 * c.register.roundTrips.reads.Timeout() // a message with a value takes longer than a query
	}
	return min(max(wait, minAnswerRounds*c.o.ReadInterval), maxAnswerRounds*c.o.ReadInterval)
}

const (
	minChangeWait  = clock.Span(4e9)
	maxChangeWait  = clock.Span(12e9)
	changeAttempts = 4 // attempts, of two phases each, that a change is given time for
)

// changeWait returns how long a change may wait for its turn and its attempts.
func (c *Core) changeWait() clock.Span {
	return min(max(minChangeWait, 2*changeAttempts*c.answerWait()), maxChangeWait)
}

const (
	minRivalRounds = 1.2 // how long a rival counts as active after its last message, in read intervals
	maxRivalRounds = 8
)

// rivalWait returns how long another proposer counts as active after its last message.
func (c *Core) rivalWait() clock.Span {
	round := float64(c.o.ReadInterval)
	return clock.Span(min(max(float64(c.register.roundTrips.reads.Timeout()), minRivalRounds*round), maxRivalRounds*round))
}

// rivalActive reports whether this voter has promised a ballot of another proposer whose value is not yet known
// to be chosen. A new ballot now would invalidate that proposer's attempt, and the two would invalidate each
// other's for as long as changes arrive.
func (c *Core) rivalActive() bool {
	at := c.acceptor.promised
	if at == c.acceptor.reserved {
		at = c.acceptor.accepted // a reserved ballot is used only once its proposer has another change
	}
	return at.By != c.o.Self.ID && c.register.knownBallot.Less(at) && c.acceptor.proposerHeardAt != 0 && c.now.Sub(c.acceptor.proposerHeardAt) < c.rivalWait()
}

// rivalMemory is how long after its last message another proposer is taken into account.
const rivalMemory = clock.Span(1e9)

// recordRounds records how long an attempt took and when it ended. Another proposer needs about half of that
// time to learn of the end and to have its own prepare received.
func (c *Core) recordRounds(o *proposal) {
	c.register.lastDuration = c.now.Sub(o.beganAt)
	c.register.lastFinishedAt = c.now
}

// yieldsTurn reports whether a change waits to let other proposers go first, because this node has just finished
// an attempt. Otherwise a node with many changes would begin the next one before others have learned that the
// last one is over.
func (c *Core) yieldsTurn(o *proposal) bool {
	hasRivals := c.acceptor.rivalHeardAt != 0 && c.now.Sub(c.acceptor.rivalHeardAt) < rivalMemory
	return hasRivals && !c.urgent(o) && c.now.Sub(c.register.lastFinishedAt) <= c.register.lastDuration/2
}

// hastenRetry shortens the back-off of a change that lost to another proposer, since a value was chosen.
func (c *Core) hastenRetry() {
	o := c.register.active
	if o == nil || o.phase != queued || c.now >= o.retryAt {
		return
	}
	retry := c.now
	if !c.urgent(o) {
		retry = c.now.Add(clock.Span(c.o.Rand.Int64N(int64(c.baseBackoff()))))
	}
	o.retryAt = min(o.retryAt, retry)
}

// urgentAfter is the least time a change waits before it takes precedence. Its back-off no longer grows from
// then on; otherwise the changes that lost most often would go on losing.
const urgentAfter = clock.Span(1e9)

// urgent reports whether a change has waited so long that it takes precedence.
func (c *Core) urgent(o *proposal) bool {
	return c.now.Sub(o.enqueuedAt) > max(urgentAfter, c.answerWait())
}

// After a lost attempt, a change waits for up to the base back-off, which doubles with each further loss up to
// backoffDoublings times.
const (
	minBackoff       = clock.Span(20e6)
	backoffDoublings = 4
	backoffDivisor   = 4 // the base back-off is at least a read's round trip divided by this
)

// baseBackoff returns the longest wait after a first lost attempt.
func (c *Core) baseBackoff() clock.Span {
	return max(minBackoff, min(c.register.roundTrips.reads.Mean(), maxRivalRounds*c.o.ReadInterval)/backoffDivisor)
}

// backoff returns a random wait after a lost attempt.
func (c *Core) backoff(o *proposal) clock.Span {
	wait := c.baseBackoff()
	if !c.urgent(o) {
		wait <<= min(o.failures, backoffDoublings)
	}
	return wait/2 + clock.Span(c.o.Rand.Int64N(int64(wait)))
}
