package experiment

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"tidedeck/internal/generic"
)

const (
	confidence       = 0.95
	targetHalfWidth  = 0.01 // of which the table says how many pairs it wants
	overallFigure    = "score"
	worstWindowCount = 2 // the worst windows that are compared
)

// Row is one figure's differences over all pairs that have it.
type Row struct {
	Figure      string  `json:"figure"`
	Pairs       int     `json:"pairs"`
	First       float64 `json:"first"` // mean
	Second      float64 `json:"second"`
	Difference  float64 `json:"difference"`
	HalfWidth   float64 `json:"half_width"` // of the interval of the difference; 0 with a single pair
	PairsNeeded int     `json:"wanted"`     // pairs until the half width is 0.01
}

// figure takes one number from a report; there may be none.
type figure struct {
	name  string
	value func(Day, *Report) (float64, bool)
}

// figuresOf lists the figures that the pairs have: the score over all and by day, the parts of the worth, the worth by
// kind of request and by zone, that of the worst windows, prices, and causes of loss.
func listFigures(pairs []Pair, marks Scales) []figure {
	score := func(d Day, r *Report) (float64, bool) {
		m, ok := marks[d.Name]
		return m.Score(r.Worth), ok
	}
	all := []figure{
		{overallFigure, score},
		{"worth less prices", func(_ Day, r *Report) (float64, bool) { return r.Worth, true }},
		{"served", func(_ Day, r *Report) (float64, bool) { return r.Served, true }},
	}
	for _, name := range distinctNames(pairs, func(p Pair) []string { return []string{p.Day.Name} }) {
		all = append(all, figure{"score of " + name, func(d Day, r *Report) (float64, bool) {
			s, ok := score(d, r)
			return s, ok && d.Name == name
		}})
	}
	for _, name := range distinctNames(pairs, func(p Pair) (l []string) { return p.First.partNames() }) {
		all = append(all, figure{"part: " + name, func(_ Day, r *Report) (float64, bool) { return r.part(name) }})
	}
	all = append(all, groupFigures(pairs, "kind", func(r *Report) []Group { return r.Classes })...)
	all = append(all, groupFigures(pairs, "zone", func(r *Report) []Group { return r.Zones })...)
	all = append(all, figure{"worst windows", worstWindows})
	for _, name := range distinctNames(pairs, func(p Pair) []string { return p.First.priceNames() }) {
		all = append(all, figure{"price: " + name, func(_ Day, r *Report) (float64, bool) { return r.price(name) }})
	}
	ends := func(p Pair) []string {
		return append(generic.SortedKeys(p.First.Ends), generic.SortedKeys(p.Second.Ends)...)
	}
	for _, name := range distinctNames(pairs, ends) {
		all = append(all, figure{"tries ended: " + name, func(_ Day, r *Report) (float64, bool) { return float64(r.Ends[name]), true }})
	}
	return all
}

// groupFigures are the worths of the groups that the pairs have.
func groupFigures(pairs []Pair, what string, groups func(*Report) []Group) (all []figure) {
	names := distinctNames(pairs, func(p Pair) (l []string) {
		for _, g := range groups(p.First) {
			l = append(l, g.Name)
		}
		return l
	})
	for _, name := range names {
		all = append(all, figure{what + ": " + name, func(_ Day, r *Report) (float64, bool) {
			for _, g := range groups(r) {
				if g.Name == name && g.Worth != nil {
					return *g.Worth, true
				}
			}
			return 0, false
		}})
	}
	return all
}

// namesOf gathers names over all pairs, each once and in order.
func distinctNames(pairs []Pair, names func(Pair) []string) []string {
	seen := map[string]bool{}
	for _, p := range pairs {
		for _, n := range names(p) {
			seen[n] = true
		}
	}
	return generic.SortedKeys(seen)
}

func (r *Report) partNames() (l []string) {
	for _, p := range r.Parts {
		l = append(l, p.Name)
	}
	return l
}

func (r *Report) priceNames() (l []string) {
	for _, p := range r.Prices {
		if p.Worth != 0 {
			l = append(l, p.Name)
		}
	}
	return l
}

func (r *Report) part(name string) (float64, bool) {
	for _, p := range r.Parts {
		if p.Name == name {
			return p.Value, true
		}
	}
	return 0, false
}

func (r *Report) price(name string) (float64, bool) {
	for _, p := range r.Prices {
		if p.Name == name {
			return p.Worth, true
		}
	}
	return 0, false
}

// worstWindows is the mean worth of the worst windows of time.
func worstWindows(_ Day, r *Report) (float64, bool) {
	var worths []float64
	for _, w := range r.Windows {
		if w.Worth != nil {
			worths = append(worths, *w.Worth)
		}
	}
	sort.Float64s(worths)
	if len(worths) == 0 {
		return 0, false
	}
	return stat.Mean(worths[:min(worstWindowCount, len(worths))], nil), true
}

// row compares one figure over the pairs that have it on both sides.
func (f figure) row(pairs []Pair) (Row, bool) {
	var first, second, differences []float64
	for _, p := range pairs {
		a, okA := f.value(p.Day, p.First)
		b, okB := f.value(p.Day, p.Second)
		if okA && okB {
			first, second, differences = append(first, a), append(second, b), append(differences, b-a)
		}
	}
	if len(differences) == 0 {
		return Row{}, false
	}
	row := Row{
		Figure: f.name, Pairs: len(differences),
		First: stat.Mean(first, nil), Second: stat.Mean(second, nil), Difference: stat.Mean(differences, nil),
	}
	if len(differences) > 1 {
		deviation := stat.StdDev(differences, nil)
		row.HalfWidth = halfWidth(deviation, len(differences))
		row.PairsNeeded = pairsNeeded(deviation)
	}
	return row, true
}

// halfWidth is that of the interval of a mean, by Student's t.
func halfWidth(deviation float64, n int) float64 {
	t := distuv.StudentsT{Sigma: 1, Nu: float64(n - 1)}
	return t.Quantile(0.5+confidence/2) * deviation / math.Sqrt(float64(n))
}

// pairsFor tells how many pairs it takes until the interval is fine enough.
func pairsNeeded(deviation float64) int {
	z := distuv.UnitNormal.Quantile(0.5 + confidence/2)
	return max(2, int(math.Ceil(math.Pow(z*deviation/targetHalfWidth, 2))))
}
