package command

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
)

// newShow returns the command that prints one version of the configuration.
func newShow(s *shared) *cobra.Command {
	in := &operatorv1.ShowRequest{}
	c := &cobra.Command{
		Use:     "show",
		Short:   "Print a version of the configuration",
		Example: "  lycheelift show --control 127.0.0.1:7400\n  lycheelift show --version 7 --output json --control 127.0.0.1:7400",
		Args:    arguments(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var out *operatorv1.ShowResponse
			err := s.tryEach(cmd.Context(), func(ctx context.Context, c operatorClient) (err error) {
				out, err = c.Show(ctx, in)
				return err
			})
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), out, func(w io.Writer) {
				v := out.GetVersion()
				fmt.Fprintf(w, "version %d  author %s  reason %s\n%s\n", v.GetNumber(), orDash(v.GetAuthor()), orDash(v.GetReason()), indent(v.GetDocument()))
			})
		},
	}
	c.Flags().Uint64Var(&in.Version, "version", 0, "version wanted; the newest when 0")
	return c
}
