// Package host holds a core to the machine: it gives it a clock, sockets, a disk, timers,
// logs and metrics, and does what the core asks for.
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
	"tidedeck/internal/failure"
	"tidedeck/internal/fleetplan"
	"tidedeck/internal/generic"
	"tidedeck/internal/ident"
	"tidedeck/internal/invariant"
	"tidedeck/internal/protocol"
)

// Now reads CLOCK_BOOTTIME: it never jumps, and it goes on while the machine sleeps.
func Now() clock.Tick {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux has it
	}
	return clock.Tick(t.Nano())
}

// NewInc draws an incarnation: later lives on the same machine have higher ones, and two
// machines hardly ever the same.
func NewInc() ident.Inc {
	return ident.Inc(time.Now().UnixMicro())<<8&(1<<62-1) | ident.Inc(rand.Uint64()&0xff)
}

// NewRand makes a source of chance for a core.
func NewRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Core is what a host can hold.
type Core interface {
	Step(now clock.Tick, in any) []any
}

// Options of a host.
type Options struct {
	Core   Core
	Listen []string // for siblings
	Told   string   // the address that siblings are told, from whose ip this process connects
	Data   string   // data folder; empty if the process has no disk
	Beat   time.Duration
	Ring   *Ring
	Else   func(out any)                                                   // what only the program itself can do
	Before func(protocol.Env)                                              // looks at a message before the core does, and does not hold the core up
	Dial   time.Duration                                                   // for a connection to come up; 500 ms, if none is said
	Local  map[string]func(protocol.Env)                                   // cores in this very process, by the address that they are told under
	Tell   func(context.Context, *http.Client, protocol.Ask) protocol.Told // how servers are asked, if not the product's own way
}

// Process runs one core. Its lock is taken before that of any queue and never across I/O.
type Process struct {
	o    Options
	mu   sync.Mutex
	post *post
	disk *disk
	asks chan protocol.Ask
	http *http.Client
	kept *http.Client // whose connections are used again, for questions that change nothing
	ctx  context.Context
	stop context.CancelFunc
	life context.Context // of the questions under way
	end  context.CancelFunc
	over sync.WaitGroup

	times *workTimes
}

// New makes a host; nothing runs yet.
func New(o Options) *Process {
	generic.SetDefault(&o.Dial, 500*time.Millisecond)
	c := &Process{o: o, asks: make(chan protocol.Ask, 1024), times: newWorkTimes()}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.life, c.end = context.WithCancel(c.ctx)
	c.post = newPost(c.ctx, o.Told, o.Dial, c.receive)
	c.post.local, c.post.times = o.Local, c.times
	dial := Dialer(o.Told, o.Dial).DialContext
	c.http = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, Proxy: nil, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			n, err := dial(ctx, network, addr)
			if t, ok := n.(*net.TCPConn); ok {
				_ = t.SetLinger(0) // what a cut holds up is not delivered after it was given up
			}
			return n, err
		}},
	}
	t := c.http.Transport.(*http.Transport).Clone()
	t.DisableKeepAlives, t.MaxIdleConnsPerHost, t.IdleConnTimeout = false, 1, 4*time.Second
	c.kept = &http.Client{CheckRedirect: c.http.CheckRedirect, Transport: t}
	return c
}

