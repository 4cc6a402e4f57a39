package capacity

import "time"

// scenario is how directors are connected, and whether they hold quotas. Most figures are worked out for several scenarios.
type scenario struct {
	hasRelays     bool // between directors and the leader
	hasColdCaches bool // directors hold quotas of Design.ColdCaches caches that are warming up
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

// String is the end of a figure's name.
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

// coldCaches is how many caches a director holds a quota of.
func (c *calculation) coldCaches(s scenario) int {
	if s.hasColdCaches {
		return c.ColdCaches
	}
	return 0
}

// calls are the watch requests of one director, a second.
func (c *calculation) calls(s scenario) float64 {
	gather := time.Duration(0)
	if s.hasRelays {
		gather = c.RelayGatherTime
	}
	return c.callsPerSecond(gather)
}

// forScenarios makes a formula for each of several scenarios, with the scenario in its name.
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
