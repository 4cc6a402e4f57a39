package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"stairvane.org/stairvane/internal/tools/fleetsim"
)

// Size of the plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotRun plots a run over time to a file, in the format that the extension of the file names.
func plotRun(result fleetsim.Result, path string) error {
	maxDirectors := 1
	for _, point := range result.Points {
		maxDirectors = max(maxDirectors, point.Directors)
	}
	line := func(value func(fleetsim.Point) float64) plotter.XYs {
		xy := make(plotter.XYs, len(result.Points))
		for i, point := range result.Points {
			xy[i] = plotter.XY{X: point.At.Seconds(), Y: value(point)}
		}
		return xy
	}
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "fraction of the limit; fairness; fraction of the maximum directors"
	err := plotutil.AddLines(p,
		"maximum total", line(func(x fleetsim.Point) float64 { return x.Worst }),
		"used of usable", line(func(x fleetsim.Point) float64 { return x.Used / max(x.Usable, 1e-9) }),
		"fairness (Jain)", line(func(x fleetsim.Point) float64 { return x.Fairness }),
		"directors", line(func(x fleetsim.Point) float64 { return float64(x.Directors) / float64(maxDirectors) }))
	if err != nil {
		return err
	}
	p.Y.Min = 0
	p.Y.Max = 1.1
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, path)
}
