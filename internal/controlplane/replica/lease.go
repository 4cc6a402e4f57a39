package replica

import "time"

// Lease allows a replica or a relay to serve watchers: within it the holder's events are no older than the lease, or else the
// leader knows that the holder may be behind. Times are monotonic, each on its owner's clock, and never compared with another's.
type Lease struct {
	Length time.Duration
	Drift  float64 // by which a clock may run apart from another, as a share; 0.02: by 2 %
}

// Waits is how long a lessor waits until a lease that it gave, or that a leader before it may have given, is over.
func (l Lease) Waits() time.Duration {
	return time.Duration(float64(l.Length) * (1 + 2*l.Drift))
}

// Holder is the side of the one that serves watchers. The zero Holder has no lease.
type Holder struct{ until time.Duration }

// Got records a lease that was requested at a moment: it counts from before the request.
func (h *Holder) Got(l Lease, asked time.Duration) { h.until = max(h.until, asked+l.Length) }

// End gives up the lease.
func (h *Holder) End() { h.until = 0 }

// Until is when the lease is over.
func (h *Holder) Until() time.Duration { return h.until }

// Holds reports whether the lease is in force.
func (h *Holder) Holds(now time.Duration) bool { return now < h.until }

// Lessor is the leader's side: who holds a lease, and what their watchers have acknowledged.
type Lessor struct {
	lease  Lease
	led    time.Duration // since when the copy leads
	leads  bool
	grants map[uint64]*grant
}

// grant is what a holder reported last, and until when it may serve watchers.
type grant struct {
	acknowledged int64
	until        time.Duration
}

// NewLessor makes the lessor of a replica that does not lead.
func NewLessor(l Lease) *Lessor { return &Lessor{lease: l, grants: map[uint64]*grant{}} }

// Lead begins or ends a time of leadership.
func (g *Lessor) Lead(leads bool, now time.Duration) {
	if leads && !g.leads {
		g.led = now
		clear(g.grants)
	}
	g.leads = leads
}

// Give records a lease once it is granted: it counts from after that. acknowledged is the lowest revision that the holder's
// watchers have acknowledged.
func (g *Lessor) Give(disk uint64, acknowledged int64, now time.Duration) {
	g.grants[disk] = &grant{acknowledged: acknowledged, until: now + g.lease.Waits()}
}

// Acknowledged is the lowest revision that all watchers have acknowledged, given that of the leader's own watchers. Watchers of a
// holder whose lease has ended reconnect elsewhere; after a further time, within, they count as having acknowledged, as any do
// that left. In a leader's first moments nothing counts as acknowledged: it does not know the leases of the leader before it.
func (g *Lessor) Acknowledged(own int64, now, within time.Duration) int64 {
	if !g.leads || now < g.led+g.lease.Waits() {
		return 0
	}
	for disk, h := range g.grants {
		if now >= h.until+within {
			delete(g.grants, disk)
			continue
		}
		own = min(own, h.acknowledged)
	}
	return own
}

// Held lists the leases in force, by the disk of a replica or the session of a relay.
func (g *Lessor) Held(now time.Duration) map[uint64]Held {
	out := map[uint64]Held{}
	for disk, h := range g.grants {
		if now < h.until {
			out[disk] = Held{Acknowledged: h.acknowledged, Left: h.until - now}
		}
	}
	return out
}

// Held is a lease in force.
type Held struct {
	Acknowledged int64
	Left         time.Duration
}
