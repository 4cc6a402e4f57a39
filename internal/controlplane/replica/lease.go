package replica

import "time"

// Lease allows a replica or a relay to serve watchers: within it the holder's events are no older
// than the lease, or else the leader knows that the holder may be behind. Times are monotonic, each
// on its owner's clock, and never compared with another's.
type Lease struct {
	Length time.Duration
	Drift  float64 // share by which two clocks may run apart; 0.02: by 2 %
}

// maxValidity returns how long a lessor must wait until a lease that it granted, or that a leader
// before it may have granted, is over. Both clocks may drift, in opposite directions.
func (l Lease) maxValidity() time.Duration {
	return time.Duration(float64(l.Length) * (1 + 2*l.Drift))
}

// LeaseHolder is the side of the one that serves watchers under a lease. The zero Holder has no lease.
type LeaseHolder struct{ until time.Duration }

// Renew records a lease that was granted on a request sent at a moment: it counts from that moment
// on.
func (h *LeaseHolder) Renew(l Lease, requestedAt time.Duration) {
	h.until = max(h.until, requestedAt+l.Length)
}

// Release gives up the lease.
func (h *LeaseHolder) Release() { h.until = 0 }

// HasLease reports whether the lease is in force.
func (h *LeaseHolder) HasLease(now time.Duration) bool { return now < h.until }

// Lessor is the leader's side: it records who holds a lease, and what the holders' watchers have
// acknowledged.
type Lessor struct {
	lease       Lease
	isLeader    bool
	leaderSince time.Duration
	grants      map[uint64]*grant // by the disk of a replica or the session of a relay
}

// grant is what a holder reported last, and until when it may serve watchers.
type grant struct {
	acknowledged int64
	until        time.Duration
}

// NewLessor makes the lessor of a replica that does not lead.
func NewLessor(l Lease) *Lessor { return &Lessor{lease: l, grants: map[uint64]*grant{}} }

// SetLeader begins or ends a time of leadership.
func (l *Lessor) SetLeader(isLeader bool, now time.Duration) {
	if isLeader && !l.isLeader {
		l.leaderSince = now
		clear(l.grants)
	}
	l.isLeader = isLeader
}

// Grant records a lease after it was granted. holder is the disk of a replica or the session of a
// relay; acknowledged is the lowest revision that the holder's watchers have acknowledged.
func (l *Lessor) Grant(holder uint64, acknowledged int64, now time.Duration) {
	l.grants[holder] = &grant{acknowledged: acknowledged, until: now + l.lease.maxValidity()}
}

// Acknowledged returns the lowest revision that all watchers have acknowledged, given that of the
// leader's own watchers. Watchers of a holder whose lease has ended reconnect elsewhere; after a
// further time, departedAfter, they count as having acknowledged, as any do that left. A new leader
// returns 0 until the leases that the leader before it may have granted are over.
func (l *Lessor) Acknowledged(own int64, now, departedAfter time.Duration) int64 {
	if !l.isLeader || now < l.leaderSince+l.lease.maxValidity() {
		return 0
	}
	lowest := own
	for holder, g := range l.grants {
		if now >= g.until+departedAfter {
			delete(l.grants, holder)
			continue
		}
		lowest = min(lowest, g.acknowledged)
	}
	return lowest
}

// ActiveLease is a lease in force.
type ActiveLease struct {
	Acknowledged int64
	Remaining    time.Duration
}

// ActiveLeases returns the leases in force, by the disk of a replica or the session of a relay.
func (l *Lessor) ActiveLeases(now time.Duration) map[uint64]ActiveLease {
	active := map[uint64]ActiveLease{}
	for holder, g := range l.grants {
		if now < g.until {
			active[holder] = ActiveLease{Acknowledged: g.acknowledged, Remaining: g.until - now}
		}
	}
	return active
}
