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

// Report prints the results of a run: what the callers saw, and the counters of the processes.
func (f *Fleet) Report(w io.Writer, r *standin.CallReport) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	printf("")
	printf("fleet %s: %d core nodes, %d routers with agents, %d model servers", f.Shape.Name, len(f.AdminAddrs), f.Shape.Routers, f.Shape.Servers)
	printf("callers   sent %d, answered %d, events %d, repeated on request %d", r.Sent, r.Answers, r.Events, r.Repeats)
	for _, key := range generic.SortedKeys(r.Kinds) {
		printf("          %-18s %d", key, r.Kinds[key])
	}
	printf("          wrong answers      %d", len(r.Wrong))
	for _, s := range r.Wrong {
		printf("          ! %s", s)
	}
	if len(r.First) > 0 {
		sort.Slice(r.First, func(i, j int) bool { return r.First[i] < r.First[j] })
		at := func(q float64) time.Duration { return r.First[int(q*float64(len(r.First)-1))].Round(time.Millisecond) }
		printf("          first event: median %v, 95th percentile %v", at(0.5), at(0.95))
	}
	totals := map[string]float64{}
	epochs := map[string]int{}
	for _, addr := range f.RouterByName {
		m := f.Metrics(addr + "/-/metrics")
		for key, v := range m {
			totals[key] += v
		}
		epochs[fmt.Sprint(m["tidedeck_router_epoch"])]++
	}
	router := func(key string) float64 { return totals["tidedeck_router_"+key+"_total"] }
	printf("routers   first attempts %.0f, retries %.0f, repeats %.0f, sends held back %.0f, requests held %.0f", router("firsts"), router("retries"), router("repeats"), router("sendsheld"), router("waited"))
	printf("          callback hits %.0f, lookups %.0f (entries fetched %.0f, unchanged %.0f)", router("hits"), router("lookups"), router("fetches"), router("sames"))
	printf("          breaks received %.0f, removals sent %.0f, marked suspect %.0f", router("breaks"), router("removals"), router("suspects"))
	printf("          epochs in force: %s", formatCounts(epochs))
	for _, name := range generic.SortedKeys(f.AdminAddrs) {
		m := f.Metrics(f.AdminAddrs[name] + "/metrics")
		controller := func(key string) float64 { return m["tidedeck_controller_"+key+"_total"] }
		printf("%-9s terms %.0f, grants %.0f, breaks %.0f, acknowledged %.0f, expired %.0f, loads %.0f, unloads %.0f, rounds %.0f", name, controller("reigns"), controller("grants"), controller("breaks"), controller("acks"), controller("lapses"), controller("loads"), controller("unloads"), controller("rounds"))
	}
	var store standin.StoreTally
	if _, err := f.Get(f.StoreAddr+"/count", &store); err == nil {
		printf("store     pulls %d, peak concurrency %d, over budget %d", store.Pulls, store.Peak, store.Over)
	}
	ran, reused, bytes, drops := uint64(0), uint64(0), uint64(0), map[string]int{}
	for _, addr := range f.ServerAddrs {
		var server struct {
			Tally standin.ServerTally `json:"tally"`
		}
		if _, err := f.Get(addr+"/count", &server); err == nil {
			ran += server.Tally.Works
			reused += server.Tally.Reused
			bytes += server.Tally.PromptBytes
			for kind, n := range server.Tally.DropKinds {
				drops[string(kind)] += int(n)
			}
		}
	}
	printf("servers   ran %d, dropped %s, prompt bytes reused %.0f %%", ran, formatCounts(drops), 100*float64(reused)/max(1, float64(bytes)))
}

func formatCounts(m map[string]int) string {
	var items []string
	for _, k := range generic.SortedKeys(m) {
		items = append(items, fmt.Sprintf("%s: %d", k, m[k]))
	}
	if len(items) == 0 {
		return "none"
	}
	return strings.Join(items, ", ")
}
