// Package replay validates recordings of a router's requests, sends the requests again at a chosen speed, and compares the
// results of two runs.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/router"
	"tidedeck/internal/standin"
)

// Fault is a damaged or missing part of a recording.
type Fault struct {
	Line int
	Byte int64
	Why  string
}

// Error describes the fault with its position.
func (f Fault) Error() string { return fmt.Sprintf("line %d, byte %d: %s", f.Line, f.Byte, f.Why) }

// Recording is the content of a recording.
type Recording struct {
	Router   string
	Began    string
	Requests []router.RecordedRequest
	Dropped  int // lines that the router discarded because it could not write them in time
	Faults   []Fault
}

// Read reads a recording. It reports every damaged or missing part with its position, and returns all intact requests
// regardless.
func Read(r io.Reader) *Recording {
	rec := &Recording{}
	in := bufio.NewReaderSize(r, 1<<20)
	offset, last, closed := int64(0), int64(0), false
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		from := offset
		offset += int64(len(line))
		bad := func(form string, a ...any) { rec.Faults = append(rec.Faults, Fault{n, from, fmt.Sprintf(form, a...)}) }
		if err != nil {
			switch {
			case len(line) > 0:
				bad("truncated after %d bytes", len(line))
			case n == 1:
				bad("the recording is empty")
			case !closed:
				bad("the recording has no closing line: it was truncated, or its router did not stop in an orderly way")
			}
			return rec
		}
		line = bytes.TrimSuffix(line, []byte("\n"))
		if closed {
			bad("line after the closing line")
			continue
		}
		checksum, text, ok := bytes.Cut(line, []byte(" "))
		if !ok || fmt.Sprintf("%08x", crc32.ChecksumIEEE(text)) != string(checksum) {
			bad("checksum mismatch")
			continue
		}
		switch {
		case n == 1:
			var header struct {
				Record string `json:"record"`
				V      int    `json:"v"`
				Router string `json:"router"`
				Began  string `json:"began"`
			}
			if json.Unmarshal(text, &header) != nil || header.Record != "tidedeck" || header.V != 1 {
				bad("not a supported header line")
			}
			rec.Router, rec.Began = header.Router, header.Began
		case bytes.HasPrefix(text, []byte(`{"end":`)):
			var closing struct{ End, Lost int }
			if json.Unmarshal(text, &closing) != nil {
				bad("malformed closing line")
			} else if closing.End != len(rec.Requests) {
				bad("the closing line counts %d requests, but %d are intact", closing.End, len(rec.Requests))
			}
			rec.Dropped, closed = closing.Lost, true
		default:
			var request router.RecordedRequest
			if err := json.Unmarshal(text, &request); err != nil {
				bad("not a request: %v", err)
				continue
			}
			if request.AtMs < last {
				bad("time goes backwards from %d ms to %d ms", last, request.AtMs)
				continue
			}
			last = request.AtMs
			rec.Requests = append(rec.Requests, request)
		}
	}
}

// Run holds the results of a replay.
type Run struct {
	Record  string   `json:"record"`
	Speed   float64  `json:"speed"`
	Results []Result `json:"seen"`
}

// Result is the outcome of one request of a replay.
type Result struct {
	ID      string `json:"id"`
	Kind    string `json:"kind,omitempty"`
	Events  int    `json:"events"`
	FirstMs int64  `json:"first_ms"`
	TookMs  int64  `json:"took_ms"`
	Wrong   string `json:"wrong,omitempty"`
}

// MakeRequest converts a recorded request to a request to send. Text that was not recorded is generated in its recorded
// length; shared prompt parts with the same checksum get the same text.
func MakeRequest(recorded router.RecordedRequest, tag string) standin.Request {
	fill := func(seed string, n int) string {
		return strings.Repeat(seed+" ", n/(len(seed)+1)+1)[:n]
	}
	call := fleetplan.Request{ID: tag + recorded.ID, Model: recorded.Model, Adapter: recorded.Adapter, Kind: recorded.Kind, MaxTokens: recorded.MaxTokens, Repeatable: recorded.Repeatable, Repeat: recorded.Repeat,
		Horizon: time.Duration(recorded.HorizonMs) * time.Millisecond, Prompt: recorded.Prompt}
	if len(call.ID) > 128 {
		call.ID = call.ID[:128]
	}
	if call.Prompt == "" {
		call.Prompt = fill("prompt", recorded.PromptBytes)
	}
	for _, p := range recorded.Parts {
		if p.Text != "" {
			call.Parts = append(call.Parts, p.Text)
		} else {
			call.Parts = append(call.Parts, fill("part-"+p.Checksum, max(1, p.Bytes)))
		}
	}
	return standin.Request{Route: recorded.Route, Call: call}
}

