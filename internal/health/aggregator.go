package health

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Aggregation looks at all caches and all directors that report them, and is asked for with each report. So a result is reused
// for aggregateInterval, or longer where there are many directors.
const (
	aggregateInterval            = 50 * time.Millisecond
	aggregateIntervalPerDirector = 250 * time.Microsecond
)

const (
	// shareSteps is in how many steps a share of failures is compared: a smaller change is no new result.
	shareSteps = 20
	// sweepLifetimes is after how many lifetimes the outcomes of a director are forgotten.
	sweepLifetimes = 4
)

// Aggregator decides which caches are suspected. It is not safe for concurrent use.
type Aggregator struct {
	set      Settings
	epoch    int64
	seq      uint64
	lastSeq  map[string]uint64                   // of the last report, by director
	caches   map[string]map[string]*observation  // by cache and director
	machines map[string]map[string]time.Duration // when a machine reported anything last, by location and machine
	result   AggregatedHealth                    // the last one
	resultAt time.Duration                       // when it was made; below 0: never
	reported map[string]float64                  // the shares of failures in the last result, in steps, by cache
}

// observation is what one director has reported of a cache.
type observation struct {
	ReporterLocation
	failureShare float64 // smoothed over the last few attempts
	attempts     float64 // in all
	failures     float64 // in all
	lagMS        float64
	updatedAt    time.Duration // of the last report
	failedAt     time.Duration // of the last report with a failure
}

// NewAggregator makes an aggregator without reports. Each leader's must have a higher epoch than the one before.
func NewAggregator(set Settings, epoch int64) *Aggregator {
	return &Aggregator{
		set:      set,
		epoch:    epoch,
		lastSeq:  map[string]uint64{},
		caches:   map[string]map[string]*observation{},
		machines: map[string]map[string]time.Duration{},
		resultAt: -1,
		reported: map[string]float64{},
	}
}

// Take takes the report of a director at a place. The order in which reports of several directors come has no influence.
func (a *Aggregator) Take(r Report, at ReporterLocation, now time.Duration) {
	if r.Seq <= a.lastSeq[r.Holder] || len(r.Caches) > a.set.MaxCaches {
		return
	}
	a.lastSeq[r.Holder] = r.Seq
	for _, o := range r.Caches {
		if !o.isValid() {
			continue
		}
		a.recordActive(at, now)
		a.observation(o.Cache, r.Holder).add(o, at, a.set.AttemptWeight, now)
	}
}

// recordActive records that a machine reports.
func (a *Aggregator) recordActive(at ReporterLocation, now time.Duration) {
	if a.machines[at.Location] == nil {
		a.machines[at.Location] = map[string]time.Duration{}
	}
	a.machines[at.Location][at.Machine] = max(a.machines[at.Location][at.Machine], now)
}

// observation returns what a director has reported of a cache.
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

// add adds outcomes that were reported at a moment.
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

// Aggregated returns the suspected caches, those with the largest share of failures first. Its Seq rises with each change.
func (a *Aggregator) Aggregated(now time.Duration) AggregatedHealth {
	interval := max(aggregateInterval, time.Duration(len(a.lastSeq))*aggregateIntervalPerDirector)
	if a.resultAt >= 0 && now-a.resultAt < interval {
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
	a.resultAt = now
	return result
}

// suspected returns the suspected caches, as many as a result may name.
func (a *Aggregator) suspected(now time.Duration) []CacheHealth {
	var all []CacheHealth
	for cache := range a.caches {
		c, enough := a.aggregate(cache, now)
		age := time.Duration(c.AgeMS) * time.Millisecond
		if enough && c.FailureShare >= a.set.MinFailureShare && age < a.set.Lifetime {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b CacheHealth) int {
		return cmp.Or(cmp.Compare(b.FailureShare, a.FailureShare), cmp.Compare(a.Cache, b.Cache))
	})
	return all[:min(len(all), a.set.MaxCaches)]
}

// Caches lists what is known of all caches, for the operator.
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

// Sweep forgets reports that count no more. It is to be called often.
func (a *Aggregator) Sweep(now time.Duration) {
	active := map[string]bool{}
	for cache, observations := range a.caches {
		for director, o := range observations {
			if now-o.updatedAt > sweepLifetimes*a.set.Lifetime {
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
		maps.DeleteFunc(machines, func(_ string, at time.Duration) bool { return now-at > a.set.Lifetime })
		if len(machines) == 0 {
			delete(a.machines, location)
		}
	}
	maps.DeleteFunc(a.lastSeq, func(director string, _ uint64) bool { return !active[director] })
}
