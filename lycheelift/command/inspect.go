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

// newInspect returns the command that prints the state of an entry host.
func newInspect(s *shared) *cobra.Command {
	return &cobra.Command{
		Use:     "inspect",
		Short:   "Print what an entry host knows: version, members of its cell, leaves and owners",
		Example: "  lycheelift inspect --entry 127.0.0.1:7001",
		Args:    arguments(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), s.timeout)
			defer cancel()
			out, err := operatorv1connect.NewHostServiceClient(s.client, s.secure.URL(s.entry)).Inspect(ctx, &operatorv1.InspectRequest{})
			if err != nil {
				return oops.Wrapf(err, "entry host %s", s.entry)
			}
			return s.print(cmd.OutOrStdout(), out, func(w io.Writer) { printHost(w, out) })
		},
	}
}

func printHost(w io.Writer, out *operatorv1.InspectResponse) {
	fmt.Fprintf(w, "%s  center %s  version %d  removed %t  draining %t  calls %d\n",
		out.GetHost(), out.GetCenter(), out.GetVersion(), out.GetRemoved(), out.GetDraining(), out.GetCalls())
	for _, m := range out.GetMembers() {
		fmt.Fprintf(w, "  member %s  %s\n", m.GetHost(), m.GetState())
	}
	for _, l := range out.GetLeaves() {
		fmt.Fprintf(w, "  leaf %s  service %s  state %s  owner %s  epoch %d\n", l.GetLeaf(), l.GetService(), l.GetState(), l.GetOwner(), l.GetEpoch())
	}
}
