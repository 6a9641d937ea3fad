// Command router runs a tidedeck router.
package main

import (
	"fmt"
	"os"

	_ "tidedeck/internal/hangup" // ignores SIGHUP before other packages are initialized
	"tidedeck/internal/host"
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
	"tidedeck/platform"
)

func main() {
	if flags, ok := host.Hosted(os.Args[1:], "router"); ok {
		boot, err := platform.Load()
		exitOn(err)
		host.Confine(boot.MemoryMB, boot.Processors)
		bounds := boot.Bounds
		exitOn(router.Host(router.HostOptions{
			ID: string(boot.Node), Zone: string(boot.Zone), Ingress: boot.Ingress, Readiness: boot.Readiness,
			Post: boot.Post(2), Admin: boot.Post(3), Seeds: boot.SeedPosts(0), Follow: followSeeds, Logs: flags.Lines(), Metrics: flags.MetricsAt(boot.IP), Bind: flags.Bind,
			Dialect: platform.Dialect{}, Read: platform.ReadPlan, Grace: bounds.Grace, Bodies: int64(boot.MemoryMB) << 20 / bodyMemoryDivisor,
			Lend: float64(bounds.RetryMargin) * freshMarginFraction, LendAgain: float64(bounds.RetryMargin) * (1 - freshMarginFraction), Window: bounds.RetryWindow, Fraction: bounds.RetryFraction, First: boot.First,
		}))
		return
	}
	var s router.Settings
	host.Parse(&s, "router", "Runs a tidedeck router.", s.Check)
	exitOn(router.Main(s))
}

// freshMarginFraction is the fraction of the retry margin for routers whose earlier incarnations ended long ago; the
// rest is for recently restarted routers.
const freshMarginFraction = 0.6

// bodyMemoryDivisor is the divisor of the machine's memory that gives the memory for request bodies.
const bodyMemoryDivisor = 8

func followSeeds(step func(protocol.Reseed)) {
	host.FollowSeeds(platform.SettingsPath(), func() ([]string, error) { return platform.LoadSeedPosts(0) }, step)
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "router:", err)
		os.Exit(1)
	}
}
