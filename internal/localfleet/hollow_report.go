package localfleet

import (
	"encoding/csv"
	"fmt"
	"io"
	"runtime"
	"sort"
	"time"

	"tidedeck/internal/controller"
	"tidedeck/internal/generic"
)

// Row is one line of a hollow run's figures: what one role, or one kind of message at it, came to in a
// second of virtual time, for each process that has the role.
type Row struct {
	Role, Kind    string
	Processes     int
	Inputs        float64 // inputs a second
	Sent          float64
	SentBytes     float64 // bytes a second
	Received      float64
	ReceivedBytes float64
	CPU           float64 // ms a second, in the core and in writing and reading messages
	MaxBytes      int     // message, in bytes
}

// Rows sums a measured run up, the roles' sums under the kind "all".
func (h *Hollow) Rows() []Row {
	procs := map[string]int{"owner": 1, "core": max(1, h.opts.CoreNodes-1), "agent": h.opts.Routers, "router": h.opts.Routers}
	sum := map[CostKey]*Cost{}
	for k, l := range h.Costs {
		for _, kind := range []string{k.Kind, "all"} {
			x := sum[CostKey{k.Role, kind}]
			if x == nil {
				x = &Cost{}
				sum[CostKey{k.Role, kind}] = x
			}
			x.Inputs, x.StepTime, x.CodecTime = x.Inputs+l.Inputs, x.StepTime+l.StepTime, x.CodecTime+l.CodecTime
			x.Sent, x.SentBytes, x.Received, x.ReceivedBytes = x.Sent+l.Sent, x.SentBytes+l.SentBytes, x.Received+l.Received, x.ReceivedBytes+l.ReceivedBytes
			x.MaxBytes = max(x.MaxBytes, l.MaxBytes)
		}
	}
	var rows []Row
	for k, l := range sum {
		t := h.opts.Duration.Seconds() * float64(procs[k.Role])
		rows = append(rows, Row{Role: k.Role, Kind: k.Kind, Processes: procs[k.Role], Inputs: float64(l.Inputs) / t, Sent: float64(l.Sent) / t, SentBytes: float64(l.SentBytes) / t,
			Received: float64(l.Received) / t, ReceivedBytes: float64(l.ReceivedBytes) / t, CPU: float64(l.StepTime+l.CodecTime) / 1e6 / t, MaxBytes: l.MaxBytes})
	}
	sort.Slice(rows, func(i, j int) bool {
		a, b := rows[i], rows[j]
		if a.Role != b.Role {
			return a.Role < b.Role
		}
		if (a.Kind == "all") != (b.Kind == "all") {
			return a.Kind == "all"
		}
		return a.Kind < b.Kind
	})
	return rows
}

// Heap tells the bytes that each role's process keeps, by letting go of one role after the other. The
// fleet is of no use after it.
func (h *Hollow) Heap() map[string]float64 {
	read := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for i := range h.ring {
		h.ring[i] = nil
	}
	m := map[string]float64{}
	was := read()
	free := func(role string, is func(n *hollowNode) bool) {
		n := 0
		for _, x := range h.nodes {
			if x.core != nil && is(x) {
				x.core, x.traffic = nil, nil
				n++
			}
		}
		now := read()
		m[role] = (was - now) / float64(max(1, n))
		was = now
	}
	free("owner", func(n *hollowNode) bool {
		c, ok := n.core.(*controller.Core)
		if !ok {
			return false
		}
		_, owns := c.Owns(h.now)
		return owns
	})
	for _, role := range []string{"core", "agent"} {
		free(role, func(n *hollowNode) bool { return n.role == role })
	}
	for _, n := range h.nodes {
		n.traffic = nil
	}
	was = read()
	free("router", func(n *hollowNode) bool { return n.role == "router" })
	runtime.KeepAlive(h)
	return m
}

// Disk tells how many bytes a core node keeps on disk, the most of any.
func (h *Hollow) DiskBytes() int {
	most := 0
	for _, n := range h.nodes {
		sum := 0
		for _, b := range n.disk {
			sum += len(b)
		}
		most = max(most, sum)
	}
	return most
}

