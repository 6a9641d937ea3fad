package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// takeGrants returns the grants sent since the last call, oldest first.
func (n *node) takeGrants() (l []protocol.Grant) {
	for _, e := range n.sent {
		if g, ok := e.Body.(protocol.Grant); ok {
			l = append(l, g)
		}
	}
	n.sent = nil
	return l
}

// putPlan replaces the plan, which creates the next epoch.
func (n *node) putPlan(on ident.Epoch) {
	n.step(Admin{Op: "put", Raw: []byte(onePlan), Expect: on})
	require.Equal(n.t, on+1, n.Epoch())
}

// A router that lacks a version gets leases that end as if they had been granted before the version was
// chosen. After that time it gets grants of length zero. Once the router has the version, however it received
// it, it gets a full lease.
func TestLeaseEndsWithWhatIsLacked(t *testing.T) {
	n, s := newReadyOwner(t)
	n.fromRouter(protocol.Renew{Session: s, Seq: 2, Gen: 1, Epoch: 1, AckedNum: 1})
	n.putPlan(1)
	end := n.at.Add(n.o.RouterLease)
	seq := uint64(2)
	renew := func(epoch ident.Epoch) protocol.Grant {
		seq++
		n.sent = nil
		n.fromRouter(protocol.Renew{Session: s, Seq: seq, Gen: 1, Epoch: epoch, AckedNum: 1})
		l := n.takeGrants()
		require.Len(t, l, 1, "each renewal is answered")
		require.Equal(t, seq, l[0].Seq)
		return l[0]
	}
	granted := false
	for n.at < end.Add(-100e6) {
		g := renew(1)
		require.LessOrEqual(t, n.at.Add(g.Length), end)
		require.LessOrEqual(t, n.links[s].leaseEnd, end.Add(n.withDrift(n.o.RouterLease)-n.o.RouterLease))
		granted = granted || g.Length > 0
		n.advance(200e6, held("m", "ready"))
	}
	require.True(t, granted, "the router gets leases before they end")
	g := renew(1)
	require.Zero(t, g.Length, "the leader grants no lease but answers")
	g = renew(2)
	require.Greater(t, g.Length, n.o.RouterLease/2, "the router has the version, although it acknowledged none")
}

// While a router processes a configuration, newer versions are not sent one by one. The newest one follows
// after the acknowledgement of the first.
func TestOneConfigurationAtATime(t *testing.T) {
	n, s := newReadyOwner(t)
	n.items(s)
	for on := range ident.Epoch(5) {
		n.putPlan(on + 1)
	}
	first := n.items(s)
	require.Len(t, first, 1)
	require.Equal(t, ident.Epoch(2), first[0].Desired.Epoch)
	n.fromRouter(protocol.Ack{Session: s, Num: first[0].Num})
	second := n.items(s)
	require.Len(t, second, 1)
	require.Equal(t, ident.Epoch(6), second[0].Desired.Epoch)
	n.advance(2 * n.links[s].unacked[0].resendDelay())
	again := n.items(s)
	require.NotEmpty(t, again, "unacknowledged changes are sent again")
	require.Equal(t, second[0].Num, again[0].Num)
}

// A new leader does not know when the version that it found was chosen, so a router that lacks it gets no
// lease.
func TestNoLeaseBeforeTheTermsFirstVersion(t *testing.T) {
	n := newOwner(t, onePlan)
	s := protocol.Session{Node: "r", AgentIncarnation: 1, RouterIncarnation: 1, Num: 1}
	n.fromRouter(protocol.Renew{Session: s, Seq: 1, NewSession: true})
	l := n.takeGrants()
	require.Len(t, l, 1)
	require.Zero(t, l[0].Length)
	n.putPlan(1)
	n.fromRouter(protocol.Renew{Session: s, Seq: 2, Gen: 1, Epoch: 0})
	l = n.takeGrants()
	require.Zero(t, l[len(l)-1].Length, "a newer version does not change this")
	n.fromRouter(protocol.Renew{Session: s, Seq: 3, Gen: 1, Epoch: 1})
	l = n.takeGrants()
	require.Positive(t, l[len(l)-1].Length)
}

// A node that is not the leader confirms the newest configuration for as long as its last majority read
// allows.
func TestVouch(t *testing.T) {
	n := newOwner(t, onePlan)
	s := protocol.Session{Node: "r", AgentIncarnation: 1, RouterIncarnation: 1, Num: 1}
	n.enrolledServers["leaves"] = &enrolled{Announcement: protocol.Announcement{ListedServer: protocol.ListedServer{ID: "leaves", State: "leaving"}}}
	n.enrolledServers["stays"] = &enrolled{Announcement: protocol.Announcement{ListedServer: protocol.ListedServer{ID: "stays", State: "live"}}}
	n.leadership.held = false
	ask := func(body any) protocol.NotOwner {
		n.sent = nil
		n.fromRouter(body)
		require.Len(t, n.sent, 1)
		return n.sent[0].Body.(protocol.NotOwner)
	}
	n.at = n.register.knownSince.Add(300e6)
	a := ask(protocol.Renew{Session: s, Seq: 7})
	require.Equal(t, protocol.NotOwner{Session: s, Seq: 7, Gen: 1, Epoch: 1, ConfigLease: n.o.RouterLease - 300e6, Majority: true, Leaving: []ident.Server{"leaves"}, CoreNodes: a.CoreNodes}, a)
	a = ask(protocol.Ack{Session: s})
	require.Zero(t, a.ConfigLease, "only a renewal is answered with a confirmation")
	n.at = n.register.knownSince.Add(n.o.RouterLease + clock.Span(1))
	a = ask(protocol.Renew{Session: s, Seq: 8})
	require.Zero(t, a.ConfigLease, "the last majority read is too old")
	require.False(t, a.Majority)
	n.register.answered = n.at
	a = ask(protocol.Renew{Session: s, Seq: 9})
	require.Zero(t, a.ConfigLease, "a majority answers, but no read has completed")
	require.True(t, a.Majority)
}
