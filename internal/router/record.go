package router

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
)

// Logged is one line of a recorded day. Without the prompt's text, its length and the
// digests of its shared parts stand in for it.
type Logged struct {
	At     int64  `json:"at_ms"`
	Route  string `json:"route"`
	ID     string `json:"id"`
	Base   string `json:"model"`
	Extra  string `json:"adapter,omitempty"`
	Kind   string `json:"kind"`
	Parts  []Part `json:"parts,omitempty"`
	Length int    `json:"prompt_bytes"`
	Prompt string `json:"prompt,omitempty"`
	Max    int    `json:"max_tokens"`
	WaitMs int64  `json:"horizon_ms,omitempty"`
	Again  bool   `json:"repeatable,omitempty"`
	Repeat bool   `json:"repeat,omitempty"`
}

// Part is a shared part of a prompt as it is recorded.
type Part struct {
	Sum    string `json:"sum"`
	Length int    `json:"bytes"`
	Text   string `json:"text,omitempty"`
}

// Recorder writes a day's requests, a line each, every line with its own checksum.
type Recorder struct {
	mu    sync.Mutex // guards the writer; the recorder's goroutine alone holds it across a write
	f     *os.File
	w     *bufio.Writer
	lines chan Logged
	done  chan struct{}
	text  bool
	from  int64
	lost  int
}

// OpenRecorder begins a record; a file that is there already is not written over.
func OpenRecorder(path, name string, text bool) (*Recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	r := &Recorder{f: f, w: bufio.NewWriter(f), lines: make(chan Logged, 4096), done: make(chan struct{}), text: text, from: int64(host.Now())}
	r.write(fmt.Sprintf(`{"record":"tidedeck","v":1,"router":%q,"began":%q}`, name, time.Now().UTC().Format(time.RFC3339)))
	go r.run()
	return r, nil
}

func (r *Recorder) write(s string) {
	_, _ = fmt.Fprintf(r.w, "%08x %s\n", crc32.ChecksumIEEE([]byte(s)), s)
}

func (r *Recorder) run() {
	defer close(r.done)
	t := time.NewTicker(time.Second)
	defer t.Stop()
	n := 0
	for {
		select {
		case l, ok := <-r.lines:
			if !ok {
				r.write(fmt.Sprintf(`{"end":%d,"lost":%d}`, n, r.lost))
				_ = r.w.Flush()
				_ = r.f.Sync()
				_ = r.f.Close()
				return
			}
			b, _ := json.Marshal(l)
			r.write(string(b))
			n++
		case <-t.C:
			_ = r.w.Flush()
		}
	}
}

// Add records a request; a record that cannot keep up loses lines, and counts them.
func (r *Recorder) Add(route string, c fleetplan.Call) {
	l := Logged{At: (int64(host.Now()) - r.from) / 1e6, Route: route, ID: c.ID, Base: c.Base, Extra: c.Extra, Kind: c.Kind,
		Length: len(c.Prompt), Max: c.Max, WaitMs: c.Wait.Milliseconds(), Again: c.Again, Repeat: c.Repeat}
	if r.text {
		l.Prompt = c.Prompt
	}
	for _, p := range c.Parts {
		q := Part{Sum: fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(p))), Length: len(p)}
		if r.text {
			q.Text = p
		}
		l.Parts = append(l.Parts, q)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case r.lines <- l:
	default:
		r.lost++
	}
}

// Close ends the record; its last line counts the others.
func (r *Recorder) Close() {
	close(r.lines)
	<-r.done
}
