// Command anvil is a core node of tidedeck.
package main

import (
	"fmt"
	"os"

	"tidedeck/anvil"
	"tidedeck/clamp"
)

func main() {
	var s anvil.Settings
	clamp.Parse(&s, "anvil", "anvil is a core node of tidedeck.", s.Check)
	if err := anvil.Main(s); err != nil {
		fmt.Fprintln(os.Stderr, "anvil:", err)
		os.Exit(1)
	}
}
