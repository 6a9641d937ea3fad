package host

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

func TestWorkTimesAreReportedByKindTheLongestFirst(t *testing.T) {
	w := newWorkTimes()
	at := clock.Tick(1e9)
	require.Nil(t, w.report(at))
	w.add("Beat", at, at.Add(30e6))
	w.add("Renew", at, at.Add(20e6))
	w.add("Renew", at, at.Add(20e6))
	require.Nil(t, w.report(at.Add(workReportEvery-1)), "a report is not due yet")
	require.Equal(t, []protocol.Field{{Name: "span_ms", Value: int64(2000)}, {Name: "Renew", Value: []int64{2, 40}}, {Name: "Beat", Value: []int64{1, 30}}},
		w.report(at.Add(workReportEvery)))
	require.Nil(t, w.report(at.Add(2*workReportEvery)), "nothing was done since")
}
