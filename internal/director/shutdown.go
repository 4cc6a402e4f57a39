package director

import (
	"log/slog"
	"time"
)

const (
	// drainAcceptTime is for how long a director that shuts down still accepts connections and requests. The platform sends
	// new connections for up to 0.4 s after SIGTERM and requests on open ones for 0.2 s more.
	drainAcceptTime = 700 * time.Millisecond
	// lastAnswerTimeout is how long clients may take to read their last answers and close.
	lastAnswerTimeout = 500 * time.Millisecond
	// leaveTimeout is how long the control plane may take to acknowledge that the director leaves.
	leaveTimeout = 300 * time.Millisecond
	// shutdownInterval is the period in which the progress of a shutdown is checked.
	shutdownInterval = 5 * time.Millisecond
)

// Shutdown begins the graceful shutdown: the director serves what still comes for a while, answers all requests, says that
// it leaves, and ends Run.
func (p *Program) Shutdown() {
	if p.frontend.draining {
		return
	}
	slog.Info("director.draining", "open", p.director.InFlight())
	p.frontend.draining = true
	p.loop.Set(&p.shutdownTimer, p.loop.Now()+drainAcceptTime)
}

// shutdownStep runs after the acceptPeriod, until the shutdown is complete.
func (p *Program) shutdownStep() {
	now := p.loop.Now()
	if !p.frontend.listenerClosed {
		p.frontend.finishDraining()
	}
	if p.director.InFlight() > 0 {
		p.idleSince = 0
	} else if p.idleSince == 0 {
		p.idleSince = now
	}
	if !p.clientsDone(now) || !p.announceLeaving(now) {
		p.loop.Set(&p.shutdownTimer, now+shutdownInterval)
		return
	}
	slog.Info("director.stopped")
	p.loop.Stop()
}

// clientsDone reports whether all requests are answered and the clients have got their answers or took too long.
func (p *Program) clientsDone(now time.Duration) bool {
	if p.idleSince == 0 {
		return false
	}
	if len(p.frontend.clients) == 0 {
		return true
	}
	return now-p.idleSince >= lastAnswerTimeout && p.frontend.isFlushed()
}

// announceLeaving announces once that the director leaves and has no work in flight, and reports whether that was
// acknowledged, took too long, or is not needed.
func (p *Program) announceLeaving(now time.Duration) bool {
	if p.membership == nil {
		return true
	}
	if !p.membership.leaving {
		p.membership.leave()
		p.watch.announceNow()
		p.announceDeadline = now + leaveTimeout
	}
	return p.watch.leaveAcknowledged || now >= p.announceDeadline
}
