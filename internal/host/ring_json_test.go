package host

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Every line is written immediately as one line of JSON, without interleaving of concurrent writers, and the ring
// buffer still works.
func TestRingLines(t *testing.T) {
	var out, lines bytes.Buffer
	ring := NewLogWith(LogOptions{Name: "me", DumpTo: &out, JSONLines: &lines})
	ring.Info("first \"line\"")
	var line struct {
		Who, Msg, Level string
		Time            time.Time
	}
	require.NoError(t, json.Unmarshal(lines.Bytes(), &line))
	require.Equal(t, "me", line.Who)
	require.Equal(t, "first \"line\"", line.Msg)
	require.Equal(t, "info", line.Level)
	require.WithinDuration(t, time.Now(), line.Time, time.Minute)
	require.Zero(t, out.Len())
	var writers sync.WaitGroup
	for i := range 20 {
		writers.Go(func() {
			for j := range 50 {
				ring.Info(fmt.Sprint(i, "-", j))
			}
		})
	}
	writers.Wait()
	ring.ErrorWithDump("it broke")
	require.Contains(t, out.String(), "it broke")
	written := strings.Split(strings.TrimSuffix(lines.String(), "\n"), "\n")
	require.Len(t, written, 1002)
	for _, text := range written {
		require.NoError(t, json.Unmarshal([]byte(text), &line), text)
	}
	require.Equal(t, "error", line.Level)
}
