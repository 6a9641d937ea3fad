package invariant

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

func TestCheck(t *testing.T) {
	var seen []Violation
	Observe(func(v Violation) { seen = append(seen, v) })
	Check(true, RunsOnce, func() string {
		t.Error("the detail of a check that holds is not wanted")
		return ""
	})
	require.Empty(t, seen)
	Check(false, RunsOnce, func() string { return "request 7" })
	require.Equal(t, []Violation{{RunsOnce, "request 7"}}, seen)
	require.EqualValues(t, 1, Count(RunsOnce))
	require.Equal(t, "invariant violated: request_runs_once: request 7", seen[0].Error())
}

func TestCollectorShowsAll(t *testing.T) {
	r := prometheus.NewRegistry()
	r.MustRegister(Collector())
	families, err := r.Gather()
	require.NoError(t, err)
	require.Len(t, families, 1)
	require.Len(t, families[0].Metric, len(Names))
}
