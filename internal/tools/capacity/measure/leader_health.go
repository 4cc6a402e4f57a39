package measure

import (
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/health"
)

// reportingDirectors simulates directors that send health reports on the caches of their zones in turn, each director twice per
// second. One cache in 50 fails some of its requests.
type reportingDirectors struct {
	aggregator *health.Aggregator
	ids        []string
	locations  []health.ReporterLocation
	caches     [][]string // names of caches, indexed by zone
	seq        uint64
	next       int
	now        time.Duration
}

// newReportingDirectors returns directors that have each sent one report.
func newReportingDirectors(directors int) *reportingDirectors {
	r := &reportingDirectors{
		aggregator: health.NewAggregator(health.DefaultSettings, 1),
		seq:        1,
		now:        time.Hour,
	}
	for i := range directors {
		d := newDirector(i)
		r.ids = append(r.ids, d.ID())
		r.locations = append(r.locations, health.ReporterLocation{Machine: d.Machine, Location: d.Location})
	}
	for zone := range expectedZones {
		var names []string
		for cache := range cachesPerZone {
			names = append(names, cacheName(cache*expectedZones+zone))
		}
		r.caches = append(r.caches, names)
	}
	for range directors {
		r.reportNext()
	}
	return r
}

// reportNext sends the report of the next director to the aggregator.
func (r *reportingDirectors) reportNext() {
	director := r.next
	zone := director % expectedZones
	report := health.Report{
		Holder: r.ids[director],
		Seq:    r.seq,
		Caches: make([]health.Outcomes, 0, cachesPerZone),
	}
	for cache, name := range r.caches[zone] {
		outcomes := health.Outcomes{Cache: name, Attempts: 12, LagMS: 12}
		if (cache*expectedZones+zone)%50 == 0 {
			outcomes.Failures = float64((director + int(r.seq)) % 12)
		}
		report.Caches = append(report.Caches, outcomes)
	}
	r.aggregator.Apply(report, r.locations[director], r.now)
	r.now += healthReportInterval / time.Duration(len(r.ids))
	r.next = (r.next + 1) % len(r.ids)
	if r.next == 0 {
		r.seq++
	}
}

func reportTime(directors int) (float64, error) {
	r := newReportingDirectors(directors)
	return timePerOperation(func(int) { r.reportNext() }), nil
}

// healthTime returns the processor time of one aggregation, in seconds. All directors report again 2 s after the previous reports,
// because an aggregation is cached for some time.
func healthTime(directors int) (float64, error) {
	r := newReportingDirectors(directors)
	reportAll := func() {
		r.now += 2 * time.Second
		for range directors {
			r.reportNext()
		}
	}
	failing := 0
	seconds := timeOfSingleOperation(reportAll, func() { failing += len(r.aggregator.Aggregated(r.now).Caches) })
	if failing == 0 {
		return 0, fmt.Errorf("%d directors reported no failing cache", directors)
	}
	return seconds, nil
}
