package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

func TestWorkTimesAreReportedByKindTheLongestFirst(t *testing.T) {
	w := newWorkTimes()
	at := clock.Tick(1e9)
	require.Nil(t, w.report(at))
	w.add("Beat", 30*time.Millisecond)
	w.add("Renew", 20*time.Millisecond)
	w.add("Renew", 20*time.Millisecond)
	require.Nil(t, w.report(at.Add(workReportEvery-1)), "a report is not due yet")
	require.Equal(t, []protocol.Field{{Name: "span_ms", Value: int64(2000)}, {Name: "Renew", Value: []int64{2, 40}}, {Name: "Beat", Value: []int64{1, 30}}},
		w.report(at.Add(workReportEvery)))
	require.Nil(t, w.report(at.Add(2*workReportEvery)), "nothing was done since")
}
