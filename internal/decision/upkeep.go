package decision

import "time"

// upkeepInterval paces upkeep. Nothing urgent waits for it.
const upkeepInterval = 250 * time.Millisecond

// upkeep measures rates and drops what is no longer needed.
func (r *Router) upkeep() {
	r.setTimer(upkeepInterval, Timer{Kind: TimerUpkeep})
	r.load.measure(r.now, r.longestDeadline)
	if r.endpoints.dropGone() {
		r.indexEndpoints()
	}
	r.purges.forget(r.now - purgeMemory*r.settings.PurgeDone)
}
