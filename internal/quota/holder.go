package quota

import "time"

// Holder is a director's side of its quotas. It is not safe for concurrent use.
type Holder struct {
	set         Settings
	id          string
	seq         uint64                   // of the last renewal
	epoch       int64                    // of the root: the latest of a grant in use
	inUse       uint64                   // the renewal whose grant is in use; 0: none
	inUseSince  time.Duration            // when that renewal was made: the fallback fades since then
	requestedAt map[uint64]time.Duration // when each renewal that may still be answered was made
	shares      map[string]leasedShare   // by limit
	wants       map[string]Want          // by limit
	releasedAt  map[string]uint64        // the last renewal before each limit was given up; no grant up to it counts
	fallback    float64                  // what may be used of each rate without a share in force
}

// leasedShare is a share of a limit and the end of its lease.
type leasedShare struct {
	share float64
	even  float64 // for a node: an even share for each holder of the tree
	until time.Duration
}

// NewHolder makes a holder that has nothing.
func NewHolder(id string, set Settings) *Holder {
	return &Holder{
		set:         set,
		id:          id,
		requestedAt: map[uint64]time.Duration{},
		shares:      map[string]leasedShare{},
		wants:       map[string]Want{},
		releasedAt:  map[string]uint64{},
	}
}

// Want sets what the holder wants of a limit. A demand of 0 gives it up.
func (h *Holder) Want(w Want) {
	if w.Demand <= 0 {
		if _, had := h.wants[w.Limit]; had {
			h.releasedAt[w.Limit] = h.seq
		}
		delete(h.wants, w.Limit)
		delete(h.shares, w.Limit) // at once: the renewal that gives it back may be sent now
		return
	}
	h.wants[w.Limit] = w
}

// Renewal returns what is to be sent now.
func (h *Holder) Renewal(now time.Duration) Renewal {
	h.seq++
	for seq, at := range h.requestedAt {
		if now-at >= h.set.Lease {
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

// Take takes a grant into use and reports whether it did. A grant changes nothing that is for another holder, answers a renewal
// before the one whose grant is in use or one that is too old, or comes from a root before the latest one.
//
// A grant replaces all of the grant before it, whichever source that came from. Each source counts what it granted until that has
// ended or the holder's renewal names a later grant. The holder uses one grant at a time, in the order of its own renewals. So
// epochs order only the grants of roots. A node's grants have none, and a holder may go back and forth between nodes and roots.
func (h *Holder) Take(g Grant, _ time.Duration) bool {
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
	for _, p := range g.Shares {
		if _, wanted := h.wants[p.Limit]; wanted && g.Seq > h.releasedAt[p.Limit] {
			h.shares[p.Limit] = leasedShare{share: p.Fraction, even: p.EvenFraction, until: requestedAt + h.set.Lease}
		}
	}
	return true
}

// Available returns what may be used of a limit at this moment: the share in force, or else the fallback, which fades. Without a grant
// it is 0. It must be asked for just before each use.
func (h *Holder) Available(limit string, now time.Duration) float64 {
	if s, found := h.shares[limit]; found && now < s.until {
		return s.share
	}
	if h.wants[limit].Kind != Rate || h.set.FallbackFade <= 0 {
		return 0
	}
	return h.fallback * max(0, 1-float64(now-h.inUseSince)/float64(h.set.FallbackFade))
}

// HasShare reports whether what may be used is a share in force, and no fallback.
func (h *Holder) HasShare(limit string, now time.Duration) bool {
	s, found := h.shares[limit]
	return found && now < s.until
}

// Leave gives up all limits. The next Renewal names none.
func (h *Holder) Leave() {
	for limit := range h.wants {
		h.Want(Want{Limit: limit})
	}
	h.fallback = 0
}
