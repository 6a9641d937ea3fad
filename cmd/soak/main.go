// Command soak runs fleets of real processes under overlapping troubles, from seeds, and holds what callers,
// servers and operators see against the promises.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"tidedeck/internal/soak"
)

// Exit codes.
const (
	exitViolation = 1
	exitUsage     = 2
)

type flags struct {
	Seed     uint64        `help:"First seed." default:"1"`
	Seeds    int           `help:"How many seeds." default:"1"`
	Jobs     int           `help:"Runs at the same time." default:"1"`
	Length   time.Duration `help:"How long troubles come, in each run." default:"60s"`
	Cores    int           `help:"Core nodes." default:"3"`
	Routers  int           `help:"Routers." default:"3"`
	Servers  int           `help:"Servers that hold models." default:"4"`
	Callers  int           `help:"Callers, each with one request at a time." default:"24"`
	Safety   bool          `help:"Leave out what is bounded in time, for a machine that is busy."`
	Programs string        `help:"Folder with the router and the controller; that of this program if none is named." type:"path"`
	Folder   string        `help:"Folder for data and logs of failed runs; a temporary one if none is named." type:"path"`
	Only     []string      `help:"Kinds of trouble that come, by their names, separated by commas; all if none is named. An unknown name lists them."`
	Memory   string        `help:"Write each process's memory to this file, CSV, and print a line through it." type:"path"`
	Trace    bool          `help:"Print each trouble as it begins and ends."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("soak"), kong.Description("soak runs fleets of real processes under overlapping troubles, from seeds."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, f))
}

func run(ctx context.Context, f flags) int {
	if f.Jobs < 1 || f.Seeds < 1 || f.Cores < 3 || f.Routers < 1 || f.Servers < 2 {
		fmt.Fprintln(os.Stderr, "soak: wants at least one seed, job and router, two servers and three core nodes")
		return exitUsage
	}
	if f.Memory != "" && f.Seeds > 1 {
		fmt.Fprintln(os.Stderr, "soak: --memory goes with one seed")
		return exitUsage
	}
	if f.Programs == "" {
		me, err := os.Executable()
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return exitUsage
		}
		f.Programs = filepath.Dir(me)
	}
	if f.Folder == "" {
		folder, err := os.MkdirTemp("", "tidedeck-soak-")
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return exitUsage
		}
		f.Folder = folder
	}
	return runSeeds(ctx, f)
}

// runSeeds plays all seeds, some at the same time.
func runSeeds(ctx context.Context, f flags) int {
	slots := make(chan struct{}, f.Jobs)
	var all sync.WaitGroup
	var mu sync.Mutex
	bad := 0
	for i := range f.Seeds {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			seed := f.Seed + uint64(i)
			folder := filepath.Join(f.Folder, fmt.Sprintf("seed-%d", seed))
			o := f.options(seed, folder)
			record := &memoryRecord{}
			if f.Memory != "" {
				o.Memory = record.add
			}
			report, err := soak.Run(ctx, o)
			mu.Lock()
			defer mu.Unlock()
			tell(seed, report, err)
			if f.Memory != "" {
				record.tell(f.Memory, seed)
			}
			if err != nil || len(report.Violations) > 0 {
				bad++
				fmt.Printf("   logs in %s; again: bin/soak --seed %d --length %v --trace\n", folder, seed, f.Length)
				return
			}
			_ = os.RemoveAll(folder)
		})
	}
	all.Wait()
	fmt.Printf("%d passed, %d failed\n", f.Seeds-bad, bad)
	if bad > 0 {
		return exitViolation
	}
	return 0
}

func (f flags) options(seed uint64, folder string) soak.Options {
	o := soak.Options{Programs: f.Programs, Folder: folder, Seed: seed, Cores: f.Cores, Routers: f.Routers, Servers: f.Servers,
		Callers: f.Callers, Length: f.Length, Safety: f.Safety, Only: f.Only}
	if f.Trace {
		o.Trace = func(line string) { fmt.Printf("seed %d %s\n", seed, line) }
	}
	return o
}

func tell(seed uint64, r soak.Report, err error) {
	if err != nil {
		fmt.Printf("seed %d: not run to its end: %v\n", seed, err)
		return
	}
	troubles, peak := 0, 0
	for _, n := range r.Troubles {
		troubles += n
	}
	for _, name := range slices.Sorted(maps.Keys(r.PeakMb)) {
		peak = max(peak, r.PeakMb[name])
	}
	fmt.Printf("seed %d: %d troubles, requests %v, %d changes taken, at most %d MB, %d violations\n", seed, troubles, r.Requests, r.Changes, peak, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Println("   BAD", v)
	}
}
