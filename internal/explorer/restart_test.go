package explorer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// replayScenario executes a run of a scenario and returns the cluster after it.
func replayScenario(t *testing.T, scenario, run string) *Cluster {
	t.Helper()
	s, ok := FindScenario(scenario)
	require.True(t, ok)
	actions, err := ParseRun(strings.NewReader(run))
	require.NoError(t, err)
	start, err := NewInitialState(s)
	require.NoError(t, err)
	c, err := start.Replay(actions, nil)
	require.NoError(t, err)
	return c
}

// TestBallotsAcrossRestarts checks that a proposer does not use one ballot for two values. The proposer loses power while
// its disk stalls, after one voter has accepted its value, and restarts from a disk without its own promise. If it
// proposed another value under the same ballot, two voters would hold different values for that ballot, and either value
// could be taken for the chosen one.
func TestBallotsAcrossRestarts(t *testing.T) {
	c := replayScenario(t, "stalled-proposer", `
		restart a
		put y a
		drop-to b
		deliver-to c
		deliver-to a
		deliver-to c     # accepts y
		deliver-to a
		settle`)
	require.Empty(t, c.Violation())
	c.Recover()
	require.Empty(t, c.Violation())
}

// TestAnswersToPreviousIncarnation checks that a proposer does not count a promise that was sent to its previous
// incarnation. The promise arrives after the proposer has restarted and uses the same round number again, and it does not
// contain a change that was confirmed in the meantime.
func TestAnswersToPreviousIncarnation(t *testing.T) {
	c := replayScenario(t, "late-answers", `
		restart a
		tick
		put y a`)
	require.EqualValues(t, 2, c.ConfirmedEpoch(), "z is confirmed")
	late := latestInFlight[protocol.Promise](c, "a")
	require.NotZero(t, late)
	require.NoError(t, c.Apply(Action{Kind: Deliver, Message: late}))
	require.NoError(t, c.Apply(Action{Kind: Settle}))
	require.Empty(t, c.Violation())
}

// latestInFlight returns the number of the newest message of a type in flight to a node, or zero if there is none.
func latestInFlight[T any](c *Cluster, to ident.Node) (number int) {
	for _, m := range c.inFlight {
		if _, is := m.env.Body.(T); is && c.receiver(m).id == to {
			number = m.number
		}
	}
	return number
}
