// Soaker runs real hosts as processes on loopback, injects random faults and checks the results that callers and
// leaves observe.
package main

import (
	"os"

	"lycheelift.example/soaker/command"
)

func main() {
	if err := command.New().Execute(); err != nil {
		os.Exit(1)
	}
}
