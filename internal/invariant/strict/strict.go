// Package strict makes a violated invariant end the test, or the simulated run, that meets it. Test files and
// the simulator import it for that.
package strict

import (
	"fmt"
	"os"

	"tidedeck/internal/invariant"
)

// Variable names the environment variable that turns the checks off with the value Off: tests that break a
// guard on purpose do so, to see that their own checks notice it without the invariants.
const (
	Variable = "TIDEDECK_INVARIANTS"
	Off      = "off"
)

func init() {
	if os.Getenv(Variable) == Off {
		invariant.Observe(func(invariant.Violation) {})
		return
	}
	invariant.Observe(func(v invariant.Violation) { panic(v) })
}

// Verdict turns the exit code of a package's tests into a failure if any invariant was violated: a panic may
// have been recovered, as net/http does for its handlers.
func Verdict(code int) int {
	if os.Getenv(Variable) == Off {
		return code
	}
	for _, name := range invariant.Names {
		if n := invariant.Count(name); n > 0 {
			fmt.Printf("--- FAIL: invariant violated %d times: %s\n", n, name)
			code = max(code, 1)
		}
	}
	return code
}
