package router

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/alexedwards/flow"
	"github.com/prometheus/client_golang/prometheus"

	"tidedeck/internal/clock"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Settings of a router.
type Settings struct {
	Settings string `help:"File of settings, JSON; flags go before it." type:"path"`
	ID       string `help:"This router's name." required:""`
	Listen   string `help:"Where callers reach this router over HTTP, ip:port." required:""`
	Control  string `help:"Where the agent reaches this router, on loopback, ip:port." required:""`
	Agent    string `help:"Where the agent is near, on loopback, ip:port." required:""`
	Cache    int    `help:"Placement entries kept at the most." default:"512"`
	RampMs   int    `help:"A replica is cold for so long, in ms." default:"4000"`
	IdleMs   int    `help:"A server that sends nothing for so long is given up, in ms." default:"10000"`
	Record   string `help:"File to record the day's requests in, for the replay tool." type:"path"`
	Prompts  bool   `help:"Record the prompts' text too."`
	StopMs   int    `help:"What is under way may take so long to finish at a stop, in ms." default:"600000"`
}

// Check names what is wrong with the settings.
func (s *Settings) Check() (f fleetplan.Faults) {
	f = append(f, host.Addr("listen", s.Listen)...)
	f = append(f, host.Near("control", s.Control)...)
	f = append(f, host.Near("agent", s.Agent)...)
	if s.Cache < 1 || s.Cache > 1_000_000 {
		f = append(f, fleetplan.Fault{Path: "cache", Why: "wants a whole number from 1 to 1000000"})
	}
	if s.IdleMs < 100 || s.IdleMs > 600_000 {
		f = append(f, fleetplan.Fault{Path: "idle-ms", Why: "wants a whole number from 100 to 600000"})
	}
	if s.RampMs < 1 || s.RampMs > 600_000 {
		f = append(f, fleetplan.Fault{Path: "ramp-ms", Why: "wants a whole number from 1 to 600000"})
	}
	return f
}

// door is where callers come in.
type door struct {
	opened
	c      *host.Process
	core   *Core
	stop   chan struct{}
	idle   time.Duration
	record *Recorder
	log    *RequestLog
	dial   *net.Dialer
}

// patient is a connection to a server that is given up after a silence.
type patient struct {
	net.Conn
	idle time.Duration
}

// Read waits for the server's next word, for a while.
func (p patient) Read(b []byte) (int, error) {
	_ = p.SetReadDeadline(time.Now().Add(p.idle))
	return p.Conn.Read(b)
}

// Main runs a router until it is told to stop.
func Main(s Settings) error {
	ring := host.NewRing(s.ID, os.Stderr)
	core := New(Options{
		Me: protocol.Sibling{ID: ident.Node(s.ID), Addr: s.Control}, Inc: host.NewInc(),
		Agent: protocol.Sibling{ID: "", Addr: s.Agent}, Cache: s.Cache, Ramp: clock.Span(s.RampMs) * 1e6,
	})
	d := &door{dial: host.Dialer(s.Listen, 500*time.Millisecond), core: core, stop: make(chan struct{}), idle: time.Duration(s.IdleMs) * time.Millisecond,
		log: NewRequestLog(s.ID, ring, defaultRequestLog)}
	if s.Record != "" {
		r, err := OpenRecorder(s.Record, s.ID, s.Prompts)
		if err != nil {
			return err
		}
		defer r.Close()
		d.record = r
	}
	d.c = host.New(host.Options{Core: core, Listen: []string{s.Control}, Beat: 10 * time.Millisecond, Ring: ring, Else: d.log.Tap(d.Act)})
	if err := d.c.Run(); err != nil {
		return err
	}
	defer d.c.Stop()
	return host.Web(s.Listen, d.routes(), ring, func() { close(d.stop) }, time.Duration(s.StopMs)*time.Millisecond)
}

