package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// A restarted voter doesn't know what it granted before. It grants the lease to the last leader at once, since
// that leader's previous grant is over, and to other nodes only after a forgotten grant must have expired.
func TestVoterAfterItsRestart(t *testing.T) {
	for _, c := range []struct {
		name  string
		owner string // on the voter's disk
		asks  string
		after clock.Span
		grant bool
	}{
		{"the last leader at once", "a", "a", 0, true},
		{"another at once", "a", "b", 0, false},
		{"another node shortly before the grant expires", "a", "b", -20e6, false},
		{"another node after the grant has expired", "a", "b", 20e6, true},
		{"any node, without a recorded grant, at once", "", "b", 0, false},
		{"any node, without a recorded grant, after the lease duration", "", "b", 20e6, true},
	} {
		k := New(Options{Self: protocol.Peer{ID: "v", Addr: "v"}, Inc: 2})
		k.Step(1e9, protocol.Start{Disk: map[string][]byte{
			keyIncarnation: []byte("5"), keyLeaseGrant: marshal(storedGrant{Duty: 7, Owner: protocol.Peer{ID: ident.Node(c.owner)}}),
		}})
		at := clock.Instant(1e9)
		if c.after != 0 {
			at = at.Add(k.withDrift(k.o.LeadershipLease) + c.after)
		}
		granted := false
		out := k.Step(at, protocol.Envelope{From: protocol.Peer{ID: ident.Node(c.asks), Addr: c.asks}, To: protocol.Peer{ID: "v"}, Body: protocol.Query{Round: 1, Claim: true, Term: 8}})
		for len(out) > 0 {
			var next []any
			for _, o := range out {
				switch v := o.(type) {
				case protocol.Save:
					next = append(next, k.Step(at, protocol.Saved{Token: v.Token})...)
				case protocol.Envelope:
					if s, ok := v.Body.(protocol.State); ok {
						granted = granted || s.Granted
					}
				}
			}
			out = next
		}
		require.Equal(t, c.grant, granted, c.name)
	}
}

// After a power loss of the whole core, the last leader regains the lease within one lease duration.
func TestDutyBackAfterPower(t *testing.T) {
	c := newCluster(t, modelPlan(12, "llm|m"), "a", "b", "c")
	c.run(2e9)
	was := c.owner()
	c.reboot("a", "b", "c")
	require.Empty(t, c.owner())
	at := c.at
	require.True(t, c.until(9e9, func() bool { return c.owner() != "" }))
	require.Equal(t, was, c.owner())
	require.Less(t, c.at.Sub(at), c.leader().o.LeadershipLease)
}

// Keys that had several replicas before keep them until the demand is known.
func TestReplicasUntilDemandIsKnown(t *testing.T) {
	p := modelPlan(8, "llm|hot", "llm|x", "llm|y", "llm|n")
	k := newPlacementCore(p, heldKeys{"s1": {"llm|hot", "llm|x"}, "s2": {"llm|hot", "llm|y"}})
	k.demandSince = k.now - 1e9
	k.demand["llm|n"] = &keyDemand{reportedAt: k.now, waiting: 9}
	runPlacementNow(k, 9)
	require.NotContains(t, k.placementChanges(), "-hot")
	k = newPlacementCore(p, heldKeys{"s1": {"llm|hot", "llm|x"}, "s2": {"llm|hot", "llm|y"}})
	k.demandSince = k.now - 9e9
	k.demand["llm|n"] = &keyDemand{reportedAt: k.now, waiting: 9}
	k.demand["llm|x"] = &keyDemand{longTermRate: 1, rate: 1, load: 0.3, currentLoad: 0.3}
	k.demand["llm|y"] = &keyDemand{longTermRate: 1, rate: 1, load: 0.3, currentLoad: 0.3}
	runPlacementNow(k, 9)
	require.Contains(t, k.placementChanges(), "-hot", "a replica without demand is evicted")
}

// A core that formed with three seeds grows to five voters if the options ask for five, and then survives two emptied
// disks. Otherwise it keeps three voters.
func TestVotersGrow(t *testing.T) {
	for _, want := range []int{0, 5} {
		c := newCluster(t, modelPlan(12, "llm|m"), "a", "b", "c")
		for _, id := range []string{"a", "b", "c"} {
			c.nodes[id].o.Voters = want
		}
		for _, id := range []string{"d", "e"} {
			c.disks[id] = map[string][]byte{keyIncarnation: []byte("9")}
			c.reboot(id)
			c.nodes[id].o.Voters = want
		}
		c.run(15e9)
		k := c.leader().register.known
		require.Empty(t, k.PriorVoters)
		if want == 0 {
			require.Len(t, k.Voters, 3)
			continue
		}
		require.Len(t, k.Voters, 5)
		epoch := k.Epoch
		c.disks["a"], c.disks["b"] = map[string][]byte{}, map[string][]byte{}
		c.reboot("a", "b", "c", "d", "e")
		require.True(t, c.until(9e9, func() bool { return c.owner() != "" }))
		require.Equal(t, epoch, c.leader().Epoch())
	}
}
