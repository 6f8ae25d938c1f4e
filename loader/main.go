// Loader sends open-loop load to entry hosts and measures deployments.
package main

import (
	"os"

	"lycheelift.example/lib/commander"
	"lycheelift.example/loader/command"
)

func main() {
	os.Exit(commander.Exit(command.New().Execute()))
}
