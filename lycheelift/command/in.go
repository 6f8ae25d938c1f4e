package command

import "github.com/spf13/cobra"

// newIn returns the command that returns a data centre to use.
func newIn(s *shared) *cobra.Command {
	return newCenterCommand(s, false, &cobra.Command{
		Use:   "in [CENTER]",
		Short: "Bring a data centre back in and wait until every host knows",
		Example: "  lycheelift in gal-2 --reason 'power work is done' --control 127.0.0.1:7400,127.0.0.2:7400\n" +
			"  lycheelift in --local --entry 127.0.0.1:7001",
	})
}
