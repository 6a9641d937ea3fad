// Package experiment compares two revisions of the sources, or two settings of one, by playing the same days with the
// same seeds on both and looking at the differences pair by pair.
package experiment

import (
	"fmt"
	"slices"
)

// Side is one of the two that are compared.
type Side struct {
	Name     string `json:"name"`
	Revision string `json:"revision"`
	Edits    []Edit `json:"edits,omitempty"` // made to the sources of the revision
}

// Edit replaces one passage of a source file, to switch a mechanism off without a switch in production.
type Edit struct {
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Day names one day of a site with one seed.
type Day struct {
	Site string `json:"site"` // the site's file
	Name string `json:"day"`
	Seed uint64 `json:"seed"`
}

// String names a day in files and progress lines.
func (d Day) String() string { return fmt.Sprintf("%s-%s-%d", siteName(d.Site), d.Name, d.Seed) }

// Pair is a day played on both sides.
type Pair struct {
	Day    Day     `json:"played"`
	First  *Report `json:"first"`
	Second *Report `json:"second"`
}

// Days are all given days of a site with all given seeds, seed by seed: an experiment that ends early has whole seeds.
func Days(site string, names []string, seeds []uint64) (all []Day) {
	for _, seed := range seeds {
		for _, name := range names {
			all = append(all, Day{Site: site, Name: name, Seed: seed})
		}
	}
	return all
}

// Table is what an experiment found.
type Table struct {
	First      Side        `json:"first"`
	Second     Side        `json:"second"`
	Rows       []Row       `json:"rows"`
	Violations []Violation `json:"broken,omitempty"`
}

// Rule is a rule that was broken, or a fault, on one side of a pair.
type Violation struct {
	Day         Day    `json:"played"`
	Side        string `json:"side"`
	Description string `json:"what"`
}

// Compare makes the table of the pairs that were played on both sides.
func Compare(first, second Side, marks Scales, pairs []Pair) Table {
	t := Table{First: first, Second: second}
	whole := slices.DeleteFunc(slices.Clone(pairs), func(p Pair) bool { return p.First == nil || p.Second == nil })
	for _, f := range listFigures(whole, marks) {
		if row, ok := f.row(whole); ok {
			t.Rows = append(t.Rows, row)
		}
	}
	for _, p := range whole {
		t.Violations = append(t.Violations, p.First.violations(p.Day, first.Name)...)
		t.Violations = append(t.Violations, p.Second.violations(p.Day, second.Name)...)
	}
	return t
}

// Worse tells whether the second side broke a rule, or its score over all days is lower beyond its interval.
func (t Table) Worse() bool {
	for _, b := range t.Violations {
		if b.Side == t.Second.Name {
			return true
		}
	}
	for _, r := range t.Rows {
		if r.Figure == overallFigure && r.Pairs > 1 && r.Difference+r.HalfWidth < 0 {
			return true
		}
	}
	return false
}
