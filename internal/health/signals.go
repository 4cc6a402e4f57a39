// Package signals puts together what directors learn of boxes, each from a few requests a second, and says what is believed of a
// box by all of them. Directors give evidence: attempts at a box, how many went wrong by its fault, how late its answers are.
// Who merges it is the board's leader; what comes of it are opinions, which a director takes as a prior for its own learning
// and never as a verdict. The package is pure: reports and the time come in. It knows no requests, no lines, and not what a
// director makes of an opinion.
package health

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

// Settings are the same everywhere.
type Settings struct {
	Weight   float64       // of one attempt in a director's share of those that go wrong: the last few speak, however seldom they are
	Lives    time.Duration // of an opinion, from the evidence that it rests on: it fades to nothing by then
	Machines int           // whose evidence is fresh, from which there is an opinion
	Doubt    float64       // share of attempts gone wrong under which nothing is said of a box
	Boxes    int           // in one report and in one set of opinions, at most: bounds their bytes
}

// DefaultSettings are the settings that board and directors have.
var DefaultSettings = Settings{Weight: 0.5, Lives: 8 * time.Second, Machines: 3, Doubt: 0.15, Boxes: 32}

// Outcomes is what a director has seen of a box since its last report.
type Outcomes struct {
	Cache    string  `json:"b"`
	Attempts float64 `json:"n"`           // attempts, and fills that it was the source of
	Failures float64 `json:"f,omitempty"` // of them that went wrong by its fault
	LagMS    float64 `json:"l,omitempty"` // smoothed, beyond what an answer's size explains
}

// Report is a director's evidence. Only boxes of which there is something to say are in it.
type Report struct {
	Holder string     `json:"holder"`
	Seq    uint64     `json:"seq"` // rises with each: one that comes again, or late, counts for nothing
	Caches []Outcomes `json:"boxes"`
}

// Trim keeps as many boxes of a report as one may have, those with the most that went wrong first.
func (s Settings) Trim(all []Outcomes) []Outcomes {
	slices.SortFunc(all, func(a, b Outcomes) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(b.Attempts, a.Attempts), cmp.Compare(a.Cache, b.Cache))
	})
	return all[:min(len(all), s.Boxes)]
}

// CacheHealth is what is believed of a box.
type CacheHealth struct {
	Cache        string  `json:"box"`
	FailureShare float64 `json:"bad"`      // share of attempts that go wrong there, by two thirds of those who tell
	Machines     int     `json:"machines"` // that tell of it
	LagMS        float64 `json:"lag_ms"`   // the median of what they tell
	AgeMS        int64   `json:"age_ms"`   // of the newest evidence that it rests on
}

// AggregatedHealth are all that there are at a moment. Boxes that are not named are not doubted.
type AggregatedHealth struct {
	Epoch  int64         `json:"epoch"` // of who merged them: an older one's change nothing
	Seq    uint64        `json:"seq"`   // rises with each change
	Caches []CacheHealth `json:"all,omitempty"`
}

// Aggregator holds the evidence. It is not safe for concurrent use.
type Aggregator struct {
	set   Settings
	epoch int64
	seq   uint64
	last  map[string]uint64                   // the last report, by holder
	boxes map[string]map[string]*seen         // by box and holder
	said  map[string]float64                  // what was believed when Opinions was asked last, in steps
	hears map[string]map[string]time.Duration // machines by location, and when each told of anything last
	found AggregatedHealth                    // as they were found last
	at    time.Duration                       // when that was
}

// foundFor and foundEach, for each director, are for how long opinions are not looked for anew: that takes all boxes and all who
// tell of them.
const (
	foundFor  = 50 * time.Millisecond
	foundEach = 250 * time.Microsecond
)

// Place is where a director is: the machine that fails as one, and the location whose directors send to the same boxes.
type Place struct {
	Machine  string `json:"Machine"`
	Location string `json:"Location"`
}

// seen is what one director tells of a box.
type seen struct {
	Place
	share   float64 // of attempts that go wrong, smoothed over the last few
	tried   float64 // all that it told of
	bad     float64
	lagMS   float64
	told    time.Duration // of the newest evidence
	toldBad time.Duration // of the newest that something went wrong
}

// NewAggregator makes a merger that knows nothing; a later one has a higher epoch.
func NewAggregator(set Settings, epoch int64) *Aggregator {
	return &Aggregator{set: set, epoch: epoch, last: map[string]uint64{}, boxes: map[string]map[string]*seen{}, said: map[string]float64{}, hears: map[string]map[string]time.Duration{}, at: -1}
}

// sound tells whether evidence can be: one that says more than it may is dropped, not corrected.
func (e Outcomes) sound() bool {
	return e.Cache != "" && e.Attempts > 0 && e.Attempts < 1e9 && e.Failures >= 0 && e.Failures <= e.Attempts && e.LagMS >= 0 && e.LagMS < 1e9
}

