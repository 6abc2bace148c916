package bench

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes the distribution of the time to first token of model requests, one line
// for each policy. The file name must end in .svg or .png.
func (r Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "First token, scenario " + r.Scenario
	p.X.Label.Text = "time from arrival to first token, ms"
	p.Y.Label.Text = "share of answers"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left, p.Legend.Top = true, true
	for i, res := range r.Results {
		if len(res.firstTokensMs) == 0 {
			continue
		}
		values := slices.Sorted(slices.Values(res.firstTokensMs))
		points := make(plotter.XYs, len(values))
		for j, v := range values {
			points[j] = plotter.XY{X: max(v, 1), Y: float64(j+1) / float64(len(values))}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return Error.Wrap(err)
		}
		line.Color, line.Dashes, line.Width = plotutil.Color(i), plotutil.Dashes(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(res.Policy, line)
	}
	if p.X.Min > p.X.Max || p.X.Min <= 0 { // nothing was measured
		p.X.Min, p.X.Max = 1, 1000
	}
	return Error.Wrap(p.Save(plotWidth, plotHeight, file))
}
