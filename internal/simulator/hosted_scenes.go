package simulator

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/ident"
)

// hostedOptions sets up a world in which servers announce themselves. A non-nil adjust changes the options of the
// hosting platform.
func hosted(adjust func(h *Hosted)) func(o *Options) {
	return func(o *Options) {
		o.Plan, o.Routers, o.Rates = hostedPlan(), 5, 0.016
		o.Hosted = HostedDefaults()
		if adjust != nil {
			adjust(o.Hosted)
		}
	}
}

// withdrawServers makes random servers leave or crash at a fixed interval. Each is followed by a new server.
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

// newestEpoch returns the newest version that was confirmed to an operator, or 0.
func (w *World) newestEpoch() ident.Epoch {
	if s := w.Check.newest(w.now); s != nil {
		return s.epoch
	}
	return 0
}

// racePlans has two operators submit plans concurrently. Both plans are based on the newest known version and carry
// version numbers that the operators choose.
func (w *World) racePlans(from, to, gap float64) {
	n := 0
	for t := from; t < to; t += gap {
		w.At(sec(t), func() {
			n++
			on := w.newestEpoch()
			for i, a := range []string{"left", "right"} {
				var removeRoutes func(m map[string]any)
				if i == 1 && n%2 == 0 { // a plan without routes for some of the requests
					removeRoutes = func(m map[string]any) { m["routes"] = m["routes"].([]any)[:4] }
				}
				number := on + 1 + ident.Epoch(w.rand.IntN(3))
				w.PutNumber(fmt.Sprintf("controller-%d", 1+(n+i)%3), WithName(w.o.Plan, fmt.Sprintf("%s-%d", a, n), removeRoutes), on, number, nil)
			}
		})
		w.At(sec(t+gap/2), func() { w.Read(w.some("controller-"), nil) })
	}
}

// onLeaveAcknowledged calls then once, as soon as the leaving of a server is acknowledged. The call is dropped if the
// server ends before.
func (w *World) onLeaveAcknowledged(m *machine, then func()) {
	server := m.now
	var check func()
	check = func() {
		switch {
		case server.acked != 0:
			then()
		case !server.ended:
			w.After(1e6, check)
		}
	}
	check()
}

func init() {
	Scenes = append(append(append(append(Scenes, hostedScenes...), regressionScenes...), narrowScenes...), keyScenes...)
}

