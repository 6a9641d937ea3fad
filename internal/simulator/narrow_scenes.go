package simulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"tidedeck/internal/clock"
	"tidedeck/internal/fleetplan"
)

// limitedOptions sets up a world of announced servers in which configurations are large, bandwidth is limited, and
// processes parse configurations slowly.
func limitedOptions(limits ResourceLimits, adjust func(h *Hosted)) func(o *Options) {
	return func(o *Options) {
		hostedOptions(adjust)(o)
		o.Narrow = &limits
		o.Plan = largePlan(o.Seed)
	}
}

const (
	routerBandwidth = 10e6 / 8 // bytes per second; scenes with lagging routers use half of it
	coreBandwidth   = 1000e6 / 8
	extraRoutes     = 1400
)

// largePlan is hostedPlan with extraRoutes more routes, whose random names hardly compress.
func largePlan(seed uint64) []byte { return enlargePlan(hostedPlan(), seed) }

// enlargePlan adds extraRoutes routes with random names to a plan.
func enlargePlan(plan []byte, seed uint64) []byte {
	var s planSheet
	if err := json.Unmarshal(plan, &s); err != nil {
		panic(err)
	}
	random := rand.New(rand.NewPCG(seed, 5))
	for range extraRoutes {
		s.Routes = append(s.Routes, planRoute{Host: fmt.Sprintf("%x.example", random.Uint32()), Prefix: fmt.Sprintf("/%x/", random.Uint64()),
			Service: "plain", Mode: fleetplan.Idempotent, Value: 990, WaitMs: 3000, Tries: 3})
	}
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return raw
}

// putChanges has an operator send changes at a fixed interval, each based on the newest known version. The changes
// differ in the plan's name.
func (w *World) putChanges(from, to, gap float64) {
	n := 0
	for t := from; t < to; t += gap {
		w.At(atSecond(t), func() {
			n++
			on := w.newestEpoch()
			w.PutNumbered(fmt.Sprintf("controller-%d", 1+n%3), WithName(w.options.Plan, fmt.Sprintf("change-%d", n), nil), on, on+1, nil)
		})
	}
}

// disruptOwner kills, freezes or cuts off the owner for the given duration.
func (w *World) disruptOwner(duration clock.Span) {
	switch o := w.owner(); w.rand.IntN(3) {
	case 0:
		w.Restart(o, duration)
	case 1:
		w.Freeze(o, duration)
	case 2:
		w.Partition(map[string]bool{o: true})
		w.After(duration, w.Heal)
	}
}

// narrowScenes are scenes in which configurations take long to reach routers and to be parsed there.
var narrowScenes = []Scene{
	{Name: "narrow-changes", Description: "large configurations follow each other faster than routers apply them; nothing fails", Duration: 60e9, MinAnswered: 0.9,
		Configure: limitedOptions(ResourceLimits{RouterBandwidth: routerBandwidth / 2, CoreBandwidth: coreBandwidth, RouterParseTime: 350e6}, nil),
		Script: func(w *World) {
			w.putChanges(10, 18, 0.3)
			w.putChanges(28, 36, 0.12)
		}},
	{Name: "narrow-parse", Description: "routers take longer to parse a configuration than it may take to be in force", Duration: 60e9, MinAnswered: 0.3,
		Configure: limitedOptions(ResourceLimits{RouterBandwidth: routerBandwidth / 2, CoreBandwidth: coreBandwidth, RouterParseTime: 1800e6}, nil),
		Script: func(w *World) {
			w.putChanges(10, 18, 0.7)
			w.putChanges(28, 36, 0.3)
		}},
	{Name: "narrow-leave", Description: "like narrow-changes, while servers leave", Duration: 60e9, MinAnswered: 0.85,
		Configure: limitedOptions(ResourceLimits{RouterBandwidth: routerBandwidth / 2, CoreBandwidth: coreBandwidth, RouterParseTime: 350e6}, nil),
		Script: func(w *World) {
			w.withdrawServers(10, 44, 2)
			w.putChanges(10, 18, 0.3)
			w.putChanges(28, 36, 0.12)
		}},
	{Name: "narrow-owner", Description: "like narrow-leave, and the owner is killed, frozen and cut off", Duration: 70e9, MinAnswered: 0.7,
		Configure: limitedOptions(ResourceLimits{RouterBandwidth: routerBandwidth / 2, CoreBandwidth: coreBandwidth, RouterParseTime: 250e6}, nil),
		Script: func(w *World) {
			w.withdrawServers(14, 44, 4)
			w.putChanges(10, 50, 0.5)
			for t := 12.0; t < 50; t += 9 {
				w.At(atSecond(t), func() { w.disruptOwner(clock.Span(w.rand.Int64N(4e9))) })
			}
		}},
}
