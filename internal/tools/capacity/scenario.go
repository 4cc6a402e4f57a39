package capacity

import (
	"math"
	"time"
)

// serving is how directors are served, and how much they want: two sets of figures stand beside each other for most things.
type serving struct {
	relayed bool // behind relays
	cold    bool // with quotas of the design's cold caches
}

// servings are all cases: calm days first.
var servings = []serving{{}, {relayed: true}, {cold: true}, {relayed: true, cold: true}}

// String is what a figure's name ends with.
func (s serving) String() string {
	name := "without relays"
	if s.relayed {
		name = "with relays"
	}
	if s.cold {
		return name + ", cold caches"
	}
	return name + ", no cold cache"
}

// coldCaches is how many cold caches a director has a quota of.
func (c *calculation) coldCaches(s serving) int {
	if s.cold {
		return c.ColdCaches
	}
	return 0
}

// calls are the watch calls of one director, a second.
func (c *calculation) calls(s serving) float64 {
	gather := time.Duration(0)
	if s.relayed {
		gather = c.RelayGather
	}
	return c.callsPerSecond(gather)
}

// noteCollapse notes the fewest directors at which a run of this case collapsed, if there are as many and no run held with as many.
func (c *calculation) noteCollapse(s serving) {
	fewest := 0
	for _, row := range c.rows {
		if !c.of(row, s) {
			continue
		}
		if len(row.Collapsed) == 0 && row.Directors >= c.Directors {
			return
		}
		if len(row.Collapsed) > 0 && row.Directors <= c.Directors && (fewest == 0 || row.Directors < fewest) {
			fewest = row.Directors
		}
	}
	if fewest > 0 {
		c.collapsedAt = fewest
	}
}

// of tells whether a row is of this case, without a fault.
func (c *calculation) of(row Row, s serving) bool {
	return row.ColdCaches == c.coldCaches(s) && (row.Relays > 0) == s.relayed && row.Fault == ""
}

// process is what a law of whole processes gives for so many directors; where there is none, what was measured at the size itself.
func (c *calculation) process(what string, s serving, directors float64) float64 {
	c.noteCollapse(s)
	name := processLaw(what, s.relayed, c.coldCaches(s))
	if _, known := c.laws[name]; known {
		return c.at(name, directors)
	}
	for _, row := range c.rows {
		if !c.of(row, s) || len(row.Collapsed) > 0 || !c.sameLayout(row, s) {
			continue
		}
		for _, m := range processMeasures {
			if m.what == what {
				value := m.value(row)
				c.terms = append(c.terms, Term{Row: row.File, X: float64(row.Directors), Y: value, Measured: value, Unit: m.unit})
				return value
			}
		}
	}
	return c.at(name, directors)
}

// sameLayout tells whether a row is of the size and the layout that are asked for.
func (c *calculation) sameLayout(row Row, s serving) bool {
	size := float64(c.Directors)
	relays := !s.relayed || row.Relays == c.Relays
	return relays && row.Replicas == c.Replicas && math.Abs(float64(row.Directors)-size) <= sameSize*size
}

// forServings makes a formula for each of several cases, with the case in its name.
func forServings(cases []serving, f formula, value func(*calculation, serving) float64) []formula {
	var out []formula
	for _, s := range cases {
		one := f
		one.name += ", " + s.String()
		one.value = func(c *calculation) float64 { return value(c, s) }
		out = append(out, one)
	}
	return out
}

// processFormulas are the figures of whole processes for each of several cases, by all directors.
func processFormulas(cases []serving, f formula, what string) []formula {
	f.working = "a run of processes"
	return forServings(cases, f, func(c *calculation, s serving) float64 { return c.process(what, s, float64(c.Directors)) })
}

// relayFormulasOf are those by the directors of one relay.
func relayFormulasOf(f formula, what string) []formula {
	f.working = "a run of processes, by directors/relays"
	return forServings(relayedServings, f, func(c *calculation, s serving) float64 { return c.process(what, s, c.directorsPer(c.Relays)) })
}

var relayedServings = []serving{{relayed: true}, {relayed: true, cold: true}}
