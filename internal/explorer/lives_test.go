package explorer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// carryOut carries out a run of a scenario and gives the world after it.
func carryOut(t *testing.T, scenario, run string) *World {
	t.Helper()
	s, ok := Find(scenario)
	require.True(t, ok)
	actions, err := ParseRun(strings.NewReader(run))
	require.NoError(t, err)
	start, err := NewStart(s)
	require.NoError(t, err)
	w, err := start.Replay(actions, nil)
	require.NoError(t, err)
	return w
}

// A proposer whose disk stalled lost power after a voter had accepted its value, and starts again from before its own
// promise. Its next value must not go out under the same ballot: two voters would hold different values of one
// ballot, and either may be taken for the chosen one.
func TestBallotsOfTwoLives(t *testing.T) {
	w := carryOut(t, "stalled-proposer", `
		restart a
		put y a
		drop-to b
		deliver-to c
		deliver-to a
		deliver-to c     # accepts y
		deliver-to a
		settle`)
	require.Empty(t, w.Violation())
	w.Recover()
	require.Empty(t, w.Violation())
}

// A voter's promise to a proposer comes late, after the proposer has started again and asks under the same number
// of a question. Meanwhile another change was confirmed, which that promise does not know of: it must not count.
func TestAnswersToAnEarlierLife(t *testing.T) {
	w := carryOut(t, "late-answers", `
		restart a
		tick
		put y a`)
	require.EqualValues(t, 2, w.Epoch(), "z is confirmed")
	late := underWay[protocol.Promise](w, "a")
	require.NotZero(t, late)
	require.NoError(t, w.Apply(Action{Kind: Deliver, Message: late}))
	require.NoError(t, w.Apply(Action{Kind: Settle}))
	require.Empty(t, w.Violation())
}

// underWay gives the number of the newest message of a kind that is under way to a node; zero if there is none.
func underWay[T any](w *World, to ident.Node) (number int) {
	for _, m := range w.flight {
		if _, is := m.env.Body.(T); is && w.receiver(m).id == to {
			number = m.number
		}
	}
	return number
}
