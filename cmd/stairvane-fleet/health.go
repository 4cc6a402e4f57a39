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

// Run shows all caches, or the reports on one.
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
			return &exitError{exitFailed, "nothing is told of " + c.Cache + ": no director with (signals) has sent there lately"}
		}
	}
	switch {
	case c.json():
		return writeJSON(s.out, caches)
	case len(caches) == 0:
		s.println("nothing is told of any box: no director with (signals) has sent anything lately")
		return nil
	case c.Cache == "":
		return showAggregates(s, caches)
	}
	return showReports(s, caches)
}

func showAggregates(s streams, caches []health.CacheStatus) error {
	var rows [][]string
	for _, status := range caches {
		share, latency, age := "too few tell", "", ""
		if status.Enough {
			share, latency = percent(status.FailureShare), fmt.Sprintf("%.0f ms", status.LagMS)
			if status.FailureShare > 0 {
				age = fmt.Sprintf("%d ms ago", status.AgeMS)
			}
		}
		rows = append(rows, []string{status.Cache, share, latency, fmt.Sprint(status.Machines), fmt.Sprint(len(status.By)), age})
	}
	return writeTable(s, rows, "box", "go wrong", "answers late by", "by machines", "directors", "newest fault")
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
	return writeTable(s, rows, "box", "director", "machine", "attempts", "went wrong", "of the last few", "answers late by", "heard")
}

func percent(share float64) string { return fmt.Sprintf("%.0f %%", 100*share) }
