package controller

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/protocol"
)

// A core that has lost its majority tells operators which voters it waits for: in its status, its log and its metrics.
func TestCoreTellsWhomItWaitsFor(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), grownTimes, "a", "b", "c", "d", "e")
	c.run(2e9)
	status := func(id string) (string, bool) {
		answer := c.admin(id, Admin{Op: "status"})
		text, waits := answer().View["waits_for"].(string)
		return text, waits
	}
	_, waits := status("a")
	require.False(t, waits)
	c.parted["d"], c.parted["e"] = true, true
	c.run(2e9)
	_, waits = status("a")
	require.False(t, waits, "three of five go on")
	require.Zero(t, c.nodes["a"].tally.VotersMissing)
	c.parted["c"] = true
	c.out = nil
	c.run(3e9)
	text, waits := status("a")
	require.True(t, waits)
	require.Equal(t, "a majority of the voters [a b c d e] must answer: [c d e] do not, or have lost their disks", text)
	require.Equal(t, 3, c.nodes["a"].tally.VotersMissing)
	require.Equal(t, 2, linesWith(c.out, "the core cannot go on: "+text), "each of the two that are left, once")
	clear(c.parted)
	c.run(2e9)
	_, waits = status("a")
	require.False(t, waits)
	require.NotZero(t, linesWith(c.out, "the core waits for no voter any more"))
}

// linesWith counts the log lines that have a text.
func linesWith(out []any, text string) (n int) {
	for _, o := range out {
		line := ""
		switch v := o.(type) {
		case protocol.Oops:
			line = v.Text
		case protocol.Note:
			line = v.Text
		}
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// While two sets rule together, or one was accepted by some and not confirmed, that is said, and a voter that lost its disk
// counts as missing though its node answers.
func TestCoreTellsOfAJointSet(t *testing.T) {
	c := newTunedCluster(t, modelPlan(8, "llm|m"), grownTimes, "a", "b", "c")
	c.run(2e9)
	n := c.nodes["a"]
	joint := *n.reg.known
	joint.Prior, joint.Shape = joint.Voters, joint.Shape+1
	joint.Voters = []protocol.Voter{voter("a", 5), voter("b", 5), voter("f", 9)}
	n.reg.hint = &joint
	_, lacks := n.lacksVoters()
	require.False(t, lacks, "a and b are a majority of both")
	c.parted["b"] = true
	c.run(3e9)
	m, lacks := n.lacksVoters()
	require.True(t, lacks)
	require.Equal(t, "a majority of the voters [a b f] and one of those before them, [a b c], must answer: [b f] do not, or have lost their disks (this set was seen and is not confirmed)", m.String())
}
