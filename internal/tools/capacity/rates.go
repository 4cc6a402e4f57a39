package capacity

import (
	"math"
	"time"
)

const secondsPerDay = 24 * 60 * 60

// perSecond is how often something happens that happens once each interval.
func perSecond(interval time.Duration) float64 { return 1 / interval.Seconds() }

// changesPerSecond are changes of the configuration.
func (c *calculation) changesPerSecond() float64 { return c.ChangesPerDay / secondsPerDay }

// membershipPerSecond are changes of the membership: each restarted machine leaves and joins. All machines count as directors,
// which they nearly are.
func (c *calculation) membershipPerSecond() float64 {
	return c.EventsPerRestart * c.RestartsPerDay / secondsPerDay
}

// eventsPerSecond are all events of the log.
func (c *calculation) eventsPerSecond() float64 {
	return c.PurgesPerSecond + c.changesPerSecond() + c.membershipPerSecond()
}

// callsPerSecond are the watch calls of one director at a server that gathers events for so long. A call ends with its patience, or
// with the first event that comes after the gathering. Events come at random moments (Poisson), the way to and fro is left out, so
// it is the most that there can be.
func (c *calculation) callsPerSecond(gather time.Duration) float64 {
	events := c.eventsPerSecond()
	patience := c.WatchPatience.Seconds()
	gathered := min(gather.Seconds(), patience)
	waited := (math.Exp(-events*gathered) - math.Exp(-events*patience)) / events
	return 1 / (gathered + waited)
}

// renewalsPerSecond are the quota renewals of one director at the leader: a replica keeps the last one until its next lease call.
func (c *calculation) renewalsPerSecond() float64 {
	return min(c.callsPerSecond(0), perSecond(c.LeaseEvery))
}

// directorsPer is how many directors each of so many servers has.
func (c *calculation) directorsPer(servers int) float64 {
	return float64(c.Directors) / float64(servers)
}

// purgesKept is how many purges a director keeps: each for twice the time in which it is done everywhere, and for the longest answer
// that may be on its way.
func (c *calculation) purgesKept() float64 {
	return c.PurgesPerSecond * (c.PurgeKeepFactor*c.PurgeWithin.Seconds() + c.LongestDeadline.Seconds())
}

// requestsOpen is the most requests that one director has open at the peak: each until its deadline.
func (c *calculation) requestsOpen() float64 {
	return c.RequestsPerSecond / float64(c.Directors) * c.LongestDeadline.Seconds()
}

// purgesRetold is how many purges the control plane keeps for directors that come back.
func (c *calculation) purgesRetold() float64 { return c.PurgesPerSecond * c.PurgeKept.Seconds() }

// historyMost is the most events that a replica holds in memory between two cuts of its history.
func (c *calculation) historyMost() float64 { return 1.5*float64(c.HistoryKept) + 1000 }

// wholeAnswer is the first answer that a director gets, in bytes: the whole list with the membership, and the purges that are kept.
func (c *calculation) wholeAnswer() float64 {
	return c.at(lawWholeBytes, float64(c.Directors)) + c.each(lawPurgeBytes)*c.purgesRetold()
}
