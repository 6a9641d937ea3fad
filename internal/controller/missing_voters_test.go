package controller

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/protocol"
)

// A core without a majority reports the missing voters in its status, its log and its metrics.
func TestCoreTellsWhomItWaitsFor(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c", "d", "e")
	c.run(2e9)
	status := func(id string) (string, bool) {
		answer := c.admin(id, Admin{Op: "status"})
		text, waits := answer().View["waits_for"].(string)
		return text, waits
	}
	_, waits := status("a")
	require.False(t, waits)
	c.partitioned["d"], c.partitioned["e"] = true, true
	c.run(2e9)
	_, waits = status("a")
	require.False(t, waits, "three of five are a majority")
	require.Zero(t, c.nodes["a"].tally.VotersMissing)
	c.partitioned["c"] = true
	c.outputs = nil
	c.run(3e9)
	text, waits := status("a")
	require.True(t, waits)
	require.Equal(t, "a majority of the voters [a b c d e] must answer: [c d e] do not answer or have lost their disks", text)
	require.Equal(t, 3, c.nodes["a"].tally.VotersMissing)
	require.Equal(t, 2, linesWith(c.outputs, "the core cannot go on: "+text), "each of the two remaining nodes logs it once")
	clear(c.partitioned)
	c.run(2e9)
	_, waits = status("a")
	require.False(t, waits)
	require.NotZero(t, linesWith(c.outputs, "a majority of the voters answers again"))
}

// linesWith counts the log lines that contain a text.
func linesWith(out []any, text string) (n int) {
	for _, o := range out {
		line := ""
		switch v := o.(type) {
		case protocol.ErrorReport:
			line = v.Text
		case protocol.LogLine:
			line = v.Text
		}
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// The report names both sets while two sets are in force, and says if the newest one is not confirmed. A voter that has
// lost its disk counts as missing although its node answers.
func TestCoreTellsOfAJointSet(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), largeFleetTimes, "a", "b", "c")
	c.run(2e9)
	n := c.nodes["a"]
	joint := *n.register.known
	joint.PriorVoters, joint.VoterSet = joint.Voters, joint.VoterSet+1
	joint.Voters = []protocol.Voter{voter("a", 5), voter("b", 5), voter("f", 9)}
	n.register.hint = &joint
	_, lacks := n.missingMajority()
	require.False(t, lacks, "a and b are a majority of both")
	c.partitioned["b"] = true
	c.run(3e9)
	m, lacks := n.missingMajority()
	require.True(t, lacks)
	require.Equal(t, "a majority of the voters [a b f] and a majority of the previous voters [a b c] must answer: [b f] do not answer or have lost their disks (this set is not confirmed)", m.String())
}
