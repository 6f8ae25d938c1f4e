package command

import (
	"github.com/spf13/cobra"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// newRollback returns the command that creates a new version with the document of an earlier one.
func newRollback(s *shared) *cobra.Command {
	p := &statev1.Patch{}
	c := &cobra.Command{
		Use:     "rollback VERSION",
		Short:   "Make a new version with the document of an earlier one",
		Example: "  lycheelift rollback 7 --dry --control 127.0.0.1:7400\n  lycheelift rollback 7 --reason 'version 8 was wrong' --control 127.0.0.1:7400",
		Args:    arguments(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			target, err := version(args[0])
			if err != nil {
				return err
			}
			p.Rollback = target
			result, err := s.submit(cmd.Context(), p)
			if err != nil {
				return err
			}
			return s.printVerdict(cmd.OutOrStdout(), p, result)
		},
	}
	addPatchFlags(c, p)
	c.Flags().BoolVar(&p.Dry, "dry", false, "show the change without making it")
	return c
}
