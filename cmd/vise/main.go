// Command vise runs the stand-ins that tidedeck is tried on.
package main

import (
	"fmt"
	"os"

	"tidedeck/chisel"
	"tidedeck/clamp"
	"tidedeck/vise"
)

func main() {
	var s struct {
		Settings string                `help:"File of settings, JSON; flags go before it." type:"path"`
		Server   vise.ServerSettings   `cmd:"" help:"A model server."`
		Store    vise.StoreSettings    `cmd:"" help:"The weight store."`
		Platform vise.PlatformSettings `cmd:"" help:"The platform."`
	}
	which := ""
	if len(os.Args) > 1 {
		which = os.Args[1]
	}
	check := map[string]func() chisel.Faults{"server": s.Server.Check, "store": s.Store.Check, "platform": s.Platform.Check}
	run := map[string]func() error{
		"server":   func() error { return vise.ServerMain(s.Server) },
		"store":    func() error { return vise.StoreMain(s.Store) },
		"platform": func() error { return vise.PlatformMain(s.Platform) },
	}
	clamp.Parse(&s, "vise", "vise runs the stand-ins that tidedeck is tried on.", func() chisel.Faults {
		if f := check[which]; f != nil {
			return f()
		}
		return chisel.Faults{{Path: "command", Why: "the command comes first: server, store or platform"}}
	})
	if err := run[which](); err != nil {
		fmt.Fprintln(os.Stderr, "vise:", err)
		os.Exit(1)
	}
}
