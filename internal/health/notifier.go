package health

import (
	"slices"
	"time"
)

const (
	// notifyInterval is the time after which a director is notified again of a result that stands, since it fades there.
	notifyInterval = 500 * time.Millisecond
	// maxNotified bounds the directors of which it is known what they were notified of.
	maxNotified = 10_000
)

// Notifier knows which directors were notified of the latest result, from an aggregator here or elsewhere. It is not safe for
// concurrent use.
type Notifier struct {
	current    AggregatedHealth
	receivedAt time.Duration
	notified   map[string]notification // by director
}

// notification is which result a director was notified of last, and when.
type notification struct {
	epoch int64
	seq   uint64
	at    time.Duration
}

// NewNotifier makes a notifier without a result.
func NewNotifier() *Notifier { return &Notifier{notified: map[string]notification{}} }

// Take takes a result and reports whether it differs from the one before. An earlier result changes nothing.
func (n *Notifier) Take(h AggregatedHealth, now time.Duration) (changed bool) {
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

// For returns what a director is to be notified of now, with ages up to now; false if nothing is new to it. It counts as notified
// from then on.
func (n *Notifier) For(director string, now time.Duration) (h AggregatedHealth, isNew bool) {
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
