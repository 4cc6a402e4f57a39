package routing

import (
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// purge invalidates responses that were generated before it was issued.
type purge struct {
	issued     time.Duration // in Unix time
	notifiedAt time.Duration // when it reached the process
	receivedAt time.Duration // when it reached this core, which is later if the core was stalled
}

// purgeLog holds the purges that can still affect a response, by object and by purge group.
type purgeLog struct {
	objects map[decision.ObjectID][]purge
	groups  map[int][]purge
}

func newPurgeLog() purgeLog {
	return purgeLog{objects: map[decision.ObjectID][]purge{}, groups: map[int][]purge{}}
}

// PurgeObject applies a purge of one object. issued is in Unix time.
func (d *Director) PurgeObject(object decision.ObjectID, issued time.Duration) {
	p := d.newPurge(issued)
	d.purges.objects[object] = append(d.purges.objects[object], p)
	d.handleEvent(decision.Purge{Object: object, Age: max(0, p.receivedAt-issued)})
}

// PurgeGroup applies a purge of a group of objects. issued is in Unix time.
func (d *Director) PurgeGroup(group int, issued time.Duration) {
	p := d.newPurge(issued)
	d.purges.groups[group] = append(d.purges.groups[group], p)
	d.handleEvent(decision.Purge{Group: group, ByGroup: true, Age: max(0, p.receivedAt-issued)})
}

func (d *Director) newPurge(issued time.Duration) purge {
	d.Counters.Purges++
	return purge{issued: issued, notifiedAt: d.notificationTime(), receivedAt: d.loop.Now()}
}

func (l *purgeLog) anyMatches(q *clientRequest, f func(purge) bool) bool {
	return slices.ContainsFunc(l.objects[q.Object], f) || slices.ContainsFunc(l.groups[q.PurgeGroup], f)
}

// invalidates reports whether a purge that reached the process before notifiedBefore invalidates a response generated at
// generatedAt. All purges are checked: one that is too recent to be enforced must not hide an older one. The times of the
// purge and of the response are rounded to milliseconds, so a response generated in the same millisecond as the purge may
// predate it.
func (l *purgeLog) invalidates(q *clientRequest, generatedAt, notifiedBefore time.Duration) bool {
	return l.anyMatches(q, func(p purge) bool { return p.notifiedAt < notifiedBefore && generatedAt <= p.issued })
}

// receivedSince reports whether this core received a purge that covers the request after the given time.
func (l *purgeLog) receivedSince(q *clientRequest, after time.Duration) bool {
	return l.anyMatches(q, func(p purge) bool { return p.receivedAt > after })
}

// expire removes the purges that reached the process before the given time.
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
