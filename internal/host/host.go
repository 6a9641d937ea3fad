// Package host runs a core on a machine: it provides the clock, sockets, disk, timers, logs and metrics, and executes
// the core's outputs.
package host

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/alexedwards/flow"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"tidedeck/internal/clock"
	"tidedeck/internal/connlimit"
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/invariant"
	"tidedeck/internal/protocol"
)

// Now reads CLOCK_BOOTTIME, which never jumps and continues during suspend.
func Now() clock.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux has it
	}
	return clock.Instant(t.Nano())
}

// NewIncarnation draws an incarnation. Later incarnations on the same machine are higher, and those of two machines
// are very unlikely to be equal.
func NewIncarnation() ident.Incarnation {
	return ident.Incarnation(time.Now().UnixMicro())<<8&(1<<62-1) | ident.Incarnation(rand.Uint64()&0xff)
}

// NewRand returns a random source for a core.
func NewRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Core is a deterministic state machine that a host can run.
type Core interface {
	Step(now clock.Instant, in any) []any
}

// Options configures a Process.
type Options struct {
	Core         Core
	Listen       []string         // addresses on which other processes connect
	NodeLimits   connlimit.Limits // limits on what these connections hold together
	Advertised   string           // the address advertised to other processes; outgoing connections use its IP
	DataDir      string           // data folder; empty for a process without a disk
	TickInterval time.Duration
	Log          *Log
	HandleOutput func(out any)                                                                 // executes outputs that are specific to the program
	OnMessage    func(protocol.Envelope)                                                       // sees each message before the core does; must not block
	DialTimeout  time.Duration                                                                 // timeout for establishing a connection; 500 ms by default
	LocalCores   map[string]func(protocol.Envelope)                                            // cores in the same process, by advertised address
	SendRequest  func(context.Context, *http.Client, protocol.HTTPRequest) protocol.HTTPResult // sends requests to servers; nil for the built-in JSON protocol
}

// Process runs one core. Its lock is acquired before the lock of any queue and is never held during I/O.
type Process struct {
	options       Options
	mu            sync.Mutex
	transport     *transport
	disk          *disk
	requests      chan protocol.HTTPRequest
	client        *http.Client
	reusingClient *http.Client // reuses connections, for requests that change nothing
	ctx           context.Context
	stop          context.CancelFunc
	requestCtx    context.Context // bounds the requests in progress
	abortRequests context.CancelFunc
	running       sync.WaitGroup

	times *workTimes
}

// unreadBytes is the size of the receive buffer of a connection to a server, in bytes.
const unreadBytes = 64 << 10

// New returns a Process that is not running yet.
func New(o Options) *Process {
	generic.SetDefault(&o.DialTimeout, 500*time.Millisecond)
	c := &Process{options: o, requests: make(chan protocol.HTTPRequest, 1024), times: newWorkTimes()}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.requestCtx, c.abortRequests = context.WithCancel(c.ctx)
	c.transport = newTransport(c.ctx, o.Advertised, o.DialTimeout, c.receive)
	c.transport.localCores, c.transport.times = o.LocalCores, c.times
	dial := BoundUnread(Dialer(o.Advertised, o.DialTimeout), unreadBytes).DialContext
	c.client = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, Proxy: nil, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // data delayed by a network partition must not arrive after the request was given up
			}
			return conn, err
		}},
	}
	reusing := c.client.Transport.(*http.Transport).Clone()
	reusing.DisableKeepAlives, reusing.MaxIdleConnsPerHost, reusing.IdleConnTimeout = false, 1, 4*time.Second
	c.reusingClient = &http.Client{CheckRedirect: c.client.CheckRedirect, Transport: reusing}
	return c
}

