package simulator

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
)

func init() { Scenes = append(Scenes, slowCoreScenes...) }

// putSeries has one operator per core node send consecutive changes. Each change is based on the newest known version
// and follows the previous answer after a pause.
func (w *World) putSeries(from, to, pause float64) {
	for node := 1; node <= 3; node++ {
		n := 0
		var put func()
		put = func() {
			if w.now >= atSecond(to) {
				return
			}
			n++
			on := w.newestEpoch()
			name := fmt.Sprintf("series-%d-%d", node, n)
			w.PutNumbered(fmt.Sprintf("controller-%d", node), WithName(w.options.Plan, name, nil), on, on+1, func(controller.Receipt) {
				w.After(clock.Span(pause*1e9), put)
			})
		}
		w.At(atSecond(from+0.03*float64(node)), put)
	}
}

// slowCoreOptions sets up a world whose core nodes take parseTime to parse each message that carries a configuration,
// with extra latency between machines.
func slowCoreOptions(parseTime, latency clock.Span) func(o *Options) {
	return func(o *Options) {
		limitedOptions(ResourceLimits{RouterBandwidth: routerBandwidth, CoreBandwidth: coreBandwidth, RouterParseTime: 150e6, CoreParseTime: parseTime}, nil)(o)
		o.ExtraLatency = latency
	}
}

// slowCoreScenes are scenes in which the core nodes themselves lag behind because they parse configurations slowly.
var slowCoreScenes = []Scene{
	{Name: "slow-core", Description: "operators at every core node change a large configuration as fast as changes are accepted, and core nodes parse it slowly; nothing fails", Duration: 60e9, MinAnswered: 0.8,
		Configure: slowCoreOptions(100e6, 40e6),
		Script: func(w *World) {
			w.putSeries(10, 20, 0.1)
			w.putSeries(30, 40, 0.02)
		}},
	{Name: "slow-core-owner", Description: "like slow-core, without an interval between the series, and the owner is killed, frozen and cut off", Duration: 90e9, MinAnswered: 0.6,
		Configure: slowCoreOptions(60e6, 20e6),
		Script: func(w *World) {
			w.putSeries(10, 75, 0.1)
			for t := 14.0; t < 75; t += 12 {
				w.At(atSecond(t), func() { w.disruptOwner(clock.Span(w.rand.Int64N(3e9))) })
			}
		}},
}
