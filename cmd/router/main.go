// Command router runs a tidedeck router.
package main

import (
	"fmt"
	"os"

	"tidedeck/internal/connlimit"
	_ "tidedeck/internal/hangup" // ignores SIGHUP before other packages are initialized
	"tidedeck/internal/host"
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
	"tidedeck/platform"
)

func main() {
	if flags, ok := host.ParseHosted(os.Args[1:], "router"); ok {
		boot, err := platform.LoadSettings()
		exitOn(err)
		host.Resources{MemoryMB: boot.MemoryMB, Processors: boot.Processors, GCPercent: gcPercent}.Limit()
		bounds := boot.Bounds
		exitOn(router.RunHosted(router.HostOptions{
			ID: string(boot.Node), Zone: string(boot.Zone), IngressAddr: boot.Ingress, ReadinessAddr: boot.Readiness,
			AgentAddr: boot.NodeAddr(2), AdminAddr: boot.NodeAddr(3), Seeds: boot.SeedAddrs(0), FollowSeeds: followSeeds, LogOutput: flags.LogWriter(), MetricsAddr: flags.MetricsAddr(boot.IP), Bind: flags.ListenAddr,
			Dialect: platform.Dialect{}, ReadPlan: (&platform.PlanReader{}).Read, Grace: bounds.StopTimeout, Machine: connlimit.Machine{MemoryMB: boot.MemoryMB, Descriptors: boot.Descriptors}, BodyBudget: int64(boot.MemoryMB) << 20 / bodyMemoryDivisor,
			RetryMargin: float64(bounds.RetryMargin) * freshMarginFraction, RestartRetryMargin: float64(bounds.RetryMargin) * (1 - freshMarginFraction), RetryWindow: bounds.RetryWindow, RetryFraction: bounds.RetryFraction, FirstStart: boot.FirstStart,
		}))
		return
	}
	var s router.Settings
	host.Parse(&s, "router", "Runs a tidedeck router.", s.Check)
	exitOn(router.Main(s))
}

// gcPercent is the garbage that may accumulate, in percent of the memory in use. It is low, since a router uses little of its
// processor and there are hundreds of them.
const gcPercent = 20

// freshMarginFraction is the fraction of the retry margin for routers whose earlier incarnations ended long ago; the
// rest is for recently restarted routers.
const freshMarginFraction = 0.6

// bodyMemoryDivisor is the divisor of the machine's memory that gives the memory for request bodies.
const bodyMemoryDivisor = 8

func followSeeds(step func(protocol.SeedsChanged)) {
	host.WatchSeeds(platform.SettingsPath(), func() ([]string, error) { return platform.LoadSeedAddrs(0) }, step)
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "router:", err)
		os.Exit(1)
	}
}
