package quota

import (
	"maps"
	"slices"
	"time"
)

// Settings are the same for granter and holders.
type Settings struct {
	Lease   time.Duration // for how long a part may be used, by its holder's clock from before it was asked for
	Drift   float64       // by which clocks may run apart, as a share
	Reserve float64       // of each rate, set aside for those who can have no part: each has been told what of it is its own
	Fades   time.Duration // in which such a fallback sinks to nothing
	Floor   float64       // of a rate, for each that wants anything, at least, as a share of an even part
	Hold    float64       // a part is not changed for less than this share of it
}

// waits is how long the granter counts a part that it gave.
func (s Settings) waits() time.Duration {
	return time.Duration(float64(s.Lease) * (1 + 2*s.Drift))
}

// Kind is how a limit is shared.
type Kind string

// Kinds of limits.
const (
	Rate  Kind = "rate"  // parts add up to 1 at most
	Turns Kind = "turns" // so many holders at a time, in the order in which they came
)

// Want is what a holder wants of a limit. For a rate, Demand is in parts of the limit; for turns, anything over 0 waits for
// one, and 0 gives it back.
type Want struct {
	Limit  string  `json:"limit"`
	Kind   Kind    `json:"kind"`
	Demand float64 `json:"demand"`
	Most   int     `json:"most,omitempty"` // turns: holders at a time; 0: one
}

// Renewal is what a holder says of itself, again and again.
type Renewal struct {
	Holder string `json:"holder"`
	Seq    uint64 `json:"seq"`   // rises with each beat
	Taken  uint64 `json:"taken"` // the beat whose grant is in use: no older grant will be any more
	Wants  []Want `json:"wants,omitempty"`
}

// Share is a grant of one limit.
type Share struct {
	Limit string  `json:"limit"`
	Part  float64 `json:"part"` // turns: 1 or 0
}

// Grant answers a beat.
type Grant struct {
	Holder string  `json:"holder"` // whose beat: nobody else takes it, and no later process under the same name
	Epoch  int64   `json:"epoch"`  // of the granter: what a later one has said is not undone by an older one
	Seq    uint64  `json:"seq"`    // of the beat
	Parts  []Share `json:"parts,omitempty"`
	// Fallback is the part of each rate that may be used where no part is in force; it fades.
	Fallback float64 `json:"fallback,omitempty"`
}

// Allocator divides limits. It is not safe for concurrent use.
type Allocator struct {
	set    Settings
	epoch  int64
	since  time.Duration // when it began
	limits map[string]*limit
	last   map[string]uint64  // the last beat, by holder
	backs  map[string]*holder // what of the reserve each may fall back to
}

type limit struct {
	kind    Kind
	most    int
	holders map[string]*holder
	queue   []string           // turns: who waits, in order
	targets map[string]float64 // rate: fair parts of a limit of 1, by holder
	aimed   time.Duration      // when they were found
}

// aimsFor is for how long targets hold: finding them takes all holders, and each holder comes several times a second.
const aimsFor = 50 * time.Millisecond

// aim finds the targets of a rate.
func (g *Allocator) aim(l *limit, now time.Duration) {
	ids := slices.Sorted(maps.Keys(l.holders))
	demands := make([]float64, len(ids))
	for i, id := range ids {
		if x := l.holders[id]; now < x.beat+g.set.waits() { // one that was not heard of for so long wants nothing
			demands[i] = x.demand
		}
	}
	l.targets, l.aimed = make(map[string]float64, len(ids)), now
	for i, part := range MaxMin(demands, g.set.Floor/float64(len(ids))) {
		l.targets[ids[i]] = part
	}
}

// holder is what one has of a limit, and wants.
type holder struct {
	demand float64
	beat   time.Duration
	given  []given // that may be in use, oldest first
}

type given struct {
	seq   uint64
	part  float64
	until time.Duration
}

// out is the most of what may be in use.
func (h *holder) out(now time.Duration) (most float64) {
	for _, g := range h.given {
		if now < g.until {
			most = max(most, g.part)
		}
	}
	return most
}

// NewAllocator makes a granter. One that takes over from another gives nothing until what that one gave is over.
func NewAllocator(set Settings, epoch int64, now time.Duration, first bool) *Allocator {
	g := &Allocator{set: set, epoch: epoch, since: now, limits: map[string]*limit{}, last: map[string]uint64{}, backs: map[string]*holder{}}
	if first {
		g.since -= set.waits() + set.fades()
	}
	return g
}

// fades is how long the granter counts a fallback.
func (s Settings) fades() time.Duration { return time.Duration(float64(s.Fades) * (1 + 2*s.Drift)) }

// fallback decides what of the reserve one may fall back to: an even part, as far as what the others may still fall back to
// leaves room. One that takes over gives none until what the one before it gave has faded.
func (g *Allocator) fallback(b Renewal, now time.Duration) float64 {
	own := g.backs[b.Holder]
	if own == nil {
		own = &holder{}
		g.backs[b.Holder] = own
	}
	own.beat = now
	g.settle(own, b, now)
	live, used := 0, 0.0
	for id, h := range g.backs {
		if now < h.beat+g.set.waits() {
			live++
		}
		most := 0.0
		for _, x := range h.given {
			most = max(most, x.part*max(0, float64(x.until-now)/float64(g.set.fades())))
		}
		if id != b.Holder {
			used += most
		}
		if most == 0 && now >= h.beat+g.set.fades() {
			delete(g.backs, id)
			delete(g.last, id)
		}
	}
	part := 0.0
	if now >= g.since+g.set.fades() {
		part = max(0, min(g.set.Reserve/float64(max(1, live)), g.set.Reserve-used))
	}
	own.given = append(own.given, given{b.Seq, part, now + g.set.fades()})
	return part
}

