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
	targetHalfWidth  = 0.01 // for which the table states the number of pairs needed
	overallFigure    = "score"
	worstWindowCount = 2 // number of worst windows whose mean is compared
)

// Row compares one figure over all pairs that have it on both sides.
type Row struct {
	Figure      string  `json:"figure"`
	Pairs       int     `json:"pairs"`
	First       float64 `json:"first"` // mean
	Second      float64 `json:"second"`
	Difference  float64 `json:"difference"`
	HalfWidth   float64 `json:"half_width"` // of the confidence interval of the difference; 0 for a single pair
	PairsNeeded int     `json:"wanted"`     // pairs for a half width of 0.01
}

// figure extracts one number from a report. The number may be absent.
type figure struct {
	name  string
	value func(Day, *Report) (float64, bool)
}

// listFigures returns the figures that the pairs have: the score overall and by day, the parts of the worth, the worth by
// kind of request and by zone, the worth of the worst windows, the prices, and the causes that ended attempts.
func listFigures(pairs []Pair, scales Scales) []figure {
	score := func(day Day, report *Report) (float64, bool) {
		scale, ok := scales[day.Name]
		return scale.Score(report.Worth), ok
	}
	all := []figure{
		{overallFigure, score},
		{"worth less prices", func(_ Day, report *Report) (float64, bool) { return report.Worth, true }},
		{"served", func(_ Day, report *Report) (float64, bool) { return report.Served, true }},
	}
	for _, name := range distinctNames(pairs, func(pair Pair) []string { return []string{pair.Day.Name} }) {
		all = append(all, figure{"score of " + name, func(day Day, report *Report) (float64, bool) {
			value, ok := score(day, report)
			return value, ok && day.Name == name
		}})
	}
	for _, name := range distinctNames(pairs, func(pair Pair) (names []string) { return pair.First.partNames() }) {
		all = append(all, figure{"part: " + name, func(_ Day, report *Report) (float64, bool) { return report.part(name) }})
	}
	all = append(all, groupFigures(pairs, "kind", func(report *Report) []Group { return report.Classes })...)
	all = append(all, groupFigures(pairs, "zone", func(report *Report) []Group { return report.Zones })...)
	all = append(all, figure{"worst windows", worstWindows})
	for _, name := range distinctNames(pairs, func(pair Pair) []string { return pair.First.priceNames() }) {
		all = append(all, figure{"price: " + name, func(_ Day, report *Report) (float64, bool) { return report.price(name) }})
	}
	ends := func(pair Pair) []string {
		return append(generic.SortedKeys(pair.First.Ends), generic.SortedKeys(pair.Second.Ends)...)
	}
	for _, name := range distinctNames(pairs, ends) {
		all = append(all, figure{"tries ended: " + name, func(_ Day, report *Report) (float64, bool) { return float64(report.Ends[name]), true }})
	}
	return all
}

// groupFigures returns the worth of each group that the pairs have.
func groupFigures(pairs []Pair, prefix string, groups func(*Report) []Group) (all []figure) {
	names := distinctNames(pairs, func(pair Pair) (groupNames []string) {
		for _, group := range groups(pair.First) {
			groupNames = append(groupNames, group.Name)
		}
		return groupNames
	})
	for _, name := range names {
		all = append(all, figure{prefix + ": " + name, func(_ Day, report *Report) (float64, bool) {
			for _, group := range groups(report) {
				if group.Name == name && group.Worth != nil {
					return *group.Worth, true
				}
			}
			return 0, false
		}})
	}
	return all
}

// distinctNames returns the distinct names of all pairs in sorted order.
func distinctNames(pairs []Pair, names func(Pair) []string) []string {
	seen := map[string]bool{}
	for _, pair := range pairs {
		for _, name := range names(pair) {
			seen[name] = true
		}
	}
	return generic.SortedKeys(seen)
}

func (r *Report) partNames() (names []string) {
	for _, part := range r.Parts {
		names = append(names, part.Name)
	}
	return names
}

func (r *Report) priceNames() (names []string) {
	for _, price := range r.Prices {
		if price.Worth != 0 {
			names = append(names, price.Name)
		}
	}
	return names
}

func (r *Report) part(name string) (float64, bool) {
	for _, part := range r.Parts {
		if part.Name == name {
			return part.Value, true
		}
	}
	return 0, false
}

func (r *Report) price(name string) (float64, bool) {
	for _, price := range r.Prices {
		if price.Name == name {
			return price.Worth, true
		}
	}
	return 0, false
}

// worstWindows returns the mean worth of the worst time windows.
func worstWindows(_ Day, report *Report) (float64, bool) {
	var worths []float64
	for _, window := range report.Windows {
		if window.Worth != nil {
			worths = append(worths, *window.Worth)
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
	for _, pair := range pairs {
		a, okA := f.value(pair.Day, pair.First)
		b, okB := f.value(pair.Day, pair.Second)
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

// halfWidth returns the half width of the confidence interval of a mean, by Student's t distribution.
func halfWidth(deviation float64, n int) float64 {
	t := distuv.StudentsT{Sigma: 1, Nu: float64(n - 1)}
	return t.Quantile(0.5+confidence/2) * deviation / math.Sqrt(float64(n))
}

// pairsNeeded returns the number of pairs after which the confidence interval has the target half width.
func pairsNeeded(deviation float64) int {
	z := distuv.UnitNormal.Quantile(0.5 + confidence/2)
	return max(2, int(math.Ceil(math.Pow(z*deviation/targetHalfWidth, 2))))
}
