package controller

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An answer reaches the call with its token, once; a call that was abandoned, and one that never was, get none.
func TestPendingCalls(t *testing.T) {
	var calls pendingCalls[string]
	first, firstReply := calls.begin()
	second, secondReply := calls.begin()
	third, thirdReply := calls.begin()
	require.NotEqual(t, first, second)
	calls.abandon(third)
	for _, token := range []uint64{second, second, third, 0, third + 1} {
		calls.answer(token, "answer")
	}
	require.Equal(t, "answer", <-secondReply)
	require.Empty(t, secondReply)
	require.Empty(t, firstReply)
	require.Empty(t, thirdReply)
	require.Len(t, calls.waiting, 1)
}
