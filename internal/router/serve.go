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
	"tidedeck/internal/connlimit"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/host"
	"tidedeck/internal/ident"
	"tidedeck/internal/protocol"
)

// Settings are the settings of a router that runs without a hosting platform.
type Settings struct {
	Settings string `help:"JSON settings file; flags take precedence." type:"path"`
	ID       string `help:"This router's name." required:""`
	Listen   string `help:"Address for clients over HTTP, ip:port." required:""`
	Control  string `help:"Loopback address at which the agent reaches this router, ip:port." required:""`
	Agent    string `help:"Loopback address of the agent, ip:port." required:""`
	Cache    int    `help:"Maximum number of cached placement entries." default:"512"`
	RampMs   int    `help:"How long a new replica counts as cold, in ms." default:"4000"`
	IdleMs   int    `help:"How long a server may send nothing before its attempt fails, in ms." default:"10000"`
	Record   string `help:"File in which requests are recorded for the replay tool." type:"path"`
	Prompts  bool   `help:"Record the text of prompts, too."`
	StopMs   int    `help:"How long requests in progress may take to finish at a stop, in ms." default:"600000"`
}

// Check returns the faults of the settings.
func (s *Settings) Check() (f fleetplan.Faults) {
	f = append(f, host.CheckAddr("listen", s.Listen)...)
	f = append(f, host.CheckLoopbackAddr("control", s.Control)...)
	f = append(f, host.CheckLoopbackAddr("agent", s.Agent)...)
	if s.Cache < 1 || s.Cache > 1_000_000 {
		f = append(f, fleetplan.Fault{Path: "cache", Why: "must be an integer from 1 to 1000000"})
	}
	if s.IdleMs < 100 || s.IdleMs > 600_000 {
		f = append(f, fleetplan.Fault{Path: "idle-ms", Why: "must be an integer from 100 to 600000"})
	}
	if s.RampMs < 1 || s.RampMs > 600_000 {
		f = append(f, fleetplan.Fault{Path: "ramp-ms", Why: "must be an integer from 1 to 600000"})
	}
	return f
}

// frontend is the router's HTTP interface for clients.
type frontend struct {
	inFlight
	process     *host.Process
	core        *Core
	stop        chan struct{}
	idleTimeout time.Duration
	recorder    *Recorder
	log         *RequestLog
	dialer      *net.Dialer
}

// idleTimeoutConn is a connection to a server with a timeout on each read.
type idleTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read reads from the server and fails if no data arrives within the timeout.
func (p idleTimeoutConn) Read(b []byte) (int, error) {
	_ = p.SetReadDeadline(time.Now().Add(p.timeout))
	return p.Conn.Read(b)
}

// Main runs a router until the process receives a stop signal.
func Main(s Settings) error {
	ring := host.NewLog(s.ID, os.Stderr)
	core := New(Options{
		Self: protocol.Peer{ID: ident.Node(s.ID), Addr: s.Control}, Inc: host.NewIncarnation(),
		Agent: protocol.Peer{ID: "", Addr: s.Agent}, MaxEntries: s.Cache, Ramp: clock.Span(s.RampMs) * 1e6,
	})
	f := &frontend{dialer: host.Dialer(s.Listen, 500*time.Millisecond), core: core, stop: make(chan struct{}), idleTimeout: time.Duration(s.IdleMs) * time.Millisecond,
		log: NewRequestLog(s.ID, ring, defaultRequestLogSize)}
	if s.Record != "" {
		recorder, err := OpenRecorder(s.Record, s.ID, s.Prompts)
		if err != nil {
			return err
		}
		defer recorder.Close()
		f.recorder = recorder
	}
	f.process = host.New(host.Options{Core: core, Listen: []string{s.Control}, NodeLimits: connlimit.Machine{}.Limits(connlimit.Nodes), TickInterval: 10 * time.Millisecond, Log: ring, HandleOutput: f.log.Intercept(f.Deliver)})
	if err := f.process.Run(); err != nil {
		return err
	}
	defer f.process.Stop()
	return host.ServeUntilSignal(s.Listen, connlimit.Machine{}.Limits(connlimit.Clients), f.routes(), ring, f.stopHooks(), time.Duration(s.StopMs)*time.Millisecond)
}

