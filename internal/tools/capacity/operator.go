package capacity

import "slices"

func changeBudget(s Size, _ Design) float64 { return s.ChangeWithin.Seconds() }

var operatorFormulas = slices.Concat(
	[]formula{
		{
			name:      "answer of `stairvane roll`",
			unit:      Bytes,
			mechanism: "one JSON answer with all directors",
			working:   "by directors",
			value:     valueAtDirectors(lawMembersAnswerBytes),
		},
		{
			name:      "answer of `stairvane audit` for one event",
			unit:      Bytes,
			mechanism: "one JSON answer with when each director applied it",
			working:   "by directors",
			value:     valueAtDirectors(lawAdoptionAnswerBytes),
		},
		{
			name:      "answer of `stairvane world`",
			unit:      Bytes,
			mechanism: "one JSON answer with all caches; locations, the membership and kept purges come on top",
			working:   "by caches",
			value:     func(c *calculation) float64 { return c.valueAt(lawStateAnswerBytes, float64(c.Caches)) },
		},
	},
	processFormulas(allScenarios, formula{
		name:      "a purge everywhere, p99",
		unit:      Seconds,
		budget:    purgeBudget,
		mechanism: "from the write's acceptance to its arrival at the last director, without failures, on one machine",
	}, processPurgeDelay),
	processFormulas([]scenario{{hasRelays: true}}, formula{
		name:      "a configuration change everywhere",
		unit:      Seconds,
		budget:    changeBudget,
		mechanism: "from the write to the last director's acknowledgement, without failures",
	}, processChangeDelay),
)
