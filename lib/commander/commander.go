// Package commander builds the command line of a daemon, which validates the settings file and either runs the daemon or
// exits after the check.
package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"lycheelift.example/lib/checker"
)

// Exit codes of every program.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnreachable = 4
)

// Daemon describes how a daemon reads its settings and runs.
type Daemon[T any] struct {
	Name   string
	Short  string
	Schema checker.Schema
	// Verbosity returns the log verbosity that the settings specify.
	Verbosity func(T) int
	// Check reports faults that the schema cannot express. It may be nil.
	Check func(path string, settings T) error
	// Run runs the daemon until ctx is done.
	Run func(ctx context.Context, settings T) error
}

// Main runs a daemon's command line and returns the process's exit code.
func Main[T any](d Daemon[T]) int {
	klog.InitFlags(nil)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	defer klog.Flush()
	return Exit(newCommand(d).ExecuteContext(ctx))
}

// Exit prints an error to standard error and returns its exit code.
func Exit(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return Code(err)
}

// Code returns the exit code for an error.
func Code(err error) int {
	var coded *CodeError
	var faults checker.Faults
	var usage *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		return coded.Code
	case errors.As(err, &faults) || errors.As(err, &usage):
		return ExitUsage
	default:
		return ExitFailed
	}
}

// CodeError is an error with a specific exit code.
type CodeError struct {
	Code int
	Err  error
}

// Error returns the text of the wrapped error.
func (e *CodeError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *CodeError) Unwrap() error { return e.Err }

// UsageError is an error in the command line's flags or arguments.
type UsageError struct{ Err error }

// Error returns the text of the wrapped error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *UsageError) Unwrap() error { return e.Err }

func newCommand[T any](d Daemon[T]) *cobra.Command {
	var path string
	run := &cobra.Command{
		Use:           d.Name,
		Short:         d.Short,
		Example:       fmt.Sprintf("  %s --settings %s.toml\n  %s check --settings %s.toml", d.Name, d.Name, d.Name, d.Name),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := loadSettings(d, path)
			if err != nil {
				return err
			}
			return d.Run(cmd.Context(), s)
		},
	}
	run.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{err} })
	run.PersistentFlags().StringVar(&path, "settings", d.Name+".toml", "settings file")
	run.AddCommand(&cobra.Command{
		Use:     "check",
		Short:   "Check the settings file, list every fault and exit",
		Example: fmt.Sprintf("  %s check --settings %s.toml", d.Name, d.Name),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := loadSettings(d, path); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: no faults\n", path)
			return nil
		},
	})
	return run
}

func loadSettings[T any](d Daemon[T], path string) (T, error) {
	s, err := checker.File[T](path, d.Schema)
	if err != nil {
		return s, err
	}
	if d.Check != nil {
		if err := d.Check(path, s); err != nil {
			return s, err
		}
	}
	return s, flag.Set("v", strconv.Itoa(d.Verbosity(s)))
}
