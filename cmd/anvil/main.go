// Command anvil is a core node of tidedeck.
package main

import (
	"fmt"
	"os"

	"tidedeck/anvil"
	"tidedeck/clamp"
	"tidedeck/platform"
)

func main() {
	if logs, ok := clamp.Hosted(os.Args[1:], "anvil"); ok {
		boot, err := platform.Load()
		end(err)
		clamp.Confine(boot.MemoryMB, boot.Processors)
		end(anvil.Host(anvil.HostOptions{
			ID: string(boot.Node), Zone: string(boot.Zone), Post: boot.Post(0), Control: boot.Controller, Admin: boot.Post(1),
			Seeds: boot.SeedPosts(0), Data: boot.Data, First: boot.First, Logs: logs, Fenced: boot.Bounds.Fenced, Losses: boot.Losses,
			Dialect: anvil.Dialect{Servers: platform.PathServers, Plan: platform.PathConfiguration, Beacon: platform.ReadBeacon,
				Revision: platform.Revision, Target: platform.Target, Read: platform.ReadPlan, Merge: platform.Merge, Tell: platform.Tell},
			Timing: anvil.Timing{Apply: boot.Bounds.Apply, Drain: boot.Bounds.Drain, CatchUp: boot.Bounds.CatchUp, Period: boot.Period,
				Rate: boot.Bounds.PeakWindow, Tenure: boot.Bounds.Tenure},
		}))
		return
	}
	var s anvil.Settings
	clamp.Parse(&s, "anvil", "anvil is a core node of tidedeck.", s.Check)
	end(anvil.Main(s))
}

func end(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvil:", err)
		os.Exit(1)
	}
}
