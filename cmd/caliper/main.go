// Command caliper is the operator's command line of tidedeck.
package main

import (
	"os"

	"tidedeck/caliper"
	"tidedeck/clamp"
)

func main() {
	var l caliper.Line
	cmd := clamp.Parse(&l, "caliper", "caliper speaks to tidedeck's core for operators.", l.Check)
	os.Exit(l.Run(cmd, os.Stdin, os.Stdout, os.Stderr))
}
