// Package observe decides what the board's observer believes of each box from what its connections do: up, not
// reachable, restarted and so cold, unknown. It is pure: the shell dials and pings as it is told, and tells what came.
package observe

import (
	"iter"
	"maps"
	"slices"
	"strconv"

	"stairvane.org/stairvane/internal/fleet"
)

// Settings are how often boxes are pinged, how long an answer may take, and after how many missing ones a box counts as
// not reachable. Times are in milliseconds.
type Settings struct {
	EveryMS, TimeoutMS int64
	Misses             int
}

// Action is what the shell is to do with a box: dial its address (giving up an older connection), or ping on the
// connection that it has.
type Action struct {
	Host    string
	Address string // to dial; empty: ping
	Tag     string // of the ping
}

// Watcher looks at boxes. It is not safe for concurrent use.
type Watcher struct {
	set   Settings
	boxes map[string]*watch
	tags  int64
}

// watch is what is known of one box.
type watch struct {
	name, address string
	seen          fleet.Observation
	connected     bool
	dialing       bool
	tag           string // of the ping that is out
	sentMS        int64  // of it, or of the dial
	nextMS        int64  // when to ping or dial again
	misses        int
	wasUp         bool // an answer has come since the box was declared
	// A process that is no more refuses connections, or its machine is silent and then knows nothing of the old one. A
	// connection that was cut while the next dial succeeds at once is the network's doing.
	lost, refused, silent bool
}

// New makes a watcher that looks at nothing yet.
func New(s Settings) *Watcher { return &Watcher{set: s, boxes: map[string]*watch{}} }

// Declare has a box looked at. One that has a new address, or is put in service anew, is not known yet.
func (w *Watcher) Declare(name, address string, anew bool, nowMS int64) {
	if b := w.boxes[name]; b != nil && b.address == address && !anew {
		return
	}
	w.boxes[name] = &watch{name: name, address: address, seen: fleet.Observation{Sight: fleet.Unknown, SinceMS: nowMS}, nextMS: nowMS}
}

// Forget ends looking at a box.
func (w *Watcher) Forget(name string) { delete(w.boxes, name) }

// Known tells whether a box is looked at at this address.
func (w *Watcher) Known(name, address string) bool {
	b := w.boxes[name]
	return b != nil && b.address == address
}

// Seen are the observations, by box name.
func (w *Watcher) Seen() iter.Seq2[string, fleet.Observation] {
	return func(yield func(string, fleet.Observation) bool) {
		for name, b := range w.boxes {
			if !yield(name, b.seen) {
				return
			}
		}
	}
}

// Look tells what was seen of one box.
func (w *Watcher) Look(name string) fleet.Observation {
	if b := w.boxes[name]; b != nil {
		return b.seen
	}
	return fleet.Observation{Sight: fleet.Unknown}
}

// Connected tells that a dialled connection is up.
func (w *Watcher) Connected(name string, nowMS int64) []Action {
	b := w.boxes[name]
	if b == nil {
		return nil
	}
	b.dialing, b.connected = false, true
	return w.ping(b, nowMS)
}

func (w *Watcher) ping(b *watch, nowMS int64) []Action {
	w.tags++
	b.tag, b.sentMS, b.nextMS = "o"+strconv.FormatInt(w.tags, 36), nowMS, nowMS+w.set.EveryMS
	return []Action{{Host: b.name, Tag: b.tag}}
}

// Lost tells that a connection ended or did not come up; refused: the other end said that nobody listens.
func (w *Watcher) Lost(name string, refused bool, nowMS int64) {
	b := w.boxes[name]
	if b == nil {
		return
	}
	if b.connected {
		b.lost = true
		b.nextMS = nowMS // at once: whether this is refused tells a dead process from a cut connection
	} else {
		b.refused = b.refused || refused
		w.miss(b, nowMS)
		b.nextMS = nowMS + min(w.set.EveryMS, w.set.TimeoutMS)
	}
	b.connected, b.dialing, b.tag = false, false, ""
}

// Pong tells that a ping was answered. It reports whether the observation changed.
func (w *Watcher) Pong(name, tag string, nowMS int64) bool {
	b := w.boxes[name]
	if b == nil || b.tag != tag {
		return false
	}
	before := b.seen
	b.tag, b.misses = "", 0
	if b.wasUp && b.lost && (b.refused || b.silent) {
		b.seen.RestartedMS = nowMS
	}
	b.lost, b.refused, b.silent, b.wasUp = false, false, false, true
	w.see(b, fleet.Up, nowMS)
	return b.seen != before
}

func (w *Watcher) miss(b *watch, nowMS int64) {
	b.misses++
	if b.misses >= w.set.Misses {
		b.silent = true
		w.see(b, fleet.Unreachable, nowMS)
	}
}

func (w *Watcher) see(b *watch, s fleet.Sight, nowMS int64) {
	if b.seen.Sight != s {
		b.seen.Sight, b.seen.SinceMS = s, nowMS
	}
}

// Tick tells the time. The connection of a silent box is kept: if it answers there again, it has not restarted.
func (w *Watcher) Tick(nowMS int64) (do []Action) {
	for _, name := range slices.Sorted(maps.Keys(w.boxes)) {
		b := w.boxes[name]
		if b.tag != "" && nowMS >= b.sentMS+w.set.TimeoutMS { // a dial's end is told by Connected or Lost
			w.miss(b, nowMS)
			b.tag = ""
			b.nextMS = min(b.nextMS, nowMS)
		}
		if b.tag != "" || b.dialing || nowMS < b.nextMS {
			continue
		}
		if b.connected {
			do = append(do, w.ping(b, nowMS)...)
			continue
		}
		b.dialing, b.sentMS, b.nextMS = true, nowMS, nowMS+w.set.EveryMS
		do = append(do, Action{Host: b.name, Address: b.address})
	}
	return do
}
