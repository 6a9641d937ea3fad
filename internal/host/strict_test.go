package host

import (
	"os"
	"testing"

	"tidedeck/internal/invariant/strict"
)

// An invariant violation fails the tests.
func TestMain(m *testing.M) { os.Exit(strict.Verdict(m.Run())) }
