package routing

import (
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// purge voids what was generated before it was issued.
type purge struct {
	issued     time.Duration // in Unix time
	notifiedAt time.Duration // when it reached the process
	receivedAt time.Duration // when it reached this core, which is later where the core was stalled
}

// purgeLog holds the purges that may still matter, by object and by purge group.
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

func (l *purgeLog) anyOf(q *clientRequest, f func(purge) bool) bool {
	return slices.ContainsFunc(l.objects[q.Object], f) || slices.ContainsFunc(l.groups[q.PurgeGroup], f)
}

// voids reports whether a purge that reached the process before a time voids what was generated at another. All purges
// are checked: one that is too new to hold must not hide an older one. Both times are rounded to milliseconds, so what was
// generated in the purge's own millisecond may be older than the purge.
func (l *purgeLog) voids(q *clientRequest, generatedAt, notifiedBefore time.Duration) bool {
	return l.anyOf(q, func(p purge) bool { return p.notifiedAt < notifiedBefore && generatedAt <= p.issued })
}

// receivedSince reports whether this core received a purge of the request's object after a time.
func (l *purgeLog) receivedSince(q *clientRequest, after time.Duration) bool {
	return l.anyOf(q, func(p purge) bool { return p.receivedAt > after })
}

// forget drops the purges that reached the process before a time.
func (l *purgeLog) forget(before time.Duration) {
	forgetIn(l.objects, before)
	forgetIn(l.groups, before)
}

func forgetIn[K comparable](m map[K][]purge, before time.Duration) {
	for key, list := range m {
		list = slices.DeleteFunc(list, func(p purge) bool { return p.notifiedAt < before })
		if len(list) == 0 {
			delete(m, key)
		} else {
			m[key] = list
		}
	}
}
