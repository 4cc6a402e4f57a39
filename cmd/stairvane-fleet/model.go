package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/olekukonko/tablewriter"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"stairvane.org/stairvane/internal/tools/fleetsim"
)

type modelCmd struct {
	output
	Directors []int         `default:"10,50" help:"Directors at the start; each number is a run. A thousand take a quarter of an hour."`
	Boxes     int           `default:"4" help:"Cold boxes, each a limit that all share."`
	Length    time.Duration `default:"30s" help:"Of the model's time."`
	Seed      uint64        `default:"1" help:"All chance comes from it."`
	Skew      float64       `default:"1" help:"Exponent of Zipf's law over the directors' demands; below 0: all want the same."`
	Load      float64       `default:"1.5" help:"What all together want of a limit, in limits."`
	Loss      float64       `default:"0.01" help:"Share of calls that are lost."`
	Double    time.Duration `help:"When as many again join."`
	Halve     time.Duration `help:"When half of them die in one moment."`
	Cut       time.Duration `help:"When a third is cut off from the board, for 5 s."`
	Regrant   time.Duration `help:"When another granter takes over."`
	Even      bool          `help:"For comparison: even parts of the number at the start."`
	Plot      string        `help:"Draw the first run to a file (.svg, .png or .pdf)."`
}

// modelRow is a run in short.
type modelRow struct {
	Directors       int     `json:"directors"`
	Worst           float64 `json:"worst"`
	Used            float64 `json:"used"`
	Fairness        float64 `json:"fairness"`
	UnusedMS        int64   `json:"unused_ms"`
	MessagesPerS    float64 `json:"messages_per_s"`
	BytesPerS       float64 `json:"bytes_per_s"`
	RollEvents      int     `json:"roll_events"`
	ModelTookMS     int64   `json:"took_ms"`
	LimitWasNotKept bool    `json:"limit_passed"`
}

func (c modelCmd) Run(s streams) error {
	if c.Plot != "" && !slices.Contains([]string{".svg", ".png", ".pdf"}, filepath.Ext(c.Plot)) {
		return fmt.Errorf("--plot: %s ends in none of .svg, .png, .pdf", c.Plot)
	}
	var rows []modelRow
	passed := 0
	for i, n := range c.Directors {
		cfg := fleetsim.Config{
			Seed: c.Seed, Directors: n, Caches: c.Boxes, Length: c.Length, Skew: c.Skew, Load: c.Load, Loss: c.Loss, Double: c.Double,
			Halve: c.Halve, Cut: c.Cut, Regrant: c.Regrant, Even: c.Even,
		}
		begin, said := time.Now(), time.Now()
		r, err := fleetsim.Run(cfg, func(done float64) {
			if time.Since(said) > 2*time.Second {
				said = time.Now()
				fmt.Fprintf(s.err, "%d directors: %.0f %%\n", n, 100*done)
			}
		})
		if err != nil {
			return err
		}
		row := modelRow{
			Directors: n, Worst: r.Worst, UnusedMS: r.Unused.Milliseconds(), MessagesPerS: float64(r.Messages) / c.Length.Seconds(),
			BytesPerS: float64(r.Bytes) / c.Length.Seconds(), RollEvents: r.RollEvents, ModelTookMS: time.Since(begin).Milliseconds(), LimitWasNotKept: r.Worst > 1+1e-9,
		}
		used, could := 0.0, 0.0
		row.Fairness = 1
		for _, p := range r.Points {
			used, could = used+p.Used, could+p.Could
			if p.At > 2*time.Second {
				row.Fairness = min(row.Fairness, p.Fairness)
			}
		}
		row.Used = used / could
		if row.LimitWasNotKept {
			passed++
		}
		rows = append(rows, row)
		if i == 0 && c.Plot != "" {
			if err := drawModel(r, c.Plot); err != nil {
				return fmt.Errorf("--plot: %w", err)
			}
		}
	}
	if c.Output == "json" {
		if err := writeJSON(s.out, rows); err != nil {
			return err
		}
	} else {
		t := tablewriter.NewWriter(s.out)
		t.Header("directors", "worst sum", "used of what could be", "least fairness", "longest unused", "messages/s", "kB/s", "roll events")
		for _, r := range rows {
			if err := t.Append(fmt.Sprint(r.Directors), fmt.Sprintf("%.3f", r.Worst), fmt.Sprintf("%.2f", r.Used), fmt.Sprintf("%.2f", r.Fairness), fmt.Sprintf("%d ms", r.UnusedMS),
				fmt.Sprintf("%.0f", r.MessagesPerS), fmt.Sprintf("%.1f", r.BytesPerS/1000), fmt.Sprint(r.RollEvents)); err != nil {
				return err
			}
		}
		if err := t.Render(); err != nil {
			return err
		}
	}
	if passed > 0 {
		return &exit{exitFailed, fmt.Sprintf("a limit was passed in %d of %d runs", passed, len(rows))}
	}
	return nil
}

// drawModel draws a run over time.
func drawModel(r fleetsim.Result, path string) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", "of a limit; fairness; directors, of the most"
	most := 1
	for _, x := range r.Points {
		most = max(most, x.Directors)
	}
	line := func(of func(fleetsim.Point) float64) plotter.XYs {
		xy := make(plotter.XYs, len(r.Points))
		for i, x := range r.Points {
			xy[i] = plotter.XY{X: x.At.Seconds(), Y: of(x)}
		}
		return xy
	}
	if err := plotutil.AddLines(p,
		"worst sum", line(func(x fleetsim.Point) float64 { return x.Worst }),
		"used of what could be", line(func(x fleetsim.Point) float64 { return x.Used / max(x.Could, 1e-9) }),
		"fairness (Jain)", line(func(x fleetsim.Point) float64 { return x.Fairness }),
		"directors", line(func(x fleetsim.Point) float64 { return float64(x.Directors) / float64(most) })); err != nil {
		return err
	}
	p.Y.Min, p.Y.Max = 0, 1.1
	p.Legend.Top = true
	return p.Save(18*vg.Centimeter, 10*vg.Centimeter, path)
}
