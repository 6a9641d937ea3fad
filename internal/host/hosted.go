package host

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"tidedeck/internal/connlimit"
	"tidedeck/internal/failure"
	"tidedeck/internal/protocol"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

// HostedFlags are the flags of a program that runs under a hosting platform; all other settings come from the
// platform's settings file.
type HostedFlags struct {
	Hosted      bool   `help:"Run under a hosting platform, with all other settings from its settings file." required:""`
	LogLines    bool   `help:"Also write each log line immediately, as a line of JSON."`
	MetricsPort int    `help:"Port at the machine's address that serves /metrics in addition to the port between nodes; 0 for none."`
	BindIP      string `help:"Listen on this address instead of the machine's own, for use behind a forwarder."`
}

// Check returns an error if a flag is invalid.
func (f HostedFlags) Check() error {
	if f.MetricsPort < 0 || f.MetricsPort > math.MaxUint16 {
		return errors.Errorf("--metrics-port must be a port number, got %d", f.MetricsPort)
	}
	if f.BindIP != "" {
		if _, err := netip.ParseAddr(f.BindIP); err != nil {
			return errors.Wrap(err, "--bind-ip")
		}
	}
	return nil
}

// LogWriter returns the writer for log lines besides the ring buffer, or nil.
func (f HostedFlags) LogWriter() io.Writer {
	if f.LogLines {
		return os.Stdout
	}
	return nil
}

// MetricsAddr returns the address of the metrics endpoint, or an empty string if none is configured.
func (f HostedFlags) MetricsAddr(machine string) string {
	if f.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(machine, strconv.Itoa(f.MetricsPort))
}

// ListenAddr returns the address on which to listen for connections to an advertised address.
func (f HostedFlags) ListenAddr(advertised string) string {
	_, port, err := net.SplitHostPort(advertised)
	if f.BindIP == "" || err != nil {
		return advertised
	}
	return net.JoinHostPort(f.BindIP, port)
}

// ParseHosted returns the flags of a program started under a hosting platform; ok is false if the program was started
// otherwise.
func ParseHosted(args []string, name string) (flags HostedFlags, ok bool) {
	for _, arg := range args {
		ok = ok || arg == "--hosted"
	}
	if !ok {
		return flags, false
	}
	parser, err := kong.New(&flags, kong.Name(name), kong.UsageOnError())
	if err != nil {
		panic(err)
	}
	_, err = parser.Parse(args)
	parser.FatalIfErrorf(err)
	parser.FatalIfErrorf(flags.Check())
	return flags, true
}

// ServeOperators serves an HTTP interface for operators at the given addresses, each within the limits. A failure to serve it
// is logged and stops nothing else.
func ServeOperators(ring *Log, limits connlimit.Limits, handler http.Handler, addresses ...string) (stop func()) {
	var servers []*http.Server
	for _, address := range addresses {
		if address == "" {
			continue
		}
		server := &http.Server{ReadHeaderTimeout: operatorHeaderTimeout, IdleTimeout: operatorIdleTimeout, MaxHeaderBytes: maxOperatorHead, Handler: handler}
		servers = append(servers, server)
		go func() {
			if err := listenAndServe(server, address, limits); err != nil && !errors.Is(err, http.ErrServerClosed) {
				ring.Info("cannot serve the operator interface", protocol.Field{Name: "address", Value: address}, protocol.Field{Name: "error", Value: err.Error()})
			}
		}()
	}
	return func() {
		for _, server := range servers {
			_ = server.Close()
		}
	}
}

func listenAndServe(server *http.Server, address string, limits connlimit.Limits) error {
	listener, err := limits.Listen(context.Background(), net.ListenConfig{}, address)
	if err != nil {
		return err
	}
	return server.Serve(limitServer(server, limits).Wrap(listener))
}

// Limits of an HTTP interface for operators and servers.
const (
	operatorHeaderTimeout = 10 * time.Second
	operatorIdleTimeout   = 30 * time.Second
	maxOperatorHead       = 64 << 10 // size of a request's head, in bytes
	// operatorBodyCost is the memory that a byte of a request's body costs, in bytes: the buffer is copied as it grows.
	operatorBodyCost = 3
)

// limitServer returns the limiter of the connections of such an interface.
func limitServer(server *http.Server, limits connlimit.Limits) *connlimit.Limiter {
	limiter := connlimit.New(connlimit.Config{Limits: limits, MaxHead: func() int { return maxOperatorHead }, BodyCost: operatorBodyCost,
		HeadTooLong: RefusalOnConn(failure.HeadTooLong), Full: RefusalOnConn(failure.Full)})
	limiter.Attach(server)
	return limiter
}

// Resources are what a process may use of its machine.
type Resources struct {
	MemoryMB   int // unlimited if 0
	Processors int // all if 0
	GCPercent  int // garbage that may accumulate before it is collected, in percent of the memory in use
}

// Limit limits the process to the resources.
func (r Resources) Limit() {
	if r.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(r.MemoryMB) << 20 * 7 / 10)
	}
	debug.SetGCPercent(r.GCPercent)
	if r.Processors > 0 {
		runtime.GOMAXPROCS(r.Processors)
	}
}

// settingsPollInterval is the interval for checking the settings file, which may change without a signal.
const settingsPollInterval = 5 * time.Second

// WatchSeeds passes on the seeds listed in the settings file whenever the file has changed or the process receives
// SIGHUP. A file that cannot be read has no effect.
func WatchSeeds(path string, load func() ([]string, error), step func(protocol.SeedsChanged)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		lastModified := modTime(path)
		for {
			select {
			case <-hangup:
			case <-time.After(settingsPollInterval):
				if current := modTime(path); current == lastModified {
					continue
				}
			}
			lastModified = modTime(path)
			if seeds, err := load(); err == nil && len(seeds) > 0 {
				step(protocol.SeedsChanged{Seeds: SeedPeers(seeds)})
			}
		}
	}()
}

// modTime returns the modification time of a file, or the zero time if it is unavailable.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// StopSignal returns a channel that closes when the process receives SIGTERM or SIGINT.
func StopSignal() <-chan struct{} {
	signals, stop := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}
