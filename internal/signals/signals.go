// Package signals catches the signals of a daemon from the start of its process on. By
// default they end a process, also before it had the time to ask for them.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// queued is the number of signals that are kept until they are read; more are dropped.
const queued = 16

// caught receives the signals. It is set before packages that this one does not import are
// initialized.
var caught = catch()

func catch() chan os.Signal {
	c := make(chan os.Signal, queued)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return c
}

// Caught returns the signals since the start of the process: SIGTERM, SIGINT and SIGHUP.
func Caught() <-chan os.Signal { return caught }
