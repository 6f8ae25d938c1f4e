// Package command is the command line of the load tool.
package command

import (
	"time"

	"github.com/spf13/cobra"

	"lycheelift.example/loader/driver"
	"lycheelift.example/loader/reporter"
)

// New returns the command.
func New() *cobra.Command {
	load := driver.Load{}
	c := &cobra.Command{
		Use:     "loader",
		Short:   "Send open-loop load and report latency, coverage and extra load",
		Example: "  loader --service desk --entries 127.0.0.1:7001 --rate 200 --duration 10s",
		Args:    cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result := driver.New().Run(cmd.Context(), load)
			reporter.Table(cmd.OutOrStdout(), []*driver.Result{result})
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&load.Name, "name", "load", "label of the run")
	f.StringVar(&load.Service, "service", "desk", "service to ask")
	f.StringVar(&load.Tenant, "tenant", "", "tenant on whose behalf to ask")
	f.StringVar(&load.Body, "body", "question", "body of the queries")
	f.IntVar(&load.Distinct, "distinct", 1, "number of different bodies")
	f.StringSliceVar(&load.Entries, "entries", nil, "callers' addresses of entry hosts")
	f.Float64Var(&load.Rate, "rate", 100, "queries a second")
	f.DurationVar(&load.Duration, "duration", 5*time.Second, "length of the run")
	f.DurationVar(&load.Deadline, "deadline", time.Second, "deadline of a query")
	f.Float64Var(&load.Least, "least", 0, "least coverage accepted, 0 to 1")
	_ = c.MarkFlagRequired("entries")
	c.AddCommand(newMeasure())
	return c
}
