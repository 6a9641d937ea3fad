// Command simulator runs the simulator's scenes with given seeds.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/alecthomas/kong"

	"tidedeck/internal/localfleet"
	"tidedeck/internal/simulator"
)

func main() {
	var s struct {
		Scene   string `help:"Scene to run, or all for every scene." default:"all"`
		Fleet   string `help:"Fleet to simulate: corrib or padana." enum:"corrib,padana" default:"corrib"`
		Seed    uint64 `help:"First seed." default:"1"`
		Seeds   int    `help:"Number of consecutive seeds." default:"1"`
		Trace   bool   `help:"Print the trace."`
		Measure bool   `help:"Print the measurements for docs/measurements.md instead of running scenes."`
		List    bool   `help:"List the scenes and exit."`
		Plans   string `help:"Directory of the example plans." default:"examples" type:"path"`
	}
	kong.Parse(&s, kong.Name("simulator"), kong.Description("simulator runs the state machines of all programs in virtual time, deterministically from seeds."))
	if s.List {
		for _, c := range simulator.Scenes {
			fmt.Printf("%-12s %s\n", c.Name, c.Description)
		}
		return
	}
	raw, err := os.ReadFile(filepath.Join(s.Plans, s.Fleet+".json"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "simulator:", err)
		os.Exit(1)
	}
	if s.Measure {
		simulator.Measure(os.Stdout, simulator.Options{Seed: s.Seed, Routers: localfleet.Shapes[s.Fleet].Routers, Servers: localfleet.Shapes[s.Fleet].Servers, Plan: raw}, s.Seeds)
		return
	}
	if _, ok := simulator.FindScene(s.Scene); !ok && s.Scene != "all" || s.Seeds < 1 {
		fmt.Fprintln(os.Stderr, "simulator: unknown scene, or --seeds is below 1; --list prints the scenes")
		os.Exit(2)
	}
	pass, fail := 0, 0
	var mu sync.Mutex
	var all sync.WaitGroup
	slot := make(chan struct{}, 8)
	for _, c := range simulator.Scenes {
		if s.Scene != "all" && s.Scene != c.Name {
			continue
		}
		for i := range s.Seeds {
			slot <- struct{}{}
			all.Add(1)
			go func() {
				defer all.Done()
				defer func() { <-slot }()
				o := simulator.Options{Seed: s.Seed + uint64(i), Routers: localfleet.Shapes[s.Fleet].Routers, Servers: localfleet.Shapes[s.Fleet].Servers, Plan: raw}
				if s.Trace {
					o.Trace = os.Stdout
				}
				w, seen := c.Run(o)
				mu.Lock()
				defer mu.Unlock()
				fmt.Printf("%-12s seed %d trace %016x: %s\n", c.Name, o.Seed, w.Hash(), seen)
				if len(w.Check.Violations) == 0 {
					pass++
					return
				}
				fail++
				for _, b := range w.Check.Violations {
					fmt.Println("   BAD", b)
				}
				fmt.Printf("   replay: go run ./cmd/simulator --scene %s --fleet %s --seed %d --trace\n", c.Name, s.Fleet, o.Seed)
			}()
		}
	}
	all.Wait()
	fmt.Printf("%d passed, %d failed\n", pass, fail)
	if fail > 0 {
		os.Exit(1)
	}
}
