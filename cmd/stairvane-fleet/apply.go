package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/operatorconfig"
)

const (
	pollInterval  = 100 * time.Millisecond // from one look at an apply, or at a control plane that starts, to the next
	maxUnanswered = 600                    // polls in a row without an answer after which following an apply fails
)

// applyCmd hands a plan in and follows it.
type applyCmd struct {
	controlPlaneFlags
	outputFlags
	Plan   string `arg:"" type:"path" help:"The plan file."`
	Detach bool   `help:"Return once the control plane has taken the plan."`
}

// Run hands the plan in and shows how it goes. The control plane carries it out, whether or not this command lives.
func (c applyCmd) Run(s streams) error {
	p, file, err := readPlan(c.Plan)
	if err != nil {
		return err
	}
	if err := checkDesiredUnchanged(p); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	accepted, err := client.Submit(file)
	if err != nil {
		return c.rejected(s, err)
	}
	switch {
	case !accepted.Already && !c.Detach:
		return follow(s, client, accepted.ID, c.outputFlags)
	case c.json():
		return writeJSON(s.out, accepted)
	case accepted.Already:
		s.printf("this plan was carried out by apply %d; nothing changes\n", accepted.ID)
	default:
		s.printf("apply %d is under way: %d steps\n", accepted.ID, accepted.Steps)
	}
	return nil
}

// rejected shows a rejection as JSON where that is wanted, and returns it.
func (c applyCmd) rejected(s streams, err error) error {
	var rejection *api.Error
	if errors.As(err, &rejection) && c.json() {
		if err := writeJSON(s.out, rejection); err != nil {
			return err
		}
	}
	return err
}

// checkDesiredUnchanged rejects a plan whose file of the desired state was edited since. A file that has moved is not looked for.
func checkDesiredUnchanged(p *plan.Plan) error {
	if p.DesiredFile == "" {
		return nil
	}
	if _, err := os.Stat(p.DesiredFile); err != nil {
		return nil //nolint:nilerr // the file has moved: the control plane judges the plan by what it read
	}
	desired, faults := operatorconfig.ReadFleet(p.DesiredFile, os.ReadFile)
	if len(faults) > 0 {
		return &exitError{exitStale, fmt.Sprintf("the plan is stale: %s has been edited since it was made, and has faults: %s",
			p.DesiredFile, faults[0].Error())}
	}
	if fleet.Sum(desired) != p.DesiredSum {
		return &exitError{exitStale, fmt.Sprintf("the plan is stale: %s has been edited since it was made; plan again", p.DesiredFile)}
	}
	return nil
}

// follow shows the steps of an apply until it stops. A control plane that does not answer for a while is waited for.
func follow(s streams, client *api.Client, id int64, form outputFlags) error {
	progress := newProgress(s, form)
	defer progress.close()
	unanswered := 0
	for ; ; time.Sleep(pollInterval) {
		a, err := client.Apply(id)
		var rejection *api.Error
		switch {
		case errors.As(err, &rejection):
			return rejection
		case err != nil:
			if unanswered++; unanswered == 1 {
				s.notef("the board does not answer (%v); it goes on with apply %d when it is back\n", err, id)
			}
			if unanswered > maxUnanswered {
				return err
			}
			continue
		}
		unanswered = 0
		if err := progress.show(a); err != nil {
			return err
		}
		if a.Status != apply.Running {
			progress.close()
			return reportEnd(s, a, form)
		}
	}
}

// reportEnd shows how an apply ended; one that stopped before its end is an error.
func reportEnd(s streams, a api.Apply, form outputFlags) error {
	if form.json() {
		if err := writeJSON(s.out, a); err != nil {
			return err
		}
	}
	if a.Status == apply.Done {
		if !form.json() {
			s.printf("apply %d is done: %d steps\n", a.ID, a.Record.Steps)
		}
		return nil
	}
	message := fmt.Sprintf("apply %d is %s after %d of %d steps: %s", a.ID, a.Status, a.StepsDone, a.Record.Steps, a.Reason)
	if a.RevertedBy != 0 {
		message += fmt.Sprintf("; apply %d leads back", a.RevertedBy)
	}
	return &exitError{exitStopped, message}
}
