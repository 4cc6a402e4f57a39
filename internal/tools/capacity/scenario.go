package capacity

import "time"

// scenario describes how directors are connected and whether they hold quotas. Most figures are computed for several scenarios.
type scenario struct {
	hasRelays     bool // relays connect directors to the leader
	hasColdCaches bool // directors hold quotas for Design.ColdCaches caches that are warming up
}

var (
	allScenarios = []scenario{
		{},
		{hasRelays: true},
		{hasColdCaches: true},
		{hasRelays: true, hasColdCaches: true},
	}
	relayScenarios = []scenario{
		{hasRelays: true},
		{hasRelays: true, hasColdCaches: true},
	}
)

// String returns the text that is appended to the name of a figure.
func (s scenario) String() string {
	name := "without relays"
	if s.hasRelays {
		name = "with relays"
	}
	if s.hasColdCaches {
		return name + ", cold caches"
	}
	return name + ", no cold cache"
}

// coldCaches returns the number of caches for which a director holds a quota.
func (c *calculation) coldCaches(s scenario) int {
	if s.hasColdCaches {
		return c.ColdCaches
	}
	return 0
}

// calls returns the rate of watch requests of one director in a scenario, per second.
func (c *calculation) calls(s scenario) float64 {
	batchTime := time.Duration(0)
	if s.hasRelays {
		batchTime = c.RelayBatchTime
	}
	return c.callsPerSecond(batchTime)
}

// forScenarios returns a copy of the template for each scenario, with the scenario appended to its name.
func forScenarios(scenarios []scenario, template formula, value func(*calculation, scenario) float64) []formula {
	var formulas []formula
	for _, s := range scenarios {
		f := template
		f.name += ", " + s.String()
		f.value = func(c *calculation) float64 { return value(c, s) }
		formulas = append(formulas, f)
	}
	return formulas
}