// Take takes a report in, of a director at a place. The order in which reports of several directors come is without influence.
func (m *Aggregator) Take(r Report, at Place, now time.Duration) {
	if r.Seq <= m.last[r.Holder] || len(r.Caches) > m.set.Boxes {
		return
	}
	m.last[r.Holder] = r.Seq
	for _, e := range r.Caches {
		if !e.sound() {
			continue
		}
		if m.hears[at.Location] == nil {
			m.hears[at.Location] = map[string]time.Duration{}
		}
		m.hears[at.Location][at.Machine] = max(m.hears[at.Location][at.Machine], now)
		if m.boxes[e.Cache] == nil {
			m.boxes[e.Cache] = map[string]*seen{}
		}
		s := m.boxes[e.Cache][r.Holder]
		if s == nil {
			s = &seen{}
			m.boxes[e.Cache][r.Holder] = s
		}
		old := math.Pow(1-m.set.Weight, e.Attempts)
		s.share = old*s.share + (1-old)*e.Failures/e.Attempts
		s.Place, s.told, s.lagMS = at, max(s.told, now), e.LagMS
		s.tried, s.bad = s.tried+e.Attempts, s.bad+e.Failures
		if e.Failures > 0 {
			s.toldBad = max(s.toldBad, now)
		}
	}
}

// vote is what the directors of one machine tell together: they may be ill together.
type vote struct {
	shares, directors, lag float64
	toldBad                time.Duration
}

// audience counts the machines from which something could be heard of a box: those of the locations of which more than a third
// tell of it, as far as they tell of anything. So the few that lie can't speak for a location that does not know the box.
func (m *Aggregator) audience(tell map[Place]bool, now time.Duration) (machines int) {
	for location, all := range m.hears {
		active, telling := 0, 0
		for machine, at := range all {
			if now-at < m.set.Lives {
				active++
				if tell[Place{machine, location}] {
					telling++
				}
			}
		}
		if 3*telling > active {
			machines += active
		}
	}
	return machines
}

// believed is what is believed of a box now; false if too few tell of it. Each machine has one vote, however much it tells. The
// highest votes are left out, as many as there may be machines that lie, a third of those that could tell, and what is left is
// averaged. So fewer than a third can neither accuse a healthy box nor acquit one that nearly all the others see failing.
func (m *Aggregator) believed(box string, now time.Duration) (o CacheHealth, is bool) {
	votes, tell := map[string]*vote{}, map[Place]bool{}
	for _, s := range m.boxes[box] {
		if now-s.told >= m.set.Lives {
			continue
		}
		tell[s.Place] = true
		v := votes[s.Machine]
		if v == nil {
			v = &vote{}
			votes[s.Machine] = v
		}
		v.shares, v.directors, v.lag, v.toldBad = v.shares+s.share, v.directors+1, max(v.lag, s.lagMS), max(v.toldBad, s.toldBad)
	}
	o = CacheHealth{Cache: box, Machines: len(votes)}
	left := len(votes) - max(1, (m.audience(tell, now)-1)/3)
	if len(votes) < m.set.Machines || left < m.set.Machines-1 {
		return o, false
	}
	var shares, lags []float64
	var news []time.Duration
	for _, v := range votes {
		shares, lags, news = append(shares, v.shares/v.directors), append(lags, v.lag), append(news, v.toldBad)
	}
	slices.Sort(shares)
	slices.Sort(lags)
	slices.Sort(news) // what the same number brought last is left out too: who goes on accusing keeps no opinion alive
	for _, share := range shares[:left] {
		o.FailureShare += share / float64(left)
	}
	o.FailureShare = min(o.FailureShare, shares[left-2]) // one that had bad luck beside those that lie is not enough
	o.LagMS, o.AgeMS = lags[len(lags)/2], (now - news[left-1]).Milliseconds()
	return o, true
}

const opinionSteps = 20 // of a share: smaller changes are not told

// Aggregated are those that are worth telling. Seq changes when what is said does.
func (m *Aggregator) Aggregated(now time.Duration) AggregatedHealth {
	if m.at >= 0 && now-m.at < max(foundFor, time.Duration(len(m.last))*foundEach) {
		return m.found
	}
	out := AggregatedHealth{Epoch: m.epoch}
	says := map[string]float64{}
	for box := range m.boxes {
		if o, is := m.believed(box, now); is && o.FailureShare >= m.set.Doubt && time.Duration(o.AgeMS)*time.Millisecond < m.set.Lives {
			out.Caches = append(out.Caches, o)
		}
	}
	slices.SortFunc(out.Caches, func(a, b CacheHealth) int {
		return cmp.Or(cmp.Compare(b.FailureShare, a.FailureShare), cmp.Compare(a.Cache, b.Cache))
	})
	out.Caches = out.Caches[:min(len(out.Caches), m.set.Boxes)]
	for _, o := range out.Caches {
		says[o.Cache] = math.Round(o.FailureShare * opinionSteps)
	}
	if !maps.Equal(says, m.said) {
		m.said = says
		m.seq++
	}
	out.Seq = m.seq
	m.found, m.at = out, now
	return out
}

