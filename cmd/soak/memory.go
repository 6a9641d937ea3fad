package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"strconv"
	"sync"

	"github.com/go-faster/errors"

	"tidedeck/internal/soak"
)

// memorySamples collects the memory samples of a run.
type memorySamples struct {
	mu      sync.Mutex // guards samples
	samples []soak.MemorySample
}

func (r *memorySamples) add(s soak.MemorySample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// writeAndPrint writes the samples to a file and prints the memory trend of each process.
func (r *memorySamples) writeAndPrint(path string, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := writeSamples(path, r.samples); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	for _, t := range soak.MemoryTrends(r.samples) {
		fmt.Printf("seed %d: memory of %s over %v and %d changes: %.1f MB, %+.2f MB per hour, %+.3f MB per 1,000 changes\n",
			seed, t.Machine, t.Span.Round(1e9), t.Changes, t.StartMB, t.MBPerHour, t.MBPerThousandChanges)
	}
}

func writeSamples(path string, samples []soak.MemorySample) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create memory sample file")
	}
	defer file.Close()
	w := csv.NewWriter(file)
	_ = w.Write([]string{"seconds", "machine", "process", "peak_mb", "resident_mb", "changes"})
	for _, s := range samples {
		_ = w.Write([]string{
			fmt.Sprintf("%.1f", s.At.Seconds()), s.Machine, strconv.Itoa(s.Process), fmt.Sprintf("%.2f", s.PeakMB), fmt.Sprintf("%.2f", s.ResidentMB), strconv.Itoa(s.Changes),
		})
	}
	w.Flush()
	if err := w.Error(); err != nil {
		return errors.Wrap(err, "write memory samples")
	}
	return nil
}
