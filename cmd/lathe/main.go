// Command lathe is a tidedeck router.
package main

import (
	"fmt"
	"os"

	"tidedeck/clamp"
	"tidedeck/lathe"
)

func main() {
	var s lathe.Settings
	clamp.Parse(&s, "lathe", "lathe is a tidedeck router.", s.Check)
	if err := lathe.Main(s); err != nil {
		fmt.Fprintln(os.Stderr, "lathe:", err)
		os.Exit(1)
	}
}
