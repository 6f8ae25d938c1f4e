// Entryd is the daemon of an entry host: it answers queries from callers and sends calls to the backend servers for which
// it holds the lease.
package main

import (
	"context"
	"os"
	"time"

	"lycheelift.example/entryd/server"
	"lycheelift.example/lib/checker"
	"lycheelift.example/lib/commander"
	settings "lycheelift.example/schema/gen/settings/entryd"
)

func main() {
	os.Exit(commander.Main(commander.Daemon[settings.Entry]{
		Name: "entryd", Short: "Entry host of lycheelift", Schema: checker.Entry,
		Verbosity: func(s settings.Entry) int { return s.Verbosity },
		Run: func(ctx context.Context, s settings.Entry) error {
			srv, err := server.New(s, time.Now)
			if err != nil {
				return err
			}
			return srv.Run(ctx)
		},
	}))
}
