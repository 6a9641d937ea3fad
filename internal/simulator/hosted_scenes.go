package simulator

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/ident"
)

// hostedOptions sets up a world in which servers announce themselves. A non-nil adjust changes the options of the
// hosting platform.
func hostedOptions(adjust func(h *Hosted)) func(o *Options) {
	return func(o *Options) {
		o.Plan, o.Routers, o.ClockRateSpread = hostedPlan(), 5, 0.016
		o.Hosted = DefaultHosted()
		if adjust != nil {
			adjust(o.Hosted)
		}
	}
}

// withdrawServers makes random servers leave or crash at a fixed interval. Each is followed by a new server.
func (w *World) withdrawServers(from, to, gap float64) {
	for t := from; t < to; t += gap {
		w.At(atSecond(t), func() {
			m := w.hosted.randomMachine()
			switch w.rand.IntN(4) {
			case 0:
				w.hosted.startLeaving(m, 400e6+clock.Span(w.rand.Int64N(2e9)), 1500e6) // at short notice
			case 1:
				w.hosted.crashServer(m, clock.Span(w.rand.Int64N(4e9)))
			default:
				w.hosted.startLeaving(m, 0, clock.Span(500e6+w.rand.Int64N(3e9)))
			}
		})
	}
}

// newestEpoch returns the newest version that was confirmed to an operator, or 0.
func (w *World) newestEpoch() ident.Epoch {
	if s := w.Check.latestConfirmed(w.now); s != nil {
		return s.epoch
	}
	return 0
}

// racePlans has two operators submit plans concurrently. Both plans are based on the newest known version and carry
// version numbers that the operators choose.
func (w *World) racePlans(from, to, gap float64) {
	n := 0
	for t := from; t < to; t += gap {
		w.At(atSecond(t), func() {
			n++
			on := w.newestEpoch()
			for i, a := range []string{"left", "right"} {
				var removeRoutes func(m map[string]any)
				if i == 1 && n%2 == 0 { // a plan without routes for some of the requests
					removeRoutes = func(m map[string]any) { m["routes"] = m["routes"].([]any)[:4] }
				}
				number := on + 1 + ident.Epoch(w.rand.IntN(3))
				w.PutNumbered(fmt.Sprintf("controller-%d", 1+(n+i)%3), WithName(w.options.Plan, fmt.Sprintf("%s-%d", a, n), removeRoutes), on, number, nil)
			}
		})
		w.At(atSecond(t+gap/2), func() { w.ReadPlan(w.randomNode("controller-"), nil) })
	}
}

