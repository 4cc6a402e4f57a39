package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"stairvane.org/stairvane/internal/tools/fleetsim"
)

// Size of the drawing.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// drawModel draws a run over time to a file whose ending gives the format.
func drawModel(result fleetsim.Result, path string) error {
	most := 1
	for _, point := range result.Points {
		most = max(most, point.Directors)
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
	p.Y.Label.Text = "of a limit; fairness; directors, of the most"
	err := plotutil.AddLines(p,
		"worst sum", line(func(x fleetsim.Point) float64 { return x.Worst }),
		"used of what could be", line(func(x fleetsim.Point) float64 { return x.Used / max(x.Usable, 1e-9) }),
		"fairness (Jain)", line(func(x fleetsim.Point) float64 { return x.Fairness }),
		"directors", line(func(x fleetsim.Point) float64 { return float64(x.Directors) / float64(most) }))
	if err != nil {
		return err
	}
	p.Y.Min = 0
	p.Y.Max = 1.1
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, path)
}
