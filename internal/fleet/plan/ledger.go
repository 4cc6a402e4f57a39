package plan

import (
	"slices"

	"stairvane.org/stairvane/internal/fleet"
)

// ledger counts what the constraints of one group are made of. The steps of a wave may take effect in any order, and some may be late.
// Each change therefore counts at its worst: the capacity that it takes counts from the moment at which it is placed, and the capacity
// that it gives only after its wave is done. A wave that keeps the constraints in the ledger keeps them at every moment.
type ledger struct {
	state     fleet.ObservedState // before the plan
	rules     fleet.Rules
	locations map[string]*locationLedger
	sources   map[string]*sourceLedger
	users     map[string][]*locationLedger // locations that may fill from a source
}

func newLedger(state fleet.ObservedState) *ledger {
	return &ledger{
		state:     state,
		rules:     state.Rules(),
		locations: map[string]*locationLedger{},
		sources:   map[string]*sourceLedger{},
		users:     map[string][]*locationLedger{},
	}
}

// openLocation adds a location as it is, and its sources.
func (l *ledger) openLocation(name string) {
	if l.locations[name] != nil {
		return
	}
	location := newLocationLedger(l.state, name)
	l.locations[name] = location
	l.addUser(location, location.possibleSources)
	for _, source := range location.possibleSources {
		l.openSource(source)
	}
}

// openSource adds a parent or an origin as it is.
func (l *ledger) openSource(name string) {
	if l.sources[name] == nil {
		l.sources[name] = newSourceLedger(l.state, name)
	}
}

// addUser records that a location may fill from sources.
func (l *ledger) addUser(location *locationLedger, sources []string) {
	for _, source := range sources {
		if !slices.Contains(l.users[source], location) {
			l.users[source] = append(l.users[source], location)
		}
	}
}

// place counts a change in the wave. If a constraint would break, or break more than before, it is given and the ledger stays as it was.
func (l *ledger) place(c *change) (broken *fleet.Slack) {
	before := l.measure(l.touched(c))
	rollback := l.begin(c)
	for _, after := range l.measure(l.touched(c)) {
		var old fleet.Slack
		i := slices.IndexFunc(before, func(s fleet.Slack) bool {
			return s.Constraint == after.Constraint && s.Thing == after.Thing
		})
		if i >= 0 {
			old = before[i]
		}
		if after.IsNewViolation(old, i >= 0) {
			rollback()
			return &after
		}
	}
	return nil
}

// touched are the locations and parents whose constraints a change bears on.
func (l *ledger) touched(c *change) (locations []*locationLedger, parents []*sourceLedger) {
	switch {
	case c.Location != nil:
		locations = append(locations, l.locations[c.Location.Name])
	case c.Host.Role == fleet.Cache:
		locations = append(locations, l.locations[c.Host.Site])
	default:
		locations = l.users[c.Host.Name]
		parents = append(parents, l.sources[c.Host.Name])
	}
	for _, location := range locations {
		for _, name := range location.possibleSources {
			if s := l.sources[name]; s != nil && s.isWarmingUp && !slices.Contains(parents, s) {
				parents = append(parents, s)
			}
		}
	}
	return locations, parents
}

// measure gives the constraints of locations and parents.
func (l *ledger) measure(locations []*locationLedger, parents []*sourceLedger) (all []fleet.Slack) {
	for _, location := range locations {
		all = l.appendLocationSlacks(all, location)
	}
	for _, parent := range parents {
		all = l.appendParentSlack(all, parent)
	}
	return all
}

// begin counts what a change takes. rollback takes that back.
func (l *ledger) begin(c *change) (rollback func()) {
	switch {
	case c.Location != nil:
		return l.beginLocation(l.locations[c.Location.Name], c)
	case c.Host != nil && c.Host.Role == fleet.Cache:
		return l.locations[c.Host.Site].begin(c, l.state.Serves)
	case c.Host != nil:
		return l.sources[c.Host.Name].begin(c)
	}
	return func() {}
}

// beginLocation counts a location at the greater of its old and new floor and load, and with the sources that are common to both.
func (l *ledger) beginLocation(location *locationLedger, c *change) (rollback func()) {
	before := *location
	switch c.Kind {
	case Locate:
		location.floor = max(location.floor, c.Location.Floor)
		location.load = max(location.load, c.Location.Load)
		if c.WasAt == nil {
			location.setSources(c.Location.Sources)
			l.addUser(location, c.Location.Sources)
		}
	case Widen:
		location.possibleSources = c.Location.Sources
		l.addUser(location, c.Location.Sources)
	case Narrow:
		location.certainSources = c.Location.Sources
	}
	return func() {
		location.floor = before.floor
		location.load = before.load
		location.possibleSources = before.possibleSources
		location.certainSources = before.certainSources
	}
}

// needsOwnWave tells whether a change must have a wave to itself: of a host that warms up, neither the old nor the new share is the worst
// case in every respect.
func (l *ledger) needsOwnWave(c *change) bool {
	if c.Kind != Raise && c.Kind != Lower {
		return false
	}
	if c.Host.Role == fleet.Cache {
		return l.locations[c.Host.Site].warmingIndex(c.Host.Name) >= 0
	}
	return l.sources[c.Host.Name].isWarmingUp
}

// finish counts what a change gives, once its wave is done.
func (l *ledger) finish(c *change) {
	switch {
	case c.Location != nil:
		location := l.locations[c.Location.Name]
		location.floor = c.Location.Floor
		location.load = c.Location.Load
		location.setSources(c.Location.Sources)
		l.addUser(location, c.Location.Sources)
	case c.Host != nil && c.Host.Role == fleet.Cache:
		l.locations[c.Host.Site].finish(c, l.state.Serves)
	case c.Host != nil:
		l.sources[c.Host.Name].finish(c)
	}
}

// beginWave begins the next wave.
func (l *ledger) beginWave() {
	for _, location := range l.locations {
		location.beginWave()
	}
}
