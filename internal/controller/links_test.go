package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// takeGrants returns the grants sent since the last call, oldest first.
func (n *node) granted() (l []protocol.Grant) {
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
	n, s := ready(t)
	n.mail(protocol.Renew{Session: s, Seq: 2, Gen: 1, Epoch: 1, Heard: 1})
	n.putPlan(1)
	end := n.at.Add(n.o.Hold)
	seq := uint64(2)
	renew := func(epoch ident.Epoch) protocol.Grant {
		seq++
		n.sent = nil
		n.mail(protocol.Renew{Session: s, Seq: seq, Gen: 1, Epoch: epoch, Heard: 1})
		l := n.granted()
		require.Len(t, l, 1, "each renewal is answered")
		require.Equal(t, seq, l[0].Seq)
		return l[0]
	}
	granted := false
	for n.at < end.Add(-100e6) {
		g := renew(1)
		require.LessOrEqual(t, n.at.Add(g.Len), end)
		require.LessOrEqual(t, n.links[s].until, end.Add(n.pad(n.o.Hold)-n.o.Hold))
		granted = granted || g.Len > 0
		n.pass(200e6, has("m", "ready"))
	}
	require.True(t, granted, "the router gets leases before they end")
	g := renew(1)
	require.Zero(t, g.Len, "the leader grants no lease but answers")
	g = renew(2)
	require.Greater(t, g.Len, n.o.Hold/2, "the router has the version, although it acknowledged none")
}

// While a router processes a configuration, newer versions are not sent one by one. The newest one follows
// after the acknowledgement of the first.
func TestOneConfigurationAtATime(t *testing.T) {
	n, s := ready(t)
	n.items(s)
	for on := range ident.Epoch(5) {
		n.putPlan(on + 1)
	}
	first := n.items(s)
	require.Len(t, first, 1)
	require.Equal(t, ident.Epoch(2), first[0].Desired.Epoch)
	n.mail(protocol.Heard{Session: s, Num: first[0].Num})
	second := n.items(s)
	require.Len(t, second, 1)
	require.Equal(t, ident.Epoch(6), second[0].Desired.Epoch)
	n.pass(2 * n.links[s].resendDelay())
	again := n.items(s)
	require.NotEmpty(t, again, "unacknowledged changes are sent again")
	require.Equal(t, second[0].Num, again[0].Num)
}

// A new leader does not know when the version that it found was chosen, so a router that lacks it gets no
// lease.
func TestNoLeaseBeforeTheTermsFirstVersion(t *testing.T) {
	n := owner(t, onePlan)
	s := protocol.Session{Node: "r", Agent: 1, Router: 1, N: 1}
	n.mail(protocol.Renew{Session: s, Seq: 1, Fresh: true})
	l := n.granted()
	require.Len(t, l, 1)
	require.Zero(t, l[0].Len)
	n.putPlan(1)
	n.mail(protocol.Renew{Session: s, Seq: 2, Gen: 1, Epoch: 0})
	l = n.granted()
	require.Zero(t, l[len(l)-1].Len, "a newer version does not change this")
	n.mail(protocol.Renew{Session: s, Seq: 3, Gen: 1, Epoch: 1})
	l = n.granted()
	require.Positive(t, l[len(l)-1].Len)
}

// A node that is not the leader confirms the newest configuration for as long as its last majority read
// allows.
func TestVouch(t *testing.T) {
	n := owner(t, onePlan)
	s := protocol.Session{Node: "r", Agent: 1, Router: 1, N: 1}
	n.roll["leaves"] = &enrolled{Beacon: protocol.Beacon{Listed: protocol.Listed{ID: "leaves", State: "leaving"}}}
	n.roll["stays"] = &enrolled{Beacon: protocol.Beacon{Listed: protocol.Listed{ID: "stays", State: "live"}}}
	n.duty.mine = false
	ask := func(body any) protocol.NotOwner {
		n.sent = nil
		n.mail(body)
		require.Len(t, n.sent, 1)
		return n.sent[0].Body.(protocol.NotOwner)
	}
	n.at = n.reg.heard.Add(300e6)
	a := ask(protocol.Renew{Session: s, Seq: 7})
	require.Equal(t, protocol.NotOwner{Session: s, Seq: 7, Gen: 1, Epoch: 1, Fresh: n.o.Hold - 300e6, Majority: true, Leaving: []ident.Server{"leaves"}, Cores: a.Cores}, a)
	a = ask(protocol.Heard{Session: s})
	require.Zero(t, a.Fresh, "only a renewal is answered with a confirmation")
	n.at = n.reg.heard.Add(n.o.Hold + clock.Span(1))
	a = ask(protocol.Renew{Session: s, Seq: 8})
	require.Zero(t, a.Fresh, "the last majority read is too old")
	require.False(t, a.Majority)
	n.reg.answered = n.at
	a = ask(protocol.Renew{Session: s, Seq: 9})
	require.Zero(t, a.Fresh, "a majority answers, but no read has completed")
	require.True(t, a.Majority)
}
