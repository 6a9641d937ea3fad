package simulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"sort"

	"tidedeck/internal/clock"
	"tidedeck/internal/controller"
	"tidedeck/internal/protocol"
)

// Measure runs the measurements reported in docs/measurements.md and prints them. All figures are counts,
// ratios or virtual times.
func Measure(out io.Writer, o Options, seeds int) {
	printf := func(form string, a ...any) { _, _ = fmt.Fprintf(out, form+"\n", a...) }
	run := func(scene string, set func(o *Options)) (all []Stats, ws []*World) {
		s, _ := FindScene(scene)
		for i := range seeds {
			x := o
			x.Seed = o.Seed + uint64(i)
			if set != nil {
				set(&x)
			}
			w, seen := s.Run(x)
			all, ws = append(all, seen), append(ws, w)
		}
		return all, ws
	}
	sum := func(l []Stats, f func(Stats) float64) (n float64) {
		for _, s := range l {
			n += f(s)
		}
		return n
	}
	worst := func(l []Stats, f func(Stats) clock.Span) (d clock.Span) {
		for _, s := range l {
			d = max(d, f(s))
		}
		return d
	}
	asked := func(s Stats) float64 { return float64(s.Requests) }

	printf("callbacks against a check on every use (scene calm, %d seeds)", seeds)
	for _, c := range []struct {
		name  string
		check bool
	}{{"callbacks", false}, {"check on every use", true}} {
		l, _ := run("calm", func(o *Options) { o.Router.AlwaysRevalidate = c.check })
		n := sum(l, func(s Stats) float64 { return float64(s.Lookups) })
		printf("  %-20s %6.0f lookups for %6.0f requests: %.3f each", c.name, n, sum(l, asked), n/sum(l, asked))
	}

	printf("breaks for each unload (scene moves)")
	l, _ := run("moves", nil)
	unloads := sum(l, func(s Stats) float64 { return float64(s.Unloads) })
	printf("  %.0f unloads, %.2f breaks, %.2f acknowledged and %.2f expired for each; breaks for loads are among them", unloads,
		sum(l, func(s Stats) float64 { return float64(s.Breaks) })/unloads, sum(l, func(s Stats) float64 { return float64(s.Acks) })/unloads, sum(l, func(s Stats) float64 { return float64(s.Lapses) })/unloads)
	l, _ = run("moves-cut", nil)
	printf("  with routers frozen and cut off: %.0f breaks, %.0f acknowledged, %.0f router leases expired with unacknowledged breaks",
		sum(l, func(s Stats) float64 { return float64(s.Breaks) }), sum(l, func(s Stats) float64 { return float64(s.Acks) }), sum(l, func(s Stats) float64 { return float64(s.Lapses) }))

	printf("callback state of one router at the leader")
	for _, n := range []int{500, 2000, 8000} {
		printf("  %4d callbacks: %.0f bytes each", n, callbackBytes(n))
	}

	printf("prefix reuse (scene calm, 60 tenants, 64 parts cached at a server)")
	for _, c := range []struct {
		name  string
		plain bool
		heads int
	}{{"all shared parts", false, 0}, {"the leading part", false, 1}, {"none", true, 0}} {
		for _, scene := range []string{"calm", "storm", "servers"} {
			l, _ := run(scene, func(o *Options) { o.Router.NoAffinity, o.Router.AffinityParts, o.Tenants = c.plain, c.heads, 60 })
			printf("  affinity by %-17s %-8s %.1f in 100 prompt bytes reused, answered %.4f", c.name, scene, 100*sum(l, func(s Stats) float64 { return float64(s.Reused) })/sum(l, func(s Stats) float64 { return float64(s.Prompt) }), answeredShare(l))
		}
	}

	printf("moves, and requests that waited for more than 250 ms")
	for _, scene := range []string{"calm", "roll", "zones", "windows", "servers", "zone-loss", "return", "mixed"} {
		l, _ := run(scene, nil)
		printf("  %-10s %.1f moves, %.1f pulls a run; %.2f in 100 waited, %.2f s each", scene, sum(l, func(s Stats) float64 { return float64(s.Moves) })/float64(len(l)),
			sum(l, func(s Stats) float64 { return float64(s.Pulls) })/float64(len(l)), 100*sum(l, func(s Stats) float64 { return float64(s.Waited) })/sum(l, asked),
			sum(l, func(s Stats) float64 { return s.WaitTime.Seconds() })/max(1, sum(l, func(s Stats) float64 { return float64(s.Waited) })))
	}

	printf("retries and repeats per 100 first attempts, highest in any 10 s with at least 50 first attempts")
	for _, scene := range []string{"flap", "storm", "dead", "again", "zone-each", "medley"} {
		l, _ := run(scene, nil)
		top := 0.0
		for _, s := range l {
			top = max(top, s.WorstRetryShare)
		}
		printf("  %-10s %.1f", scene, 100*top)
	}

	printf("takeover and recovery, worst of the seeds")
	l, _ = run("moves-owner", nil)
	printf("  without a leader after it is killed, frozen or cut off: %v", worst(l, func(s Stats) clock.Span { return s.LeaderlessTime }))
	for _, c := range []string{"power", "blackout", "ruin"} {
		l, _ = run(c, nil)
		printf("  first answer after %-9s %v", c+":", worst(l, func(s Stats) clock.Span { return s.Recovery }))
	}

	printf("duration of the router lease (scenes grow and moves-owner)")
	for _, h := range []clock.Span{1e9, 1500e6, 2e9, 3e9, 4e9} {
		set := func(o *Options) { o.Controller.RouterLease = h }
		a, _ := run("grow", set)
		b, _ := run("moves-owner", set)
		k, _ := run("moves-cut", set)
		f, _ := run("fence", set)
		lag := func(s Stats) clock.Span { return s.PlanLag }
		printf("  lease %-5v worst plan lag %v in grow, %v in fence; answered %.4f of grow, %.4f of moves-owner, %.4f of moves-cut", h,
			worst(a, lag).Round(1e6), worst(f, lag).Round(1e6), answeredShare(a), answeredShare(b), answeredShare(k))
	}
	printf("renewals (scene calm)")
	for _, k := range []clock.Span{200e6, 400e6, 800e6} {
		l, ws := run("calm", func(o *Options) { o.RenewInterval = k })
		c, _ := run("moves-cut", func(o *Options) { o.RenewInterval = k })
		n := 0
		for _, w := range ws {
			n += w.messageCounts["Renew"]
		}
		printf("  every %-5v %.3f renewals for each request; answered %.4f of calm, %.4f of moves-cut", k, float64(n)/sum(l, asked), answeredShare(l), answeredShare(c))
	}

	printf("cache size of a router (scene moves)")
	for _, n := range []int{4, 8, 16, 32, 64, 512} {
		l, ws := run("moves", func(o *Options) { o.Router.MaxEntries = n })
		k := sum(l, func(s Stats) float64 { return float64(s.Lookups) })
		r := 0
		for _, w := range ws {
			r += w.messageCounts["Removal"]
		}
		printf("  %3d entries: %.3f lookups and %.4f batches of removals for each request, answered %.4f", n, k/sum(l, asked), float64(r)/sum(l, asked), answeredShare(l))
	}

	printf("ramp of cold replicas (scene crowd)")
	for _, r := range []clock.Span{1, 1e9, 2e9, 4e9, 8e9} {
		l, _ := run("crowd", func(o *Options) { o.Router.Ramp = r })
		cold := 0
		for _, s := range l {
			cold = max(cold, s.PeakCold)
		}
		printf("  ramp %-4v most at once on a server in its first second %3d, answered %.4f", r.Round(1e9), cold, answeredShare(l))
	}

	printf("load on the control plane as the plan grows (scene calm)")
	for _, n := range []int{1, 4, 16} {
		x := o
		x.Plan = MultiplyPlan(o.Plan, n)
		s, _ := FindScene("calm")
		w, seen := s.Run(x)
		all := 0
		for _, c := range w.messageCounts {
			all += c
		}
		printf("  %2d times today's plan (%d bytes): %.2f messages and %.3f lookups for each request, answered %.4f", n, len(x.Plan), float64(all)/float64(seen.Requests), float64(seen.Lookups)/float64(seen.Requests), float64(seen.Answered)/float64(seen.Requests))
		if n == 1 {
			var names []string
			for k := range w.messageCounts {
				names = append(names, k)
			}
			sort.Slice(names, func(i, j int) bool { return w.messageCounts[names[i]] > w.messageCounts[names[j]] })
			for _, k := range names[:6] {
				printf("     %-10s %d", k, w.messageCounts[k])
			}
		}
	}
}

