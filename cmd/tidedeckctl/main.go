// Command tidedeckctl is the operator's command line of tidedeck.
package main

import (
	"os"

	"tidedeck/internal/host"
	"tidedeck/internal/tidedeckctl"
)

func main() {
	var line tidedeckctl.Line
	cmd := host.Parse(&line, "tidedeckctl", "tidedeckctl is the operator's command line for tidedeck's core.", line.Check)
	os.Exit(line.Run(cmd, os.Stdin, os.Stdout, os.Stderr))
}
