package command

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
)

// newDifference returns the command that prints the merge patch between two versions.
func newDifference(s *shared) *cobra.Command {
	return &cobra.Command{
		Use:     "difference FROM [TO]",
		Short:   "Print the merge patch from one version to another, or to the newest",
		Example: "  lycheelift difference 7 --control 127.0.0.1:7400\n  lycheelift difference 7 9 --control 127.0.0.1:7400",
		Args:    arguments(cobra.RangeArgs(1, 2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			numbers := []uint64{0, 0}
			for i, a := range args {
				n, err := version(a)
				if err != nil {
					return err
				}
				numbers[i] = n
			}
			var out *operatorv1.DifferenceResponse
			err := s.tryEach(cmd.Context(), func(ctx context.Context, c operatorClient) (err error) {
				out, err = c.Difference(ctx, &operatorv1.DifferenceRequest{From: numbers[0], To: numbers[1]})
				return err
			})
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), out, func(w io.Writer) {
				fmt.Fprintf(w, "from version %d to version %d\n%s\n", out.GetFrom(), out.GetTo(), indent(out.GetDifference()))
			})
		},
	}
}

// version parses a version number from the command line.
func version(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, usageError("a version is a number of at least 1, not %q", text)
	}
	return n, nil
}
