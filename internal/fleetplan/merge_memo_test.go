package fleetplan

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A change already applied to a plan is not applied to it again, and a change that cannot be applied is retried each
// time.
func TestMergeMemo(t *testing.T) {
	applied := 0
	m := &MergeMemo{Merge: func(plan, change []byte) ([]byte, Faults) {
		applied++
		if string(change) == "bad" {
			return nil, Faults{{Path: "$", Why: "invalid"}}
		}
		return append(append([]byte{}, plan...), change...), nil
	}}
	for range 3 {
		result, faults := m.Apply([]byte("plan"), []byte("+a"))
		require.Nil(t, faults)
		require.Equal(t, "plan+a", string(result))
	}
	require.Equal(t, 1, applied)
	result, _ := m.Apply([]byte("other"), []byte("+a"))
	require.Equal(t, "other+a", string(result), "same change to another plan")
	result, _ = m.Apply([]byte("plan"), []byte("+b"))
	require.Equal(t, "plan+b", string(result), "another change to the same plan")
	for range 2 {
		_, faults := m.Apply([]byte("plan"), []byte("bad"))
		require.NotNil(t, faults)
	}
	require.Equal(t, 5, applied)
	for i := range memoSize {
		_, _ = m.Apply([]byte{byte(i)}, []byte("+c"))
	}
	require.Len(t, m.recent.entries, memoSize)
}
