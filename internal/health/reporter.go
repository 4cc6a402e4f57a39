package health

import (
	"math"
	"time"
)

// reportInterval is the time from one report to the next where nothing has failed. Failures are reported with the next call.
const reportInterval = 500 * time.Millisecond

// Reporter gathers a director's outcomes until they are reported. It is not safe for concurrent use.
type Reporter struct {
	set        Settings
	holder     string
	seq        uint64
	reportedAt time.Duration
	pending    map[string]Outcomes // by cache
}

// NewReporter makes the reporter of a director.
func NewReporter(set Settings, holder string) *Reporter {
	return &Reporter{set: set, holder: holder, pending: map[string]Outcomes{}}
}

// Record adds attempts at a cache and how many of them failed. lag is the smoothed lag in seconds; it replaces the one before.
func (r *Reporter) Record(cache string, attempts, failures, lag float64) {
	o := r.pending[cache]
	o.Cache = cache
	o.Attempts += attempts
	o.Failures += failures
	o.LagMS = math.Round(lag * 1000)
	r.pending[cache] = o
}

// Report returns what is to be sent now. An empty report asks to be notified.
func (r *Reporter) Report(now time.Duration) Report {
	r.seq++
	report := Report{Holder: r.holder, Seq: r.seq, Caches: []Outcomes{}}
	if !r.hasFailures() && now-r.reportedAt < reportInterval {
		return report
	}
	for _, o := range r.pending {
		report.Caches = append(report.Caches, o)
	}
	report.Caches = r.set.Trim(report.Caches)
	clear(r.pending)
	r.reportedAt = now
	return report
}

func (r *Reporter) hasFailures() bool {
	for _, o := range r.pending {
		if o.Failures > 0 {
			return true
		}
	}
	return false
}
