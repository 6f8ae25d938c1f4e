// Demo runs a small deployment of three data centres on loopback and shows what it answers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"lycheelift.example/demo/runner"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := runner.Run(ctx, os.Stdout, "out"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1) //nolint:gocritic // The signal handler need not be undone at the end of the process.
	}
}
