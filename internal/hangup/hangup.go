// Package hangup makes a process of a platform ignore SIGHUP during its initialisation. A platform sends
// that signal whenever the settings file changes, also to a process that has just been started, and
// the Go runtime ends a process at a SIGHUP that nothing handles. Nothing is missed, as the settings are
// read later.
//
// The package imports little, so that it is initialised before the packages that take most of the time
// until main runs.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// PlatformCommand begins the command lines of processes that a platform runs.
const PlatformCommand = "platform"

func init() {
	if len(os.Args) > 1 && os.Args[1] == PlatformCommand {
		signal.Ignore(syscall.SIGHUP)
	}
}
