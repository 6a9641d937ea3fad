// Command soak runs fleets of real processes under overlapping troubles drawn from seeds, and checks the observations of
// callers, servers and operators against the guarantees of the system.
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
	Seeds    int           `help:"Number of seeds." default:"1"`
	Jobs     int           `help:"Number of concurrent runs." default:"1"`
	Length   time.Duration `help:"Duration of the troubles in each run." default:"60s"`
	Cores    int           `help:"Number of core nodes." default:"3"`
	Routers  int           `help:"Number of routers." default:"3"`
	Servers  int           `help:"Number of model servers." default:"4"`
	Callers  int           `help:"Number of callers, each with one request at a time." default:"24"`
	Safety   bool          `help:"Skip time bounds, for a busy machine."`
	Crowds   bool          `help:"Have crowds of clients that do not behave connect to every listener meanwhile."`
	Programs string        `help:"Folder of the router and controller programs; defaults to the folder of this program." type:"path"`
	Folder   string        `help:"Folder for data and logs of failed runs; defaults to a temporary folder." type:"path"`
	Only     []string      `help:"Names of the kinds of trouble to inject, separated by commas; defaults to all. An unknown name lists the known ones."`
	Memory   string        `help:"Write memory samples of each process to this CSV file, and print a linear trend." type:"path"`
	Trace    bool          `help:"Print the start and end of each trouble."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("soak"), kong.Description("soak runs fleets of real processes under overlapping troubles drawn from seeds."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, f))
}

func run(ctx context.Context, f flags) int {
	if f.Jobs < 1 || f.Seeds < 1 || f.Cores < 3 || f.Routers < 1 || f.Servers < 2 {
		fmt.Fprintln(os.Stderr, "soak: at least one seed, one job, one router, two servers and three core nodes are required")
		return exitUsage
	}
	if f.Memory != "" && f.Seeds > 1 {
		fmt.Fprintln(os.Stderr, "soak: --memory requires a single seed")
		return exitUsage
	}
	if f.Programs == "" {
		executable, err := os.Executable()
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return exitUsage
		}
		f.Programs = filepath.Dir(executable)
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

// runSeeds runs all seeds, up to Jobs of them concurrently.
func runSeeds(ctx context.Context, f flags) int {
	slots := make(chan struct{}, f.Jobs)
	var group sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i := range f.Seeds {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			seed := f.Seed + uint64(i)
			folder := filepath.Join(f.Folder, fmt.Sprintf("seed-%d", seed))
			o := f.options(seed, folder)
			samples := &memorySamples{}
			if f.Memory != "" {
				o.OnMemorySample = samples.add
			}
			report, err := soak.Run(ctx, o)
			mu.Lock()
			defer mu.Unlock()
			printReport(seed, report, err)
			if f.Memory != "" {
				samples.writeAndPrint(f.Memory, seed)
			}
			if err != nil || len(report.Violations) > 0 {
				failed++
				fmt.Printf("   logs in %s; reproduce with: bin/soak --seed %d --length %v --trace\n", folder, seed, f.Length)
				return
			}
			_ = os.RemoveAll(folder)
		})
	}
	group.Wait()
	fmt.Printf("%d passed, %d failed\n", f.Seeds-failed, failed)
	if failed > 0 {
		return exitViolation
	}
	return 0
}

func (f flags) options(seed uint64, folder string) soak.Options {
	o := soak.Options{Programs: f.Programs, Folder: folder, Seed: seed, Cores: f.Cores, Routers: f.Routers, Servers: f.Servers,
		Callers: f.Callers, TroubleDuration: f.Length, SafetyOnly: f.Safety, OnlyTroubles: f.Only, Crowds: f.Crowds}
	if f.Trace {
		o.Trace = func(line string) { fmt.Printf("seed %d %s\n", seed, line) }
	}
	return o
}

func printReport(seed uint64, r soak.Report, err error) {
	if err != nil {
		fmt.Printf("seed %d: run failed: %v\n", seed, err)
		return
	}
	troubles, peak := 0, 0
	for _, n := range r.Troubles {
		troubles += n
	}
	for _, name := range slices.Sorted(maps.Keys(r.PeakMB)) {
		peak = max(peak, r.PeakMB[name])
	}
	fmt.Printf("seed %d: %d troubles, requests %v, %d changes acknowledged, peak memory %d MB, %d violations\n", seed, troubles, r.Requests, r.Changes, peak, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Println("   violation:", v)
	}
}
