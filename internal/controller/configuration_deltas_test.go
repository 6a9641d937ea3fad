package controller

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

// sentConfigurations returns the configurations that a router is sent from now on, and the bases of those that were differences.
func sentConfigurations(c *cluster, router string) (sent *[]protocol.Update) {
	sent = &[]protocol.Update{}
	c.dropsMessage = func(e protocol.Envelope) bool {
		if u, ok := e.Body.(protocol.Updates); ok && e.To.Addr == router {
			for _, item := range u.Items {
				if item.Desired != nil {
					*sent = append(*sent, item)
				}
			}
		}
		return false
	}
	return sent
}

// Guards against a change of the configuration that takes the leader's link for as long as the whole configuration takes,
// whatever it changes: a router that has an earlier one is sent the difference, and the whole if it does not acknowledge.
func TestConfigurationIsSentAsADifferenceAndWholeWhenItComesLate(t *testing.T) {
	c := newCluster(t, modelPlan(8, "llm|m"), "a", "b", "c")
	c.serve("s1", "llm|m")
	r := c.route("r1")
	r.attachAgent()
	c.until(5e9, func() bool { return r.c.at < r.until })
	change := func(raw string) {
		c.plans[raw] = modelPlan(8, "llm|m")
		got := c.admin(c.owner(), Admin{Op: "put", Raw: []byte(raw), Expect: c.leader().Epoch(), Change: raw})
		require.True(t, c.until(3e9, func() bool { return got() != nil }))
	}
	sent := sentConfigurations(c, "r1")
	change("2")
	c.run(clock.Span(1e9))
	require.NotEmpty(t, *sent)
	for _, item := range *sent {
		require.NotNil(t, item.Base)
		require.Equal(t, "1", string(item.Base.Plan))
		require.Equal(t, "2", string(item.Desired.Plan))
	}
	r.withholdAcks = true
	*sent = nil
	change("3")
	c.run(1500e6)
	require.Greater(t, len(*sent), 1)
	require.NotNil(t, (*sent)[0].Base)
	for _, item := range (*sent)[1:] {
		require.Nil(t, item.Base, "sent again: whole")
	}
}

// Guards against a router that is stuck without a lease: a configuration that did not arrive is sent again, however many
// other changes are sent meanwhile.
func TestConfigurationIsSentAgainBesideOtherChanges(t *testing.T) {
	n, s := newReadyOwner(t)
	n.items(s)
	n.putPlan(1)
	first := n.items(s)
	require.NotNil(t, first[0].Desired)
	l := n.links[s]
	limit := 2 * l.unacked[0].resendDelay()
	for began := n.at; ; {
		require.LessOrEqual(t, n.at.Sub(began), limit)
		n.advance(50e6)
		n.queueItem(l, protocol.Update{Break: "m"})
		if slices.ContainsFunc(n.items(s), func(i protocol.Update) bool { return i.Num == first[0].Num }) {
			return
		}
	}
}
