package health

import (
	"slices"
	"time"
)

// machineVote is what the directors of one machine report of a cache together.
type machineVote struct {
	failureShares float64 // the sum of its directors'
	directors     float64
	lagMS         float64
	failedAt      time.Duration // of the last report with a failure
}

// aggregate decides the health of a cache from the votes of machines; false if too few report it.
//
// A third of the machines that could report the cache may be faulty. So the votes with the highest shares of failures are left
// out, as many as that, and the rest is averaged: faulty machines alone can't have the cache suspected. What they report last is
// left out in the same way, so that they can't keep a suspicion alive.
func (a *Aggregator) aggregate(cache string, now time.Duration) (c CacheHealth, enough bool) {
	votes, reporters := a.votes(cache, now)
	c = CacheHealth{Cache: cache, Machines: len(votes)}
	maxFaulty := max(1, (a.eligibleMachines(reporters, now)-1)/3)
	counted := len(votes) - maxFaulty
	if len(votes) < a.set.MinMachines || counted < a.set.MinMachines-1 {
		return c, false
	}
	var failureShares, lags []float64
	var failedAt []time.Duration
	for _, v := range votes {
		failureShares = append(failureShares, v.failureShares/v.directors)
		lags = append(lags, v.lagMS)
		failedAt = append(failedAt, v.failedAt)
	}
	slices.Sort(failureShares)
	slices.Sort(lags)
	slices.Sort(failedAt)
	for _, share := range failureShares[:counted] {
		c.FailureShare += share / float64(counted)
	}
	// One sound machine with bad luck, beside the faulty ones, must not be enough.
	c.FailureShare = min(c.FailureShare, failureShares[counted-2])
	c.LagMS = lags[len(lags)/2]
	c.AgeMS = (now - failedAt[counted-1]).Milliseconds()
	return c, true
}

// votes returns the votes on a cache by machine, and the places that report it. Reports older than a lifetime do not count.
func (a *Aggregator) votes(cache string, now time.Duration) (map[string]*machineVote, map[ReporterLocation]bool) {
	votes := map[string]*machineVote{}
	reporters := map[ReporterLocation]bool{}
	for _, o := range a.caches[cache] {
		if now-o.updatedAt >= a.set.Lifetime {
			continue
		}
		reporters[o.ReporterLocation] = true
		v := votes[o.Machine]
		if v == nil {
			v = &machineVote{}
			votes[o.Machine] = v
		}
		v.failureShares += o.failureShare
		v.directors++
		v.lagMS = max(v.lagMS, o.lagMS)
		v.failedAt = max(v.failedAt, o.failedAt)
	}
	return votes, reporters
}

// eligibleMachines counts the machines that could report a cache: the active ones of each location where more than a third report
// it. So a few faulty machines can't speak for a location that does not use the cache.
func (a *Aggregator) eligibleMachines(reporters map[ReporterLocation]bool, now time.Duration) int {
	eligible := 0
	for location, machines := range a.machines {
		active, reporting := 0, 0
		for machine, at := range machines {
			if now-at >= a.set.Lifetime {
				continue
			}
			active++
			if reporters[ReporterLocation{Machine: machine, Location: location}] {
				reporting++
			}
		}
		if 3*reporting > active {
			eligible += active
		}
	}
	return eligible
}
