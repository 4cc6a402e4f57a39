package capacity

import "slices"

func directorCoresBudget(s Size, _ Design) float64  { return s.DirectorCores }
func directorMemoryBudget(s Size, _ Design) float64 { return s.DirectorBytes }
func directorBytesBudget(s Size, _ Design) float64  { return s.DirectorBytesPerSecond }
func answerBudget(_ Size, d Design) float64         { return d.MaxAnswerBytes }

// directorCallCores returns the processor time of a director's watch requests, in cores.
func (c *calculation) directorCallCores(s scenario) float64 {
	return c.calls(s) * c.valueAt(lawDirectorCallTime, float64(c.coldCaches(s)))
}

// directorEventCores returns the processor time that a director spends on applying events, in cores.
func (c *calculation) directorEventCores() float64 {
	return c.PurgesPerSecond*c.valueAt(lawPurgeTime, c.maxOpenRequests()) +
		c.changesPerSecond()*c.valueAt(lawHostChangeTime, float64(c.Caches)) +
		c.membershipChangesPerSecond()*c.valueAt(lawMemberChangeTime, c.directorCount())
}

// callBytesPerSecond returns the traffic of a director's watch requests and answers without events, in bytes per second, both
// directions together.
func (c *calculation) callBytesPerSecond(s scenario) float64 {
	coldCaches := float64(c.coldCaches(s))
	return c.calls(s) * (c.valueAt(lawCallBytes, coldCaches) + c.valueAt(lawAnswerBytes, coldCaches))
}

// eventBytesPerSecond returns the traffic of all events to one director, in bytes per second.
func (c *calculation) eventBytesPerSecond() float64 {
	return c.PurgesPerSecond*c.slope(lawPurgeBytes) + c.changesPerSecond()*c.slope(lawHostBytes) +
		c.membershipChangesPerSecond()*(c.slope(lawMemberJoinedBytes)+c.slope(lawMemberLeftBytes))/2
}

// reportBytesPerSecond returns the traffic of a director's health reports, in bytes per second.
func (c *calculation) reportBytesPerSecond() float64 {
	return perSecond(c.HealthReportInterval) * c.valueAt(lawReportBytes, float64(c.ReportedCaches))
}

// controlBytesPerSecond returns all control traffic of a director, in bytes per second, both directions together.
func (c *calculation) controlBytesPerSecond(s scenario) float64 {
	return c.callBytesPerSecond(s) + c.eventBytesPerSecond() + c.reportBytesPerSecond()
}

var directorFormulas = slices.Concat(
	directorTimeFormulas,
	directorHeapFormulas,
	directorProcessMemoryFormulas,
	directorByteFormulas,
	directorStateFormulas,
)

var directorTimeFormulas = slices.Concat(
	forScenarios(allScenarios, formula{
		name:      "processor time of watch calls",
		unit:      Cores,
		mechanism: "one long poll at a time; each event ends it, and so does its patience; a relay gathers events for that time",
		working:   "calls/s x time of a call with quotas of so many cold caches",
	}, (*calculation).directorCallCores),
	[]formula{{
		name:      "processor time of events",
		unit:      Cores,
		mechanism: "a purge goes over the open requests; a host change over the list; a membership change over all directors",
		working:   "purges/s x purge + changes/s x host change + membership changes/s x change",
		value:     (*calculation).directorEventCores,
	}},
	forScenarios(allScenarios, formula{
		name:      "processor time of control, in code",
		unit:      Cores,
		budget:    directorCoresBudget,
		mechanism: "the two above; system calls and the building of health reports are not in it",
		working:   "calls + events",
	}, func(c *calculation, s scenario) float64 {
		return c.directorCallCores(s) + c.directorEventCores()
	}),
	processFormulas(allScenarios, formula{
		name:      "processor time of control, whole process",
		unit:      Cores,
		budget:    directorCoresBudget,
		mechanism: "a real director without requests, system calls counted",
	}, processDirectorCores),
)

