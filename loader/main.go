// Loader drives open-loop load against entry hosts.
package main

import (
	"os"

	"lycheelift.example/lib/commander"
	"lycheelift.example/loader/command"
)

func main() {
	os.Exit(commander.Exit(command.New().Execute()))
}
