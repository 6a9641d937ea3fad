package controller

import (
	"os"
	"testing"

	"tidedeck/internal/invariant/strict"
)

// A violated invariant fails the tests.
func TestMain(m *testing.M) { os.Exit(strict.Verdict(m.Run())) }
