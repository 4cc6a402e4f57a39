package capacity

import "fmt"

// processLawName is the name of a law of real processes in a deployment with relays or without, and with a number of cold caches.
func processLawName(cost processCost, hasRelays bool, coldCaches int) string {
	name := "process." + string(cost) + ".without_relays"
	if hasRelays {
		name = "process." + string(cost) + ".with_relays"
	}
	if coldCaches > 0 {
		name += fmt.Sprintf("_%d_cold", coldCaches)
	}
	return name
}

// processMeasure is what one law of real processes takes from a row.
type processMeasure struct {
	cost       processCost
	about      string
	unit       Unit
	isPerRelay bool // by the directors of one relay
	value      func(Row) float64
}

var processMeasures = []processMeasure{
	{
		cost:  processDirectorCores,
		about: "a director without requests",
		unit:  Cores,
		value: func(r Row) float64 { return r.DirectorCores },
	},
	{
		cost:  processDirectorMemory,
		about: "the resident memory of a director without requests",
		unit:  Bytes,
		value: func(r Row) float64 { return r.DirectorMemory },
	},
	{
		cost:  processDirectorBytes,
		about: "bytes a second of a hollow director's watch, both ways",
		unit:  BytesPerSecond,
		value: func(r Row) float64 { return r.DirectorBytes },
	},
	{
		cost:  processReplicaCores,
		about: "a replica that follows",
		unit:  Cores,
		value: func(r Row) float64 { return r.ReplicaCores },
	},
	{
		cost:  processReplicaMemory,
		about: "the resident memory of a replica that follows",
		unit:  Bytes,
		value: func(r Row) float64 { return r.ReplicaMemory },
	},
	{
		cost:  processLeaderCores,
		about: "the leader",
		unit:  Cores,
		value: func(r Row) float64 { return r.LeaderCores },
	},
	{
		cost:  processLeaderMemory,
		about: "the leader's resident memory",
		unit:  Bytes,
		value: func(r Row) float64 { return r.LeaderMemory },
	},
	{
		cost:  processPurgeDelay,
		about: "the 99th percentile over purges of the time from acceptance to the last director",
		unit:  Seconds,
		value: func(r Row) float64 { return r.PurgeLastP99 },
	},
	{
		cost:       processRelayCores,
		about:      "a relay",
		unit:       Cores,
		isPerRelay: true,
		value:      func(r Row) float64 { return r.RelayCores },
	},
	{
		cost:       processRelayMemory,
		about:      "a relay's resident memory",
		unit:       Bytes,
		isPerRelay: true,
		value:      func(r Row) float64 { return r.RelayMemory },
	},
}

// processFormulas are the figures of real processes for each of several scenarios, by all directors.
func processFormulas(scenarios []scenario, template formula, cost processCost) []formula {
	template.working = "a run of processes"
	return forScenarios(scenarios, template, func(c *calculation, s scenario) float64 {
		return c.processValue(cost, s, c.directors())
	})
}

// relayProcessFormulas are the figures of relay processes, by the directors of one relay.
func relayProcessFormulas(template formula, cost processCost) []formula {
	template.working = "a run of processes, by directors/relays"
	return forScenarios(relayScenarios, template, func(c *calculation, s scenario) float64 {
		return c.processValue(cost, s, c.directorsPer(c.Relays))
	})
}

// processValue is the value of a law of real processes. Where there is no such law, it is what a run measured at the size itself.
func (c *calculation) processValue(cost processCost, s scenario, directors float64) float64 {
	c.collapsedAt = c.fewestCollapsed(s)
	name := processLawName(cost, s.hasRelays, c.coldCaches(s))
	if _, isKnown := c.laws[name]; !isKnown {
		if term, isMeasured := c.measuredTerm(cost, s); isMeasured {
			c.terms = append(c.terms, term)
			return term.Y
		}
	}
	return c.valueAt(name, directors)
}

// measuredTerm is what a run without a collapse measured at the size and the layout that are asked for.
func (c *calculation) measuredTerm(cost processCost, s scenario) (term Term, isMeasured bool) {
	for _, row := range c.rows {
		if row.hasCollapsed() || !c.isOfScenario(row, s) || !c.isOfLayout(row, s) {
			continue
		}
		for _, m := range processMeasures {
			if m.cost == cost {
				value := m.value(row)
				return Term{Row: row.File, X: float64(row.Directors), Y: value, Measured: value, Unit: m.unit}, true
			}
		}
	}
	return Term{}, false
}

// fewestCollapsed is the fewest directors at which a run of a scenario collapsed. It is 0 if none collapsed with at most as many
// directors as are asked for, or if a run with as many or more did not collapse.
func (c *calculation) fewestCollapsed(s scenario) int {
	fewest := 0
	for _, row := range c.rows {
		if !c.isOfScenario(row, s) {
			continue
		}
		if !row.hasCollapsed() && row.Directors >= c.Directors {
			return 0
		}
		if row.hasCollapsed() && row.Directors <= c.Directors && (fewest == 0 || row.Directors < fewest) {
			fewest = row.Directors
		}
	}
	return fewest
}

// isOfScenario tells whether a row was measured in a scenario, without an injected fault.
func (c *calculation) isOfScenario(row Row, s scenario) bool {
	return row.ColdCaches == c.coldCaches(s) && (row.Relays > 0) == s.hasRelays && row.Fault == ""
}

// isOfLayout tells whether a row was measured at the size and with the replicas and relays that are asked for.
func (c *calculation) isOfLayout(row Row, s scenario) bool {
	hasSameRelays := !s.hasRelays || row.Relays == c.Relays
	return hasSameRelays && row.Replicas == c.Replicas && isSameSize(float64(row.Directors), c.directors())
}