// Run opens the disk, starts listening and starts the core.
func (c *Process) Run() error {
	c.options.Log.logViolations()
	if c.options.DataDir != "" {
		fail := func(err error) {
			// A disk that lost confirmed data must not vote: exit at once and report it.
			c.options.Log.ErrorWithDump(err.Error())
			fmt.Fprintf(os.Stderr, "exiting: the disk lost confirmed data: %v\n", err)
			os.Exit(3)
		}
		opened, values, damaged, err := awaitDisk(c.ctx, diskBackoff, func() (*disk, map[string][]byte, bool, error) { return openDisk(c.options.DataDir, fail) }, func(err error) {
			c.options.Log.ErrorWithDump("cannot open the data folder, retrying: " + err.Error())
		})
		if err != nil {
			return err
		}
		if damaged {
			c.options.Log.ErrorWithDump("data folder damaged: moved aside, starting with an empty one")
		}
		opened.onSaved, opened.log = func(s protocol.Saved) { c.Step(s) }, func(text string) { c.options.Log.Info(text) }
		c.disk = opened
		c.running.Add(1)
		go func() { defer c.running.Done(); opened.run() }()
		c.Step(protocol.Start{Disk: values})
	}
	for _, addr := range c.options.Listen {
		if err := c.transport.listen(addr, c.options.NodeLimits); err != nil {
			return err
		}
	}
	for range 32 {
		go c.sendRequests()
	}
	go func() {
		ticker := time.NewTicker(c.options.TickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-c.ctx.Done():
				return
			case <-ticker.C:
				c.Step(protocol.TimerTick{})
			}
		}
	}()
	return nil
}

// Stop stops the core and closes its disk.
func (c *Process) Stop() {
	c.stop()
	if c.disk != nil {
		c.disk.close()
	}
	c.running.Wait()
}

// AbortRequests aborts all requests in progress, as a restart does.
func (c *Process) AbortRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortRequests()
	c.requestCtx, c.abortRequests = context.WithCancel(c.ctx)
}

// Flush waits until all queued messages are sent, for at most the given time.
func (c *Process) Flush(most time.Duration) { c.transport.flush(most) }

// receive handles a message from another process.
func (c *Process) receive(e protocol.Envelope) {
	if c.options.OnMessage != nil {
		c.options.OnMessage(e)
	}
	c.Step(e)
}

// Step passes one input to the core and executes its outputs.
func (c *Process) Step(in any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, began := Now(), time.Now() // the second needs no system call
	for _, out := range c.options.Core.Step(now, in) {
		c.execute(out)
	}
	took := time.Since(began)
	c.times.add(inputName(in), took)
	if took > slowStepThreshold {
		c.options.Log.Info("slow step", protocol.Field{Name: "input", Value: inputName(in)}, protocol.Field{Name: "ms", Value: took.Milliseconds()})
	}
	if fields := c.times.report(now); fields != nil {
		c.options.Log.Info("working time by kind", fields...)
	}
}

// slowStepThreshold is the duration above which a step is logged: the core blocks everything else meanwhile.
const slowStepThreshold = 100 * time.Millisecond

// inputNames maps the inputs defined in protocol to their names in logs and metrics. Dashboards use these names, so an
// input keeps its name when its type is renamed.
var inputNames = map[reflect.Type]string{
	reflect.TypeFor[protocol.TimerTick]():    "protocol.Beat",
	reflect.TypeFor[protocol.Start]():        "protocol.Start",
	reflect.TypeFor[protocol.Stop]():         "protocol.Stop",
	reflect.TypeFor[protocol.Saved]():        "protocol.Saved",
	reflect.TypeFor[protocol.Computed]():     "protocol.Computed",
	reflect.TypeFor[protocol.HTTPResult]():   "protocol.Told",
	reflect.TypeFor[protocol.SeedsChanged](): "protocol.Reseed",
}

// inputName returns the name of an input in logs and metrics: the kind of a message, and the type of any other input.
func inputName(in any) string {
	if e, ok := in.(protocol.Envelope); ok {
		return protocol.Kind(e.Body)
	}
	if name, ok := inputNames[reflect.TypeOf(in)]; ok {
		return name
	}
	return fmt.Sprintf("%T", in)
}

