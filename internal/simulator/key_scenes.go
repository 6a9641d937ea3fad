package simulator

import (
	"fmt"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/ident"
)

// In these scenes callers present keys, and operators revoke keys, move them between tenants and restore them, while
// requests wait, are sent and are retried.

// callerKeys are the keys that callers present. The last one never belongs to a tenant.
var callerKeys = []string{"key-1", "key-2", "key-3", "key-4", "nobody's"}

// tenantNames are the tenants of these scenes.
var tenantNames = []string{"acme", "initech", "globex"}

// keyedPlan is the first plan of these scenes: every key but the last belongs to a tenant, and one route requires no
// key.
func keyedPlan() []byte {
	s := firstPlan(1)
	for i := range s.Routes {
		s.Routes[i].Unkeyed = s.Routes[i].Prefix == "/plain/idem/"
	}
	for i, name := range tenantNames {
		s.Tenants = append(s.Tenants, planTenant{Name: name, Precedence: i, Keys: []string{callerKeys[i]}})
	}
	s.Tenants[0].Keys = append(s.Tenants[0].Keys, callerKeys[3])
	return encodePlan(s)
}

// drawTenants assigns keys to tenants at random: a quarter of the time the first assignment stays, otherwise each key
// belongs to a random tenant or to none. One time in twelve each, the list of tenants is missing or empty.
func (w *World) drawTenants(m map[string]any) {
	switch w.rand.IntN(12) {
	case 0:
		delete(m, "tenants")
		return
	case 1:
		m["tenants"] = []planTenant{}
		return
	case 2, 3, 4:
		return
	}
	var tenants []planTenant
	for i, name := range tenantNames {
		tenants = append(tenants, planTenant{Name: name, Precedence: i, Keys: []string{}})
	}
	for _, key := range callerKeys[:len(callerKeys)-1] {
		if i := w.rand.IntN(len(tenants) + 1); i < len(tenants) {
			tenants[i].Keys = append(tenants[i].Keys, key)
		}
	}
	m["tenants"] = tenants
}

// changeKeys has an operator reassign the keys to tenants at a fixed interval.
func (w *World) changeKeys(from, to, gap float64) {
	n := 0
	for t := from; t < to; t += gap {
		w.At(atSecond(t), func() {
			n++
			on := w.newestEpoch()
			raw := WithName(w.options.Plan, fmt.Sprintf("keys-%d", n), w.drawTenants)
			w.PutNumbered(w.randomNode("controller-"), raw, on, on+1+ident.Epoch(w.rand.IntN(2)), func(controller.Receipt) {})
		})
	}
}

// keyedOptions sets up a world of announced servers whose callers present keys.
func keyedOptions(o *Options) {
	hostedOptions(func(h *Hosted) { h.Keys, h.PopularityShift = callerKeys, 10e9 })(o)
	o.Plan = keyedPlan()
}

// keyScenes are scenes in which callers present keys and operators reassign them.
var keyScenes = []Scene{
	{Name: "keys", Description: "keys are revoked, moved and restored in quick succession; nothing fails", Duration: 60e9, MinAnswered: 0.95, Configure: keyedOptions,
		Script: func(w *World) { w.changeKeys(8, 48, 0.7) }},
	{Name: "keys-troubles", Description: "like keys, while servers leave, the owner is killed or frozen, and routers are cut off or frozen", Duration: 90e9, MinAnswered: 0.6,
		Configure: func(o *Options) { keyedOptions(o); o.LossOdds, o.DuplicateOdds = 0.01, 0.02 },
		Script: func(w *World) {
			w.changeKeys(8, 74, 1.3)
			w.withdrawServers(10, 70, 4)
			for t := 12.0; t < 70; t += 8 {
				w.At(atSecond(t), func() {
					r := fmt.Sprintf("router-%d", 1+w.rand.IntN(w.options.Routers))
					switch w.rand.IntN(4) {
					case 0:
						w.Restart(w.owner(), clock.Span(w.rand.Int64N(3e9)))
					case 1:
						w.Freeze(w.owner(), clock.Span(w.rand.Int64N(4e9)))
					case 2:
						for _, b := range w.machineNames() {
							if isCore(b) {
								w.Cut(r, b, true)
							}
						}
					case 3:
						w.Freeze(r, clock.Span(w.rand.Int64N(4e9)))
					}
				})
				w.At(atSecond(t+4), w.Heal)
			}
		}},
	{Name: "keys-slow-core", Description: "keys change four times a second on core nodes that parse configurations slowly, and the owner is killed, frozen and cut off",
		Duration: 90e9, MinAnswered: 0.6,
		Configure: func(o *Options) {
			slowCoreOptions(60e6, 20e6)(o)
			o.Hosted.Keys, o.Plan = callerKeys, enlargePlan(keyedPlan(), o.Seed)
		},
		Script: func(w *World) {
			w.changeKeys(10, 75, 0.25)
			for t := 14.0; t < 75; t += 12 {
				w.At(atSecond(t), func() { w.disruptOwner(clock.Span(w.rand.Int64N(3e9))) })
			}
		}},
}
