package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/renameio/v2"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/operatorconfig"
)

// planCmd plans the steps from the observed to a desired state.
type planCmd struct {
	controlPlaneFlags
	outputFlags
	File string        `arg:"" type:"path" help:"The file of the desired state."`
	Out  string        `type:"path" help:"Write the plan to this file, for apply."`
	Wait time.Duration `help:"Wait so long for a control plane that is just starting."`
}

// Run makes the plan in this process, from the state that the control plane reports. The control plane validates the plan when it is
// applied.
func (c planCmd) Run(s streams) error {
	desired, faults := operatorconfig.ReadFleet(c.File, os.ReadFile)
	if len(faults) > 0 {
		return faults
	}
	state, err := c.observedState()
	for deadline := time.Now().Add(c.Wait); err != nil && time.Now().Before(deadline); state, err = c.observedState() {
		time.Sleep(pollInterval)
	}
	if err != nil {
		return err
	}
	path, err := filepath.Abs(c.File)
	if err != nil {
		return err
	}
	p, err := plan.Make(state, desired, path)
	var impossible *plan.ImpossibleError
	if errors.As(err, &impossible) && c.json() {
		if err := writeJSON(s.out, impossible); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	return writePlan(s, p, c.Out, c.outputFlags)
}

func (f controlPlaneFlags) observedState() (fleet.ObservedState, error) {
	client, err := f.client()
	if err != nil {
		return fleet.ObservedState{}, err
	}
	state, err := client.State()
	if err != nil {
		return fleet.ObservedState{}, err
	}
	return state.ObservedState()
}

// writePlan shows a plan and, unless path is empty, writes it to a file. It returns an error with status exitChanges if the plan has steps.
func writePlan(s streams, p *plan.Plan, path string, output outputFlags) error {
	file, err := plan.Encode(p)
	if err != nil {
		return err
	}
	if err := showPlan(s, p, output); err != nil {
		return err
	}
	if path != "" {
		if err := renameio.WriteFile(path, file, 0o644); err != nil {
			return err
		}
	}
	if len(p.Steps) > 0 {
		return &exitError{status: exitChanges}
	}
	return nil
}

// showCmd shows a plan file.
type showCmd struct {
	outputFlags
	Plan string `arg:"" type:"path" help:"The plan file."`
}

// Run shows the plan.
func (c showCmd) Run(s streams) error {
	p, _, err := readPlan(c.Plan)
	if err != nil {
		return err
	}
	return showPlan(s, p, c.outputFlags)
}

// readPlan reads a plan file, and returns the plan and the contents of the file. Errors contain the path.
func readPlan(path string) (*plan.Plan, []byte, error) {
	file, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	p, err := plan.Decode(file)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, file, nil
}

// summaryKinds lists the kinds of steps in the order in which the summary of a plan shows them.
var summaryKinds = []plan.Kind{
	plan.Add, plan.Raise, plan.Lower, plan.Drain, plan.Remove, plan.Locate, plan.Widen, plan.Narrow, plan.Forget, plan.SetRules,
}

// shortSumLength is the number of digits of a plan's checksum that are shown.
const shortSumLength = 16

func showPlan(s streams, p *plan.Plan, output outputFlags) error {
	if output.json() {
		return writeJSON(s.out, p)
	}
	if len(p.Steps) == 0 {
		s.printf("nothing to change at revision %d\n", p.Revision)
		return nil
	}
	sum, err := plan.Sum(p)
	if err != nil {
		return err
	}
	s.printf("plan %s\nat revision %d, desired state %s, %d objects read\n", sum[:shortSumLength], p.Revision, p.DesiredSum, len(p.Reads))
	if p.RevertOf != 0 {
		s.printf("reverts to the state before apply %d\n", p.RevertOf)
	}
	counts := map[plan.Kind]int{}
	group, wave := -1, -1
	for _, step := range p.Steps {
		if step.Group != group || step.Wave != wave {
			group, wave = step.Group, step.Wave
			s.printf("group %d, wave %d\n", group, wave)
		}
		s.printf("%6d  %s  (until %s)\n", step.ID, step, step.Wait)
		counts[step.Kind]++
	}
	var sums []string
	for _, kind := range summaryKinds {
		if counts[kind] > 0 {
			sums = append(sums, fmt.Sprintf("%d %s", counts[kind], kind))
		}
	}
	s.printf("%d steps: %s; on a fault: %s\n", len(p.Steps), strings.Join(sums, ", "), p.Rules.OnFault)
	return nil
}

// revertCmd plans the steps back to the state before an apply.
type revertCmd struct {
	controlPlaneFlags
	outputFlags
	ID  int64  `arg:"" help:"The apply to undo."`
	Out string `type:"path" help:"Write the plan to this file, for apply."`
}

// Run makes a new plan. It changes nothing until the plan is applied.
func (c revertCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	before, err := client.Before(c.ID)
	if err != nil {
		return err
	}
	state, err := c.observedState()
	if err != nil {
		return err
	}
	p, err := plan.Make(state, before, "")
	if err != nil {
		return err
	}
	p.RevertOf = c.ID
	return writePlan(s, p, c.Out, c.outputFlags)
}
