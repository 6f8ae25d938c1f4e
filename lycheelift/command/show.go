package command

import (
	"context"
	"fmt"
	"io"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
)

// newShow prints one version of the configuration.
func newShow(s *shared) *cobra.Command {
	in := &operatorv1.ShowRequest{}
	c := &cobra.Command{
		Use:     "show",
		Short:   "Print a version of the configuration",
		Example: "  lycheelift show --version 7 --control 127.0.0.1:7400",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			err := oops.Errorf("--control is required")
			for _, address := range s.control {
				ctx, cancel := context.WithTimeout(cmd.Context(), s.timeout)
				out, e := operatorv1connect.NewOperatorServiceClient(s.client, "http://"+address).Show(ctx, in)
				cancel()
				if e != nil {
					err = oops.Wrapf(e, "control host %s", address)
					continue
				}
				return s.print(cmd.OutOrStdout(), out, func(w io.Writer) {
					v := out.GetVersion()
					fmt.Fprintf(w, "version %d  author %s  reason %s\n%s\n", v.GetNumber(), v.GetAuthor(), v.GetReason(), v.GetDocument())
				})
			}
			return err
		},
	}
	c.Flags().Uint64Var(&in.Version, "version", 0, "version wanted; the newest when 0")
	return c
}
