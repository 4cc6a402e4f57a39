package watch

import (
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/transport"
)

// drainInterval is the time between two steps of a drain.
const drainInterval = 20 * time.Millisecond

// drain closes the watchers of a server step by step before the process exits.
type drain struct {
	server          *Server
	initialWatchers int // watchers when the drain started
	steps           int
	stepsLeft       int
	timer           transport.Timer
	done            func()
}

// Drain stops accepting watchers and closes the existing ones, spread evenly over the given time so that they do not all reconnect
// elsewhere at once. done is called on the loop after the last one has been closed.
func (s *Server) Drain(duration time.Duration, done func()) {
	slog.Info("watcher.drain_started", "watchers", len(s.watchers), "over_ms", duration.Milliseconds())
	steps := max(1, int(duration/drainInterval))
	d := &drain{server: s, initialWatchers: len(s.watchers), steps: steps, stepsLeft: steps, done: done}
	d.timer.Fire = d.step
	d.step()
}

// step closes the watchers that are due and schedules the next step.
func (d *drain) step() {
	s := d.server
	closed := s.listener.Close() // false if the process has run out of file descriptors: the next step tries again
	d.stepsLeft = max(0, d.stepsLeft-1)
	allowed := d.initialWatchers * d.stepsLeft / d.steps
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
