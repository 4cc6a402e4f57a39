package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/olekukonko/tablewriter"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/health"
)

type rollCmd struct {
	boardAt
	output
}

func (c rollCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	r, err := client.Members()
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return writeJSON(s.out, r)
	}
	t := tablewriter.NewWriter(s.out)
	t.Header("director", "incarnation", "location", "machine", "site", "version", "heard", "by relay", "claims")
	for _, d := range r.Directors {
		heard := fmt.Sprintf("%d ms ago", d.LastHeardMS)
		if d.Suspected {
			heard += ", suspected"
		}
		claims := "takes none"
		if d.Claims != "" {
			claims = fmt.Sprintf("decides on %d of 256", d.Shards)
		}
		served, _, _ := strings.Cut(d.Relay, "/")
		if err := t.Append(d.Name, d.Incarnation[:min(8, len(d.Incarnation))], d.Location, d.Machine, d.Site, d.Version, heard, served, claims); err != nil {
			return err
		}
	}
	if err := t.Render(); err != nil {
		return err
	}
	if err := writeRelays(s, r.Relays); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%d directors at event %d; %d parts of the claims are moving\n", len(r.Directors), r.Revision, r.Moving)
	return err
}

// writeRelays lists the relays, if there are any.
func writeRelays(s streams, relays []api.RelayStatus) error {
	if len(relays) == 0 {
		return nil
	}
	t := tablewriter.NewWriter(s.out)
	t.Header("relay", "incarnation", "region", "machine", "site", "directors", "acknowledged", "stale", "renewed")
	for _, r := range relays {
		directors := fmt.Sprint(r.Directors)
		if !r.Complete {
			directors += ", incomplete"
		}
		renewed := fmt.Sprintf("%d ms ago", r.RenewedMS)
		if err := t.Append(r.Name, r.Incarnation[:min(8, len(r.Incarnation))], r.Region, r.Machine, r.Site, directors, r.Acknowledged, r.StaleCount, renewed); err != nil {
			return err
		}
	}
	return t.Render()
}

type turnsCmd struct {
	boardAt
	output
}

func (c turnsCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	held, err := client.Quotas()
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return writeJSON(s.out, held)
	}
	if len(held) == 0 {
		_, err = fmt.Fprintln(s.out, "nothing is shared by turns at the moment")
		return err
	}
	t := tablewriter.NewWriter(s.out)
	t.Header("limit", "kind", "director", "part", "wants", "for")
	for _, h := range held {
		if err := t.Append(h.Limit, string(h.Kind), h.Holder, fmt.Sprintf("%.3f", h.Part), fmt.Sprintf("%.3f", h.Demand), fmt.Sprintf("%d ms", h.Left.Milliseconds())); err != nil {
			return err
		}
	}
	return t.Render()
}

type signalsCmd struct {
	boardAt
	output
	Box string `arg:"" optional:"" help:"A box, as NAME or, of one that was started anew, NAME@BIRTH; then each director's evidence is shown."`
}

func (c signalsCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	all, err := client.Health()
	if err != nil {
		return err
	}
	if c.Box != "" {
		all = slices.DeleteFunc(all, func(b health.CacheStatus) bool {
			name, _, _ := strings.Cut(b.Cache, "@")
			return c.Box != b.Cache && c.Box != name
		})
		if len(all) == 0 {
			return &exit{exitFailed, "nothing is told of " + c.Box + ": no director with (signals) has sent there lately"}
		}
	}
	if c.Output == "json" {
		return writeJSON(s.out, all)
	}
	if len(all) == 0 {
		_, err = fmt.Fprintln(s.out, "nothing is told of any box: no director with (signals) has sent anything lately")
		return err
	}
	t := tablewriter.NewWriter(s.out)
	if c.Box == "" {
		t.Header("box", "go wrong", "answers late by", "by machines", "directors", "newest fault")
		for _, b := range all {
			share, lag, age := "too few tell", "", ""
			if b.Enough {
				share, lag = fmt.Sprintf("%.0f %%", 100*b.FailureShare), fmt.Sprintf("%.0f ms", b.LagMS)
				if b.FailureShare > 0 {
					age = fmt.Sprintf("%d ms ago", b.AgeMS)
				}
			}
			if err := t.Append(b.Cache, share, lag, fmt.Sprint(b.Machines), fmt.Sprint(len(b.By)), age); err != nil {
				return err
			}
		}
		return t.Render()
	}
	t.Header("box", "director", "machine", "attempts", "went wrong", "of the last few", "answers late by", "heard")
	for _, b := range all {
		for _, d := range b.By {
			if err := t.Append(b.Cache, d.Holder, d.Machine, fmt.Sprintf("%.0f", d.Tried), fmt.Sprintf("%.0f", d.Bad), fmt.Sprintf("%.0f %%", 100*d.Share), fmt.Sprintf("%.0f ms", d.LagMS), fmt.Sprintf("%d ms ago", d.AgeMS)); err != nil {
				return err
			}
		}
	}
	return t.Render()
}
