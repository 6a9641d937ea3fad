package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"tidedeck/internal/router"
)

// This file sums the request traces that routers log: which phase took longest for requests that were answered late, and
// what ended those that were not answered.

const (
	causeServer  = "server"  // queueing and prompt processing at the server
	causeEarlier = "earlier" // attempts before the last
	maxLineBytes = 1 << 20
)

// Loss counts the late or lost requests with one cause.
type Loss struct {
	Late     bool   `json:"late"` // answered, but late
	Cause    string `json:"cause"`
	Target   string `json:"what"` // base, adapter or service
	Requests int    `json:"requests"`
	WaitedMs int64  `json:"waited_ms"` // due to the cause
}

// Explanation sums losses by cause.
type Explanation struct{ losses map[Loss]*Loss }

// NewExplanation returns an empty Explanation.
func NewExplanation() *Explanation { return &Explanation{losses: map[Loss]*Loss{}} }

// Read adds the request traces among log lines. It skips any prefix before a line's JSON object.
func (x *Explanation) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for lines.Scan() {
		line := lines.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			continue
		}
		var entry struct {
			Request *router.RequestTrace `json:"request"`
		}
		if json.Unmarshal(line[start:], &entry) == nil && entry.Request != nil {
			x.Add(*entry.Request)
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read log lines")
	}
	return nil
}

// Add adds one trace.
func (x *Explanation) Add(trace router.RequestTrace) {
	loss := Loss{Late: trace.End == router.EndedServed, Target: targetOf(trace)}
	waited := int64(0)
	if loss.Late {
		loss.Cause, waited = longestWait(trace)
	} else {
		loss.Cause = lossCause(trace)
	}
	total := x.losses[loss]
	if total == nil {
		total = &Loss{Late: loss.Late, Cause: loss.Cause, Target: loss.Target}
		x.losses[loss] = total
	}
	total.Requests++
	total.WaitedMs += waited
}

// targetOf returns the kind of target that a request names.
func targetOf(trace router.RequestTrace) string {
	switch {
	case trace.Key.IsWholeService() || trace.Key == "":
		return "service"
	case trace.Key.IsAdapter():
		return "adapter"
	}
	return "base"
}

// longestWait returns the phase that took longest until a late answer began.
func longestWait(trace router.RequestTrace) (cause string, ms int64) {
	spans := map[string]int64{}
	atRouter := int64(0)
	for wait, span := range trace.WaitsMs {
		spans[string(wait)] = span
		atRouter += span
	}
	if n := len(trace.Attempts); n > 0 {
		last := trace.Attempts[n-1]
		spans[causeServer] = trace.FirstMs - last.AtMs
		spans[causeEarlier] = last.AtMs - atRouter
	}
	for candidate, span := range spans {
		if span > ms || span == ms && candidate < cause {
			cause, ms = candidate, span
		}
	}
	return cause, ms
}

// lossCause describes what ended a request that no server answered.
func lossCause(trace router.RequestTrace) string {
	words := []string{trace.End, string(trace.Kind)}
	if n := len(trace.Attempts); n > 0 {
		last := trace.Attempts[n-1]
		words = append(words, string(last.How), string(last.Cause))
		if last.Status != 0 {
			words = append(words, fmt.Sprint(last.Status))
		}
	} else {
		words = append(words, "not sent")
	}
	return strings.Join(strings.Fields(strings.Join(words, " ")), " ")
}

// Losses returns the sums: late requests first, then by descending number of requests.
func (x *Explanation) Losses() (all []Loss) {
	for _, loss := range x.losses {
		all = append(all, *loss)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		switch {
		case a.Late != b.Late:
			return a.Late
		case a.Requests != b.Requests:
			return a.Requests > b.Requests
		}
		return a.Cause+a.Target < b.Cause+b.Target
	})
	return all
}

// WriteText writes the sums as a text table.
func (x *Explanation) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "outcome\tcause\ttarget\trequests\tmean wait, ms")
	for _, loss := range x.Losses() {
		outcome, wait := "lost", "-"
		if loss.Late {
			outcome, wait = "late", fmt.Sprint(loss.WaitedMs/int64(loss.Requests))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", outcome, loss.Cause, loss.Target, loss.Requests, wait)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write sums")
	}
	return nil
}