// Marks gives the state of service through the measured time.
func (h *Hollow) Samples() []ServiceSample { return h.samples }

// Options gives the options that are in force, defaults filled in.
func (h *Hollow) Options() HollowOptions { return h.opts }

// PlanSize tells the bytes of the plan.
func (h *Hollow) PlanSize() int { return len(h.plan) }

// WriteCSV writes a run's figures, a row for each role and kind, each named by the run.
func (h *Hollow) WriteCSV(w io.Writer, run string, heads bool, heap map[string]float64) error {
	c := csv.NewWriter(w)
	if heads {
		_ = c.Write([]string{"run", "seed", "routers", "servers", "models", "adapters", "cores", "rate", "changes", "seconds", "role", "kind", "procs",
			"inputs_s", "sent_s", "out_bytes_s", "got_s", "in_bytes_s", "cpu_ms_s", "biggest_bytes", "heap_bytes"})
	}
	o := h.opts
	head := []string{run, fmt.Sprint(o.Seed), fmt.Sprint(o.Routers), fmt.Sprint(o.Servers), fmt.Sprint(o.Models), fmt.Sprint(o.Adapters), fmt.Sprint(o.CoreNodes),
		fmt.Sprint(o.Rate), fmt.Sprint(o.Changes), fmt.Sprint(o.Duration.Seconds())}
	f := func(x float64) string { return fmt.Sprintf("%.4g", x) }
	for _, r := range h.Rows() {
		kept := ""
		if r.Kind == "all" && heap != nil {
			kept = fmt.Sprintf("%.0f", heap[r.Role])
		}
		_ = c.Write(append(append([]string{}, head...), r.Role, r.Kind, fmt.Sprint(r.Processes), f(r.Inputs), f(r.Sent), f(r.SentBytes), f(r.Received), f(r.ReceivedBytes), f(r.CPU), fmt.Sprint(r.MaxBytes), kept))
	}
	c.Flush()
	return c.Error()
}

// Report prints a run's figures.
func (h *Hollow) Report(w io.Writer, heap map[string]float64, took time.Duration) {
	p := func(form string, a ...any) { _, _ = fmt.Fprintf(w, form+"\n", a...) }
	o := h.opts
	p("hollow fleet: %d routers, %d servers, %d models, %d adapters, %d core nodes, %d zones in %d regions; %.0f requests/s at each router; plan %d bytes; seed %d",
		o.Routers, o.Servers, o.Models, o.Adapters, o.CoreNodes, o.Zones, o.Regions, o.Rate, len(h.plan), o.Seed)
	p("%.0f s of virtual time in %.1f s", o.Duration.Seconds(), took.Seconds())
	p("%-7s %-14s %10s %9s %12s %9s %12s %10s %9s", "role", "kind", "inputs/s", "sent/s", "out B/s", "got/s", "in B/s", "cpu ms/s", "biggest")
	for _, r := range h.Rows() {
		p("%-7s %-14s %10.2f %9.2f %12.0f %9.2f %12.0f %10.3f %9d", r.Role, r.Kind, r.Inputs, r.Sent, r.SentBytes, r.Received, r.ReceivedBytes, r.CPU, r.MaxBytes)
	}
	for _, r := range generic.SortedKeys(heap) {
		p("heap of a process of role %-7s %12.0f bytes", r, heap[r])
	}
	p("disk: %d bytes kept at a core node; %.0f bytes/s and %.2f batches/s synced by all", h.DiskBytes(), float64(h.SyncedBytes)/o.Duration.Seconds(), float64(h.Syncs)/o.Duration.Seconds())
	p("orders %.0f an hour", float64(h.Orders)*3600/o.Duration.Seconds())
	p("changes in force everywhere after %v (%d of %d)", h.ApplyTimes, len(h.ApplyTimes), o.Changes)
	p("failed servers known after %v; not yet known: %d", h.DetectionTimes, len(h.undetected))
	for _, n := range generic.SortedKeys(h.LogCounts) {
		p("note %5d × %s", h.LogCounts[n], n)
	}
}
