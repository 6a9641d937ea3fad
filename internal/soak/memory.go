package soak

import (
	"context"
	"time"

	"gonum.org/v1/gonum/stat"
)

// memoryPeriod is how often the processes' memory is looked at.
const memoryPeriod = 500 * time.Millisecond

// MemorySample is the memory that one process has at a moment.
type MemorySample struct {
	At      time.Duration // since the run began
	Machine string
	Process int     // id, a new one at each start
	Peak    float64 // MB, the most so far
	Now     float64 // MB, resident
	Changes int     // acknowledged so far
}

// watchMemory holds the memory of each process against its machine's, and tells of it.
func (r *soakRun) watchMemory(ctx context.Context) {
	over := map[string]bool{}
	for ; ctx.Err() == nil; wait(ctx, memoryPeriod) {
		for _, m := range r.fleet.machines {
			if kb := m.peak(); kb > memoryMb<<10 && !over[m.name] {
				over[m.name] = true
				r.judge.violate("FAULT", "%s has %d MB of %d", m.name, kb>>10, memoryMb)
			}
			r.sampleMemory(m)
		}
	}
}

func (r *soakRun) sampleMemory(m *machine) {
	if r.options.Memory == nil {
		return
	}
	if process, resident := m.resident(); process != 0 {
		r.options.Memory(MemorySample{At: time.Since(r.judge.began), Machine: m.name, Process: process, Peak: float64(m.peak()) / 1024, Now: float64(resident) / 1024, Changes: r.ledger.acknowledged()})
	}
}

// resident gives the process's id and the memory that it has now, in kB; zero if it does not run.
func (m *machine) resident() (process, kb int) {
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

// MemoryTrend is a line through the memory of one process.
type MemoryTrend struct {
	Machine string
	Span    time.Duration // of its samples
	Changes int           // acknowledged within it
	Start   float64       // MB, of the line where it begins
	PerHour float64       // MB
	PerK    float64       // MB for a thousand changes; zero where there were none
}

// mostWarmup is the beginning of a process's life that its trend leaves out: it still fills its buffers and caches.
const mostWarmup = 2 * time.Minute

// MemoryTrends fits a line through the memory of each process that lived for longer than its warm-up, by least squares.
func MemoryTrends(samples []MemorySample) (l []MemoryTrend) {
	lives := map[int][]MemorySample{}
	var order []int
	for _, s := range samples {
		if len(lives[s.Process]) == 0 {
			order = append(order, s.Process)
		}
		lives[s.Process] = append(lives[s.Process], s)
	}
	for _, process := range order {
		if t, ok := trend(lives[process]); ok {
			l = append(l, t)
		}
	}
	return l
}

// trend fits one process's samples, which are in order.
func trend(life []MemorySample) (MemoryTrend, bool) {
	var hours, changes, mb []float64
	for _, s := range life {
		if s.At-life[0].At >= mostWarmup {
			hours, changes, mb = append(hours, s.At.Hours()), append(changes, float64(s.Changes)/1000), append(mb, s.Now)
		}
	}
	if len(mb) < 2 {
		return MemoryTrend{}, false
	}
	last := len(mb) - 1
	zero, perHour := stat.LinearRegression(hours, mb, nil, false)
	t := MemoryTrend{Machine: life[0].Machine, Span: time.Duration((hours[last] - hours[0]) * float64(time.Hour)), Changes: int(1000 * (changes[last] - changes[0])),
		Start: zero + perHour*hours[0], PerHour: perHour}
	if t.Changes > 0 {
		_, t.PerK = stat.LinearRegression(changes, mb, nil, false)
	}
	return t, true
}
