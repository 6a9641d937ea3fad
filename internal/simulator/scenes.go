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

// Scene is one way for things to fail.
type Scene struct {
	Name        string
	About       string
	Duration    clock.Span
	RequestRate float64 // requests a second
	MinAnswered float64 // of the proper requests, answered at the least
	NoAborts    bool    // nothing may be cut or unclear: every change in it is planned
	Configure   func(o *Options)
	Script      func(w *World)
}

// Run runs a scene from a seed.
func (s Scene) Run(o Options) (*World, Seen) {
	if s.Configure != nil {
		s.Configure(&o)
	}
	w := New(o)
	w.After(1500e6, func() { w.putFirstPlan(o.Plan) })
	next := w.mix()
	rate := s.RequestRate
	if rate == 0 {
		rate = 60
	}
	w.GenerateTraffic(6e9, s.Duration-12e9, rate, next)
	s.Script(w)
	w.Run(s.Duration)
	seen := w.Check.Finish()
	proper := seen.Asked
	for _, k := range denials {
		proper -= seen.Kinds[string(k)] // whether these were rightly turned away is checked one by one
	}
	if a := float64(seen.Answered); a < s.MinAnswered*float64(proper) {
		w.Check.bad("only %d of %d proper requests were answered", seen.Answered, proper)
	}
	if s.NoAborts && seen.Cut+seen.Unclear > 0 {
		w.Check.bad("%d answers were cut or unclear though all that happened was planned", seen.Cut+seen.Unclear)
	}
	return w, seen
}

// first hands over the first plan, again and again until it is taken.
func (w *World) putFirstPlan(raw []byte) {
	then := func(r controller.Receipt) {
		if r.Kind != failure.None {
			w.After(200e6, func() { w.putFirstPlan(raw) })
		}
	}
	if w.host != nil {
		w.PutNumber("controller-2", raw, 0, 1, then)
		return
	}
	w.PutPlan("controller-2", raw, 0, true, then)
}

// Traffic asks at a rate from a moment to another.
func (w *World) GenerateTraffic(from, to clock.Span, rate float64, next func() standin.Ask) {
	gap := clock.Span(1e9 / rate)
	var one func()
	one = func() {
		if w.now >= clock.Tick(to) {
			return
		}
		w.Ask(next(), false)
		w.After(gap/2+clock.Span(w.rand.Int64N(int64(gap))), one)
	}
	w.At(clock.Tick(from), one)
}