// Run opens the disk, starts listening and sets the core going.
func (c *Process) Run() error {
	c.o.Ring.logViolations()
	if c.o.Data != "" {
		fail := func(err error) {
			// A disk that lost what was confirmed must not vote: stop at once, and say so.
			c.o.Ring.Oops(err.Error())
			fmt.Fprintf(os.Stderr, "stopped, since the disk lost what was confirmed on it: %v\n", err)
			os.Exit(3)
		}
		d, m, harm, err := awaitDisk(c.ctx, diskBackoff, func() (*disk, map[string][]byte, bool, error) { return openDisk(c.o.Data, fail) }, func(err error) {
			c.o.Ring.Oops("the data folder does not open, and is tried again until it does: " + err.Error())
		})
		if err != nil {
			return err
		}
		if harm {
			c.o.Ring.Oops("the data folder was damaged: it is set aside, and this node begins anew")
		}
		d.done, d.note = func(s protocol.Saved) { c.Step(s) }, func(text string) { c.o.Ring.Info(text) }
		c.disk = d
		c.over.Add(1)
		go func() { defer c.over.Done(); d.run() }()
		c.Step(protocol.Start{Disk: m})
	}
	for _, a := range c.o.Listen {
		if err := c.post.listen(a); err != nil {
			return err
		}
	}
	for range 32 {
		go c.asker()
	}
	go func() {
		t := time.NewTicker(c.o.Beat)
		defer t.Stop()
		for {
			select {
			case <-c.ctx.Done():
				return
			case <-t.C:
				c.Step(protocol.Beat{})
			}
		}
	}()
	return nil
}

// Stop ends the core's work and closes its disk.
func (c *Process) Stop() {
	c.stop()
	if c.disk != nil {
		c.disk.close()
	}
	c.over.Wait()
}

// Forget ends every question under way, as a restart does.
func (c *Process) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
	c.life, c.end = context.WithCancel(c.ctx)
}

// Flush waits, for a while, until what the core has sent has left.
func (c *Process) Flush(most time.Duration) { c.post.flush(most) }

// receive takes a message of another process.
func (c *Process) receive(e protocol.Env) {
	if c.o.Before != nil {
		c.o.Before(e)
	}
	c.Step(e)
}

// Step gives the core one input and does what it asks for.
func (c *Process) Step(in any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, began := Now(), time.Now() // the second costs no system call
	for _, o := range c.o.Core.Step(now, in) {
		c.act(o)
	}
	took := time.Since(began)
	c.times.add(inputName(in), took)
	if took > longStep {
		c.o.Ring.Info("a step took long", protocol.Field{Name: "input", Value: inputName(in)}, protocol.Field{Name: "ms", Value: took.Milliseconds()})
	}
	if fields := c.times.report(now); fields != nil {
		c.o.Ring.Info("time at work", fields...)
	}
}

// longStep is how long a core may take over one input before the log tells of it: all else waits meanwhile.
const longStep = 100 * time.Millisecond

// inputName names an input for the log: a message by its kind, any other by its type.
func inputName(in any) string {
	if e, ok := in.(protocol.Env); ok {
		return protocol.Kind(e.Body)
	}
	return fmt.Sprintf("%T", in)
}

// Times gives the collector of what the process spent its time on.
func (c *Process) Times() prometheus.Collector { return c.times }

// With lets the program look at its core.
func (c *Process) With(f func(now clock.Tick)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(Now())
}

func (c *Process) act(o any) {
	switch v := o.(type) {
	case protocol.Env:
		c.post.send(v)
	case protocol.Save:
		c.disk.put(v)
	case protocol.Compute:
		go func() {
			v.Run()
			c.Step(protocol.Computed{Token: v.Token})
		}()
	case protocol.Ask:
		select {
		case c.asks <- v:
		default:
			go c.Step(protocol.Told{Token: v.Token})
		}
	case protocol.Note:
		c.o.Ring.Info(v.Text, v.Fields...)
	case protocol.Oops:
		go c.o.Ring.Oops(v.Text)
	default:
		c.o.Else(o)
	}
}

func (c *Process) asker() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case a := <-c.asks:
			c.Step(c.tell(a))
		}
	}
}

