package fleetplan

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A recently parsed plan is not parsed again, a faulty plan is never cached, and the cache stays bounded.
func TestMemo(t *testing.T) {
	reads := 0
	m := Memo{Read: func(raw []byte) (*Plan, Faults) {
		reads++
		if len(raw) == 0 {
			return nil, Faults{{Path: "$", Why: "empty"}}
		}
		return &Plan{Name: string(raw)}, nil
	}}
	for range 3 {
		p, f := m.Plan([]byte("a"))
		require.Nil(t, f)
		require.Equal(t, "a", p.Name)
	}
	require.Equal(t, 1, reads)
	for range 2 {
		p, f := m.Plan(nil)
		require.Nil(t, p)
		require.Len(t, f, 1)
	}
	require.Equal(t, 3, reads)
	for i := range 2 * memoSize {
		_, _ = m.Plan([]byte(fmt.Sprint(i)))
	}
	require.Len(t, m.recent.entries, memoSize)
	_, _ = m.Plan([]byte("a"))
	require.Equal(t, 3+2*memoSize+1, reads)
}

// Large results do not fill the memory: fewer of them are retained, and the newest always is.
func TestRecentResultsAreLimitedInSize(t *testing.T) {
	var r recent[int]
	retained := func() (all []int) {
		for _, e := range r.entries {
			all = append(all, e.result)
		}
		return all
	}
	r.add(1, memoBytes/2)
	r.add(2, memoBytes/2)
	require.Equal(t, []int{1, 2}, retained())
	r.add(3, 1)
	require.Equal(t, []int{2, 3}, retained())
	r.add(4, 2*memoBytes)
	require.Equal(t, []int{4}, retained())
	r.add(5, 1)
	require.Equal(t, []int{5}, retained())
}
