package director

import (
	"encoding/json"
	"log/slog"
	"math"
	"time"

	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/transport"
)

// healthInterval is the period in which changes of the aggregated health are given to the decision module.
const healthInterval = 100 * time.Millisecond

// healthReporter sends what the decision module observed of caches to the control plane, and gives the aggregated health
// of caches to the decision module.
type healthReporter struct {
	prog     *Program
	reporter *health.Reporter
	tracker  *health.Tracker
	timer    transport.Timer
}

func newHealthReporter(p *Program, directorID string) *healthReporter {
	h := &healthReporter{
		prog:     p,
		reporter: health.NewReporter(health.DefaultSettings, directorID),
		tracker:  health.NewTracker(health.DefaultSettings, directorID),
	}
	h.timer.Fire = h.publish
	p.loop.Set(&h.timer, p.loop.Now()+healthInterval)
	return h
}

// report is the health report that goes with a poll, as JSON.
func (h *healthReporter) report(now time.Duration) json.RawMessage {
	h.prog.director.HostOutcomes(h.reporter.Record)
	return mustMarshal(h.reporter.Report(now))
}

// takeAggregate takes in the aggregated health from the response to a poll that was sent at a time of the boot clock.
func (h *healthReporter) takeAggregate(raw json.RawMessage, requestedAt time.Duration) {
	var aggregate health.AggregatedHealth
	if err := json.Unmarshal(raw, &aggregate); err != nil {
		slog.Warn("health.malformed", "err", err)
		return
	}
	h.tracker.Apply(aggregate, requestedAt)
	h.publish()
}

// publish gives the decision module the changes of suspected caches.
func (h *healthReporter) publish() {
	h.prog.loop.Set(&h.timer, h.prog.loop.Now()+healthInterval)
	for _, c := range h.tracker.Changes(bootTime()) {
		switch {
		case c.FailureShare == 0:
			slog.Info("health.cleared", "host", c.Cache)
		case c.Previous == 0:
			slog.Info("health.suspected", "host", c.Cache, "failure_share", math.Round(100*c.FailureShare)/100)
		}
		h.prog.director.SetAggregatedHealth(c.Cache, c.FailureShare)
	}
}
