package director

import (
	"encoding/json"
	"log/slog"
	"math"
	"time"

	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/transport"
)

const healthInterval = 100 * time.Millisecond

// healthReporter is the shell of signals.Witness and signals.Believer: it sends what the decision module observed of caches to
// the control plane, and gives the aggregated health of caches to the decision module.
type healthReporter struct {
	prog         *Program
	witness      *health.Reporter
	believer     *health.Tracker
	publishTimer transport.Timer
}

func newHealthReporter(p *Program, id string) *healthReporter {
	s := &healthReporter{prog: p, witness: health.NewReporter(health.DefaultSettings, id), believer: health.NewTracker(health.DefaultSettings, id)}
	s.publishTimer.Fire = s.publish
	p.loop.Set(&s.publishTimer, p.loop.Now()+healthInterval)
	return s
}

// report is the health report that goes with a watch request, as JSON.
func (s *healthReporter) report(now time.Duration) json.RawMessage {
	s.prog.director.HostOutcomes(s.witness.Record)
	b, err := json.Marshal(s.witness.Report(now))
	if err != nil {
		panic(err) // texts and numbers
	}
	return b
}

// takeAggregate applies the aggregated health from the answer to a request made at a moment.
func (s *healthReporter) takeAggregate(raw json.RawMessage, called time.Duration) {
	var o health.AggregatedHealth
	if err := json.Unmarshal(raw, &o); err != nil {
		slog.Warn("signals.malformed", "err", err)
		return
	}
	s.believer.Take(o, called)
	s.publish()
}

// publish gives the decision module the changes of suspected caches.
func (s *healthReporter) publish() {
	s.prog.loop.Set(&s.publishTimer, s.prog.loop.Now()+healthInterval)
	for _, c := range s.believer.Changes(bootTime()) {
		if c.FailureShare == 0 || c.Previous == 0 {
			slog.Info("signals.doubted", "box", c.Cache, "bad", math.Round(100*c.FailureShare)/100)
		}
		s.prog.director.SetAggregatedHealth(c.Cache, c.FailureShare)
	}
}