// WorkTimes returns the collector of the process's working times.
func (c *Process) WorkTimes() prometheus.Collector { return c.times }

// Locked calls f while the core is locked.
func (c *Process) Locked(f func(now clock.Instant)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(Now())
}

func (c *Process) execute(o any) {
	switch out := o.(type) {
	case protocol.Envelope:
		c.transport.send(out)
	case protocol.Save:
		c.disk.put(out)
	case protocol.Compute:
		go func() {
			out.Run()
			c.Step(protocol.Computed{Token: out.Token})
		}()
	case protocol.HTTPRequest:
		select {
		case c.requests <- out:
		default:
			go c.Step(protocol.HTTPResult{Token: out.Token})
		}
	case protocol.LogLine:
		c.options.Log.Info(out.Text, out.Fields...)
	case protocol.ErrorReport:
		go c.options.Log.ErrorWithDump(out.Text)
	default:
		c.options.HandleOutput(o)
	}
}

func (c *Process) sendRequests() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case ask := <-c.requests:
			c.Step(c.sendRequest(ask))
		}
	}
}

func (c *Process) sendRequest(ask protocol.HTTPRequest) protocol.HTTPResult {
	c.mu.Lock()
	requestCtx := c.requestCtx
	c.mu.Unlock()
	ctx, stop := context.WithTimeout(requestCtx, ask.Timeout)
	defer stop()
	result := protocol.HTTPResult{Token: ask.Token}
	if ask.NotAfter != 0 && Now() > ask.NotAfter {
		return result
	}
	if c.options.SendRequest != nil {
		client := c.client
		if ask.ReuseConn {
			client = c.reusingClient
		}
		result = c.options.SendRequest(ctx, client, ask)
		result.Token = ask.Token
		return result
	}
	how, body := http.MethodGet, io.Reader(nil)
	if ask.Body != nil {
		b, err := json.Marshal(ask.Body)
		if err != nil {
			return result
		}
		how, body = http.MethodPost, bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, how, "http://"+ask.Addr+ask.Path, body)
	if err != nil {
		return result
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(r)
	if err != nil {
		return result
	}
	defer response.Body.Close()
	b, err := io.ReadAll(io.LimitReader(response.Body, maxMessageSize))
	if err != nil {
		return result
	}
	return protocol.HTTPResult{Token: ask.Token, OK: true, Code: response.StatusCode, Body: b}
}

// Log is a ring buffer of log lines in memory that is written out when an error occurs.
type Log struct {
	mu       sync.Mutex
	logger   *logrus.Logger
	lines    []string
	written  int
	out      io.Writer
	dumpedAt time.Time
}

// NewLog returns a log for one process.
func NewLog(name string, out io.Writer) *Log {
	return NewLogWith(LogOptions{Name: name, DumpTo: out})
}

type nameHook string

// Levels implements logrus.Hook for all levels.
func (nameHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the process name to a line.
func (h nameHook) Fire(e *logrus.Entry) error {
	e.Data["who"] = string(h)
	return nil
}

type logWriter struct{ ring *Log }

// Write stores a line in the ring buffer.
func (w logWriter) Write(b []byte) (int, error) {
	w.ring.mu.Lock()
	defer w.ring.mu.Unlock()
	w.ring.lines[w.ring.written%len(w.ring.lines)] = string(b)
	w.ring.written++
	return len(b), nil
}

// Info logs a line with its fields.
func (r *Log) Info(s string, fields ...protocol.Field) { r.entry(fields).Info(s) }

// entry returns a log entry with the fields.
func (r *Log) entry(fields []protocol.Field) *logrus.Entry {
	values := make(logrus.Fields, len(fields))
	for _, f := range fields {
		values[f.Name] = f.Value
	}
	return r.logger.WithFields(values)
}

// ErrorWithDump logs an error and writes out the ring buffer, at most once per second.
func (r *Log) ErrorWithDump(s string) {
	r.logger.Error(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.dumpedAt) < time.Second {
		return
	}
	r.dumpedAt = time.Now()
	var b strings.Builder
	b.WriteString("---- what led to it ----\n")
	for i := max(0, r.written-len(r.lines)); i < r.written; i++ {
		b.WriteString(r.lines[i%len(r.lines)])
	}
	r.written = 0
	_, _ = io.WriteString(r.out, b.String())
}

// StructMetrics exports a struct of counts as metrics: each uint64 field is a counter, each int field a gauge, and each
// map a counter with a label.
type StructMetrics struct {
	Name string
	Read func() any
}

// Describe sends nothing, so the metrics are unchecked; they follow from the struct.
func (t StructMetrics) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current counts.
func (t StructMetrics) Collect(ch chan<- prometheus.Metric) {
	counts := reflect.ValueOf(t.Read())
	for i := range counts.NumField() {
		field := counts.Field(i)
		name := "tidedeck_" + t.Name + "_" + strings.ToLower(counts.Type().Field(i).Name)
		switch field.Kind() {
		case reflect.Uint64:
			ch <- prometheus.MustNewConstMetric(prometheus.NewDesc(name+"_total", "Count of "+counts.Type().Field(i).Name+".", nil, nil), prometheus.CounterValue, float64(field.Uint()))
		case reflect.Int:
			ch <- prometheus.MustNewConstMetric(prometheus.NewDesc(name, "Now: "+counts.Type().Field(i).Name+".", nil, nil), prometheus.GaugeValue, float64(field.Int()))
		case reflect.Map:
			desc := prometheus.NewDesc(name+"_total", "Count of "+counts.Type().Field(i).Name+" by kind.", []string{"kind"}, nil)
			for _, key := range field.MapKeys() {
				ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(field.MapIndex(key).Uint()), key.String())
			}
		}
	}
}

// MetricsHandler returns a handler that exports the given collectors and the metrics of the Go runtime.
func MetricsHandler(sources ...prometheus.Collector) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), invariant.Collector())
	registry.MustRegister(sources...)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// Parse reads the flags and, if --settings names a file, settings of the same names from it, and checks them all
