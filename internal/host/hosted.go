package host

import (
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

	"tidedeck/internal/protocol"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

// HostedFlags are the flags of a program that runs under a hosting platform; all else comes from the
// platform's own settings.
type HostedFlags struct {
	Hosted      bool   `help:"Run under a hosting platform: its settings file says all the rest." required:""`
	LogLines    bool   `help:"Also write every log line at once, as a line of JSON."`
	MetricsPort int    `help:"Port at the machine's address where metrics are told at /metrics, beside the one between nodes; none if 0."`
	BindIP      string `help:"Listen at this address instead of the machine's own, where something forwards from there."`
}

// Check names what is wrong with the flags.
func (f HostedFlags) Check() error {
	if f.MetricsPort < 0 || f.MetricsPort > math.MaxUint16 {
		return errors.Errorf("--metrics-port wants a port, has %d", f.MetricsPort)
	}
	if f.BindIP != "" {
		if _, err := netip.ParseAddr(f.BindIP); err != nil {
			return errors.Wrap(err, "--bind-ip")
		}
	}
	return nil
}

// Lines gives where log lines go, if anywhere beside the ring.
func (f HostedFlags) Lines() io.Writer {
	if f.LogLines {
		return os.Stdout
	}
	return nil
}

// MetricsAt gives where metrics are told on a machine; nowhere if that is not asked for.
func (f HostedFlags) MetricsAt(machine string) string {
	if f.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(machine, strconv.Itoa(f.MetricsPort))
}

// Bind gives where to listen for what others are told to reach at an address.
func (f HostedFlags) Bind(told string) string {
	_, port, err := net.SplitHostPort(told)
	if f.BindIP == "" || err != nil {
		return told
	}
	return net.JoinHostPort(f.BindIP, port)
}

// Hosted tells whether a program is started under a hosting platform, and its flags.
func Hosted(args []string, name string) (f HostedFlags, ok bool) {
	for _, a := range args {
		ok = ok || a == "--hosted"
	}
	if !ok {
		return f, false
	}
	p, err := kong.New(&f, kong.Name(name), kong.UsageOnError())
	if err != nil {
		panic(err)
	}
	_, err = p.Parse(args)
	p.FatalIfErrorf(err)
	p.FatalIfErrorf(f.Check())
	return f, true
}

// ServeBeside serves an interface for operators at some addresses beside what a program is there for. One that
// cannot be served is logged, and stops nothing.
func ServeBeside(ring *Ring, handler http.Handler, addresses ...string) (stop func()) {
	var servers []*http.Server
	for _, address := range addresses {
		if address == "" {
			continue
		}
		s := &http.Server{Addr: address, ReadHeaderTimeout: besideHeadWait, Handler: handler}
		servers = append(servers, s)
		go func() {
			if err := s.ListenAndServe(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				ring.Info("interface for operators not served", protocol.Field{Name: "address", Value: address}, protocol.Field{Name: "error", Value: err.Error()})
			}
		}()
	}
	return func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}
}

// besideHeadWait is for the head of a request to such an interface.
const besideHeadWait = 10 * time.Second

// Confine keeps the process within what its machine gives it.
func Confine(memoryMB, processors int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 * 7 / 10)
	}
	debug.SetGCPercent(50)
	if processors > 0 {
		runtime.GOMAXPROCS(processors)
	}
}

// settingsPoll is how often the settings file is looked at: it may change without a signal.
const settingsPoll = 5 * time.Second

// FollowSeeds gives cores the seeds that the settings file names, whenever it has changed and when the
// process is sent a hang-up signal. A file that cannot be read changes nothing.
func FollowSeeds(path string, load func() ([]string, error), step func(protocol.Reseed)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		seen := modified(path)
		for {
			select {
			case <-hangup:
			case <-time.After(settingsPoll):
				if now := modified(path); now == seen {
					continue
				}
			}
			seen = modified(path)
			if seeds, err := load(); err == nil && len(seeds) > 0 {
				step(protocol.Reseed{Seeds: Siblings(seeds)})
			}
		}
	}()
}

// modified tells when a file was written last; zero if that cannot be told.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// Stopping gives a channel that closes when the process is told to stop.
func Stopping() <-chan struct{} {
	got, stop := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(got, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-got
		close(stop)
	}()
	return stop
}