func (c *Process) tell(a protocol.Ask) protocol.Told {
	c.mu.Lock()
	life := c.life
	c.mu.Unlock()
	ctx, stop := context.WithTimeout(life, a.Wait)
	defer stop()
	t := protocol.Told{Token: a.Token}
	if a.Until != 0 && Now() > a.Until {
		return t
	}
	if c.o.Tell != nil {
		w := c.http
		if a.Kept {
			w = c.kept
		}
		t = c.o.Tell(ctx, w, a)
		t.Token = a.Token
		return t
	}
	how, body := http.MethodGet, io.Reader(nil)
	if a.Body != nil {
		b, err := json.Marshal(a.Body)
		if err != nil {
			return t
		}
		how, body = http.MethodPost, bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, how, "http://"+a.Addr+a.Path, body)
	if err != nil {
		return t
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	w, err := c.http.Do(r)
	if err != nil {
		return t
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, mostWire))
	if err != nil {
		return t
	}
	return protocol.Told{Token: a.Token, OK: true, Code: w.StatusCode, Body: b}
}

// Ring is the log: a ring in memory, written out when something goes wrong.
type Ring struct {
	mu   sync.Mutex
	log  *logrus.Logger
	list []string
	at   int
	out  io.Writer
	last time.Time
}

// NewRing makes a log for one process.
func NewRing(name string, out io.Writer) *Ring {
	return NewRingWith(RingOptions{Name: name, Out: out})
}

type nameHook string

// Levels tells that every line is named.
func (nameHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire names a line.
func (h nameHook) Fire(e *logrus.Entry) error {
	e.Data["who"] = string(h)
	return nil
}

type ringWriter struct{ r *Ring }

// Write keeps a line.
func (w ringWriter) Write(b []byte) (int, error) {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	w.r.list[w.r.at%len(w.r.list)] = string(b)
	w.r.at++
	return len(b), nil
}

// Info keeps a line, with what belongs to it.
func (r *Ring) Info(s string, fields ...protocol.Field) { r.with(fields).Info(s) }

// with makes an entry of fields.
func (r *Ring) with(fields []protocol.Field) *logrus.Entry {
	values := make(logrus.Fields, len(fields))
	for _, f := range fields {
		values[f.Name] = f.Value
	}
	return r.log.WithFields(values)
}

// Oops writes the ring out: something went wrong.
func (r *Ring) Oops(s string) {
	r.log.Error(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.last) < time.Second {
		return
	}
	r.last = time.Now()
	var b strings.Builder
	b.WriteString("---- what led to it ----\n")
	for i := max(0, r.at-len(r.list)); i < r.at; i++ {
		b.WriteString(r.list[i%len(r.list)])
	}
	r.at = 0
	_, _ = io.WriteString(r.out, b.String())
}

// Tallies shows a struct of counts as metrics: every whole number in it is a counter, and
// every map of them one with a label.
type Tallies struct {
	Name string
	Get  func() any
}

// Describe leaves the metrics unchecked; they follow the struct.
func (t Tallies) Describe(chan<- *prometheus.Desc) {}

// Collect reads the counts.
func (t Tallies) Collect(ch chan<- prometheus.Metric) {
	v := reflect.ValueOf(t.Get())
	for i := range v.NumField() {
		f := v.Field(i)
		n := "tidedeck_" + t.Name + "_" + strings.ToLower(v.Type().Field(i).Name)
		switch f.Kind() {
		case reflect.Uint64:
			ch <- prometheus.MustNewConstMetric(prometheus.NewDesc(n+"_total", "Count of "+v.Type().Field(i).Name+".", nil, nil), prometheus.CounterValue, float64(f.Uint()))
		case reflect.Int:
			ch <- prometheus.MustNewConstMetric(prometheus.NewDesc(n, "Now: "+v.Type().Field(i).Name+".", nil, nil), prometheus.GaugeValue, float64(f.Int()))
		case reflect.Map:
			d := prometheus.NewDesc(n+"_total", "Count of "+v.Type().Field(i).Name+" by kind.", []string{"kind"}, nil)
			for _, k := range f.MapKeys() {
				ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(f.MapIndex(k).Uint()), k.String())
			}
		}
	}
}

// Metrics makes the handler that shows tallies and other collectors, and what the Go runtime tells.
func Metrics(l ...prometheus.Collector) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), invariant.Collector())
	r.MustRegister(l...)
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}

