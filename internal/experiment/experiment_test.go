package experiment

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// reportOf is a report with some worth.
func newReport(worth float64) *Report {
	return &Report{Worth: worth, Served: 0.9, Parts: []Part{{"whole day", 0.4, worth}}, Classes: []Group{{Name: "a", Worth: &worth}}}
}

func newPairs(differences ...float64) (pairs []Pair) {
	for i, d := range differences {
		pairs = append(pairs, Pair{Day: Day{Site: "s.toml", Name: "quiet", Seed: uint64(i)}, First: newReport(0.5), Second: newReport(0.5 + d)})
	}
	return pairs
}

var testScales = Scales{"quiet": {Zero: 0.2, One: 0.7}}

// The interval of a mean of differences is Student's.
func TestIntervals(t *testing.T) {
	for _, c := range []struct {
		name        string
		differences []float64
		worth, half float64
		worse       bool
	}{
		{"one pair tells nothing", []float64{-0.3}, -0.3, 0, false},
		{"the same each time", []float64{0.1, 0.1, 0.1}, 0.1, 0, false},
		{"lower each time", []float64{-0.1, -0.1, -0.1}, -0.1, 0, true},
		{"three pairs", []float64{0.1, 0.2, 0.3}, 0.2, 0.2484, false},
		{"lower, not beyond its interval", []float64{-0.3, 0.1, -0.1}, -0.1, 0.4968, false},
	} {
		table := Compare(Side{Name: "x"}, Side{Name: "y"}, testScales, newPairs(c.differences...))
		row := table.Rows[1]
		require.Equal(t, "worth less prices", row.Figure, c.name)
		require.InDelta(t, c.worth, row.Difference, 1e-9, c.name)
		require.InDelta(t, c.half, row.HalfWidth, 1e-4, c.name)
		require.InDelta(t, c.worth/0.5, table.Rows[0].Difference, 1e-9, "the score is by the day's marks")
		require.Equal(t, c.worse, table.Worse(), c.name)
	}
}

// A rule that the second side broke makes it worse, whatever its figures.
func TestBrokenRules(t *testing.T) {
	pairs := newPairs(0.1, 0.1)
	pairs[1].First.Breaks = map[string]int{"DRAIN": 1}
	require.False(t, Compare(Side{Name: "x"}, Side{Name: "y"}, testScales, pairs).Worse())
	pairs[1].Second.Breaks = map[string]int{"DRAIN": 1}
	table := Compare(Side{Name: "x"}, Side{Name: "y"}, testScales, pairs)
	require.True(t, table.Worse())
	var text bytes.Buffer
	require.NoError(t, table.WriteText(&text))
	require.Contains(t, text.String(), "BROKEN y on s-quiet-1: DRAIN")
}

// Pairs that were played on one side only do not count.
func TestHalfPairs(t *testing.T) {
	pairs := newPairs(0.1, 0.3)
	pairs[1].Second = nil
	table := Compare(Side{Name: "x"}, Side{Name: "y"}, testScales, pairs)
	require.Equal(t, 1, table.Rows[0].Pairs)
}

// A report reads back as it was written, and what is none is an error.
func TestReports(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	for _, c := range []struct {
		raw string
		ok  bool
	}{
		{`{"G":0.5,"parts":[["whole day",0.4,0.9]],"prices":[["orders",3,0.01]],"classes":[{"name":"a","n":3,"worth":null}],"more":1}`, true},
		{`{"G":0.5,"parts":[["whole day",0.4]]}`, false},
		{`{"G":0.5,"parts":[["whole day","x",0.9]]}`, false},
		{`{"G":0.5}`, false},
		{`{`, false},
	} {
		require.NoError(t, os.WriteFile(path, []byte(c.raw), 0o600))
		r, err := ReadReport(path)
		require.Equal(t, c.ok, err == nil, c.raw)
		if c.ok {
			require.Equal(t, Part{"whole day", 0.4, 0.9}, r.Parts[0])
			require.Equal(t, Price{"orders", 3, 0.01}, r.Prices[0])
		}
	}
}

