package command

import (
	"github.com/spf13/cobra"

	"lycheelift.example/loader/reporter"
)

// newPlotCommand returns the command that plots the reports of earlier runs.
func newPlotCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:     "plot REPORT...",
		Short:   "Draw the latency curves of reports",
		Example: "  loader plot free.json off.json on.json --out tail.png",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			reports := make([]*reporter.Report, 0, len(args))
			for _, path := range args {
				r, err := reporter.ReadReport(path)
				if err != nil {
					return err
				}
				reports = append(reports, r)
			}
			return reporter.Plot(out, reports)
		},
	}
	c.Flags().StringVar(&out, "out", "latency.png", "file to draw to; its extension sets the format")
	return c
}
