package main

import (
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/fleet/apply"
)

// appliesCmd shows and controls applies.
type appliesCmd struct {
	List   appliesListCmd `cmd:"" default:"1" help:"List all applies."`
	Show   appliesShowCmd `cmd:"" help:"Show an apply and its steps."`
	Pause  pauseCmd       `cmd:"" help:"Begin no more steps. What was begun goes on."`
	Resume resumeCmd      `cmd:"" help:"Go on with a paused apply."`
	Cancel cancelCmd      `cmd:"" help:"End an apply as it stands. revert plans back."`
}

// appliesListCmd lists applies.
type appliesListCmd struct {
	controlPlaneFlags
	outputFlags
}

// Run lists all applies.
func (c appliesListCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	records, err := client.Applies()
	if err != nil {
		return err
	}
	if c.json() {
		return writeJSON(s.out, records)
	}
	for _, r := range records {
		s.println(recordLine(r))
	}
	return nil
}

func recordLine(r apply.Record) string {
	line := fmt.Sprintf("%4d  %-9s  %d/%d steps  by %s  since %s  plan %.16s", r.ID, r.Status, r.StepsDone, r.Steps, r.Who,
		time.UnixMilli(r.StartedMS).UTC().Format(time.RFC3339), r.PlanSum)
	if r.RevertOf != 0 {
		line += fmt.Sprintf("  reverts %d", r.RevertOf)
	}
	if r.RevertedBy != 0 {
		line += fmt.Sprintf("  reverted by %d", r.RevertedBy)
	}
	if r.Reason != "" {
		line += "  " + r.Reason
	}
	return line
}

// appliesShowCmd shows one apply and its steps.
type appliesShowCmd struct {
	controlPlaneFlags
	outputFlags
	ID     int64 `arg:"" help:"The apply."`
	Follow bool  `short:"f" help:"Show its steps until it stops."`
}

// Run shows the apply, or follows it until it stops.
func (c appliesShowCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.Follow {
		return follow(s, client, c.ID, c.outputFlags)
	}
	a, err := client.Apply(c.ID)
	if err != nil {
		return err
	}
	if c.json() {
		return writeJSON(s.out, a)
	}
	s.println(recordLine(a.Record))
	for _, step := range a.Steps {
		line := fmt.Sprintf("%6d  %-7s  %s", step.ID, step.Phase, step.What)
		if step.EventNo != 0 {
			line += fmt.Sprintf("  event %d", step.EventNo)
		}
		if step.Phase == apply.Waiting {
			line += fmt.Sprintf("  until %s", step.Wait)
		}
		s.println(line)
	}
	return nil
}

// orderCmd implements the commands that send an order to an apply.
type orderCmd struct {
	controlPlaneFlags
	outputFlags
	ID int64 `arg:"" help:"The apply."`
}

// sendOrder sends an order to the control plane and shows the state of the apply after it.
func (c orderCmd) sendOrder(s streams, order apply.Order) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	record, err := client.Order(c.ID, order)
	if err != nil {
		return err
	}
	if c.json() {
		return writeJSON(s.out, record)
	}
	s.println(recordLine(record))
	return nil
}

type pauseCmd struct{ orderCmd }

// Run pauses an apply.
func (c pauseCmd) Run(s streams) error { return c.sendOrder(s, apply.OrderPause) }

type resumeCmd struct{ orderCmd }

// Run resumes an apply.
func (c resumeCmd) Run(s streams) error { return c.sendOrder(s, apply.OrderResume) }

type cancelCmd struct{ orderCmd }

// Run cancels an apply.
func (c cancelCmd) Run(s streams) error { return c.sendOrder(s, apply.OrderCancel) }
