package host

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"tidedeck/internal/invariant"
)

// RingOptions are those of a log.
type RingOptions struct {
	Name  string    // of the process, on every line
	Out   io.Writer // gets the ring when something goes wrong
	Lines io.Writer // gets every line at once, as JSON; nil for none
}

// NewRingWith makes a log for one process.
func NewRingWith(o RingOptions) *Ring {
	r := &Ring{list: make([]string, 512), out: o.Out}
	r.log = logrus.New()
	r.log.SetOutput(ringWriter{r})
	r.log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	r.log.AddHook(nameHook(o.Name))
	if o.Lines != nil {
		r.log.AddHook(&lineHook{out: o.Lines, form: logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}})
	}
	return r
}

// lineHook writes every line at once; it comes after the hook that names lines.
type lineHook struct {
	mu   sync.Mutex // keeps lines whole
	out  io.Writer
	form logrus.JSONFormatter
}

// Levels tells that every line is written.
func (h *lineHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire writes a line; a log that cannot be written stops nothing.
func (h *lineHook) Fire(e *logrus.Entry) error {
	b, err := h.form.Format(e)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = h.out.Write(b)
	return nil
}

// logViolations has violated invariants logged, and written to the ring's output at once: the process may be
// killed before anybody asks for its metrics. A test that watches them itself goes on doing so.
func (r *Ring) logViolations() {
	invariant.ObserveByDefault(func(v invariant.Violation) {
		go func() {
			r.log.Error(v.Error())
			r.mu.Lock()
			defer r.mu.Unlock()
			_, _ = fmt.Fprintln(r.out, v.Error())
		}()
	})
}
