package trial

import (
	"github.com/pkg/errors"
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

// Plot writes a plot of batch fill against p95 load stall, with one line for each
// policy. The extension of path selects the format.
func Plot(path, title string, results []Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "p95 load stall, ms"
	p.Y.Label.Text = "batch fill"
	p.Add(plotter.NewGrid())
	lines := map[string]plotter.XYs{}
	var names []string
	for _, r := range results {
		if lines[r.Policy] == nil {
			names = append(names, r.Policy)
		}
		lines[r.Policy] = append(lines[r.Policy], plotter.XY{X: r.Stall95, Y: r.BatchFill})
	}
	var args []any
	for _, name := range names {
		args = append(args, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Wrap(err, "trial: plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "trial: plot")
}
