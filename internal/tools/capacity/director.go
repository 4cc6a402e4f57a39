package capacity

import "slices"

func directorCores(s Size, _ Design) float64  { return s.DirectorCores }
func directorMemory(s Size, _ Design) float64 { return s.DirectorBytes }
func directorBytes(s Size, _ Design) float64  { return s.DirectorBytesPerSecond }

// callBytes is what watch calls cost both ways, besides events, a second.
func (c *calculation) callBytes(s serving) float64 {
	cold := float64(c.coldCaches(s))
	return c.calls(s) * (c.at(lawCallBytes, cold) + c.at(lawAnswerBytes, cold))
}

// eventBytes is what all events cost each director, a second.
func (c *calculation) eventBytes() float64 {
	return c.PurgesPerSecond*c.each(lawPurgeBytes) + c.changesPerSecond()*c.each(lawHostBytes) +
		c.membershipPerSecond()*(c.each(lawMemberBytes)+c.each(lawGoneBytes))/2
}

func (c *calculation) reportBytes() float64 {
	return perSecond(c.HealthEvery) * c.at(lawReportBytes, float64(c.ReportedCaches))
}

// controlBytes is all that control costs a director, both ways, a second.
func (c *calculation) controlBytes(s serving) float64 {
	return c.callBytes(s) + c.eventBytes() + c.reportBytes()
}

func (c *calculation) directorCallCores(s serving) float64 {
	return c.calls(s) * c.at(lawDirectorCallTime, float64(c.coldCaches(s)))
}

func (c *calculation) directorEventCores() float64 {
	return c.PurgesPerSecond*c.at(lawPurgeTime, c.requestsOpen()) +
		c.changesPerSecond()*c.at(lawHostChangeTime, float64(c.Caches)) +
		c.membershipPerSecond()*c.at(lawMemberChangeTime, float64(c.Directors))
}

var directorFormulas = slices.Concat(directorTimeFormulas(), directorMemoryFormulas, directorByteFormulas(), directorStateFormulas)

func directorTimeFormulas() []formula {
	return slices.Concat(
		forServings(servings, formula{
			role: Director, name: "processor time of watch calls", unit: Cores,
			mechanism: "one long poll at a time; each event ends it, and so does its patience; a relay gathers events for that time",
			working:   "calls/s x time of a call with quotas of so many cold caches",
		}, (*calculation).directorCallCores),
		[]formula{{
			role: Director, name: "processor time of events", unit: Cores,
			mechanism: "a purge goes over the open requests; a host change over the list; a membership change over all directors",
			working:   "purges/s x purge + changes/s x host change + membership changes/s x change",
			value:     (*calculation).directorEventCores,
		}},
		forServings(servings, formula{
			role: Director, name: "processor time of control, in code", unit: Cores, budget: directorCores,
			mechanism: "the two above; system calls and the building of health reports are not in it",
			working:   "calls + events",
		},
			func(c *calculation, s serving) float64 { return c.directorCallCores(s) + c.directorEventCores() }),
		processFormulas(servings, formula{
			role: Director, name: "processor time of control, whole process", unit: Cores, budget: directorCores,
			mechanism: "a real director without requests, system calls counted",
		}, processDirectorCores))
}

var directorMemoryFormulas = []formula{
	{
		role: Director, name: "memory of the host list", unit: Bytes,
		mechanism: "every cache of all zones is kept twice: in routing with its links, and in the decision module",
		working:   "by caches",
		value:     func(c *calculation) float64 { return c.each(lawHostMemory) * float64(c.Caches) },
	},
	{
		role: Director, name: "memory of purges", unit: Bytes,
		mechanism: "kept for twice the time in which a purge is done everywhere, and the longest deadline; then dropped each 0.5 s",
		working:   "purges/s x kept time x memory of one",
		value:     func(c *calculation) float64 { return c.each(lawPurgeMemory) * c.purgesKept() },
	},
	{
		role: Director, name: "memory of the membership", unit: Bytes,
		mechanism: "the ID and location of every director",
		working:   "by directors",
		value:     func(c *calculation) float64 { return c.each(lawMembershipMemory) * float64(c.Directors) },
	},
	{
		role: Director, name: "memory of control, in the heap", unit: Bytes, budget: directorMemory,
		mechanism: "the three above and the process without any of them",
		working:   "host list (with the process itself) + purges + membership",
		value: func(c *calculation) float64 {
			return c.at(lawHostMemory, float64(c.Caches)) + c.each(lawPurgeMemory)*c.purgesKept() +
				c.each(lawMembershipMemory)*float64(c.Directors)
		},
	},
}

func directorByteFormulas() []formula {
	return slices.Concat(
		processFormulas(servings, formula{
			role: Director, name: "memory, whole process", unit: Bytes, budget: directorMemory,
			mechanism: "the same with the program's code, stacks and what the collector leaves",
		}, processDirectorMemory),
		forServings(servings, formula{
			role: Director, name: "bytes of watch calls", unit: BytesPerSecond,
			mechanism: "a JSON header announces the director anew with each call, its quota renewal in it",
			working:   "calls/s x (call + answer with quotas of so many cold caches)",
		}, (*calculation).callBytes),
		[]formula{
			{
				role: Director, name: "bytes of events", unit: BytesPerSecond,
				mechanism: "each event goes to each director",
				working:   "purges/s + host changes/s + membership changes/s, by their bytes",
				value:     (*calculation).eventBytes,
			},
			{
				role: Director, name: "bytes of health reports", unit: BytesPerSecond,
				mechanism: "in the same header; each 0.5 s where nothing fails",
				working:   "reports/s x report on the caches of one zone",
				value:     (*calculation).reportBytes,
			},
		},
		forServings(servings, formula{
			role: Director, name: "bytes of control", unit: BytesPerSecond, budget: directorBytes,
			mechanism: "the three above; TCP and IP headers are not in it",
			working:   "calls + events + reports",
		}, (*calculation).controlBytes),
		processFormulas(servings, formula{
			role: Director, name: "bytes of a hollow director's watch", unit: BytesPerSecond, budget: directorBytes,
			mechanism: "calls and answers with events, as counted; without health reports, configuration changes and headers of TCP and IP",
		},
			processDirectorBytes))
}

var directorStateFormulas = []formula{
	{
		role: Director, name: "the first answer", unit: Bytes, budget: func(_ Size, d Design) float64 { return d.LargestAnswer },
		mechanism: "the whole list, the whole membership and the purges of ten minutes in one answer that can't be divided",
		working:   "by directors + purges of ten minutes",
		value:     (*calculation).wholeAnswer,
	},
	{
		role: Director, name: "the first answer: its caches", unit: Bytes,
		mechanism: "a line of JSON for each cache of all zones",
		working:   "by caches",
		value:     func(c *calculation) float64 { return c.each(lawWholeCacheBytes) * float64(c.Caches) },
	},
	{
		role: Director, name: "memory of open requests", unit: Bytes,
		mechanism: "no control: a request is kept until its deadline at the latest",
		working:   "requests/s of one director x longest deadline x memory of one",
		value:     func(c *calculation) float64 { return c.each(lawOpenMemory) * c.requestsOpen() },
	},
	{
		role: Director, name: "growth for each object served", unit: Bytes,
		mechanism: "none: the table holds objects in flight alone, however many there are",
		working:   "slope over objects served",
		value:     func(c *calculation) float64 { return c.each(lawServedMemory) },
	},
}
