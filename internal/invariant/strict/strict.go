// Package strict makes a violated invariant end the test that meets it. Test files import it for that alone.
package strict

import "tidedeck/internal/invariant"

func init() {
	invariant.Observe(func(v invariant.Violation) { panic(v) })
}
