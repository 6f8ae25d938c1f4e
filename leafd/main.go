// Leafd runs stand-in backend servers for the demo, for tests and for measurements.
package main

import (
	"os"

	"lycheelift.example/leafd/command"
	"lycheelift.example/lib/commander"
)

func main() {
	os.Exit(commander.Exit(command.New().Execute()))
}
