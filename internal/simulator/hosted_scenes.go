package simulator

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/ident"
)

// hosted sets a world of announced servers up.
func hosted(more func(h *Hosted)) func(o *Options) {
	return func(o *Options) {
		o.Plan, o.Routers, o.Rates = hostedPlan(), 5, 0.016
		o.Hosted = HostedDefaults()
		if more != nil {
			more(o.Hosted)
		}
	}
}

// leaves makes servers leave one after another, each followed by another one.
func (w *World) withdrawServers(from, to, gap float64) {
	for t := from; t < to; t += gap {
		w.At(sec(t), func() {
			m := w.host.some()
			switch w.rand.IntN(4) {
			case 0:
				w.host.leave(m, 400e6+clock.Span(w.rand.Int64N(2e9)), 1500e6) // at short notice
			case 1:
				w.host.crash(m, clock.Span(w.rand.Int64N(4e9)))
			default:
				w.host.leave(m, 0, clock.Span(500e6+w.rand.Int64N(3e9)))
			}
		})
	}
}

// newestEpoch gives the newest version that operators were told of.
func (w *World) newestEpoch() ident.Epoch {
	if s := w.Check.newest(w.now); s != nil {
		return s.epoch
	}
	return 0
}

// epochs races two operators: both build on the newest plan that is known, under numbers of their own.
func (w *World) racePlans(from, to, gap float64) {
	n := 0
	for t := from; t < to; t += gap {
		w.At(sec(t), func() {
			n++
			on := w.newestEpoch()
			for i, a := range []string{"left", "right"} {
				var less func(m map[string]any)
				if i == 1 && n%2 == 0 { // it has no route for some of what is asked
					less = func(m map[string]any) { m["routes"] = m["routes"].([]any)[:4] }
				}
				number := on + 1 + ident.Epoch(w.rand.IntN(3))
				w.PutNumber(fmt.Sprintf("controller-%d", 1+(n+i)%3), WithName(w.o.Plan, fmt.Sprintf("%s-%d", a, n), less), on, number, nil)
			}
		})
		w.At(sec(t+gap/2), func() { w.Read(w.some("controller-"), nil) })
	}
}

// acknowledged calls back once, as soon as a server's leaving is acknowledged.
func (w *World) onLeaveAcknowledged(m *machine, then func()) {
	a := m.now
	var look func()
	look = func() {
		switch {
		case a.acked != 0:
			then()
		case !a.ended:
			w.After(1e6, look)
		}
	}
	look()
}

func init() {
	Scenes = append(append(append(append(Scenes, hostedScenes...), regressionScenes...), narrowScenes...), keyScenes...)
}

