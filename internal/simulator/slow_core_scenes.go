package simulator

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
)

func init() { Scenes = append(Scenes, slowCoreScenes...) }

// series has an operator at each core node send one change after another, each on the newest version that is known and as
// soon as the one before was answered, but for a pause.
func (w *World) putSeries(from, to, pause float64) {
	for node := 1; node <= 3; node++ {
		n := 0
		var put func()
		put = func() {
			if w.now >= sec(to) {
				return
			}
			n++
			on := w.newestEpoch()
			name := fmt.Sprintf("series-%d-%d", node, n)
			w.PutNumber(fmt.Sprintf("controller-%d", node), WithName(w.o.Plan, name, nil), on, on+1, func(controller.Receipt) {
				w.After(clock.Span(pause*1e9), put)
			})
		}
		w.At(sec(from+0.03*float64(node)), put)
	}
}

// slowCore sets a world up whose core nodes take a while to read each message with a configuration, and are some way apart.
func slowCoreOptions(reading, far clock.Span) func(o *Options) {
	return func(o *Options) {
		limitedOptions(Narrow{RouterBandwidth: routerBandwidth, CoreBandwidth: coreBandwidth, RouterParseTime: 150e6, CoreParseTime: reading}, nil)(o)
		o.Far = far
	}
}

// slowCoreScenes are those in which the core itself is late, and nothing fails.
var slowCoreScenes = []Scene{
	{Name: "slow-core", About: "operators at every core node change a large configuration as fast as changes are taken, and core nodes are slow to read it; nothing fails", Duration: 60e9, MinAnswered: 0.8,
		Configure: slowCoreOptions(100e6, 40e6),
		Script: func(w *World) {
			w.putSeries(10, 20, 0.1)
			w.putSeries(30, 40, 0.02)
		}},
	{Name: "slow-core-owner", About: "the same without a pause, and the owner is killed, frozen and cut off", Duration: 90e9, MinAnswered: 0.6,
		Configure: slowCoreOptions(60e6, 20e6),
		Script: func(w *World) {
			w.putSeries(10, 75, 0.1)
			for t := 14.0; t < 75; t += 12 {
				w.At(sec(t), func() { w.disruptOwner(clock.Span(w.rand.Int64N(3e9))) })
			}
		}},
}
