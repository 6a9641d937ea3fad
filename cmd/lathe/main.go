// Command lathe is a tidedeck router.
package main

import (
	"fmt"
	"os"

	"tidedeck/clamp"
	"tidedeck/lathe"
	"tidedeck/platform"
)

func main() {
	if logs, ok := clamp.Hosted(os.Args[1:], "lathe"); ok {
		boot, err := platform.Load()
		end(err)
		clamp.Confine(boot.MemoryMB, boot.Processors)
		b := boot.Bounds
		end(lathe.Host(lathe.HostOptions{
			ID: string(boot.Node), Zone: string(boot.Zone), Ingress: boot.Ingress, Readiness: boot.Readiness,
			Post: boot.Post(2), Admin: boot.Post(3), Seeds: boot.SeedPosts(0), Logs: logs,
			Dialect: platform.Dialect{}, Read: platform.ReadPlan, Grace: b.Grace,
			Lend: float64(b.RetryMargin) * 0.6, Window: b.RetryWindow, Earn: b.RetryFraction * 0.8,
		}))
		return
	}
	var s lathe.Settings
	clamp.Parse(&s, "lathe", "lathe is a tidedeck router.", s.Check)
	end(lathe.Main(s))
}

func end(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "lathe:", err)
		os.Exit(1)
	}
}
