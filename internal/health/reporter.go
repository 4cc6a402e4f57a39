package health

import (
	"math"
	"time"
)

// reportInterval is the interval between reports without failures. Failures are reported with the next call.
const reportInterval = 500 * time.Millisecond

// Reporter collects a director's outcomes until they are reported. It is not safe for concurrent use.
type Reporter struct {
	settings   Settings
	holder     string
	seq        uint64
	reportedAt time.Duration
	pending    map[string]Outcomes // by cache
}

// NewReporter returns the reporter of a director. holder is the director's ID.
func NewReporter(settings Settings, holder string) *Reporter {
	return &Reporter{settings: settings, holder: holder, pending: map[string]Outcomes{}}
}

// Record adds a number of attempts at a cache and the number of those that failed. lag is the smoothed lag in seconds; it replaces the
// previous value.
func (r *Reporter) Record(cache string, attempts, failures, lag float64) {
	o := r.pending[cache]
	o.Cache = cache
	o.Attempts += attempts
	o.Failures += failures
	o.LagMS = math.Round(lag * 1000)
	r.pending[cache] = o
}

// Report returns the report to send with the next call. An empty report still requests a notification.
func (r *Reporter) Report(now time.Duration) Report {
	r.seq++
	report := Report{Holder: r.holder, Seq: r.seq, Caches: []Outcomes{}}
	if !r.hasFailures() && now-r.reportedAt < reportInterval {
		return report
	}
	for _, o := range r.pending {
		report.Caches = append(report.Caches, o)
	}
	report.Caches = r.settings.Trim(report.Caches)
	clear(r.pending)
	r.reportedAt = now
	return report
}

// hasFailures reports whether any pending outcome has a failure.
func (r *Reporter) hasFailures() bool {
	for _, o := range r.pending {
		if o.Failures > 0 {
			return true
		}
	}
	return false
}