func (d *door) routes() http.Handler {
	m := flow.New()
	host.Life(m, "/-", func() (ok bool, v map[string]any) {
		d.c.With(func(now clock.Tick) {
			_, e, held := d.core.Rules(now)
			v, ok = map[string]any{"epoch": e}, held && e > 0
		})
		select {
		case <-d.stop:
			ok = false
		default:
		}
		return ok, v
	})
	m.Handle("/-/metrics", metrics(d.c, d.core, nil, d.log), http.MethodGet)
	m.Handle("/-/requests", d.log, http.MethodGet)
	m.HandleFunc("/...", d.call, http.MethodPost)
	return m
}

// operatorRoutes are what a hosted router shows its operators: metrics, and what became of requests.
func operatorRoutes(log *RequestLog, metrics http.Handler) http.Handler {
	m := flow.New()
	for _, path := range []string{"/-/metrics", "/metrics"} {
		m.Handle(path, metrics, http.MethodGet)
	}
	m.Handle("/-/requests", log, http.MethodGet)
	return m
}

// endedCounts is how many requests ended otherwise than by their first attempt, by way of ending.
type endedCounts struct{ Ended map[failure.Kind]uint64 }

// metrics shows what a router did and has.
func metrics(c *host.Process, core *Core, relay *Relay, log *RequestLog) http.Handler {
	l := []prometheus.Collector{c.Times(), host.Tallies{Name: "router_requests", Get: func() any { return endedCounts{log.Counts()} }}}
	if relay != nil {
		l = append(l, relay.seconds, host.Tallies{Name: "relay", Get: func() any { return relay.Counts() }},
			host.Tallies{Name: "connections", Get: func() any { return relay.Counts().ConnTally }})
	}
	return host.Metrics(append(l, host.Tallies{Name: "router", Get: func() (t any) {
		c.With(func(clock.Tick) { t = core.Counts() })
		return t
	}}, host.Tallies{Name: "router", Get: func() any {
		var v struct{ Entries, Waiting, Epoch, Leased, Parted int }
		c.With(func(now clock.Tick) {
			v.Entries, v.Waiting = core.Size()
			_, e, held := core.Rules(now)
			v.Epoch, v.Leased, v.Parted = int(e), generic.One(held), generic.One(core.parted)
		})
		return v
	}})...)
}

// call carries one caller's request from its arrival to its last word.
func (d *door) call(w http.ResponseWriter, r *http.Request) {
	raw, ok := host.Body(w, r, fleetplan.MostBody)
	if !ok {
		return
	}
	x, f := fleetplan.ReadCall(raw)
	if f != nil {
		host.Error(w, failure.Malformed, 0, f)
		return
	}
	x.Credential = fleetplan.ReadBearer(r.Header.Values("Authorization"))
	ref, ch, done := d.add()
	defer done()
	if d.record != nil {
		d.record.Add(r.URL.Path, x)
	}
	d.c.Step(Call{Ref: ref, Route: r.URL.Path, Call: x})
	s := &stream{w: w, to: http.NewResponseController(w), idle: d.idle}
	for {
		select {
		case <-r.Context().Done():
			d.leave(ref)
		case o := <-ch:
			switch v := o.(type) {
			case Receipt:
				s.drop(v)
				return
			case Launch:
				how, kind := d.run(r.Context(), v, s)
				if s.gone || r.Context().Err() != nil {
					d.leave(ref)
				}
				d.c.Step(Ended{Ref: ref, N: v.N, How: how, Kind: kind})
				if how == Done {
					return
				}
			}
		}
	}
}

// leave ends a request whose caller left, and breaks the connection off: net/http would write an end behind
// a handler that returned, and a caller that only ended its sending side would take it for an answer.
func (d *door) leave(ref Ref) {
	d.c.Step(Quit{ref})
	panic(http.ErrAbortHandler)
}

