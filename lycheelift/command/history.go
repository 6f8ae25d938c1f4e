package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
)

// newHistory returns the command that prints the audit trail.
func newHistory(s *shared) *cobra.Command {
	in := &operatorv1.HistoryRequest{}
	c := &cobra.Command{
		Use:     "history",
		Short:   "Print accepted and refused patches, the newest last",
		Example: "  lycheelift history --limit 20 --control 127.0.0.1:7400\n  lycheelift history --from 7 --output json --control 127.0.0.1:7400",
		Args:    arguments(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var out *operatorv1.HistoryResponse
			err := s.tryEach(cmd.Context(), func(ctx context.Context, c operatorClient) (err error) {
				out, err = c.History(ctx, in)
				return err
			})
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), out, func(w io.Writer) { printHistory(w, out) })
		},
	}
	c.Flags().Uint64Var(&in.From, "from", 0, "first version wanted")
	c.Flags().Uint32Var(&in.Limit, "limit", 50, "most entries wanted, at most 1000")
	return c
}

func printHistory(w io.Writer, out *operatorv1.HistoryResponse) {
	rows := [][]string{{"TIME", "VERDICT", "BASE", "VERSION", "AUTHOR", "REASON", "CHANGE"}}
	for _, a := range out.GetAudits() {
		p, r := a.GetPatch(), a.GetResult()
		change := string(p.GetBody())
		if p.GetRollback() != 0 {
			change = fmt.Sprintf("rollback to %d", p.GetRollback())
		}
		rows = append(rows, []string{
			a.GetTime().AsTime().Format(time.RFC3339), verdict(r.GetVerdict()), fmt.Sprint(p.GetBase()), fmt.Sprint(r.GetVersion()),
			p.GetAuthor(), orDash(p.GetReason()), truncate(change),
		})
	}
	table(w, rows)
}

// truncate shortens a change to one line; --output json prints it in full.
func truncate(text string) string {
	const maxLength = 100
	line := []rune{}
	for _, r := range text {
		if r == '\n' || r == '\t' {
			r = ' '
		}
		if len(line) == maxLength {
			return string(line) + "..."
		}
		line = append(line, r)
	}
	return string(line)
}
