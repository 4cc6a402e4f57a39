package main

import (
	"fmt"
	"strconv"

	"stairvane.org/stairvane/internal/fleet"
)

type worldCmd struct {
	boardAt
	output
}

func (c worldCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	world, err := client.State()
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return writeJSON(s.out, world)
	}
	w, err := world.ObservedState()
	if err != nil {
		return err
	}
	eyes := "off"
	if world.Observer {
		eyes = "on"
	}
	fmt.Fprintf(s.out, "revision %d, %d boxes, %d followers told up to event %d, observer %s\n", w.Revision, w.Len(), world.Followers, world.AcknowledgedUpTo, eyes)
	if h := world.LeaseHolder; h != nil {
		fmt.Fprintln(s.out, "under way:", recordLine(*h))
	}
	for l := range w.Locations() {
		fmt.Fprintf(s.out, "location %s: floor %.4g, load %.4g, sources %v\n", l.Name, l.Floor, l.Load, l.Sources)
		for _, x := range w.LocationSlacks(l.Name) {
			if x.Slack < 0 {
				fmt.Fprintf(s.out, "  BROKEN %v\n", x)
			}
		}
	}
	for m := range w.Hosts() {
		seen := w.Observed[m.Name]
		sight := string(seen.Sight)
		if sight == "" {
			sight = string(fleet.Unknown)
		}
		if until := w.ColdUntil(m); until > w.NowMS {
			sight += ", cold for " + strconv.FormatInt((until-w.NowMS+999)/1000, 10) + " s"
		}
		fmt.Fprintf(s.out, "%-6s %-16s %-11s %-21s %s  share %.4g/%.4g  %s\n", m.Role, m.Name, m.State, m.Address, m.Site, m.Serving, m.Share, sight)
	}
	return nil
}

type purgeCmd struct {
	boardAt
	output
	Object string `xor:"what" required:"" help:"The object, 16 hex digits."`
	Group  *int   `xor:"what" required:"" help:"The group, 0 to 255."`
}

func (c purgeCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	p, err := client.Purge(fleet.Purge{Object: c.Object, Group: c.Group})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return writeJSON(s.out, p)
	}
	_, err = fmt.Fprintf(s.out, "purged by event %d\n", p.Revision)
	return err
}
