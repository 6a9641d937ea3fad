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

// Row is one line of a hollow run's figures: the cost of one role, or of one kind of input or message to the role, per
// process of the role and second of virtual time.
type Row struct {
	Role, Kind    string
	Processes     int
	Inputs        float64 // inputs per second
	Sent          float64
	SentBytes     float64 // bytes per second
	Received      float64
	ReceivedBytes float64
	CPU           float64 // ms per second, in the core and for encoding and decoding messages
	MaxBytes      int     // of one message
}

// Rows returns the figures of the measurement. Each role's total has the kind "all".
func (h *Hollow) Rows() []Row {
	processes := map[string]int{"owner": 1, "core": max(1, h.opts.CoreNodes-1), "agent": h.opts.Routers, "router": h.opts.Routers}
	totals := map[CostKey]*Cost{}
	for key, cost := range h.Costs {
		for _, kind := range []string{key.Kind, "all"} {
			total := totals[CostKey{key.Role, kind}]
			if total == nil {
				total = &Cost{}
				totals[CostKey{key.Role, kind}] = total
			}
			total.Inputs, total.StepTime, total.CodecTime = total.Inputs+cost.Inputs, total.StepTime+cost.StepTime, total.CodecTime+cost.CodecTime
			total.Sent, total.SentBytes, total.Received, total.ReceivedBytes = total.Sent+cost.Sent, total.SentBytes+cost.SentBytes, total.Received+cost.Received, total.ReceivedBytes+cost.ReceivedBytes
			total.MaxBytes = max(total.MaxBytes, cost.MaxBytes)
		}
	}
	var rows []Row
	for key, cost := range totals {
		perSecond := h.opts.Duration.Seconds() * float64(processes[key.Role])
		rows = append(rows, Row{Role: key.Role, Kind: key.Kind, Processes: processes[key.Role], Inputs: float64(cost.Inputs) / perSecond, Sent: float64(cost.Sent) / perSecond, SentBytes: float64(cost.SentBytes) / perSecond,
			Received: float64(cost.Received) / perSecond, ReceivedBytes: float64(cost.ReceivedBytes) / perSecond, CPU: float64(cost.StepTime+cost.CodecTime) / 1e6 / perSecond, MaxBytes: cost.MaxBytes})
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

// Heap returns the heap bytes of one process of each role. It measures them by releasing the nodes of one role after the
// other, so the fleet cannot be used afterwards.
func (h *Hollow) Heap() map[string]float64 {
	heapAlloc := func() float64 {
		runtime.GC()
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	for i := range h.ring {
		h.ring[i] = nil
	}
	heap := map[string]float64{}
	before := heapAlloc()
	release := func(role string, matches func(node *hollowNode) bool) {
		released := 0
		for _, node := range h.nodes {
			if node.core != nil && matches(node) {
				node.core, node.traffic = nil, nil
				released++
			}
		}
		after := heapAlloc()
		heap[role] = (before - after) / float64(max(1, released))
		before = after
	}
	release("owner", func(node *hollowNode) bool {
		c, ok := node.core.(*controller.Core)
		if !ok {
			return false
		}
		_, owns := c.Owns(h.now)
		return owns
	})
	for _, role := range []string{"core", "agent"} {
		release(role, func(node *hollowNode) bool { return node.role == role })
	}
	for _, node := range h.nodes {
		node.traffic = nil
	}
	before = heapAlloc()
	release("router", func(node *hollowNode) bool { return node.role == "router" })
	runtime.KeepAlive(h)
	return heap
}

// DiskBytes returns the size of the largest disk state of any core node.
func (h *Hollow) DiskBytes() int {
	largest := 0
	for _, node := range h.nodes {
		size := 0
		for _, value := range node.disk {
			size += len(value)
		}
		largest = max(largest, size)
	}
	return largest
}

// Samples returns the state of the service during the measurement.
func (h *Hollow) Samples() []ServiceSample { return h.samples }

// Options returns the options with their defaults applied.
func (h *Hollow) Options() HollowOptions { return h.opts }

// PlanSize returns the size of the plan in bytes.
func (h *Hollow) PlanSize() int { return len(h.plan) }

// WriteCSV writes the figures of a run as CSV: one row for each role and kind, labelled with the name of the run, after a
// header row if header is set.
func (h *Hollow) WriteCSV(w io.Writer, run string, header bool, heap map[string]float64) error {
	writer := csv.NewWriter(w)
	if header {
		_ = writer.Write([]string{"run", "seed", "routers", "servers", "models", "adapters", "cores", "rate", "changes", "seconds", "role", "kind", "procs",
			"inputs_s", "sent_s", "out_bytes_s", "got_s", "in_bytes_s", "cpu_ms_s", "biggest_bytes", "heap_bytes"})
	}
	opts := h.opts
	prefix := []string{run, fmt.Sprint(opts.Seed), fmt.Sprint(opts.Routers), fmt.Sprint(opts.Servers), fmt.Sprint(opts.Models), fmt.Sprint(opts.Adapters), fmt.Sprint(opts.CoreNodes),
		fmt.Sprint(opts.Rate), fmt.Sprint(opts.Changes), fmt.Sprint(opts.Duration.Seconds())}
	format := func(x float64) string { return fmt.Sprintf("%.4g", x) }
	for _, row := range h.Rows() {
		heapBytes := ""
		if row.Kind == "all" && heap != nil {
			heapBytes = fmt.Sprintf("%.0f", heap[row.Role])
		}
		_ = writer.Write(append(append([]string{}, prefix...), row.Role, row.Kind, fmt.Sprint(row.Processes), format(row.Inputs), format(row.Sent), format(row.SentBytes), format(row.Received), format(row.ReceivedBytes), format(row.CPU), fmt.Sprint(row.MaxBytes), heapBytes))
	}
	writer.Flush()
	return writer.Error()
}

// Report prints the figures of a run.
func (h *Hollow) Report(w io.Writer, heap map[string]float64, elapsed time.Duration) {
	printf := func(format string, a ...any) { _, _ = fmt.Fprintf(w, format+"\n", a...) }
	opts := h.opts
	printf("hollow fleet: %d routers, %d servers, %d models, %d adapters, %d core nodes, %d zones in %d regions; %.0f requests/s at each router; plan %d bytes; seed %d",
		opts.Routers, opts.Servers, opts.Models, opts.Adapters, opts.CoreNodes, opts.Zones, opts.Regions, opts.Rate, len(h.plan), opts.Seed)
	printf("%.0f s of virtual time in %.1f s", opts.Duration.Seconds(), elapsed.Seconds())
	printf("%-7s %-14s %10s %9s %12s %9s %12s %10s %9s", "role", "kind", "inputs/s", "sent/s", "out B/s", "got/s", "in B/s", "cpu ms/s", "biggest")
	for _, r := range h.Rows() {
		printf("%-7s %-14s %10.2f %9.2f %12.0f %9.2f %12.0f %10.3f %9d", r.Role, r.Kind, r.Inputs, r.Sent, r.SentBytes, r.Received, r.ReceivedBytes, r.CPU, r.MaxBytes)
	}
	for _, r := range generic.SortedKeys(heap) {
		printf("heap per process, role %-7s %12.0f bytes", r, heap[r])
	}
	printf("disk: at most %d bytes per core node; %.0f bytes/s and %.2f batches/s synced by all", h.DiskBytes(), float64(h.SyncedBytes)/opts.Duration.Seconds(), float64(h.Syncs)/opts.Duration.Seconds())
	printf("orders per hour: %.0f", float64(h.Orders)*3600/opts.Duration.Seconds())
	printf("changes in force everywhere after %v (%d of %d)", h.ApplyTimes, len(h.ApplyTimes), opts.Changes)
	printf("failed servers detected after %v; not yet detected: %d", h.DetectionTimes, len(h.undetected))
	for _, n := range generic.SortedKeys(h.LogCounts) {
		printf("log %5d × %s", h.LogCounts[n], n)
	}
}
