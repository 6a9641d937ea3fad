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

// WriteText writes the table as text. It marks differences that exceed their confidence interval with an asterisk.
func (t Table) WriteText(w io.Writer) error {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(writer, "figure\tpairs\t%s\t%s\tdifference\t+-\t\tpairs for %.2f\n", t.First.Name, t.Second.Name, targetHalfWidth)
	for _, row := range t.Rows {
		asterisk := ""
		if row.Pairs > 1 && (row.Difference > row.HalfWidth || -row.Difference > row.HalfWidth) {
			asterisk = "*"
		}
		fmt.Fprintf(writer, "%s\t%d\t%.4f\t%.4f\t%+.4f\t%.4f\t%s\t%d\n", row.Figure, row.Pairs, row.First, row.Second, row.Difference, row.HalfWidth, asterisk, row.PairsNeeded)
	}
	if err := writer.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	for _, violation := range t.Violations {
		fmt.Fprintf(w, "BROKEN %s on %s: %s\n", violation.Side, violation.Day, violation.Description)
	}
	return nil
}

// WriteJSON writes the table and its pairs as JSON.
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

// WritePlot plots the worth of each pair, the first side on the x axis and the second on the y axis. The second side is
// better above the diagonal.
func (t Table) WritePlot(path string, pairs []Pair) error {
	p := plot.New()
	p.Title.Text = "worth less prices, one point per day and seed"
	p.X.Label.Text, p.Y.Label.Text = t.First.Name, t.Second.Name
	var points plotter.XYs
	for _, pair := range pairs {
		if pair.First != nil && pair.Second != nil {
			points = append(points, plotter.XY{X: pair.First.Worth, Y: pair.Second.Worth})
		}
	}
	if len(points) == 0 {
		return errors.New("no pair has reports of both sides")
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, "plot pairs")
	}
	p.Add(scatter, plotter.NewFunction(func(x float64) float64 { return x }), plotter.NewGrid())
	return p.Save(plotWidth, plotHeight, path)
}
