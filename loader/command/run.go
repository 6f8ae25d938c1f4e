package command

import (
	"context"
	"fmt"
	"io"

	"lycheelift.example/lib/transporter"
	"lycheelift.example/loader/collector"
	"lycheelift.example/loader/driver"
	"lycheelift.example/loader/reporter"
)

// options are the flags of a run that do not describe the load.
type options struct {
	load    driver.Load
	records []string
	shards  int
	report  string
}

// run sends the load and reads the records of the stand-ins before and after it.
func (o *options) run(ctx context.Context, w io.Writer) error {
	before, err := collector.Read(ctx, o.records, o.load.Services)
	if err != nil {
		return err
	}
	result := driver.New(transporter.Clear()).Run(ctx, o.load)
	after, err := collector.Read(ctx, o.records, o.load.Services)
	if err != nil {
		return err
	}
	report := reporter.NewReport(result, o.shards, after.Since(before))
	reporter.Table(w, []*driver.Result{result})
	if len(o.records) > 0 {
		fmt.Fprintf(w, "  leaf calls %d, extra load %.2f%%, shed %d, duplicates %d\n",
			report.Leaves.Calls, 100*report.Extra, report.Leaves.Shed, report.Leaves.Duplicates)
	}
	if o.report == "" {
		return nil
	}
	return report.Write(o.report)
}
