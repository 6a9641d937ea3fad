// Package experiment compares two revisions of the sources, or one revision with and without edits. It runs the same days
// with the same seeds on both sides and evaluates the paired differences. It also sums why requests were late or lost.
package experiment

import (
	"fmt"
	"slices"
)

// Side is one of the two compared variants of the sources.
type Side struct {
	Name     string `json:"name"`
	Revision string `json:"revision"`
	Edits    []Edit `json:"edits,omitempty"` // applied to the sources of the revision
}

// Edit replaces one passage of a source file. It disables a mechanism without a setting for it in production.
type Edit struct {
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Day identifies one simulated day of a site with one seed.
type Day struct {
	Site string `json:"site"` // the site's file
	Name string `json:"day"`
	Seed uint64 `json:"seed"`
}

// String returns the name of a day for files and progress lines.
func (d Day) String() string { return fmt.Sprintf("%s-%s-%d", siteName(d.Site), d.Name, d.Seed) }

// Pair holds the reports of one day on both sides; nil if the day failed on a side.
type Pair struct {
	Day    Day     `json:"played"`
	First  *Report `json:"first"`
	Second *Report `json:"second"`
}

// Days returns the given days of a site with the given seeds. They are ordered by seed, so that an experiment that is
// interrupted has complete seeds.
func Days(site string, names []string, seeds []uint64) (all []Day) {
	for _, seed := range seeds {
		for _, name := range names {
			all = append(all, Day{Site: site, Name: name, Seed: seed})
		}
	}
	return all
}

// Table is the result of an experiment.
type Table struct {
	First      Side        `json:"first"`
	Second     Side        `json:"second"`
	Rows       []Row       `json:"rows"`
	Violations []Violation `json:"broken,omitempty"`
}

// Violation is a broken rule, or a fault, on one side of a pair.
type Violation struct {
	Day         Day    `json:"played"`
	Side        string `json:"side"`
	Description string `json:"what"`
}

// Compare returns the table of the pairs that have reports of both sides.
func Compare(first, second Side, scales Scales, pairs []Pair) Table {
	table := Table{First: first, Second: second}
	complete := slices.DeleteFunc(slices.Clone(pairs), func(pair Pair) bool { return pair.First == nil || pair.Second == nil })
	for _, figure := range listFigures(complete, scales) {
		if row, ok := figure.row(complete); ok {
			table.Rows = append(table.Rows, row)
		}
	}
	for _, pair := range complete {
		table.Violations = append(table.Violations, pair.First.violations(pair.Day, first.Name)...)
		table.Violations = append(table.Violations, pair.Second.violations(pair.Day, second.Name)...)
	}
	return table
}

// Worse reports whether the second side broke a rule, or its score over all days is lower by more than the confidence
// interval.
func (t Table) Worse() bool {
	for _, violation := range t.Violations {
		if violation.Side == t.Second.Name {
			return true
		}
	}
	for _, row := range t.Rows {
		if row.Figure == overallFigure && row.Pairs > 1 && row.Difference+row.HalfWidth < 0 {
			return true
		}
	}
	return false
}
