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
	// workReportInterval is the interval between log lines about the process's working times.
	workReportInterval = clock.Span(2e9)
	// maxReportedKinds is the number of kinds of work per log line, those with the longest times first.
	maxReportedKinds = 5
)

// Kinds of work other than core steps, which are named after their inputs.
const (
	workDecode = "read message"
	workEncode = "write message"
)

// workTime is the count and total duration of one kind of work.
type workTime struct {
	count uint64
	total time.Duration
}

// workTimes sums the durations of work by kind. Durations are wall time, so waiting for a processor counts.
type workTimes struct {
	mu         sync.Mutex // guards all fields below; always the last lock to be acquired
	totals     map[string]workTime
	recent     map[string]workTime // since the last report
	reportedAt clock.Instant
}

func newWorkTimes() *workTimes {
	return &workTimes{totals: map[string]workTime{}, recent: map[string]workTime{}}
}

// add records work of a kind.
func (w *workTimes) add(kind string, took time.Duration) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, times := range []map[string]workTime{w.totals, w.recent} {
		sum := times[kind]
		sum.count++
		sum.total += took
		times[kind] = sum
	}
}

// report returns the fields of a log line about the time since the last report, or nil if none is due.
func (w *workTimes) report(now clock.Instant) []protocol.Field {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reportedAt == 0 {
		w.reportedAt = now
	}
	span := now.Sub(w.reportedAt)
	if span < workReportInterval || len(w.recent) == 0 {
		return nil
	}
	fields := []protocol.Field{{Name: "span_ms", Value: span.Milliseconds()}}
	kinds := w.longest()
	for _, kind := range kinds[:min(maxReportedKinds, len(kinds))] {
		sum := w.recent[kind]
		fields = append(fields, protocol.Field{Name: kind, Value: []int64{int64(sum.count), sum.total.Milliseconds()}})
	}
	w.recent, w.reportedAt = map[string]workTime{}, now
	return fields
}

// longest returns the recent kinds of work, those with the longest times first.
func (w *workTimes) longest() []string {
	kinds := make([]string, 0, len(w.recent))
	for kind := range w.recent {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b string) int {
		return cmp.Or(cmp.Compare(w.recent[b].total, w.recent[a].total), cmp.Compare(a, b))
	})
	return kinds
}

var (
	workSeconds = prometheus.NewDesc("tidedeck_work_seconds_total", "Time spent on a kind of work: steps of a core by input, messages read and written.", []string{"work"}, nil)
	workCount   = prometheus.NewDesc("tidedeck_work_total", "How often a kind of work was done.", []string{"work"}, nil)
)

// Describe sends nothing, so the metrics are unchecked: the kinds of work are not known in advance.
func (w *workTimes) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current sums.
func (w *workTimes) Collect(ch chan<- prometheus.Metric) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for kind, sum := range w.totals {
		ch <- prometheus.MustNewConstMetric(workSeconds, prometheus.CounterValue, sum.total.Seconds(), kind)
		ch <- prometheus.MustNewConstMetric(workCount, prometheus.CounterValue, float64(sum.count), kind)
	}
}
