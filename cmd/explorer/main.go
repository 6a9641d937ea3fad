// Command explorer checks the core's register, duty and voter set by trying every order of
// deliveries and faults that a scenario allows, within bounds.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"tidedeck/internal/explorer"
)

// Exit codes.
const (
	exitViolation = 1
	exitUsage     = 2
)

type flags struct {
	Scenario string `help:"Scenario to explore, or all." default:"all"`
	States   int    `help:"How many states to expand." default:"20000"`
	Depth    int    `help:"How many actions a run has at most; the scenario's own bound if zero."`
	Workers  int    `help:"Goroutines; as many as may run at once if zero."`
	Walks    int    `help:"Try so many long random runs instead, which go deeper than a search."`
	Seed     uint64 `help:"Seed of the random runs." default:"1"`
	Replay   string `help:"Carry out the run in this file, one action a line, and print what happens." type:"existingfile"`
	Recover  bool   `help:"After a replay, end all faults and require progress."`
	List     bool   `help:"Only list the scenarios."`
}

// collectAt is when garbage is collected, in parts of the live heap: each run makes much and keeps nothing.
const collectAt = 400

func main() {
	debug.SetGCPercent(collectAt)
	var f flags
	kong.Parse(&f, kong.Name("explorer"), kong.Description("explorer is a bounded model checker that runs the real controller cores."))
	os.Exit(run(f))
}

func run(f flags) int {
	if f.List {
		for _, s := range explorer.Scenarios {
			fmt.Printf("%-14s %s\n", s.Name, s.About)
		}
		return 0
	}
	if f.Replay != "" {
		return replay(f)
	}
	return search(f)
}

func search(f flags) int {
	code, found := 0, false
	for _, s := range explorer.Scenarios {
		if f.Scenario != "all" && f.Scenario != s.Name {
			continue
		}
		found = true
		summary, failure, err := explore(s, f)
		if err != nil {
			return usage(err)
		}
		fmt.Printf("%-14s %s\n", s.Name, summary)
		if failure != nil {
			printFailure(*failure)
			code = exitViolation
		}
	}
	if !found {
		return usage(fmt.Errorf("no scenario is called %q; --list names them", f.Scenario))
	}
	return code
}

// explore searches a scenario, or tries random runs of it.
func explore(s explorer.Scenario, f flags) (fmt.Stringer, *explorer.Failure, error) {
	if f.Walks > 0 {
		r, err := explorer.Walk(s, explorer.WalkBounds{Depth: f.Depth, Walks: f.Walks, Seed: f.Seed, Workers: f.Workers})
		return r, r.Failure, err
	}
	r, err := explorer.Search(s, explorer.Bounds{Depth: f.Depth, States: f.States, Workers: f.Workers})
	return r, r.Failure, err
}

func printFailure(x explorer.Failure) {
	fmt.Printf("VIOLATION: %s\n", x.Violation)
	fmt.Println("# the failing run; --replay FILE carries it out again")
	for _, a := range x.Run {
		fmt.Println(a)
	}
	if x.Recovered {
		fmt.Println("# it shows when the core recovers after the run: replay it with --recover")
	}
}

func replay(f flags) int {
	s, ok := explorer.Find(f.Scenario)
	if !ok {
		return usage(fmt.Errorf("a replay needs --scenario; --list names them"))
	}
	file, err := os.Open(f.Replay)
	if err != nil {
		return usage(err)
	}
	defer file.Close()
	actions, err := explorer.ParseRun(file)
	if err != nil {
		return usage(err)
	}
	start, err := explorer.NewStart(s)
	if err != nil {
		return usage(err)
	}
	w, err := start.Replay(actions, func(line string) { fmt.Println(line) })
	if err != nil {
		return usage(err)
	}
	if f.Recover && w.Violation() == "" {
		w.Recover()
	}
	if w.Violation() != "" {
		fmt.Printf("VIOLATION: %s\n", w.Violation())
		return exitViolation
	}
	fmt.Println("no violation")
	return 0
}

func usage(err error) int {
	fmt.Fprintln(os.Stderr, "explorer:", err)
	return exitUsage
}
