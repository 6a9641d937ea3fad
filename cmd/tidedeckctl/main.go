// Command tidedeckctl is the operator's command line of tidedeck.
package main

import (
	"os"

	"tidedeck/internal/host"
	"tidedeck/internal/tidedeckctl"
)

func main() {
	var l tidedeckctl.Line
	cmd := host.Parse(&l, "tidedeckctl", "tidedeckctl speaks to tidedeck's core for operators.", l.Check)
	os.Exit(l.Run(cmd, os.Stdin, os.Stdout, os.Stderr))
}
