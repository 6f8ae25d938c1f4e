package reporter

import (
	"math"
	"time"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Plot draws the latency curves of reports. The extension of the file name selects the format. The horizontal axis is
// logarithmic in the number of nines of the percentile, so that the tail gets as much space as the rest of the curve.
func Plot(path string, reports []*Report) error {
	p := plot.New()
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "latency, ms"
	p.X.Tick.Marker = plot.ConstantTicks{
		{Value: nines(50), Label: "50"},
		{Value: nines(90), Label: "90"},
		{Value: nines(99), Label: "99"},
		{Value: nines(99.9), Label: "99.9"},
		{Value: nines(99.99), Label: "99.99"},
	}
	var lines []any
	for _, r := range reports {
		var points plotter.XYs
		for _, q := range r.Curve {
			points = append(points, plotter.XY{X: nines(q.Percent), Y: float64(q.Latency) / float64(time.Millisecond)})
		}
		lines = append(lines, r.Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return oops.Wrapf(err, "plot %s", path)
	}
	p.Legend.Top = true
	p.Legend.Left = true
	p.Y.Min = 0
	return oops.Wrapf(p.Save(plotWidth, plotHeight, path), "plot %s", path)
}

func nines(percent float64) float64 {
	return -math.Log10(1 - percent/100)
}
