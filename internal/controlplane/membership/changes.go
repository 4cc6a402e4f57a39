package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

// reconcileInterval is the time between two comparisons of all members with what is known, which cost a pass over the fleet. In
// between, only directors that have changed are compared.
const reconcileInterval = time.Second

// NextChange returns what the next membership event is to change of the members in f; nil if nothing, or if the last change was too
// short a time ago. A director under the name of a member joins only once the member is gone.
func (t *Tracker) NextChange(f fleet.Fleet, now time.Duration) *fleet.MembershipChange {
	t.expireSessions(now)
	if now-t.lastChange < t.set.Gather {
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

// removeExpired forgets directors that have left or whose leases are over.
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

// isExpired reports whether the lease of a director without a session is over, wherever the director may have called. Within its
// lease it may have gone on to another relay that has not reported it yet. So the updates of each relay must cover the lease's end.
func (t *Tracker) isExpired(d *director, now time.Duration) bool {
	// The last term: a relay may serve the director that only the leader before this one knew.
	leaseEnd := max(d.relayLeaseEnd, d.contact+t.set.silentUntilGone(d), t.beganAt+t.set.relayedLease())
	// It may have gone on from a relay to a replica, where its lease is longer.
	if now <= leaseEnd || now <= d.relayLeaseEnd+t.set.withDrift(t.set.Lease-t.set.DirectorLease) {
		return false
	}
	for _, s := range t.sessions {
		if s.coveredUntil < leaseEnd {
			return false
		}
	}
	return true
}

// reconcile compares all members with the directors that are known.
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

// leftMembers returns the sorted IDs of the members that are not known any more.
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

// joinedMembers returns the directors that are not members, or not as they describe themselves, sorted by ID. Of several under one
// name it is the one with the last contact.
func (t *Tracker) joinedMembers(f fleet.Fleet) []fleet.Director {
	latest := map[string]*director{} // by name
	for id := range t.dirty {
		d := t.directors[id]
		member := f.Director(id)
		switch {
		case member != nil && *member == d.Director:
			delete(t.dirty, id)
		case member == nil && t.hasOtherProcess(f, d):
			// The member stays until it is gone: it may hold claims.
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

// isLaterThan reports whether the director's last contact is later than that of another.
func (d *director) isLaterThan(other *director) bool {
	return cmp.Or(cmp.Compare(d.lastContact(), other.lastContact()), cmp.Compare(d.ID(), other.ID())) > 0
}

// hasOtherProcess reports whether another process of a director's name is a member and not gone.
func (t *Tracker) hasOtherProcess(f fleet.Fleet, d *director) bool {
	return slices.ContainsFunc(t.byName[d.Name], func(o *director) bool { return o != d && f.Director(o.ID()) != nil })
}
