package health

import (
	"cmp"
	"slices"
	"time"
)

// Settings must be the same for the leader and all directors.
type Settings struct {
	// AttemptWeight is the weight of one attempt in a director's smoothed share of failures: the last few attempts count,
	// however long ago they were.
	AttemptWeight float64
	// Lifetime is the time after which a suspicion has faded to nothing, from the outcomes that it rests on.
	Lifetime time.Duration
	// MinMachines is how many machines must have reported on a cache within Lifetime.
	MinMachines int
	// MinFailureShare is the share of failed attempts from which on a cache is suspected.
	MinFailureShare float64
	// MaxCaches bounds the caches in one report and in one result.
	MaxCaches int
}

// DefaultSettings are those of the leader and of all directors.
var DefaultSettings = Settings{
	AttemptWeight:   0.5,
	Lifetime:        8 * time.Second,
	MinMachines:     3,
	MinFailureShare: 0.15,
	MaxCaches:       32,
}

// Outcomes is what a director has learned of a cache since its last report.
type Outcomes struct {
	Cache    string  `json:"b"`
	Attempts float64 `json:"n"`           // attempts, and fills from the cache
	Failures float64 `json:"f,omitempty"` // attempts that failed by the cache's fault
	LagMS    float64 `json:"l,omitempty"` // smoothed time of an answer beyond what its size explains
}

// isValid reports whether outcomes are possible. Others are dropped and not corrected.
func (o Outcomes) isValid() bool {
	return o.Cache != "" &&
		o.Attempts > 0 && o.Attempts < 1e9 &&
		o.Failures >= 0 && o.Failures <= o.Attempts &&
		o.LagMS >= 0 && o.LagMS < 1e9
}

// Report is a director's outcomes. It names only caches with attempts.
type Report struct {
	Holder string     `json:"holder"` // ID of the director
	Seq    uint64     `json:"seq"`    // rises with each report; one that comes again or late is not counted
	Caches []Outcomes `json:"boxes"`
}

// Trim returns as many outcomes as one report may have, those with the most failures first. It reorders the slice.
func (s Settings) Trim(all []Outcomes) []Outcomes {
	slices.SortFunc(all, func(a, b Outcomes) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(b.Attempts, a.Attempts), cmp.Compare(a.Cache, b.Cache))
	})
	return all[:min(len(all), s.MaxCaches)]
}

// ReporterLocation is where a director is: the machine, whose directors may fail together, and the location, whose directors send to the
// same caches.
type ReporterLocation struct {
	Machine  string `json:"Machine"`
	Location string `json:"Location"`
}

// CacheHealth is the aggregated health of one cache.
type CacheHealth struct {
	Cache        string  `json:"box"`
	FailureShare float64 `json:"bad"`      // share of attempts that fail there
	Machines     int     `json:"machines"` // that report it
	LagMS        float64 `json:"lag_ms"`   // the median of what they report
	AgeMS        int64   `json:"age_ms"`   // of the latest failure that FailureShare rests on
}

// AggregatedHealth lists the suspected caches at a moment. Caches that it does not name are not suspected.
type AggregatedHealth struct {
	Epoch  int64         `json:"epoch"` // of the aggregator; results of earlier epochs are ignored
	Seq    uint64        `json:"seq"`   // rises with each change
	Caches []CacheHealth `json:"all,omitempty"`
}

// ReportedOutcomes is what one director has reported of a cache.
type ReportedOutcomes struct {
	Holder       string  `json:"director"`
	Machine      string  `json:"machine"`
	Attempts     float64 `json:"tried"`  // attempts in all
	Failures     float64 `json:"bad"`    // failures in all
	FailureShare float64 `json:"share"`  // of the last few attempts that failed
	LagMS        float64 `json:"lag_ms"` // as reported last
	AgeMS        int64   `json:"age_ms"` // of the last report
}

// CacheStatus is all that is known of a cache, for the operator.
type CacheStatus struct {
	CacheHealth
	Enough bool               `json:"enough"` // enough machines report the cache to suspect it
	By     []ReportedOutcomes `json:"by"`
}
