// Package adoption keeps when each director took an event in, for the last events, and says of one how long that took over the
// fleet. It is pure: what was told, what was heard and the time come in. What was before it began to record is a gap and is
// shown as one.
package adoption

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Record is of one who leads. It is not safe for concurrent use.
type Record struct {
	keep   int64 // events
	first  int64 // the first event of which it can say anything; 0: none yet
	last   int64
	told   map[int64]time.Duration            // when each event was accepted, as it was seen here
	took   map[int64]map[string]time.Duration // when each director was heard to act by it first
	acts   map[string]int64
	gone   map[string]time.Duration // since when one that was heard of is not on the roll
	stale  map[string][]Stale       // directors that lag behind the relay that speaks for them, by that
	joined map[string]int64         // the event up to which a director had all when it was heard of first: of those before, nothing is known
}

// New makes a record of so many last events, that begins after an event.
func New(keep, after int64) *Record {
	return &Record{
		keep: keep, first: after + 1, last: after, told: map[int64]time.Duration{}, took: map[int64]map[string]time.Duration{},
		acts: map[string]int64{}, joined: map[string]int64{}, gone: map[string]time.Duration{}, stale: map[string][]Stale{},
	}
}

// Told tells that all events up to a number are accepted.
func (r *Record) Told(last int64, now time.Duration) {
	for ; r.last < last; r.last++ {
		r.told[r.last+1] = now
		delete(r.told, r.last+1-r.keep)
		delete(r.took, r.last+1-r.keep)
	}
	r.first = max(r.first, r.last-r.keep+1)
}

// Heard tells that a director acts by all events up to a number, at a moment. One that acts by more than is accepted follows
// another history; that is not recorded here.
func (r *Record) Heard(id string, acts int64, at time.Duration) {
	was, known := r.acts[id]
	if !known {
		r.joined[id] = acts
	}
	if acts <= was && known || acts > r.last {
		return
	}
	r.acts[id] = acts
	if !known {
		return
	}
	for no := max(was+1, r.first); no <= acts; no++ {
		if r.took[no] == nil {
			r.took[no] = map[string]time.Duration{}
		}
		r.took[no][id] = max(at, r.told[no])
	}
}

// RelayTaker is the name under which a relay is recorded, by its ID. A relay takes an event when all of its directors have it
// that are not stale: so what is kept grows with relays, and not with the directors behind them.
func RelayTaker(relayID string) string { return relayPrefix + relayID }

// RelayID is the ID of the relay that is recorded under a name; empty if it is a director's.
func RelayID(taker string) string {
	if id, is := strings.CutPrefix(taker, relayPrefix); is {
		return id
	}
	return ""
}

const relayPrefix = "relay:"

// Stale is a director that has acknowledged less than the relay that speaks for it.
type Stale struct {
	Director string
	Revision int64
}

// Stale names the directors that lag behind a taker now; those that were named before count no more.
func (r *Record) Stale(taker string, directors []Stale) {
	if len(directors) == 0 {
		delete(r.stale, taker)
		return
	}
	r.stale[taker] = slices.Clone(directors)
}

// Served forgets directors for which a relay speaks from now on; what they took stays recorded.
func (r *Record) Served(served func(id string) bool) {
	for id := range r.joined {
		if served(id) {
			r.forget(id)
		}
	}
}

func (r *Record) forget(id string) {
	delete(r.acts, id)
	delete(r.joined, id)
	delete(r.gone, id)
	delete(r.stale, id)
}

// rememberGone is for how long a director that is not on the roll any more is remembered: it may only be paused, or cut off.
const rememberGone = 10 * time.Minute

// Gone looks who is on the roll. One that is not is told apart, and forgotten after a while; what it took stays recorded.
func (r *Record) Gone(on func(id string) bool, now time.Duration) {
	for id := range r.joined {
		switch since, gone := r.gone[id]; {
		case on(id):
			delete(r.gone, id)
		case !gone:
			r.gone[id] = now
		case now-since > rememberGone:
			r.forget(id)
		}
	}
}

// Taken is a director that took an event.
type Taken struct {
	Director string `json:"director"`
	AfterMS  int64  `json:"after_ms"` // since it was accepted
}

// Event is what is known of how one was taken.
type Event struct {
	No      int64    `json:"no"`
	AgeMS   int64    `json:"age_ms"` // since it was accepted
	Taken   []Taken  `json:"taken,omitempty"`
	Missing []string `json:"missing,omitempty"` // on the roll, and not heard to act by it
	Lost    []string `json:"lost,omitempty"`    // not on the roll any more, and not heard to act by it
	Had     int      `json:"had"`               // that came later and had it with their first list
	P50MS   int64    `json:"p50_ms"`
	P99MS   int64    `json:"p99_ms"`
	LastMS  int64    `json:"last_ms"`
}

// Event tells of one; false if it is not recorded, with the events between which all are.
func (r *Record) Event(no int64, now time.Duration) (e Event, from, to int64, is bool) {
	at, is := r.told[no]
	if !is {
		return e, r.first, r.last, false
	}
	e = Event{No: no, AgeMS: (now - at).Milliseconds()}
	for id, took := range r.took[no] {
		e.Taken = append(e.Taken, Taken{id, (took - at).Milliseconds()})
	}
	slices.SortFunc(e.Taken, func(a, b Taken) int {
		return cmp.Or(cmp.Compare(a.AfterMS, b.AfterMS), cmp.Compare(a.Director, b.Director))
	})
	for _, id := range slices.Sorted(maps.Keys(r.acts)) {
		switch _, took := r.took[no][id]; {
		case took:
		case r.joined[id] >= no:
			e.Had++
		case r.gone[id] > 0:
			e.Lost = append(e.Lost, id)
		default:
			e.Missing = append(e.Missing, id)
		}
	}
	for taker, stale := range r.stale {
		for _, s := range stale {
			if r.gone[taker] == 0 && s.Revision < no {
				e.Missing = append(e.Missing, s.Director)
			}
		}
	}
	slices.Sort(e.Missing)
	e.Missing = slices.Compact(e.Missing)
	if n := len(e.Taken); n > 0 {
		e.P50MS, e.P99MS, e.LastMS = e.Taken[n/2].AfterMS, e.Taken[n*99/100].AfterMS, e.Taken[n-1].AfterMS
	}
	return e, r.first, r.last, true
}