// hostedScenes are those with servers that announce themselves to the core and check no fence.
var hostedScenes = []Scene{
	{Name: "announced", About: "servers announce themselves and check no fence; nothing fails", Duration: 50e9, MinAnswered: 0.99, NoAborts: true, Configure: hosted(nil),
		Script: func(w *World) {}},
	{Name: "announced-leave", About: "the same, and servers leave in order, at short notice, crash and come back under new ids, at used addresses too", Duration: 80e9, MinAnswered: 0.95, Configure: hosted(nil),
		Script: func(w *World) { w.withdrawServers(10, 62, 2.5) }},
	{Name: "announced-nameless", About: "requests to servers with models name none, while servers leave and models move", Duration: 80e9, MinAnswered: 0.9,
		Configure: func(o *Options) {
			hosted(func(h *Hosted) { h.Nameless, h.Shift = 0.3, 10e9 })(o)
			o.Plan = namelessPlan()
		},
		Script: func(w *World) {
			w.withdrawServers(10, 62, 4)
			w.At(sec(30), func() { w.Restart(w.owner(), 1e9) })
		}},
	{Name: "announced-shift", About: "what is asked for moves, so that models are loaded and unloaded all the time", Duration: 80e9, MinAnswered: 0.97,
		Configure: hosted(func(h *Hosted) { h.Shift = 6e9 }), Script: func(w *World) {}},
	{Name: "announced-store", About: "the same, from a store that bears hardly any loads", Duration: 60e9, MinAnswered: 0.5,
		Configure: func(o *Options) {
			hosted(func(h *Hosted) { h.Shift = 3e9 })(o)
			o.Plan = storePlan(0.2)
		}, Script: func(w *World) {}},
	{Name: "announced-owner", About: "the owner is killed right after it acknowledged a leaving, or while one is under way", Duration: 90e9, MinAnswered: 0.85,
		Configure: hosted(func(h *Hosted) { h.Shift = 15e9 }),
		Script: func(w *World) {
			for t := 10.0; t < 74; t += 9 {
				w.At(sec(t), func() {
					m := w.host.some()
					w.host.leave(m, 0, 2e9)
					if w.rand.IntN(2) == 0 {
						w.After(clock.Span(w.rand.Int64N(200e6)), func() { w.Restart(w.owner(), clock.Span(w.rand.Int64N(3e9))) })
						return
					}
					w.onLeaveAcknowledged(m, func() { w.Restart(w.owner(), clock.Span(w.rand.Int64N(3e9))) })
				})
				w.At(sec(t+4), func() { w.host.crash(w.host.some(), 1e9) })
			}
		}},
	{Name: "announced-split", About: "the core is split every way while models move; servers leave while it is whole", Duration: 90e9, MinAnswered: 0.95,
		Configure: hosted(func(h *Hosted) { h.Shift = 10e9 }),
		Script: func(w *World) {
			w.withdrawServers(14.5, 70, 8)
			for t := 10.0; t < 70; t += 8 {
				w.At(sec(t), func() {
					a, b := w.some("controller-"), w.some("controller-")
					switch w.rand.IntN(5) {
					case 0:
						w.Part(map[string]bool{a: true})
					case 1:
						w.Cut(a, b, false)
					case 2:
						w.Freeze(w.owner(), clock.Span(w.rand.Int64N(4e9)))
					case 3:
						w.Part(map[string]bool{w.owner(): true})
					case 4: // the owner still reaches servers and most routers
						o := w.owner()
						w.Cut(o, "router-1", true)
						w.Cut(o, "router-2", true)
						for _, p := range w.controllers() {
							if p.name != o {
								w.Cut(o, p.name, true)
							}
						}
					}
				})
				w.At(sec(t+3), w.Heal)
			}
		}},
	{Name: "announced-roll", About: "core nodes are restarted as planned, one by one, while models move", Duration: 90e9, MinAnswered: 0.97,
		Configure: hosted(func(h *Hosted) { h.Shift = 3e9 }),
		Script: func(w *World) {
			for t := 10.0; t < 72; t += 4.5 {
				w.At(sec(t), func() {
					o := w.owner()
					w.Stop(o)
					w.After(1e9, func() { w.Start(o) })
				})
			}
		}},
	{Name: "announced-minority", About: "servers leave while a core node other than the owner is cut off from the rest", Duration: 80e9, MinAnswered: 0.98, Configure: hosted(nil),
		Script: func(w *World) {
			for t := 10.0; t < 62; t += 9 {
				w.At(sec(t), func() {
					o := w.owner()
					for _, p := range w.controllers() {
						if p.name != o {
							w.Part(map[string]bool{p.name: true})
							for _, m := range w.host.machines { // servers reach it
								delete(w.cuts, [2]string{m.box, p.box})
								delete(w.cuts, [2]string{p.box, m.box})
							}
							break
						}
					}
				})
				w.At(sec(t+0.1), func() { w.host.leave(w.host.some(), 0, 2e9) })
				w.At(sec(t+0.2), func() { w.host.leave(w.host.some(), 0, 2e9) })
				w.At(sec(t+4), w.Heal)
			}
		}},
	{Name: "announced-wipe", About: "core nodes lose their disks one at a time, right after they acknowledged a leaving or a plan", Duration: 100e9, MinAnswered: 0.95, Configure: hosted(nil),
		Script: func(w *World) {
			w.racePlans(9, 85, 9)
			wipe := func() {
				v := w.some("controller-")
				w.Kill(v)
				w.Wipe(v)
				w.After(clock.Span(w.rand.Int64N(1e9)), func() { w.Start(v) })
			}
			for t := 12.0; t < 80; t += 12 {
				w.At(sec(t), func() {
					m := w.host.some()
					w.host.leave(m, 0, 2e9)
					w.onLeaveAcknowledged(m, wipe)
				})
			}
		}},
	{Name: "announced-late", About: "announcements come late, twice and out of order, order answers get lost, reports lag", Duration: 80e9, MinAnswered: 0.8,
		Configure: func(o *Options) {
			hosted(func(h *Hosted) { h.LateOdds, h.OrderLoss, h.ReportLag, h.Shift = 0.5, 0.15, 450e6, 8e9 })(o)
			o.Loss, o.Twice = 0.01, 0.02
		},
		Script: func(w *World) { w.withdrawServers(10, 62, 3) }},
	{Name: "announced-reuse", About: "servers crash all the time, and others take their addresses soon", Duration: 70e9, MinAnswered: 0.75,
		Configure: hosted(func(h *Hosted) { h.Reuse = 200e6 }),
		Script: func(w *World) {
			for t := 10.0; t < 52; t += 2 {
				w.At(sec(t), func() { w.host.crash(w.host.some(), 200e6+clock.Span(w.rand.Int64N(1e9))) })
			}
		}},
	{Name: "announced-all", About: "all of the core is killed at once, right after it acknowledged a plan, and comes back with its disks", Duration: 70e9, MinAnswered: 0.95, Configure: hosted(nil),
		Script: func(w *World) {
			w.withdrawServers(10, 17, 3)
			w.withdrawServers(27, 33, 3)
			w.withdrawServers(45, 52, 3)
			w.At(sec(8), func() { // the first plan is in force by then
				for _, p := range w.controllers() {
					p.disk.late = 40e6
				}
			})
			for i, t := range []float64{20, 38} {
				w.At(sec(t), func() {
					on := w.Check.newest(w.now).epoch
					w.PutNumber("controller-1", WithName(w.o.Plan, fmt.Sprintf("last-%d", i), nil), on, on+2, func(controller.Receipt) {
						for i := 1; i <= 3; i++ {
							w.Restart(fmt.Sprintf("controller-%d", i), clock.Span(w.rand.Int64N(1e9)))
						}
					})
				})
			}
			w.At(sec(32), func() { w.Read("controller-2", nil) })
			w.At(sec(60), func() { w.Read("controller-1", nil) })
		}},
	{Name: "announced-alone", About: "routers are cut off from the core and go on by what they knew, while servers leave", Duration: 80e9, MinAnswered: 0.97, Configure: hosted(nil),
		Script: func(w *World) {
			w.withdrawServers(10, 62, 4)
			for t := 11.0; t < 62; t += 9 {
				w.At(sec(t), func() {
					r := fmt.Sprintf("router-%d", 1+w.rand.IntN(w.o.Routers))
					for _, b := range w.boxes() {
						if isCore(b) || w.rand.IntN(2) == 0 && b != r && len(b) > 6 && b[:6] == "router" {
							w.Cut(r, b, true)
						}
					}
				})
				w.At(sec(t+5), w.Heal)
			}
		}},
	{Name: "announced-plans", About: "two operators race plans under numbers of their own, and replies get lost", Duration: 80e9, MinAnswered: 0.97,
		Configure: func(o *Options) { hosted(nil)(o); o.Loss, o.Twice = 0.01, 0.02 },
		Script: func(w *World) {
			w.At(sec(8), func() { w.ReplyLoss = 0.1 })
			w.racePlans(10, 65, 3)
			w.At(sec(30), func() { w.Restart(w.owner(), 1e9) })
		}},
}

