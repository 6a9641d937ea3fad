// Command router is a tidedeck router.
package main

import (
	"fmt"
	"os"

	_ "tidedeck/internal/hangup" // signals are ignored before anything else begins
	"tidedeck/internal/host"
	"tidedeck/internal/protocol"
	"tidedeck/internal/router"
	"tidedeck/platform"
)

func main() {
	if flags, ok := host.Hosted(os.Args[1:], "router"); ok {
		boot, err := platform.Load()
		end(err)
		host.Confine(boot.MemoryMB, boot.Processors)
		b := boot.Bounds
		end(router.Host(router.HostOptions{
			ID: string(boot.Node), Zone: string(boot.Zone), Ingress: boot.Ingress, Readiness: boot.Readiness,
			Post: boot.Post(2), Admin: boot.Post(3), Seeds: boot.SeedPosts(0), Follow: followSeeds, Logs: flags.Lines(), Metrics: flags.MetricsAt(boot.IP), Bind: flags.Bind,
			Dialect: platform.Dialect{}, Read: platform.ReadPlan, Grace: b.Grace, Bodies: int64(boot.MemoryMB) << 20 / bodyPart,
			Lend: float64(b.RetryMargin) * marginFirst, LendAgain: float64(b.RetryMargin) * (1 - marginFirst), Window: b.RetryWindow, Fraction: b.RetryFraction, First: boot.First,
		}))
		return
	}
	var s router.Settings
	host.Parse(&s, "router", "router is a tidedeck router.", s.Check)
	end(router.Main(s))
}

// marginFirst is the part of the retry margin that routers are lent whose earlier lives are over for long; the rest is for those
// that have started again.
const marginFirst = 0.6

// bodyPart is which part of the machine's memory requests' bodies may take.
const bodyPart = 8

func followSeeds(step func(protocol.Reseed)) {
	host.FollowSeeds(platform.SettingsPath(), func() ([]string, error) { return platform.LoadSeedPosts(0) }, step)
}

func end(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "router:", err)
		os.Exit(1)
	}
}
