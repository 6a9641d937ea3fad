package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// syncBound is the time within which a node in touch knows every departure and the newest list: two majority reads, a
// transfer, and the settle time of the list.
const syncBound = clock.Span(2500e6)

// syncMessages counts the transfers between the nodes of a cluster from now on.
func (c *cluster) syncMessages() *int {
	count := 0
	c.dropsMessage = func(e protocol.Envelope) bool {
		switch b := e.Body.(type) {
		case protocol.RegistryQuery:
			if b.DeparturesOnly {
				count++
			}
		case protocol.ServerList:
			count++
		}
		return false
	}
	return &count
}

// departAt has servers leave at a node, each in another way, and requires an acknowledgement.
func (c *cluster) departAt(node string) {
	for _, b := range []protocol.Announcement{newAnnouncement("s", "gone", 0), newAnnouncement("t", "leaving", 1000)} {
		c.models["at-"+string(b.ID)].unannounced = true
		c.announce(node, b)
		ok, answered := c.answer(c.token)
		require.True(c.t, ok && answered, "the departure is acknowledged")
	}
}

// Guards against a node that never hears of a departure that a majority acknowledged without it, and keeps an old list.
func TestMissedDepartureIsLearned(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		c := newTunedCluster(t, modelPlan(8, "llm|m"), hostedTimes, "a", "b", "c")
		for _, id := range []string{"s", "t", "stays"} {
			c.serve(id, "llm|m")
		}
		c.run(5e9)
		missing := c.follower()
		c.partition(missing)
		c.run(1e9)
		c.departAt(c.owner())
		c.run(1e9)
		if restarted {
			c.restart(missing)
		} else {
			delete(c.partitioned, missing)
		}
		require.True(t, c.until(syncBound, func() bool {
			n := c.nodes[missing]
			s, left := n.enrolledServers["s"], n.enrolledServers["t"]
			return s != nil && s.State == "gone" && left != nil && left.State == "leaving" && string(marshal(n.list)) == string(marshal(c.leader().list))
		}), "restarted %v", restarted)
		require.Contains(t, string(c.disks[missing][keyDepartures]), `"s"`)
	}
}

// Nothing is transferred while nothing differs, also when departures are forgotten at slightly different times.
func TestNoTransferWhileNothingDiffers(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), hostedTimes, "a", "b", "c")
	for _, id := range []string{"s", "t", "stays"} {
		c.serve(id, "llm|m")
	}
	c.run(5e9)
	c.departAt(c.owner())
	c.models["at-t"].unresponsive = true
	c.run(5e9)
	count := c.syncMessages()
	c.run(20e9)
	require.Zero(t, *count, "while the departures are on record")
	c.run(60e9)
	require.Less(t, *count, 12, "while they are forgotten")
	for id, n := range c.nodes {
		require.Nil(t, n.enrolledServers["s"], id)
		require.Nil(t, n.enrolledServers["t"], id)
	}
	*count = 0
	c.run(20e9)
	require.Zero(t, *count, "after they are forgotten")
}

// Guards against a live server that is taken for gone, because a node learns late that an earlier server at its address left.
func TestMissedDepartureAtAReusedAddress(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), hostedTimes, "a", "b", "c")
	fresh := c.serve("fresh", "llm|m")
	c.run(3e9)
	old := newAnnouncement("old", "leaving", 9)
	old.Addr = fresh.Addr
	for id, n := range c.nodes {
		c.step(id, from("x", protocol.RegistryReply{AskerIncarnation: n.o.Inc, DeparturesOnly: true, Announcements: []protocol.Announcement{old}}))
		require.Equal(t, "live", n.enrolledServers["fresh"].State)
		require.Equal(t, "gone", n.enrolledServers["old"].State)
	}
}

// A departure that is about to be forgotten is not learned, and an answer to an earlier incarnation counts for nothing.
func TestOldDeparturesAreNotLearned(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), hostedTimes, "a", "b", "c")
	n := c.nodes["a"]
	old := newAnnouncement("old", "gone", 9)
	for _, x := range []struct {
		silence clock.Span
		asker   ident.Incarnation
		learned bool
	}{{goneEnrolmentRetention - adoptionMargin, n.o.Inc, false}, {0, n.o.Inc - 1, false}, {goneEnrolmentRetention - adoptionMargin - 1, n.o.Inc, true}} {
		c.step("a", from("x", protocol.RegistryReply{AskerIncarnation: x.asker, DeparturesOnly: true, Announcements: []protocol.Announcement{old}, SilentFor: map[ident.Server]clock.Span{"old": x.silence}}))
		require.Equal(t, x.learned, n.enrolledServers["old"] != nil, "%+v", x)
	}
}
