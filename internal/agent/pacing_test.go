package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// leaderAfter is a core of three nodes whose leader, a1, answers each renewal late; the others name it at once.
type leaderAfter struct {
	*harness
	delay    clock.Span
	pending  []lateAnswer
	toLeader int // renewals that reached the leader
}

type lateAnswer struct {
	at      clock.Instant
	renewal protocol.Renew
}

// run advances time while the core nodes answer, and returns how many renewals each second the leader got.
func (l *leaderAfter) run(span clock.Span) (perSecond float64) {
	l.toLeader = 0
	for end := l.clock.Add(span); l.clock < end; {
		l.sent = nil
		l.advance(20e6)
		for _, e := range l.sent {
			renewal, ok := e.Body.(protocol.Renew)
			if !ok {
				continue
			}
			if e.To.Addr == "a1" {
				l.toLeader++
				l.pending = append(l.pending, lateAnswer{l.clock.Add(l.delay), renewal})
				continue
			}
			l.deliver(e.To, protocol.NotOwner{Session: renewal.Session, Seq: renewal.Seq, OwnerHint: newPeer("a1"), Majority: true, Epoch: 2, ConfigLease: 1500e6})
		}
		for len(l.pending) > 0 && l.pending[0].at <= l.clock {
			answered := l.pending[0].renewal
			l.pending = l.pending[1:]
			l.deliver(newPeer("a1"), protocol.Grant{Session: answered.Session, Seq: answered.Seq, Length: 2e9, Term: 1})
		}
	}
	return float64(l.toLeader) / span.Seconds()
}

// Guards against an overload that sustains itself: the later the leader answers, the less often it may be asked.
func TestLateLeaderIsAskedLessOften(t *testing.T) {
	onTime := (&leaderAfter{harness: newHarness(), delay: 20e6}).run(20e9)
	for _, delay := range []clock.Span{300e6, 600e6, 1000e6, 1500e6, 3000e6} {
		late := &leaderAfter{harness: newHarness(), delay: delay}
		late.run(4e9)
		require.LessOrEqual(t, late.run(20e9), max(0.1, onTime), "answers after %v", delay)
		answersInLease := delay < 1900e6
		require.Equal(t, answersInLease, late.HasLease(late.clock), "answers after %v: the lease", delay)
	}
}

// Guards against routers that crowd out each other's questions while no core has formed.
func TestSilentCoreIsAskedLessOften(t *testing.T) {
	const longestPause = 1400e6
	r := newHarness()
	r.advance(4e9)
	r.sent = nil
	r.advance(14e9)
	sweeps := 14e9 / queryTimeout * 3 // a router that may be partitioned asks all three nodes
	require.LessOrEqual(t, len(r.renewals()), int(14e9/longestPause+float64(sweeps))+1)
}

// Guards against a slow failover: while other core nodes answer, a new leader is found within an answer timeout of the time
// at which they know it.
func TestNewLeaderIsFoundAlthoughTheOldOneIsSilent(t *testing.T) {
	l := &leaderAfter{harness: newHarness(), delay: 20e6}
	l.run(5e9)
	knownAt := l.clock.Add(1500e6)
	for found := false; !found; {
		require.Less(t, l.clock, knownAt.Add(2*l.o.AnswerTimeout), "the new leader is asked")
		l.sent = nil
		l.advance(20e6)
		for _, e := range l.sent {
			renewal, ok := e.Body.(protocol.Renew)
			switch {
			case !ok || e.To.Addr == "a1":
			case e.To.Addr == "a2" && l.clock >= knownAt:
				found = true
			case l.clock >= knownAt:
				l.deliver(e.To, protocol.NotOwner{Session: renewal.Session, OwnerHint: newPeer("a2"), Majority: true})
			default:
				l.deliver(e.To, protocol.NotOwner{Session: renewal.Session, OwnerHint: newPeer("a1"), Majority: true})
			}
		}
	}
}

// Guards against a first start that drowns in the questions of routers that have nothing to serve by.
func TestRoutersWithoutAConfigurationAskSeldom(t *testing.T) {
	const longestPause = 1400e6
	r := newHarness()
	r.deliver(newPeer("router"), protocol.RouterReport{Incarnation: 7})
	r.advance(4e9)
	r.sent = nil
	r.advance(14e9)
	const nodesPerSweep = 3
	require.LessOrEqual(t, len(r.renewals()), int(14e9/longestPause+1)*(1+nodesPerSweep))
}

// Guards against a leader whose work for renewals grows with the fleet without a bound.
func TestLargeFleetsRenewLessOften(t *testing.T) {
	for _, c := range []struct {
		routers int
		pause   clock.Span
	}{{1, 400e6}, {200, 400e6}, {295, 590e6}, {2000, 800e6}} {
		r := newHarness()
		n, _, _ := lastSent[protocol.Renew](r)
		r.deliver(newPeer("a1"), protocol.Grant{Session: n.Session, Seq: n.Seq, Length: 2e9, Term: 1, Routers: c.routers})
		require.Equal(t, c.pause, r.renewInterval(), "%d routers", c.routers)
	}
}
