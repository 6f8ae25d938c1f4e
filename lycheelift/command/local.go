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

// removeLocal sets or lifts the local removal of the data centre of the host at --entry. That host tells the others of
// its data centre.
func (s *shared) removeLocal(ctx context.Context, removed bool, author, reason string) (*operatorv1.RemoveResponse, error) {
	if s.entry == "" {
		return nil, oops.Errorf("--entry is required: any entry host of the data centre")
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	out, err := operatorv1connect.NewHostServiceClient(s.client, "http://"+s.entry).Remove(ctx,
		&operatorv1.RemoveRequest{Removed: removed, Author: author, Reason: reason})
	return out, oops.Wrapf(err, "entry host %s", s.entry)
}

// newLocal takes a data centre out, or back in, on its own hosts, when control cannot be reached.
func newLocal(s *shared, name string, removed bool) *cobra.Command {
	var author, reason string
	var local bool
	c := &cobra.Command{
		Use:     name,
		Short:   fmt.Sprintf("Take the data centre of an entry host %s without control", name),
		Example: fmt.Sprintf("  lycheelift %s --local --entry 127.0.0.1:7001 --reason 'cut off'", name),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !local {
				return oops.Errorf("only --local is supported; use patch to change the configuration")
			}
			out, err := s.removeLocal(cmd.Context(), removed, author, reason)
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), out, func(w io.Writer) {
				fmt.Fprintf(w, "removed locally: %t  version %d\n", removed, out.GetVersion())
			})
		},
	}
	c.Flags().BoolVar(&local, "local", false, "on the hosts of the data centre only, until lifted or until a version changes its out value")
	c.Flags().StringVar(&author, "author", login(), "author of the change")
	c.Flags().StringVar(&reason, "reason", "", "reason for the change")
	return c
}
