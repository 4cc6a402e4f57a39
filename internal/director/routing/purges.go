package routing

import (
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// purge invalidates all responses that were generated before it was issued.
type purge struct {
	issued     time.Duration // in Unix time
	notifiedAt time.Duration // when it reached the process
	receivedAt time.Duration // when it reached this core, which is later than notifiedAt if the core was stalled
}

// purgeLog stores the purges that may still affect a response, by object and by purge group.
type purgeLog struct {
	objects map[decision.ObjectID][]purge
	groups  map[int][]purge
}

func newPurgeLog() purgeLog {
	return purgeLog{objects: map[decision.ObjectID][]purge{}, groups: map[int][]purge{}}
}

// PurgeObject applies a purge of an object. issued is in Unix time.
func (d *Director) PurgeObject(object decision.ObjectID, issued time.Duration) {
	p := d.newPurge(issued)
	d.purges.objects[object] = append(d.purges.objects[object], p)
	d.handle(decision.Purge{Object: object, Age: max(0, p.receivedAt-issued)})
}

// PurgeGroup applies a purge of a group of objects. issued is in Unix time.
func (d *Director) PurgeGroup(group int, issued time.Duration) {
	p := d.newPurge(issued)
	d.purges.groups[group] = append(d.purges.groups[group], p)
	d.handle(decision.Purge{Group: group, ByGroup: true, Age: max(0, p.receivedAt-issued)})
}

func (d *Director) newPurge(issued time.Duration) purge {
	d.Counters.Purges++
	return purge{issued: issued, notifiedAt: d.notificationTime(), receivedAt: d.loop.Now()}
}

func (l *purgeLog) anyMatches(q *clientRequest, f func(purge) bool) bool {
	return slices.ContainsFunc(l.objects[q.Object], f) || slices.ContainsFunc(l.groups[q.PurgeGroup], f)
}

// invalidates reports whether a purge that reached the process before notifiedBefore invalidates a response that was
// generated at generatedAt. All purges are checked: one that is too new to be enforced must not hide an older one. The
// times of generation and of the purge are rounded to milliseconds, so a response generated in the same millisecond as the
// purge may be older than it and is invalidated as well.
func (l *purgeLog) invalidates(q *clientRequest, generatedAt, notifiedBefore time.Duration) bool {
	return l.anyMatches(q, func(p purge) bool { return p.notifiedAt < notifiedBefore && generatedAt <= p.issued })
}

// receivedSince reports whether this core received a purge of the request's object or purge group after the given time.
func (l *purgeLog) receivedSince(q *clientRequest, after time.Duration) bool {
	return l.anyMatches(q, func(p purge) bool { return p.receivedAt > after })
}

// expire drops the purges that reached the process before the given time.
func (l *purgeLog) expire(before time.Duration) {
	expireIn(l.objects, before)
	expireIn(l.groups, before)
}

func expireIn[K comparable](m map[K][]purge, before time.Duration) {
	for key, list := range m {
		list = slices.DeleteFunc(list, func(p purge) bool { return p.notifiedAt < before })
		if len(list) == 0 {
			delete(m, key)
		} else {
			m[key] = list
		}
	}
}
