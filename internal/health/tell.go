package health

import (
	"math"
	"time"
)

// What is told when: by a director, and by whoever tells directors.
const (
	evidenceEvery = 500 * time.Millisecond // where nothing went wrong; else evidence goes with the next call
	toldAgain     = 500 * time.Millisecond // opinions that stand are told again: they fade at the directors
	mostTold      = 10_000                 // directors of whom it is known what they were told
	doubtStep     = 0.05                   // changes of a doubt that are worth telling
)

// Reporter gathers a director's evidence until it is told. It is not safe for concurrent use.
type Reporter struct {
	set    Settings
	holder string
	seq    uint64
	said   time.Duration
	kept   map[string]Outcomes
}

// NewReporter makes the witness of a director.
func NewReporter(set Settings, holder string) *Reporter {
	return &Reporter{set: set, holder: holder, kept: map[string]Outcomes{}}
}

// Record adds to what is known of a box; lag is in seconds.
func (w *Reporter) Record(box string, tried, bad, lag float64) {
	e := w.kept[box]
	w.kept[box] = Outcomes{Cache: box, Attempts: e.Attempts + tried, Failures: e.Failures + bad, LagMS: math.Round(lag * 1000)}
}

// Report is what is to be told now. An empty one says that the director wants to be told.
func (w *Reporter) Report(now time.Duration) Report {
	w.seq++
	r := Report{Holder: w.holder, Seq: w.seq, Caches: []Outcomes{}}
	bad := false
	for _, e := range w.kept {
		bad = bad || e.Failures > 0
	}
	if !bad && now-w.said < evidenceEvery {
		return r
	}
	for _, e := range w.kept {
		r.Caches = append(r.Caches, e)
	}
	r.Caches = w.set.Trim(r.Caches)
	clear(w.kept)
	w.said = now
	return r
}

// Notifier knows what directors were told of opinions that came from a merger, here or elsewhere. It is not safe for concurrent use.
type Notifier struct {
	now  AggregatedHealth
	at   time.Duration // when they came
	told map[string]telling
}

// telling is what a director was told last, and when.
type telling struct {
	epoch int64
	seq   uint64
	at    time.Duration
}

// NewNotifier makes a teller that has nothing to tell.
func NewNotifier() *Notifier { return &Notifier{told: map[string]telling{}} }

// Take takes over what is believed, and tells whether that is something else than before. What is older changes nothing.
func (t *Notifier) Take(o AggregatedHealth, now time.Duration) (changed bool) {
	if o.Epoch < t.now.Epoch || o.Epoch == t.now.Epoch && o.Seq < t.now.Seq {
		return false
	}
	changed = o.Epoch != t.now.Epoch && len(o.Caches)+len(t.now.Caches) > 0 || o.Epoch == t.now.Epoch && o.Seq != t.now.Seq
	t.now, t.at = o, now
	return changed
}

// For is what a director is to be told now; false if nothing is new to it.
func (t *Notifier) For(id string, now time.Duration) (o AggregatedHealth, is bool) {
	was := t.told[id]
	if was.epoch == t.now.Epoch && was.seq == t.now.Seq && (len(t.now.Caches) == 0 || now-was.at < toldAgain) {
		return o, false
	}
	if len(t.told) >= mostTold {
		clear(t.told)
	}
	t.told[id] = telling{t.now.Epoch, t.now.Seq, now}
	o = t.now
	o.Caches = append([]CacheHealth(nil), o.Caches...)
	for i := range o.Caches { // they have been here for a while
		o.Caches[i].AgeMS += (now - t.at).Milliseconds()
	}
	return o, true
}

// Change is that a box is doubted more, less, or for the first time; Bad is 0 if it is not any more.
type Change struct {
	Cache                  string
	FailureShare, Previous float64
}

// Changes are those of the doubts since they were asked for last, as far as they are worth telling.
func (b *Tracker) Changes(now time.Duration) (all []Change) {
	doubts := b.Doubts(now)
	for box, was := range b.told {
		if _, is := doubts[box]; !is {
			delete(b.told, box)
			all = append(all, Change{box, 0, was})
		}
	}
	for box, bad := range doubts {
		if was, is := b.told[box]; !is || math.Abs(was-bad) >= doubtStep {
			b.told[box] = bad
			all = append(all, Change{box, bad, was})
		}
	}
	return all
}
