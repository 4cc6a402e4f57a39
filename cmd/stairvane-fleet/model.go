package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/tools/fleetsim"
)

// modelCmd plays a fleet that divides limits by quotas, with virtual time.
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
	modelNoteInterval = 2 * time.Second // from one note of the progress to the next
	modelSettles      = 2 * time.Second // of the model's time, before fairness counts
	limitTolerance    = 1e-9            // over a whole limit, for rounding
)

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

// Run plays one run for each number of directors.
func (c modelCmd) Run(s streams) error {
	if c.Plot != "" && !slices.Contains([]string{".svg", ".png", ".pdf"}, filepath.Ext(c.Plot)) {
		return fmt.Errorf("--plot: %s ends in none of .svg, .png, .pdf", c.Plot)
	}
	var rows []modelRow
	passed := 0
	for i, directors := range c.Directors {
		row, result, err := c.run(s, directors)
		if err != nil {
			return err
		}
		if row.LimitWasNotKept {
			passed++
		}
		rows = append(rows, row)
		if i == 0 && c.Plot != "" {
			if err := drawModel(result, c.Plot); err != nil {
				return fmt.Errorf("--plot: %w", err)
			}
		}
	}
	if err := c.write(s, rows); err != nil {
		return err
	}
	if passed > 0 {
		return &exitError{exitFailed, fmt.Sprintf("a limit was passed in %d of %d runs", passed, len(rows))}
	}
	return nil
}

// run plays one run and notes its progress.
func (c modelCmd) run(s streams, directors int) (modelRow, fleetsim.Result, error) {
	started, noted := time.Now(), time.Now()
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
		if time.Since(noted) > modelNoteInterval {
			noted = time.Now()
			s.notef("%d directors: %.0f %%\n", directors, 100*done)
		}
	})
	if err != nil {
		return modelRow{}, result, err
	}
	row := modelRow{
		Directors:       directors,
		Worst:           result.Worst,
		Fairness:        1,
		UnusedMS:        result.Unused.Milliseconds(),
		MessagesPerS:    float64(result.Messages) / c.Length.Seconds(),
		BytesPerS:       float64(result.Bytes) / c.Length.Seconds(),
		RollEvents:      result.MembershipEvents,
		ModelTookMS:     time.Since(started).Milliseconds(),
		LimitWasNotKept: result.Worst > 1+limitTolerance,
	}
	used, usable := 0.0, 0.0
	for _, point := range result.Points {
		used += point.Used
		usable += point.Usable
		if point.At > modelSettles {
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
			fmt.Sprint(r.RollEvents),
		})
	}
	return writeTable(s, cells,
		"directors", "worst sum", "used of what could be", "least fairness", "longest unused", "messages/s", "kB/s", "roll events")
}
