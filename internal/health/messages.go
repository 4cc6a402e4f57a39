package health

import (
	"cmp"
	"slices"
	"time"
)

// Settings configures aggregators, reporters and trackers. It must be the same for the leader and all directors.
type Settings struct {
	// AttemptWeight is the weight of one attempt in a director's smoothed share of failures. Smoothing is by attempts and not by
	// time: the last few attempts count, however long ago they were.
	AttemptWeight float64
	// Lifetime is the time after which a suspicion has expired, counted from the outcomes that it is based on.
	Lifetime time.Duration
	// MinMachines is the number of machines that must have reported on a cache within Lifetime for it to be suspected.
	MinMachines int
	// MinFailureShare is the share of failed attempts at and above which a cache is suspected.
	MinFailureShare float64
	// MaxCaches limits the number of caches in one report and in one result.
	MaxCaches int
}

// DefaultSettings are the settings of the leader and of all directors.
var DefaultSettings = Settings{
	AttemptWeight:   0.5,
	Lifetime:        8 * time.Second,
	MinMachines:     3,
	MinFailureShare: 0.15,
	MaxCaches:       32,
}

// Outcomes summarizes a director's attempts at a cache since its last report.
type Outcomes struct {
	Cache    string  `json:"b"`
	Attempts float64 `json:"n"`           // attempts, and fills from the cache
	Failures float64 `json:"f,omitempty"` // failed attempts for which the cache is responsible
	LagMS    float64 `json:"l,omitempty"` // smoothed response time in excess of what the response size accounts for
}

// isValid reports whether the outcomes are plausible. Invalid outcomes are dropped, not corrected.
func (o Outcomes) isValid() bool {
	return o.Cache != "" &&
		o.Attempts > 0 && o.Attempts < 1e9 &&
		o.Failures >= 0 && o.Failures <= o.Attempts &&
		o.LagMS >= 0 && o.LagMS < 1e9
}

// Report is a director's report to the control plane. It contains only caches with attempts.
type Report struct {
	Holder string     `json:"holder"` // ID of the director
	Seq    uint64     `json:"seq"`    // increases with each report; duplicate and late reports are ignored
	Caches []Outcomes `json:"boxes"`
}

// Trim returns at most MaxCaches outcomes, those with the most failures first. It reorders the slice.
func (s Settings) Trim(all []Outcomes) []Outcomes {
	slices.SortFunc(all, func(a, b Outcomes) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(b.Attempts, a.Attempts), cmp.Compare(a.Cache, b.Cache))
	})
	return all[:min(len(all), s.MaxCaches)]
}

// ReporterLocation identifies where a director runs: its machine, whose directors may fail together, and its location, whose directors
// send to the same caches.
type ReporterLocation struct {
	Machine  string `json:"Machine"`
	Location string `json:"Location"`
}

// CacheHealth is the aggregated health of one cache.
type CacheHealth struct {
	Cache        string  `json:"box"`
	FailureShare float64 `json:"bad"`      // share of attempts that fail, from 0 to 1
	Machines     int     `json:"machines"` // number of machines that report on it
	LagMS        float64 `json:"lag_ms"`   // median of the reported lags
	AgeMS        int64   `json:"age_ms"`   // age of the latest failure that FailureShare is based on
}

// AggregatedHealth lists the suspected caches at a point in time. Caches that are not listed are not suspected.
type AggregatedHealth struct {
	Epoch  int64         `json:"epoch"` // epoch of the aggregator; results of earlier epochs are ignored
	Seq    uint64        `json:"seq"`   // increases with each change
	Caches []CacheHealth `json:"all,omitempty"`
}

// ReportedOutcomes summarizes the reports of one director on a cache.
type ReportedOutcomes struct {
	Holder       string  `json:"director"`
	Machine      string  `json:"machine"`
	Attempts     float64 `json:"tried"`  // total attempts
	Failures     float64 `json:"bad"`    // total failures
	FailureShare float64 `json:"share"`  // share of the last few attempts that failed
	LagMS        float64 `json:"lag_ms"` // the last reported lag
	AgeMS        int64   `json:"age_ms"` // age of the last report
}

// CacheStatus is the status of a cache that is shown to the operator.
type CacheStatus struct {
	CacheHealth
	Enough bool               `json:"enough"` // enough machines report on the cache for it to be suspected
	By     []ReportedOutcomes `json:"by"`
}
