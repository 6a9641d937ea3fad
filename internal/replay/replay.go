// Package replay replays recorded days: it checks a record, sends its requests again at a
// chosen speed, and compares what two runs saw.
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

// Place is where in a record something is wrong.
type Place struct {
	Line int
	Byte int64
	Why  string
}

// Error tells the place and what is wrong there.
func (p Place) Error() string { return fmt.Sprintf("line %d, byte %d: %s", p.Line, p.Byte, p.Why) }

// Day is a record that was read.
type Day struct {
	Router string
	Began  string
	Lines  []router.Logged
	Lost   int // lines that the router itself could not keep up with
	Bad    []Place
}

// Read reads a record. What is damaged or missing is told with its place; what is sound is
// given all the same.
func Read(r io.Reader) *Day {
	d := &Day{}
	in := bufio.NewReaderSize(r, 1<<20)
	at, last, ended := int64(0), int64(0), false
	for n := 1; ; n++ {
		l, err := in.ReadBytes('\n')
		from := at
		at += int64(len(l))
		bad := func(form string, a ...any) { d.Bad = append(d.Bad, Place{n, from, fmt.Sprintf(form, a...)}) }
		if err != nil {
			switch {
			case len(l) > 0:
				bad("is cut short after %d bytes", len(l))
			case n == 1:
				bad("the record is empty")
			case !ended:
				bad("the record ends without its last line: it was truncated, or its router did not stop as planned")
			}
			return d
		}
		l = bytes.TrimSuffix(l, []byte("\n"))
		if ended {
			bad("follows the last line")
			continue
		}
		sum, text, ok := bytes.Cut(l, []byte(" "))
		if !ok || fmt.Sprintf("%08x", crc32.ChecksumIEEE(text)) != string(sum) {
			bad("its checksum does not fit: it is damaged")
			continue
		}
		switch {
		case n == 1:
			var h struct {
				Record string `json:"record"`
				V      int    `json:"v"`
				Router string `json:"router"`
				Began  string `json:"began"`
			}
			if json.Unmarshal(text, &h) != nil || h.Record != "tidedeck" || h.V != 1 {
				bad("is no head of a record that this replay knows")
			}
			d.Router, d.Began = h.Router, h.Began
		case bytes.HasPrefix(text, []byte(`{"end":`)):
			var e struct{ End, Lost int }
			if json.Unmarshal(text, &e) != nil {
				bad("is no sound last line")
			} else if e.End != len(d.Lines) {
				bad("counts %d requests where %d are sound", e.End, len(d.Lines))
			}
			d.Lost, ended = e.Lost, true
		default:
			var x router.Logged
			if err := json.Unmarshal(text, &x); err != nil {
				bad("is no request: %v", err)
				continue
			}
			if x.At < last {
				bad("goes back in time from %d ms to %d ms", last, x.At)
				continue
			}
			last = x.At
			d.Lines = append(d.Lines, x)
		}
	}
}

// Run is what a replay saw.
type Run struct {
	Record string  `json:"record"`
	Speed  float64 `json:"speed"`
	Seen   []Seen  `json:"seen"`
}

// Seen is what became of one request of a replay.
type Seen struct {
	ID      string `json:"id"`
	Kind    string `json:"kind,omitempty"`
	Events  int    `json:"events"`
	FirstMs int64  `json:"first_ms"`
	TookMs  int64  `json:"took_ms"`
	Wrong   string `json:"wrong,omitempty"`
}

