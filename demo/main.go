// Demo runs a small deployment of three data centres on loopback and shows its answers, or measures its tail latency.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"lycheelift.example/demo/runner"
)

// measureArgs is the length of os.Args for "demo measure SIZE FOLDER".
const measureArgs = 4

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := start(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func start(ctx context.Context) error {
	if len(os.Args) == measureArgs && os.Args[1] == "measure" {
		return runner.Measure(ctx, os.Stdout, "out", os.Args[3], os.Args[2])
	}
	return runner.Run(ctx, os.Stdout, "out")
}
