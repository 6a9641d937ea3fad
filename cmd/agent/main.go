// Command agent runs the agent beside a tidedeck router.
package main

import (
	"fmt"
	"os"

	"tidedeck/internal/agent"
	"tidedeck/internal/host"
)

func main() {
	var s agent.Settings
	host.Parse(&s, "agent", "Runs the agent beside a tidedeck router.", s.Check)
	if err := agent.Main(s); err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		os.Exit(1)
	}
}
