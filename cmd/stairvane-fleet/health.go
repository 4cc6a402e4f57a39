package main

import (
	"fmt"
	"slices"
	"strings"

	"stairvane.org/stairvane/internal/health"
)

// healthCmd shows the aggregated health of caches.
type healthCmd struct {
	controlPlaneFlags
	outputFlags
	Cache string `arg:"" optional:"" name:"box" help:"A cache, as NAME or, of one that was started anew, NAME@BIRTH; then each director's report is shown."`
}

// Run shows the aggregated health of all caches, or the directors' reports on one cache.
func (c healthCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	caches, err := client.Health()
	if err != nil {
		return err
	}
	if c.Cache != "" {
		caches = slices.DeleteFunc(caches, func(status health.CacheStatus) bool {
			name, _, _ := strings.Cut(status.Cache, "@")
			return c.Cache != status.Cache && c.Cache != name
		})
		if len(caches) == 0 {
			return &exitError{exitFailed, "no health reports on " + c.Cache + ": no director with (signals) has sent requests there lately"}
		}
	}
	switch {
	case c.json():
		return writeJSON(s.out, caches)
	case len(caches) == 0:
		s.println("no health reports on any cache: no director with (signals) has sent requests lately")
		return nil
	case c.Cache == "":
		return showAggregates(s, caches)
	}
	return showReports(s, caches)
}

func showAggregates(s streams, caches []health.CacheStatus) error {
	var rows [][]string
	for _, status := range caches {
		share, latency, age := "too few reports", "", ""
		if status.Enough {
			share, latency = percent(status.FailureShare), fmt.Sprintf("%.0f ms", status.LagMS)
			if status.FailureShare > 0 {
				age = fmt.Sprintf("%d ms ago", status.AgeMS)
			}
		}
		rows = append(rows, []string{status.Cache, share, latency, fmt.Sprint(status.Machines), fmt.Sprint(len(status.By)), age})
	}
	return writeTable(s, rows, "box", "failure share", "excess latency", "reporting machines", "directors", "newest fault")
}

func showReports(s streams, caches []health.CacheStatus) error {
	var rows [][]string
	for _, status := range caches {
		for _, report := range status.By {
			rows = append(rows, []string{
				status.Cache, report.Holder, report.Machine, fmt.Sprintf("%.0f", report.Attempts), fmt.Sprintf("%.0f", report.Failures),
				percent(report.FailureShare), fmt.Sprintf("%.0f ms", report.LagMS), fmt.Sprintf("%d ms ago", report.AgeMS),
			})
		}
	}
	return writeTable(s, rows, "box", "director", "machine", "attempts", "failures", "recent failure share", "excess latency", "heard")
}

func percent(share float64) string { return fmt.Sprintf("%.0f %%", 100*share) }
