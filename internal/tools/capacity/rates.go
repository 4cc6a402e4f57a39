package capacity

import (
	"math"
	"time"
)

const secondsPerDay = 24 * 60 * 60

// The event log in memory is cut only when it is over what it retains by half, and by a thousand events more; see the package
// eventlog of the control plane.
const (
	historyGrowth = 1.5
	historyExcess = 1000 // events
)

// perSecond is how often something happens that happens once in each interval.
func perSecond(interval time.Duration) float64 { return 1 / interval.Seconds() }

// leasesPerSecond are the lease renewals of one replica or relay.
func (c *calculation) leasesPerSecond() float64 { return perSecond(c.LeaseInterval) }

// changesPerSecond are changes of the configuration.
func (c *calculation) changesPerSecond() float64 { return c.ChangesPerDay / secondsPerDay }

// restartsPerSecond are restarts of machines.
func (c *calculation) restartsPerSecond() float64 { return c.RestartsPerDay / secondsPerDay }

// membershipPerSecond are changes of the membership: each restarted machine leaves and joins. All machines count as directors,
// which nearly all are.
func (c *calculation) membershipPerSecond() float64 {
	return c.EventsPerRestart * c.RestartsPerDay / secondsPerDay
}

// eventsPerSecond are all events of the log.
func (c *calculation) eventsPerSecond() float64 {
	return c.PurgesPerSecond + c.changesPerSecond() + c.membershipPerSecond()
}

// callsPerSecond are the watch requests of one director to a server that gathers events for the given time. A request ends at its
// timeout, or with the first event after the gathering. Events come at random moments (a Poisson process). The time on the network
// is left out, so that the result is an upper bound.
func (c *calculation) callsPerSecond(gather time.Duration) float64 {
	events := c.eventsPerSecond()
	timeout := c.WatchTimeout.Seconds()
	gathering := min(gather.Seconds(), timeout)
	waiting := (math.Exp(-events*gathering) - math.Exp(-events*timeout)) / events
	return 1 / (gathering + waiting)
}

// renewalsPerSecond are the quota renewals of one director that reach the leader: a replica forwards only the last one with its next
// lease renewal.
func (c *calculation) renewalsPerSecond() float64 {
	return min(c.callsPerSecond(0), c.leasesPerSecond())
}

// directors is the number of all directors.
func (c *calculation) directors() float64 { return float64(c.Directors) }

// directorsPer is how many directors each of several servers has.
func (c *calculation) directorsPer(servers int) float64 {
	return c.directors() / float64(servers)
}

// directorPurges is how many purges a director retains: each until it is done everywhere twice over, and until the last answer that
// may be under way has ended.
func (c *calculation) directorPurges() float64 {
	return c.PurgesPerSecond * (c.PurgeRetentionFactor*c.PurgeWithin.Seconds() + c.LongestDeadline.Seconds())
}

// controlPlanePurges is how many purges the control plane retains for directors that come back.
func (c *calculation) controlPlanePurges() float64 {
	return c.PurgesPerSecond * c.PurgeRetention.Seconds()
}

// openRequests is the most requests that one director has in flight at the peak: each until its deadline.
func (c *calculation) openRequests() float64 {
	return c.RequestsPerSecond / c.directors() * c.LongestDeadline.Seconds()
}

// maxHistoryEvents is the most events that a replica has in memory between two cuts of its log.
func (c *calculation) maxHistoryEvents() float64 {
	return historyGrowth*float64(c.HistoryLength) + historyExcess
}

// snapshotBytes is the first answer that a director gets: the complete endpoint list with the membership, and the retained purges.
func (c *calculation) snapshotBytes() float64 {
	return c.valueAt(lawSnapshotBytes, c.directors()) + c.slope(lawPurgeBytes)*c.controlPlanePurges()
}