// run makes one attempt: it dials first, asks whether it may send at the very point of sending,
// and sends on a connection of its own, so that nothing below repeats a request unseen.
func (d *door) run(ctx context.Context, v Launch, s *stream) (End, failure.Kind) {
	conn, err := d.dial.DialContext(ctx, "tcp", v.Addr)
	if err != nil {
		return Unsent, failure.None
	}
	defer conn.Close()
	conn = patient{conn, d.idle}
	b, err := json.Marshal(v.Work)
	if err != nil {
		return Unsent, failure.None
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.Addr+"/generate", bytes.NewReader(b))
	if err != nil {
		return Unsent, failure.None
	}
	q.GetBody = nil
	q.Header.Set("Content-Type", "application/json")
	may := false
	d.c.With(func(now clock.Tick) { may = d.core.MaySend(now, v.Ref, v.N) })
	if !may {
		return Kept, failure.None
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
	defer t.CloseIdleConnections()
	a, err := t.RoundTrip(q)
	if err != nil {
		return Lost, failure.None
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		var p host.Problem
		b, _ := io.ReadAll(io.LimitReader(a.Body, 64<<10))
		if json.Unmarshal(b, &p) == nil && (p.Dropped || p.Kind == failure.Repeated) {
			return Dropped, p.Kind
		}
		return Lost, failure.None
	}
	return d.flow(a.Body, v, s)
}

// mostEvent bounds one event of a server's.
const mostEvent = 256 << 10

// Readers of streams are used again: a new one for each attempt cost more than the attempt.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, mostEvent) }}

// Line is what a router checks of every event.
type Line struct {
	N      int          `json:"n"`
	Go     string       `json:"go"`
	Server ident.Server `json:"server"`
	Done   bool         `json:"done"`
}

// Follows tells whether an event is the next one of this go's own stream.
func (l Line) Follows(v Launch, n int) bool {
	return l.Go == v.Work.Go && l.Server == v.Server && l.N == n
}

// flow passes a server's events on, each checked to be the next one of this go.
func (d *door) flow(body io.Reader, v Launch, s *stream) (End, failure.Kind) {
	in := readers.Get().(*bufio.Reader)
	in.Reset(body)
	defer func() {
		in.Reset(nil)
		readers.Put(in)
	}()
	n := 0
	for {
		l, err := in.ReadSlice('\n')
		if err != nil { // an event past the bound, too
			return Lost, failure.None
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(l), []byte("data: "))
		if !ok {
			continue
		}
		var x Line
		if json.Unmarshal(data, &x) != nil || !x.Follows(v, n) {
			return Lost, failure.None
		}
		if n == 0 {
			d.c.Step(Begun{Ref: v.Ref, N: v.N})
		}
		n++
		if s.pass(data); s.gone {
			return Lost, failure.None // nobody reads it any more
		}
		if x.Done {
			return Done, failure.None
		}
	}
}

// stream is the caller's side of an answer.
type stream struct {
	w    http.ResponseWriter
	to   *http.ResponseController
	idle time.Duration // a caller that takes nothing for so long is given up
	open bool
	gone bool
}

func (s *stream) pass(data []byte) {
	if !s.open {
		s.open = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	_ = s.to.SetWriteDeadline(time.Now().Add(s.idle))
	_, err := fmt.Fprintf(s.w, "data: %s\n\n", data)
	s.gone = err != nil || s.to.Flush() != nil
}

// drop says the last word when it is not a server's: as a status while nothing was sent
// yet, as an error event when the stream was already open.
func (s *stream) drop(v Receipt) {
	_ = s.to.SetWriteDeadline(time.Now().Add(s.idle))
	if !s.open {
		host.Error(s.w, v.Kind, v.Back, nil)
		return
	}
	a := failure.Receipts[v.Kind]
	b, _ := json.Marshal(host.Problem{Kind: v.Kind, Dropped: a.Dropped, BackMs: v.Back.Milliseconds()})
	_, _ = fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", b)
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
}