// Marks come from the site's file; a day without any has none.
func TestMarks(t *testing.T) {
	folder := t.TempDir()
	site := filepath.Join(folder, "s.toml")
	require.NoError(t, os.WriteFile(site, []byte("[[day]]\nname = \"a\"\none = 0.7\nzero = 0.2\n[[day]]\nname = \"b\"\n"), 0o600))
	m, err := ReadScales(site)
	require.NoError(t, err)
	require.InDelta(t, 0.5, m["a"].Score(0.45), 1e-9)
	require.Equal(t, []string{"a"}, m.Names())
	require.False(t, m.HasAll([]string{"b"}))
}

// benchScript stands in for the bench: it writes a report whose worth is what the sources say.
const benchScript = `#!/bin/sh
while [ $# -gt 0 ]; do
  case $1 in --report) file=$2; shift ;; esac
  shift
done
echo played >> "$(dirname "$file")/count"
echo "{\"G\":$(cat worth),\"parts\":[[\"whole day\",1,$(cat worth)]]}" > "$file"
mkdir -p journal; echo entry > "journal/$(basename "$file")-$(cat worth).json"
`

// Days are played once on each side, with the edits of the second; what was played is not played again.
func TestPlay(t *testing.T) {
	folder := t.TempDir()
	repository, journal, bench := filepath.Join(folder, "repository"), filepath.Join(folder, "journal"), filepath.Join(folder, "bench")
	require.NoError(t, os.Mkdir(journal, 0o700))
	require.NoError(t, os.WriteFile(bench, []byte(benchScript), 0o700))
	ctx := context.Background()
	git := func(arguments ...string) {
		_, err := run(ctx, repository, "git", append([]string{"-c", "user.name=t", "-c", "user.email=t@example.org"}, arguments...)...)
		require.NoError(t, err)
	}
	require.NoError(t, os.Mkdir(repository, 0o700))
	git("init", "-q")
	require.NoError(t, os.WriteFile(filepath.Join(repository, "worth"), []byte("0.5"), 0o600))
	git("add", "worth")
	git("commit", "-q", "-m", "x")
	head, err := run(ctx, repository, "git", "rev-parse", "HEAD")
	require.NoError(t, err)
	revision := strings.TrimSpace(head)

	first := Side{Name: "first", Revision: revision}
	second := Side{Name: "second", Revision: revision, Edits: []Edit{{"worth", "0.5", "0.6"}}}
	days := Days("s.toml", []string{"quiet", "busy"}, []uint64{1, 2})
	for range 2 {
		player := Runner{Bench: bench, Repository: repository, Folder: filepath.Join(folder, "runs"), Journal: journal, Jobs: 2, Progress: &bytes.Buffer{}}
		pairs, err := player.Run(ctx, first, second, days)
		require.NoError(t, err)
		require.Len(t, pairs, 4)
		for i, p := range pairs {
			require.Equal(t, days[i], p.Day)
			require.InDelta(t, 0.1, p.Second.Worth-p.First.Worth, 1e-9)
		}
		played, err := os.ReadFile(filepath.Join(folder, "runs", "reports", "first", "count"))
		require.NoError(t, err)
		require.Equal(t, 4, strings.Count(string(played), "played"))
	}
	entries, err := filepath.Glob(filepath.Join(journal, "*.json"))
	require.NoError(t, err)
	require.Len(t, entries, 8)

	wrong := Side{Name: "wrong", Revision: revision, Edits: []Edit{{"worth", "0.7", "0.6"}}}
	player := Runner{Bench: bench, Repository: repository, Folder: filepath.Join(folder, "runs"), Jobs: 1, Progress: &bytes.Buffer{}}
	_, err = player.Run(ctx, first, wrong, days[:1])
	require.ErrorContains(t, err, "wants once")
}

// Results are written for people, machines and as a picture.
func TestWrite(t *testing.T) {
	folder := t.TempDir()
	pairs := newPairs(0.1, 0.2)
	table := Compare(Side{Name: "x"}, Side{Name: "y"}, testScales, pairs)
	require.NoError(t, table.WriteJSON(filepath.Join(folder, "t.json"), pairs))
	require.NoError(t, table.WritePlot(filepath.Join(folder, "t.png"), pairs))
	for _, name := range []string{"t.json", "t.png"} {
		info, err := os.Stat(filepath.Join(folder, name))
		require.NoError(t, err, name)
		require.NotZero(t, info.Size(), fmt.Sprint(name))
	}
}