// stopHooks returns what a shutdown does at its begin, and with the requests that have not ended in time.
func (f *frontend) stopHooks() host.StopHooks {
	return host.StopHooks{Begin: func() { close(f.stop) }, TimeOver: func() { f.process.Step(GraceEnded{}) }}
}

func (f *frontend) routes() http.Handler {
	mux := flow.New()
	host.AddHealthEndpoints(mux, "/-", func() (ok bool, fields map[string]any) {
		f.process.Locked(func(now clock.Instant) {
			_, epoch, held := f.core.InForce(now)
			fields, ok = map[string]any{"epoch": epoch}, held && epoch > 0
		})
		select {
		case <-f.stop:
			ok = false
		default:
		}
		return ok, fields
	})
	mux.Handle("/-/metrics", metrics(f.process, f.core, nil, f.log), http.MethodGet)
	mux.Handle("/-/requests", f.log, http.MethodGet)
	mux.HandleFunc("/...", f.serveCall, http.MethodPost)
	return mux
}

// operatorRoutes returns the handler of a hosted router's operator interface: metrics and request traces.
func operatorRoutes(log *RequestLog, metrics http.Handler) http.Handler {
	mux := flow.New()
	for _, path := range []string{"/-/metrics", "/metrics"} {
		mux.Handle(path, metrics, http.MethodGet)
	}
	mux.Handle("/-/requests", log, http.MethodGet)
	return mux
}

// endCounts is the number of logged requests by the way in which they ended.
type endCounts struct{ Ended map[failure.Kind]uint64 }

// metrics returns the handler of the router's metrics.
func metrics(c *host.Process, core *Core, relay *Relay, log *RequestLog) http.Handler {
	collectors := []prometheus.Collector{c.WorkTimes(), host.StructMetrics{Name: "router_requests", Read: func() any { return endCounts{log.Counts()} }}}
	if relay != nil {
		collectors = append(collectors, relay.requestSeconds, host.StructMetrics{Name: "relay", Read: func() any { return relay.Counts() }},
			host.StructMetrics{Name: "connections", Read: func() any { return relay.Counts().ConnTally }},
			host.StructMetrics{Name: "client_connections", Read: func() any { return relay.ClientCounts() }})
	}
	return host.MetricsHandler(append(collectors, host.StructMetrics{Name: "router", Read: func() (t any) {
		c.Locked(func(clock.Instant) { t = core.Counts() })
		return t
	}}, host.StructMetrics{Name: "router", Read: func() any {
		var values struct{ Entries, Waiting, Epoch, Leased, Parted int }
		c.Locked(func(now clock.Instant) {
			values.Entries, values.Waiting = core.Size()
			_, epoch, held := core.InForce(now)
			values.Epoch, values.Leased, values.Parted = int(epoch), generic.BoolToInt(held), generic.BoolToInt(core.partitioned)
		})
		return values
	}})...)
}

// serveCall handles one client's request from its arrival to the end of its response.
func (f *frontend) serveCall(w http.ResponseWriter, r *http.Request) {
	raw, ok := host.ReadBody(w, r, fleetplan.MaxBodyBytes)
	if !ok {
		return
	}
	call, faults := fleetplan.ReadRequest(raw)
	if faults != nil {
		host.WriteError(w, failure.Malformed, 0, faults)
		return
	}
	call.Credential = fleetplan.ReadBearer(r.Header.Values("Authorization"))
	inFlight := f.register(r.Context())
	defer f.remove(inFlight)
	ref := inFlight.ref
	if f.recorder != nil {
		f.recorder.Add(r.URL.Path, call)
	}
	f.process.Step(Call{Ref: ref, Route: r.URL.Path, Request: call})
	stream := &clientStream{w: w, control: http.NewResponseController(w), writeTimeout: f.idleTimeout}
	for {
		select {
		case <-r.Context().Done():
			f.abandon(ref)
		case decision := <-inFlight.decisions:
			switch v := decision.(type) {
			case Refusal:
				stream.writeRefusal(v)
				return
			case Launch:
				how, kind := f.runAttempt(inFlight.attempts, v, stream)
				if stream.clientGone || r.Context().Err() != nil {
					f.abandon(ref)
				}
				f.process.Step(Ended{Ref: ref, N: v.N, Outcome: how, Kind: kind})
				if how == Done {
					return
				}
			}
		}
	}
}

