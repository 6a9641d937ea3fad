package agent

import (
	"os"
	"testing"

	"tidedeck/internal/invariant/strict"
)

// TestMain fails the package if an invariant was violated.
func TestMain(m *testing.M) { os.Exit(strict.Verdict(m.Run())) }