// hostedScenes are scenes with servers that announce themselves to the core and check no fencing tokens.
var hostedScenes = []Scene{
	{Name: "announced", About: "servers announce themselves and check no fencing tokens; nothing fails", Duration: 50e9, MinAnswered: 0.99, NoAborts: true, Configure: hosted(nil),
		Script: func(w *World) {}},
	{Name: "announced-leave", About: "like announced, and servers leave in an orderly way or at short notice, crash, and return under new ids, also at reused addresses", Duration: 80e9, MinAnswered: 0.95, Configure: hosted(nil),
		Script: func(w *World) { w.withdrawServers(10, 62, 2.5) }},
	{Name: "announced-nameless", About: "some requests to servers with models name no model, while servers leave and models move", Duration: 80e9, MinAnswered: 0.9,
		Configure: func(o *Options) {
			hosted(func(h *Hosted) { h.Nameless, h.Shift = 0.3, 10e9 })(o)
			o.Plan = namelessPlan()
		},
		Script: func(w *World) {
			w.withdrawServers(10, 62, 4)
			w.At(sec(30), func() { w.Restart(w.owner(), 1e9) })
		}},
	{Name: "announced-shift", About: "the requested models shift, so that models are constantly loaded and unloaded", Duration: 80e9, MinAnswered: 0.97,
		Configure: hosted(func(h *Hosted) { h.Shift = 6e9 }), Script: func(w *World) {}},
	{Name: "announced-store", About: "like announced-shift, with a store that permits few loads", Duration: 60e9, MinAnswered: 0.5,
		Configure: func(o *Options) {
			hosted(func(h *Hosted) { h.Shift = 3e9 })(o)
			o.Plan = storePlan(0.2)
		}, Script: func(w *World) {}},
	{Name: "announced-owner", About: "the owner is killed right after it acknowledged that a server leaves, or while a server is leaving", Duration: 90e9, MinAnswered: 0.85,
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
	{Name: "announced-split", About: "the core is partitioned in various ways while models move; servers leave while it is not partitioned", Duration: 90e9, MinAnswered: 0.95,
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
							for _, m := range w.host.machines { // servers still reach the isolated node
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
	{Name: "announced-wipe", About: "core nodes lose their disks one at a time, right after they acknowledged that a server leaves, while plans change", Duration: 100e9, MinAnswered: 0.95, Configure: hosted(nil),
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
	{Name: "announced-late", About: "announcements arrive late, duplicated and out of order, answers to orders get lost, reports are delayed", Duration: 80e9, MinAnswered: 0.8,
		Configure: func(o *Options) {
			hosted(func(h *Hosted) { h.LateOdds, h.OrderLoss, h.ReportLag, h.Shift = 0.5, 0.15, 450e6, 8e9 })(o)
			o.Loss, o.Twice = 0.01, 0.02
		},
		Script: func(w *World) { w.withdrawServers(10, 62, 3) }},
	{Name: "announced-reuse", About: "servers crash constantly, and other servers reuse their addresses soon after", Duration: 70e9, MinAnswered: 0.75,
		Configure: hosted(func(h *Hosted) { h.Reuse = 200e6 }),
		Script: func(w *World) {
			for t := 10.0; t < 52; t += 2 {
				w.At(sec(t), func() { w.host.crash(w.host.some(), 200e6+clock.Span(w.rand.Int64N(1e9))) })
			}
		}},
	{Name: "announced-all", About: "all core nodes are killed at once, right after a plan was acknowledged, and return with their disks", Duration: 70e9, MinAnswered: 0.95, Configure: hosted(nil),
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
	{Name: "announced-alone", About: "routers are cut off from the core and continue with their last known state, while servers leave", Duration: 80e9, MinAnswered: 0.97, Configure: hosted(nil),
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
	{Name: "announced-plans", About: "two operators concurrently submit plans with version numbers of their own, and replies get lost", Duration: 80e9, MinAnswered: 0.97,
		Configure: func(o *Options) { hosted(nil)(o); o.Loss, o.Twice = 0.01, 0.02 },
		Script: func(w *World) {
			w.At(sec(8), func() { w.ReplyLoss = 0.1 })
			w.racePlans(10, 65, 3)
			w.At(sec(30), func() { w.Restart(w.owner(), 1e9) })
		}},
}

// regressionScenes reproduce faults that have been fixed: lost orders, servers whose leaving the next owner did not
// know, orders beyond a server's places, and dead servers that delayed loads.
var regressionScenes = []Scene{
	// A core node that is cut off while the leaving of a server is acknowledged is not notified afterwards. If this
	// node becomes the next owner, it offers the server until silence or the next announcement reveals the server's
	// state.
	{Name: "announced-cut", About: "the core is partitioned in various ways while servers leave and models move", Duration: 90e9, MinAnswered: 0.7,
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
	{Name: "announced-unheard", About: "a core node does not learn that a server leaves, and owns the duty next", Duration: 80e9, MinAnswered: 0.5, Configure: hosted(nil),
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
	// An order lost in transit could block further orders to its server for the rest of the owner's term, because every
	// requested report postponed the time at which the outcome of the order is decided.
	{Name: "announced-orders", About: "one order in twenty is lost in transit", Duration: 80e9, MinAnswered: 0.95,
		Configure: hosted(func(h *Hosted) { h.OrderGone, h.Shift = 0.05, 8e9 }), Script: func(w *World) {}},
	// Owners that release the duty in quick succession send orders to the same server in turns, because Settle is
	// shorter than the time within which two owners must not order the same server.
	{Name: "announced-turns", About: "owners are stopped as planned in quick succession, while models move", Duration: 80e9, MinAnswered: 0.5,
		Configure: hosted(func(h *Hosted) { h.Shift = 4e9 }),
		Script: func(w *World) {
			for t := 10.0; t < 62; t += 6 {
				w.At(sec(t), func() {
					o := w.owner()
					w.Stop(o)
					w.After(500e6, func() { w.Start(o) })
					var check func()
					check = func() { // stops the next owner as soon as it has sent an order
						n := w.procs[w.owner()]
						if d, ok := n.core.(*controller.Core).Owns(n.tick(w.now)); !ok || n.name == o || w.Check.batch.owners[d] != n.name {
							if w.now < sec(t+4) {
								w.After(5e6, check)
							}
							return
						}
						w.Stop(n.name)
						w.After(500e6, func() { w.Start(n.name) })
					}
					check()
				})
			}
		}},
	// That a server leaves is not stored on disk. After all core nodes were killed, the next owner treats a server
	// whose leaving was just acknowledged as staying until the server announces the leaving again.
	{Name: "announced-all-leave", About: "like announced-all, while servers leave", Duration: 70e9, MinAnswered: 0.7, Configure: hosted(nil),
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
	// An adapter whose order was refused was ordered again unchanged, although a report received in between showed that
	// an order of the previous owner had taken the last place.
	{Name: "announced-roll-late", About: "core nodes are restarted as planned, one by one, while models move and orders arrive late", Duration: 90e9, MinAnswered: 0.8,
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
	// Servers that crashed without an announcement counted against the load limit for the first ten seconds of every
	// owner's term, so that nothing was loaded any more after some takeovers.
	{Name: "announced-dead", About: "the owner is killed repeatedly while crashed servers are still listed", Duration: 90e9, MinAnswered: 0.95,
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
