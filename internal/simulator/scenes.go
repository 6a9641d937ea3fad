package simulator

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/failure"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
	"tidedeck/internal/standin"
)

// Scene is a scripted run of a simulated deployment with a set of failures.
type Scene struct {
	Name        string
	Description string
	Duration    clock.Span
	RequestRate float64 // requests per second, 60 if zero
	MinAnswered float64 // minimum share of valid requests that must be answered
	NoAborts    bool    // no answer may be cut off or unclear, because all events in the scene are planned
	Configure   func(o *Options)
	Script      func(w *World)
}

// Run runs the scene and returns the world at its end with the statistics of the run.
func (s Scene) Run(o Options) (*World, Stats) {
	if s.Configure != nil {
		s.Configure(&o)
	}
	w := New(o)
	w.After(1500e6, func() { w.putFirstPlan(o.Plan) })
	next := w.requestSource()
	rate := s.RequestRate
	if rate == 0 {
		rate = 60
	}
	w.GenerateTraffic(6e9, s.Duration-12e9, rate, next)
	s.Script(w)
	w.Run(s.Duration)
	seen := w.Check.Finish()
	valid := seen.Requests
	for _, k := range denialKinds {
		valid -= seen.Kinds[string(k)] // the checker verifies each denial separately
	}
	if answered := float64(seen.Answered); answered < s.MinAnswered*float64(valid) {
		w.Check.violationf("only %d of %d proper requests were answered", seen.Answered, valid)
	}
	if s.NoAborts && seen.Cut+seen.Unclear > 0 {
		w.Check.violationf("%d answers were cut off or unclear although all events were planned", seen.Cut+seen.Unclear)
	}
	return w, seen
}

// putFirstPlan submits the first plan and retries until it is accepted.
func (w *World) putFirstPlan(raw []byte) {
	then := func(r controller.Receipt) {
		if r.Kind != failure.None {
			w.After(200e6, func() { w.putFirstPlan(raw) })
		}
	}
	if w.hosted != nil {
		w.PutNumbered("controller-2", raw, 0, 1, then)
		return
	}
	w.PutPlan("controller-2", raw, 0, true, then)
}

// GenerateTraffic sends requests at an average rate from one time to another.
func (w *World) GenerateTraffic(from, to clock.Span, rate float64, next func() standin.Request) {
	gap := clock.Span(1e9 / rate)
	var send func()
	send = func() {
		if w.now >= clock.Instant(to) {
			return
		}
		w.Ask(next(), false)
		w.After(gap/2+clock.Span(w.rand.Int64N(int64(gap))), send)
	}
	w.At(clock.Instant(from), send)
}

