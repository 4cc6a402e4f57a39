package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

// reconcileEvery is how often the whole roll is compared with what is known; in between, only what has changed is.
const reconcileEvery = time.Second

// Change is what the next event must change of the members in f; nil if nothing, or if it is too soon. A director under the name
// of another joins only with that one gone: it has ended it.
func (r *Tracker) Change(f fleet.Fleet, now time.Duration) *fleet.MembershipChange {
	r.expireSessions(now)
	if now-r.changed < r.set.Gather {
		return nil
	}
	r.removeGone(now)
	if now-r.reconciled >= reconcileEvery {
		r.reconcile(f)
		r.reconciled = now
	}
	c := &fleet.MembershipChange{Left: r.gone(f)}
	c.Joined = r.joined(f)
	if len(c.Left)+len(c.Joined) == 0 {
		return nil
	}
	return c
}

// removeGone forgets directors that have left or whose leases are over.
func (r *Tracker) removeGone(now time.Duration) {
	for id, d := range r.alone {
		switch {
		case d.leaving:
			r.left[id] = now
			r.remove(id)
		case r.isGone(d, now):
			r.remove(id)
			if len(r.names[d.Name]) == 0 {
				r.lost[d.Name] = Lost{Director: d.Director, Since: d.lastContact(), Applied: d.applied}
			}
		}
	}
	maps.DeleteFunc(r.left, func(_ string, since time.Duration) bool { return now-since > leftFor })
}

// isGone tells whether the lease of a director without a session is over wherever it may have called. Within its lease it may
// have gone on to another relay, which has not said so yet: so the picture of each relay must reach the lease's end.
func (r *Tracker) isGone(d *director, now time.Duration) bool {
	// At first a relay may serve it that only the leader before this one knew.
	over := max(d.over, d.contact+r.set.gone(d), r.begun+r.set.relayed())
	// A replica that it went on to is given as much time as where it came from a replica.
	if now <= over || now <= d.over+r.set.drifted(r.set.Lease-r.set.Director) {
		return false
	}
	for _, s := range r.sessions {
		if s.covered < over {
			return false
		}
	}
	return true
}

// reconcile compares the whole roll with what is known.
func (r *Tracker) reconcile(f fleet.Fleet) {
	for d := range f.Directors() {
		id := d.ID()
		switch known := r.known[id]; {
		case known == nil:
			r.removed[id] = true
		case known.Director != *d:
			r.dirty[id] = true
		}
	}
	for id := range r.known {
		if f.Director(id) == nil {
			r.dirty[id] = true
		}
	}
}

// gone are the directors on the roll that are not known any more, by ID.
func (r *Tracker) gone(f fleet.Fleet) (ids []string) {
	for id := range r.removed {
		if f.Director(id) == nil {
			delete(r.removed, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// joined are the directors that are not on the roll as they are, one a name, by ID.
func (r *Tracker) joined(f fleet.Fleet) (all []fleet.Director) {
	first := map[string]*director{}
	for id := range r.dirty {
		d, member := r.known[id], f.Director(id)
		switch {
		case member != nil && *member == d.Director:
			delete(r.dirty, id)
		case member == nil && r.another(f, d):
			// Both speak under one name. The one on the roll keeps its place until it is gone: it may hold claims.
		case first[d.Name] == nil || cmp.Or(cmp.Compare(d.lastContact(), first[d.Name].lastContact()), cmp.Compare(id, first[d.Name].ID())) > 0:
			first[d.Name] = d
		}
	}
	for _, d := range first {
		all = append(all, d.Director)
	}
	slices.SortFunc(all, func(a, b fleet.Director) int { return cmp.Compare(a.ID(), b.ID()) })
	return all
}

// another tells whether the roll has another process of this one's name that is not gone.
func (r *Tracker) another(f fleet.Fleet, d *director) bool {
	return slices.ContainsFunc(r.names[d.Name], func(o *director) bool { return o != d && f.Director(o.ID()) != nil })
}