// before anything starts. If there are faults, it reports each of them and exits. It returns the command, if there
// are several.
func Parse(cli any, name, about string, checks ...func() fleetplan.Faults) string {
	parser, err := kong.New(cli, kong.Name(name), kong.Description(about), kong.UsageOnError())
	if err != nil {
		panic(err)
	}
	args := os.Args[1:]
	var faults fleetplan.Faults
	if path := settingsPath(args); path != "" {
		raw, err := os.ReadFile(path)
		if err != nil {
			faults = append(faults, fleetplan.Fault{Path: path, Why: err.Error()})
		} else {
			resolver, found := readSettings(parser, raw)
			faults = append(faults, found...)
			kong.Resolvers(resolver).Apply(parser)
		}
	}
	cmd := ""
	parsed, err := parser.Parse(args)
	if err != nil {
		faults = append(faults, fleetplan.Fault{Path: "flags", Why: err.Error()})
	} else {
		cmd = parsed.Command()
		for _, check := range checks {
			faults = append(faults, check()...)
		}
	}
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintf(os.Stderr, "%s: %s: %s\n", name, fault.Path, fault.Why)
		}
		os.Exit(2)
	}
	return cmd
}

func settingsPath(args []string) string {
	for i, arg := range args {
		if value, ok := strings.CutPrefix(arg, "--settings="); ok {
			return value
		}
		if arg == "--settings" && i+1 < len(args) {
			return args[i+1]
		}
	}
	return ""
}

