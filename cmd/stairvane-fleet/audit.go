package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/api"
)

// auditCmd shows the revisions, configurations and program versions of the directors.
type auditCmd struct {
	Versions auditVersionsCmd `cmd:"" help:"Who has applied which revision, by which configuration and program. Ends with 1 if somebody is behind, or differs from most."`
	Event    auditEventCmd    `cmd:"" help:"When each director applied an event. Ends with 1 if some have not, or if it is not recorded."`
}

// auditEventCmd shows which directors have applied an event, and when.
type auditEventCmd struct {
	controlPlaneFlags
	outputFlags
	Revision int64 `arg:"" name:"no" help:"The event's number."`
}

// Run shows when each director applied the event.
func (c auditEventCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	event, err := client.Adoption(c.Revision)
	if err != nil {
		return err
	}
	if c.json() {
		err = writeJSON(s.out, event)
	} else {
		err = showAdoption(s, event)
	}
	if n := len(event.Missing) + len(event.Lost); err == nil && n > 0 {
		err = &exitError{exitFailed, fmt.Sprintf("%d directors have not applied event %d", n, event.No)}
	}
	return err
}

func showAdoption(s streams, event adoption.Event) error {
	var rows [][]string
	for _, d := range event.Applied {
		rows = append(rows, []string{d.Director, fmt.Sprintf("%d ms", d.AfterMS)})
	}
	for _, director := range event.Missing {
		rows = append(rows, []string{director, "not yet"})
	}
	for _, director := range event.Lost {
		rows = append(rows, []string{director, "not heard of since"})
	}
	if err := writeTable(s, rows, "director", "applied after"); err != nil {
		return err
	}
	s.printf("event %d, committed %d ms ago: applied by %d (p50 %d ms, p99 %d ms, last %d ms), ",
		event.No, event.AgeMS, len(event.Applied), event.P50MS, event.P99MS, event.LastMS)
	s.printf("not by %d, %d lost; %d joined later and had it from the start\n", len(event.Missing), len(event.Lost), event.HadInitially)
	return nil
}

// auditVersionsCmd compares the directors with each other.
type auditVersionsCmd struct {
	controlPlaneFlags
	outputFlags
	Within time.Duration `default:"1s" help:"A director that has applied only an older revision for longer than this is behind."`
}

// deviation is a director that is behind, lost or different from most, with the reason.
type deviation struct {
	Director string `json:"director"`
	Reason   string `json:"why"`
}

// versionsReport is the JSON output of the command.
type versionsReport struct {
	api.Members
	Deviations []deviation `json:"odd"`
}

// Run shows the revision, configuration and program of each director, and the deviations.
func (c auditVersionsCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	members, err := client.Members()
	if err != nil {
		return err
	}
	found := deviations(members, c.Within)
	if c.json() {
		err = writeJSON(s.out, versionsReport{members, found})
	} else {
		err = showVersions(s, members, found)
	}
	if err == nil && len(found) > 0 {
		err = &exitError{exitFailed, fmt.Sprintf("found %d deviations among %d directors", len(found), len(members.Directors))}
	}
	return err
}

func showVersions(s streams, members api.Members, found []deviation) error {
	var rows [][]string
	for _, d := range members.Directors {
		behind := "no"
		if d.AppliedRevision < members.Revision {
			behind = fmt.Sprintf("by %d events for %d ms", members.Revision-d.AppliedRevision, d.BehindMS)
		}
		rows = append(rows, []string{
			d.Name, d.Location, fmt.Sprint(d.AppliedRevision), behind, d.Config, d.Version, fmt.Sprintf("%d ms ago", d.LastHeardMS),
		})
	}
	if err := writeTable(s, rows, "director", "location", "at event", "behind", "configuration", "program", "heard"); err != nil {
		return err
	}
	s.printf("%d directors, the event log is at event %d\n", len(members.Directors), members.Revision)
	for _, d := range found {
		s.printf("%s: %s\n", d.Director, d.Reason)
	}
	return nil
}

// deviations returns the directors that have been behind for longer than within, those that are ahead of the event log, those whose
// configuration or program differs from that of most, and those that are lost, sorted by name.
func deviations(members api.Members, within time.Duration) (found []deviation) {
	config := mostCommon(members.Directors, func(d api.MemberStatus) string { return d.Config })
	program := mostCommon(members.Directors, func(d api.MemberStatus) string { return d.Version })
	for _, d := range members.Directors {
		add := func(format string, args ...any) {
			found = append(found, deviation{Director: d.Name, Reason: fmt.Sprintf(format, args...)})
		}
		if d.AppliedRevision < members.Revision && time.Duration(d.BehindMS)*time.Millisecond > within {
			add("is still at event %d, behind for %d ms; the event log is at %d", d.AppliedRevision, d.BehindMS, members.Revision)
		}
		if d.AppliedRevision > members.Revision {
			add("is at event %d, but the event log ends at %d: it watches, or watched, another control plane",
				d.AppliedRevision, members.Revision)
		}
		if d.Config != config {
			add("its configuration is %s, most have %s: send it SIGHUP or restart it", d.Config, config)
		}
		if d.Version != program {
			add("its program is %s, most run %s", d.Version, program)
		}
	}
	for _, lost := range members.Lost {
		found = append(found, deviation{
			Director: lost.Name,
			Reason:   fmt.Sprintf("lost for %d ms; it was at event %d", lost.LostMS, lost.AppliedRevision),
		})
	}
	slices.SortFunc(found, func(a, b deviation) int { return cmp.Compare(a.Director+a.Reason, b.Director+b.Reason) })
	return found
}

// mostCommon returns the most frequent value among the directors; if there are several, the first in lexical order.
func mostCommon(directors []api.MemberStatus, value func(api.MemberStatus) string) string {
	counts := map[string]int{}
	for _, d := range directors {
		counts[value(d)]++
	}
	best := ""
	for v, n := range counts {
		if n > counts[best] || n == counts[best] && v < best {
			best = v
		}
	}
	return best
}
