package host

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"tidedeck/internal/invariant"
)

// LogOptions configures a log.
type LogOptions struct {
	Name      string    // process name, added to every line
	DumpTo    io.Writer // receives the ring buffer when an error occurs
	JSONLines io.Writer // receives every line immediately, as JSON; nil for none
}

// NewLogWith returns a log for one process.
func NewLogWith(o LogOptions) *Log {
	r := &Log{lines: make([]string, 512), out: o.DumpTo}
	r.logger = logrus.New()
	r.logger.SetOutput(logWriter{r})
	r.logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	r.logger.AddHook(nameHook(o.Name))
	if o.JSONLines != nil {
		r.logger.AddHook(&lineHook{out: o.JSONLines, form: logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}})
	}
	return r
}

// lineHook writes every line immediately. It must run after the hook that adds the process name.
type lineHook struct {
	mu   sync.Mutex // prevents interleaved lines
	out  io.Writer
	form logrus.JSONFormatter
}

// Levels implements logrus.Hook for all levels.
func (h *lineHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire writes a line. Write errors are ignored.
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

// logViolations logs violated invariants and writes them to the ring's output immediately, because the process may be
// killed before its metrics are read. A test that observes violations itself continues to do so.
func (r *Log) logViolations() {
	invariant.ObserveByDefault(func(v invariant.Violation) {
		go func() {
			r.logger.Error(v.Error())
			r.mu.Lock()
			defer r.mu.Unlock()
			_, _ = fmt.Fprintln(r.out, v.Error())
		}()
	})
}