// Ask makes a request of a recorded line. Text that was not recorded is made up, in its
// recorded length and, for shared parts, the same wherever the digest is the same.
func Ask(x router.Logged, tag string) standin.Ask {
	fill := func(seed string, n int) string {
		return strings.Repeat(seed+" ", n/(len(seed)+1)+1)[:n]
	}
	c := fleetplan.Call{ID: tag + x.ID, Base: x.Base, Extra: x.Extra, Kind: x.Kind, Max: x.Max, Again: x.Again, Repeat: x.Repeat,
		Wait: time.Duration(x.WaitMs) * time.Millisecond, Prompt: x.Prompt}
	if len(c.ID) > 128 {
		c.ID = c.ID[:128]
	}
	if c.Prompt == "" {
		c.Prompt = fill("prompt", x.Length)
	}
	for _, p := range x.Parts {
		if p.Text != "" {
			c.Parts = append(c.Parts, p.Text)
		} else {
			c.Parts = append(c.Parts, fill("part-"+p.Sum, max(1, p.Length)))
		}
	}
	return standin.Ask{Route: x.Route, Call: c}
}

// Replay sends a day's requests to routers in turn, speed times as fast as they came.
func Replay(d *Day, routers []string, speed float64, tag string) *Run {
	r := &Run{Speed: speed, Seen: make([]Seen, len(d.Lines))}
	h := standin.Client()
	begin := time.Now()
	var all sync.WaitGroup
	for i, x := range d.Lines {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(x.At-d.Lines[0].At) / speed * 1e6))))
		all.Add(1)
		go func() {
			defer all.Done()
			o := standin.One(h, routers[i%len(routers)], Ask(x, tag), false)
			r.Seen[i] = Seen{x.ID, o.Kind, o.Events, o.First.Milliseconds(), o.Took.Milliseconds(), o.Wrong}
		}()
	}
	all.Wait()
	return r
}

// Load reads the file of a run.
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

// Save writes the file of a run.
func (r *Run) Save(path string) error {
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o644)
}

// Sum draws a run up by kind; answers count under "answered".
func (r *Run) Sum() (kinds map[string]int, first []int64) {
	kinds = map[string]int{}
	for _, s := range r.Seen {
		if s.Kind == "" {
			kinds["answered"]++
			first = append(first, s.FirstMs)
		} else {
			kinds[s.Kind]++
		}
	}
	sort.Slice(first, func(i, j int) bool { return first[i] < first[j] })
	return kinds, first
}

// Compare writes where two runs differ.
func Compare(w io.Writer, a, b *Run) {
	ka, fa := a.Sum()
	kb, fb := b.Sum()
	at := func(l []int64, q float64) int64 {
		if len(l) == 0 {
			return 0
		}
		return l[int(q*float64(len(l)-1))]
	}
	fmt.Fprintf(w, "%-22s %8s %8s\n", "", "first", "second")
	fmt.Fprintf(w, "%-22s %8d %8d\n", "requests", len(a.Seen), len(b.Seen))
	names := map[string]bool{}
	for k := range ka {
		names[k] = true
	}
	for k := range kb {
		names[k] = true
	}
	var l []string
	for k := range names {
		l = append(l, k)
	}
	sort.Strings(l)
	for _, k := range l {
		fmt.Fprintf(w, "%-22s %8d %8d\n", k, ka[k], kb[k])
	}
	fmt.Fprintf(w, "%-22s %8d %8d\n", "first event, median ms", at(fa, 0.5), at(fb, 0.5))
	fmt.Fprintf(w, "%-22s %8d %8d\n", "first event, 95th ms", at(fa, 0.95), at(fb, 0.95))
	was := map[string]Seen{}
	for _, s := range a.Seen {
		was[s.ID] = s
	}
	other, missing := 0, 0
	for _, s := range b.Seen {
		o, ok := was[s.ID]
		switch {
		case !ok:
			missing++
		case o.Kind != s.Kind || o.Kind == "" && o.Events != s.Events:
			if other++; other <= 20 {
				fmt.Fprintf(w, "differs: %s: %q with %d events, then %q with %d\n", s.ID, o.Kind, o.Events, s.Kind, s.Events)
			}
		}
	}
	fmt.Fprintf(w, "%d requests fared otherwise, %d are only in the second\n", other, missing)
}
