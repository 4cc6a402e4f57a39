// Package history turns the event log into what watchers are sent: what they have missed, or the whole list where
// that is no longer kept. It is pure, and encodes each event once: answers are slices of what all followers share.
package eventlog

import (
	"fmt"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

// MaxAnswer bounds an answer in bytes; what is left over is in the next. A director takes 4 MB at most. The whole list
// can't be divided: it holds about 20,000 boxes.
const MaxAnswer = 1 << 20

// Log is the kept part of the history, encoded.
type Log struct {
	first int64 // number of items[0]
	items [][]byte
	rolls map[int64][]byte // by number: what those are told who announce themselves, where it differs
	fleet fleet.Fleet
	keep  int
	cache map[question]answer // until the next event
}

// question is what a follower asks: what comes after a number, and whether it announces itself.
type question struct {
	after     int64
	announced bool
}

type answer struct {
	parts [][]byte
	size  int
}

// New makes a log of events that begin with number first and lead to a fleet; keep is how many are held, at least.
func New(first int64, events []fleet.Event, f fleet.Fleet, keep int) (*Log, error) {
	l := &Log{first: first, fleet: f, keep: keep, rolls: map[int64][]byte{}, cache: map[question]answer{}}
	return l, l.add(events)
}

// Last is the number of the last event.
func (l *Log) Last() int64 { return l.fleet.Revision }

// Add appends events, which lead to a fleet.
func (l *Log) Add(events []fleet.Event, f fleet.Fleet) error {
	l.fleet = f
	clear(l.cache)
	return l.add(events)
}

func (l *Log) add(events []fleet.Event) error {
	for _, e := range events {
		if e.No != l.first+int64(len(l.items)) {
			return fmt.Errorf("history: event %d comes where %d is wanted", e.No, l.first+int64(len(l.items)))
		}
		item, err := discovery.EncodeEvent(DiscoveryEvent(e))
		if err != nil {
			return fmt.Errorf("history: event %d: %w", e.No, err)
		}
		l.items = append(l.items, item)
		if e.Membership != nil {
			told := DiscoveryEvent(e)
			told.Membership = rollChange(e)
			if l.rolls[e.No], err = discovery.EncodeEvent(told); err != nil {
				return fmt.Errorf("history: event %d: %w", e.No, err)
			}
		}
	}
	if over := len(l.items) - l.keep; over > l.keep/2+1000 { // seldom, so that it costs little for each event
		l.items = append([][]byte(nil), l.items[over:]...)
		l.first += int64(over)
		for no := range l.rolls {
			if no < l.first {
				delete(l.rolls, no)
			}
		}
	}
	return nil
}

// rollChange is a change of the roll as directors are told it.
func rollChange(e fleet.Event) *discovery.Membership {
	r := &discovery.Membership{Left: e.Membership.Left}
	for _, d := range e.Membership.Joined {
		r.Joined = append(r.Joined, discovery.Director(d))
	}
	for _, s := range e.Membership.Shards {
		t := discovery.Shard{Number: s.Shard, Replicas: s.Replicas, PreviousReplicas: s.PreviousReplicas, ReadyEpoch: s.ReadyEpoch}
		if s.ReadyEpoch == 0 {
			t.Epoch = e.No
		}
		r.Shards = append(r.Shards, t)
	}
	return r
}

// wholeRoll is the roll as it is now; nil if nobody was ever on it.
func (l *Log) wholeRoll() *discovery.Membership {
	d := l.fleet.Membership()
	if d == nil {
		return nil
	}
	r := &discovery.Membership{Snapshot: true}
	for _, x := range d.Directors {
		r.Joined = append(r.Joined, discovery.Director(*x))
	}
	for i, s := range d.Shards {
		r.Shards = append(r.Shards, discovery.Shard{Number: i, Epoch: s.Epoch, Replicas: s.Replicas, PreviousReplicas: s.PreviousReplicas})
	}
	return r
}

// HasMembership tells whether anybody was ever on the roll.
func (l *Log) HasMembership() bool { return l.fleet.Membership() != nil }

// DiscoveryEvent is an event as directors are told it. What concerns the board alone is a change of no host.
func DiscoveryEvent(e fleet.Event) discovery.Event {
	switch {
	case e.Purge != nil:
		return purge(e.No, *e.Purge)
	case e.Host != nil:
		return discovery.Event{Revision: e.No, Endpoints: &discovery.EndpointList{Sequence: e.No, Endpoints: []discovery.Endpoint{host(e.Host)}}}
	}
	return discovery.Event{Revision: e.No, Endpoints: &discovery.EndpointList{Sequence: e.No}}
}

func purge(no int64, p fleet.Purge) discovery.Event {
	return discovery.Event{Revision: no, Purge: &discovery.Purge{Object: p.Object, Group: p.Group, IssuedMS: float64(p.IssuedMS)}}
}

func host(m *fleet.Host) discovery.Endpoint {
	return discovery.Endpoint{
		Name: m.Name, Address: m.Address, Site: m.Site, Class: m.Class, Block: m.Block, Health: string(m.State),
		Share: m.Serving, BornMS: float64(m.BornMS),
	}
}

// Answer is the body for a follower that has the events up to after, in parts that must not be changed; nil if there is
// nothing newer. It is the same for all that ask alike. Those who announce themselves are told the roll too.
func (l *Log) Answer(after int64, announced bool) (parts [][]byte, size int, err error) {
	if after >= l.Last() {
		return nil, 0, nil
	}
	if a, ok := l.cache[question{after, announced}]; ok {
		return a.parts, a.size, nil
	}
	var items [][]byte
	last := l.Last()
	// The first answer a director gets carries the whole list, as does one to a director that was away for too long.
	if after == 0 || after+1 < l.first {
		items, err = l.whole(after, announced)
	} else {
		items = l.items[after+1-l.first:]
		if announced && len(l.rolls) > 0 {
			items = append([][]byte(nil), items...)
			for i := range items {
				if told := l.rolls[after+1+int64(i)]; told != nil {
					items[i] = told
				}
			}
		}
		sum := 0
		for i, item := range items {
			if sum += len(item) + 1; sum > MaxAnswer && i > 0 {
				items, last = items[:i], after+int64(i)
				break
			}
		}
	}
	if err != nil {
		return nil, 0, err
	}
	a := answer{parts: make([][]byte, 0, 2*len(items)+2)}
	a.parts = append(a.parts, discovery.Opening(last))
	for i, item := range items {
		if i > 0 {
			a.parts = append(a.parts, []byte{','})
		}
		a.parts = append(a.parts, item)
	}
	a.parts = append(a.parts, []byte(discovery.Closing))
	for _, p := range a.parts {
		a.size += len(p)
	}
	if len(a.parts) > 16 { // one write takes few parts
		joined := make([]byte, 0, a.size)
		for _, p := range a.parts {
			joined = append(joined, p...)
		}
		a.parts = [][]byte{joined}
	}
	l.cache[question{after, announced}] = a
	return a.parts, a.size, nil
}

// whole is the list as it is now, under the number of its last change, among the purges that the follower lacks, which
// keep theirs. A follower takes events by rising numbers alone.
func (l *Log) whole(after int64, announced bool) (items [][]byte, err error) {
	list := func() error {
		if l.fleet.EndpointRevision <= after {
			return nil
		}
		r := &discovery.EndpointList{Sequence: l.fleet.EndpointRevision, Snapshot: true}
		for m := range l.fleet.Hosts() {
			r.Endpoints = append(r.Endpoints, host(m))
		}
		item := discovery.Event{Revision: l.fleet.EndpointRevision, Endpoints: r}
		if announced {
			item.Membership = l.wholeRoll()
		}
		b, err := discovery.EncodeEvent(item)
		items = append(items, b)
		return err
	}
	listed := false
	for _, p := range l.fleet.PurgesAfter(after) {
		if p.No > l.fleet.EndpointRevision && !listed {
			if err := list(); err != nil {
				return nil, err
			}
			listed = true
		}
		b, err := discovery.EncodeEvent(purge(p.No, p.Purge))
		if err != nil {
			return nil, err
		}
		items = append(items, b)
	}
	if !listed {
		err = list()
	}
	return items, err
}
