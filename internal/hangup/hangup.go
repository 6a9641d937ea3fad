// Package hangup has a hosted program ignore hang-up signals from its first moment on. The signal says that the
// settings have changed; a program that is only starting reads them anyway, and its handler is set later. It imports
// nothing of the project, so that it comes before all that takes time to initialize.
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
