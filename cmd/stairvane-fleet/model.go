package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/tools/fleetsim"
)

// modelCmd simulates a fleet that shares limits by quotas, in virtual time.
type modelCmd struct {
	outputFlags
	Directors []int         `default:"10,50" help:"Directors at the start; each number is a run. A thousand take a quarter of an hour."`
	Caches    int           `name:"boxes" default:"4" help:"Warming caches, each a limit that all share."`
	Length    time.Duration `default:"30s" help:"Of the model's time."`
	Seed      uint64        `default:"1" help:"All chance comes from it."`
	Skew      float64       `default:"1" help:"Exponent of Zipf's law over the directors' demands; below 0: all want the same."`
	Load      float64       `default:"1.5" help:"What all together want of a limit, in limits."`
	Loss      float64       `default:"0.01" help:"Share of calls that are lost."`
	Double    time.Duration `help:"When as many again join."`
	Halve     time.Duration `help:"When half of them die in one moment."`
	Cut       time.Duration `help:"When a third is cut off from the control plane, for 5 s."`
	Regrant   time.Duration `help:"When another allocator takes over."`
	Even      bool          `help:"For comparison: even shares of the number at the start."`
	Plot      string        `help:"Draw the first run to a file (.svg, .png or .pdf)."`
}

const (
	modelProgressInterval = 2 * time.Second // between progress messages
	modelSettleTime       = 2 * time.Second // virtual time at the start of a run in which fairness is ignored
	limitTolerance        = 1e-9            // excess over a limit, as a fraction of it, that is attributed to rounding
)

// modelRow is the summary of a run.
type modelRow struct {
	Directors         int     `json:"directors"`
	Worst             float64 `json:"worst"`
	Used              float64 `json:"used"`
	Fairness          float64 `json:"fairness"`
	UnusedMS          int64   `json:"unused_ms"`
	MessagesPerS      float64 `json:"messages_per_s"`
	BytesPerS         float64 `json:"bytes_per_s"`
	MembershipChanges int     `json:"roll_events"`
	ElapsedMS         int64   `json:"took_ms"`
	LimitExceeded     bool    `json:"limit_passed"`
}

// Run simulates one run for each number of directors and shows the results.
func (c modelCmd) Run(s streams) error {
	if c.Plot != "" && !slices.Contains([]string{".svg", ".png", ".pdf"}, filepath.Ext(c.Plot)) {
		return fmt.Errorf("--plot: the extension of %s is not one of .svg, .png, .pdf", c.Plot)
	}
	var rows []modelRow
	exceeded := 0
	for i, directors := range c.Directors {
		row, result, err := c.run(s, directors)
		if err != nil {
			return err
		}
		if row.LimitExceeded {
			exceeded++
		}
		rows = append(rows, row)
		if i == 0 && c.Plot != "" {
			if err := plotRun(result, c.Plot); err != nil {
				return fmt.Errorf("--plot: %w", err)
			}
		}
	}
	if err := c.write(s, rows); err != nil {
		return err
	}
	if exceeded > 0 {
		return &exitError{exitFailed, fmt.Sprintf("a limit was exceeded in %d of %d runs", exceeded, len(rows))}
	}
	return nil
}

// run simulates one run and writes its progress to standard error.
func (c modelCmd) run(s streams, directors int) (modelRow, fleetsim.Result, error) {
	started, lastProgress := time.Now(), time.Now()
	result, err := fleetsim.Run(fleetsim.Config{
		Seed:         c.Seed,
		Directors:    directors,
		Caches:       c.Caches,
		Length:       c.Length,
		Skew:         c.Skew,
		Load:         c.Load,
		Loss:         c.Loss,
		Double:       c.Double,
		Halve:        c.Halve,
		Cut:          c.Cut,
		NewAllocator: c.Regrant,
		EvenShares:   c.Even,
	}, func(done float64) {
		if time.Since(lastProgress) > modelProgressInterval {
			lastProgress = time.Now()
			s.stderrf("%d directors: %.0f %%\n", directors, 100*done)
		}
	})
	if err != nil {
		return modelRow{}, result, err
	}
	row := modelRow{
		Directors:         directors,
		Worst:             result.Worst,
		Fairness:          1,
		UnusedMS:          result.Unused.Milliseconds(),
		MessagesPerS:      float64(result.Messages) / c.Length.Seconds(),
		BytesPerS:         float64(result.Bytes) / c.Length.Seconds(),
		MembershipChanges: result.MembershipEvents,
		ElapsedMS:         time.Since(started).Milliseconds(),
		LimitExceeded:     result.Worst > 1+limitTolerance,
	}
	used, usable := 0.0, 0.0
	for _, point := range result.Points {
		used += point.Used
		usable += point.Usable
		if point.At > modelSettleTime {
			row.Fairness = min(row.Fairness, point.Fairness)
		}
	}
	row.Used = used / usable
	return row, result, nil
}

func (c modelCmd) write(s streams, rows []modelRow) error {
	if c.json() {
		return writeJSON(s.out, rows)
	}
	var cells [][]string
	for _, r := range rows {
		cells = append(cells, []string{
			fmt.Sprint(r.Directors),
			fmt.Sprintf("%.3f", r.Worst),
			fmt.Sprintf("%.2f", r.Used),
			fmt.Sprintf("%.2f", r.Fairness),
			fmt.Sprintf("%d ms", r.UnusedMS),
			fmt.Sprintf("%.0f", r.MessagesPerS),
			fmt.Sprintf("%.1f", r.BytesPerS/1000),
			fmt.Sprint(r.MembershipChanges),
		})
	}
	return writeTable(s, cells,
		"directors", "maximum total", "used of usable", "minimum fairness", "longest underuse", "messages/s", "kB/s", "membership events")
}
