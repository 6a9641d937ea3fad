package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

func from(node string, body any) protocol.Env {
	return protocol.Env{From: protocol.Sibling{ID: ident.Node(node), Addr: node}, Body: body}
}

// rest names the two nodes of three that do not own the duty.
func (c *cluster) rest() (l []string) {
	for _, id := range []string{"a", "b", "c"} {
		if id != c.owner() {
			l = append(l, id)
		}
	}
	return l
}

// A core node that has heard of a leaving loses its disk and is taken in again, empty. Its answer from before comes
// only now: it does not say which disk knows of the leaving, so it must not count for the one that the seat has now.
func TestLeavingHeardByALostDisk(t *testing.T) {
	c := newTunedCluster(t, nil, hostedTimes, "a", "b", "c")
	c.plans["1"] = modelPlan(8, "llm|m")
	c.told("a", Admin{Op: "put", Raw: []byte("1"), Number: 1, Change: "x"})
	owner, rest := c.owner(), c.rest()
	c.announce(owner, beacon("s", "live", 1))
	c.run(1e9)
	c.wipe(rest[0])
	require.True(t, c.until(catchUp, func() bool { return c.settledSet(owner, "a", "b", "c") && c.nodes[rest[0]].rollWhole }))
	c.run(1e9)
	c.down(rest...)
	token := c.token + 1
	c.announce(owner, beacon("s", "leaving", 2))
	c.step(owner, from(rest[0], protocol.BeaconsHeard{Mark: c.nodes[owner].mark}))
	ok, _ := c.answer(token)
	require.False(t, ok, "the leaving is acknowledged, and only this node's disk knows of it")
}

// An emptied node asks the others what leavings they know of. What they answered to a question of a life before
// does not have what was acknowledged since, and must not count.
func TestRollOfAnEarlierQuestion(t *testing.T) {
	c := newTunedCluster(t, nil, hostedTimes, "a", "b", "c")
	c.plans["1"] = modelPlan(8, "llm|m")
	c.told("a", Admin{Op: "put", Raw: []byte("1"), Number: 1, Change: "x"})
	wiped := c.rest()[0]
	c.wipe(wiped)
	require.True(t, c.until(catchUp, func() bool { return c.nodes[wiped].reg.known != nil }))
	c.nodes[wiped].rollWhole, c.nodes[wiped].recovered = false, map[ident.Node]ident.Inc{}
	for _, id := range []string{"a", "b", "c"} {
		if id != wiped {
			c.step(wiped, from(id, protocol.Roll{Inc: 5}))
		}
	}
	require.False(t, c.nodes[wiped].rollWhole)
}