func readSettings(parser *kong.Kong, raw []byte) (kong.Resolver, fleetplan.Faults) {
	root, faults := fleetplan.ParseJSON(raw)
	var names []string
	for _, group := range parser.Model.AllFlags(true) {
		for _, flag := range group {
			if flag.Name != "help" && flag.Name != "settings" {
				names = append(names, flag.Name)
			}
		}
	}
	root.RejectUnknown(names...)
	values := map[string]any{}
	_ = json.Unmarshal(raw, &values)
	var resolver kong.ResolverFunc = func(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
		value, ok := values[flag.Name]
		if !ok {
			return nil, nil
		}
		if list, ok := value.([]any); ok {
			var texts []string
			for _, element := range list {
				texts = append(texts, fmt.Sprint(element))
			}
			return strings.Join(texts, ","), nil
		}
		return fmt.Sprint(value), nil
	}
	return resolver, *faults
}

// Dialer returns a dialer that connects from the IP of the advertised address, so that peers see the process's
// identity. With an unspecified or empty address the kernel chooses.
func Dialer(advertised string, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
	addr, err := netip.ParseAddrPort(advertised)
	if err != nil || addr.Addr().IsUnspecified() {
		return dialer
	}
	dialer.LocalAddr = &net.TCPAddr{IP: addr.Addr().AsSlice()}
	// The kernel chooses the port at connect time; choosing it at bind time would exhaust the ports sooner.
	dialer.Control = func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1) })
	}
	return dialer
}

// ListenAddr validates the listen address, which defaults to the advertised one, and returns it.
func ListenAddr(bind, advertised string) (string, fleetplan.Faults) {
	if bind == "" {
		return advertised, nil
	}
	return bind, CheckAddr("bind", bind)
}

// CheckAddr validates an ip:port setting.
func CheckAddr(path, s string) fleetplan.Faults {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return fleetplan.Faults{{Path: path, Why: fmt.Sprintf("must be an ip:port address, got %q", s)}}
	}
	return nil
}

// CheckLoopbackAddr validates an ip:port setting that must be a loopback address.
func CheckLoopbackAddr(path, s string) fleetplan.Faults {
	if f := CheckAddr(path, s); f != nil {
		return f
	}
	if a, _ := netip.ParseAddrPort(s); !a.Addr().IsLoopback() {
		return fleetplan.Faults{{Path: path, Why: fmt.Sprintf("must be a loopback address, got %q", s)}}
	}
	return nil
}

// CheckSeeds validates the seeds: three distinct ip:port addresses.
func CheckSeeds(addresses []string) (faults fleetplan.Faults) {
	if len(addresses) != 3 {
		faults = append(faults, fleetplan.Fault{Path: "seeds", Why: fmt.Sprintf("must be three addresses, got %d", len(addresses))})
	}
	seen := map[string]bool{}
	for i, addr := range addresses {
		faults = append(faults, CheckAddr(fmt.Sprintf("seeds[%d]", i), addr)...)
		if seen[addr] {
			faults = append(faults, fleetplan.Fault{Path: fmt.Sprintf("seeds[%d]", i), Why: "duplicate address"})
		}
		seen[addr] = true
	}
	return faults
}

// SeedPeers converts seed addresses to processes whose IDs are not known yet.
func SeedPeers(addresses []string) (peers []protocol.Peer) {
	for _, addr := range addresses {
		peers = append(peers, protocol.Peer{Addr: addr})
	}
	return peers
}

// StopHooks are called in the course of a shutdown. Each of them may be nil.
type StopHooks struct {
	Begin    func() // called when the shutdown begins
	TimeOver func() // called if requests are still in progress when their time is over; it must end them
}

// timeOverTimeout is the time in which the requests that StopHooks.TimeOver ends have to be answered.
const timeOverTimeout = time.Second

