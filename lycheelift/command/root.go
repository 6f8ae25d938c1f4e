// Package command holds the commands of operators and analysts, one a file.
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
	client  *http.Client
}

// Bounds of silence on a connection to a daemon.
const (
	silenceIdle   = 2 * time.Second
	silenceAnswer = 2 * time.Second
)

// New returns the root command.
func New() *cobra.Command {
	s := &shared{client: transporter.Client(transporter.Silence{Idle: silenceIdle, Answer: silenceAnswer})}
	root := &cobra.Command{
		Use:           "lycheelift",
		Short:         "Operate lycheelift and read what it answered",
		Example:       "  lycheelift show --control 127.0.0.1:7400",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &commander.UsageError{Err: err} })
	f := root.PersistentFlags()
	f.StringSliceVar(&s.control, "control", nil, "operators' addresses of control hosts")
	f.StringVar(&s.entry, "entry", "", "callers' address of an entry host")
	f.StringVar(&s.output, "output", "table", "table or json")
	f.DurationVar(&s.timeout, "timeout", 5*time.Second, "longest wait for a reply")
	root.AddCommand(newAsk(s), newPatch(s), newShow(s), newReplay())
	return root
}