// answeredShare returns the share of requests that were answered.
func answeredShare(l []Stats) float64 {
	a, n := 0, 0
	for _, s := range l {
		a += s.Answered
		n += s.Requests
	}
	return float64(a) / float64(n)
}

// callbackBytes returns the memory in bytes that a leader uses per callback of a router.
func callbackBytes(n int) float64 {
	me := protocol.Peer{ID: "a", Addr: "a"}
	c := controller.New(controller.Options{Self: me, Inc: 1, Rand: rand.New(rand.NewPCG(1, 1)), MaxCallbacks: 1 << 20})
	return controller.MeasureCallbackMemory(c, n, func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	})
}

// MultiplyPlan returns a plan n times as large: it copies every model, adapter, service and route under other names.
// The copies have no floor.
func MultiplyPlan(raw []byte, n int) []byte {
	var sections map[string]map[string]any
	var plan map[string]any
	if err := json.Unmarshal(raw, &plan); err != nil {
		panic(err)
	}
	sections = map[string]map[string]any{}
	for _, k := range []string{"models", "adapters", "services", "routes"} {
		sections[k] = plan[k].(map[string]any)
	}
	copyOf := func(v any) map[string]any {
		c := map[string]any{}
		for k, x := range v.(map[string]any) {
			c[k] = x
		}
		delete(c, "floor")
		return c
	}
	for i := 1; i < n; i++ {
		tag := fmt.Sprintf("-x%d", i)
		rename := func(names any) (o []any) {
			for _, x := range names.([]any) {
				o = append(o, x.(string)+tag)
			}
			return o
		}
		copies := map[string]map[string]any{"models": {}, "adapters": {}, "services": {}, "routes": {}}
		for kind, t := range sections {
			for k, v := range t {
				if len(k) > 3 && hasCopyTag(k) {
					continue
				}
				c := copyOf(v)
				switch kind {
				case "adapters":
					c["base"] = c["base"].(string) + tag
				case "services":
					c["models"], c["adapters"] = rename(c["models"]), rename(c["adapters"])
				case "routes":
					c["service"] = c["service"].(string) + tag
				}
				copies[kind][k+tag] = c
			}
		}
		for kind, t := range copies {
			for k, v := range t {
				sections[kind][k] = v
			}
		}
	}
	b, err := json.Marshal(plan)
	if err != nil {
		panic(err)
	}
	return b
}

// hasCopyTag reports whether a name is that of a copy made by MultiplyPlan.
func hasCopyTag(s string) bool {
	for i := 0; i+2 < len(s); i++ {
		if s[i] == '-' && s[i+1] == 'x' && s[i+2] >= '0' && s[i+2] <= '9' {
			return true
		}
	}
	return false
}