// WithName returns a plan under another name, so that the checkers can distinguish plans. A non-nil edit changes the
// plan further.
func WithName(raw []byte, name string, edit func(m map[string]any)) []byte {
	var m map[string]any
	if err := json.Unmarshal(raw, &m); err != nil {
		panic(err)
	}
	m["name"] = name
	if edit != nil {
		edit(m)
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// withoutModel returns an edit of a plan that removes a model, its adapters, and their entries in the services.
func withoutModel(base string) func(m map[string]any) {
	return func(m map[string]any) {
		removed := map[any]bool{base: true}
		delete(m["models"].(map[string]any), base)
		adapters := m["adapters"].(map[string]any)
		for a, v := range adapters {
			if v.(map[string]any)["base"] == base {
				removed[a] = true
				delete(adapters, a)
			}
		}
		for _, v := range m["services"].(map[string]any) {
			s := v.(map[string]any)
			for _, f := range []string{"models", "adapters"} {
				var kept []any
				for _, x := range s[f].([]any) {
					if !removed[x] {
						kept = append(kept, x)
					}
				}
				s[f] = kept
			}
		}
	}
}

// simulationStart is the wall-clock time at which a simulation starts.
var simulationStart = time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)

// atSecond converts seconds since the start of the simulation to a tick.
func atSecond(n float64) clock.Instant { return clock.Instant(n * 1e9) }

// randomNode returns a random process whose name has the given prefix.
func (w *World) randomNode(prefix string) string {
	var names []string
	for _, n := range w.procNames {
		if strings.HasPrefix(n, prefix) {
			names = append(names, n)
		}
	}
	return names[w.rand.IntN(len(names))]
}

// owner returns the name of the duty's owner, or controller-1 if no core node owns the duty.
func (w *World) owner() string {
	for _, p := range w.controllers() {
		if _, ok := p.core.(*controller.Core).Owns(p.localTime(w.now)); ok {
			return p.name
		}
	}
	return "controller-1"
}

// setServerState changes a server's state at the platform.
func (w *World) setServerState(s, state string) {
	w.platform.Mark(ident.Server(s), state)
	w.tracef("platform: %s is %s", s, state)
	if state == "live" {
		w.Check.MarkAvailable(s)
	} else {
		w.Check.MarkUnavailable(s)
	}
}

// crashServer kills a server and restarts it empty after a delay.
func (w *World) crashServer(s string, delay clock.Span) {
	w.Kill(s)
	w.Check.MarkUnavailable(s)
	w.After(delay, func() { w.Start(s); w.Check.MarkAvailable(s) })
}

// failServers makes a random server crash, freeze, restart quickly or leave every 4 s.
func (w *World) failServers(from, to float64) {
	for t := from; t < to; t += 4 {
		w.At(atSecond(t), func() {
			s := w.randomNode("server-")
			if _, ok := w.Check.unavailableSince[s]; ok || !w.procs[s].up {
				return
			}
			switch w.rand.IntN(4) {
			case 0:
				w.crashServer(s, clock.Span(w.rand.Int64N(6e9)))
			case 1:
				d := clock.Span(2e9 + w.rand.Int64N(6e9))
				w.Freeze(s, d)
				w.Check.MarkUnavailable(s)
				w.After(d, func() { w.Check.MarkAvailable(s) })
			case 2:
				w.crashServer(s, 20e6)
			case 3:
				w.setServerState(s, "leaving")
				w.After(4e9, func() { w.Kill(s) })
				w.After(8e9, func() { w.Start(s); w.setServerState(s, "live") })
			}
		})
	}
}

// shiftDemand sends requests for three rare models, and other ones every 4 s, so that keys must be moved.
func (w *World) shiftDemand(from, to float64, rate float64) {
	m := standin.NewWorkload(w.plan, w.options.Seed+7)
	for t := from; t < to; t += 4 {
		rare := []standin.Request{m.NextRare(), m.NextRare(), m.NextRare()}
		w.GenerateTraffic(clock.Span(t*1e9), clock.Span((t+4)*1e9), rate, func() standin.Request { return m.Fill(rare[w.rand.IntN(len(rare))]) })
	}
}

// smallServers gives servers so little room that keys must be unloaded often.
func smallServers(o *Options) { o.Room = 44 }

// putPlans submits a plan with a new name at a fixed interval, and reads the plan in between.
func (w *World) putPlans(from, to, gap float64) {
	n := 0
	for t := from; t < to; t += gap {
		n++
		name := fmt.Sprintf("plan-%d", n)
		w.At(atSecond(t), func() { w.PutPlan(w.randomNode("controller-"), WithName(w.options.Plan, name, nil), 0, true, nil) })
		w.At(atSecond(t+gap/2), func() { w.ReadPlan(w.randomNode("controller-"), nil) })
	}
}

// Scenes lists all scenes.
var Scenes = []Scene{
	{Name: "calm", Description: "nothing fails", Duration: 40e9, MinAnswered: 0.995, NoAborts: true, Script: func(w *World) {}},
	{Name: "moves", Description: "rare models are requested in turn on servers with little room, so that keys are constantly unloaded", Duration: 70e9, MinAnswered: 0.98, NoAborts: true, Configure: smallServers,
		Script: func(w *World) { w.shiftDemand(8, 56, 20) }},
	{Name: "moves-cut", Description: "like moves, while routers are frozen and cut off with stale leases and messages get lost", Duration: 80e9, MinAnswered: 0.97,
		Configure: func(o *Options) { smallServers(o); o.LossOdds, o.DuplicateOdds = 0.02, 0.02 },
		Script: func(w *World) {
			w.shiftDemand(8, 60, 20)
			for t := 10.0; t < 60; t += 3 {
				w.At(atSecond(t), func() {
					switch w.rand.IntN(4) {
					case 0:
						w.Freeze(w.randomNode("router-"), clock.Span(w.rand.Int64N(4e9)))
					case 1:
						w.Freeze(w.randomNode("agent-"), clock.Span(w.rand.Int64N(4e9)))
					case 2: // the whole machine
						n, d := w.rand.IntN(w.options.Routers)+1, clock.Span(w.rand.Int64N(4e9))
						w.Freeze(fmt.Sprintf("router-%d", n), d)
						w.Freeze(fmt.Sprintf("agent-%d", n), d)
					case 3:
						r := fmt.Sprintf("router-%d", 1+w.rand.IntN(w.options.Routers))
						for i := 1; i <= 3; i++ {
							w.Cut(r, fmt.Sprintf("controller-%d", i), w.rand.IntN(2) == 0)
							if w.rand.IntN(2) == 0 {
								w.Cut(fmt.Sprintf("controller-%d", i), r, false)
							}
						}
						w.After(clock.Span(1e9+w.rand.Int64N(5e9)), w.Heal)
					}
				})
			}
		}},
	{Name: "moves-owner", Description: "keys move while the duty's owner is killed, frozen and cut off", Duration: 90e9, MinAnswered: 0.97, Configure: smallServers,
		Script: func(w *World) {
			w.shiftDemand(8, 70, 20)
			for t := 12.0; t < 70; t += 7 {
				w.At(atSecond(t), func() {
					o := w.owner()
					switch w.rand.IntN(3) {
					case 0:
						w.Restart(o, clock.Span(w.rand.Int64N(3e9)))
					case 1:
						w.Freeze(o, clock.Span(w.rand.Int64N(5e9)))
					case 2:
						w.Partition(map[string]bool{o: true})
						w.After(clock.Span(w.rand.Int64N(5e9)), w.Heal)
					}
				})
			}
		}},
	{Name: "servers", Description: "servers crash, stop responding, restart empty, and are withdrawn at short notice", Duration: 80e9, MinAnswered: 0.96,
		Script: func(w *World) { w.failServers(10, 60) }},
	{Name: "servers-cut", Description: "like servers, while routers are cut off from the core and frozen, and the owner is killed", Duration: 80e9, MinAnswered: 0.95,
		Configure: func(o *Options) { o.LossOdds, o.DuplicateOdds = 0.01, 0.01 },
		Script: func(w *World) {
			w.failServers(10, 60)
			for t := 9.5; t < 60; t += 4 {
				w.At(atSecond(t), func() {
					switch w.rand.IntN(4) {
					case 0:
						w.Freeze(w.randomNode("router-"), clock.Span(w.rand.Int64N(4e9)))
					case 1:
						w.Restart(w.owner(), 1e9)
					default:
						r := fmt.Sprintf("router-%d", 1+w.rand.IntN(w.options.Routers))
						for _, b := range w.machineNames() {
							if b != r && !strings.HasPrefix(b, "server-") && b != "platform" {
								w.Cut(r, b, w.rand.IntN(2) == 0)
							}
						}
						w.After(3500e6, w.Heal)
					}
				})
			}
		}},
	{Name: "roll", Description: "servers are replaced one by one, each drained first", Duration: 110e9, MinAnswered: 0.995, NoAborts: true,
		Script: (*World).replaceServers},
	{Name: "roll-core", Description: "core nodes and agents are restarted one by one, as planned, while keys move and plans change", Duration: 80e9, MinAnswered: 0.99, NoAborts: true, Configure: smallServers,
		Script: func(w *World) {
			w.shiftDemand(8, 60, 15)
			w.putPlans(9, 66, 4)
			for i, t := 0, 12.0; t < 60; i, t = i+1, t+6 {
				n := fmt.Sprintf("controller-%d", 1+i%3)
				w.At(atSecond(t), func() { w.Stop(n) })
				w.At(atSecond(t+1), func() { w.Start(n) })
				w.At(atSecond(t+3), func() { w.Restart(fmt.Sprintf("agent-%d", 1+i%w.options.Routers), 200e6) })
			}
		}},
	{Name: "routers", Description: "single routers, agents and core nodes are killed and restarted", Duration: 70e9, MinAnswered: 0.95,
		Script: func(w *World) {
			w.putPlans(9, 56, 5)
			for t := 10.0; t < 55; t += 2 {
				w.At(atSecond(t), func() {
					w.Restart(w.randomNode([]string{"router-", "agent-", "controller-"}[w.rand.IntN(3)]), clock.Span(w.rand.Int64N(2e9)))
				})
			}
		}},
	{Name: "plans", Description: "plans change quickly, two operators submit plans concurrently, replies get lost, messages arrive late and duplicated", Duration: 70e9, MinAnswered: 0.99, NoAborts: true,
		Configure: func(o *Options) { o.LossOdds, o.DuplicateOdds = 0.03, 0.05 },
		Script: func(w *World) {
			w.At(atSecond(8), func() { w.ReplyLossOdds = 0.1 }) // the first plan is in force before traffic begins
			n := 0
			for t := 10.0; t < 55; t += 3 {
				w.At(atSecond(t), func() {
					n++
					base := ident.Epoch(0)
					if s := w.Check.latestConfirmed(w.now); s != nil {
						base = s.epoch
					}
					for i, a := range []string{"left", "right"} {
						name := fmt.Sprintf("%s-%d", a, n)
						w.PutPlan(fmt.Sprintf("controller-%d", 1+(n+i)%3), WithName(w.options.Plan, name, nil), base, false, nil)
					}
				})
				w.At(atSecond(t+1.5), func() { w.ReadPlan(w.randomNode("controller-"), nil) })
			}
			// Some requests are for routes, adapters or kinds that the plan never allows.
			m := standin.NewWorkload(w.plan, w.options.Seed+5)
			w.GenerateTraffic(9e9, 55e9, 1, func() standin.Request {
				a := m.Next()
				switch w.rand.IntN(3) {
				case 0:
					a.Route = "/v1/nowhere"
				case 1:
					a.Call.Adapter = "nobody"
				case 2:
					a.Call.Kind = "unheard"
				}
				return a
			})
		}},
	{Name: "grow", Description: "the plan gains many routes and at times loses another, while routers are frozen and cut off", Duration: 70e9, MinAnswered: 0.96,
		Script: func(w *World) {
			withRoutes := func(n int, removeOne bool) func(m map[string]any) {
				return func(m map[string]any) {
					r := m["routes"].(map[string]any)
					for i := range n {
						r[fmt.Sprintf("/v1/more-%d", i)] = r[w.routeName(0)]
					}
					if removeOne {
						delete(r, w.routeName(1))
					}
				}
			}
			for i, t := 0, 12.0; t < 55; i, t = i+1, t+5 {
				w.At(atSecond(t), func() {
					w.PutPlan(w.randomNode("controller-"), WithName(w.options.Plan, fmt.Sprintf("grown-%d", i), withRoutes(i*40, i%2 == 1)), 0, true, nil)
				})
				w.At(atSecond(t-0.5), func() {
					if w.rand.IntN(2) == 0 {
						w.Freeze(w.randomNode("router-"), clock.Span(w.rand.Int64N(4e9)))
						return
					}
					r := fmt.Sprintf("router-%d", 1+w.rand.IntN(w.options.Routers))
					for j := 1; j <= 3; j++ {
						w.Cut(fmt.Sprintf("controller-%d", j), r, false)
					}
					for j := 1; j <= w.options.Routers; j++ {
						if o := fmt.Sprintf("router-%d", j); o != r && w.rand.IntN(2) == 0 {
							w.Cut(o, r, true)
						}
					}
					w.After(4e9, w.Heal)
				})
			}
		}},
	{Name: "zones", Description: "zones are emptied and refilled while servers are withdrawn one by one and routers freeze", Duration: 80e9, MinAnswered: 0.995, NoAborts: true,
		Script: func(w *World) {
			for i, t := 0, 12.0; t < 60; i, t = i+1, t+12 {
				z := ident.Zone([]string{"za", "zb", "zc"}[i%3])
				w.At(atSecond(t), func() { w.ChangeZone(w.randomNode("controller-"), "empty", z, nil) })
				w.At(atSecond(t+7), func() { w.ChangeZone(w.randomNode("controller-"), "refill", z, nil) })
				w.At(atSecond(t+0.2), func() { w.Freeze(w.randomNode("router-"), 1500e6) })
				s := fmt.Sprintf("server-%d", 1+i%w.options.Servers)
				w.At(atSecond(t+1), func() { w.setServerState(s, "leaving") })
				w.At(atSecond(t+9), func() { w.setServerState(s, "live") })
			}
		}},
	{Name: "core", Description: "the core is partitioned in various ways, also in one direction only, and heals, while plans change", Duration: 90e9, MinAnswered: 0.94,
		Configure: func(o *Options) { o.LossOdds, o.DuplicateOdds = 0.02, 0.02 },
		Script: func(w *World) {
			w.At(atSecond(8), func() { w.ReplyLossOdds = 0.1 }) // the first plan is in force before traffic begins
			w.putPlans(9, 70, 2)
			for t := 10.0; t < 70; t += 5 {
				w.At(atSecond(t), func() {
					a, b := w.randomNode("controller-"), w.randomNode("controller-")
					switch w.rand.IntN(4) {
					case 0:
						w.Partition(map[string]bool{a: true})
					case 1:
						w.Cut(a, b, false)
					case 2:
						w.Cut("controller-1", "controller-2", true)
						w.Cut("controller-2", "controller-3", true)
						w.Cut("controller-1", "controller-3", true)
					case 3:
						w.Freeze(a, clock.Span(w.rand.Int64N(4e9)))
					}
				})
				w.At(atSecond(t+3), w.Heal)
			}
		}},
	{Name: "disks", Description: "core nodes lose their disks one at a time, lose power right after a confirmation, and disks stall", Duration: 100e9, MinAnswered: 0.98,
		Script: func(w *World) {
			n := 0
			var change func()
			change = func() {
				if w.now > atSecond(80) {
					return
				}
				n++
				w.PutPlan(w.randomNode("controller-"), WithName(w.options.Plan, fmt.Sprintf("kept-%d", n), nil), 0, true, func(r controller.Receipt) {
					v := w.randomNode("controller-")
					switch w.rand.IntN(3) {
					case 0: // power loss right after the confirmation
						w.Restart(v, clock.Span(w.rand.Int64N(2e9)))
					case 1: // loss of power and disk
						w.Kill(v)
						w.Wipe(v)
						w.After(clock.Span(w.rand.Int64N(1e9)), func() { w.Start(v) })
					case 2:
						w.procs[v].disk.stalledUntil = w.now.Add(clock.Span(w.rand.Int64N(3e9)))
					}
					w.After(500e6, func() { w.ReadPlan(w.randomNode("controller-"), nil) })
					w.After(7e9, change)
				})
			}
			w.At(atSecond(9), change)
		}},
	{Name: "power", Description: "all machines but model servers lose power right after a confirmation, and restart", Duration: 60e9, MinAnswered: 0.9,
		Script: func(w *World) {
			for _, p := range w.controllers() {
				p.disk.syncDelay = 40e6
			}
			w.At(atSecond(20), func() {
				w.PutPlan("controller-1", WithName(w.options.Plan, "last", nil), 0, true, func(r controller.Receipt) { w.restartAll(false, 2e9) })
			})
			w.At(atSecond(30), func() { w.ReadPlan("controller-3", nil) })
			w.At(atSecond(45), func() { w.ReadPlan("controller-1", nil) })
		}},
	{Name: "ruin", Description: "all core disks are lost at once; agents still hold the plan", Duration: 60e9, MinAnswered: 0.98,
		Script: func(w *World) {
			w.At(atSecond(20), func() {
				w.Check.markDisksLost()
				for i := 1; i <= 3; i++ {
					n := fmt.Sprintf("controller-%d", i)
					w.Kill(n)
					w.Wipe(n)
					w.After(clock.Span(w.rand.Int64N(1e9)), func() { w.Start(n) })
				}
				w.Check.healedAt = w.now.Add(1e9)
			})
			w.At(atSecond(45), func() {
				w.ReadPlan("controller-1", func(r controller.Receipt) {
					if r.Kind != failure.None || string(r.Plan) != string(w.options.Plan) {
						w.Check.violationf("the agents' plan did not come back: %q %d bytes", r.Kind, len(r.Plan))
					}
				})
			})
		}},
	{Name: "replace", Description: "a core machine is replaced by an empty one at a new address, then another", Duration: 100e9, MinAnswered: 0.99,
		Script: func(w *World) {
			w.putPlans(9, 85, 4)
			for i, t := range []float64{15, 50} {
				w.At(atSecond(t), func() {
					w.Kill(fmt.Sprintf("controller-%d", 3-i))
					w.AddSpareController(fmt.Sprintf("controller-%d", 4+i), ident.Zone([]string{"zc", "zb"}[i]))
				})
			}
			w.At(atSecond(85), func() { w.checkCoreReady("the replacement") })
		}},
	{Name: "crowd", Description: "bursts of requests arrive for one rare model at a time, and servers are cold", Duration: 70e9, MinAnswered: 0.5,
		Script: func(w *World) {
			m := standin.NewWorkload(w.plan, w.options.Seed+3)
			for t := 10.0; t < 50; t += 10 {
				a := m.NextRare()
				w.GenerateTraffic(clock.Span(t*1e9), clock.Span((t+2)*1e9), 400, func() standin.Request { return m.Fill(a) })
				w.At(atSecond(t+1), func() { w.crashServer(w.randomNode("server-"), 1e9) })
			}
		}},
	{Name: "storm", Description: "servers fail one after another under load, so that many requests need retries", Duration: 60e9, RequestRate: 200, MinAnswered: 0.7,
		Script: func(w *World) {
			for t := 10.0; t < 45; t += 1.5 {
				w.At(atSecond(t), func() {
					s := w.randomNode("server-")
					if w.procs[s].up {
						w.crashServer(s, 800e6)
					}
				})
			}
		}},
	{Name: "zone-loss", Description: "a whole zone is lost: core node, routers and servers", Duration: 70e9, MinAnswered: 0.97,
		Script: func(w *World) {
			w.At(atSecond(20), func() {
				for _, n := range w.procNames {
					if p := w.procs[n]; p.zone == "zc" {
						w.Kill(n)
						if p.server != "" {
							w.Check.MarkUnavailable(n)
						}
					}
				}
			})
		}},
	{Name: "lag", Description: "routers pause between the last check and the send", Duration: 70e9, MinAnswered: 0.94, Configure: smallServers,
		Script: func(w *World) {
			w.SendLagOdds, w.SendLag = 0.04, 6e9
			w.shiftDemand(8, 56, 20)
			for i, t := 0, 12.0; t < 50; i, t = i+1, t+6 {
				s, z := fmt.Sprintf("server-%d", 1+i%w.options.Servers), ident.Zone([]string{"za", "zb", "zc"}[i%3])
				w.At(atSecond(t), func() { w.setServerState(s, "leaving") })
				w.At(atSecond(t+5), func() { w.setServerState(s, "live") })
				w.At(atSecond(t+1), func() { w.ChangeZone(w.randomNode("controller-"), "empty", z, nil) })
				w.At(atSecond(t+5.8), func() { w.ChangeZone(w.randomNode("controller-"), "refill", z, nil) })
			}
		}},
	{Name: "again", Description: "callers whose connection broke repeat the request with the same id at another router, although it may have run", Duration: 70e9, MinAnswered: 0.85,
		Script: func(w *World) {
			w.CallerRepeatOdds = 0.8
			for t := 12.0; t < 50; t += 2 {
				w.At(atSecond(t), func() {
					if w.rand.IntN(4) == 0 {
						w.crashServer(w.randomNode("server-"), 2e9)
						return
					}
					w.Restart(w.randomNode("router-"), clock.Span(w.rand.Int64N(2e9)))
				})
				w.At(atSecond(t+1), func() { w.ResetOdds = 0.1 })
				w.At(atSecond(t+1.5), func() { w.ResetOdds = 0 })
			}
		}},
	{Name: "dead", Description: "a third of the servers crashes at once, so that every router calls crashed ones, and routers are restarted", Duration: 60e9, MinAnswered: 0.9, RequestRate: 120,
		Script: func(w *World) {
			for _, t := range []float64{12, 24, 36} {
				w.At(atSecond(t), func() {
					n := w.rand.IntN(3)
					for i := range w.options.Servers / 3 {
						w.crashServer(fmt.Sprintf("server-%d", 1+3*i+n), 4e9)
					}
				})
				w.At(atSecond(t+1), func() { w.Restart(w.randomNode("router-"), 300e6) })
				w.At(atSecond(t+2), func() { w.Restart(w.randomNode("router-"), 300e6) })
			}
		}},
	{Name: "medley", Description: "many kinds of failures combined", Duration: 100e9, MinAnswered: 0.8,
		Configure: func(o *Options) { smallServers(o); o.LossOdds, o.DuplicateOdds = 0.02, 0.02 },
		Script: func(w *World) {
			w.shiftDemand(8, 80, 15)
			w.putPlans(9, 80, 6)
			w.SendLagOdds, w.SendLag = 0.005, 3e9
			w.CallerRepeatOdds = 0.5
			for t := 10.0; t < 80; t += 2 {
				w.At(atSecond(t), func() {
					switch w.rand.IntN(8) {
					case 0:
						w.Restart(w.randomNode("router-"), clock.Span(w.rand.Int64N(2e9)))
					case 1:
						w.Restart(w.randomNode("agent-"), clock.Span(w.rand.Int64N(2e9)))
					case 2:
						w.Restart(w.randomNode("controller-"), clock.Span(w.rand.Int64N(2e9)))
					case 3:
						if s := w.randomNode("server-"); w.procs[s].up {
							w.crashServer(s, clock.Span(w.rand.Int64N(3e9)))
						}
					case 4:
						w.Freeze(w.randomNode("router-"), clock.Span(w.rand.Int64N(4e9)))
					case 5:
						w.Freeze(w.randomNode("controller-"), clock.Span(w.rand.Int64N(4e9)))
					case 6:
						w.Partition(map[string]bool{w.randomNode("controller-"): true})
						w.After(2e9, w.Heal)
					case 7:
						z := ident.Zone([]string{"za", "zb", "zc"}[w.rand.IntN(3)])
						w.ChangeZone(w.randomNode("controller-"), "empty", z, nil)
						w.After(5e9, func() { w.ChangeZone(w.randomNode("controller-"), "refill", z, nil) })
					}
				})
			}
		}},
	{Name: "clocks", Description: "wall clocks of all processes jump, also backwards before restarts, and monotonic clock rates differ up to the permitted margin", Duration: 90e9, MinAnswered: 0.93,
		Configure: func(o *Options) { smallServers(o); o.ClockRateSpread = 0.036 },
		Script: func(w *World) {
			w.shiftDemand(8, 70, 15)
			w.putPlans(9, 75, 5)
			for t := 10.0; t < 72; t += 3 {
				w.At(atSecond(t), func() {
					for range 3 {
						w.procs[w.procNames[w.rand.IntN(len(w.procNames))]].wallOffset = time.Duration(w.rand.Int64N(4e12) - 2e12)
					}
					n := w.randomNode([]string{"router-", "agent-", "agent-", "controller-", "server-"}[w.rand.IntN(5)])
					if w.procs[n].server != "" {
						w.crashServer(n, clock.Span(w.rand.Int64N(2e9)))
						return
					}
					w.Restart(n, clock.Span(w.rand.Int64N(1e9)))
				})
			}
		}},
	{Name: "ruin-clocks", Description: "all core disks are lost, the core's clocks are set back, and all agents restart: only routers still have the plan", Duration: 70e9, MinAnswered: 0.98,
		Script: func(w *World) {
			w.At(atSecond(20), func() {
				w.Check.markDisksLost()
				for i := 1; i <= 3; i++ {
					n := fmt.Sprintf("controller-%d", i)
					w.Kill(n)
					w.Wipe(n)
					w.procs[n].wallOffset = -3000 * time.Second
					w.After(200e6, func() { w.Start(n) })
				}
				for i := 1; i <= w.options.Routers; i++ {
					w.Restart(fmt.Sprintf("agent-%d", i), 50e6)
				}
			})
			w.At(atSecond(26), func() {
				w.ReadPlan("controller-1", func(r controller.Receipt) {
					if r.Kind != failure.None || string(r.Plan) != string(w.options.Plan) {
						w.Check.violationf("the routers' plan did not come back: %q %d bytes", r.Kind, len(r.Plan))
					}
				})
			})
			w.At(atSecond(28), func() { w.PutPlan("controller-1", WithName(w.options.Plan, "afresh", nil), 0, true, nil) })
			w.At(atSecond(45), func() {
				for _, p := range w.Routers() {
					if n := p.core.(*router.Core).PlanName(); n != "afresh" {
						w.Check.violationf("%s applies plan %q after the core was formed anew", p.name, n)
					}
				}
			})
		}},
	{Name: "platform", Description: "the platform does not answer, or returns empty, wrong or partial lists, across takeovers and a full outage", Duration: 100e9, MinAnswered: 0.9,
		Script: func(w *World) {
			alterations := []func(l []protocol.ListedServer) []protocol.ListedServer{
				func([]protocol.ListedServer) []protocol.ListedServer { return nil },
				func(l []protocol.ListedServer) []protocol.ListedServer { return l[:len(l)/3] },
				func(l []protocol.ListedServer) []protocol.ListedServer { return append(l, l[0]) },
				func(l []protocol.ListedServer) []protocol.ListedServer { l[0].State = "resting"; return l },
				func(l []protocol.ListedServer) []protocol.ListedServer { l[1].Addr = ""; return l },
			}
			for i, t := 0, 12.0; t < 60; i, t = i+1, t+8 {
				w.At(atSecond(t), func() {
					if w.platformUp = i%6 != 0; w.platformUp {
						w.AlterServerList = alterations[i%6-1]
					}
				})
				w.At(atSecond(t+1), func() { w.Restart(w.owner(), 2e9) })
				w.At(atSecond(t+6), func() { w.AlterServerList, w.platformUp = nil, true })
			}
			w.At(atSecond(64), func() { w.platformUp = false })
			w.At(atSecond(66), func() { w.restartAll(false, 2e9) })
			w.At(atSecond(85), func() { w.platformUp = true })
		}},
	{Name: "blind", Description: "the owner reaches the core and the routers, but not the servers or the platform for a long time", Duration: 80e9, MinAnswered: 0.97,
		Script: func(w *World) {
			for i, t := 0, 12.0; t < 60; i, t = i+1, t+16 {
				w.At(atSecond(t), func() {
					o := w.owner()
					for _, b := range w.machineNames() {
						if b == "platform" && i%2 == 0 || strings.HasPrefix(b, "server-") && i < 2 {
							w.Cut(o, b, true)
						}
					}
					w.After(11e9, func() {
						if n := w.owner(); n == o {
							w.Check.violationf("%s kept the duty, although it could not serve it", o)
						}
						w.Heal()
					})
				})
			}
		}},
	{Name: "exchange", Description: "all three seed machines are replaced by empty ones one after another while the core is partitioned, then agents restart with partly outdated seeds", Duration: 130e9, MinAnswered: 0.97,
		Script: func(w *World) {
			w.putPlans(9, 115, 5)
			for i := 1; i <= 3; i++ {
				t := float64(15 + 25*(i-1))
				w.At(atSecond(t), func() {
					if i == 3 {
						w.Seeds = []string{"controller-4", "controller-2", "controller-3"} // after this replacement none of the first nodes is left
					}
					w.Kill(fmt.Sprintf("controller-%d", i))
					w.AddSpareController(fmt.Sprintf("controller-%d", 3+i), w.procs[fmt.Sprintf("controller-%d", i)].zone)
				})
				// While the new node waits for admission, it or another node is cut off for a while.
				w.At(atSecond(t+4), func() {
					w.Partition(map[string]bool{fmt.Sprintf("controller-%d", 3+i): i%2 == 1, fmt.Sprintf("controller-%d", 1+i%3): i%2 == 0})
				})
				w.At(atSecond(t+9), w.Heal)
			}
			for i := 1; i <= w.options.Routers; i++ {
				w.At(atSecond(92+2*float64(i)), func() {
					w.Drain(fmt.Sprintf("router-%d", i))
					w.Restart(fmt.Sprintf("agent-%d", i), 200e6)
				})
			}
			w.At(atSecond(118), func() { w.checkCoreReady("the exchange") })
		}},
	{Name: "zone-each", Description: "each zone is lost in turn, the owner's included, while a plan is submitted or another zone is being emptied, and returns", Duration: 110e9, MinAnswered: 0.9,
		Script: func(w *World) {
			zones := []ident.Zone{"za", "zb", "zc"}
			for i, z := range zones {
				t := 14 + 28*float64(i)
				w.At(atSecond(t-0.05), func() {
					w.PutPlan(w.randomNode("controller-"), WithName(w.options.Plan, fmt.Sprintf("as-%s-goes", z), nil), 0, true, nil)
					if i == 1 {
						w.ChangeZone("controller-1", "empty", zones[(i+1)%3], nil)
						w.After(6e9, func() { w.ChangeZone("controller-1", "refill", zones[(i+1)%3], nil) })
					}
				})
				w.At(atSecond(t)+clock.Instant(w.rand.Int64N(60e6)), func() {
					w.tracef("zone %s is lost", z)
					for _, n := range w.procNames {
						if p := w.procs[n]; p.zone == z && p.up {
							w.Kill(n)
							if p.server != "" {
								w.Check.MarkUnavailable(n)
							}
							w.After(12e9, func() { w.Start(n); w.Check.MarkAvailable(n) })
						}
					}
				})
				w.At(atSecond(t+8), func() { w.ReadPlan(fmt.Sprintf("controller-%d", 1+(i+1)%3), nil) })
			}
		}},
	{Name: "rolls", Description: "routers, agents, core nodes and servers are all restarted one by one as planned, during long streams, plan changes and takeovers", Duration: 150e9, MinAnswered: 0.98, NoAborts: true, RequestRate: 40,
		Script: func(w *World) {
			m := standin.NewWorkload(w.plan, w.options.Seed+13)
			w.GenerateTraffic(8e9, 125e9, 4, func() standin.Request {
				a := m.Next()
				a.Call.MaxTokens = 200 + w.rand.IntN(300)
				return a
			})
			w.putPlans(9, 130, 7)
			for i := 1; i <= w.options.Routers; i++ {
				w.At(atSecond(10+13*float64(i-1)), func() { w.Drain(fmt.Sprintf("router-%d", i)) })
				w.At(atSecond(16+13*float64(i-1)), func() { w.Restart(fmt.Sprintf("agent-%d", i), 200e6) })
			}
			for i := range w.options.Servers {
				s := fmt.Sprintf("server-%d", i+1)
				var stop func()
				stop = func() {
					if w.procs[s].core.(*standin.Server).Active() > 0 {
						w.After(200e6, stop) // the operator waits until the server is idle
						return
					}
					w.Kill(s)
					w.After(300e6, func() { w.Start(s); w.setServerState(s, "live") })
				}
				w.At(atSecond(12+13*float64(i)), func() { w.setServerState(s, "leaving"); w.After(4e9, stop) })
			}
			for i, t := 0, 14.0; t < 120; i, t = i+1, t+9 {
				n := fmt.Sprintf("controller-%d", 1+i%3)
				w.At(atSecond(t), func() { w.Stop(n) })
				w.At(atSecond(t+1.5), func() { w.Start(n) })
			}
		}},
	{Name: "mangled", Description: "servers send events that are malformed, late, duplicated, missing, or from another answer", Duration: 60e9, MinAnswered: 0.5,
		Script: func(w *World) {
			w.At(atSecond(10), func() { w.MangleOdds = 0.02 })
			w.At(atSecond(40), func() { w.MangleOdds = 0 })
		}},
	{Name: "mixed", Description: "servers differ in room, slots and speed, and are replaced one by one", Duration: 110e9, MinAnswered: 0.99, NoAborts: true, Configure: func(o *Options) { o.MixedServers = true },
		Script: (*World).replaceServers},
	{Name: "shifts", Description: "keys move constantly to balance servers, while owners are killed, frozen and cut off, servers crash and are withdrawn, the store slows down, plans drop keys and routers freeze", Duration: 110e9, MinAnswered: 0.95,
		Configure: func(o *Options) {
			o.Controller.RebalanceInterval, o.Controller.MinResidence, o.Controller.MinImbalance, o.Room = 300e6, 500e6, 0.1, 80
		},
		Script: func(w *World) {
			w.shiftDemand(8, 90, 10)
			rate := w.store.Rate
			for t := 10.0; t < 90; t += 1.5 {
				w.At(atSecond(t), func() {
					s := w.randomNode("server-")
					_, unavailable := w.Check.unavailableSince[s]
					o := w.owner()
					switch w.rand.IntN(9) {
					case 0:
						w.Restart(o, clock.Span(w.rand.Int64N(2e9)))
					case 1:
						w.Freeze(o, clock.Span(w.rand.Int64N(4e9)))
					case 2:
						w.Partition(map[string]bool{o: true})
						w.After(clock.Span(w.rand.Int64N(3e9)), w.Heal)
					case 3:
						if !unavailable && w.procs[s].up {
							w.crashServer(s, clock.Span(w.rand.Int64N(2e9)))
						}
					case 4, 5:
						if !unavailable && w.procs[s].up {
							w.setServerState(s, "leaving")
							w.After(clock.Span(2e9+w.rand.Int64N(3e9)), func() { w.setServerState(s, "live") })
						}
					case 6:
						w.store.Rate = rate / 6
						w.After(3e9, func() { w.store.Rate = rate })
					case 7:
						w.Freeze(w.randomNode("router-"), clock.Span(w.rand.Int64N(4e9)))
					case 8:
						m := standin.NewWorkload(w.plan, w.rand.Uint64()).NextRare()
						w.PutPlan(w.randomNode("controller-"), WithName(w.options.Plan, fmt.Sprintf("less-%d", w.lastAdmin), withoutModel(m.Call.Model)), 0, true, nil)
						w.After(3e9, func() {
							w.PutPlan(w.randomNode("controller-"), WithName(w.options.Plan, fmt.Sprintf("again-%d", w.lastAdmin), nil), 0, true, nil)
						})
					}
				})
			}
		}},
	{Name: "return", Description: "a zone is lost, returns empty, and takes its share again: keys with a floor of two are ready in two zones", Duration: 120e9, MinAnswered: 0.97,
		Script: func(w *World) {
			w.At(atSecond(14), func() {
				for _, n := range w.procNames {
					if p := w.procs[n]; p.zone == "zb" && p.server != "" {
						w.crashServer(n, 15e9)
					}
				}
			})
			w.At(atSecond(118), func() {
				zones := map[ident.Key]map[ident.Zone]bool{}
				low, high := 1.0, 0.0
				for _, n := range w.procNames {
					v, ok := w.procs[n].core.(*standin.Server)
					if !ok {
						continue
					}
					share := float64(v.Used()) / float64(w.room(n))
					low, high = min(low, share), max(high, share)
					for k, h := range v.Held() {
						if zones[k] == nil {
							zones[k] = map[ident.Zone]bool{}
						}
						zones[k][w.procs[n].zone] = zones[k][w.procs[n].zone] || h.Stage == "ready"
					}
				}
				for k, m := range w.plan.Models {
					if m.MinReplicas > 1 && len(zones[k]) < 2 {
						w.Check.violationf("%s has a floor of %d and is ready in %d zones", k, m.MinReplicas, len(zones[k]))
					}
				}
				if high-low > 0.5 {
					w.Check.violationf("servers remain unevenly filled: from %.2f to %.2f", low, high)
				}
			})
		}},
	{Name: "odd", Description: "servers send inconsistent reports: more held than there is room, negative or huge sizes, duplicate and empty keys", Duration: 70e9, MinAnswered: 0.9, Configure: smallServers,
		Script: func(w *World) {
			w.shiftDemand(8, 56, 15)
			alterations := []func(r *protocol.ServerReport){
				func(r *protocol.ServerReport) { r.Held[0].Size = -1000 },
				func(r *protocol.ServerReport) { r.Held[0].Size = 1 << 62 },
				func(r *protocol.ServerReport) { r.Held = append(r.Held, r.Held[0]) },
				func(r *protocol.ServerReport) { r.Held[0].Key = "" },
				func(r *protocol.ServerReport) { r.Room = -r.Room },
				func(r *protocol.ServerReport) { r.Room, r.Slots = 1, 0 },
				func(r *protocol.ServerReport) { r.Held[0].Active = -5 },
				func(r *protocol.ServerReport) { r.Held[0].Stage = "melted" },
			}
			w.At(atSecond(12), func() {
				w.AlterReport = func(r protocol.ServerReport) protocol.ServerReport {
					n := int(w.now/5e9) % len(alterations)
					if int(r.Server[len(r.Server)-1])%3 == n%3 && len(r.Held) > 0 {
						r.Held = append([]protocol.HeldKey{}, r.Held...)
						alterations[n](&r)
					}
					return r
				}
			})
			w.At(atSecond(52), func() { w.AlterReport = nil })
			w.At(atSecond(60), func() {
				n := uint64(0)
				for _, p := range w.controllers() {
					n += p.core.(*controller.Core).Counts().Odd
				}
				if n == 0 {
					w.Check.violationf("no core node counted an inconsistent report")
				}
			})
		}},
	{Name: "sweep", Description: "a core node is cut off while a plan is accepted, and reconnected: its disk has the plan soon, although there are no further changes", Duration: 60e9, MinAnswered: 0.99,
		Script: func(w *World) {
			storedEpoch := func(n string) (e ident.Epoch) {
				var stored struct{ Value protocol.Desired }
				_ = json.Unmarshal(w.procs[n].disk.synced["accepted"], &stored)
				return stored.Value.Epoch
			}
			for i, t := range []float64{12, 34} {
				n := fmt.Sprintf("controller-%d", 3-i)
				w.At(atSecond(t), func() { w.Partition(map[string]bool{n: true}) })
				w.At(atSecond(t+1), func() {
					w.PutPlan("controller-1", WithName(w.options.Plan, fmt.Sprintf("missed-%d", i), nil), 0, true, nil)
				})
				w.At(atSecond(t+4), w.Heal)
				w.At(atSecond(t+20), func() {
					if a, b := storedEpoch(n), storedEpoch("controller-1"); a != b {
						w.Check.violationf("the disk of %s still has epoch %d, not %d", n, a, b)
					}
				})
			}
		}},
	{Name: "spare", Description: "a spare core node runs while core nodes are restarted, planned and unplanned: no restart costs a node its seat", Duration: 80e9, MinAnswered: 0.99,
		Script: func(w *World) {
			w.At(atSecond(9), func() { w.AddSpareController("controller-4", "za") })
			w.putPlans(10, 60, 6)
			for i, t := 0, 14.0; t < 60; i, t = i+1, t+9 {
				n := fmt.Sprintf("controller-%d", 1+i%3)
				w.At(atSecond(t), func() {
					if w.rand.IntN(2) == 0 {
						w.Restart(n, clock.Span(1e9+w.rand.Int64N(3e9)))
						return
					}
					w.Stop(n)
					w.After(3e9, func() { w.Start(n) })
				})
			}
			w.At(atSecond(79), func() {
				if w.Check.Stats.VoterChanges > 0 {
					w.Check.violationf("a seat was given away for a restart")
				}
			})
		}},
	{Name: "night", Description: "there are hardly any requests, and servers crash one after another", Duration: 120e9, MinAnswered: 0.93, RequestRate: 1,
		Script: func(w *World) {
			for t := 10.0; t < 100; t += 6 {
				w.At(atSecond(t), func() {
					if s := w.randomNode("server-"); w.procs[s].up {
						w.crashServer(s, 3e9)
					}
				})
			}
		}},
	{Name: "unplan", Description: "plans remove and restore models that are in use by long answers, while routers pause", Duration: 90e9, MinAnswered: 0.9, RequestRate: 40, NoAborts: true,
		Script: func(w *World) {
			m := standin.NewWorkload(w.plan, w.options.Seed+11)
			w.DialOdds, w.DialDelay = 0.1, 450e6
			for i, t := 0, 14.0; t < 70; i, t = i+1, t+8 {
				a := m.NextRare()
				for a.Call.Adapter != "" {
					a = m.NextRare()
				}
				w.GenerateTraffic(clock.Span((t-5)*1e9), clock.Span((t+0.1)*1e9), 60, func() standin.Request {
					b := m.Fill(a)
					b.Call.MaxTokens = 20 + w.rand.IntN(200)
					return b
				})
				w.At(atSecond(t), func() {
					w.PutPlan(w.randomNode("controller-"), WithName(w.options.Plan, fmt.Sprintf("less-%d", i), withoutModel(a.Call.Model)), 0, true, nil)
					w.Freeze(w.randomNode("router-"), clock.Span(w.rand.Int64N(5e9)))
					w.Freeze(w.randomNode("router-"), clock.Span(w.rand.Int64N(5e9)))
				})
				w.At(atSecond(t+5), func() {
					w.PutPlan(w.randomNode("controller-"), WithName(w.options.Plan, fmt.Sprintf("again-%d", i), nil), 0, true, nil)
				})
			}
		}},
	{Name: "flap", Description: "half of all connections break before the first event, so that many requests need retries", Duration: 60e9, MinAnswered: 0.7,
		Script: func(w *World) {
			w.At(atSecond(15), func() { w.ResetOdds = 0.5 })
			w.At(atSecond(40), func() { w.ResetOdds = 0 })
		}},
	{Name: "amnesia", Description: "a plan is accepted while a core node is cut off, then another node loses its disk and only these two are connected", Duration: 90e9, MinAnswered: 0.97,
		Script: func(w *World) {
			for i, t := 0, 12.0; t < 70; i, t = i+1, t+18 {
				a, b, c := fmt.Sprintf("controller-%d", 1+i%3), fmt.Sprintf("controller-%d", 1+(i+1)%3), fmt.Sprintf("controller-%d", 1+(i+2)%3)
				w.At(atSecond(t), func() {
					w.Cut(c, a, true)
					w.Cut(c, b, true)
				})
				w.At(atSecond(t+0.2), func() {
					w.PutPlan(a, WithName(w.options.Plan, fmt.Sprintf("known-%d", i), nil), 0, true, func(controller.Receipt) {
						w.Kill(a)
						w.Kill(b)
						w.Wipe(b)
						w.Heal()
						w.Start(b)
						w.After(1e9, func() { w.ReadPlan(c, nil) })
						w.After(2e9, func() { w.ReadPlan(b, nil) })
						w.After(4e9, func() { w.Start(a) })
						w.After(9e9, func() { w.ReadPlan(b, nil) })
					})
				})
			}
		}},
	{Name: "fence", Description: "the duty's owner is cut off from the core, but not from the routers, while a plan is accepted", Duration: 70e9, MinAnswered: 0.99,
		Script: func(w *World) {
			for i, t := 0, 12.0; t < 55; i, t = i+1, t+8 {
				w.At(atSecond(t), func() {
					o, other := w.owner(), ""
					for _, p := range w.controllers() {
						if p.name != o {
							w.Cut(o, p.name, true)
							other = p.name
						}
					}
					w.After(100e6, func() { w.PutPlan(other, WithName(w.options.Plan, fmt.Sprintf("past-%d", i), nil), 0, true, nil) })
				})
				w.At(atSecond(t+5), w.Heal)
			}
		}},
	{Name: "fence-apart", Description: "like fence, at drawn moments, and the routers reach no core node but the owner", Duration: 150e9, MinAnswered: 0.5,
		Script: func(w *World) {
			for i, t := 0, 12.0; t < 138; i, t = i+1, t+7 {
				start := t + w.rand.Float64()
				w.At(atSecond(start), func() {
					other := w.isolateWithRouters(w.owner())
					w.After(1e6, func() { w.PutPlan(other, WithName(w.options.Plan, fmt.Sprintf("past-%d", i), nil), 0, true, nil) })
				})
				w.At(atSecond(start+4.5), w.Heal)
			}
		}},
	{Name: "windows", Description: "maintenance windows of a server and a zone are respected, and then wall clocks jump in both directions", Duration: 90e9, MinAnswered: 0.995, NoAborts: true,
		Configure: func(o *Options) { o.Controller.DrainLead = 5e9 },
		Script: func(w *World) {
			at := func(n float64) string { return simulationStart.Add(time.Duration(n * 1e9)).Format("20060102T150405Z") }
			event := func(uid int, location string, from, to float64) string {
				return fmt.Sprintf("BEGIN:VEVENT\r\nUID:%d\r\nDTSTAMP:20260101T000000Z\r\nLOCATION:%s\r\nDTSTART:%s\r\nDTEND:%s\r\nEND:VEVENT\r\n", uid, location, at(from), at(to))
			}
			calendar := "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:x\r\n" + event(1, "server server-1", 25, 35) + event(2, "zone zb", 40, 50) + "END:VCALENDAR\r\n"
			w.At(atSecond(10), func() {
				w.submitChange("controller-2", controller.Admin{Op: "windows", Raw: []byte(calendar), Any: true}, nil)
			})
			// The lead time is for draining: from the start of the window itself, no new requests may reach the
			// servers.
			expectClosed := func(s string, from, to float64) {
				w.At(atSecond(from-maxGoneLag/1e9), func() { w.Check.MarkUnavailable(s) })
				w.At(atSecond(to), func() { w.Check.MarkAvailable(s) })
			}
			expectClosed("server-1", 25, 35)
			for i := 2; i <= w.options.Servers; i += 3 {
				expectClosed(fmt.Sprintf("server-%d", i), 40, 50)
			}
			for t := 52.0; t < 75; t += 3 {
				w.At(atSecond(t), func() { w.procs[w.randomNode("controller-")].wallOffset = time.Duration(w.rand.Int64N(4e12) - 2e12) })
			}
		}},
	{Name: "far", Description: "machines are 30 ms apart, messages get lost, keys move, plans change, servers fail and the owner is killed", Duration: 90e9, MinAnswered: 0.92,
		Configure: func(o *Options) { smallServers(o); o.ExtraLatency, o.LossOdds, o.DuplicateOdds = 30e6, 0.01, 0.02 },
		Script: func(w *World) {
			w.shiftDemand(8, 70, 15)
			w.putPlans(9, 70, 5)
			w.failServers(12, 65)
			for t := 14.0; t < 70; t += 11 {
				w.At(atSecond(t), func() { w.Restart(w.owner(), 2e9) })
				w.At(atSecond(t+5), func() { w.Freeze(w.randomNode("router-"), clock.Span(w.rand.Int64N(4e9))) })
			}
		}},
	{Name: "blackout", Description: "all processes are killed at once and restart, model servers empty", Duration: 60e9, MinAnswered: 0.87,
		Script: func(w *World) { w.At(atSecond(20), func() { w.restartAll(true, 3e9) }) }},
}

// replaceServers restarts the servers one after another, each drained first.
func (w *World) replaceServers() {
	for i := range w.options.Servers {
		s := fmt.Sprintf("server-%d", i+1)
		w.At(atSecond(10+9*float64(i)), func() { w.setServerState(s, "leaving") })
		w.At(atSecond(17+9*float64(i)), func() { w.Kill(s) })
		w.At(atSecond(17.2+9*float64(i)), func() { w.Start(s); w.setServerState(s, "live") })
	}
}

// checkCoreReady checks that at least three core nodes are ready after the named event.
func (w *World) checkCoreReady(event string) {
	n := 0
	for _, p := range w.controllers() {
		if p.core.(*controller.Core).Ready() {
			n++
		}
	}
	if n < 3 {
		w.Check.violationf("only %d core nodes are ready after %s", n, event)
	}
}

// routeName returns the name of the plan's route with the given index in sorted order.
func (w *World) routeName(n int) string {
	var names []string
	for r := range w.plan.Routes {
		names = append(names, r)
	}
	sort.Strings(names)
	return names[n]
}

// restartAll kills all processes but the store and restarts them after a delay. It spares model servers unless
// servers is set.
func (w *World) restartAll(servers bool, delay clock.Span) {
	for _, n := range w.procNames {
		if n == "store" || !servers && w.procs[n].server != "" {
			continue
		}
		w.Kill(n)
		w.After(delay, func() { w.Start(n) })
	}
	w.Check.healedAt = w.now.Add(delay)
}

// AddSpareController starts an empty core node at a new address.
func (w *World) AddSpareController(name string, z ident.Zone) {
	w.addController(name, z, w.seeds())
	w.Start(name)
}

// FindScene returns the scene with the given name.
func FindScene(name string) (Scene, bool) {
	for _, s := range Scenes {
		if s.Name == name {
			return s, true
		}
	}
	return Scene{}, false
}
