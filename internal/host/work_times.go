package host

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"tidedeck/internal/clock"
	"tidedeck/internal/protocol"
)

const (
	// workReportEvery is how often the log tells what a process spent its time on.
	workReportEvery = clock.Span(2e9)
	// workReported is how many kinds of work such a line names, those that took longest first.
	workReported = 5
)

// Kinds of work beside the steps of a core, which are named after their inputs.
const (
	workRead  = "read message"
	workWrite = "write message"
)

// workTime is how often a kind of work was done, and how long it took in all.
type workTime struct {
	count uint64
	took  time.Duration
}

// workTimes sums how long a process works on what, by kind. It is wall time: where threads wait for a processor, that counts.
type workTimes struct {
	mu       sync.Mutex // guards all below; taken last of all locks
	all      map[string]workTime
	recent   map[string]workTime // since the last report
	reported clock.Tick
}

func newWorkTimes() *workTimes {
	return &workTimes{all: map[string]workTime{}, recent: map[string]workTime{}}
}

// add counts work of a kind.
func (w *workTimes) add(kind string, took time.Duration) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, sums := range []map[string]workTime{w.all, w.recent} {
		sum := sums[kind]
		sum.count++
		sum.took += took
		sums[kind] = sum
	}
}

// report gives the fields of a log line about the time since the last one, if one is due.
func (w *workTimes) report(now clock.Tick) []protocol.Field {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reported == 0 {
		w.reported = now
	}
	span := now.Sub(w.reported)
	if span < workReportEvery || len(w.recent) == 0 {
		return nil
	}
	fields := []protocol.Field{{Name: "span_ms", Value: span.Milliseconds()}}
	kinds := w.longest()
	for _, kind := range kinds[:min(workReported, len(kinds))] {
		sum := w.recent[kind]
		fields = append(fields, protocol.Field{Name: kind, Value: []int64{int64(sum.count), sum.took.Milliseconds()}})
	}
	w.recent, w.reported = map[string]workTime{}, now
	return fields
}

// longest lists the recent kinds of work, those that took longest first.
func (w *workTimes) longest() []string {
	kinds := make([]string, 0, len(w.recent))
	for kind := range w.recent {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b string) int {
		return cmp.Or(cmp.Compare(w.recent[b].took, w.recent[a].took), cmp.Compare(a, b))
	})
	return kinds
}

var (
	workSeconds = prometheus.NewDesc("tidedeck_work_seconds_total", "Time spent on a kind of work: steps of a core by input, messages read and written.", []string{"work"}, nil)
	workCount   = prometheus.NewDesc("tidedeck_work_total", "How often a kind of work was done.", []string{"work"}, nil)
)

// Describe leaves the metrics unchecked; kinds of work come as they are met.
func (w *workTimes) Describe(chan<- *prometheus.Desc) {}

// Collect reads the sums.
func (w *workTimes) Collect(ch chan<- prometheus.Metric) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for kind, sum := range w.all {
		ch <- prometheus.MustNewConstMetric(workSeconds, prometheus.CounterValue, sum.took.Seconds(), kind)
		ch <- prometheus.MustNewConstMetric(workCount, prometheus.CounterValue, float64(sum.count), kind)
	}
}