// Named gives the plan another name, so that the routers' plans can be told apart.
func WithName(raw []byte, name string, more func(m map[string]any)) []byte {
	var m map[string]any
	if err := json.Unmarshal(raw, &m); err != nil {
		panic(err)
	}
	m["name"] = name
	if more != nil {
		more(m)
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// without makes a plan lose a model, its adapters, and what they leave empty.
func withoutModel(base string) func(m map[string]any) {
	return func(m map[string]any) {
		gone := map[any]bool{base: true}
		delete(m["models"].(map[string]any), base)
		ad := m["adapters"].(map[string]any)
		for a, v := range ad {
			if v.(map[string]any)["base"] == base {
				gone[a] = true
				delete(ad, a)
			}
		}
		for _, v := range m["services"].(map[string]any) {
			s := v.(map[string]any)
			for _, f := range []string{"models", "adapters"} {
				var l []any
				for _, x := range s[f].([]any) {
					if !gone[x] {
						l = append(l, x)
					}
				}
				s[f] = l
			}
		}
	}
}

// dawn is the wall time at which a world begins.
var dawn = time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)

func sec(n float64) clock.Tick { return clock.Tick(n * 1e9) }

func (w *World) some(prefix string) string {
	var l []string
	for _, n := range w.order {
		if strings.HasPrefix(n, prefix) {
			l = append(l, n)
		}
	}
	return l[w.rand.IntN(len(l))]
}

func (w *World) owner() string {
	for _, p := range w.controllers() {
		if _, ok := p.core.(*controller.Core).Owns(p.tick(w.now)); ok {
			return p.name
		}
	}
	return "controller-1"
}

// mark changes a server's state at the platform.
func (w *World) setServerState(s, state string) {
	w.plat.Mark(ident.Server(s), state)
	w.tracef("platform: %s is %s", s, state)
	if state == "live" {
		w.Check.Mend(s)
	} else {
		w.Check.Fault(s)
	}
}

// crash kills a server and starts it, empty, a while later.
func (w *World) crashServer(s string, after clock.Span) {
	w.Kill(s)
	w.Check.Fault(s)
	w.After(after, func() { w.Start(s); w.Check.Mend(s) })
}

// wear makes servers fail in every way, one after another.
func (w *World) failServers(from, to float64) {
	for t := from; t < to; t += 4 {
		w.At(sec(t), func() {
			s := w.some("server-")
			if _, ok := w.Check.gone[s]; ok || !w.procs[s].up {
				return
			}
			switch w.rand.IntN(4) {
			case 0:
				w.crashServer(s, clock.Span(w.rand.Int64N(6e9)))
			case 1:
				d := clock.Span(2e9 + w.rand.Int64N(6e9))
				w.Freeze(s, d)
				w.Check.Fault(s)
				w.After(d, func() { w.Check.Mend(s) })
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

// churn changes what is asked for, so that keys must move: rare ones come in turns.
func (w *World) shiftDemand(from, to float64, rate float64) {
	m := standin.NewMix(w.plan, w.o.Seed+7)
	for t := from; t < to; t += 4 {
		a := []standin.Ask{m.Rare(), m.Rare(), m.Rare()}
		w.GenerateTraffic(clock.Span(t*1e9), clock.Span((t+4)*1e9), rate, func() standin.Ask { return m.Of(a[w.rand.IntN(len(a))]) })
	}
}

func smallServers(o *Options) { o.Room = 44 }

// plans hands over a plan every while, each under a name of its own.
func (w *World) putPlans(from, to, gap float64) {
	n := 0
	for t := from; t < to; t += gap {
		n++
		name := fmt.Sprintf("plan-%d", n)
		w.At(sec(t), func() { w.PutPlan(w.some("controller-"), WithName(w.o.Plan, name, nil), 0, true, nil) })
		w.At(sec(t+gap/2), func() { w.Read(w.some("controller-"), nil) })
	}
}

// Scenes is every scene, by name.
var Scenes = []Scene{
	{Name: "calm", About: "nothing fails", Duration: 40e9, MinAnswered: 0.995, NoAborts: true, Script: func(w *World) {}},
	{Name: "moves", About: "rare models come in turns on tight servers, so that keys are unloaded all the time", Duration: 70e9, MinAnswered: 0.98, NoAborts: true, Configure: smallServers,
		Script: func(w *World) { w.shiftDemand(8, 56, 20) }},
	{Name: "moves-cut", About: "the same, while routers are frozen and cut off with stale holds and messages get lost", Duration: 80e9, MinAnswered: 0.97,
		Configure: func(o *Options) { smallServers(o); o.Loss, o.Twice = 0.02, 0.02 },
		Script: func(w *World) {
			w.shiftDemand(8, 60, 20)
			for t := 10.0; t < 60; t += 3 {
				w.At(sec(t), func() {
					switch w.rand.IntN(4) {
					case 0:
						w.Freeze(w.some("router-"), clock.Span(w.rand.Int64N(4e9)))
					case 1:
						w.Freeze(w.some("agent-"), clock.Span(w.rand.Int64N(4e9)))
					case 2: // the whole machine
						n, d := w.rand.IntN(w.o.Routers)+1, clock.Span(w.rand.Int64N(4e9))
						w.Freeze(fmt.Sprintf("router-%d", n), d)
						w.Freeze(fmt.Sprintf("agent-%d", n), d)
					case 3:
						r := fmt.Sprintf("router-%d", 1+w.rand.IntN(w.o.Routers))
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
	{Name: "moves-owner", About: "keys move while the duty's owner is killed, frozen and cut off", Duration: 90e9, MinAnswered: 0.97, Configure: smallServers,
		Script: func(w *World) {
			w.shiftDemand(8, 70, 20)
			for t := 12.0; t < 70; t += 7 {
				w.At(sec(t), func() {
					o := w.owner()
					switch w.rand.IntN(3) {
					case 0:
						w.Restart(o, clock.Span(w.rand.Int64N(3e9)))
					case 1:
						w.Freeze(o, clock.Span(w.rand.Int64N(5e9)))
					case 2:
						w.Part(map[string]bool{o: true})
						w.After(clock.Span(w.rand.Int64N(5e9)), w.Heal)
					}
				})
			}
		}},
	{Name: "servers", About: "servers crash, go dark, restart empty, are withdrawn at little notice", Duration: 80e9, MinAnswered: 0.96,
		Script: func(w *World) { w.failServers(10, 60) }},
	{Name: "servers-cut", About: "the same, while routers are cut off from the core and frozen, and the owner dies", Duration: 80e9, MinAnswered: 0.95,
		Configure: func(o *Options) { o.Loss, o.Twice = 0.01, 0.01 },
		Script: func(w *World) {
			w.failServers(10, 60)
			for t := 9.5; t < 60; t += 4 {
				w.At(sec(t), func() {
					switch w.rand.IntN(4) {
					case 0:
						w.Freeze(w.some("router-"), clock.Span(w.rand.Int64N(4e9)))
					case 1:
						w.Restart(w.owner(), 1e9)
					default:
						r := fmt.Sprintf("router-%d", 1+w.rand.IntN(w.o.Routers))
						for _, b := range w.boxes() {
							if b != r && !strings.HasPrefix(b, "server-") && b != "platform" {
								w.Cut(r, b, w.rand.IntN(2) == 0)
							}
						}
						w.After(3500e6, w.Heal)
					}
				})
			}
		}},
	{Name: "roll", About: "servers are replaced one by one, each drained first", Duration: 110e9, MinAnswered: 0.995, NoAborts: true,
		Script: (*World).replaceServers},
	{Name: "roll-core", About: "core nodes and agents are restarted one by one, as planned, while keys move and plans come", Duration: 80e9, MinAnswered: 0.99, NoAborts: true, Configure: smallServers,
		Script: func(w *World) {
			w.shiftDemand(8, 60, 15)
			w.putPlans(9, 66, 4)
			for i, t := 0, 12.0; t < 60; i, t = i+1, t+6 {
				n := fmt.Sprintf("controller-%d", 1+i%3)
				w.At(sec(t), func() { w.Stop(n) })
				w.At(sec(t+1), func() { w.Start(n) })
				w.At(sec(t+3), func() { w.Restart(fmt.Sprintf("agent-%d", 1+i%w.o.Routers), 200e6) })
			}
		}},
	{Name: "routers", About: "routers, agents and core nodes are killed, singly", Duration: 70e9, MinAnswered: 0.95,
		Script: func(w *World) {
			w.putPlans(9, 56, 5)
			for t := 10.0; t < 55; t += 2 {
				w.At(sec(t), func() {
					w.Restart(w.some([]string{"router-", "agent-", "controller-"}[w.rand.IntN(3)]), clock.Span(w.rand.Int64N(2e9)))
				})
			}
		}},
	{Name: "plans", About: "plans come quickly, two operators race, replies get lost, messages come late and twice", Duration: 70e9, MinAnswered: 0.99, NoAborts: true,
		Configure: func(o *Options) { o.Loss, o.Twice = 0.03, 0.05 },
		Script: func(w *World) {
			w.At(sec(8), func() { w.ReplyLoss = 0.1 }) // the first plan is in force before traffic begins
			n := 0
			for t := 10.0; t < 55; t += 3 {
				w.At(sec(t), func() {
					n++
					base := ident.Epoch(0)
					if s := w.Check.newest(w.now); s != nil {
						base = s.epoch
					}
					for i, a := range []string{"left", "right"} {
						name := fmt.Sprintf("%s-%d", a, n)
						w.PutPlan(fmt.Sprintf("controller-%d", 1+(n+i)%3), WithName(w.o.Plan, name, nil), base, false, nil)
					}
				})
				w.At(sec(t+1.5), func() { w.Read(w.some("controller-"), nil) })
			}
			// Some callers ask for what the plan never allowed.
			m := standin.NewMix(w.plan, w.o.Seed+5)
			w.GenerateTraffic(9e9, 55e9, 1, func() standin.Ask {
				a := m.Next()
				switch w.rand.IntN(3) {
				case 0:
					a.Route = "/v1/nowhere"
				case 1:
					a.Call.Extra = "nobody"
				case 2:
					a.Call.Kind = "unheard"
				}
				return a
			})
		}},
	{Name: "grow", About: "the plan grows by many routes and loses a service again, while routers are frozen and cut off", Duration: 70e9, MinAnswered: 0.96,
		Script: func(w *World) {
			grown := func(n int, less bool) func(m map[string]any) {
				return func(m map[string]any) {
					r := m["routes"].(map[string]any)
					for i := range n {
						r[fmt.Sprintf("/v1/more-%d", i)] = r[w.routeName(0)]
					}
					if less {
						delete(r, w.routeName(1))
					}
				}
			}
			for i, t := 0, 12.0; t < 55; i, t = i+1, t+5 {
				w.At(sec(t), func() {
					w.PutPlan(w.some("controller-"), WithName(w.o.Plan, fmt.Sprintf("grown-%d", i), grown(i*40, i%2 == 1)), 0, true, nil)
				})
				w.At(sec(t-0.5), func() {
					if w.rand.IntN(2) == 0 {
						w.Freeze(w.some("router-"), clock.Span(w.rand.Int64N(4e9)))
						return
					}
					r := fmt.Sprintf("router-%d", 1+w.rand.IntN(w.o.Routers))
					for j := 1; j <= 3; j++ {
						w.Cut(fmt.Sprintf("controller-%d", j), r, false)
					}
					for j := 1; j <= w.o.Routers; j++ {
						if o := fmt.Sprintf("router-%d", j); o != r && w.rand.IntN(2) == 0 {
							w.Cut(o, r, true)
						}
					}
					w.After(4e9, w.Heal)
				})
			}
		}},
	{Name: "zones", About: "zones are emptied and refilled, one of them during a roll, routers frozen meanwhile", Duration: 80e9, MinAnswered: 0.995, NoAborts: true,
		Script: func(w *World) {
			for i, t := 0, 12.0; t < 60; i, t = i+1, t+12 {
				z := ident.Zone([]string{"za", "zb", "zc"}[i%3])
				w.At(sec(t), func() { w.Zone(w.some("controller-"), "empty", z, nil) })
				w.At(sec(t+7), func() { w.Zone(w.some("controller-"), "refill", z, nil) })
				w.At(sec(t+0.2), func() { w.Freeze(w.some("router-"), 1500e6) })
				s := fmt.Sprintf("server-%d", 1+i%w.o.Servers)
				w.At(sec(t+1), func() { w.setServerState(s, "leaving") })
				w.At(sec(t+9), func() { w.setServerState(s, "live") })
			}
		}},
	{Name: "core", About: "the core is split every way, one way too, and heals, while plans come", Duration: 90e9, MinAnswered: 0.94,
		Configure: func(o *Options) { o.Loss, o.Twice = 0.02, 0.02 },
		Script: func(w *World) {
			w.At(sec(8), func() { w.ReplyLoss = 0.1 }) // the first plan is in force before traffic begins
			w.putPlans(9, 70, 2)
			for t := 10.0; t < 70; t += 5 {
				w.At(sec(t), func() {
					a, b := w.some("controller-"), w.some("controller-")
					switch w.rand.IntN(4) {
					case 0:
						w.Part(map[string]bool{a: true})
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
				w.At(sec(t+3), w.Heal)
			}
		}},
	{Name: "disks", About: "core nodes lose their disks, one at a time, lose power right after a confirmation, and disks stall", Duration: 100e9, MinAnswered: 0.98,
		Script: func(w *World) {
			n := 0
			var again func()
			again = func() {
				if w.now > sec(80) {
					return
				}
				n++
				w.PutPlan(w.some("controller-"), WithName(w.o.Plan, fmt.Sprintf("kept-%d", n), nil), 0, true, func(r controller.Receipt) {
					v := w.some("controller-")
					switch w.rand.IntN(3) {
					case 0: // the power goes right after the confirmation
						w.Restart(v, clock.Span(w.rand.Int64N(2e9)))
					case 1: // and the disk with it
						w.Kill(v)
						w.Wipe(v)
						w.After(clock.Span(w.rand.Int64N(1e9)), func() { w.Start(v) })
					case 2:
						w.procs[v].disk.stall = w.now.Add(clock.Span(w.rand.Int64N(3e9)))
					}
					w.After(500e6, func() { w.Read(w.some("controller-"), nil) })
					w.After(7e9, again)
				})
			}
			w.At(sec(9), again)
		}},
	{Name: "power", About: "power goes everywhere right after a confirmation, and comes back", Duration: 60e9, MinAnswered: 0.9,
		Script: func(w *World) {
			for _, p := range w.controllers() {
				p.disk.late = 40e6
			}
			w.At(sec(20), func() {
				w.PutPlan("controller-1", WithName(w.o.Plan, "last", nil), 0, true, func(r controller.Receipt) { w.restartAll(false, 2e9) })
			})
			w.At(sec(30), func() { w.Read("controller-3", nil) })
			w.At(sec(45), func() { w.Read("controller-1", nil) })
		}},
	{Name: "ruin", About: "every core disk is lost at once; agents still hold the plan", Duration: 60e9, MinAnswered: 0.98,
		Script: func(w *World) {
			w.At(sec(20), func() {
				w.Check.loosen()
				for i := 1; i <= 3; i++ {
					n := fmt.Sprintf("controller-%d", i)
					w.Kill(n)
					w.Wipe(n)
					w.After(clock.Span(w.rand.Int64N(1e9)), func() { w.Start(n) })
				}
				w.Check.healed = w.now.Add(1e9)
			})
			w.At(sec(45), func() {
				w.Read("controller-1", func(r controller.Receipt) {
					if r.Kind != failure.None || string(r.Plan) != string(w.o.Plan) {
						w.Check.bad("the agents' plan did not come back: %q %d bytes", r.Kind, len(r.Plan))
					}
				})
			})
		}},
	{Name: "replace", About: "a core machine is replaced by an empty one at a new address, then another", Duration: 100e9, MinAnswered: 0.99,
		Script: func(w *World) {
			w.putPlans(9, 85, 4)
			for i, t := range []float64{15, 50} {
				w.At(sec(t), func() {
					w.Kill(fmt.Sprintf("controller-%d", 3-i))
					w.AddSpareController(fmt.Sprintf("controller-%d", 4+i), ident.Zone([]string{"zc", "zb"}[i]))
				})
			}
			w.At(sec(85), func() { w.checkCoreReady("the replacement") })
		}},
	{Name: "crowd", About: "crowds arrive at once, asking for rare models together, and servers are cold", Duration: 70e9, MinAnswered: 0.5,
		Script: func(w *World) {
			m := standin.NewMix(w.plan, w.o.Seed+3)
			for t := 10.0; t < 50; t += 10 {
				a := m.Rare()
				w.GenerateTraffic(clock.Span(t*1e9), clock.Span((t+2)*1e9), 400, func() standin.Ask { return m.Of(a) })
				w.At(sec(t+1), func() { w.crashServer(w.some("server-"), 1e9) })
			}
		}},
	{Name: "storm", About: "servers fail one after another under load, so that retries are wanted everywhere", Duration: 60e9, RequestRate: 200, MinAnswered: 0.7,
		Script: func(w *World) {
			for t := 10.0; t < 45; t += 1.5 {
				w.At(sec(t), func() {
					s := w.some("server-")
					if w.procs[s].up {
						w.crashServer(s, 800e6)
					}
				})
			}
		}},
	{Name: "zone-loss", About: "a whole zone is lost: core node, routers and servers", Duration: 70e9, MinAnswered: 0.97,
		Script: func(w *World) {
			w.At(sec(20), func() {
				for _, n := range w.order {
					if p := w.procs[n]; p.zone == "zc" {
						w.Kill(n)
						if p.server != "" {
							w.Check.Fault(n)
						}
					}
				}
			})
		}},
	{Name: "lag", About: "routers pause between the last check and the send", Duration: 70e9, MinAnswered: 0.94, Configure: smallServers,
		Script: func(w *World) {
			w.LagOdds, w.Lag = 0.04, 6e9
			w.shiftDemand(8, 56, 20)
			for i, t := 0, 12.0; t < 50; i, t = i+1, t+6 {
				s, z := fmt.Sprintf("server-%d", 1+i%w.o.Servers), ident.Zone([]string{"za", "zb", "zc"}[i%3])
				w.At(sec(t), func() { w.setServerState(s, "leaving") })
				w.At(sec(t+5), func() { w.setServerState(s, "live") })
				w.At(sec(t+1), func() { w.Zone(w.some("controller-"), "empty", z, nil) })
				w.At(sec(t+5.8), func() { w.Zone(w.some("controller-"), "refill", z, nil) })
			}
		}},
	{Name: "again", About: "callers whose connection broke ask again under the same id, at another router, though it may have run", Duration: 70e9, MinAnswered: 0.85,
		Script: func(w *World) {
			w.Again = 0.8
			for t := 12.0; t < 50; t += 2 {
				w.At(sec(t), func() {
					if w.rand.IntN(4) == 0 {
						w.crashServer(w.some("server-"), 2e9)
						return
					}
					w.Restart(w.some("router-"), clock.Span(w.rand.Int64N(2e9)))
				})
				w.At(sec(t+1), func() { w.ResetOdds = 0.1 })
				w.At(sec(t+1.5), func() { w.ResetOdds = 0 })
			}
		}},
	{Name: "dead", About: "a third of the servers dies at once, so that every router meets dead ones, and routers are killed and started", Duration: 60e9, MinAnswered: 0.9, RequestRate: 120,
		Script: func(w *World) {
			for _, t := range []float64{12, 24, 36} {
				w.At(sec(t), func() {
					n := w.rand.IntN(3)
					for i := range w.o.Servers / 3 {
						w.crashServer(fmt.Sprintf("server-%d", 1+3*i+n), 4e9)
					}
				})
				w.At(sec(t+1), func() { w.Restart(w.some("router-"), 300e6) })
				w.At(sec(t+2), func() { w.Restart(w.some("router-"), 300e6) })
			}
		}},
	{Name: "medley", About: "everything at once", Duration: 100e9, MinAnswered: 0.8,
		Configure: func(o *Options) { smallServers(o); o.Loss, o.Twice = 0.02, 0.02 },
		Script: func(w *World) {
			w.shiftDemand(8, 80, 15)
			w.putPlans(9, 80, 6)
			w.LagOdds, w.Lag = 0.005, 3e9
			w.Again = 0.5
			for t := 10.0; t < 80; t += 2 {
				w.At(sec(t), func() {
					switch w.rand.IntN(8) {
					case 0:
						w.Restart(w.some("router-"), clock.Span(w.rand.Int64N(2e9)))
					case 1:
						w.Restart(w.some("agent-"), clock.Span(w.rand.Int64N(2e9)))
					case 2:
						w.Restart(w.some("controller-"), clock.Span(w.rand.Int64N(2e9)))
					case 3:
						if s := w.some("server-"); w.procs[s].up {
							w.crashServer(s, clock.Span(w.rand.Int64N(3e9)))
						}
					case 4:
						w.Freeze(w.some("router-"), clock.Span(w.rand.Int64N(4e9)))
					case 5:
						w.Freeze(w.some("controller-"), clock.Span(w.rand.Int64N(4e9)))
					case 6:
						w.Part(map[string]bool{w.some("controller-"): true})
						w.After(2e9, w.Heal)
					case 7:
						z := ident.Zone([]string{"za", "zb", "zc"}[w.rand.IntN(3)])
						w.Zone(w.some("controller-"), "empty", z, nil)
						w.After(5e9, func() { w.Zone(w.some("controller-"), "refill", z, nil) })
					}
				})
			}
		}},
	{Name: "clocks", About: "wall clocks jump everywhere, also back before restarts, and steady clocks differ up to the margin", Duration: 90e9, MinAnswered: 0.93,
		Configure: func(o *Options) { smallServers(o); o.Rates = 0.036 },
		Script: func(w *World) {
			w.shiftDemand(8, 70, 15)
			w.putPlans(9, 75, 5)
			for t := 10.0; t < 72; t += 3 {
				w.At(sec(t), func() {
					for range 3 {
						w.procs[w.order[w.rand.IntN(len(w.order))]].wall = time.Duration(w.rand.Int64N(4e12) - 2e12)
					}
					n := w.some([]string{"router-", "agent-", "agent-", "controller-", "server-"}[w.rand.IntN(5)])
					if w.procs[n].server != "" {
						w.crashServer(n, clock.Span(w.rand.Int64N(2e9)))
						return
					}
					w.Restart(n, clock.Span(w.rand.Int64N(1e9)))
				})
			}
		}},
	{Name: "ruin-clocks", About: "every core disk is lost, the core's clocks are set back, and every agent restarts: only routers still have the plan", Duration: 70e9, MinAnswered: 0.98,
		Script: func(w *World) {
			w.At(sec(20), func() {
				w.Check.loosen()
				for i := 1; i <= 3; i++ {
					n := fmt.Sprintf("controller-%d", i)
					w.Kill(n)
					w.Wipe(n)
					w.procs[n].wall = -3000 * time.Second
					w.After(200e6, func() { w.Start(n) })
				}
				for i := 1; i <= w.o.Routers; i++ {
					w.Restart(fmt.Sprintf("agent-%d", i), 50e6)
				}
			})
			w.At(sec(26), func() {
				w.Read("controller-1", func(r controller.Receipt) {
					if r.Kind != failure.None || string(r.Plan) != string(w.o.Plan) {
						w.Check.bad("the routers' plan did not come back: %q %d bytes", r.Kind, len(r.Plan))
					}
				})
			})
			w.At(sec(28), func() { w.PutPlan("controller-1", WithName(w.o.Plan, "afresh", nil), 0, true, nil) })
			w.At(sec(45), func() {
				for _, p := range w.Routers() {
					if n := p.core.(*router.Core).PlanName(); n != "afresh" {
						w.Check.bad("%s rules by plan %q after the core began anew", p.name, n)
					}
				}
			})
		}},
	{Name: "platform", About: "the platform is silent, lists nothing, or wrongly, or only a part, across takeovers and a total outage", Duration: 100e9, MinAnswered: 0.9,
		Script: func(w *World) {
			lies := []func(l []protocol.Listed) []protocol.Listed{
				func([]protocol.Listed) []protocol.Listed { return nil },
				func(l []protocol.Listed) []protocol.Listed { return l[:len(l)/3] },
				func(l []protocol.Listed) []protocol.Listed { return append(l, l[0]) },
				func(l []protocol.Listed) []protocol.Listed { l[0].State = "resting"; return l },
				func(l []protocol.Listed) []protocol.Listed { l[1].Addr = ""; return l },
			}
			for i, t := 0, 12.0; t < 60; i, t = i+1, t+8 {
				w.At(sec(t), func() {
					if w.platUp = i%6 != 0; w.platUp {
						w.Lists = lies[i%6-1]
					}
				})
				w.At(sec(t+1), func() { w.Restart(w.owner(), 2e9) })
				w.At(sec(t+6), func() { w.Lists, w.platUp = nil, true })
			}
			w.At(sec(64), func() { w.platUp = false })
			w.At(sec(66), func() { w.restartAll(false, 2e9) })
			w.At(sec(85), func() { w.platUp = true })
		}},
	{Name: "blind", About: "the owner reaches the core and the routers, but for long neither the servers nor the platform", Duration: 80e9, MinAnswered: 0.97,
		Script: func(w *World) {
			for i, t := 0, 12.0; t < 60; i, t = i+1, t+16 {
				w.At(sec(t), func() {
					o := w.owner()
					for _, b := range w.boxes() {
						if b == "platform" && i%2 == 0 || strings.HasPrefix(b, "server-") && i < 2 {
							w.Cut(o, b, true)
						}
					}
					w.After(11e9, func() {
						if n := w.owner(); n == o {
							w.Check.bad("%s kept the duty, though it could not serve it", o)
						}
						w.Heal()
					})
				})
			}
		}},
	{Name: "exchange", About: "all three seed machines are exchanged for empty ones one after another, the core splits meanwhile, then agents restart on partly old seeds", Duration: 130e9, MinAnswered: 0.97,
		Script: func(w *World) {
			w.putPlans(9, 115, 5)
			for i := 1; i <= 3; i++ {
				t := float64(15 + 25*(i-1))
				w.At(sec(t), func() {
					if i == 3 {
						w.Seeds = []string{"controller-4", "controller-2", "controller-3"} // by now none of the first ones lives
					}
					w.Kill(fmt.Sprintf("controller-%d", i))
					w.AddSpareController(fmt.Sprintf("controller-%d", 3+i), w.procs[fmt.Sprintf("controller-%d", i)].zone)
				})
				// While the new one is to be admitted, it is cut off for a while, or another is.
				w.At(sec(t+4), func() {
					w.Part(map[string]bool{fmt.Sprintf("controller-%d", 3+i): i%2 == 1, fmt.Sprintf("controller-%d", 1+i%3): i%2 == 0})
				})
				w.At(sec(t+9), w.Heal)
			}
			for i := 1; i <= w.o.Routers; i++ {
				w.At(sec(92+2*float64(i)), func() {
					w.Drain(fmt.Sprintf("router-%d", i))
					w.Restart(fmt.Sprintf("agent-%d", i), 200e6)
				})
			}
			w.At(sec(118), func() { w.checkCoreReady("the exchange") })
		}},
	{Name: "zone-each", About: "each zone is lost in turn, the owner's included, as a plan is in flight or another zone is being emptied, and comes back", Duration: 110e9, MinAnswered: 0.9,
		Script: func(w *World) {
			zs := []ident.Zone{"za", "zb", "zc"}
			for i, z := range zs {
				t := 14 + 28*float64(i)
				w.At(sec(t-0.05), func() {
					w.PutPlan(w.some("controller-"), WithName(w.o.Plan, fmt.Sprintf("as-%s-goes", z), nil), 0, true, nil)
					if i == 1 {
						w.Zone("controller-1", "empty", zs[(i+1)%3], nil)
						w.After(6e9, func() { w.Zone("controller-1", "refill", zs[(i+1)%3], nil) })
					}
				})
				w.At(sec(t)+clock.Tick(w.rand.Int64N(60e6)), func() {
					w.tracef("zone %s is lost", z)
					for _, n := range w.order {
						if p := w.procs[n]; p.zone == z && p.up {
							w.Kill(n)
							if p.server != "" {
								w.Check.Fault(n)
							}
							w.After(12e9, func() { w.Start(n); w.Check.Mend(n) })
						}
					}
				})
				w.At(sec(t+8), func() { w.Read(fmt.Sprintf("controller-%d", 1+(i+1)%3), nil) })
			}
		}},
	{Name: "rolls", About: "routers, agents, core nodes and servers are all rolled as planned, under long streams, plan changes and takeovers", Duration: 150e9, MinAnswered: 0.98, NoAborts: true, RequestRate: 40,
		Script: func(w *World) {
			m := standin.NewMix(w.plan, w.o.Seed+13)
			w.GenerateTraffic(8e9, 125e9, 4, func() standin.Ask {
				a := m.Next()
				a.Call.Max = 200 + w.rand.IntN(300)
				return a
			})
			w.putPlans(9, 130, 7)
			for i := 1; i <= w.o.Routers; i++ {
				w.At(sec(10+13*float64(i-1)), func() { w.Drain(fmt.Sprintf("router-%d", i)) })
				w.At(sec(16+13*float64(i-1)), func() { w.Restart(fmt.Sprintf("agent-%d", i), 200e6) })
			}
			for i := range w.o.Servers {
				s := fmt.Sprintf("server-%d", i+1)
				var stop func()
				stop = func() {
					if w.procs[s].core.(*standin.Server).Active() > 0 {
						w.After(200e6, stop) // whoever rolls waits until nothing is under way
						return
					}
					w.Kill(s)
					w.After(300e6, func() { w.Start(s); w.setServerState(s, "live") })
				}
				w.At(sec(12+13*float64(i)), func() { w.setServerState(s, "leaving"); w.After(4e9, stop) })
			}
			for i, t := 0, 14.0; t < 120; i, t = i+1, t+9 {
				n := fmt.Sprintf("controller-%d", 1+i%3)
				w.At(sec(t), func() { w.Stop(n) })
				w.At(sec(t+1.5), func() { w.Start(n) })
			}
		}},
	{Name: "mangled", About: "servers send events that are malformed, late, doubled, missing, or another's", Duration: 60e9, MinAnswered: 0.5,
		Script: func(w *World) {
			w.At(sec(10), func() { w.Mangle = 0.02 })
			w.At(sec(40), func() { w.Mangle = 0 })
		}},
	{Name: "mixed", About: "servers differ in room, slots and speed, and are replaced one by one", Duration: 110e9, MinAnswered: 0.99, NoAborts: true, Configure: func(o *Options) { o.Mixed = true },
		Script: (*World).replaceServers},
	{Name: "shifts", About: "keys move all the time to even servers out, while owners die, freeze and are parted, targets crash, sources are withdrawn, the store slows, plans drop keys and routers freeze", Duration: 110e9, MinAnswered: 0.95,
		Configure: func(o *Options) {
			o.Controller.Even, o.Controller.Rest, o.Controller.Gap, o.Room = 300e6, 500e6, 0.1, 80
		},
		Script: func(w *World) {
			w.shiftDemand(8, 90, 10)
			rate := w.store.Rate
			for t := 10.0; t < 90; t += 1.5 {
				w.At(sec(t), func() {
					s := w.some("server-")
					_, bad := w.Check.gone[s]
					o := w.owner()
					switch w.rand.IntN(9) {
					case 0:
						w.Restart(o, clock.Span(w.rand.Int64N(2e9)))
					case 1:
						w.Freeze(o, clock.Span(w.rand.Int64N(4e9)))
					case 2:
						w.Part(map[string]bool{o: true})
						w.After(clock.Span(w.rand.Int64N(3e9)), w.Heal)
					case 3:
						if !bad && w.procs[s].up {
							w.crashServer(s, clock.Span(w.rand.Int64N(2e9)))
						}
					case 4, 5:
						if !bad && w.procs[s].up {
							w.setServerState(s, "leaving")
							w.After(clock.Span(2e9+w.rand.Int64N(3e9)), func() { w.setServerState(s, "live") })
						}
					case 6:
						w.store.Rate = rate / 6
						w.After(3e9, func() { w.store.Rate = rate })
					case 7:
						w.Freeze(w.some("router-"), clock.Span(w.rand.Int64N(4e9)))
					case 8:
						m := standin.NewMix(w.plan, w.rand.Uint64()).Rare()
						w.PutPlan(w.some("controller-"), WithName(w.o.Plan, fmt.Sprintf("less-%d", w.admin), withoutModel(m.Call.Base)), 0, true, nil)
						w.After(3e9, func() {
							w.PutPlan(w.some("controller-"), WithName(w.o.Plan, fmt.Sprintf("again-%d", w.admin), nil), 0, true, nil)
						})
					}
				})
			}
		}},
	{Name: "return", About: "a zone is lost, comes back empty, and takes its part again: keys with a floor of two are ready in two zones", Duration: 120e9, MinAnswered: 0.97,
		Script: func(w *World) {
			w.At(sec(14), func() {
				for _, n := range w.order {
					if p := w.procs[n]; p.zone == "zb" && p.server != "" {
						w.crashServer(n, 15e9)
					}
				}
			})
			w.At(sec(118), func() {
				zones := map[ident.Key]map[ident.Zone]bool{}
				low, high := 1.0, 0.0
				for _, n := range w.order {
					v, ok := w.procs[n].core.(*standin.Server)
					if !ok {
						continue
					}
					part := float64(v.Used()) / float64(w.room(n))
					low, high = min(low, part), max(high, part)
					for k, h := range v.Holds() {
						if zones[k] == nil {
							zones[k] = map[ident.Zone]bool{}
						}
						zones[k][w.procs[n].zone] = zones[k][w.procs[n].zone] || h.Stage == "ready"
					}
				}
				for k, m := range w.plan.Models {
					if m.Floor > 1 && len(zones[k]) < 2 {
						w.Check.bad("%s has a floor of %d and is ready in %d zones", k, m.Floor, len(zones[k]))
					}
				}
				if high-low > 0.5 {
					w.Check.bad("servers stay unevenly filled: from %.2f to %.2f", low, high)
				}
			})
		}},
	{Name: "odd", About: "servers report what contradicts itself: more held than room, sizes below zero or past counting, keys twice and unknown", Duration: 70e9, MinAnswered: 0.9, Configure: smallServers,
		Script: func(w *World) {
			w.shiftDemand(8, 56, 15)
			bends := []func(r *protocol.Report){
				func(r *protocol.Report) { r.Held[0].Size = -1000 },
				func(r *protocol.Report) { r.Held[0].Size = 1 << 62 },
				func(r *protocol.Report) { r.Held = append(r.Held, r.Held[0]) },
				func(r *protocol.Report) { r.Held[0].Key = "" },
				func(r *protocol.Report) { r.Room = -r.Room },
				func(r *protocol.Report) { r.Room, r.Slots = 1, 0 },
				func(r *protocol.Report) { r.Held[0].Active = -5 },
				func(r *protocol.Report) { r.Held[0].Stage = "melted" },
			}
			w.At(sec(12), func() {
				w.Bend = func(r protocol.Report) protocol.Report {
					n := int(w.now/5e9) % len(bends)
					if int(r.Server[len(r.Server)-1])%3 == n%3 && len(r.Held) > 0 {
						r.Held = append([]protocol.Held{}, r.Held...)
						bends[n](&r)
					}
					return r
				}
			})
			w.At(sec(52), func() { w.Bend = nil })
			w.At(sec(60), func() {
				n := uint64(0)
				for _, p := range w.controllers() {
					n += p.core.(*controller.Core).Counts().Odd
				}
				if n == 0 {
					w.Check.bad("no odd report was told")
				}
			})
		}},
	{Name: "sweep", About: "a core node is cut off as a plan is taken, and comes back: its disk has the plan soon, though nobody changes anything", Duration: 60e9, MinAnswered: 0.99,
		Script: func(w *World) {
			last := func(n string) (e ident.Epoch) {
				var v struct{ Value protocol.Desired }
				_ = json.Unmarshal(w.procs[n].disk.safe["accepted"], &v)
				return v.Value.Epoch
			}
			for i, t := range []float64{12, 34} {
				n := fmt.Sprintf("controller-%d", 3-i)
				w.At(sec(t), func() { w.Part(map[string]bool{n: true}) })
				w.At(sec(t+1), func() {
					w.PutPlan("controller-1", WithName(w.o.Plan, fmt.Sprintf("missed-%d", i), nil), 0, true, nil)
				})
				w.At(sec(t+4), w.Heal)
				w.At(sec(t+20), func() {
					if a, b := last(n), last("controller-1"); a != b {
						w.Check.bad("the disk of %s still has epoch %d, not %d", n, a, b)
					}
				})
			}
		}},
	{Name: "spare", About: "a spare core node runs while core nodes are restarted, as planned and not: none loses its seat by that", Duration: 80e9, MinAnswered: 0.99,
		Script: func(w *World) {
			w.At(sec(9), func() { w.AddSpareController("controller-4", "za") })
			w.putPlans(10, 60, 6)
			for i, t := 0, 14.0; t < 60; i, t = i+1, t+9 {
				n := fmt.Sprintf("controller-%d", 1+i%3)
				w.At(sec(t), func() {
					if w.rand.IntN(2) == 0 {
						w.Restart(n, clock.Span(1e9+w.rand.Int64N(3e9)))
						return
					}
					w.Stop(n)
					w.After(3e9, func() { w.Start(n) })
				})
			}
			w.At(sec(79), func() {
				if w.Check.Seen.Admits > 0 {
					w.Check.bad("a seat was given away for a restart")
				}
			})
		}},
	{Name: "night", About: "hardly anything is asked, and servers die one after another", Duration: 120e9, MinAnswered: 0.93, RequestRate: 1,
		Script: func(w *World) {
			for t := 10.0; t < 100; t += 6 {
				w.At(sec(t), func() {
					if s := w.some("server-"); w.procs[s].up {
						w.crashServer(s, 3e9)
					}
				})
			}
		}},
	{Name: "unplan", About: "plans drop and bring back models that are in use, under long answers, while routers pause", Duration: 90e9, MinAnswered: 0.9, RequestRate: 40, NoAborts: true,
		Script: func(w *World) {
			m := standin.NewMix(w.plan, w.o.Seed+11)
			w.DialOdds, w.Dial = 0.1, 450e6
			for i, t := 0, 14.0; t < 70; i, t = i+1, t+8 {
				a := m.Rare()
				for a.Call.Extra != "" {
					a = m.Rare()
				}
				w.GenerateTraffic(clock.Span((t-5)*1e9), clock.Span((t+0.1)*1e9), 60, func() standin.Ask {
					b := m.Of(a)
					b.Call.Max = 20 + w.rand.IntN(200)
					return b
				})
				w.At(sec(t), func() {
					w.PutPlan(w.some("controller-"), WithName(w.o.Plan, fmt.Sprintf("less-%d", i), withoutModel(a.Call.Base)), 0, true, nil)
					w.Freeze(w.some("router-"), clock.Span(w.rand.Int64N(5e9)))
					w.Freeze(w.some("router-"), clock.Span(w.rand.Int64N(5e9)))
				})
				w.At(sec(t+5), func() {
					w.PutPlan(w.some("controller-"), WithName(w.o.Plan, fmt.Sprintf("again-%d", i), nil), 0, true, nil)
				})
			}
		}},
	{Name: "flap", About: "half of all connections break before the first event, so that retries are wanted everywhere", Duration: 60e9, MinAnswered: 0.7,
		Script: func(w *World) {
			w.At(sec(15), func() { w.ResetOdds = 0.5 })
			w.At(sec(40), func() { w.ResetOdds = 0 })
		}},
	{Name: "amnesia", About: "a plan is taken while a core node is cut off, then another loses its disk and both meet", Duration: 90e9, MinAnswered: 0.97,
		Script: func(w *World) {
			for i, t := 0, 12.0; t < 70; i, t = i+1, t+18 {
				a, b, c := fmt.Sprintf("controller-%d", 1+i%3), fmt.Sprintf("controller-%d", 1+(i+1)%3), fmt.Sprintf("controller-%d", 1+(i+2)%3)
				w.At(sec(t), func() {
					w.Cut(c, a, true)
					w.Cut(c, b, true)
				})
				w.At(sec(t+0.2), func() {
					w.PutPlan(a, WithName(w.o.Plan, fmt.Sprintf("known-%d", i), nil), 0, true, func(controller.Receipt) {
						w.Kill(a)
						w.Kill(b)
						w.Wipe(b)
						w.Heal()
						w.Start(b)
						w.After(1e9, func() { w.Read(c, nil) })
						w.After(2e9, func() { w.Read(b, nil) })
						w.After(4e9, func() { w.Start(a) })
						w.After(9e9, func() { w.Read(b, nil) })
					})
				})
			}
		}},
	{Name: "fence", About: "the duty's owner is parted from the core, but not from the routers, as a plan is taken", Duration: 70e9, MinAnswered: 0.99,
		Script: func(w *World) {
			for i, t := 0, 12.0; t < 55; i, t = i+1, t+8 {
				w.At(sec(t), func() {
					o, other := w.owner(), ""
					for _, p := range w.controllers() {
						if p.name != o {
							w.Cut(o, p.name, true)
							other = p.name
						}
					}
					w.After(100e6, func() { w.PutPlan(other, WithName(w.o.Plan, fmt.Sprintf("past-%d", i), nil), 0, true, nil) })
				})
				w.At(sec(t+5), w.Heal)
			}
		}},
	{Name: "windows", About: "maintenance windows of a server and a zone are kept, and then wall clocks jump both ways", Duration: 90e9, MinAnswered: 0.995, NoAborts: true,
		Configure: func(o *Options) { o.Controller.Lead = 5e9 },
		Script: func(w *World) {
			at := func(n float64) string { return dawn.Add(time.Duration(n * 1e9)).Format("20060102T150405Z") }
			event := func(uid int, what string, from, to float64) string {
				return fmt.Sprintf("BEGIN:VEVENT\r\nUID:%d\r\nDTSTAMP:20260101T000000Z\r\nLOCATION:%s\r\nDTSTART:%s\r\nDTEND:%s\r\nEND:VEVENT\r\n", uid, what, at(from), at(to))
			}
			cal := "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:x\r\n" + event(1, "server server-1", 25, 35) + event(2, "zone zb", 40, 50) + "END:VCALENDAR\r\n"
			w.At(sec(10), func() { w.change("controller-2", controller.Admin{Op: "windows", Raw: []byte(cal), Any: true}, nil) })
			// The lead is there for draining: at the window's own beginning nothing new may come.
			shut := func(s string, from, to float64) {
				w.At(sec(from-boundGone/1e9), func() { w.Check.Fault(s) })
				w.At(sec(to), func() { w.Check.Mend(s) })
			}
			shut("server-1", 25, 35)
			for i := 2; i <= w.o.Servers; i += 3 {
				shut(fmt.Sprintf("server-%d", i), 40, 50)
			}
			for t := 52.0; t < 75; t += 3 {
				w.At(sec(t), func() { w.procs[w.some("controller-")].wall = time.Duration(w.rand.Int64N(4e12) - 2e12) })
			}
		}},
	{Name: "far", About: "machines are 30 ms apart, messages get lost, keys move, plans come, servers fail and the owner dies", Duration: 90e9, MinAnswered: 0.92,
		Configure: func(o *Options) { smallServers(o); o.Far, o.Loss, o.Twice = 30e6, 0.01, 0.02 },
		Script: func(w *World) {
			w.shiftDemand(8, 70, 15)
			w.putPlans(9, 70, 5)
			w.failServers(12, 65)
			for t := 14.0; t < 70; t += 11 {
				w.At(sec(t), func() { w.Restart(w.owner(), 2e9) })
				w.At(sec(t+5), func() { w.Freeze(w.some("router-"), clock.Span(w.rand.Int64N(4e9))) })
			}
		}},
	{Name: "blackout", About: "everything is killed at once and comes back, model servers empty", Duration: 60e9, MinAnswered: 0.87,
		Script: func(w *World) { w.At(sec(20), func() { w.restartAll(true, 3e9) }) }},
}

// replaceServers replaces every server, one after another, each drained first.
func (w *World) replaceServers() {
	for i := range w.o.Servers {
		s := fmt.Sprintf("server-%d", i+1)
		w.At(sec(10+9*float64(i)), func() { w.setServerState(s, "leaving") })
		w.At(sec(17+9*float64(i)), func() { w.Kill(s) })
		w.At(sec(17.2+9*float64(i)), func() { w.Start(s); w.setServerState(s, "live") })
	}
}

// coreReady looks whether three core nodes are ready after something.
func (w *World) checkCoreReady(after string) {
	n := 0
	for _, p := range w.controllers() {
		if p.core.(*controller.Core).Ready() {
			n++
		}
	}
	if n < 3 {
		w.Check.bad("only %d core nodes are ready after %s", n, after)
	}
}

// route names the plan's first route, or another one.
func (w *World) routeName(n int) string {
	var l []string
	for r := range w.plan.Routes {
		l = append(l, r)
	}
	sort.Strings(l)
	return l[n]
}

// blackout kills every process, and starts all of them again.
func (w *World) restartAll(servers bool, after clock.Span) {
	for _, n := range w.order {
		if n == "store" || !servers && w.procs[n].server != "" {
			continue
		}
		w.Kill(n)
		w.After(after, func() { w.Start(n) })
	}
	w.Check.healed = w.now.Add(after)
}

// Spare starts an empty core node at a new address.
func (w *World) AddSpareController(name string, z ident.Zone) {
	w.addController(name, z, w.seeds())
	w.Start(name)
}

// Find finds a scene by name.
func Find(name string) (Scene, bool) {
	for _, s := range Scenes {
		if s.Name == name {
			return s, true
		}
	}
	return Scene{}, false
}
