// Package command holds the commands for operators and analysts, one per file.
package command

import (
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"lycheelift.example/lib/commander"
	"lycheelift.example/lib/transporter"
)

// shared holds the flags and clients that every command uses.
type shared struct {
	control []string
	entry   string
	output  string
	timeout time.Duration
	files   transporter.Files
	client  *http.Client
	// secure builds URLs with or without TLS.
	secure *transporter.Security
}

// Ping policy of the connections to daemons.
const (
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
)

const long = `Operate lycheelift and read what it answered.

Exit codes:
  0  done
  1  failed: the text says why
  2  wrong usage, or faults in a settings file or patch: each is listed
  3  conflict: the configuration has changed since the base version
  4  no control host or entry host could be reached, or none answered in time`

// New returns the root command.
func New() *cobra.Command {
	s := &shared{}
	root := &cobra.Command{
		Use:               "lycheelift",
		Short:             "Operate lycheelift and read what it answered",
		Long:              long,
		Example:           "  lycheelift show --control 127.0.0.1:7400\n  lycheelift out gal-2 --reason 'power work' --control 127.0.0.1:7400,127.0.0.2:7400",
		SilenceUsage:      true,
		SilenceErrors:     true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		PersistentPreRunE: func(*cobra.Command, []string) error { return s.validateFlags() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &commander.UsageError{Err: err} })
	f := root.PersistentFlags()
	f.StringSliceVar(&s.control, "control", nil, "operators' addresses of control hosts, separated by commas")
	f.StringVar(&s.entry, "entry", "", "callers' address of an entry host")
	f.StringVar(&s.output, "output", outputTable, "table or json")
	f.StringVar(&s.files.Certificate, "certificate", "", "file with your certificate chain, PEM; without one TLS is off and addresses must be on loopback")
	f.StringVar(&s.files.Key, "key-file", "", "file with your private key, PEM")
	f.StringVar(&s.files.Authority, "authority", "", "file with the authority that signs the system's certificates, PEM")
	f.DurationVar(&s.timeout, "timeout", 5*time.Second, "longest wait for the reply of one host")
	root.AddCommand(
		newAnswers(s), newAsk(s), newPatch(s), newDifference(s), newHistory(s), newShow(s), newInspect(s), newRollback(s), newStory(s), newOut(s), newIn(s),
		newStatus(s), newMember(s), newReplay(), newSettings(s), newCompletion(),
	)
	return root
}

// arguments converts an argument error into a usage error.
func arguments(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError("%s; see %s --help", err, cmd.CommandPath())
		}
		return nil
	}
}
