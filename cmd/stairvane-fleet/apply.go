package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/operatorconfig"
)

const followEvery = 100 * time.Millisecond

type applyCmd struct {
	boardAt
	output
	Plan   string `arg:"" type:"path" help:"The plan file."`
	Detach bool   `help:"Return once the board has taken the plan."`
}

// Run hands the plan in and shows how it goes. The board carries it out, whether or not this command lives.
func (c applyCmd) Run(s streams) error {
	p, file, err := readPlan(c.Plan)
	if err != nil {
		return err
	}
	if err := wishUnchanged(p); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	a, err := client.Submit(file)
	if err != nil {
		if refused, is := err.(*api.Error); is && c.Output == "json" {
			if err := writeJSON(s.out, refused); err != nil {
				return err
			}
		}
		return err
	}
	if a.Already {
		if c.Output == "json" {
			return writeJSON(s.out, a)
		}
		_, err := fmt.Fprintf(s.out, "this plan was carried out by apply %d; nothing changes\n", a.ID)
		return err
	}
	if c.Detach {
		if c.Output == "json" {
			return writeJSON(s.out, a)
		}
		_, err := fmt.Fprintf(s.out, "apply %d is under way: %d steps\n", a.ID, a.Steps)
		return err
	}
	return follow(client, a.ID, s.out, c.Output)
}

// wishUnchanged refuses a plan whose wished file has been edited since. A file that is elsewhere now is not looked for.
func wishUnchanged(p *plan.Plan) error {
	if p.DesiredFile == "" {
		return nil
	}
	if _, err := os.Stat(p.DesiredFile); err != nil {
		return nil
	}
	wish, faults := operatorconfig.ReadFleet(p.DesiredFile, os.ReadFile)
	if len(faults) > 0 {
		return &exit{exitStale, fmt.Sprintf("the plan is stale: %s has been edited since it was made, and has faults: %s", p.DesiredFile, faults[0].Error())}
	}
	if fleet.Sum(wish) != p.DesiredSum {
		return &exit{exitStale, fmt.Sprintf("the plan is stale: %s has been edited since it was made; plan again", p.DesiredFile)}
	}
	return nil
}

// follow shows the steps of an apply until it stops. A board that is away for a while is waited for.
func follow(client *api.Client, id int64, out io.Writer, form string) error {
	show := newProgress(out, form)
	defer show.end()
	away := 0
	for {
		a, err := client.Apply(id)
		if err != nil {
			if refused, is := err.(*api.Error); is {
				return refused
			}
			if away++; away == 1 {
				fmt.Fprintf(os.Stderr, "the board does not answer (%v); it goes on with apply %d when it is back\n", err, id)
			}
			if away > 600 {
				return err
			}
			time.Sleep(followEvery)
			continue
		}
		away = 0
		if err := show.at(a); err != nil {
			return err
		}
		if a.Status != apply.Running {
			show.end()
			return ended(a, out, form)
		}
		time.Sleep(followEvery)
	}
}

func ended(a api.Apply, out io.Writer, form string) error {
	if form == "json" {
		if err := writeJSON(out, a); err != nil {
			return err
		}
	}
	if a.Status == apply.Done {
		if form != "json" {
			fmt.Fprintf(out, "apply %d is done: %d steps\n", a.ID, a.Record.Steps)
		}
		return nil
	}
	message := fmt.Sprintf("apply %d is %s after %d of %d steps: %s", a.ID, a.Status, a.StepsDone, a.Record.Steps, a.Reason)
	if a.RevertedBy != 0 {
		message += fmt.Sprintf("; apply %d leads back", a.RevertedBy)
	}
	return &exit{exitStopped, message}
}

// progress is a bar on a terminal, and one line a step elsewhere; with JSON, one object a step.
type progress struct {
	out   io.Writer
	form  string
	seen  map[int]apply.Phase
	bars  *mpb.Progress
	bar   *mpb.Bar
	total int
}

