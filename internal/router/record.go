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

// RecordedRequest is one line of a record of requests. Unless prompts are recorded, the length of the prompt and the
// checksums of its shared parts replace the text.
type RecordedRequest struct {
	AtMs        int64          `json:"at_ms"`
	Route       string         `json:"route"`
	ID          string         `json:"id"`
	Model       string         `json:"model"`
	Adapter     string         `json:"adapter,omitempty"`
	Kind        string         `json:"kind"`
	Parts       []RecordedPart `json:"parts,omitempty"`
	PromptBytes int            `json:"prompt_bytes"`
	Prompt      string         `json:"prompt,omitempty"`
	MaxTokens   int            `json:"max_tokens"`
	HorizonMs   int64          `json:"horizon_ms,omitempty"`
	Repeatable  bool           `json:"repeatable,omitempty"`
	Repeat      bool           `json:"repeat,omitempty"`
}

// RecordedPart is a shared part of a recorded prompt.
type RecordedPart struct {
	Checksum string `json:"sum"`
	Bytes    int    `json:"bytes"`
	Text     string `json:"text,omitempty"`
}

// Recorder writes incoming requests to a file, one per line, each line with its own checksum.
type Recorder struct {
	mu       sync.Mutex // guards dropped and sends on lines
	file     *os.File
	writer   *bufio.Writer
	lines    chan RecordedRequest
	done     chan struct{}
	keepText bool
	start    int64
	dropped  int
}

// OpenRecorder starts a record. It fails if the file already exists.
func OpenRecorder(path, name string, keepText bool) (*Recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "create record file")
	}
	r := &Recorder{file: f, writer: bufio.NewWriter(f), lines: make(chan RecordedRequest, 4096), done: make(chan struct{}), keepText: keepText, start: int64(host.Now())}
	r.write(fmt.Sprintf(`{"record":"tidedeck","v":1,"router":%q,"began":%q}`, name, time.Now().UTC().Format(time.RFC3339)))
	go r.run()
	return r, nil
}

func (r *Recorder) write(line string) {
	_, _ = fmt.Fprintf(r.writer, "%08x %s\n", crc32.ChecksumIEEE([]byte(line)), line)
}

func (r *Recorder) run() {
	defer close(r.done)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	recorded := 0
	for {
		select {
		case request, ok := <-r.lines:
			if !ok {
				r.write(fmt.Sprintf(`{"end":%d,"lost":%d}`, recorded, r.dropped))
				_ = r.writer.Flush()
				_ = r.file.Sync()
				_ = r.file.Close()
				return
			}
			line, _ := json.Marshal(request)
			r.write(string(line))
			recorded++
		case <-ticker.C:
			_ = r.writer.Flush()
		}
	}
}

// Add records a request. If the writer cannot keep up, the request is dropped from the record and counted.
func (r *Recorder) Add(route string, c fleetplan.Request) {
	line := RecordedRequest{AtMs: (int64(host.Now()) - r.start) / 1e6, Route: route, ID: c.ID, Model: c.Model, Adapter: c.Adapter, Kind: c.Kind,
		PromptBytes: len(c.Prompt), MaxTokens: c.MaxTokens, HorizonMs: c.Horizon.Milliseconds(), Repeatable: c.Repeatable, Repeat: c.Repeat}
	if r.keepText {
		line.Prompt = c.Prompt
	}
	for _, text := range c.Parts {
		part := RecordedPart{Checksum: fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(text))), Bytes: len(text)}
		if r.keepText {
			part.Text = text
		}
		line.Parts = append(line.Parts, part)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case r.lines <- line:
	default:
		r.dropped++
	}
}

// Close ends the record with a line that has the number of recorded and of dropped requests.
func (r *Recorder) Close() {
	close(r.lines)
	<-r.done
}
