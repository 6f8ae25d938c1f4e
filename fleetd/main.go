// Fleetd is the daemon of a host on a platform without a list of hosts: an entry host or a control host.
package main

import (
	"os"

	"lycheelift.example/fleetd/command"
)

func main() {
	os.Exit(command.Main())
}
