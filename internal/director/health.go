package director

import (
	"encoding/json"
	"log/slog"
	"math"
	"time"

	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/transport"
)

// healthInterval is the interval at which changes of the aggregated health are passed to the decision module.
const healthInterval = 100 * time.Millisecond

// healthReporter reports the decision module's observations of caches to the control plane, and passes the aggregated health
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
	h.timer.Fire = h.publishChanges
	p.loop.Set(&h.timer, p.loop.Now()+healthInterval)
	return h
}

// report returns the health report to send with a poll, encoded as JSON.
func (h *healthReporter) report(now time.Duration) json.RawMessage {
	h.prog.director.HostOutcomes(h.reporter.Record)
	return mustMarshal(h.reporter.Report(now))
}

// applyAggregate applies the aggregated health from the response to a poll that was sent at requestedAt on the boot clock.
func (h *healthReporter) applyAggregate(raw json.RawMessage, requestedAt time.Duration) {
	var aggregate health.AggregatedHealth
	if err := json.Unmarshal(raw, &aggregate); err != nil {
		slog.Warn("health.malformed", "err", err)
		return
	}
	h.tracker.Apply(aggregate, requestedAt)
	h.publishChanges()
}

// publishChanges logs the changes of the aggregated health and passes them to the decision module.
func (h *healthReporter) publishChanges() {
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
