// Command plot draws the slopes of a hollow fleet's CSV and prints their fits as a table.
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

type point struct{ x, low, mean, high float64 }

var measures = []struct {
	name, unit string
	of         func(r map[string]float64) float64
}{
	{"processor", "% of a core", func(r map[string]float64) float64 { return r["cpu_ms_s"] / 10 }},
	{"bytes", "KB a second, out and in", func(r map[string]float64) float64 { return (r["out_bytes_s"] + r["in_bytes_s"]) / 1e3 }},
	{"heap", "MB", func(r map[string]float64) float64 { return r["heap_bytes"] / 1e6 }},
}

var (
	dimensions = []string{"routers", "servers", "models", "adapters", "changes", "cores"}
	roles      = []string{"owner", "core", "agent", "router"}
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "plot: wants a CSV and the folder for the plots")
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
	fmt.Println("| grows with | role | figure | at each size (mean of the seeds) | least to most of the seeds, widest | line: at 0 + a unit | power, last two sizes |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, d := range dimensions {
		for _, m := range measures {
			p := plot.New()
			p.Title.Text = m.name + " of one process, by " + d
			p.X.Label.Text, p.Y.Label.Text = d, m.unit
			p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
			p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
			p.Legend.Top, p.Legend.Left = true, true
			var lines []any
			for _, role := range roles {
				l := points(rows, d, role, m.of)
				if len(l) < 2 {
					continue
				}
				var xy plotter.XYs
				for _, q := range l {
					if q.x > 0 && q.mean > 0 {
						xy = append(xy, plotter.XY{X: q.x, Y: q.mean})
					}
				}
				if len(xy) > 1 {
					lines = append(lines, role, xy)
				}
				table(d, role, m.name, m.unit, l)
			}
			if len(lines) == 0 {
				continue
			}
			if err := plotutil.AddLinePoints(p, lines...); err != nil {
				return err
			}
			if err := p.Save(14*vg.Centimeter, 9*vg.Centimeter, filepath.Join(dir, d+"-"+m.name+".svg")); err != nil {
				return err
			}
		}
	}
	return nil
}

func table(d, role, name, unit string, l []point) {
	var x, y []float64
	at, wide := "", 1.0
	for _, q := range l {
		x, y = append(x, q.x), append(y, q.mean)
		at += fmt.Sprintf("%.0f: %.3g; ", q.x, q.mean)
		if q.low > 0 {
			wide = math.Max(wide, q.high/q.low)
		}
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	power := "-"
	if n := len(l); l[n-2].x > 0 && l[n-2].mean > 0 {
		power = fmt.Sprintf("%.2f", math.Log(y[n-1]/y[n-2])/math.Log(x[n-1]/x[n-2]))
	}
	fmt.Printf("| %s | %s | %s, %s | %s | × %.2f | %.3g + %.3g | %s |\n", d, role, name, unit, at[:len(at)-2], wide, a, b, power)
}

type row struct {
	role string
	n    map[string]float64
}

func read(path string) ([]row, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	all, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return nil, err
	}
	var l []row
	for _, r := range all[1:] {
		x := row{n: map[string]float64{}}
		kind := ""
		for i, h := range all[0] {
			switch h {
			case "role":
				x.role = r[i]
			case "kind":
				kind = r[i]
			default:
				if v, err := strconv.ParseFloat(r[i], 64); err == nil {
					x.n[h] = v
				}
			}
		}
		if kind == "all" {
			l = append(l, x)
		}
	}
	return l, nil
}

// points picks the runs that differ from the first one in one dimension only.
func points(rows []row, d, role string, of func(map[string]float64) float64) []point {
	base := rows[0].n
	by := map[float64][]float64{}
next:
	for _, r := range rows {
		if r.role != role {
			continue
		}
		for _, o := range dimensions {
			if o != d && r.n[o] != base[o] {
				continue next
			}
		}
		by[r.n[d]] = append(by[r.n[d]], of(r.n))
	}
	var l []point
	for x, v := range by {
		sort.Float64s(v)
		l = append(l, point{x, v[0], stat.Mean(v, nil), v[len(v)-1]})
	}
	sort.Slice(l, func(i, j int) bool { return l[i].x < l[j].x })
	return l
}
