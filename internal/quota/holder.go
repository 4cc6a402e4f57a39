package quota

import "time"

// Holder is a director's side. It is not safe for concurrent use.
type Holder struct {
	set    Settings
	id     string
	seq    uint64
	epoch  int64
	taken  uint64
	asked  map[uint64]time.Duration // when each beat that may still be answered was made
	parts  map[string]part
	wants  map[string]Want
	gaveUp map[string]uint64 // the last beat before each limit was given up: grants up to it count no more
	back   float64           // what it may fall back to
	backed time.Duration     // since when that fades
}

type part struct {
	share float64
	until time.Duration
}

// NewHolder makes a holder that has nothing.
func NewHolder(id string, set Settings) *Holder {
	return &Holder{set: set, id: id, asked: map[uint64]time.Duration{}, parts: map[string]part{}, wants: map[string]Want{}, gaveUp: map[string]uint64{}}
}

// Want sets what the holder wants of a limit. A demand of 0 gives it up.
func (h *Holder) Want(w Want) {
	if w.Demand <= 0 {
		if _, had := h.wants[w.Limit]; had {
			h.gaveUp[w.Limit] = h.seq
		}
		delete(h.wants, w.Limit)
		delete(h.parts, w.Limit) // before it is said: what was given back must not be used
		return
	}
	h.wants[w.Limit] = w
}

// Renewal is what is to be said now.
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

// Take takes a grant in. One for another holder, of an older granter, or before one that was taken, changes nothing.
func (h *Holder) Take(g Grant, now time.Duration) {
	asked, known := h.asked[g.Seq]
	if !known || g.Holder != h.id || g.Epoch < h.epoch || g.Epoch == h.epoch && g.Seq <= h.taken {
		return
	}
	h.epoch, h.taken = g.Epoch, g.Seq
	h.back, h.backed = g.Fallback, asked
	for _, p := range g.Parts {
		if _, wanted := h.wants[p.Limit]; wanted && g.Seq > h.gaveUp[p.Limit] {
			h.parts[p.Limit] = part{p.Part, asked + h.set.Lease}
		}
	}
}

// Part is what may be used of a limit at this moment: what was granted, or else what of the reserve was told to be its own,
// which fades. One that was never granted anything has neither. It must be looked at just before it is used.
func (h *Holder) Part(limit string, now time.Duration) float64 {
	if p, is := h.parts[limit]; is && now < p.until {
		return p.share
	}
	if h.wants[limit].Kind != Rate || h.set.Fades <= 0 {
		return 0
	}
	return h.back * max(0, 1-float64(now-h.backed)/float64(h.set.Fades))
}

// Granted tells whether what may be used was granted, and is no fallback.
func (h *Holder) Granted(limit string, now time.Duration) bool {
	p, is := h.parts[limit]
	return is && now < p.until
}

// Leave gives all up; what is in Beat then says so.
func (h *Holder) Leave() {
	for limit := range h.wants {
		h.Want(Want{Limit: limit})
	}
	h.back = 0
}
