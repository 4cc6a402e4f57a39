package health

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Aggregation iterates over all caches and all directors that report on them, and its result is requested with each report. So a result
// is reused for aggregateInterval, or longer if there are many directors.
const (
	aggregateInterval            = 50 * time.Millisecond
	aggregateIntervalPerDirector = 250 * time.Microsecond
)

const (
	// shareSteps is the number of steps to which shares of failures are rounded before they are compared: a change that does not
	// alter a rounded share does not count as a new result.
	shareSteps = 20
	// sweepAfterLifetimes is the number of lifetimes after which a director's outcomes are removed.
	sweepAfterLifetimes = 4
)

// Aggregator decides which caches are suspected. It is not safe for concurrent use.
type Aggregator struct {
	settings   Settings
	epoch      int64
	seq        uint64
	lastSeq    map[string]uint64                   // sequence number of the last report, by director
	caches     map[string]map[string]*observation  // by cache and director
	machines   map[string]map[string]time.Duration // time of a machine's last report, by location and machine
	result     AggregatedHealth                    // the last result
	computedAt time.Duration                       // when result was computed; negative if never
	reported   map[string]float64                  // the rounded shares of failures in the last result, by cache
}

// observation holds the outcomes that one director has reported on a cache.
type observation struct {
	ReporterLocation
	failureShare float64 // smoothed over the last few attempts
	attempts     float64 // total
	failures     float64 // total
	lagMS        float64
	updatedAt    time.Duration // time of the last report
	failedAt     time.Duration // time of the last report with a failure
}

// NewAggregator returns an aggregator without reports. Each new leader must use a higher epoch than the previous one.
func NewAggregator(settings Settings, epoch int64) *Aggregator {
	return &Aggregator{
		settings:   settings,
		epoch:      epoch,
		lastSeq:    map[string]uint64{},
		caches:     map[string]map[string]*observation{},
		machines:   map[string]map[string]time.Duration{},
		computedAt: -1,
		reported:   map[string]float64{},
	}
}

// Apply adds a director's report. at is the director's location. The order in which reports of different directors arrive does not
// affect the result.
func (a *Aggregator) Apply(r Report, at ReporterLocation, now time.Duration) {
	if r.Seq <= a.lastSeq[r.Holder] || len(r.Caches) > a.settings.MaxCaches {
		return
	}
	a.lastSeq[r.Holder] = r.Seq
	for _, o := range r.Caches {
		if !o.isValid() {
			continue
		}
		a.recordActive(at, now)
		a.observation(o.Cache, r.Holder).add(o, at, a.settings.AttemptWeight, now)
	}
}

// recordActive records the time of a machine's last report.
func (a *Aggregator) recordActive(at ReporterLocation, now time.Duration) {
	if a.machines[at.Location] == nil {
		a.machines[at.Location] = map[string]time.Duration{}
	}
	a.machines[at.Location][at.Machine] = max(a.machines[at.Location][at.Machine], now)
}

// observation returns the observation of a cache by a director. It is created if there is none.
func (a *Aggregator) observation(cache, director string) *observation {
	if a.caches[cache] == nil {
		a.caches[cache] = map[string]*observation{}
	}
	o := a.caches[cache][director]
	if o == nil {
		o = &observation{}
		a.caches[cache][director] = o
	}
	return o
}

// add adds outcomes that were reported at the given time.
func (o *observation) add(reported Outcomes, at ReporterLocation, attemptWeight float64, now time.Duration) {
	previousWeight := math.Pow(1-attemptWeight, reported.Attempts)
	o.failureShare = previousWeight*o.failureShare + (1-previousWeight)*reported.Failures/reported.Attempts
	o.ReporterLocation = at
	o.updatedAt = max(o.updatedAt, now)
	o.lagMS = reported.LagMS
	o.attempts += reported.Attempts
	o.failures += reported.Failures
	if reported.Failures > 0 {
		o.failedAt = max(o.failedAt, now)
	}
}

// Aggregated returns the suspected caches, those with the largest share of failures first. Seq increases with each change.
func (a *Aggregator) Aggregated(now time.Duration) AggregatedHealth {
	interval := max(aggregateInterval, time.Duration(len(a.lastSeq))*aggregateIntervalPerDirector)
	if a.computedAt >= 0 && now-a.computedAt < interval {
		return a.result
	}
	result := AggregatedHealth{Epoch: a.epoch, Caches: a.suspected(now)}
	steps := map[string]float64{}
	for _, c := range result.Caches {
		steps[c.Cache] = math.Round(c.FailureShare * shareSteps)
	}
	if !maps.Equal(steps, a.reported) {
		a.reported = steps
		a.seq++
	}
	result.Seq = a.seq
	a.result = result
	a.computedAt = now
	return result
}

// suspected returns the suspected caches, limited to MaxCaches.
func (a *Aggregator) suspected(now time.Duration) []CacheHealth {
	var all []CacheHealth
	for cache := range a.caches {
		c, enough := a.aggregate(cache, now)
		age := time.Duration(c.AgeMS) * time.Millisecond
		if enough && c.FailureShare >= a.settings.MinFailureShare && age < a.settings.Lifetime {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b CacheHealth) int {
		return cmp.Or(cmp.Compare(b.FailureShare, a.FailureShare), cmp.Compare(a.Cache, b.Cache))
	})
	return all[:min(len(all), a.settings.MaxCaches)]
}

// Caches returns the status of all caches with reports, sorted by name, for the operator.
func (a *Aggregator) Caches(now time.Duration) []CacheStatus {
	var all []CacheStatus
	for _, cache := range slices.Sorted(maps.Keys(a.caches)) {
		status := CacheStatus{}
		status.CacheHealth, status.Enough = a.aggregate(cache, now)
		for _, director := range slices.Sorted(maps.Keys(a.caches[cache])) {
			o := a.caches[cache][director]
			status.By = append(status.By, ReportedOutcomes{
				Holder:       director,
				Machine:      o.Machine,
				Attempts:     o.attempts,
				Failures:     o.failures,
				FailureShare: o.failureShare,
				LagMS:        o.lagMS,
				AgeMS:        (now - o.updatedAt).Milliseconds(),
			})
		}
		all = append(all, status)
	}
	return all
}

// Sweep removes reports that are too old to count. It should be called often.
func (a *Aggregator) Sweep(now time.Duration) {
	active := map[string]bool{}
	for cache, observations := range a.caches {
		for director, o := range observations {
			if now-o.updatedAt > sweepAfterLifetimes*a.settings.Lifetime {
				delete(observations, director)
				continue
			}
			active[director] = true
		}
		if len(observations) == 0 {
			delete(a.caches, cache)
		}
	}
	for location, machines := range a.machines {
		maps.DeleteFunc(machines, func(_ string, at time.Duration) bool { return now-at > a.settings.Lifetime })
		if len(machines) == 0 {
			delete(a.machines, location)
		}
	}
	maps.DeleteFunc(a.lastSeq, func(director string, _ uint64) bool { return !active[director] })
}
