package capacity

import (
	"math"
	"time"
)

const secondsPerDay = 24 * 60 * 60

// The in-memory event log is truncated only when it exceeds its retained length by half and by another thousand events; see the
// package eventlog of the control plane.
const (
	historyGrowth = 1.5
	historyExcess = 1000 // events
)

// perSecond returns the rate, per second, of something that occurs once in each interval.
func perSecond(interval time.Duration) float64 { return 1 / interval.Seconds() }

// leasesPerSecond returns the rate of lease renewals of one replica or relay.
func (c *calculation) leasesPerSecond() float64 { return perSecond(c.LeaseInterval) }

// changesPerSecond returns the rate of configuration changes.
func (c *calculation) changesPerSecond() float64 { return c.ChangesPerDay / secondsPerDay }

// restartsPerSecond returns the rate of machine restarts.
func (c *calculation) restartsPerSecond() float64 { return c.RestartsPerDay / secondsPerDay }

// membershipChangesPerSecond returns the rate of membership changes: each restarted machine leaves and rejoins. All machines are
// counted as directors, since nearly all of them are.
func (c *calculation) membershipChangesPerSecond() float64 {
	return c.EventsPerRestart * c.RestartsPerDay / secondsPerDay
}

// eventsPerSecond returns the rate of all events in the log.
func (c *calculation) eventsPerSecond() float64 {
	return c.PurgesPerSecond + c.changesPerSecond() + c.membershipChangesPerSecond()
}

// callsPerSecond returns the rate of watch requests of one director to a server that batches events for the given time. A request
// ends at its timeout, or with the first event after the batching time. Events are assumed to form a Poisson process. Network
// latency is ignored, so the result is an upper bound.
func (c *calculation) callsPerSecond(batchTime time.Duration) float64 {
	events := c.eventsPerSecond()
	timeout := c.WatchTimeout.Seconds()
	batching := min(batchTime.Seconds(), timeout)
	waiting := (math.Exp(-events*batching) - math.Exp(-events*timeout)) / events
	return 1 / (batching + waiting)
}

// renewalsPerSecond returns the rate of quota renewals of one director that reach the leader. A replica forwards only the latest
// renewal with its next lease renewal.
func (c *calculation) renewalsPerSecond() float64 {
	return min(c.callsPerSecond(0), c.leasesPerSecond())
}

// directorCount returns the total number of directors.
func (c *calculation) directorCount() float64 { return float64(c.Directors) }

// directorsPer returns the number of directors of each server if all directors are spread evenly over the given number of servers.
func (c *calculation) directorsPer(servers int) float64 {
	return c.directorCount() / float64(servers)
}

// purgesRetainedByDirector returns how many purges a director retains. It retains each purge for twice the time within which a purge
// must be complete everywhere (PurgeRetentionFactor), plus the longest deadline, by which the last response in flight has ended.
func (c *calculation) purgesRetainedByDirector() float64 {
	return c.PurgesPerSecond * (c.PurgeRetentionFactor*c.PurgeWithin.Seconds() + c.LongestDeadline.Seconds())
}

// purgesRetainedByControlPlane returns how many purges the control plane retains for directors that reconnect.
func (c *calculation) purgesRetainedByControlPlane() float64 {
	return c.PurgesPerSecond * c.PurgeRetention.Seconds()
}

// maxOpenRequests returns the maximum number of requests in flight at one director at peak load, if each lasts until its deadline.
func (c *calculation) maxOpenRequests() float64 {
	return c.RequestsPerSecond / c.directorCount() * c.LongestDeadline.Seconds()
}

// maxHistoryEvents returns the maximum number of events that a replica has in memory between two truncations of its log.
func (c *calculation) maxHistoryEvents() float64 {
	return historyGrowth*float64(c.HistoryLength) + historyExcess
}

// snapshotBytes returns the size, in bytes, of the first answer to a director: the complete endpoint list, the membership and the
// retained purges.
func (c *calculation) snapshotBytes() float64 {
	return c.valueAt(lawSnapshotBytes, c.directorCount()) + c.slope(lawPurgeBytes)*c.purgesRetainedByControlPlane()
}
