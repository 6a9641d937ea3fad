// Command standin runs a stand-in model server, weight store or platform for tests of tidedeck.
package main

import (
	"fmt"
	"os"

	"tidedeck/internal/fleetplan"
	"tidedeck/internal/host"
	"tidedeck/internal/standin"
)

func main() {
	var flags struct {
		Settings string                   `help:"Settings file in JSON; flags take precedence over it." type:"path"`
		Server   standin.ServerSettings   `cmd:"" help:"Run a model server."`
		Store    standin.StoreSettings    `cmd:"" help:"Run a weight store."`
		Platform standin.PlatformSettings `cmd:"" help:"Run a platform."`
	}
	command := ""
	if len(os.Args) > 1 {
		command = os.Args[1]
	}
	check := map[string]func() fleetplan.Faults{"server": flags.Server.Check, "store": flags.Store.Check, "platform": flags.Platform.Check}
	run := map[string]func() error{
		"server":   func() error { return standin.ServerMain(flags.Server) },
		"store":    func() error { return standin.StoreMain(flags.Store) },
		"platform": func() error { return standin.PlatformMain(flags.Platform) },
	}
	host.Parse(&flags, "standin", "standin runs stand-ins for tests of tidedeck.", func() fleetplan.Faults {
		if f := check[command]; f != nil {
			return f()
		}
		return fleetplan.Faults{{Path: "command", Why: "the first argument must be the command: server, store or platform"}}
	})
	if err := run[command](); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
