// Package hangup catches requests to reload (SIGHUP) from the first moment of a process. The signal would end it otherwise, and the
// initialisation of larger packages takes some ten milliseconds. Go initialises packages in the order of their import paths, so this
// one, which needs only the standard library, comes before all libraries of other modules.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives the hangups. One waits at most: a reload takes in all that came before it.
var Signals = make(chan os.Signal, 1)

func init() { signal.Notify(Signals, syscall.SIGHUP) }
