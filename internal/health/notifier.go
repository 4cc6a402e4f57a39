package health

import (
	"slices"
	"time"
)

const (
	// notifyInterval is the time after which a director is notified again of an unchanged result, because the result expires at the
	// director.
	notifyInterval = 500 * time.Millisecond
	// maxNotified limits the number of directors whose last notification is recorded.
	maxNotified = 10_000
)

// Notifier tracks which directors have been notified of the latest result of a local or remote aggregator. It is not safe for
// concurrent use.
type Notifier struct {
	current    AggregatedHealth
	receivedAt time.Duration
	notified   map[string]notification // by director
}

// notification identifies the last result that a director was notified of, and the time.
type notification struct {
	epoch int64
	seq   uint64
	at    time.Duration
}

// NewNotifier returns a notifier without a result.
func NewNotifier() *Notifier { return &Notifier{notified: map[string]notification{}} }

// Apply sets the current result and reports whether it differs from the previous one. A result older than the current one is ignored.
func (n *Notifier) Apply(h AggregatedHealth, now time.Duration) (changed bool) {
	sameEpoch := h.Epoch == n.current.Epoch
	if h.Epoch < n.current.Epoch || sameEpoch && h.Seq < n.current.Seq {
		return false
	}
	if sameEpoch {
		changed = h.Seq != n.current.Seq
	} else {
		changed = len(h.Caches) > 0 || len(n.current.Caches) > 0
	}
	n.current = h
	n.receivedAt = now
	return changed
}

// ResultFor returns the result to notify a director of, with ages as of now, and records the director as notified. isNew is false if the
// director needs no notification.
func (n *Notifier) ResultFor(director string, now time.Duration) (h AggregatedHealth, isNew bool) {
	last := n.notified[director]
	hasCurrent := last.epoch == n.current.Epoch && last.seq == n.current.Seq
	if hasCurrent && (len(n.current.Caches) == 0 || now-last.at < notifyInterval) {
		return AggregatedHealth{}, false
	}
	if len(n.notified) >= maxNotified {
		clear(n.notified)
	}
	n.notified[director] = notification{epoch: n.current.Epoch, seq: n.current.Seq, at: now}
	h = n.current
	h.Caches = slices.Clone(h.Caches)
	for i := range h.Caches {
		h.Caches[i].AgeMS += (now - n.receivedAt).Milliseconds()
	}
	return h, true
}
