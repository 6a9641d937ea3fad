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

// What requests were late or lost for, summed from the traces that routers log: where the time went of those that were
// answered late, and what ended those that were not answered.

const (
	causeServer  = "server"  // queued or read at the server
	causeEarlier = "earlier" // attempts before the last one
	maxLineBytes = 1 << 20
)

// Loss counts the requests that have one cause.
type Loss struct {
	Late     bool   `json:"late"` // answered, and late
	Cause    string `json:"cause"`
	Target   string `json:"what"` // base, adapter or service
	Requests int    `json:"requests"`
	WaitedMs int64  `json:"waited_ms"` // of that cause
}

// Explanation sums losses by cause.
type Explanation struct{ losses map[Loss]*Loss }

// NewExplanation makes an empty one.
func NewExplanation() *Explanation { return &Explanation{losses: map[Loss]*Loss{}} }

// Read takes in the request traces among log lines; whatever stands before a line's JSON is skipped.
func (x *Explanation) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for lines.Scan() {
		line := lines.Bytes()
		at := bytes.IndexByte(line, '{')
		if at < 0 {
			continue
		}
		var entry struct {
			Request *router.RequestTrace `json:"request"`
		}
		if json.Unmarshal(line[at:], &entry) == nil && entry.Request != nil {
			x.Add(*entry.Request)
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read log lines")
	}
	return nil
}

// Add takes in one trace.
func (x *Explanation) Add(t router.RequestTrace) {
	loss := Loss{Late: t.End == router.EndedServed, Target: targetOf(t)}
	waited := int64(0)
	if loss.Late {
		loss.Cause, waited = longestWait(t)
	} else {
		loss.Cause = lossCause(t)
	}
	sum := x.losses[loss]
	if sum == nil {
		sum = &Loss{Late: loss.Late, Cause: loss.Cause, Target: loss.Target}
		x.losses[loss] = sum
	}
	sum.Requests++
	sum.WaitedMs += waited
}

// whatOf tells what a request asked for.
func targetOf(t router.RequestTrace) string {
	switch {
	case t.Key.Plain() || t.Key == "":
		return "service"
	case t.Key.IsAdapter():
		return "adapter"
	}
	return "base"
}

// longest gives what took most of the time until a late answer began.
func longestWait(t router.RequestTrace) (cause string, ms int64) {
	spans := map[string]int64{}
	atRouter := int64(0)
	for wait, span := range t.WaitsMs {
		spans[string(wait)] = span
		atRouter += span
	}
	if n := len(t.Attempts); n > 0 {
		last := t.Attempts[n-1]
		spans[causeServer] = t.FirstMs - last.AtMs
		spans[causeEarlier] = last.AtMs - atRouter
	}
	for c, span := range spans {
		if span > ms || span == ms && c < cause {
			cause, ms = c, span
		}
	}
	return cause, ms
}

// lastWord tells what ended a request that no server answered.
func lossCause(t router.RequestTrace) string {
	words := []string{t.End, string(t.Kind)}
	if n := len(t.Attempts); n > 0 {
		last := t.Attempts[n-1]
		words = append(words, string(last.How), string(last.Cause))
		if last.Status != 0 {
			words = append(words, fmt.Sprint(last.Status))
		}
	} else {
		words = append(words, "not sent")
	}
	return strings.Join(strings.Fields(strings.Join(words, " ")), " ")
}

// Losses lists what was summed, the most frequent first.
func (x *Explanation) Losses() (all []Loss) {
	for _, l := range x.losses {
		all = append(all, *l)
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

// WriteText writes the sums for people.
func (x *Explanation) WriteText(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "outcome\tcause\tasked for\trequests\tmean wait, ms")
	for _, l := range x.Losses() {
		outcome, wait := "lost", "-"
		if l.Late {
			outcome, wait = "late", fmt.Sprint(l.WaitedMs/int64(l.Requests))
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t%s\n", outcome, l.Cause, l.Target, l.Requests, wait)
	}
	if err := tab.Flush(); err != nil {
		return errors.Wrap(err, "write the sums")
	}
	return nil
}
