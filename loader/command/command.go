// Package command is the command line of the load tool.
package command

import (
	"time"

	"github.com/spf13/cobra"
)

// New returns the root command.
func New() *cobra.Command {
	o := &options{}
	load := &o.load
	c := &cobra.Command{
		Use:     "loader",
		Short:   "Send open-loop load and report latency, coverage and extra load",
		Example: "  loader --service desk --entries 127.0.0.1:7001 --rate 200 --duration 10s",
		Args:    cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	f := c.Flags()
	f.StringVar(&load.Name, "name", "load", "label of the run")
	f.StringSliceVar(&load.Services, "service", []string{"desk"}, "services to ask in turn")
	f.StringSliceVar(&o.recordAddresses, "records", nil, "control addresses of stand-ins, whose records give the extra load")
	f.IntVar(&o.shards, "shards", 3, "shards of each service, for the extra load")
	f.StringVar(&o.reportPath, "report", "", "file for the report as JSON")
	f.StringVar(&load.Tenant, "tenant", "", "tenant on whose behalf to ask")
	f.StringVar(&load.Body, "body", "question", "body of the queries")
	f.IntVar(&load.Distinct, "distinct", 1, "number of different bodies")
	f.StringSliceVar(&load.Entries, "entries", nil, "callers' addresses of entry hosts")
	f.Float64Var(&load.Rate, "rate", 100, "queries a second")
	f.DurationVar(&load.Duration, "duration", 5*time.Second, "length of the run")
	f.DurationVar(&load.Deadline, "deadline", time.Second, "deadline of a query")
	f.Float64Var(&load.MinCoverage, "least", 0, "least coverage accepted, 0 to 1")
	_ = c.MarkFlagRequired("entries")
	c.AddCommand(newPlotCommand())
	c.AddCommand(newMeasureCommand())
	return c
}
