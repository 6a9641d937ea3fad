package invariant

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

func TestCheck(t *testing.T) {
	var violations []Violation
	Observe(func(v Violation) { violations = append(violations, v) })
	Check(true, RunsOnce, func() string {
		t.Error("the detail of a check that holds must not be computed")
		return ""
	})
	require.Empty(t, violations)
	Check(false, RunsOnce, func() string { return "request 7" })
	require.Equal(t, []Violation{{RunsOnce, "request 7"}}, violations)
	require.EqualValues(t, 1, Count(RunsOnce))
	require.Equal(t, "invariant violated: request_runs_once: request 7", violations[0].Error())
}

func TestCollectorShowsAll(t *testing.T) {
	r := prometheus.NewRegistry()
	r.MustRegister(Collector())
	families, err := r.Gather()
	require.NoError(t, err)
	require.Len(t, families, 1)
	require.Len(t, families[0].Metric, len(Names))
}
