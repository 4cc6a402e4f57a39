package capacity

import "fmt"

// processLawName returns the name of the law for a cost of real processes, with or without relays and with the given number of cold
// caches.
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

// processMeasure describes one law of real processes and the value that it reads from a row.
type processMeasure struct {
	cost       processCost
	about      string
	unit       Unit
	isPerRelay bool // x is the number of directors of one relay
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

// processFormulas returns a formula of real processes for each scenario, evaluated at the total number of directors.
func processFormulas(scenarios []scenario, template formula, cost processCost) []formula {
	template.working = "a run of processes"
	return forScenarios(scenarios, template, func(c *calculation, s scenario) float64 {
		return c.processValue(cost, s, c.directorCount())
	})
}

// relayProcessFormulas returns a formula of relay processes for each scenario with relays, evaluated at the number of directors of
// one relay.
func relayProcessFormulas(template formula, cost processCost) []formula {
	template.working = "a run of processes, by directors/relays"
	return forScenarios(relayScenarios, template, func(c *calculation, s scenario) float64 {
		return c.processValue(cost, s, c.directorsPer(c.Relays))
	})
}

// processValue returns the value of a law of real processes. If there is no such law, it returns the value that a scale run measured
// at the same size, or else records the law as missing. It also records whether a run of the scenario collapsed.
func (c *calculation) processValue(cost processCost, s scenario, directors float64) float64 {
	c.collapsedAt = c.minCollapsedDirectors(s)
	name := processLawName(cost, s.hasRelays, c.coldCaches(s))
	if _, isKnown := c.laws[name]; !isKnown {
		if term, isMeasured := c.measuredTerm(cost, s); isMeasured {
			c.terms = append(c.terms, term)
			return term.Y
		}
	}
	return c.valueAt(name, directors)
}

// measuredTerm returns the value that a scale run measured at the requested size and layout without collapsing.
func (c *calculation) measuredTerm(cost processCost, s scenario) (term Term, isMeasured bool) {
	for _, row := range c.rows {
		if row.hasCollapsed() || !c.matchesScenario(row, s) || !c.matchesLayout(row, s) {
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

// minCollapsedDirectors returns the smallest number of directors at which a run of the scenario collapsed. It returns 0 if no run
// collapsed at or below the requested number of directors, or if a run at or above it did not collapse.
func (c *calculation) minCollapsedDirectors(s scenario) int {
	fewest := 0
	for _, row := range c.rows {
		if !c.matchesScenario(row, s) {
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

// matchesScenario reports whether a row was measured in the scenario without an injected fault.
func (c *calculation) matchesScenario(row Row, s scenario) bool {
	return row.ColdCaches == c.coldCaches(s) && (row.Relays > 0) == s.hasRelays && row.Fault == ""
}

// matchesLayout reports whether a row was measured at the requested size, with the requested numbers of replicas and relays.
func (c *calculation) matchesLayout(row Row, s scenario) bool {
	hasSameRelays := !s.hasRelays || row.Relays == c.Relays
	return hasSameRelays && row.Replicas == c.Replicas && isSameSize(float64(row.Directors), c.directorCount())
}
