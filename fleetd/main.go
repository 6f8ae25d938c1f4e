// Fleetd is the daemon of a host on a platform without a list of hosts: an entry host or a control host.
package main

import (
	"os"
	"runtime/debug"

	"lycheelift.example/fleetd/command"
	_ "lycheelift.example/fleetd/ignorer" // Ignores SIGHUP from before the runtime starts.
)

// gcPercent is the heap growth that triggers a garbage collection. It is below the default of 100 to lower peak memory.
const gcPercent = 50

func main() {
	debug.SetGCPercent(gcPercent)
	os.Exit(command.Main())
}
