// Fleetd is the daemon of a host on a platform without a list of hosts: an entry host or a control host.
package main

import (
	"os"
	"runtime/debug"

	"lycheelift.example/fleetd/command"
	_ "lycheelift.example/fleetd/ignorer" // Ignores SIGHUP from before the runtime starts.
)

// collectPercent is the growth of the heap in percent after which garbage is collected. Memory is priced at its peak.
const collectPercent = 50

func main() {
	debug.SetGCPercent(collectPercent)
	os.Exit(command.Main())
}