var directorHeapFormulas = []formula{
	{
		name:      "memory of the host list",
		unit:      Bytes,
		mechanism: "every cache of all zones is kept twice: in routing with its links, and in the decision module",
		working:   "by caches",
		value:     slopeTimesCaches(lawHostMemory),
	},
	{
		name:      "memory of purges",
		unit:      Bytes,
		mechanism: "kept for twice the time in which a purge is done everywhere, and the longest deadline; then dropped each 0.5 s",
		working:   "purges/s x kept time x memory of one",
		value:     func(c *calculation) float64 { return c.slope(lawPurgeMemory) * c.purgesRetainedByDirector() },
	},
	{
		name:      "memory of the membership",
		unit:      Bytes,
		mechanism: "the ID and location of every director",
		working:   "by directors",
		value:     func(c *calculation) float64 { return c.slope(lawMembershipMemory) * c.directorCount() },
	},
	{
		name:      "memory of control, in the heap",
		unit:      Bytes,
		budget:    directorMemoryBudget,
		mechanism: "the three above and the process without any of them",
		working:   "host list (with the process itself) + purges + membership",
		value: func(c *calculation) float64 {
			return c.valueAt(lawHostMemory, float64(c.Caches)) + c.slope(lawPurgeMemory)*c.purgesRetainedByDirector() +
				c.slope(lawMembershipMemory)*c.directorCount()
		},
	},
}

var directorProcessMemoryFormulas = processFormulas(allScenarios, formula{
	name:      "memory, whole process",
	unit:      Bytes,
	budget:    directorMemoryBudget,
	mechanism: "the same with the program's code, stacks and what the collector leaves",
}, processDirectorMemory)

var directorByteFormulas = slices.Concat(
	forScenarios(allScenarios, formula{
		name:      "bytes of watch calls",
		unit:      BytesPerSecond,
		mechanism: "a JSON header announces the director anew with each call, its quota renewal in it",
		working:   "calls/s x (call + answer with quotas of so many cold caches)",
	}, (*calculation).callBytesPerSecond),
	[]formula{
		{
			name:      "bytes of events",
			unit:      BytesPerSecond,
			mechanism: "each event goes to each director",
			working:   "purges/s + host changes/s + membership changes/s, by their bytes",
			value:     (*calculation).eventBytesPerSecond,
		},
		{
			name:      "bytes of health reports",
			unit:      BytesPerSecond,
			mechanism: "in the same header; each 0.5 s where nothing fails",
			working:   "reports/s x report on the caches of one zone",
			value:     (*calculation).reportBytesPerSecond,
		},
	},
	forScenarios(allScenarios, formula{
		name:      "bytes of control",
		unit:      BytesPerSecond,
		budget:    directorBytesBudget,
		mechanism: "the three above; TCP and IP headers are not in it",
		working:   "calls + events + reports",
	}, (*calculation).controlBytesPerSecond),
	processFormulas(allScenarios, formula{
		name:      "bytes of a hollow director's watch",
		unit:      BytesPerSecond,
		budget:    directorBytesBudget,
		mechanism: "calls and answers with events, as counted; without health reports, configuration changes and headers of TCP and IP",
	}, processDirectorBytes),
)

var directorStateFormulas = []formula{
	{
		name:      "the first answer",
		unit:      Bytes,
		budget:    answerBudget,
		mechanism: "the whole list, the whole membership and the purges of ten minutes in one answer that can't be divided",
		working:   "by directors + purges of ten minutes",
		value:     (*calculation).snapshotBytes,
	},
	{
		name:      "the first answer: its caches",
		unit:      Bytes,
		mechanism: "a line of JSON for each cache of all zones",
		working:   "by caches",
		value:     slopeTimesCaches(lawSnapshotCacheBytes),
	},
	{
		name:      "memory of open requests",
		unit:      Bytes,
		mechanism: "no control: a request is kept until its deadline at the latest",
		working:   "requests/s of one director x longest deadline x memory of one",
		value:     func(c *calculation) float64 { return c.slope(lawOpenMemory) * c.maxOpenRequests() },
	},
	{
		name:      "growth for each object served",
		unit:      Bytes,
		mechanism: "none: the table holds objects in flight alone, however many there are",
		working:   "slope over objects served",
		value:     func(c *calculation) float64 { return c.slope(lawServedMemory) },
	},
}
