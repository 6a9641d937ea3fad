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

// Every line is written at once as JSON, whole though many write, and the ring stays a ring.
func TestRingLines(t *testing.T) {
	var out, lines bytes.Buffer
	r := NewRingWith(RingOptions{Name: "me", Out: &out, Lines: &lines})
	r.Info("first \"line\"")
	var one struct {
		Who, Msg, Level string
		Time            time.Time
	}
	require.NoError(t, json.Unmarshal(lines.Bytes(), &one))
	require.Equal(t, "me", one.Who)
	require.Equal(t, "first \"line\"", one.Msg)
	require.Equal(t, "info", one.Level)
	require.WithinDuration(t, time.Now(), one.Time, time.Minute)
	require.Zero(t, out.Len())
	var all sync.WaitGroup
	for i := range 20 {
		all.Go(func() {
			for j := range 50 {
				r.Info(fmt.Sprint(i, "-", j))
			}
		})
	}
	all.Wait()
	r.Oops("it broke")
	require.Contains(t, out.String(), "it broke")
	l := strings.Split(strings.TrimSuffix(lines.String(), "\n"), "\n")
	require.Len(t, l, 1002)
	for _, s := range l {
		require.NoError(t, json.Unmarshal([]byte(s), &one), s)
	}
	require.Equal(t, "error", one.Level)
}
