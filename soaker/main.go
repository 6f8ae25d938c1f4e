// Soaker runs real hosts as processes on loopback under random faults and checks what callers and leaves see.
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