// ServeUntilSignal serves HTTP within the limits until the process receives SIGTERM or SIGINT, then waits up to within for
// requests in progress.
func ServeUntilSignal(addr string, limits connlimit.Limits, handler http.Handler, ring *Log, hooks StopHooks, within time.Duration) error {
	listener, err := limits.Listen(context.Background(), net.ListenConfig{}, addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: operatorHeaderTimeout, IdleTimeout: operatorIdleTimeout, MaxHeaderBytes: maxOperatorHead,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connAcceptedKey{}, Now())
		}}
	listener = limitServer(server, limits).Wrap(listener)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-signals:
	}
	ring.Info("shutting down: waiting for requests in progress")
	return shutDown(server, hooks, within)
}

// shutDown shuts a server down and waits up to within for requests in progress.
func shutDown(server *http.Server, hooks StopHooks, within time.Duration) error {
	if hooks.Begin != nil {
		hooks.Begin()
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	err := server.Shutdown(ctx)
	if err == nil || hooks.TimeOver == nil {
		return err
	}
	hooks.TimeOver()
	answered, cancelAnswered := context.WithTimeout(context.Background(), timeOverTimeout)
	defer cancelAnswered()
	return server.Shutdown(answered)
}

type connAcceptedKey struct{}

// ConnAcceptedAt returns the time at which the request's connection was accepted.
func ConnAcceptedAt(r *http.Request) clock.Instant {
	t, _ := r.Context().Value(connAcceptedKey{}).(clock.Instant)
	return t
}

// AddHealthEndpoints adds the liveness and readiness endpoints.
func AddHealthEndpoints(mux *flow.Mux, prefix string, ready func() (bool, map[string]any)) {
	mux.HandleFunc(prefix+"/live", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, map[string]bool{"live": true})
	}, http.MethodGet)
	mux.HandleFunc(prefix+"/ready", func(w http.ResponseWriter, _ *http.Request) {
		ok, v := ready()
		if v == nil {
			v = map[string]any{}
		}
		v["ready"] = ok
		WriteJSON(w, map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable}[ok], v)
	}, http.MethodGet)
}

// WriteJSON writes a JSON response.
func WriteJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadBody reads a request body of at most the given size. It writes an error response if that fails.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	// The deadline stops a slow client from blocking the handler; writing the response has no deadline.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(30 * time.Second))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			WriteError(w, failure.Oversize, 0, fleetplan.Faults{{Path: "$", Why: fmt.Sprintf("body exceeds %d bytes", limit)}})
			return nil, false
		}
		WriteError(w, failure.Malformed, 0, fleetplan.Faults{{Path: "$", Why: "incomplete body"}})
		return nil, false
	}
	return body, true
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Kind         failure.Kind     `json:"kind"`
	Dropped      bool             `json:"dropped"` // the request was certainly not executed
	RetryAfterMs int64            `json:"retry_after_ms,omitempty"`
	Faults       fleetplan.Faults `json:"faults,omitempty"`
}

// WriteError writes the error response for a kind; a nonzero back overrides the kind's Retry-After time.
func WriteError(w http.ResponseWriter, kind failure.Kind, back clock.Span, faults fleetplan.Faults) {
	response := failure.Responses[kind]
	if back == 0 {
		back = response.RetryAfter
	}
	setRetryAfter(w.Header(), back)
	if response.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", fleetplan.BearerScheme)
	}
	WriteJSON(w, response.Status, ErrorBody{kind, response.NotExecuted, back.Milliseconds(), faults})
}

func setRetryAfter(header http.Header, back clock.Span) {
	if back > 0 {
		header.Set("Retry-After", fmt.Sprint(int64((back+time.Second-1)/time.Second)))
	}
}

// RefusalOnConn returns the bytes of the error response for a kind, for a client whose request is not read.
func RefusalOnConn(kind failure.Kind) []byte {
	response := failure.Responses[kind]
	header := http.Header{"Content-Type": {"application/json"}}
	setRetryAfter(header, response.RetryAfter)
	body, _ := json.Marshal(ErrorBody{Kind: kind, Dropped: response.NotExecuted, RetryAfterMs: response.RetryAfter.Milliseconds()})
	return connlimit.Answer(response.Status, header, body)
}
