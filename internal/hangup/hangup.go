// Package hangup makes a hosted program ignore SIGHUP from its first moment on. The signal means that the settings
// have changed; a starting program reads them anyway and installs its handler later. The package imports nothing of
// the project, so that it is initialized before packages that take time to initialize.
package hangup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

func init() {
	if slices.Contains(os.Args, "--hosted") {
		signal.Ignore(syscall.SIGHUP)
	}
}
