package replica

import "time"

// Lease allows a replica or a relay to serve watchers. While a lease is in force, either the
// holder's events are no older than the lease length, or the leader knows that the holder may be
// behind. Times are monotonic readings of the owner's own clock and are never compared with those
// of another clock.
type Lease struct {
	Length time.Duration
	Drift  float64 // maximum relative difference in rate between two clocks; 0.02 means 2 %
}

// maxValidity returns how long a lessor must wait until a lease that it granted, or that an earlier
// leader may have granted, has expired. The clocks of both sides may drift in opposite directions.
func (l Lease) maxValidity() time.Duration {
	return time.Duration(float64(l.Length) * (1 + 2*l.Drift))
}

// LeaseHolder is the holder's side of a lease. The zero LeaseHolder has no lease.
type LeaseHolder struct{ expiresAt time.Duration }

// Renew records a granted lease. The lease runs from requestedAt, the time at which the holder sent
// its request.
func (h *LeaseHolder) Renew(l Lease, requestedAt time.Duration) {
	h.expiresAt = max(h.expiresAt, requestedAt+l.Length)
}

// Release ends the lease.
func (h *LeaseHolder) Release() { h.expiresAt = 0 }

// HasLease reports whether the lease is in force.
func (h *LeaseHolder) HasLease(now time.Duration) bool { return now < h.expiresAt }

// Lessor is the leader's side of the leases. It records the holders and the revisions that the
// holders' watchers have acknowledged.
type Lessor struct {
	lease       Lease
	isLeader    bool
	leaderSince time.Duration
	grants      map[uint64]*grant // by disk of a replica or session of a relay
}

// grant is a granted lease: the revision that its holder reported last, and the time until which
// the holder may serve watchers.
type grant struct {
	acknowledged int64
	expiresAt    time.Duration
}

// NewLessor returns a lessor for a replica that is not the leader.
func NewLessor(l Lease) *Lessor { return &Lessor{lease: l, grants: map[uint64]*grant{}} }

// SetLeader records whether this replica is the leader. Becoming the leader deletes all grants and
// starts the wait for the leases of the earlier leader.
func (l *Lessor) SetLeader(isLeader bool, now time.Duration) {
	if isLeader && !l.isLeader {
		l.leaderSince = now
		clear(l.grants)
	}
	l.isLeader = isLeader
}

// Grant records a lease that was granted at now. holder is the disk of a replica or the session of
// a relay; acknowledged is the lowest revision that the holder's watchers have acknowledged.
func (l *Lessor) Grant(holder uint64, acknowledged int64, now time.Duration) {
	l.grants[holder] = &grant{acknowledged: acknowledged, expiresAt: now + l.lease.maxValidity()}
}

// Acknowledged returns the revision up to which all watchers have acknowledged the events. own is
// that revision for the leader's own watchers. Watchers of a holder whose lease has expired
// reconnect elsewhere; after a further departedAfter they count as having acknowledged all events,
// as watchers that disconnected do. A new leader returns 0 until the leases that its predecessor
// may have granted have expired.
func (l *Lessor) Acknowledged(own int64, now, departedAfter time.Duration) int64 {
	if !l.isLeader || now < l.leaderSince+l.lease.maxValidity() {
		return 0
	}
	lowest := own
	for holder, g := range l.grants {
		if now >= g.expiresAt+departedAfter {
			delete(l.grants, holder)
			continue
		}
		lowest = min(lowest, g.acknowledged)
	}
	return lowest
}

// ActiveLease describes a lease that is in force.
type ActiveLease struct {
	Acknowledged int64
	Remaining    time.Duration
}

// ActiveLeases returns the leases that are in force, by disk of a replica or session of a relay.
func (l *Lessor) ActiveLeases(now time.Duration) map[uint64]ActiveLease {
	active := map[uint64]ActiveLease{}
	for holder, g := range l.grants {
		if now < g.expiresAt {
			active[holder] = ActiveLease{Acknowledged: g.acknowledged, Remaining: g.expiresAt - now}
		}
	}
	return active
}
