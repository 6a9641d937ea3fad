// Command awl is the agent beside a tidedeck router.
package main

import (
	"fmt"
	"os"

	"tidedeck/awl"
	"tidedeck/clamp"
)

func main() {
	var s awl.Settings
	clamp.Parse(&s, "awl", "awl is the agent beside a tidedeck router.", s.Check)
	if err := awl.Main(s); err != nil {
		fmt.Fprintln(os.Stderr, "awl:", err)
		os.Exit(1)
	}
}
