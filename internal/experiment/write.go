package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// WriteText writes the table for people. A difference that is larger than its interval has a mark.
func (t Table) WriteText(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "figure\tpairs\t%s\t%s\tdifference\t+-\t\tpairs for %.2f\n", t.First.Name, t.Second.Name, targetHalfWidth)
	for _, r := range t.Rows {
		mark := ""
		if r.Pairs > 1 && (r.Difference > r.HalfWidth || -r.Difference > r.HalfWidth) {
			mark = "*"
		}
		fmt.Fprintf(tab, "%s\t%d\t%.4f\t%.4f\t%+.4f\t%.4f\t%s\t%d\n", r.Figure, r.Pairs, r.First, r.Second, r.Difference, r.HalfWidth, mark, r.PairsNeeded)
	}
	if err := tab.Flush(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	for _, b := range t.Violations {
		fmt.Fprintf(w, "BROKEN %s on %s: %s\n", b.Side, b.Day, b.Description)
	}
	return nil
}

// WriteJSON writes the table and its pairs for machines.
func (t Table) WriteJSON(path string, pairs []Pair) error {
	raw, err := json.MarshalIndent(struct {
		Table
		Pairs []Pair `json:"pairs"`
	}{t, pairs}, "", " ")
	if err != nil {
		return errors.Wrap(err, "write "+path)
	}
	return os.WriteFile(path, raw, 0o644)
}

// WritePlot draws each pair's worth, the first side across and the second upward: above the line the second is better.
func (t Table) WritePlot(path string, pairs []Pair) error {
	p := plot.New()
	p.Title.Text = "worth less prices, a day and seed a point"
	p.X.Label.Text, p.Y.Label.Text = t.First.Name, t.Second.Name
	var points plotter.XYs
	for _, x := range pairs {
		if x.First != nil && x.Second != nil {
			points = append(points, plotter.XY{X: x.First.Worth, Y: x.Second.Worth})
		}
	}
	if len(points) == 0 {
		return errors.New("no pair was played on both sides")
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, "draw the pairs")
	}
	p.Add(scatter, plotter.NewFunction(func(x float64) float64 { return x }), plotter.NewGrid())
	return p.Save(plotWidth, plotHeight, path)
}
