// Command standin runs the stand-ins that tidedeck is tried on.
package main

import (
	"fmt"
	"os"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/standin"
)

func main() {
	var s struct {
		Settings string                   `help:"File of settings, JSON; flags go before it." type:"path"`
		Server   standin.ServerSettings   `cmd:"" help:"A model server."`
		Store    standin.StoreSettings    `cmd:"" help:"The weight store."`
		Platform standin.PlatformSettings `cmd:"" help:"The platform."`
	}
	which := ""
	if len(os.Args) > 1 {
		which = os.Args[1]
	}
	check := map[string]func() fleetplan.Faults{"server": s.Server.Check, "store": s.Store.Check, "platform": s.Platform.Check}
	run := map[string]func() error{
		"server":   func() error { return standin.ServerMain(s.Server) },
		"store":    func() error { return standin.StoreMain(s.Store) },
		"platform": func() error { return standin.PlatformMain(s.Platform) },
	}
	host.Parse(&s, "standin", "standin runs the stand-ins that tidedeck is tried on.", func() fleetplan.Faults {
		if f := check[which]; f != nil {
			return f()
		}
		return fleetplan.Faults{{Path: "command", Why: "the command comes first: server, store or platform"}}
	})
	if err := run[which](); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
