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

// newReport returns a report with the given worth.
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

// The confidence interval of a mean difference follows Student's t distribution.
func TestIntervals(t *testing.T) {
	for _, c := range []struct {
		name        string
		differences []float64
		worth, half float64
		worse       bool
	}{
		{"one pair has no interval", []float64{-0.3}, -0.3, 0, false},
		{"the same each time", []float64{0.1, 0.1, 0.1}, 0.1, 0, false},
		{"lower each time", []float64{-0.1, -0.1, -0.1}, -0.1, 0, true},
		{"three pairs", []float64{0.1, 0.2, 0.3}, 0.2, 0.2484, false},
		{"lower, within the interval", []float64{-0.3, 0.1, -0.1}, -0.1, 0.4968, false},
	} {
		table := Compare(Side{Name: "x"}, Side{Name: "y"}, testScales, newPairs(c.differences...))
		row := table.Rows[1]
		require.Equal(t, "worth less prices", row.Figure, c.name)
		require.InDelta(t, c.worth, row.Difference, 1e-9, c.name)
		require.InDelta(t, c.half, row.HalfWidth, 1e-4, c.name)
		require.InDelta(t, c.worth/0.5, table.Rows[0].Difference, 1e-9, "the score uses the scale of the day")
		require.Equal(t, c.worse, table.Worse(), c.name)
	}
}

// A rule broken by the second side makes it worse regardless of its figures.
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

// Pairs with a report of one side only are excluded.
func TestHalfPairs(t *testing.T) {
	pairs := newPairs(0.1, 0.3)
	pairs[1].Second = nil
	table := Compare(Side{Name: "x"}, Side{Name: "y"}, testScales, pairs)
	require.Equal(t, 1, table.Rows[0].Pairs)
}

// Valid reports are decoded, others are rejected.
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

// Scales are read from the site's file; days without one are left out.
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

// benchScript replaces the bench. It writes a report with the worth given in the sources.
const benchScript = `#!/bin/sh
while [ $# -gt 0 ]; do
  case $1 in --report) file=$2; shift ;; esac
  shift
done
echo played >> "$(dirname "$file")/count"
echo "{\"G\":$(cat worth),\"parts\":[[\"whole day\",1,$(cat worth)]]}" > "$file"
mkdir -p journal; echo entry > "journal/$(basename "$file")-$(cat worth).json"
`

// Each day runs once on each side, with the edits applied on the second. A second run reuses the reports.
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
		runner := Runner{Bench: bench, Repository: repository, Folder: filepath.Join(folder, "runs"), Journal: journal, Jobs: 2, Progress: &bytes.Buffer{}}
		pairs, err := runner.Run(ctx, first, second, days)
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
	runner := Runner{Bench: bench, Repository: repository, Folder: filepath.Join(folder, "runs"), Jobs: 1, Progress: &bytes.Buffer{}}
	_, err = runner.Run(ctx, first, wrong, days[:1])
	require.ErrorContains(t, err, "must occur once")
}

// Results are written as JSON and as a plot.
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
