package director

import (
	"log/slog"
	"time"
)

const (
	// drainAcceptTime is the time for which a director accepts connections and requests after shutdown has started. The
	// platform routes new connections to it for up to 0.4 s after SIGTERM, and clients send requests on open connections for
	// 0.2 s more.
	drainAcceptTime = 700 * time.Millisecond
	// lastAnswerTimeout is the time within which clients must close after they have read their last answers.
	lastAnswerTimeout = 500 * time.Millisecond
	// leaveTimeout is the time within which the control plane must acknowledge that the director leaves.
	leaveTimeout = 300 * time.Millisecond
	// shutdownInterval is the interval at which the progress of a shutdown is checked.
	shutdownInterval = 5 * time.Millisecond
)

// Shutdown starts the graceful shutdown: the director accepts requests for drainAcceptTime, answers all of them, announces to
// the control plane that it leaves, and then makes Run return. Further calls have no effect.
func (p *Program) Shutdown() {
	if p.frontend.draining {
		return
	}
	slog.Info("director.draining", "open", p.director.InFlight())
	p.frontend.draining = true
	p.loop.Set(&p.shutdownTimer, p.loop.Now()+drainAcceptTime)
}

// shutdownStep advances the shutdown. It runs periodically, starting after drainAcceptTime, until the shutdown is complete.
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
	if !p.clientsDone(now) || !p.announceLeaving(now) || !p.mayStop() {
		p.loop.Set(&p.shutdownTimer, now+shutdownInterval)
		return
	}
	slog.Info("director.stopped", "core", p.coreIndex(), "revision", p.watch.appliedRevision)
	p.loop.Stop()
}

// mayStop reports whether no other core depends on this one any more. If so, the program must stop.
func (p *Program) mayStop() bool {
	return p.core == nil || p.core.group.watchOwner.mayStop(p.core.index)
}

// clientsDone reports whether all requests have been answered, and the clients have disconnected, or lastAnswerTimeout has passed
// and no client is still receiving answers. It does not wait longer than clients wait for their answers.
func (p *Program) clientsDone(now time.Duration) bool {
	if p.idleSince == 0 {
		return false
	}
	if len(p.frontend.clients) == 0 {
		return true
	}
	idle := now - p.idleSince
	return idle >= lastAnswerTimeout && p.frontend.isDelivered() || idle >= p.frontend.stuckTimeout
}

// announceLeaving announces, on its first call, that the director leaves with no work in flight. It reports whether the
// shutdown may continue: the announcement was acknowledged, timed out, or is not needed.
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
