// Package command implements the command line of fleetd.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"lycheelift.example/fleetd/server"
	"lycheelift.example/lib/checker"
	"lycheelift.example/lib/commander"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/platform"
	settings "lycheelift.example/schema/gen/settings/fleetd"
)

// Main runs the command line and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commander.Exit(root().ExecuteContext(ctx))
}

func root() *cobra.Command {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		path = "fleetd.toml"
	}
	out := &cobra.Command{Use: "fleetd", Short: "Host of lycheelift on a platform without a list of hosts", SilenceUsage: true, SilenceErrors: true}
	out.PersistentFlags().StringVar(&path, "settings", path, "settings file")
	out.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &commander.UsageError{Err: err} })
	out.AddCommand(role("entry", "Answer callers", &path, server.Entry), role("control", "Keep the configuration and the roster of leaves", &path, server.Control))
	out.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the settings file, list every fault and exit", Args: cobra.NoArgs,
		Example: "  fleetd check --settings fleetd.toml",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := load(path); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: no faults\n", path)
			return nil
		},
	})
	out.AddCommand(newExplain(&path))
	return out
}

// role returns the command that runs a host in one role.
func role(name, short string, path *string, run func(context.Context, *server.Settings, func() time.Time) error) *cobra.Command {
	return &cobra.Command{
		Use: name, Short: short, Args: cobra.NoArgs, Example: "  fleetd " + name + " --settings fleetd.toml",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := load(*path)
			if err != nil {
				return err
			}
			output := eventer.NewOutput(os.Stdout)
			defer output.Close()
			eventer.SetOutput(output)
			return run(cmd.Context(), s, server.SteadyClock())
		},
	}
}

func load(path string) (*server.Settings, error) {
	s, err := checker.File[settings.Fleet](path, checker.Fleet)
	if err != nil {
		return nil, err
	}
	out, err := server.Parse(s)
	if err != nil {
		return nil, &commander.CodeError{Code: commander.ExitUsage, Err: err}
	}
	return out, nil
}
