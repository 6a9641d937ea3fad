package host

import (
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"tidedeck/internal/protocol"

	"github.com/alecthomas/kong"
)

// hostedFlags are the flags of a program that runs under a hosting platform; all else comes from the
// platform's own settings.
type hostedFlags struct {
	Hosted   bool `help:"Run under a hosting platform: its settings file says all the rest." required:""`
	LogLines bool `help:"Also write every log line at once, as a line of JSON."`
}

// Hosted tells whether a program is started under a hosting platform, and where its log lines go, if
// anywhere beside the ring.
func Hosted(args []string, name string) (lines io.Writer, ok bool) {
	for _, a := range args {
		ok = ok || a == "--hosted"
	}
	if !ok {
		return nil, false
	}
	var f hostedFlags
	p, err := kong.New(&f, kong.Name(name), kong.UsageOnError())
	if err != nil {
		panic(err)
	}
	_, err = p.Parse(args)
	p.FatalIfErrorf(err)
	if f.LogLines {
		lines = os.Stdout
	}
	return lines, true
}

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
