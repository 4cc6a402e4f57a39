package routing

import (
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// purge is one purge: copies given out before issued are void; told is when the process heard of it, and heard when this
// core did, which is later where it was stalled.
type purge struct{ issued, told, heard time.Duration }

// purges holds those that may still matter, by object and by group.
type purges struct {
	objects map[decision.ObjectID][]purge
	groups  map[int][]purge
}

func newPurges() purges {
	return purges{objects: map[decision.ObjectID][]purge{}, groups: map[int][]purge{}}
}

// PurgeObject takes in a purge of one object.
func (d *Director) PurgeObject(object decision.ObjectID, issued time.Duration) {
	now := d.loop.Now()
	d.Counts.Purges++
	d.purges.objects[object] = append(d.purges.objects[object], purge{issued, d.toldAt(), now})
	d.feed(decision.Purge{Object: object, Age: max(0, now-issued)})
}

// PurgeGroup takes in a purge of a group of objects.
func (d *Director) PurgeGroup(group int, issued time.Duration) {
	now := d.loop.Now()
	d.Counts.Purges++
	d.purges.groups[group] = append(d.purges.groups[group], purge{issued, d.toldAt(), now})
	d.feed(decision.Purge{Group: group, ByGroup: true, Age: max(0, now-issued)})
}

func (p *purges) any(q *request, f func(purge) bool) bool {
	return slices.ContainsFunc(p.objects[q.Object], f) || slices.ContainsFunc(p.groups[q.Group], f)
}

// bind tells whether a purge that was told before a time voids a copy given out at since. Every purge is held, not
// just the last: one too new to bind must not hide one that does. Both times are whole milliseconds, so a copy of the
// purge's own millisecond may be the older; the module's age cap asks for a later one, too.
func (p *purges) bind(q *request, since, toldBefore time.Duration) bool {
	return p.any(q, func(x purge) bool { return x.told < toldBefore && since <= x.issued })
}

// toldSince tells whether this core has heard of a purge of the request's object after a time.
func (p *purges) toldSince(q *request, after time.Duration) bool {
	return p.any(q, func(x purge) bool { return x.heard > after })
}

// forget drops the purges told before a time.
func (p *purges) forget(before time.Duration) {
	forgetIn(p.objects, before)
	forgetIn(p.groups, before)
}

func forgetIn[K comparable](m map[K][]purge, before time.Duration) {
	for k, list := range m {
		list = slices.DeleteFunc(list, func(x purge) bool { return x.told < before })
		if len(list) == 0 {
			delete(m, k)
		} else {
			m[k] = list
		}
	}
}