// Parse reads flags and, under --settings, a file of the same names, and checks all of it
// before anything starts. A fault ends the process with every fault named. It gives the
// command, where there are several.
func Parse(cli any, name, about string, checks ...func() fleetplan.Faults) string {
	p, err := kong.New(cli, kong.Name(name), kong.Description(about), kong.UsageOnError())
	if err != nil {
		panic(err)
	}
	args := os.Args[1:]
	var faults fleetplan.Faults
	if f := settingsOf(args); f != "" {
		raw, err := os.ReadFile(f)
		if err != nil {
			faults = append(faults, fleetplan.Fault{Path: f, Why: err.Error()})
		} else {
			r, l := readSettings(p, raw)
			faults = append(faults, l...)
			kong.Resolvers(r).Apply(p)
		}
	}
	cmd := ""
	k, err := p.Parse(args)
	if err != nil {
		faults = append(faults, fleetplan.Fault{Path: "flags", Why: err.Error()})
	} else {
		cmd = k.Command()
		for _, f := range checks {
			faults = append(faults, f()...)
		}
	}
	if len(faults) > 0 {
		for _, f := range faults {
			fmt.Fprintf(os.Stderr, "%s: %s: %s\n", name, f.Path, f.Why)
		}
		os.Exit(2)
	}
	return cmd
}

func settingsOf(args []string) string {
	for i, a := range args {
		if v, ok := strings.CutPrefix(a, "--settings="); ok {
			return v
		}
		if a == "--settings" && i+1 < len(args) {
			return args[i+1]
		}
	}
	return ""
}

func readSettings(p *kong.Kong, raw []byte) (kong.Resolver, fleetplan.Faults) {
	pen, all := fleetplan.Open(raw)
	var names []string
	for _, f := range p.Model.AllFlags(true) {
		for _, g := range f {
			if g.Name != "help" && g.Name != "settings" {
				names = append(names, g.Name)
			}
		}
	}
	pen.Only(names...)
	m := map[string]any{}
	_ = json.Unmarshal(raw, &m)
	var r kong.ResolverFunc = func(_ *kong.Context, _ *kong.Path, f *kong.Flag) (any, error) {
		v, ok := m[f.Name]
		if !ok {
			return nil, nil
		}
		if l, ok := v.([]any); ok {
			var s []string
			for _, x := range l {
				s = append(s, fmt.Sprint(x))
			}
			return strings.Join(s, ","), nil
		}
		return fmt.Sprint(v), nil
	}
	return r, *all
}

// Dialer connects from the ip of an address, so that others see who it is. An address that is
// open to all, or none, leaves the choice to the machine.
func Dialer(told string, wait time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: wait}
	a, err := netip.ParseAddrPort(told)
	if err != nil || a.Addr().IsUnspecified() {
		return d
	}
	d.LocalAddr = &net.TCPAddr{IP: a.Addr().AsSlice()}
	// The port is chosen as it connects, or ports would run out sooner.
	d.Control = func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1) })
	}
	return d
}

// Bind checks where a process listens, if that is not where siblings are told, and picks it.
func Bind(bind, told string) (string, fleetplan.Faults) {
	if bind == "" {
		return told, nil
	}
	return bind, Addr("bind", bind)
}

// Addr checks an ip:port setting.
func Addr(path, s string) fleetplan.Faults {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return fleetplan.Faults{{Path: path, Why: fmt.Sprintf("wants an ip:port, has %q", s)}}
	}
	return nil
}

// Near checks an ip:port setting that must be on loopback.
func Near(path, s string) fleetplan.Faults {
	if f := Addr(path, s); f != nil {
		return f
	}
	if a, _ := netip.ParseAddrPort(s); !a.Addr().IsLoopback() {
		return fleetplan.Faults{{Path: path, Why: fmt.Sprintf("wants an address on loopback, has %q", s)}}
	}
	return nil
}

