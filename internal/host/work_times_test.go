package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

func TestWorkTimesAreReportedByKindTheLongestFirst(t *testing.T) {
	times := newWorkTimes()
	at := clock.Instant(1e9)
	require.Nil(t, times.report(at))
	times.add("Beat", 30*time.Millisecond)
	times.add("Renew", 20*time.Millisecond)
	times.add("Renew", 20*time.Millisecond)
	require.Nil(t, times.report(at.Add(workReportInterval-1)), "a report is not due yet")
	require.Equal(t, []protocol.Field{{Name: "span_ms", Value: int64(2000)}, {Name: "Renew", Value: []int64{2, 40}}, {Name: "Beat", Value: []int64{1, 30}}},
		times.report(at.Add(workReportInterval)))
	require.Nil(t, times.report(at.Add(2*workReportInterval)), "there has been no work since")
}
