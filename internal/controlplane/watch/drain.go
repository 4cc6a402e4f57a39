package watch

import (
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/transport"
)

const drainInterval = 20 * time.Millisecond

// drain is a server's closing of its watchers before the process ends.
type drain struct {
	server       *Server
	initialCount int // watchers at its beginning
	steps        int
	stepsLeft    int
	timer        transport.Timer
	done         func()
}

// Drain admits no new watchers and closes those that there are, spread evenly over a time, so that they do not all connect elsewhere
// at one moment. done runs on the loop when none is left.
func (s *Server) Drain(over time.Duration, done func()) {
	slog.Info("watcher.drain_started", "watchers", len(s.watchers), "over_ms", over.Milliseconds())
	steps := max(1, int(over/drainInterval))
	d := &drain{server: s, initialCount: len(s.watchers), steps: steps, stepsLeft: steps, done: done}
	d.timer.Fire = d.step
	d.step()
}

// step closes the watchers that are due.
func (d *drain) step() {
	s := d.server
	closed := s.listener.Close() // false where descriptors ran out: the next step tries again
	d.stepsLeft = max(0, d.stepsLeft-1)
	allowed := d.initialCount * d.stepsLeft / d.steps
	for w := range s.watchers {
		if len(s.watchers) <= allowed {
			break
		}
		w.close()
	}
	if closed && len(s.watchers) == 0 {
		d.done()
		return
	}
	s.loop.Set(&d.timer, s.loop.Now()+drainInterval)
}
