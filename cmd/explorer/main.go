// Command explorer is a bounded model checker for the controllers' replicated register, leadership lease and voter
// set. It tries every interleaving of message deliveries and faults that a scenario allows, within bounds.
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
	States   int    `help:"Maximum number of states to expand." default:"20000"`
	Depth    int    `help:"Maximum number of actions per run; the scenario's depth if zero."`
	Workers  int    `help:"Number of goroutines; GOMAXPROCS if zero."`
	Walks    int    `help:"Execute this many random runs instead of a search; they go deeper."`
	Seed     uint64 `help:"Seed of the random runs." default:"1"`
	Replay   string `help:"Execute the run in this file, one action per line, and print its trace." type:"existingfile"`
	Recover  bool   `help:"After a replay, end all faults and require the cluster to make progress."`
	List     bool   `help:"List the scenarios and exit."`
}

// gcPercent is the garbage collection target. It is high because each run allocates much memory and retains none.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	var f flags
	kong.Parse(&f, kong.Name("explorer"), kong.Description("explorer is a bounded model checker that runs the real controller cores."))
	os.Exit(run(f))
}

func run(f flags) int {
	if f.List {
		for _, s := range explorer.Scenarios {
			fmt.Printf("%-14s %s\n", s.Name, s.Description)
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
			return usageError(err)
		}
		fmt.Printf("%-14s %s\n", s.Name, summary)
		if failure != nil {
			printFailure(*failure)
			code = exitViolation
		}
	}
	if !found {
		return usageError(fmt.Errorf("unknown scenario %q; --list prints all names", f.Scenario))
	}
	return code
}

// explore searches a scenario or executes random runs of it.
func explore(s explorer.Scenario, f flags) (fmt.Stringer, *explorer.Failure, error) {
	if f.Walks > 0 {
		r, err := explorer.Walk(s, explorer.WalkBounds{Depth: f.Depth, Walks: f.Walks, Seed: f.Seed, Workers: f.Workers})
		return r, r.Failure, err
	}
	r, err := explorer.Search(s, explorer.SearchBounds{Depth: f.Depth, States: f.States, Workers: f.Workers})
	return r, r.Failure, err
}

func printFailure(x explorer.Failure) {
	fmt.Printf("VIOLATION: %s\n", x.Violation)
	fmt.Println("# the failing run; --replay FILE executes it again")
	for _, a := range x.Run {
		fmt.Println(a)
	}
	if x.DuringRecovery {
		fmt.Println("# the violation occurs in the recovery after the run: replay it with --recover")
	}
}

func replay(f flags) int {
	s, ok := explorer.FindScenario(f.Scenario)
	if !ok {
		return usageError(fmt.Errorf("--replay needs --scenario with the name of a scenario; --list prints all names"))
	}
	file, err := os.Open(f.Replay)
	if err != nil {
		return usageError(err)
	}
	defer file.Close()
	actions, err := explorer.ParseRun(file)
	if err != nil {
		return usageError(err)
	}
	start, err := explorer.NewInitialState(s)
	if err != nil {
		return usageError(err)
	}
	c, err := start.Replay(actions, func(line string) { fmt.Println(line) })
	if err != nil {
		return usageError(err)
	}
	if f.Recover && c.Violation() == "" {
		c.Recover()
	}
	if c.Violation() != "" {
		fmt.Printf("VIOLATION: %s\n", c.Violation())
		return exitViolation
	}
	fmt.Println("no violation")
	return 0
}

func usageError(err error) int {
	fmt.Fprintln(os.Stderr, "explorer:", err)
	return exitUsage
}
