// Package strict makes a violated invariant end the test or the simulation that encounters it. Test files and the
// simulator import it for this effect.
package strict

import (
	"fmt"
	"os"

	"tidedeck/internal/invariant"
)

// Variable is the environment variable that turns the checks off if it has the value Off. Tests that break a guard on
// purpose use it to verify that their own checks detect the fault without the invariants.
const (
	EnvVariable = "TIDEDECK_INVARIANTS"
	EnvOff      = "off"
)

func init() {
	if os.Getenv(EnvVariable) == EnvOff {
		invariant.Observe(func(invariant.Violation) {})
		return
	}
	invariant.Observe(func(v invariant.Violation) { panic(v) })
}

// Verdict turns the exit code of a package's tests into a failure if any invariant was violated, because the panic
// may have been recovered, as net/http does for its handlers.
func Verdict(code int) int {
	if os.Getenv(EnvVariable) == EnvOff {
		return code
	}
	for _, name := range invariant.Names {
		if count := invariant.Count(name); count > 0 {
			fmt.Printf("--- FAIL: invariant violated %d times: %s\n", count, name)
			code = max(code, 1)
		}
	}
	return code
}
