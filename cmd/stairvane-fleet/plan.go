package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/renameio/v2"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/operatorconfig"
)

type planCmd struct {
	boardAt
	output
	File string        `arg:"" type:"path" help:"The file of the wished fleet."`
	Out  string        `type:"path" help:"Write the plan to this file, for apply."`
	Wait time.Duration `help:"Wait so long for a board that is just starting."`
}

// Run plans here, against the world that the board tells; the board judges the plan again when it is applied.
func (c planCmd) Run(s streams) error {
	wish, faults := operatorconfig.ReadFleet(c.File, os.ReadFile)
	if len(faults) > 0 {
		return faults
	}
	w, err := c.world()
	for end := time.Now().Add(c.Wait); err != nil && time.Now().Before(end); w, err = c.world() {
		time.Sleep(followEvery)
	}
	if err != nil {
		return err
	}
	path, err := filepath.Abs(c.File)
	if err != nil {
		return err
	}
	p, err := plan.Make(w, wish, path)
	var impossible *plan.Impossible
	if errors.As(err, &impossible) && c.Output == "json" {
		if err := writeJSON(s.out, impossible); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	return putPlan(s.out, p, c.Out, c.Output)
}

func (b boardAt) world() (fleet.ObservedState, error) {
	client, err := b.client()
	if err != nil {
		return fleet.ObservedState{}, err
	}
	world, err := client.State()
	if err != nil {
		return fleet.ObservedState{}, err
	}
	return world.ObservedState()
}

// putPlan shows a plan and writes its file. Its status tells whether there is anything to do.
func putPlan(out io.Writer, p *plan.Plan, path, form string) error {
	file, err := plan.Encode(p)
	if err != nil {
		return err
	}
	if err := showPlan(out, p, form); err != nil {
		return err
	}
	if path != "" {
		if err := renameio.WriteFile(path, file, 0o644); err != nil {
			return err
		}
	}
	if len(p.Steps) > 0 {
		return &exit{status: exitChanges}
	}
	return nil
}

type showCmd struct {
	output
	Plan string `arg:"" type:"path" help:"The plan file."`
}

func (c showCmd) Run(s streams) error {
	p, _, err := readPlan(c.Plan)
	if err != nil {
		return err
	}
	return showPlan(s.out, p, c.Output)
}

func showPlan(out io.Writer, p *plan.Plan, form string) error {
	if form == "json" {
		return writeJSON(out, p)
	}
	if len(p.Steps) == 0 {
		_, err := fmt.Fprintf(out, "nothing to change at revision %d\n", p.Revision)
		return err
	}
	sum, err := plan.Sum(p)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "plan %s\nat revision %d, wish %s, %d things read\n", sum[:16], p.Revision, p.DesiredSum, len(p.Reads))
	if p.RevertOf != 0 {
		fmt.Fprintf(out, "back to what was before apply %d\n", p.RevertOf)
	}
	counts := map[plan.Kind]int{}
	group, wave := -1, -1
	for _, st := range p.Steps {
		if st.Group != group || st.Wave != wave {
			group, wave = st.Group, st.Wave
			fmt.Fprintf(out, "group %d, wave %d\n", group, wave)
		}
		fmt.Fprintf(out, "%6d  %s  (until %s)\n", st.ID, st, st.Wait)
		counts[st.Kind]++
	}
	var sums []string
	for _, k := range []plan.Kind{plan.Add, plan.Raise, plan.Lower, plan.Drain, plan.Remove, plan.Locate, plan.Widen, plan.Narrow, plan.Forget, plan.SetRules} {
		if counts[k] > 0 {
			sums = append(sums, fmt.Sprintf("%d %s", counts[k], k))
		}
	}
	_, err = fmt.Fprintf(out, "%d steps: %s; on trouble: %s\n", len(p.Steps), strings.Join(sums, ", "), p.Rules.OnFault)
	return err
}

type revertCmd struct {
	boardAt
	output
	ID  int64  `arg:"" help:"The apply to undo."`
	Out string `type:"path" help:"Write the plan to this file, for apply."`
}

// Run makes a new plan; nothing is changed before it is applied.
func (c revertCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	before, err := client.Before(c.ID)
	if err != nil {
		return err
	}
	w, err := c.world()
	if err != nil {
		return err
	}
	p, err := plan.Make(w, before, "")
	if err != nil {
		return err
	}
	p.RevertOf = c.ID
	return putPlan(s.out, p, c.Out, c.Output)
}
