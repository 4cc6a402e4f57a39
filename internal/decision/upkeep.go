package decision

import "time"

// upkeepInterval is the interval at which upkeep runs. None of its work is urgent.
const upkeepInterval = 250 * time.Millisecond

// upkeep measures the load rates, removes expired state and schedules the next upkeep.
func (r *Router) upkeep() {
	r.setTimer(upkeepInterval, Timer{Kind: TimerUpkeep})
	r.load.measure(r.now, r.longestDeadline)
	if r.endpoints.removeGone() {
		r.indexEndpoints()
	}
	r.purges.expireBefore(r.now - purgeRetentionFactor*r.settings.PurgeDone)
}
