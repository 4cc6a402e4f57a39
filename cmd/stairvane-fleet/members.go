package main

import (
	"fmt"
	"strings"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
)

// shortIncarnationLength is the number of characters of an incarnation that are shown.
const shortIncarnationLength = 8

// membersCmd lists the directors and relays.
type membersCmd struct {
	controlPlaneFlags
	outputFlags
}

// Run shows the directors and the relays.
func (c membersCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	members, err := client.Members()
	if err != nil {
		return err
	}
	if c.json() {
		return writeJSON(s.out, members)
	}
	if err := showDirectors(s, members.Directors); err != nil {
		return err
	}
	if err := showRelays(s, members.Relays); err != nil {
		return err
	}
	s.printf("%d directors at event %d; %d shards of the claims are moving\n", len(members.Directors), members.Revision, members.Moving)
	return nil
}

func showDirectors(s streams, directors []api.MemberStatus) error {
	var rows [][]string
	for _, d := range directors {
		lastHeard := fmt.Sprintf("%d ms ago", d.LastHeardMS)
		if d.Suspected {
			lastHeard += ", suspected"
		}
		claims := "none"
		if d.Claims != "" {
			claims = fmt.Sprintf("decides on %d of %d", d.Shards, fleet.ShardCount)
		}
		relay, _, _ := strings.Cut(d.Relay, "/")
		rows = append(rows, []string{d.Name, shorten(d.Incarnation), d.Location, d.Machine, d.Site, d.Version, lastHeard, relay, claims})
	}
	return writeTable(s, rows, "director", "incarnation", "location", "machine", "site", "version", "heard", "by relay", "claims")
}

// showRelays writes a table of the relays, if there are any.
func showRelays(s streams, relays []api.RelayStatus) error {
	if len(relays) == 0 {
		return nil
	}
	var rows [][]string
	for _, r := range relays {
		directors := fmt.Sprint(r.Directors)
		if !r.Complete {
			directors += ", incomplete"
		}
		rows = append(rows, []string{
			r.Name, shorten(r.Incarnation), r.Region, r.Machine, r.Site, directors, fmt.Sprint(r.Acknowledged), fmt.Sprint(r.StaleCount),
			fmt.Sprintf("%d ms ago", r.RenewedMS),
		})
	}
	return writeTable(s, rows, "relay", "incarnation", "region", "machine", "site", "directors", "acknowledged", "stale", "renewed")
}

func shorten(incarnation string) string {
	return incarnation[:min(shortIncarnationLength, len(incarnation))]
}
