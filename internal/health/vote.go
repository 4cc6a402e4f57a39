package health

import (
	"slices"
	"time"
)

// machineVote combines the reports on a cache by the directors of one machine.
type machineVote struct {
	failureShares float64 // sum over its directors
	directors     float64
	lagMS         float64
	failedAt      time.Duration // time of the last report with a failure
}

// aggregate computes the health of a cache from the votes of machines. enough is false if too few machines report on it.
//
// Fewer than a third of the machines that could report on the cache are assumed to be faulty. That number of votes, those with the
// highest shares of failures, is discarded and the rest are averaged, so faulty machines alone cannot cause the cache to be suspected.
// The latest failure times are discarded in the same way, so that faulty machines cannot prolong a suspicion.
func (a *Aggregator) aggregate(cache string, now time.Duration) (c CacheHealth, enough bool) {
	votes, reporters := a.votes(cache, now)
	c = CacheHealth{Cache: cache, Machines: len(votes)}
	maxFaulty := max(1, (a.eligibleMachines(reporters, now)-1)/3)
	counted := len(votes) - maxFaulty
	if len(votes) < a.settings.MinMachines || counted < a.settings.MinMachines-1 {
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
	// A single correct machine with an unrepresentative share of failures must not suffice in addition to the faulty ones.
	c.FailureShare = min(c.FailureShare, failureShares[counted-2])
	c.LagMS = lags[len(lags)/2]
	c.AgeMS = (now - failedAt[counted-1]).Milliseconds()
	return c, true
}

// votes returns the votes on a cache by machine, and the locations of its reporters. Reports older than Lifetime do not count.
func (a *Aggregator) votes(cache string, now time.Duration) (map[string]*machineVote, map[ReporterLocation]bool) {
	votes := map[string]*machineVote{}
	reporters := map[ReporterLocation]bool{}
	for _, o := range a.caches[cache] {
		if now-o.updatedAt >= a.settings.Lifetime {
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

// eligibleMachines returns the number of machines that could report on a cache: the active machines of each location where more than a
// third of them report on it. So a few faulty machines cannot cause a location that does not use the cache to be counted.
func (a *Aggregator) eligibleMachines(reporters map[ReporterLocation]bool, now time.Duration) int {
	eligible := 0
	for location, machines := range a.machines {
		active, reporting := 0, 0
		for machine, at := range machines {
			if now-at >= a.settings.Lifetime {
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
