package command

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// newMember returns the command that adds or removes control hosts.
func newMember(s *shared) *cobra.Command {
	c := &cobra.Command{
		Use:     "member",
		Short:   "Add or remove one control host",
		Example: "  lycheelift member add control-4 10.0.0.4:7401 --control 127.0.0.1:7400\n  lycheelift member remove control-2 --control 127.0.0.1:7400",
	}
	c.AddCommand(&cobra.Command{
		Use:     "add HOST ADDRESS",
		Short:   "Add a control host by its name and peer address; it votes once it has caught up",
		Example: "  lycheelift member add control-4 10.0.0.4:7401 --control 127.0.0.1:7400",
		Args:    arguments(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.member(cmd, &operatorv1.MemberRequest{Add: &statev1.Replica{Host: args[0], Address: args[1], Learner: true}})
		},
	}, &cobra.Command{
		Use:     "remove HOST",
		Short:   "Remove a control host",
		Example: "  lycheelift member remove control-2 --control 127.0.0.1:7400",
		Args:    arguments(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.member(cmd, &operatorv1.MemberRequest{Remove: args[0]})
		},
	})
	return c
}

func (s *shared) member(cmd *cobra.Command, in *operatorv1.MemberRequest) error {
	var out *operatorv1.MemberResponse
	err := s.tryEach(cmd.Context(), func(ctx context.Context, c operatorClient) (err error) {
		out, err = c.Member(ctx, in)
		return err
	})
	if err != nil {
		return err
	}
	return s.print(cmd.OutOrStdout(), out, func(w io.Writer) {
		rows := [][]string{{"CONTROL", "ADDRESS", "VOTE"}}
		for _, r := range out.GetMembers().GetReplicas() {
			vote := "yes"
			if r.GetLearner() {
				vote = "no"
			}
			rows = append(rows, []string{r.GetHost(), r.GetAddress(), vote})
		}
		table(w, rows)
	})
}