// onLeaveAcknowledged calls then once, as soon as the leaving of a server is acknowledged. The call is dropped if the
// server ends before.
func (w *World) onLeaveAcknowledged(m *machine, then func()) {
	server := m.server
	var check func()
	check = func() {
		switch {
		case server.leaveAckedAt != 0:
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
	{Name: "announced", Description: "servers announce themselves and check no fencing tokens; nothing fails", Duration: 50e9, MinAnswered: 0.99, NoAborts: true, Configure: hostedOptions(nil),
		Script: func(w *World) {}},
	{Name: "announced-leave", Description: "like announced, and servers leave in an orderly way or at short notice, crash, and return under new ids, also at reused addresses", Duration: 80e9, MinAnswered: 0.95, Configure: hostedOptions(nil),
		Script: func(w *World) { w.withdrawServers(10, 62, 2.5) }},
	{Name: "announced-nameless", Description: "some requests to servers with models name no model, while servers leave and models move", Duration: 80e9, MinAnswered: 0.9,
		Configure: func(o *Options) {
			hostedOptions(func(h *Hosted) { h.NoModelShare, h.PopularityShift = 0.3, 10e9 })(o)
			o.Plan = planWithOptionalModel()
		},
		Script: func(w *World) {
			w.withdrawServers(10, 62, 4)
			w.At(atSecond(30), func() { w.Restart(w.owner(), 1e9) })
		}},
	{Name: "announced-shift", Description: "the requested models shift, so that models are constantly loaded and unloaded", Duration: 80e9, MinAnswered: 0.97,
		Configure: hostedOptions(func(h *Hosted) { h.PopularityShift = 6e9 }), Script: func(w *World) {}},
	{Name: "announced-store", Description: "like announced-shift, with a store that permits few loads", Duration: 60e9, MinAnswered: 0.5,
		Configure: func(o *Options) {
			hostedOptions(func(h *Hosted) { h.PopularityShift = 3e9 })(o)
			o.Plan = planWithStoreRate(0.2)
		}, Script: func(w *World) {}},
	{Name: "announced-owner", Description: "the owner is killed right after it acknowledged that a server leaves, or while a server is leaving", Duration: 90e9, MinAnswered: 0.85,
		Configure: hostedOptions(func(h *Hosted) { h.PopularityShift = 15e9 }),
		Script: func(w *World) {
			for t := 10.0; t < 74; t += 9 {
				w.At(atSecond(t), func() {
					m := w.hosted.randomMachine()
					w.hosted.startLeaving(m, 0, 2e9)
					if w.rand.IntN(2) == 0 {
						w.After(clock.Span(w.rand.Int64N(200e6)), func() { w.Restart(w.owner(), clock.Span(w.rand.Int64N(3e9))) })
						return
					}
					w.onLeaveAcknowledged(m, func() { w.Restart(w.owner(), clock.Span(w.rand.Int64N(3e9))) })
				})
				w.At(atSecond(t+4), func() { w.hosted.crashServer(w.hosted.randomMachine(), 1e9) })
			}
		}},
	{Name: "announced-split", Description: "the core is partitioned in various ways while models move; servers leave while it is not partitioned", Duration: 90e9, MinAnswered: 0.95,
		Configure: hostedOptions(func(h *Hosted) { h.PopularityShift = 10e9 }),
		Script: func(w *World) {
			w.withdrawServers(14.5, 70, 8)
			for t := 10.0; t < 70; t += 8 {
				w.At(atSecond(t), func() {
					a, b := w.randomNode("controller-"), w.randomNode("controller-")
					switch w.rand.IntN(5) {
					case 0:
						w.Partition(map[string]bool{a: true})
					case 1:
						w.Cut(a, b, false)
					case 2:
						w.Freeze(w.owner(), clock.Span(w.rand.Int64N(4e9)))
					case 3:
						w.Partition(map[string]bool{w.owner(): true})
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
				w.At(atSecond(t+3), w.Heal)
			}
		}},
	{Name: "announced-roll", Description: "core nodes are restarted as planned, one by one, while models move", Duration: 90e9, MinAnswered: 0.97,
		Configure: hostedOptions(func(h *Hosted) { h.PopularityShift = 3e9 }),
		Script: func(w *World) {
			for t := 10.0; t < 72; t += 4.5 {
				w.At(atSecond(t), func() {
					o := w.owner()
					w.Stop(o)
					w.After(1e9, func() { w.Start(o) })
				})
			}
		}},
	{Name: "announced-minority", Description: "servers leave while a core node other than the owner is cut off from the rest", Duration: 80e9, MinAnswered: 0.98, Configure: hostedOptions(nil),
		Script: func(w *World) {
			for t := 10.0; t < 62; t += 9 {
				w.At(atSecond(t), func() {
					o := w.owner()
					for _, p := range w.controllers() {
						if p.name != o {
							w.Partition(map[string]bool{p.name: true})
							for _, m := range w.hosted.machines { // servers still reach the isolated node
								delete(w.cuts, [2]string{m.name, p.machine})
								delete(w.cuts, [2]string{p.machine, m.name})
							}
							break
						}
					}
				})
				w.At(atSecond(t+0.1), func() { w.hosted.startLeaving(w.hosted.randomMachine(), 0, 2e9) })
				w.At(atSecond(t+0.2), func() { w.hosted.startLeaving(w.hosted.randomMachine(), 0, 2e9) })
				w.At(atSecond(t+4), w.Heal)
			}
		}},
	{Name: "announced-wipe", Description: "core nodes lose their disks one at a time, right after they acknowledged that a server leaves, while plans change", Duration: 100e9, MinAnswered: 0.95, Configure: hostedOptions(nil),
		Script: func(w *World) {
			w.racePlans(9, 85, 9)
			wipe := func() {
				v := w.randomNode("controller-")
				w.Kill(v)
				w.Wipe(v)
				w.After(clock.Span(w.rand.Int64N(1e9)), func() { w.Start(v) })
			}
			for t := 12.0; t < 80; t += 12 {
				w.At(atSecond(t), func() {
					m := w.hosted.randomMachine()
					w.hosted.startLeaving(m, 0, 2e9)
					w.onLeaveAcknowledged(m, wipe)
				})
			}
		}},
	{Name: "announced-late", Description: "announcements arrive late, duplicated and out of order, answers to orders get lost, reports are delayed", Duration: 80e9, MinAnswered: 0.8,
		Configure: func(o *Options) {
			hostedOptions(func(h *Hosted) {
				h.LateAnnouncementOdds, h.OrderFaultOdds, h.ReportLag, h.PopularityShift = 0.5, 0.15, 450e6, 8e9
			})(o)
			o.LossOdds, o.DuplicateOdds = 0.01, 0.02
		},
		Script: func(w *World) { w.withdrawServers(10, 62, 3) }},
	{Name: "announced-reuse", Description: "servers crash constantly, and other servers reuse their addresses soon after", Duration: 70e9, MinAnswered: 0.75,
		Configure: hostedOptions(func(h *Hosted) { h.AddressReuse = 200e6 }),
		Script: func(w *World) {
			for t := 10.0; t < 52; t += 2 {
				w.At(atSecond(t), func() { w.hosted.crashServer(w.hosted.randomMachine(), 200e6+clock.Span(w.rand.Int64N(1e9))) })
			}
		}},
	{Name: "announced-all", Description: "all core nodes are killed at once, right after a plan was acknowledged, and return with their disks", Duration: 70e9, MinAnswered: 0.95, Configure: hostedOptions(nil),
		Script: func(w *World) {
			w.withdrawServers(10, 17, 3)
			w.withdrawServers(27, 33, 3)
			w.withdrawServers(45, 52, 3)
			w.At(atSecond(8), func() { // the first plan is in force by then
				for _, p := range w.controllers() {
					p.disk.syncDelay = 40e6
				}
			})
			for i, t := range []float64{20, 38} {
				w.At(atSecond(t), func() {
					on := w.Check.latestConfirmed(w.now).epoch
					w.PutNumbered("controller-1", WithName(w.options.Plan, fmt.Sprintf("last-%d", i), nil), on, on+2, func(controller.Receipt) {
						for i := 1; i <= 3; i++ {
							w.Restart(fmt.Sprintf("controller-%d", i), clock.Span(w.rand.Int64N(1e9)))
						}
					})
				})
			}
			w.At(atSecond(32), func() { w.ReadPlan("controller-2", nil) })
			w.At(atSecond(60), func() { w.ReadPlan("controller-1", nil) })
		}},
	{Name: "announced-alone", Description: "routers are cut off from the core and continue with their last known state, while servers leave", Duration: 80e9, MinAnswered: 0.97, Configure: hostedOptions(nil),
		Script: func(w *World) {
			w.withdrawServers(10, 62, 4)
			for t := 11.0; t < 62; t += 9 {
				w.At(atSecond(t), func() {
					r := fmt.Sprintf("router-%d", 1+w.rand.IntN(w.options.Routers))
					for _, b := range w.machineNames() {
						if isCore(b) || w.rand.IntN(2) == 0 && b != r && len(b) > 6 && b[:6] == "router" {
							w.Cut(r, b, true)
						}
					}
				})
				w.At(atSecond(t+5), w.Heal)
			}
		}},
	{Name: "announced-plans", Description: "two operators concurrently submit plans with version numbers of their own, and replies get lost", Duration: 80e9, MinAnswered: 0.97,
		Configure: func(o *Options) { hostedOptions(nil)(o); o.LossOdds, o.DuplicateOdds = 0.01, 0.02 },
		Script: func(w *World) {
			w.At(atSecond(8), func() { w.ReplyLossOdds = 0.1 })
			w.racePlans(10, 65, 3)
			w.At(atSecond(30), func() { w.Restart(w.owner(), 1e9) })
		}},
}

// regressionScenes reproduce faults that have been fixed: lost orders, servers whose leaving the next owner did not
// know, orders beyond a server's places, and dead servers that delayed loads.
var regressionScenes = []Scene{
	// A core node that is cut off while the leaving of a server is acknowledged is not notified afterwards. If this
	// node becomes the next owner, it offers the server until silence or the next announcement reveals the server's
	// state.
	{Name: "announced-cut", Description: "the core is partitioned in various ways while servers leave and models move", Duration: 90e9, MinAnswered: 0.7,
		Configure: hostedOptions(func(h *Hosted) { h.PopularityShift = 10e9 }),
		Script: func(w *World) {
			w.withdrawServers(10, 70, 4)
			for t := 10.0; t < 70; t += 8 {
				w.At(atSecond(t), func() {
					a, b := w.randomNode("controller-"), w.randomNode("controller-")
					switch w.rand.IntN(4) {
					case 0:
						w.Partition(map[string]bool{a: true})
					case 1:
						w.Cut(a, b, false)
					case 2:
						w.Freeze(w.owner(), clock.Span(w.rand.Int64N(4e9)))
					case 3:
						w.Partition(map[string]bool{w.owner(): true})
					}
				})
				w.At(atSecond(t+3), w.Heal)
			}
		}},
	{Name: "announced-unheard", Description: "a core node does not learn that a server leaves, and owns the duty next", Duration: 80e9, MinAnswered: 0.5, Configure: hostedOptions(nil),
		Script: func(w *World) {
			for t := 10.0; t < 62; t += 10 {
				w.At(atSecond(t), func() {
					o := w.owner()
					for _, p := range w.controllers() {
						if p.name != o {
							w.Partition(map[string]bool{p.name: true})
							break
						}
					}
					m := w.hosted.randomMachine()
					w.hosted.startLeaving(m, 0, 2e9)
					w.onLeaveAcknowledged(m, func() { w.Heal(); w.Restart(o, 2e9) })
				})
			}
		}},
	// An order lost in transit could block further orders to its server for the rest of the owner's term, because every
	// requested report postponed the time at which the outcome of the order is decided.
	{Name: "announced-orders", Description: "one order in twenty is lost in transit", Duration: 80e9, MinAnswered: 0.95,
		Configure: hostedOptions(func(h *Hosted) { h.OrderLossOdds, h.PopularityShift = 0.05, 8e9 }), Script: func(w *World) {}},
	// Owners that release the duty in quick succession send orders to the same server in turns, because Settle is
	// shorter than the time within which two owners must not order the same server.
	{Name: "announced-turns", Description: "owners are stopped as planned in quick succession, while models move", Duration: 80e9, MinAnswered: 0.5,
		Configure: hostedOptions(func(h *Hosted) { h.PopularityShift = 4e9 }),
		Script: func(w *World) {
			for t := 10.0; t < 62; t += 6 {
				w.At(atSecond(t), func() {
					o := w.owner()
					w.Stop(o)
					w.After(500e6, func() { w.Start(o) })
					var check func()
					check = func() { // stops the next owner as soon as it has sent an order
						n := w.procs[w.owner()]
						if d, ok := n.core.(*controller.Core).Owns(n.localTime(w.now)); !ok || n.name == o || w.Check.hosted.leadersByTerm[d] != n.name {
							if w.now < atSecond(t+4) {
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
	{Name: "announced-all-leave", Description: "like announced-all, while servers leave", Duration: 70e9, MinAnswered: 0.7, Configure: hostedOptions(nil),
		Script: func(w *World) {
			for _, t := range []float64{20, 38} {
				w.At(atSecond(t), func() {
					w.hosted.startLeaving(w.hosted.randomMachine(), 0, 2e9)
					w.hosted.startLeaving(w.hosted.randomMachine(), 0, 2e9)
				})
			}
			w.At(atSecond(8), func() { // the first plan is in force by then
				for _, p := range w.controllers() {
					p.disk.syncDelay = 40e6
				}
			})
			for i, t := range []float64{20, 38} {
				w.At(atSecond(t), func() {
					on := w.Check.latestConfirmed(w.now).epoch
					w.PutNumbered("controller-1", WithName(w.options.Plan, fmt.Sprintf("last-%d", i), nil), on, on+2, func(controller.Receipt) {
						for i := 1; i <= 3; i++ {
							w.Restart(fmt.Sprintf("controller-%d", i), clock.Span(w.rand.Int64N(1e9)))
						}
					})
				})
			}
			w.At(atSecond(32), func() { w.ReadPlan("controller-2", nil) })
			w.At(atSecond(60), func() { w.ReadPlan("controller-1", nil) })
		}},
	// An adapter whose order was refused was ordered again unchanged, although a report received in between showed that
	// an order of the previous owner had taken the last place.
	{Name: "announced-roll-late", Description: "core nodes are restarted as planned, one by one, while models move and orders arrive late", Duration: 90e9, MinAnswered: 0.8,
		Configure: hostedOptions(func(h *Hosted) { h.PopularityShift, h.OrderFaultOdds = 3e9, 0.6 }),
		Script: func(w *World) {
			for t := 10.0; t < 72; t += 4.5 {
				w.At(atSecond(t), func() {
					o := w.owner()
					w.Stop(o)
					w.After(1e9, func() { w.Start(o) })
				})
			}
		}},
	// Servers that crashed without an announcement counted against the load limit for the first ten seconds of every
	// owner's term, so that nothing was loaded any more after some takeovers.
	{Name: "announced-dead", Description: "the owner is killed repeatedly while crashed servers are still listed", Duration: 90e9, MinAnswered: 0.95,
		Configure: hostedOptions(func(h *Hosted) { h.PopularityShift = 15e9 }),
		Script: func(w *World) {
			for t := 10.0; t < 74; t += 9 {
				w.At(atSecond(t), func() {
					m := w.hosted.randomMachine()
					w.hosted.startLeaving(m, 0, 2e9)
					if w.rand.IntN(2) == 0 {
						w.After(clock.Span(w.rand.Int64N(200e6)), func() { w.Restart(w.owner(), clock.Span(w.rand.Int64N(3e9))) })
						return
					}
					w.onLeaveAcknowledged(m, func() { w.Restart(w.owner(), clock.Span(w.rand.Int64N(3e9))) })
				})
				w.At(atSecond(t+4), func() { w.hosted.crashServer(w.hosted.randomMachine(), 1e9) })
			}
		}},
}