// What these showed first was mended: lost orders, leavings that the next owner did not know, orders past
// the places, dead servers that held up loads.
var regressionScenes = []Scene{
	// A core node that is cut off while a leaving is acknowledged is not told of it afterwards: as the
	// next owner it offers the server until its silence, or the next announcement, shows what it is.
	{Name: "announced-cut", About: "the core is split every way while servers leave and models move", Duration: 90e9, MinAnswered: 0.7,
		Configure: hosted(func(h *Hosted) { h.Shift = 10e9 }),
		Script: func(w *World) {
			w.withdrawServers(10, 70, 4)
			for t := 10.0; t < 70; t += 8 {
				w.At(sec(t), func() {
					a, b := w.some("controller-"), w.some("controller-")
					switch w.rand.IntN(4) {
					case 0:
						w.Part(map[string]bool{a: true})
					case 1:
						w.Cut(a, b, false)
					case 2:
						w.Freeze(w.owner(), clock.Span(w.rand.Int64N(4e9)))
					case 3:
						w.Part(map[string]bool{w.owner(): true})
					}
				})
				w.At(sec(t+3), w.Heal)
			}
		}},
	{Name: "announced-unheard", About: "a core node does not hear of a leaving, and owns the duty next", Duration: 80e9, MinAnswered: 0.5, Configure: hosted(nil),
		Script: func(w *World) {
			for t := 10.0; t < 62; t += 10 {
				w.At(sec(t), func() {
					o := w.owner()
					for _, p := range w.controllers() {
						if p.name != o {
							w.Part(map[string]bool{p.name: true})
							break
						}
					}
					m := w.host.some()
					w.host.leave(m, 0, 2e9)
					w.onLeaveAcknowledged(m, func() { w.Heal(); w.Restart(o, 2e9) })
				})
			}
		}},
	// An order that gets lost before it comes leaves its server without further orders while the reign
	// lasts: the moment that its fate is told by is put off with every report that is asked for.
	{Name: "announced-orders", About: "one order in twenty gets lost before it comes", Duration: 80e9, MinAnswered: 0.95,
		Configure: hosted(func(h *Hosted) { h.OrderGone, h.Shift = 0.05, 8e9 }), Script: func(w *World) {}},
	// Owners that give the duty back soon after one another order the same server in turns: Settle is
	// shorter than the time within which that is not to be.
	{Name: "announced-turns", About: "owners are stopped as planned soon after one another, while models move", Duration: 80e9, MinAnswered: 0.5,
		Configure: hosted(func(h *Hosted) { h.Shift = 4e9 }),
		Script: func(w *World) {
			for t := 10.0; t < 62; t += 6 {
				w.At(sec(t), func() {
					o := w.owner()
					w.Stop(o)
					w.After(500e6, func() { w.Start(o) })
					var look func()
					look = func() { // the next one is stopped as soon as it has ordered something
						n := w.procs[w.owner()]
						if d, ok := n.core.(*controller.Core).Owns(n.tick(w.now)); !ok || n.name == o || w.Check.batch.owners[d] != n.name {
							if w.now < sec(t+4) {
								w.After(5e6, look)
							}
							return
						}
						w.Stop(n.name)
						w.After(500e6, func() { w.Start(n.name) })
					}
					look()
				})
			}
		}},
	// Leavings are on no disk: the next owner after all of the core was killed takes a server that was
	// acknowledged as leaving just before to stay, until it says so once more.
	{Name: "announced-all-leave", About: "the same while servers leave", Duration: 70e9, MinAnswered: 0.7, Configure: hosted(nil),
		Script: func(w *World) {
			for _, t := range []float64{20, 38} {
				w.At(sec(t), func() { w.host.leave(w.host.some(), 0, 2e9); w.host.leave(w.host.some(), 0, 2e9) })
			}
			w.At(sec(8), func() { // the first plan is in force by then
				for _, p := range w.controllers() {
					p.disk.late = 40e6
				}
			})
			for i, t := range []float64{20, 38} {
				w.At(sec(t), func() {
					on := w.Check.newest(w.now).epoch
					w.PutNumber("controller-1", WithName(w.o.Plan, fmt.Sprintf("last-%d", i), nil), on, on+2, func(controller.Receipt) {
						for i := 1; i <= 3; i++ {
							w.Restart(fmt.Sprintf("controller-%d", i), clock.Span(w.rand.Int64N(1e9)))
						}
					})
				})
			}
			w.At(sec(32), func() { w.Read("controller-2", nil) })
			w.At(sec(60), func() { w.Read("controller-1", nil) })
		}},
	// An adapter whose order was refused is ordered again as it was, though the report that came meanwhile
	// shows that the order of the owner before has taken the last place.
	{Name: "announced-roll-late", About: "core nodes are restarted as planned, one by one, while models move and orders come late", Duration: 90e9, MinAnswered: 0.8,
		Configure: hosted(func(h *Hosted) { h.Shift, h.OrderLoss = 3e9, 0.6 }),
		Script: func(w *World) {
			for t := 10.0; t < 72; t += 4.5 {
				w.At(sec(t), func() {
					o := w.owner()
					w.Stop(o)
					w.After(1e9, func() { w.Start(o) })
				})
			}
		}},
	// Servers that crashed without a word count against what may be loaded for the first ten seconds of
	// every reign, so that after some takeovers nothing is loaded any more.
	{Name: "announced-dead", About: "the owner is killed again and again while servers that crashed are still listed", Duration: 90e9, MinAnswered: 0.95,
		Configure: hosted(func(h *Hosted) { h.Shift = 15e9 }),
		Script: func(w *World) {
			for t := 10.0; t < 74; t += 9 {
				w.At(sec(t), func() {
					m := w.host.some()
					w.host.leave(m, 0, 2e9)
					if w.rand.IntN(2) == 0 {
						w.After(clock.Span(w.rand.Int64N(200e6)), func() { w.Restart(w.owner(), clock.Span(w.rand.Int64N(3e9))) })
						return
					}
					w.onLeaveAcknowledged(m, func() { w.Restart(w.owner(), clock.Span(w.rand.Int64N(3e9))) })
				})
				w.At(sec(t+4), func() { w.host.crash(w.host.some(), 1e9) })
			}
		}},
}
