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
func limitedOptions(n Narrow, more func(h *Hosted)) func(o *Options) {
	return func(o *Options) {
		hosted(more)(o)
		o.Narrow = &n
		o.Plan = largePlan(o.Seed)
	}
}

const (
	routerBandwidth = 10e6 / 8 // bytes a second; scenes of late routers take half of it
	coreBandwidth   = 1000e6 / 8
	extraRoutes     = 1400
)

// largePlan is hostedPlan with many routes more, whose names do not repeat each other.
func largePlan(seed uint64) []byte { return enlargePlan(hostedPlan(), seed) }

// enlarged is a plan with many routes more.
func enlargePlan(plan []byte, seed uint64) []byte {
	var s sheet
	if err := json.Unmarshal(plan, &s); err != nil {
		panic(err)
	}
	random := rand.New(rand.NewPCG(seed, 5))
	for range extraRoutes {
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
func (w *World) putChanges(from, to, gap float64) {
	n := 0
	for t := from; t < to; t += gap {
		w.At(sec(t), func() {
			n++
			on := w.newestEpoch()
			w.PutNumber(fmt.Sprintf("controller-%d", 1+n%3), WithName(w.o.Plan, fmt.Sprintf("change-%d", n), nil), on, on+1, nil)
		})
	}
}

// loseOwner kills the owner, freezes it, or cuts it off, for a while.
func (w *World) disruptOwner(span clock.Span) {
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
	{Name: "narrow-changes", About: "large configurations follow each other faster than routers take them in; nothing fails", Duration: 60e9, MinAnswered: 0.9,
		Configure: limitedOptions(Narrow{RouterBandwidth: routerBandwidth / 2, CoreBandwidth: coreBandwidth, RouterParseTime: 350e6}, nil),
		Script: func(w *World) {
			w.putChanges(10, 18, 0.3)
			w.putChanges(28, 36, 0.12)
		}},
	{Name: "narrow-leave", About: "the same, while servers leave", Duration: 60e9, MinAnswered: 0.85,
		Configure: limitedOptions(Narrow{RouterBandwidth: routerBandwidth / 2, CoreBandwidth: coreBandwidth, RouterParseTime: 350e6}, nil),
		Script: func(w *World) {
			w.withdrawServers(10, 44, 2)
			w.putChanges(10, 18, 0.3)
			w.putChanges(28, 36, 0.12)
		}},
	{Name: "narrow-owner", About: "the same, and the owner is killed, frozen and cut off", Duration: 70e9, MinAnswered: 0.7,
		Configure: limitedOptions(Narrow{RouterBandwidth: routerBandwidth / 2, CoreBandwidth: coreBandwidth, RouterParseTime: 250e6}, nil),
		Script: func(w *World) {
			w.withdrawServers(14, 44, 4)
			w.putChanges(10, 50, 0.5)
			for t := 12.0; t < 50; t += 9 {
				w.At(sec(t), func() { w.disruptOwner(clock.Span(w.rand.Int64N(4e9))) })
			}
		}},
}
