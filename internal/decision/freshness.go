package decision

import (
	"maps"
	"time"
)

// Freshness: a cached object may serve a request if it is no older than FreshFor of the request's
// class and was cached after the last purge of the object and of its group. A purge also closes the
// fills that it covers, so that later requests do not share data that was fetched before the purge.

// purgeRetentionFactor times Settings.PurgeDone is how long a purge is retained: a fill that started
// before the purge may end long after it.
const purgeRetentionFactor = 2

// purgeResolution is added to the time of a purge, so that an object that was cached at the same
// instant counts as purged.
const purgeResolution = time.Millisecond

// purgeLog records the clock time of the last purge of each object and group.
type purgeLog struct {
	objects map[ObjectID]time.Duration
	groups  map[int]time.Duration
}

func newPurgeLog() purgeLog {
	return purgeLog{objects: map[ObjectID]time.Duration{}, groups: map[int]time.Duration{}}
}

// record adds a purge that was issued at the given clock time.
func (l *purgeLog) record(p Purge, at time.Duration) {
	if p.ByGroup {
		recordIfLater(l.groups, p.Group, at)
	} else {
		recordIfLater(l.objects, p.Object, at)
	}
}

// recordIfLater sets the time of a key unless a later one is recorded.
func recordIfLater[K comparable](times map[K]time.Duration, key K, at time.Duration) {
	if known, ok := times[key]; !ok || at > known {
		times[key] = at
	}
}

// lastPurgedAt returns the clock time of the last purge of an object or its group; ok is false if no
// purge is recorded.
func (l *purgeLog) lastPurgedAt(object ObjectID, group int) (at time.Duration, ok bool) {
	objectAt, objectPurged := l.objects[object]
	groupAt, groupPurged := l.groups[group]
	if !objectPurged || groupPurged && groupAt > objectAt {
		return groupAt, groupPurged
	}
	return objectAt, true
}

// expireBefore removes the purges that were issued before the cutoff, a clock time.
func (l *purgeLog) expireBefore(cutoff time.Duration) {
	maps.DeleteFunc(l.objects, func(_ ObjectID, at time.Duration) bool { return at < cutoff })
	maps.DeleteFunc(l.groups, func(_ int, at time.Duration) bool { return at < cutoff })
}

// handlePurge records a purge and closes the fills that it covers.
func (r *Router) handlePurge(e Purge) {
	r.purges.record(e, r.now-e.Age)
	r.fills.closePurged(e)
}

// maxAge returns the maximum age of a cached object that may serve a request; 0 means any age.
func (r *Router) maxAge(q *request) time.Duration {
	age := r.class(q).FreshFor
	purgedAt, ok := r.purges.lastPurgedAt(q.Object, q.PurgeGroup)
	if !ok {
		return age
	}
	sincePurge := max(r.now-purgedAt-purgeResolution, purgeResolution) // 0 would allow any age
	if age == 0 || sincePurge < age {
		return sincePurge
	}
	return age
}
