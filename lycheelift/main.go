// Lycheelift is the command-line tool for operators and analysts.
package main

import (
	"os"

	"lycheelift.example/lib/commander"
	"lycheelift.example/lycheelift/command"
)

func main() {
	os.Exit(commander.Exit(command.New().Execute()))
}
