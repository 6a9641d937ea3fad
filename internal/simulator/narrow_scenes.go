package simulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
)

// narrowed sets a world of announced servers up in which a configuration takes a while: links are narrow, and processes
// are slow to read it.
func narrowed(n Narrow, more func(h *Hosted)) func(o *Options) {
	return func(o *Options) {
		hosted(more)(o)
		o.Narrow = &n
		o.Plan = largePlan(o.Seed)
	}
}

const (
	routerLink = 10e6 / 8 // bytes a second; scenes of late routers take half of it
	coreLink   = 1000e6 / 8
	manyRoutes = 1400
)

// largePlan is hostedPlan with many routes more, whose names do not repeat each other.
func largePlan(seed uint64) []byte { return enlarged(hostedPlan(), seed) }

// enlarged is a plan with many routes more.
func enlarged(plan []byte, seed uint64) []byte {
	var s sheet
	if err := json.Unmarshal(plan, &s); err != nil {
		panic(err)
	}
	random := rand.New(rand.NewPCG(seed, 5))
	for range manyRoutes {
		s.Routes = append(s.Routes, sheetRoute{Host: fmt.Sprintf("%x.example", random.Uint32()), Prefix: fmt.Sprintf("/%x/", random.Uint64()),
			Service: "plain", Mode: fleetplan.Idempotent, Value: 990, WaitMs: 3000, Tries: 3})
	}
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return raw
}

// changes has an operator send one change after another, each on the newest version. They differ in the plan's name.
func (w *World) changes(from, to, gap float64) {
	n := 0
	for t := from; t < to; t += gap {
		w.At(sec(t), func() {
			n++
			on := w.newestEpoch()
			w.PutNumber(fmt.Sprintf("controller-%d", 1+n%3), Named(w.o.Plan, fmt.Sprintf("change-%d", n), nil), on, on+1, nil)
		})
	}
}

// loseOwner kills the owner, freezes it, or cuts it off, for a while.
func (w *World) loseOwner(span clock.Span) {
	switch o := w.owner(); w.rand.IntN(3) {
	case 0:
		w.Restart(o, span)
	case 1:
		w.Freeze(o, span)
	case 2:
		w.Part(map[string]bool{o: true})
		w.After(span, w.Heal)
	}
}

// narrowScenes are those in which a configuration takes a while to reach routers, and to be taken in.
var narrowScenes = []Scene{
	{Name: "narrow-changes", About: "large configurations follow each other faster than routers take them in; nothing fails", Long: 60e9, Least: 0.9,
		Set: narrowed(Narrow{RouterLink: routerLink / 2, CoreLink: coreLink, Reading: 350e6}, nil),
		Play: func(w *World) {
			w.changes(10, 18, 0.3)
			w.changes(28, 36, 0.12)
		}},
	{Name: "narrow-leave", About: "the same, while servers leave", Long: 60e9, Least: 0.85,
		Set: narrowed(Narrow{RouterLink: routerLink / 2, CoreLink: coreLink, Reading: 350e6}, nil),
		Play: func(w *World) {
			w.leaves(10, 44, 2)
			w.changes(10, 18, 0.3)
			w.changes(28, 36, 0.12)
		}},
	{Name: "narrow-owner", About: "the same, and the owner is killed, frozen and cut off", Long: 70e9, Least: 0.7,
		Set: narrowed(Narrow{RouterLink: routerLink / 2, CoreLink: coreLink, Reading: 250e6}, nil),
		Play: func(w *World) {
			w.leaves(14, 44, 4)
			w.changes(10, 50, 0.5)
			for t := 12.0; t < 50; t += 9 {
				w.At(sec(t), func() { w.loseOwner(clock.Span(w.rand.Int64N(4e9))) })
			}
		}},
}
