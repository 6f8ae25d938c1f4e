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

// options holds the flags of a load run.
type options struct {
	load            driver.Load
	recordAddresses []string
	shards          int
	reportPath      string
}

// run sends the load, and reads the records of the stand-in backend servers before and after it.
func (o *options) run(ctx context.Context, w io.Writer) error {
	before, err := collector.Read(ctx, o.recordAddresses, o.load.Services)
	if err != nil {
		return err
	}
	result := driver.New(transporter.WithoutTLS()).Run(ctx, o.load)
	after, err := collector.Read(ctx, o.recordAddresses, o.load.Services)
	if err != nil {
		return err
	}
	report := reporter.NewReport(result, o.shards, after.Since(before))
	reporter.Table(w, []*driver.Result{result})
	if len(o.recordAddresses) > 0 {
		fmt.Fprintf(w, "  leaf calls %d, extra load %.2f%%, shed %d, duplicates %d\n",
			report.Leaves.Calls, 100*report.ExtraLoad, report.Leaves.Shed, report.Leaves.Duplicates)
	}
	if o.reportPath == "" {
		return nil
	}
	return report.Write(o.reportPath)
}
