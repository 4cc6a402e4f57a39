package quota

import "time"

// Holder requests and holds a director's shares of limits. It is not safe for concurrent use.
type Holder struct {
	settings    Settings
	id          string
	seq         uint64                   // sequence number of the last renewal
	epoch       int64                    // latest epoch among the root's grants that were put into use
	inUse       uint64                   // sequence number of the renewal whose grant is in use; 0: none
	inUseSince  time.Duration            // when that renewal was created; the fallback decreases from then on
	requestedAt map[uint64]time.Duration // creation times of the renewals that may still be answered, by sequence number
	shares      map[string]leasedShare   // by limit
	wants       map[string]Want          // by limit
	releasedAt  map[string]uint64        // last renewal before each limit was released; grants up to it are ignored for the limit
	fallback    float64                  // fraction of each rate that may be used without a share in force, before it decreases
}

// leasedShare is a share of a limit and the end of its lease.
type leasedShare struct {
	share        float64
	evenFraction float64 // for a node: an even share for each holder of the tree
	expiresAt    time.Duration
}

// NewHolder returns a holder without demands or shares.
func NewHolder(id string, settings Settings) *Holder {
	return &Holder{
		settings:    settings,
		id:          id,
		requestedAt: map[uint64]time.Duration{},
		shares:      map[string]leasedShare{},
		wants:       map[string]Want{},
		releasedAt:  map[string]uint64{},
	}
}

// Want sets the holder's demand for a limit. A demand of 0 releases the limit.
func (h *Holder) Want(w Want) {
	if w.Demand <= 0 {
		if _, found := h.wants[w.Limit]; found {
			h.releasedAt[w.Limit] = h.seq
		}
		delete(h.wants, w.Limit)
		delete(h.shares, w.Limit) // immediately, because the renewal that releases it may be sent next
		return
	}
	h.wants[w.Limit] = w
}

// Renewal returns the next renewal to send.
func (h *Holder) Renewal(now time.Duration) Renewal {
	h.seq++
	for seq, at := range h.requestedAt {
		if now-at >= h.settings.Lease {
			delete(h.requestedAt, seq)
		}
	}
	h.requestedAt[h.seq] = now
	r := Renewal{Holder: h.id, Seq: h.seq, InUse: h.inUse}
	for _, w := range h.wants {
		r.Wants = append(r.Wants, w)
	}
	return r
}

// Apply puts a grant into use and reports whether it did. A grant is ignored if it is for another holder, if it answers a renewal that
// is not newer than the one whose grant is in use or that is too old, or if it is from an earlier root than the latest one.
//
// A grant replaces the previous grant entirely, whichever source that came from. Each source counts what it granted until the grant
// expires or the holder's renewal names a later grant. The holder uses one grant at a time, in the order of its own renewals. So
// epochs order only the grants of roots. A node's grants have no epoch, and a holder may switch between nodes and roots at any time.
func (h *Holder) Apply(g Grant, _ time.Duration) bool {
	requestedAt, known := h.requestedAt[g.Seq]
	if !known || g.Holder != h.id || g.Seq <= h.inUse || g.Source == "" && g.Epoch < h.epoch {
		return false
	}
	if g.Source == "" {
		h.epoch = g.Epoch
	}
	h.inUse = g.Seq
	h.inUseSince = requestedAt
	h.fallback = g.Fallback
	h.shares = make(map[string]leasedShare, len(g.Shares))
	for _, granted := range g.Shares {
		if _, wanted := h.wants[granted.Limit]; wanted && g.Seq > h.releasedAt[granted.Limit] {
			h.shares[granted.Limit] = leasedShare{
				share:        granted.Fraction,
				evenFraction: granted.EvenFraction,
				expiresAt:    requestedAt + h.settings.Lease,
			}
		}
	}
	return true
}

// Available returns the fraction of a limit that may be used at this time: the share in force or, without one, the decreasing
// fallback. Without a grant it is 0. It must be called immediately before each use.
func (h *Holder) Available(limit string, now time.Duration) float64 {
	if s, found := h.shares[limit]; found && now < s.expiresAt {
		return s.share
	}
	if h.wants[limit].Kind != Rate || h.settings.FallbackFade <= 0 {
		return 0
	}
	return h.fallback * max(0, 1-float64(now-h.inUseSince)/float64(h.settings.FallbackFade))
}

// HasShare reports whether a share of the limit is in force, so that Available does not return a fallback.
func (h *Holder) HasShare(limit string, now time.Duration) bool {
	s, found := h.shares[limit]
	return found && now < s.expiresAt
}

// ReleaseAll releases all limits and the fallback. The next Renewal names no limit.
func (h *Holder) ReleaseAll() {
	for limit := range h.wants {
		h.Want(Want{Limit: limit})
	}
	h.fallback = 0
}
