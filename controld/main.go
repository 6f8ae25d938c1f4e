// Controld is the daemon of a control host: it stores the configuration and the record of answers.
package main

import (
	"context"
	"os"
	"time"

	"lycheelift.example/controld/server"
	"lycheelift.example/lib/checker"
	"lycheelift.example/lib/commander"
	settings "lycheelift.example/schema/gen/settings/controld"
)

func main() {
	os.Exit(commander.Main(commander.Daemon[settings.Control]{
		Name: "controld", Short: "Control host of lycheelift", Schema: checker.Control,
		Verbosity: func(s settings.Control) int { return s.Verbosity },
		Run: func(ctx context.Context, s settings.Control) error {
			return server.Run(ctx, s, time.Now)
		},
	}))
}
