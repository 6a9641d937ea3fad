package replay

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/router"
)

func record(t *testing.T, n int, text bool) []byte {
	t.Helper()
	p := filepath.Join(t.TempDir(), "day")
	r, err := router.OpenRecorder(p, "router-1", text)
	require.NoError(t, err)
	for i := range n {
		r.Add("/r", fleetplan.Request{ID: fmt.Sprint(i), Model: "m", Kind: "k", Prompt: "a secret", Parts: []string{"shared"}, MaxTokens: 3, Repeatable: i%2 == 0})
	}
	r.Close()
	_, err = router.OpenRecorder(p, "router-1", text)
	require.Error(t, err, "an existing recording must not be overwritten")
	b, err := os.ReadFile(p)
	require.NoError(t, err)
	return b
}

// Reading a recording reports all damage; nothing is skipped silently.
func TestRead(t *testing.T) {
	whole := record(t, 5, false)
	lines := strings.SplitAfter(strings.TrimSuffix(string(whole), "\n"), "\n")
	require.Len(t, lines, 7)
	join := func(l ...string) string { return strings.Join(l, "") }
	for _, c := range []struct {
		name   string
		raw    string
		intact int
		bad    []int // lines
	}{
		{"intact", string(whole), 5, nil},
		{"empty", "", 0, []int{1}},
		{"truncated in a line", string(whole[:len(lines[0])+len(lines[1])+9]), 1, []int{3}},
		{"truncated between lines", join(lines[:4]...), 3, []int{5}},
		{"a flipped bit", strings.Replace(string(whole), `"id":"2"`, `"id":"3"`, 1), 4, []int{4, 7}},
		{"a missing line", join(append(append([]string{}, lines[:3]...), lines[4:]...)...), 4, []int{6}},
		{"a repeated line", join(lines[0], lines[1], lines[1], lines[2], lines[3], lines[4], lines[5], lines[6]), 6, []int{8}},
		{"more after the end", string(whole) + lines[1], 5, []int{8}},
		{"no header", join(lines[1:]...), 4, []int{1, 6}},
	} {
		d := Read(strings.NewReader(c.raw))
		var bad []int
		for _, p := range d.Faults {
			bad = append(bad, p.Line)
			require.NotEmpty(t, p.Why)
		}
		require.Equal(t, c.bad, bad, "%s: %v", c.name, d.Faults)
		require.Len(t, d.Requests, c.intact, c.name)
	}
	require.Equal(t, int64(len(lines[0])), Read(strings.NewReader(lines[0] + "garbage\n" + join(lines[1:]...))).Faults[0].Byte)
}

// Prompt text is recorded only if the settings enable it; otherwise the replay generates text of the same length.
func TestText(t *testing.T) {
	without, with := record(t, 1, false), record(t, 1, true)
	require.NotContains(t, string(without), "secret")
	require.Contains(t, string(with), "secret")
	a := MakeRequest(Read(bytes.NewReader(without)).Requests[0], "t-")
	b := MakeRequest(Read(bytes.NewReader(with)).Requests[0], "t-")
	require.Len(t, a.Call.Prompt, len("a secret"))
	require.Len(t, a.Call.Parts[0], len("shared"))
	require.Equal(t, "a secret", b.Call.Prompt)
	require.Equal(t, "t-0", b.Call.ID)
	require.True(t, b.Call.Repeatable)
}

func TestCompare(t *testing.T) {
	a := &Run{Results: []Result{{ID: "1", Events: 3, FirstMs: 5}, {ID: "2", Kind: "full"}, {ID: "3", Events: 2, FirstMs: 9}}}
	b := &Run{Results: []Result{{ID: "1", Events: 3, FirstMs: 6}, {ID: "2", Events: 1, FirstMs: 2}, {ID: "3", Kind: "cut", Events: 1}, {ID: "4", Events: 1}}}
	var w bytes.Buffer
	Compare(&w, a, b)
	require.Contains(t, w.String(), "2 requests had a different outcome, 1 are only in the second run")
	require.Contains(t, w.String(), `differs: 3: "" with 2 events, then "cut" with 1`)
}
