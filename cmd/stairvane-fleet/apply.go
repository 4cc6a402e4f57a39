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
	pollInterval  = 100 * time.Millisecond // between requests for the state of an apply, of a group or of a control plane that is starting
	maxUnanswered = 600                    // consecutive polls without an answer after which the command stops following an apply
)

// applyCmd submits a plan and follows the apply.
type applyCmd struct {
	controlPlaneFlags
	outputFlags
	Plan   string `arg:"" type:"path" help:"The plan file."`
	Detach bool   `help:"Return once the control plane has taken the plan."`
}

// Run submits the plan and shows the progress of the apply. The control plane executes the plan, so that the apply continues even if this
// command is stopped.
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
		return c.reportRejection(s, err)
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

// reportRejection returns the error of a submission. If JSON output is selected, it first writes a rejection by the control plane as JSON.
func (c applyCmd) reportRejection(s streams, err error) error {
	var rejection *api.Error
	if errors.As(err, &rejection) && c.json() {
		if err := writeJSON(s.out, rejection); err != nil {
			return err
		}
	}
	return err
}

// checkDesiredUnchanged returns an error if the file of the desired state was edited after the plan was made. If the file is no longer at
// its path, nothing is checked.
func checkDesiredUnchanged(p *plan.Plan) error {
	if p.DesiredFile == "" {
		return nil
	}
	if _, err := os.Stat(p.DesiredFile); err != nil {
		return nil //nolint:nilerr // the file was moved or removed; the control plane validates the plan itself
	}
	desired, faults := operatorconfig.ReadFleet(p.DesiredFile, os.ReadFile)
	if len(faults) > 0 {
		return &exitError{exitStale, fmt.Sprintf("the plan is stale: %s has been edited since it was made, and has errors: %s",
			p.DesiredFile, faults[0].Error())}
	}
	if fleet.Sum(desired) != p.DesiredSum {
		return &exitError{exitStale, fmt.Sprintf("the plan is stale: %s has been edited since it was made; plan again", p.DesiredFile)}
	}
	return nil
}

// follow shows the progress of an apply until it stops. It tolerates a control plane that does not answer for up to maxUnanswered polls.
func follow(s streams, client *api.Client, id int64, output outputFlags) error {
	progress := newProgress(s, output)
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
				s.stderrf("the control plane does not answer (%v); it continues apply %d once it is available again\n", err, id)
			}
			if unanswered > maxUnanswered {
				return err
			}
			continue
		}
		unanswered = 0
		if err := progress.update(a); err != nil {
			return err
		}
		if a.Status != apply.Running {
			progress.close()
			return reportEnd(s, a, output)
		}
	}
}

// reportEnd shows the result of an apply. It returns an error if the apply stopped before it was complete.
func reportEnd(s streams, a api.Apply, output outputFlags) error {
	if output.json() {
		if err := writeJSON(s.out, a); err != nil {
			return err
		}
	}
	if a.Status == apply.Done {
		if !output.json() {
			s.printf("apply %d is done: %d steps\n", a.ID, a.Record.Steps)
		}
		return nil
	}
	message := fmt.Sprintf("apply %d is %s after %d of %d steps: %s", a.ID, a.Status, a.StepsDone, a.Record.Steps, a.Reason)
	if a.RevertedBy != 0 {
		message += fmt.Sprintf("; apply %d reverts it", a.RevertedBy)
	}
	return &exitError{exitStopped, message}
}
