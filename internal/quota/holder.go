package quota

import "time"

// Holder is a director's side. It is not safe for concurrent use.
type Holder struct {
	set        Settings
	id         string
	seq        uint64
	epoch      int64 // of the root, the latest
	taken      uint64
	asked      map[uint64]time.Duration // when each renewal that may still be answered was made
	parts      map[string]part
	wants      map[string]Want
	releasedAt map[string]uint64 // the last renewal before each limit was given up: grants up to it count no more
	fallback   float64           // what it may use of each rate that it has no part in force of
	takenFrom  time.Duration     // when the renewal was made whose grant is in use: since then the fallback fades
}

type part struct {
	share float64
	even  float64 // for a node, Share.Even
	until time.Duration
}

// NewHolder makes a holder that has nothing.
func NewHolder(id string, set Settings) *Holder {
	return &Holder{set: set, id: id, asked: map[uint64]time.Duration{}, parts: map[string]part{}, wants: map[string]Want{}, releasedAt: map[string]uint64{}}
}

// Want sets what the holder wants of a limit. A demand of 0 gives it up.
func (h *Holder) Want(w Want) {
	if w.Demand <= 0 {
		if _, had := h.wants[w.Limit]; had {
			h.releasedAt[w.Limit] = h.seq
		}
		delete(h.wants, w.Limit)
		delete(h.parts, w.Limit) // before it is sent: what was given back must not be used
		return
	}
	h.wants[w.Limit] = w
}

// Renewal is what is to be sent now.
func (h *Holder) Renewal(now time.Duration) Renewal {
	h.seq++
	for seq, at := range h.asked {
		if now-at >= h.set.Lease {
			delete(h.asked, seq)
		}
	}
	h.asked[h.seq] = now
	b := Renewal{Holder: h.id, Seq: h.seq, Taken: h.taken}
	for _, w := range h.wants {
		b.Wants = append(b.Wants, w)
	}
	return b
}

// Take takes a grant in, and tells whether it did. One for another holder, or of a renewal before one whose grant was taken,
// changes nothing, and neither does one of a root before the latest that it has taken a grant of.
//
// A grant takes the place of all of the one before it, whichever source that came from: each source counts what it has
// granted itself, until it is over or a renewal of the holder says that it uses a later one, and the holder uses one
// grant at a time, by the order of its own renewals. So grants of several sources are ordered without regard to their epochs.
// Those tell roots apart, whose grants are over when a later root gives any; to compare a node's with a root's would have a
// holder that comes back from one to the other refuse what it is granted.
func (h *Holder) Take(g Grant, _ time.Duration) bool {
	asked, known := h.asked[g.Seq]
	if !known || g.Holder != h.id || g.Seq <= h.taken || g.Source == "" && g.Epoch < h.epoch {
		return false
	}
	if g.Source == "" {
		h.epoch = g.Epoch
	}
	h.taken = g.Seq
	h.fallback, h.takenFrom = g.Fallback, asked
	h.parts = make(map[string]part, len(g.Parts))
	for _, p := range g.Parts {
		if _, wanted := h.wants[p.Limit]; wanted && g.Seq > h.releasedAt[p.Limit] {
			h.parts[p.Limit] = part{p.Part, p.Even, asked + h.set.Lease}
		}
	}
	return true
}

// Part is what may be used of a limit at this moment: what was granted, or else what of the reserve was announced as its own,
// which fades. One that was never granted anything has neither. It must be looked at just before it is used.
func (h *Holder) Part(limit string, now time.Duration) float64 {
	if p, is := h.parts[limit]; is && now < p.until {
		return p.share
	}
	if h.wants[limit].Kind != Rate || h.set.Fades <= 0 {
		return 0
	}
	return h.fallback * max(0, 1-float64(now-h.takenFrom)/float64(h.set.Fades))
}

// Granted tells whether what may be used was granted, and is no fallback.
func (h *Holder) Granted(limit string, now time.Duration) bool {
	p, is := h.parts[limit]
	return is && now < p.until
}

// Leave gives all up; the next Renewal names nothing.
func (h *Holder) Leave() {
	for limit := range h.wants {
		h.Want(Want{Limit: limit})
	}
	h.fallback = 0
}