// abandon ends a request whose client has disconnected and aborts the connection. If the handler returned instead,
// net/http would terminate the response, and a client that has only closed its sending side would take it for
// complete.
func (f *frontend) abandon(ref Ref) {
	f.process.Step(Quit{ref})
	panic(http.ErrAbortHandler)
}

// runAttempt makes one attempt. It dials first, then asks immediately before sending whether the request may be
// sent, and sends it on a connection of its own, so that the HTTP transport cannot silently resend it.
func (f *frontend) runAttempt(ctx context.Context, v Launch, stream *clientStream) (Outcome, failure.Kind) {
	conn, err := f.dialer.DialContext(ctx, "tcp", v.Addr)
	if err != nil {
		return Unsent, failure.None
	}
	defer conn.Close()
	conn = idleTimeoutConn{conn, f.idleTimeout}
	b, err := json.Marshal(v.Work)
	if err != nil {
		return Unsent, failure.None
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.Addr+"/generate", bytes.NewReader(b))
	if err != nil {
		return Unsent, failure.None
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	allowed := false
	f.process.Locked(func(now clock.Instant) { allowed = f.core.MaySend(now, v.Ref, v.N) })
	if !allowed {
		return Kept, failure.None
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Lost, failure.None
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var problem host.ErrorBody
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		if json.Unmarshal(b, &problem) == nil && (problem.Dropped || problem.Kind == failure.Repeated) {
			return Dropped, problem.Kind
		}
		return Lost, failure.None
	}
	return f.relayStream(resp.Body, v, stream)
}

// maxEventBytes limits the size of one event from a server.
const maxEventBytes = 256 << 10

// streamReaders pools the readers of event streams: allocating a new one cost more than the rest of an attempt.
var streamReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxEventBytes) }}

// StreamEvent is the part of an event that the router checks.
type StreamEvent struct {
	N      int          `json:"n"`
	Go     string       `json:"go"`
	Server ident.Server `json:"server"`
	Done   bool         `json:"done"`
}

// IsNext reports whether an event is the next one of the attempt's own stream.
func (l StreamEvent) IsNext(v Launch, n int) bool {
	return l.Go == v.Work.AttemptID && l.Server == v.Server && l.N == n
}

// relayStream forwards a server's events and checks that each is the next one of this attempt.
func (f *frontend) relayStream(body io.Reader, v Launch, stream *clientStream) (Outcome, failure.Kind) {
	reader := streamReaders.Get().(*bufio.Reader)
	reader.Reset(body)
	defer func() {
		reader.Reset(nil)
		streamReaders.Put(reader)
	}()
	next := 0
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil { // also if an event exceeds maxEventBytes
			return Lost, failure.None
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		var event StreamEvent
		if json.Unmarshal(data, &event) != nil || !event.IsNext(v, next) {
			return Lost, failure.None
		}
		if next == 0 {
			f.process.Step(Begun{Ref: v.Ref, N: v.N})
		}
		next++
		if stream.writeEvent(data); stream.clientGone {
			return Lost, failure.None // the client has disconnected, so nobody reads the response
		}
		if event.Done {
			return Done, failure.None
		}
	}
}

// clientStream is the client's side of a response.
type clientStream struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration // a client that accepts no data for this long is disconnected
	started      bool
	clientGone   bool
}

func (s *clientStream) writeEvent(data []byte) {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	_, err := fmt.Fprintf(s.w, "data: %s\n\n", data)
	s.clientGone = err != nil || s.control.Flush() != nil
}

// writeRefusal ends a response that no server has completed: with a status if nothing was sent yet, otherwise with
// an error event.
func (s *clientStream) writeRefusal(v Refusal) {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	if !s.started {
		host.WriteError(s.w, v.Kind, v.RetryAfter, nil)
		return
	}
	receipt := failure.Responses[v.Kind]
	body, _ := json.Marshal(host.ErrorBody{Kind: v.Kind, Dropped: receipt.NotExecuted, RetryAfterMs: v.RetryAfter.Milliseconds()})
	_, _ = fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", body)
	if flusher, ok := s.w.(http.Flusher); ok {
		flusher.Flush()
	}
}