// Replay sends the requests of a recording to the routers in turn, speed times as fast as they were recorded.
func Replay(recording *Recording, routers []string, speed float64, tag string) *Run {
	run := &Run{Speed: speed, Results: make([]Result, len(recording.Requests))}
	client := standin.Client()
	begin := time.Now()
	var pending sync.WaitGroup
	for i, recorded := range recording.Requests {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(recorded.AtMs-recording.Requests[0].AtMs) / speed * 1e6))))
		pending.Add(1)
		go func() {
			defer pending.Done()
			outcome := standin.SendOne(client, routers[i%len(routers)], MakeRequest(recorded, tag), false)
			run.Results[i] = Result{recorded.ID, outcome.Kind, outcome.Events, outcome.First.Milliseconds(), outcome.Duration.Milliseconds(), outcome.Wrong}
		}()
	}
	pending.Wait()
	return run
}

// Load reads a run from a file.
func Load(path string) (*Run, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Run
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return &r, nil
}

// Save writes a run to a file.
func (r *Run) Save(path string) error {
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o644)
}

// Summarize counts the results of a run by kind, successful ones as "answered", and returns the sorted times in ms to the
// first event of the successful ones.
func (r *Run) Summarize() (kinds map[string]int, first []int64) {
	kinds = map[string]int{}
	for _, result := range r.Results {
		if result.Kind == "" {
			kinds["answered"]++
			first = append(first, result.FirstMs)
		} else {
			kinds[result.Kind]++
		}
	}
	sort.Slice(first, func(i, j int) bool { return first[i] < first[j] })
	return kinds, first
}

// Compare prints a comparison of two runs.
func Compare(w io.Writer, a, b *Run) {
	kindsA, firstA := a.Summarize()
	kindsB, firstB := b.Summarize()
	quantile := func(l []int64, q float64) int64 {
		if len(l) == 0 {
			return 0
		}
		return l[int(q*float64(len(l)-1))]
	}
	fmt.Fprintf(w, "%-22s %8s %8s\n", "", "first", "second")
	fmt.Fprintf(w, "%-22s %8d %8d\n", "requests", len(a.Results), len(b.Results))
	names := map[string]bool{}
	for k := range kindsA {
		names[k] = true
	}
	for k := range kindsB {
		names[k] = true
	}
	var l []string
	for k := range names {
		l = append(l, k)
	}
	sort.Strings(l)
	for _, k := range l {
		fmt.Fprintf(w, "%-22s %8d %8d\n", k, kindsA[k], kindsB[k])
	}
	fmt.Fprintf(w, "%-22s %8d %8d\n", "first event, median ms", quantile(firstA, 0.5), quantile(firstB, 0.5))
	fmt.Fprintf(w, "%-22s %8d %8d\n", "first event, 95th ms", quantile(firstA, 0.95), quantile(firstB, 0.95))
	before := map[string]Result{}
	for _, result := range a.Results {
		before[result.ID] = result
	}
	different, missing := 0, 0
	for _, result := range b.Results {
		old, ok := before[result.ID]
		switch {
		case !ok:
			missing++
		case old.Kind != result.Kind || old.Kind == "" && old.Events != result.Events:
			if different++; different <= 20 {
				fmt.Fprintf(w, "differs: %s: %q with %d events, then %q with %d\n", result.ID, old.Kind, old.Events, result.Kind, result.Events)
			}
		}
	}
	fmt.Fprintf(w, "%d requests had a different outcome, %d are only in the second run\n", different, missing)
}
