package command

import (
	"fmt"
	"os"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"lycheelift.example/lib/tracer"
)

// newReplay returns the command that replays recorded traces through the planner.
func newReplay() *cobra.Command {
	return &cobra.Command{
		Use:     "replay FILE...",
		Short:   "Play recorded traces through the planner and check their stated outcomes",
		Example: "  lycheelift replay lib/tracer/testdata/straggler.jsonl",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				file, err := os.Open(path)
				if err != nil {
					return oops.Wrapf(err, "replay")
				}
				out, err := tracer.Replay(file)
				_ = file.Close()
				if err != nil {
					return oops.Wrapf(err, "replay %s", path)
				}
				coverage := out.Reply.GetCoverage()
				fmt.Fprintf(cmd.OutOrStdout(), "%s: as stated: %s, coverage %d/%d of snapshot %d, %d events\n", path,
					out.Reply.GetOutcome(), coverage.GetAnswered(), coverage.GetTotal(), out.Reply.GetSnapshot(), out.Events)
			}
			return nil
		},
	}
}
