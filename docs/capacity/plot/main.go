// Command plot draws plots of the figures in a hollow fleet's CSV, by each dimension of the fleet's size, and prints linear
// fits as a Markdown table.
package main

import (
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sort"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// point is a figure at one size of the fleet, over the seeds.
type point struct{ x, low, mean, high float64 }

var measures = []struct {
	name, unit string
	value      func(row map[string]float64) float64
}{
	{"processor", "% of a core", func(row map[string]float64) float64 { return row["cpu_ms_s"] / 10 }},
	{"bytes", "KB per second, out and in", func(row map[string]float64) float64 { return (row["out_bytes_s"] + row["in_bytes_s"]) / 1e3 }},
	{"heap", "MB", func(row map[string]float64) float64 { return row["heap_bytes"] / 1e6 }},
}

var (
	dimensions = []string{"routers", "servers", "models", "adapters", "changes", "cores"}
	roles      = []string{"owner", "core", "agent", "router"}
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "plot: usage: plot FILE.csv FOLDER")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "plot:", err)
		os.Exit(1)
	}
}

func run(path, dir string) error {
	rows, err := read(path)
	if err != nil {
		return err
	}
	fmt.Println("| dimension | role | figure | by size (mean of the seeds) | largest ratio between seeds | linear fit: intercept + slope | exponent, last two sizes |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, dimension := range dimensions {
		for _, measure := range measures {
			p := plot.New()
			p.Title.Text = measure.name + " per process, by " + dimension
			p.X.Label.Text, p.Y.Label.Text = dimension, measure.unit
			p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
			p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
			p.Legend.Top, p.Legend.Left = true, true
			var lines []any
			for _, role := range roles {
				rolePoints := points(rows, dimension, role, measure.value)
				if len(rolePoints) < 2 {
					continue
				}
				var xy plotter.XYs
				for _, pt := range rolePoints {
					if pt.x > 0 && pt.mean > 0 {
						xy = append(xy, plotter.XY{X: pt.x, Y: pt.mean})
					}
				}
				if len(xy) > 1 {
					lines = append(lines, role, xy)
				}
				printRow(dimension, role, measure.name, measure.unit, rolePoints)
			}
			if len(lines) == 0 {
				continue
			}
			if err := plotutil.AddLinePoints(p, lines...); err != nil {
				return err
			}
			if err := p.Save(14*vg.Centimeter, 9*vg.Centimeter, filepath.Join(dir, dimension+"-"+measure.name+".svg")); err != nil {
				return err
			}
		}
	}
	return nil
}

func printRow(dimension, role, name, unit string, points []point) {
	var x, y []float64
	sizes, ratio := "", 1.0
	for _, pt := range points {
		x, y = append(x, pt.x), append(y, pt.mean)
		sizes += fmt.Sprintf("%.0f: %.3g; ", pt.x, pt.mean)
		if pt.low > 0 {
			ratio = math.Max(ratio, pt.high/pt.low)
		}
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	exponent := "-"
	if n := len(points); points[n-2].x > 0 && points[n-2].mean > 0 {
		exponent = fmt.Sprintf("%.2f", math.Log(y[n-1]/y[n-2])/math.Log(x[n-1]/x[n-2]))
	}
	fmt.Printf("| %s | %s | %s, %s | %s | × %.2f | %.3g + %.3g | %s |\n", dimension, role, name, unit, sizes[:len(sizes)-2], ratio, intercept, slope, exponent)
}

// row holds the numeric columns of a CSV record.
type row struct {
	role   string
	values map[string]float64
}

func read(path string) ([]row, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	records, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return nil, err
	}
	var rows []row
	for _, record := range records[1:] {
		parsed := row{values: map[string]float64{}}
		kind := ""
		for i, column := range records[0] {
			switch column {
			case "role":
				parsed.role = record[i]
			case "kind":
				kind = record[i]
			default:
				if v, err := strconv.ParseFloat(record[i], 64); err == nil {
					parsed.values[column] = v
				}
			}
		}
		if kind == "all" {
			rows = append(rows, parsed)
		}
	}
	return rows, nil
}

// points returns the figures of a role in the runs that differ from the first run at most in the given dimension.
func points(rows []row, dimension, role string, figure func(map[string]float64) float64) []point {
	base := rows[0].values
	values := map[float64][]float64{}
next:
	for _, row := range rows {
		if row.role != role {
			continue
		}
		for _, other := range dimensions {
			if other != dimension && row.values[other] != base[other] {
				continue next
			}
		}
		values[row.values[dimension]] = append(values[row.values[dimension]], figure(row.values))
	}
	var result []point
	for x, ys := range values {
		sort.Float64s(ys)
		result = append(result, point{x, ys[0], stat.Mean(ys, nil), ys[len(ys)-1]})
	}
	sort.Slice(result, func(i, j int) bool { return result[i].x < result[j].x })
	return result
}
