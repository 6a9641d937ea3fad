package soak

import (
	"context"
	"time"

	"gonum.org/v1/gonum/stat"
)

// memorySampleInterval is the interval between two memory samples.
const memorySampleInterval = 500 * time.Millisecond

// MemorySample is the memory of one process at one time.
type MemorySample struct {
	At         time.Duration // since the run began
	Machine    string
	Process    int     // process id; differs after each start
	PeakMB     float64 // peak so far
	ResidentMB float64 // resident memory
	Changes    int     // changes acknowledged so far
}

// watchMemory checks that no process exceeds the memory of its machine, and reports samples.
func (r *soakRun) watchMemory(ctx context.Context) {
	exceeded := map[string]bool{}
	for ; ctx.Err() == nil; sleep(ctx, memorySampleInterval) {
		for _, m := range r.fleet.machines {
			if kb := m.peakMemory(); kb > memoryMb<<10 && !exceeded[m.name] && !r.options.UncheckedMemory {
				exceeded[m.name] = true
				r.checker.violate("FAULT", "%s uses %d MB, its machine has %d MB", m.name, kb>>10, memoryMb)
			}
			r.sampleMemory(m)
		}
	}
}

func (r *soakRun) sampleMemory(m *machine) {
	if r.options.OnMemorySample == nil {
		return
	}
	if process, resident := m.residentMemory(); process != 0 {
		r.options.OnMemorySample(MemorySample{At: time.Since(r.checker.startedAt), Machine: m.name, Process: process, PeakMB: float64(m.peakMemory()) / 1024, ResidentMB: float64(resident) / 1024, Changes: r.history.acknowledgedCount()})
	}
}

// residentMemory returns the id and the resident memory in kB of the running process; zeros if none is running.
func (m *machine) residentMemory() (process, kb int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0, 0
	}
	process = m.cmd.Process.Pid
	if kb = memoryOf(process, "VmRSS"); kb == 0 {
		return 0, 0
	}
	return process, kb
}

// MemoryTrend is a linear fit of the resident memory of one process.
type MemoryTrend struct {
	Machine              string
	Span                 time.Duration // of the fitted samples
	Changes              int           // changes acknowledged within Span
	StartMB              float64       // fitted value at the start of Span
	MBPerHour            float64
	MBPerThousandChanges float64 // zero if there were no changes
}

// memoryWarmup is the time after the start of a process that its trend excludes, as its buffers and caches still fill.
const memoryWarmup = 2 * time.Minute

// MemoryTrends fits a line by least squares to the memory of each process that ran for longer than memoryWarmup.
func MemoryTrends(samples []MemorySample) (l []MemoryTrend) {
	byProcess := map[int][]MemorySample{}
	var order []int
	for _, s := range samples {
		if len(byProcess[s.Process]) == 0 {
			order = append(order, s.Process)
		}
		byProcess[s.Process] = append(byProcess[s.Process], s)
	}
	for _, process := range order {
		if t, ok := fitTrend(byProcess[process]); ok {
			l = append(l, t)
		}
	}
	return l
}

// fitTrend fits the samples of one process, which must be in chronological order.
func fitTrend(samples []MemorySample) (MemoryTrend, bool) {
	var hours, changes, mb []float64
	for _, s := range samples {
		if s.At-samples[0].At >= memoryWarmup {
			hours, changes, mb = append(hours, s.At.Hours()), append(changes, float64(s.Changes)/1000), append(mb, s.ResidentMB)
		}
	}
	if len(mb) < 2 {
		return MemoryTrend{}, false
	}
	last := len(mb) - 1
	intercept, perHour := stat.LinearRegression(hours, mb, nil, false)
	t := MemoryTrend{Machine: samples[0].Machine, Span: time.Duration((hours[last] - hours[0]) * float64(time.Hour)), Changes: int(1000 * (changes[last] - changes[0])),
		StartMB: intercept + perHour*hours[0], MBPerHour: perHour}
	if t.Changes > 0 {
		_, t.MBPerThousandChanges = stat.LinearRegression(changes, mb, nil, false)
	}
	return t, true
}
