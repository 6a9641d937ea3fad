// Command controller runs a tidedeck core node.
package main

import (
	"fmt"
	"os"

	"tidedeck/internal/controller"
	_ "tidedeck/internal/hangup" // ignores SIGHUP before other packages are initialized
	"tidedeck/internal/host"
	"tidedeck/internal/protocol"
	"tidedeck/platform"
)

func main() {
	if flags, ok := host.Hosted(os.Args[1:], "controller"); ok {
		boot, err := platform.Load()
		exitOn(err)
		host.Confine(boot.MemoryMB, boot.Processors)
		exitOn(controller.Host(controller.HostOptions{
			ID: string(boot.Node), Zone: string(boot.Zone), Regions: boot.Zones, Post: boot.Post(0), Control: boot.Controller, Admin: boot.Post(1),
			Seeds: boot.SeedPosts(0), Follow: followSeeds, Data: boot.Data, First: boot.First, Logs: flags.Lines(), Metrics: flags.MetricsAt(boot.IP), Bind: flags.Bind, Losses: boot.Losses,
			Dialect: controller.Dialect{Servers: platform.PathServers, Plan: platform.PathConfiguration, Beacon: platform.ReadBeacon,
				Revision: platform.Revision, Target: platform.Target, Read: platform.ReadPlan, Merge: platform.Merge, Tell: platform.Tell},
			Timing: controller.Timing{Apply: boot.Bounds.Apply, Drain: boot.Bounds.Drain, CatchUp: boot.Bounds.CatchUp, Period: boot.Period,
				Rate: boot.Bounds.PeakWindow, Tenure: boot.Bounds.Tenure},
		}))
		return
	}
	var s controller.Settings
	host.Parse(&s, "controller", "Runs a tidedeck core node.", s.Check)
	exitOn(controller.Main(s))
}

func followSeeds(step func(protocol.Reseed)) {
	host.FollowSeeds(platform.SettingsPath(), func() ([]string, error) { return platform.LoadSeedPosts(0) }, step)
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "controller:", err)
		os.Exit(1)
	}
}
