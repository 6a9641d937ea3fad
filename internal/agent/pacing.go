package agent

import (
	"slices"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
	"tidedeck/internal/roundtrip"
)

// Pacing of renewals. A core node that is behind answers late, and each further renewal puts it further behind. So a node
// gets only as many renewals as it answers: at most maxOutstanding are sent before one of them is answered, and after each
// further one that it does not answer it is given twice as long.

const (
	// maxOutstanding is how many renewals one node may have to answer. A single one would lose the lease once an answer
	// takes half of it.
	maxOutstanding = 2
	// maxHoldOffTimeouts bounds the time that a node is given, in answer timeouts. It is well below the lease of a router.
	maxHoldOffTimeouts = 4
	// maxSilenceDoublings bounds how often the pause between renewals doubles while no core node answers.
	maxSilenceDoublings = 3
	// promptAnswer is the mean round trip up to which the leader counts as keeping up: each renewal reports the router's load.
	promptAnswer = clock.Span(150e6)
	// tripsPerLoadReport is how many round trips pass between two reports of the load while the leader is behind, up to
	// maxLoadReportInterval. Most of the cost of a renewal is reading the load.
	tripsPerLoadReport    = 8
	maxLoadReportInterval = clock.Span(4e9)
	// maxRememberedSeqs bounds the unanswered renewals that are remembered for one path.
	maxRememberedSeqs = 8
)

// renewalPacer knows what the core nodes have not answered yet.
type renewalPacer struct {
	trip       roundtrip.Estimator // from a renewal to the leader's grant
	unanswered map[corePath]unanswered
	silent     int // renewals since any core node answered
}

// unanswered are the renewals that were sent over one path and not answered.
type unanswered struct {
	lastSentAt clock.Instant
	seqs       []uint64
}

func newRenewalPacer() renewalPacer {
	return renewalPacer{unanswered: map[corePath]unanswered{}}
}

func (p *renewalPacer) noteSent(path corePath, seq uint64, now clock.Instant) {
	p.silent++
	seqs := append(p.unanswered[path].seqs, seq)
	p.unanswered[path] = unanswered{lastSentAt: now, seqs: seqs[max(0, len(seqs)-maxRememberedSeqs):]}
}

// noteAnswer records a core node's answer to a renewal and all earlier ones. A zero seq answers whatever was sent.
func (p *renewalPacer) noteAnswer(from protocol.Peer, seq uint64) {
	p.silent = 0
	for path, sent := range p.unanswered {
		if path.to.Addr != from.Addr {
			continue
		}
		sent.seqs = slices.DeleteFunc(sent.seqs, func(s uint64) bool { return seq == 0 || s <= seq })
		p.unanswered[path] = sent
		if len(sent.seqs) == 0 {
			delete(p.unanswered, path)
		}
	}
}

// answerTimeout returns how long the leader's answer may take before it counts as late.
func (c *Core) answerTimeout() clock.Span {
	return min(max(c.o.AnswerTimeout, c.pacer.trip.Timeout()), maxHoldOffTimeouts*c.o.AnswerTimeout)
}

// holdsOff reports whether the node at the end of a path still has time to answer earlier renewals.
func (c *Core) holdsOff(path corePath) bool {
	sent := c.pacer.unanswered[path]
	sinceLast := c.now.Sub(sent.lastSentAt)
	if len(sent.seqs) < maxOutstanding {
		return len(sent.seqs) > 0 && sinceLast < c.pacer.trip.Mean()/maxOutstanding
	}
	longest, wait := maxHoldOffTimeouts*c.o.AnswerTimeout, c.answerTimeout()
	for range len(sent.seqs) - maxOutstanding {
		wait = min(2*wait, longest)
	}
	return sinceLast < wait
}

// isLeaderLate reports whether the leader should have answered by now.
func (c *Core) isLeaderLate() bool {
	return c.now.Sub(c.lastLeaderAnswer) > c.o.RenewInterval+c.answerTimeout()
}

// pauseWithoutLeader returns the pause before the next renewal while the leader does not answer: short while other core
// nodes do, since one of them may know the next leader, and longer the longer all of them are silent.
func (c *Core) pauseWithoutLeader() clock.Span {
	return c.o.AnswerTimeout / 2 << min(c.pacer.silent, maxSilenceDoublings)
}

// reportsLoad reports whether the next renewal carries the router's load: not to a node that is not known to be the leader while
// another one is, and less often than leases are renewed while the leader is behind.
func (c *Core) reportsLoad() bool {
	if c.leaderAddr != "" && c.path.to.Addr != c.leaderAddr {
		return false
	}
	trip := c.pacer.trip.Mean()
	return trip <= promptAnswer || c.now.Sub(c.loadReportedAt) >= min(tripsPerLoadReport*trip, maxLoadReportInterval)
}
