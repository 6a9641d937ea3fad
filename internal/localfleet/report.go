package localfleet

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"tidedeck/internal/generic"
	"tidedeck/internal/standin"
)

// Report prints what a run showed.
func (f *Fleet) Report(w io.Writer, r *standin.CallReport) {
	p := func(form string, a ...any) { _, _ = fmt.Fprintf(w, form+"\n", a...) }
	p("")
	p("fleet %s: %d core nodes, %d routers with agents, %d model servers", f.Shape.Name, len(f.AdminAddrs), f.Shape.Routers, f.Shape.Servers)
	p("callers   sent %d, answered %d, events %d, came back when told to %d", r.Sent, r.Receipts, r.Events, r.Repeats)
	for _, k := range generic.SortedKeys(r.Kinds) {
		p("          %-18s %d", k, r.Kinds[k])
	}
	p("          wrong answers      %d", len(r.Wrong))
	for _, s := range r.Wrong {
		p("          ! %s", s)
	}
	if len(r.First) > 0 {
		sort.Slice(r.First, func(i, j int) bool { return r.First[i] < r.First[j] })
		at := func(q float64) time.Duration { return r.First[int(q*float64(len(r.First)-1))].Round(time.Millisecond) }
		p("          first event: median %v, 95 in 100 within %v", at(0.5), at(0.95))
	}
	sum := map[string]float64{}
	epochs := map[string]int{}
	for _, a := range f.RouterByName {
		m := f.Metrics(a + "/-/metrics")
		for k, v := range m {
			sum[k] += v
		}
		epochs[fmt.Sprint(m["tidedeck_router_epoch"])]++
	}
	l := func(k string) float64 { return sum["tidedeck_router_"+k+"_total"] }
	p("routers   first goes %.0f, retries %.0f, repeats %.0f, sends held back %.0f, requests held %.0f", l("firsts"), l("retries"), l("repeats"), l("sendsheld"), l("waited"))
	p("          callback hits %.0f, lookups %.0f (entries fetched %.0f, found the same %.0f)", l("hits"), l("lookups"), l("fetches"), l("sames"))
	p("          breaks taken %.0f, removals sent %.0f, made suspect %.0f", l("breaks"), l("removals"), l("suspects"))
	p("          epochs in force: %s", formatCounts(epochs))
	for _, n := range generic.SortedKeys(f.AdminAddrs) {
		m := f.Metrics(f.AdminAddrs[n] + "/metrics")
		a := func(k string) float64 { return m["tidedeck_controller_"+k+"_total"] }
		p("%-9s reigns %.0f, grants %.0f, breaks %.0f, acknowledged %.0f, lapsed %.0f, loads %.0f, unloads %.0f, rounds %.0f", n, a("reigns"), a("grants"), a("breaks"), a("acks"), a("lapses"), a("loads"), a("unloads"), a("rounds"))
	}
	var st standin.StoreTally
	if _, err := f.Get(f.StoreAddr+"/count", &st); err == nil {
		p("store     pulls %d, most at once %d, beyond its budget %d", st.Pulls, st.Peak, st.Over)
	}
	works, reused, bytes, drops := uint64(0), uint64(0), uint64(0), map[string]int{}
	for _, a := range f.ServerAddrs {
		var c struct {
			Tally standin.ServerTally `json:"tally"`
		}
		if _, err := f.Get(a+"/count", &c); err == nil {
			works += c.Tally.Works
			reused += c.Tally.Reused
			bytes += c.Tally.PromptBytes
			for k, n := range c.Tally.DropKinds {
				drops[string(k)] += int(n)
			}
		}
	}
	p("servers   ran %d, dropped %s, prompt bytes reused %.0f in 100", works, formatCounts(drops), 100*float64(reused)/max(1, float64(bytes)))
}

func formatCounts(m map[string]int) string {
	var l []string
	for _, k := range generic.SortedKeys(m) {
		l = append(l, fmt.Sprintf("%s: %d", k, m[k]))
	}
	if len(l) == 0 {
		return "none"
	}
	return strings.Join(l, ", ")
}
