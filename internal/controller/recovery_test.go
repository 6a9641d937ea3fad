package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// newLeaverCluster returns a cluster in which the node "missing" was down when the server s left, which the other two
// acknowledged. All three are up again, and the last list on the missing node's disk still names s. Transfers of
// departures and of lists between nodes in touch are lost, so that only what the disks say about themselves counts.
func newLeaverCluster(t *testing.T) (c *cluster, r *router, missing string) {
	c = newTunedCluster(t, modelPlan(8, "llm|m"), hostedTimes, "a", "b", "c")
	c.dropsMessage = func(e protocol.Envelope) bool {
		query, isQuery := e.Body.(protocol.RegistryQuery)
		_, isList := e.Body.(protocol.ServerList)
		return isQuery && query.DeparturesOnly || isList && missing != ""
	}
	s := c.serve("s", "llm|m")
	c.serve("stays", "llm|m")
	r = c.route("r")
	r.ask("llm|m")
	require.True(t, c.until(9e9, func() bool { return r.sends("llm|m", "s") }))
	c.run(2e9)
	missing = c.owner()
	c.partition(missing)
	require.True(t, c.until(catchUp, func() bool { return c.owner() != "" }))
	c.run(1e9)
	s.unannounced = true
	c.announce(c.owner(), newAnnouncement("s", "gone", 0))
	ok, answered := c.answer(c.token)
	require.True(t, ok && answered, "the departure is acknowledged")
	c.run(1e9)
	c.restart(missing)
	c.run(catchUp)
	return c, r, missing
}

// Guards against an acknowledged departure that is forgotten: a node loses its disk, is killed again before it has
// recovered, and then counts as if it knew every departure.
func TestDepartureAfterAnEmptiedNodeIsKilledAgain(t *testing.T) {
	for killedAfter := clock.Span(0); killedAfter <= 600e6; killedAfter += 40e6 {
		c, r, missing := newLeaverCluster(t)
		wiped := ""
		for _, id := range []string{"a", "b", "c"} {
			if id != missing {
				wiped = id
			}
		}
		c.partition(wiped)
		c.run(500e6)
		c.restartEmpty(wiped)
		c.run(killedAfter)
		c.partition(wiped)
		c.run(500e6)
		c.restart(wiped)
		c.run(catchUp)
		for _, id := range []string{"a", "b", "c"} {
			if id != missing && id != wiped {
				c.partition(id)
			}
		}
		require.True(t, c.until(2*catchUp, func() bool { return r.sends("llm|m", "stays") }), "killed again after %v: requests are served again", killedAfter)
		for range 400 {
			c.tick()
			require.False(t, r.sends("llm|m", "s"), "killed again after %v", killedAfter)
		}
	}
}

// Guards against a router without a lease that sends to a departed server: a node that lost its disk vouched for the
// configuration without the departures that it had acknowledged.
func TestEmptiedNodeDoesNotVouch(t *testing.T) {
	c, _, missing := newLeaverCluster(t)
	wiped := ""
	for _, id := range []string{"a", "b", "c"} {
		if id != missing && id != c.owner() {
			wiped = id
		}
	}
	vouched := func() (answer protocol.NotOwner) {
		session := protocol.Session{Node: "late", AgentIncarnation: 1, RouterIncarnation: 1, Num: 1}
		renewal := protocol.Envelope{From: protocol.Peer{ID: "late", Addr: "late"}, To: protocol.Peer{ID: ident.Node(wiped), Addr: wiped}, Body: protocol.Renew{Session: session, Seq: 1}}
		for _, o := range c.nodes[wiped].Step(c.at, renewal) {
			if e, is := o.(protocol.Envelope); is {
				answer, _ = e.Body.(protocol.NotOwner)
			}
		}
		return answer
	}
	require.Contains(t, vouched().Leaving, ident.Server("s"))
	c.restartEmpty(wiped)
	confirmed := false
	for range 300 {
		if answer := vouched(); answer.ConfigLease > 0 {
			confirmed = true
			require.Contains(t, answer.Leaving, ident.Server("s"))
		}
		c.tick()
	}
	require.True(t, confirmed, "it vouches again once it has recovered")
}
