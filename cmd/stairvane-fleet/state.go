package main

import (
	"strconv"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
)

// stateCmd shows the fleet's state.
type stateCmd struct {
	controlPlaneFlags
	outputFlags
}

// Run shows the declared and the observed state of the fleet.
func (c stateCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.State()
	if err != nil {
		return err
	}
	if c.json() {
		return writeJSON(s.out, answer)
	}
	state, err := answer.ObservedState()
	if err != nil {
		return err
	}
	writeSummary(s, answer, state)
	for l := range state.Locations() {
		s.printf("location %s: floor %.4g, load %.4g, sources %v\n", l.Name, l.Floor, l.Load, l.Sources)
		for _, slack := range state.LocationSlacks(l.Name) {
			if slack.Slack < 0 {
				s.printf("  BROKEN %v\n", slack)
			}
		}
	}
	for host := range state.Hosts() {
		s.printf("%-6s %-16s %-11s %-21s %s  share %.4g/%.4g  %s\n",
			host.Role, host.Name, host.State, host.Address, host.Site, host.Serving, host.Share, observationText(state, host))
	}
	return nil
}

func writeSummary(s streams, answer api.State, state fleet.ObservedState) {
	observer := "off"
	if answer.Observer {
		observer = "on"
	}
	s.printf("revision %d, %d hosts, %d watchers, acknowledged up to event %d, observer %s\n",
		state.Revision, state.Len(), answer.Watchers, answer.AcknowledgedUpTo, observer)
	if r := answer.RunningApply; r != nil {
		s.println("under way:", recordLine(*r))
	}
}

// sightText returns the observed state of a host, followed by the remaining time of its warm-up, if any.
func observationText(state fleet.ObservedState, host *fleet.Host) string {
	observation := string(state.Observed[host.Name].Reachability)
	if observation == "" {
		observation = string(fleet.Unknown)
	}
	if until := state.WarmAtMS(host); until > state.NowMS {
		observation += ", cold for " + strconv.FormatInt((until-state.NowMS+999)/1000, 10) + " s"
	}
	return observation
}