func newProgress(out io.Writer, form string) *progress {
	p := &progress{out: out, form: form, seen: map[int]apply.Phase{}}
	if f, is := out.(*os.File); is && form != "json" && isatty.IsTerminal(f.Fd()) {
		p.bars = mpb.New(mpb.WithOutput(out), mpb.WithWidth(48))
	}
	return p
}

func (p *progress) at(a api.Apply) error {
	if p.bars != nil {
		if p.bar == nil {
			p.total = a.Record.Steps
			p.bar = p.bars.AddBar(int64(p.total), mpb.PrependDecorators(decor.Name(fmt.Sprintf("apply %d ", a.ID)), decor.CountersNoUnit("%d/%d")),
				mpb.AppendDecorators(decor.Elapsed(decor.ET_STYLE_MMSS)))
		}
		p.bar.SetCurrent(int64(a.StepsDone))
		return nil
	}
	for _, s := range a.Steps {
		if s.Phase == apply.Pending || p.seen[s.ID] == s.Phase {
			continue
		}
		if p.seen[s.ID] = s.Phase; p.form == "json" {
			if err := writeJSON(p.out, s); err != nil {
				return err
			}
			continue
		}
		state := "begun"
		if s.Phase == apply.Completed {
			state = "done "
		}
		if _, err := fmt.Fprintf(p.out, "%s %4d/%d  %s\n", state, s.ID, a.Record.Steps, s.What); err != nil {
			return err
		}
	}
	return nil
}

func (p *progress) end() {
	if p.bars == nil {
		return
	}
	if p.bar != nil && !p.bar.Completed() {
		p.bar.Abort(false)
	}
	p.bars.Wait()
	p.bars = nil
}

type appliesCmd struct {
	List   appliesListCmd `cmd:"" default:"1" help:"List all applies."`
	Show   appliesShowCmd `cmd:"" help:"Show an apply and its steps."`
	Pause  pauseCmd       `cmd:"" help:"Begin no more steps. What was begun goes on."`
	Resume resumeCmd      `cmd:"" help:"Go on with a paused apply."`
	Cancel cancelCmd      `cmd:"" help:"End an apply as it stands. revert plans back."`
}

type appliesListCmd struct {
	boardAt
	output
}

func (c appliesListCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	all, err := client.Applies()
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return writeJSON(s.out, all)
	}
	for _, r := range all {
		fmt.Fprintln(s.out, recordLine(r))
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

type appliesShowCmd struct {
	boardAt
	output
	ID     int64 `arg:"" help:"The apply."`
	Follow bool  `short:"f" help:"Show its steps until it stops."`
}

func (c appliesShowCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.Follow {
		return follow(client, c.ID, s.out, c.Output)
	}
	a, err := client.Apply(c.ID)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return writeJSON(s.out, a)
	}
	fmt.Fprintln(s.out, recordLine(a.Record))
	for _, st := range a.Steps {
		line := fmt.Sprintf("%6d  %-7s  %s", st.ID, st.Phase, st.What)
		if st.EventNo != 0 {
			line += fmt.Sprintf("  event %d", st.EventNo)
		}
		if st.Phase == apply.Waiting {
			line += fmt.Sprintf("  until %s", st.Wait)
		}
		fmt.Fprintln(s.out, line)
	}
	return nil
}

// orderCmd gives an order to an apply.
type orderCmd struct {
	boardAt
	output
	ID int64 `arg:"" help:"The apply."`
}

func (c orderCmd) order(s streams, o apply.Order) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	r, err := client.Order(c.ID, o)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return writeJSON(s.out, r)
	}
	_, err = fmt.Fprintln(s.out, recordLine(r))
	return err
}

type pauseCmd struct{ orderCmd }

// Run pauses.
func (c pauseCmd) Run(s streams) error { return c.order(s, apply.OrderPause) }

type resumeCmd struct{ orderCmd }

// Run resumes.
func (c resumeCmd) Run(s streams) error { return c.order(s, apply.OrderResume) }

type cancelCmd struct{ orderCmd }

// Run cancels.
func (c cancelCmd) Run(s streams) error { return c.order(s, apply.OrderCancel) }