// Renew takes a beat in and answers it. A beat that comes again, or after a later one, is answered with nothing.
func (g *Allocator) Renew(b Renewal, now time.Duration) Grant {
	answer := Grant{Holder: b.Holder, Epoch: g.epoch, Seq: b.Seq}
	if b.Seq <= g.last[b.Holder] {
		return answer
	}
	g.last[b.Holder] = b.Seq
	wanted := map[string]bool{}
	for _, w := range b.Wants {
		if wanted[w.Limit] || w.Demand < 0 || w.Demand != w.Demand {
			continue
		}
		wanted[w.Limit] = true
		l := g.limits[w.Limit]
		if l == nil {
			l = &limit{kind: w.Kind, holders: map[string]*holder{}}
			g.limits[w.Limit] = l
		}
		l.most = max(1, w.Most)
		h := l.holders[b.Holder]
		if h == nil {
			h = &holder{}
			l.holders[b.Holder] = h
		}
		// Whoever says that it wants a thousand times the limit gets what anyone gets who wants all of it.
		h.demand, h.beat = min(w.Demand, 1), now
		g.settle(h, b, now)
		part := 0.0
		if now >= g.since+g.set.waits() {
			part = g.part(l, b.Holder, h, now)
		}
		h.given = append(h.given, given{b.Seq, part, now + g.set.waits()})
		answer.Parts = append(answer.Parts, Share{w.Limit, part})
	}
	answer.Fallback = g.fallback(b, now)
	for name, l := range g.limits { // what it does not name any more it has given up
		if h := l.holders[b.Holder]; h != nil && !wanted[name] {
			g.drop(name, l, b.Holder) // it uses nothing that was given before this beat, and will not
		}
	}
	return answer
}

// settle forgets grants that are not in use any more: those before the one that the holder has taken, and those that are
// over.
func (g *Allocator) settle(h *holder, b Renewal, now time.Duration) {
	h.given = slices.DeleteFunc(h.given, func(x given) bool { return now >= x.until || x.seq < b.Taken })
}

func (g *Allocator) drop(name string, l *limit, id string) {
	delete(l.holders, id)
	l.queue = slices.DeleteFunc(l.queue, func(q string) bool { return q == id })
	if len(l.holders) == 0 {
		delete(g.limits, name)
	}
}

// part decides what one gets now.
func (g *Allocator) part(l *limit, id string, h *holder, now time.Duration) float64 {
	if l.kind == Turns {
		return g.turn(l, id, h, now)
	}
	used := 0.0
	for o, x := range l.holders {
		if o != id {
			used += x.out(now)
		}
	}
	if _, known := l.targets[id]; !known || now-l.aimed >= aimsFor {
		g.aim(l, now)
	}
	share := 1 - g.set.Reserve
	target := share * l.targets[id]
	had := 0.0
	if n := len(h.given); n > 0 {
		had = h.given[n-1].part
	}
	if d := target - had; had > 0 && h.demand > 0 && d < g.set.Hold*had && d > -g.set.Hold*had {
		target = had
	}
	return max(0, min(target, share-used))
}

// turn gives one of the turns to those who have waited longest.
func (g *Allocator) turn(l *limit, id string, h *holder, now time.Duration) float64 {
	if h.demand == 0 {
		l.queue = slices.DeleteFunc(l.queue, func(q string) bool { return q == id })
		return 0
	}
	if !slices.Contains(l.queue, id) {
		l.queue = append(l.queue, id)
	}
	l.queue = slices.DeleteFunc(l.queue, func(q string) bool { // who is gone waits no more
		x := l.holders[q]
		return x == nil || now >= x.beat+g.set.waits()
	})
	used := 0
	for o, x := range l.holders {
		if o != id && x.out(now) > 0 {
			used++
		}
	}
	if place := slices.Index(l.queue, id); h.out(now) > 0 || place < l.most && used < l.most {
		return 1
	}
	return 0
}

// Held is a part in force, as the granter counts.
type Held struct {
	Limit  string        `json:"limit"`
	Kind   Kind          `json:"kind"`
	Holder string        `json:"holder"`
	Part   float64       `json:"part"`
	Demand float64       `json:"demand"`
	Left   time.Duration `json:"left_ns"`
}

// Held lists what is in force and who waits.
func (g *Allocator) Held(now time.Duration) (all []Held) {
	for _, name := range slices.Sorted(maps.Keys(g.limits)) {
		l := g.limits[name]
		for _, id := range slices.Sorted(maps.Keys(l.holders)) {
			h := l.holders[id]
			x := Held{Limit: name, Kind: l.kind, Holder: id, Part: h.out(now), Demand: h.demand}
			if n := len(h.given); n > 0 {
				x.Left = max(0, h.given[n-1].until-now)
			}
			all = append(all, x)
		}
	}
	return all
}

// Sweep forgets limits that nobody holds or wants any more.
func (g *Allocator) Sweep(now time.Duration) {
	for name, l := range g.limits {
		for id, h := range l.holders {
			if h.out(now) == 0 && now >= h.beat+g.set.waits() {
				g.drop(name, l, id)
			}
		}
	}
}