// Seeds checks the seeds: three of them, each an ip:port, none twice.
func Seeds(l []string) (f fleetplan.Faults) {
	if len(l) != 3 {
		f = append(f, fleetplan.Fault{Path: "seeds", Why: fmt.Sprintf("wants three addresses, has %d", len(l))})
	}
	seen := map[string]bool{}
	for i, s := range l {
		f = append(f, Addr(fmt.Sprintf("seeds[%d]", i), s)...)
		if seen[s] {
			f = append(f, fleetplan.Fault{Path: fmt.Sprintf("seeds[%d]", i), Why: "is there twice"})
		}
		seen[s] = true
	}
	return f
}

// Siblings makes seeds into siblings; their ids are not known yet.
func Siblings(l []string) (p []protocol.Sibling) {
	for _, s := range l {
		p = append(p, protocol.Sibling{Addr: s})
	}
	return p
}

// Web serves HTTP until the process is told to stop, then lets what is under way finish.
func Web(addr string, h http.Handler, ring *Ring, before func(), within time.Duration) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 64 << 10,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context { return context.WithValue(ctx, born{}, Now()) }}
	got := make(chan os.Signal, 1)
	signal.Notify(got, syscall.SIGTERM, syscall.SIGINT)
	end := make(chan error, 1)
	go func() { end <- s.Serve(l) }()
	select {
	case err := <-end:
		return errors.Wrap(err, "serve")
	case <-got:
	}
	ring.Info("stopping: what is under way finishes")
	if before != nil {
		before()
	}
	ctx, stop := context.WithTimeout(context.Background(), within)
	defer stop()
	return s.Shutdown(ctx)
}

type born struct{}

// Born tells when the connection that a request came on was accepted.
func Born(r *http.Request) clock.Tick {
	t, _ := r.Context().Value(born{}).(clock.Tick)
	return t
}

// Life adds the endpoints that tell whether a process lives, and whether it can serve.
func Life(m *flow.Mux, at string, ready func() (bool, map[string]any)) {
	m.HandleFunc(at+"/live", func(w http.ResponseWriter, _ *http.Request) { JSON(w, http.StatusOK, map[string]bool{"live": true}) }, http.MethodGet)
	m.HandleFunc(at+"/ready", func(w http.ResponseWriter, _ *http.Request) {
		ok, v := ready()
		if v == nil {
			v = map[string]any{}
		}
		v["ready"] = ok
		JSON(w, map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable}[ok], v)
	}, http.MethodGet)
}

// JSON writes an answer.
func JSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

// Body reads a request's body within a bound.
func Body(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	// A body that trickles in holds nobody for ever; the answer may then take as long as it must.
	to := http.NewResponseController(w)
	_ = to.SetReadDeadline(time.Now().Add(30 * time.Second))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	_ = to.SetReadDeadline(time.Time{})
	if err != nil {
		var big *http.MaxBytesError
		if errors.As(err, &big) {
			Error(w, failure.Oversize, 0, fleetplan.Faults{{Path: "$", Why: fmt.Sprintf("a body has at most %d bytes", most)}})
			return nil, false
		}
		Error(w, failure.Malformed, 0, fleetplan.Faults{{Path: "$", Why: "the body broke off"}})
		return nil, false
	}
	return b, true
}

// Problem is the JSON of an error.
type Problem struct {
	Kind    failure.Kind     `json:"kind"`
	Dropped bool             `json:"dropped"` // the request provably never ran
	BackMs  int64            `json:"retry_after_ms,omitempty"`
	Faults  fleetplan.Faults `json:"faults,omitempty"`
}

// Error writes the answer that the one table has for a kind.
func Error(w http.ResponseWriter, k failure.Kind, back clock.Span, f fleetplan.Faults) {
	a := failure.Receipts[k]
	if back == 0 {
		back = a.Back
	}
	if back > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(int64((back+time.Second-1)/time.Second)))
	}
	if a.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", fleetplan.BearerScheme)
	}
	JSON(w, a.Status, Problem{k, a.Dropped, back.Milliseconds(), f})
}
