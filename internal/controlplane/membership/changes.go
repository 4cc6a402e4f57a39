package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

// reconcileInterval is the time between two comparisons of all members with the known directors. A comparison iterates over the
// whole fleet, so only directors that have changed are compared in between.
const reconcileInterval = time.Second

// NextChange returns the next change to the members of f. It returns nil if there is nothing to change, or if less than
// Settings.BatchTime has passed since the last change was written. A director with the name of a current member joins only after that
// member has been removed.
func (t *Tracker) NextChange(f fleet.Fleet, now time.Duration) *fleet.MembershipChange {
	t.expireSessions(now)
	if now-t.lastChange < t.settings.BatchTime {
		return nil
	}
	t.removeExpired(now)
	if now-t.lastReconcile >= reconcileInterval {
		t.reconcile(f)
		t.lastReconcile = now
	}
	c := &fleet.MembershipChange{Left: t.leftMembers(f), Joined: t.joinedMembers(f)}
	if len(c.Left)+len(c.Joined) == 0 {
		return nil
	}
	return c
}

// removeExpired removes directors that have left or whose leases have expired.
func (t *Tracker) removeExpired(now time.Duration) {
	for id, d := range t.withoutSession {
		switch {
		case d.leaving:
			t.left[id] = now
			t.remove(id)
		case t.isExpired(d, now):
			t.remove(id)
			if len(t.byName[d.Name]) == 0 {
				t.lost[d.Name] = Lost{Director: d.Director, Since: d.lastContact(), Applied: d.applied}
			}
		}
	}
	maps.DeleteFunc(t.left, func(_ string, since time.Duration) bool { return now-since > leftExpiry })
}

// isExpired reports whether the lease of a director without a session has expired, regardless of which process the director called
// last. Within its lease, a director may have moved to another relay that has not reported it yet, so the updates of every relay
// must cover the time up to the end of the lease.
func (t *Tracker) isExpired(d *director, now time.Duration) bool {
	// The last term accounts for a director whose relay was known only to the previous leader.
	leaseEnd := max(d.relayLeaseEnd, d.directContact+t.settings.silenceTimeout(d), t.resetAt+t.settings.relayedLeaseDuration())
	// The director may have moved from a relay to a replica, which grants a longer lease.
	if now <= leaseEnd || now <= d.relayLeaseEnd+t.settings.withDrift(t.settings.Lease-t.settings.DirectorLease) {
		return false
	}
	for _, s := range t.sessions {
		if s.coveredUntil < leaseEnd {
			return false
		}
	}
	return true
}

// reconcile compares all members with the known directors.
func (t *Tracker) reconcile(f fleet.Fleet) {
	for d := range f.Directors() {
		id := d.ID()
		switch known := t.directors[id]; {
		case known == nil:
			t.removed[id] = true
		case known.Director != *d:
			t.dirty[id] = true
		}
	}
	for id := range t.directors {
		if f.Director(id) == nil {
			t.dirty[id] = true
		}
	}
}

// leftMembers returns the sorted IDs of the members that are no longer known.
func (t *Tracker) leftMembers(f fleet.Fleet) []string {
	var ids []string
	for id := range t.removed {
		if f.Director(id) == nil {
			delete(t.removed, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// joinedMembers returns the directors that are not members yet, or whose descriptions have changed, sorted by ID. If several
// directors share a name, it returns only the one with the latest contact.
func (t *Tracker) joinedMembers(f fleet.Fleet) []fleet.Director {
	latest := map[string]*director{} // by name
	for id := range t.dirty {
		d := t.directors[id]
		member := f.Director(id)
		switch {
		case member != nil && *member == d.Director:
			delete(t.dirty, id)
		case member == nil && t.hasOtherProcess(f, d):
		// The current member must be removed first: it may hold claims.
		case latest[d.Name] == nil || d.isLaterThan(latest[d.Name]):
			latest[d.Name] = d
		}
	}
	var all []fleet.Director
	for _, d := range latest {
		all = append(all, d.Director)
	}
	slices.SortFunc(all, func(a, b fleet.Director) int { return cmp.Compare(a.ID(), b.ID()) })
	return all
}

// isLaterThan reports whether the director's last contact is later than the other director's. The ID breaks ties.
func (d *director) isLaterThan(other *director) bool {
	return cmp.Or(cmp.Compare(d.lastContact(), other.lastContact()), cmp.Compare(d.ID(), other.ID())) > 0
}

// hasOtherProcess reports whether another process with the director's name is a member and has not been removed.
func (t *Tracker) hasOtherProcess(f fleet.Fleet, d *director) bool {
	return slices.ContainsFunc(t.byName[d.Name], func(o *director) bool { return o != d && f.Director(o.ID()) != nil })
}
