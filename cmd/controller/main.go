// Command controller runs a tidedeck core node.
package main

import (
	"fmt"
	"os"

	"tidedeck/internal/connlimit"
	"tidedeck/internal/controller"
	_ "tidedeck/internal/hangup" // ignores SIGHUP before other packages are initialized
	"tidedeck/internal/host"
	"tidedeck/internal/protocol"
	"tidedeck/platform"
)

func main() {
	if flags, ok := host.ParseHosted(os.Args[1:], "controller"); ok {
		boot, err := platform.LoadSettings()
		exitOn(err)
		host.Resources{MemoryMB: boot.MemoryMB, Processors: boot.Processors, GCPercent: gcPercent}.Limit()
		exitOn(controller.Host(controller.HostOptions{
			ID: string(boot.Node), Zone: string(boot.Zone), Regions: boot.Zones, PeerAddr: boot.NodeAddr(0), ControlAddr: boot.Controller, AdminAddr: boot.NodeAddr(1),
			Seeds: boot.SeedAddrs(0), FollowSeeds: followSeeds, Data: boot.DataDir, FirstStart: boot.FirstStart, LogOutput: flags.LogWriter(), MetricsAddr: flags.MetricsAddr(boot.IP), Bind: flags.ListenAddr, Losses: boot.MachineLosses,
			Machine: connlimit.Machine{MemoryMB: boot.MemoryMB, Descriptors: boot.Descriptors},
			Dialect: controller.Dialect{ServersPath: platform.PathServers, PlanPath: platform.PathConfiguration, ReadBeacon: platform.ReadBeacon,
				ReadRevision: platform.ReadRevision, AnnounceReply: platform.AnnounceReply, ReadPlan: (&platform.PlanReader{}).Read, MergePatch: platform.MergePatch, Send: platform.Send},
			Timing: controller.Timing{Apply: boot.Bounds.Apply, Drain: boot.Bounds.Drain, CatchUp: boot.Bounds.Convergence, Period: boot.Period,
				Rate: boot.Bounds.PeakWindow, Tenure: boot.Bounds.Tenure},
		}))
		return
	}
	var s controller.Settings
	host.Parse(&s, "controller", "Runs a tidedeck core node.", s.Check)
	exitOn(controller.Main(s))
}

// gcPercent is the garbage that may accumulate, in percent of the memory in use.
const gcPercent = 50

func followSeeds(step func(protocol.SeedsChanged)) {
	host.WatchSeeds(platform.SettingsPath(), func() ([]string, error) { return platform.LoadSeedAddrs(0) }, step)
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "controller:", err)
		os.Exit(1)
	}
}
