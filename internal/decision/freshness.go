package decision

import (
	"maps"
	"time"
)

// Freshness decides how old a cached object may be that answers a request: no older than its
// class's FreshFor, and not from before the last purge of the object or its group. A purge also
// closes the fills that it covers, so that no later request shares what was fetched before it.

// purgeMemory is for how many times Settings.PurgeDone a purge is remembered: a fill that began
// before it may end late.
const purgeMemory = 2

// purgeResolution is added to a purge's time, so that an object that was cached in the same instant
// counts as purged.
const purgeResolution = time.Millisecond

// purgeLog holds the clock time of the last purge of each object and group.
type purgeLog struct {
	objects map[ObjectID]time.Duration
	groups  map[int]time.Duration
}

func newPurgeLog() purgeLog {
	return purgeLog{objects: map[ObjectID]time.Duration{}, groups: map[int]time.Duration{}}
}

// record notes a purge that was made at a time.
func (l *purgeLog) record(p Purge, at time.Duration) {
	if p.ByGroup {
		recordLater(l.groups, p.Group, at)
	} else {
		recordLater(l.objects, p.Object, at)
	}
}

func recordLater[K comparable](times map[K]time.Duration, key K, at time.Duration) {
	if known, ok := times[key]; !ok || at > known {
		times[key] = at
	}
}

// last is when an object or its group was last purged; ok is false if no purge is remembered.
func (l *purgeLog) last(object ObjectID, group int) (at time.Duration, ok bool) {
	objectAt, objectPurged := l.objects[object]
	groupAt, groupPurged := l.groups[group]
	if !objectPurged || groupPurged && groupAt > objectAt {
		return groupAt, groupPurged
	}
	return objectAt, true
}

// forget drops the purges from before a time.
func (l *purgeLog) forget(before time.Duration) {
	maps.DeleteFunc(l.objects, func(_ ObjectID, at time.Duration) bool { return at < before })
	maps.DeleteFunc(l.groups, func(_ int, at time.Duration) bool { return at < before })
}

// purge takes in a purge.
func (r *Router) purge(e Purge) {
	r.purges.record(e, r.now-e.Age)
	r.fills.closePurged(e)
}

// maxAge is the age of the oldest cached object that may answer a request; 0: any age.
func (r *Router) maxAge(q *request) time.Duration {
	age := r.class(q).FreshFor
	purgedAt, ok := r.purges.last(q.Object, q.PurgeGroup)
	if !ok {
		return age
	}
	sincePurge := max(r.now-purgedAt-purgeResolution, purgeResolution) // 0 would allow any age
	if age == 0 || sincePurge < age {
		return sincePurge
	}
	return age
}
