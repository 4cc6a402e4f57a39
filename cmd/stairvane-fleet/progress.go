package main

import (
	"fmt"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet/apply"
)

const barWidth = 48 // columns

// progress shows the progress of an apply: a bar on a terminal, one line per step elsewhere, or one object per step as JSON.
type progress struct {
	s      streams
	output outputFlags
	shown  map[int]apply.Phase // last phase shown, by step ID
	bars   *mpb.Progress       // nil: no bar
	bar    *mpb.Bar            // nil: not shown yet
}

func newProgress(s streams, output outputFlags) *progress {
	p := &progress{s: s, output: output, shown: map[int]apply.Phase{}}
	if f, ok := s.out.Writer.(*os.File); ok && !output.json() && isatty.IsTerminal(f.Fd()) {
		p.bars = mpb.New(mpb.WithOutput(s.out), mpb.WithWidth(barWidth))
	}
	return p
}

// update shows what has changed since the last update.
func (p *progress) update(a api.Apply) error {
	if p.bars != nil {
		p.updateBar(a)
		return nil
	}
	for _, step := range a.Steps {
		if step.Phase == apply.Pending || p.shown[step.ID] == step.Phase {
			continue
		}
		p.shown[step.ID] = step.Phase
		if p.output.json() {
			if err := writeJSON(p.s.out, step); err != nil {
				return err
			}
			continue
		}
		state := "begun"
		if step.Phase == apply.Completed {
			state = "done "
		}
		p.s.printf("%s %4d/%d  %s\n", state, step.ID, a.Record.Steps, step.What)
	}
	return p.s.out.err
}

func (p *progress) updateBar(a api.Apply) {
	if p.bar == nil {
		p.bar = p.bars.AddBar(int64(a.Record.Steps),
			mpb.PrependDecorators(decor.Name(fmt.Sprintf("apply %d ", a.ID)), decor.CountersNoUnit("%d/%d")),
			mpb.AppendDecorators(decor.Elapsed(decor.ET_STYLE_MMSS)))
	}
	p.bar.SetCurrent(int64(a.StepsDone))
}

// close finishes the bar, if there is one. It may be called more than once.
func (p *progress) close() {
	if p.bars == nil {
		return
	}
	if p.bar != nil && !p.bar.Completed() {
		p.bar.Abort(false)
	}
	p.bars.Wait()
	p.bars = nil
}