// Sweep forgets evidence that weighs nothing any more.
func (m *Aggregator) Sweep(now time.Duration) {
	heard := map[string]bool{}
	for box, all := range m.boxes {
		for holder, s := range all {
			if now-s.told > 4*m.set.Lives {
				delete(all, holder)
				continue
			}
			heard[holder] = true
		}
		if len(all) == 0 {
			delete(m.boxes, box)
		}
	}
	for location, all := range m.hears {
		if maps.DeleteFunc(all, func(_ string, at time.Duration) bool { return now-at > m.set.Lives }); len(all) == 0 {
			delete(m.hears, location)
		}
	}
	maps.DeleteFunc(m.last, func(holder string, _ uint64) bool { return !heard[holder] })
}

// ReportedOutcomes is what one director tells of a box.
type ReportedOutcomes struct {
	Holder  string  `json:"director"`
	Machine string  `json:"machine"`
	Tried   float64 `json:"tried"` // in all
	Bad     float64 `json:"bad"`
	Share   float64 `json:"share"` // of the last few that went wrong
	LagMS   float64 `json:"lag_ms"`
	AgeMS   int64   `json:"age_ms"`
}

// CacheStatus is all that is known of a box.
type CacheStatus struct {
	CacheHealth
	Enough bool               `json:"enough"` // whether enough machines tell of it for an opinion
	By     []ReportedOutcomes `json:"by"`
}

// Caches lists what is known of all boxes.
func (m *Aggregator) Caches(now time.Duration) (all []CacheStatus) {
	for _, box := range slices.Sorted(maps.Keys(m.boxes)) {
		b := CacheStatus{}
		b.CacheHealth, b.Enough = m.believed(box, now)
		b.Cache = box
		for _, holder := range slices.Sorted(maps.Keys(m.boxes[box])) {
			s := m.boxes[box][holder]
			b.By = append(b.By, ReportedOutcomes{holder, s.Machine, s.tried, s.bad, s.share, s.lagMS, (now - s.told).Milliseconds()})
		}
		all = append(all, b)
	}
	return all
}

// Tracker is a director's side: what it is told, fading. It is not safe for concurrent use.
type Tracker struct {
	set   Settings
	epoch int64
	seq   uint64
	asked time.Duration // when the call was made that brought the last news
	all   map[string]CacheHealth
	lives time.Duration
	told  map[string]float64 // by Changes
}

// NewTracker makes a believer that doubts nothing. Each believes for another part of an opinion's life, by its name, from a half to
// all of it: so when nobody has tried a doubted box for a while, a few look first, and not all at once.
func NewTracker(set Settings, name string) *Tracker {
	h := fnv.New64a()
	h.Write([]byte(name))
	part := 0.5 + 0.5*float64(h.Sum64()>>11)/(1<<53)
	return &Tracker{set: set, all: map[string]CacheHealth{}, told: map[string]float64{}, lives: time.Duration(part * float64(set.Lives))}
}

// Take takes opinions in that answer a call made at a moment: their age counts from there. Those of an older merger, or said before
// others that were taken, change nothing.
func (b *Tracker) Take(o AggregatedHealth, asked time.Duration) {
	if o.Epoch < b.epoch || o.Epoch == b.epoch && (o.Seq < b.seq || asked < b.asked) {
		return
	}
	b.epoch, b.seq, b.asked = o.Epoch, o.Seq, asked
	clear(b.all)
	for _, x := range o.Caches[:min(len(o.Caches), b.set.Boxes)] {
		if x.FailureShare > 0 && x.FailureShare <= 1 && x.AgeMS >= 0 && x.Machines >= b.set.Machines {
			b.all[x.Cache] = x
		}
	}
}

// Doubts are the boxes that are doubted, and how much, 0 to 1: less and less, and not at all once an opinion's life is over.
func (b *Tracker) Doubts(now time.Duration) map[string]float64 {
	out := make(map[string]float64, len(b.all))
	for box, o := range b.all {
		age := now - b.asked + time.Duration(o.AgeMS)*time.Millisecond
		if left := 1 - float64(age)/float64(b.lives); left > 0 && age >= 0 {
			out[box] = o.FailureShare * min(1, 2*left) // whole for the first half of its life
		}
	}
	return out
}
