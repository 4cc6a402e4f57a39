package capacity

// maxReconnectDelay returns the maximum backoff, in seconds, before a director that has lost its watch reconnects. The formula is
// the one of WatchTiming.ReconnectDelay in internal/director/timing.go.
func (c *calculation) maxReconnectDelay() float64 {
	spread := min(float64(c.Directors-1)*c.ReconnectSpread.Seconds(), c.ReconnectSpreadMax.Seconds())
	return 1.5*c.ReconnectRetry.Seconds() + spread
}

// leaveAndJoinBytes returns how many bytes all directors together receive when the given number of directors leave and rejoin.
func (c *calculation) leaveAndJoinBytes(leaving float64) float64 {
	return c.directorCount() * leaving * (c.slope(lawMemberJoinedBytes) + c.slope(lawMemberLeftBytes))
}

func noEventMissedBudget(Size, Design) float64 { return 1 }

var failureFormulas = []formula{
	{
		name:      "a day's 750 restarts: first answers",
		unit:      BytesPerSecond,
		mechanism: "each gets the whole list and membership; the mean over the day, all replicas or relays together",
		working:   "restarts/day x the first answer",
		value:     func(c *calculation) float64 { return c.restartsPerSecond() * c.snapshotBytes() },
	},
	{
		name:      "a day's 750 restarts: membership",
		unit:      BytesPerSecond,
		mechanism: "each leaves and joins, and each of the others is sent both; the mean over the day",
		working:   "restarts/day x directors x bytes of both",
		value:     func(c *calculation) float64 { return c.restartsPerSecond() * c.leaveAndJoinBytes(1) },
	},
	{
		name:      "a start: its share of a director's bytes",
		unit:      Seconds,
		mechanism: "the first answer at the bytes a second that a director may spend",
		working:   "the first answer / bytes a second",
		value:     func(c *calculation) float64 { return c.snapshotBytes() / c.DirectorBytesPerSecond },
	},
	{
		name:      "a rack or a switch (one site at most): membership",
		unit:      Bytes,
		mechanism: "its directors leave in one event and join in one or a few",
		working:   "directors/sites, sent to all directors",
		value:     func(c *calculation) float64 { return c.leaveAndJoinBytes(c.directorsPer(c.Sites)) },
	},
	{
		name:      "a zone: membership",
		unit:      Bytes,
		mechanism: "the same for a zone's directors; its caches are the observer's matter",
		working:   "directors/zones, sent to all directors",
		value:     func(c *calculation) float64 { return c.leaveAndJoinBytes(c.directorsPer(c.Zones)) },
	},
	{
		name:      "a zone comes back: first answers",
		unit:      Bytes,
		mechanism: "each of its directors gets the whole list and membership",
		working:   "directors/zones x the first answer",
		value:     func(c *calculation) float64 { return c.directorsPer(c.Zones) * c.snapshotBytes() },
	},
	{
		name:   "a zone or a region comes back: encoding first answers",
		unit:   Cores,
		budget: loopBudget,
		mechanism: "directors that come between two events share one encoding; the next event makes it anew, " +
			"on the loop that serves all",
		working: "events/s x encoding the first answer",
		value: func(c *calculation) float64 {
			return c.eventsPerSecond() * c.valueAt(lawSnapshotTime, c.directorCount())
		},
	},
	{
		name:   "a relay or a replica is lost: longest time to another",
		unit:   Seconds,
		budget: purgeBudget,
		mechanism: "the pause before a lost watch is dialled again widens by 2.5 ms for each director of the configuration, " +
			"by 200 ms at most; no measurement, the program's constants",
		working: "1.5 x 40 ms + (directors - 1) x 2.5 ms, of that 200 ms at most",
		value:   (*calculation).maxReconnectDelay,
	},
	{
		name:      "regions apart for an hour: longest wait for a purge",
		unit:      Seconds,
		budget:    purgeBudget,
		mechanism: "the side without a majority has no lease and closes its watches until the other side is back; no measurement",
		working:   "the time for which regions are apart",
		value:     func(c *calculation) float64 { return c.PartitionDuration.Seconds() },
	},
	{
		name:   "regions apart for an hour: events missed over events kept",
		unit:   Share,
		budget: noEventMissedBudget,
		mechanism: "over 1, a director that comes back is sent the whole list and ten minutes of purges, not what it missed; " +
			"no measurement",
		working: "an hour of events / events kept",
		value: func(c *calculation) float64 {
			return c.eventsPerSecond() * c.PartitionDuration.Seconds() / float64(c.HistoryLength)
		},
	},
	{
		name:      "a region comes back: first answers",
		unit:      Bytes,
		mechanism: "each of its directors gets the whole list, the membership and ten minutes of purges, within the pause above",
		working:   "directors/regions x the first answer",
		value:     func(c *calculation) float64 { return c.directorsPer(c.Regions) * c.snapshotBytes() },
	},
}
