package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// from returns a message from a node.
func from(node string, body any) protocol.Envelope {
	return protocol.Envelope{From: protocol.Peer{ID: ident.Node(node), Addr: node}, Body: body}
}

// nonOwners returns the two nodes of three that are not the leader.
func (c *cluster) nonOwners() (l []string) {
	for _, id := range []string{"a", "b", "c"} {
		if id != c.owner() {
			l = append(l, id)
		}
	}
	return l
}

// A core node confirms a departure, loses its disk and becomes a voter again with an empty one. Its delayed confirmation
// doesn't say which disk has the record, so it must not count for the new disk.
func TestLeavingHeardByALostDisk(t *testing.T) {
	c := newTunedCluster(t, nil, hostedTimes, "a", "b", "c")
	c.plans["1"] = modelPlan(8, "llm|m")
	c.submit("a", Admin{Op: "put", Raw: []byte("1"), Number: 1, Change: "x"})
	owner, rest := c.owner(), c.nonOwners()
	c.announce(owner, newAnnouncement("s", "live", 1))
	c.run(1e9)
	c.restartEmpty(rest[0])
	require.True(t, c.until(catchUp, func() bool { return c.votersAre(owner, "a", "b", "c") && c.nodes[rest[0]].departuresComplete }))
	c.run(1e9)
	c.partition(rest...)
	token := c.token + 1
	c.announce(owner, newAnnouncement("s", "leaving", 2))
	c.step(owner, from(rest[0], protocol.AnnouncementsAck{AckID: c.nodes[owner].lastAckID}))
	ok, _ := c.answer(token)
	require.False(t, ok, "the departure is acknowledged, but only this node's disk has a record of it")
}

// A node with an emptied disk requests the registries of the others. An answer to a request of an earlier incarnation
// lacks the departures that were acknowledged since, so it must not count.
func TestRollOfAnEarlierQuestion(t *testing.T) {
	c := newTunedCluster(t, nil, hostedTimes, "a", "b", "c")
	c.plans["1"] = modelPlan(8, "llm|m")
	c.submit("a", Admin{Op: "put", Raw: []byte("1"), Number: 1, Change: "x"})
	wiped := c.nonOwners()[0]
	c.restartEmpty(wiped)
	require.True(t, c.until(catchUp, func() bool { return c.nodes[wiped].register.known != nil }))
	c.nodes[wiped].departuresComplete, c.nodes[wiped].recovered = false, map[ident.Node]ident.Incarnation{}
	for _, id := range []string{"a", "b", "c"} {
		if id != wiped {
			c.step(wiped, from(id, protocol.RegistryReply{Incarnation: 5}))
		}
	}
	require.False(t, c.nodes[wiped].departuresComplete)
}
