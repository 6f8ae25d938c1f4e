package command

import "github.com/spf13/cobra"

// newOut returns the command that takes a data centre out of use.
func newOut(s *shared) *cobra.Command {
	return newCenterCommand(s, true, &cobra.Command{
		Use:   "out [CENTER]",
		Short: "Take a data centre out and wait until every host knows",
		Example: "  lycheelift out gal-2 --reason 'power work' --control 127.0.0.1:7400,127.0.0.2:7400\n" +
			"  lycheelift out --local --entry 127.0.0.1:7001 --reason 'cut off from control'",
	})
}
