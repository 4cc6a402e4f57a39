package plan

import (
	"slices"

	"stairvane.org/stairvane/internal/fleet"
)

// ledger tracks the quantities that the constraints of one group limit. The steps of a wave may take effect in any order, and some may be
// delayed. The ledger therefore assumes the worst case for each change: the capacity that it removes is subtracted when the change is
// placed, and the capacity that it adds is added only when its wave is done. A wave that satisfies the constraints in the ledger
// satisfies them at every moment.
type ledger struct {
	state     fleet.ObservedState // before the plan is applied
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

// addLocation adds a location in its current state, and its sources.
func (l *ledger) addLocation(name string) {
	if l.locations[name] != nil {
		return
	}
	location := newLocationLedger(l.state, name)
	l.locations[name] = location
	l.addUser(location, location.possibleSources)
	for _, source := range location.possibleSources {
		l.addSource(source)
	}
}

// addSource adds a parent or an origin in its current state.
func (l *ledger) addSource(name string) {
	if l.sources[name] == nil {
		l.sources[name] = newSourceLedger(l.state, name)
	}
}

// addUser registers a location as a possible user of sources.
func (l *ledger) addUser(location *locationLedger, sources []string) {
	for _, source := range sources {
		if !slices.Contains(l.users[source], location) {
			l.users[source] = append(l.users[source], location)
		}
	}
}

// place adds a change to the current wave. If the change would violate a constraint, or worsen a violation, place returns that constraint
// and leaves the ledger unchanged.
func (l *ledger) place(c *change) (violated *fleet.Slack) {
	before := l.slacksOf(l.affectedBy(c))
	rollback := l.reserve(c)
	for _, after := range l.slacksOf(l.affectedBy(c)) {
		var old fleet.Slack
		i := slices.IndexFunc(before, func(s fleet.Slack) bool {
			return s.Constraint == after.Constraint && s.Resource == after.Resource
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

// affectedBy returns the locations and parents whose constraints a change may affect.
func (l *ledger) affectedBy(c *change) (locations []*locationLedger, parents []*sourceLedger) {
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

// slacksOf returns the slacks of the constraints of locations and parents.
func (l *ledger) slacksOf(locations []*locationLedger, parents []*sourceLedger) (all []fleet.Slack) {
	for _, location := range locations {
		all = l.appendLocationSlacks(all, location)
	}
	for _, parent := range parents {
		all = l.appendParentSlack(all, parent)
	}
	return all
}

// reserve subtracts the capacity that a change removes, and counts the load that it adds. rollback restores the ledger.
func (l *ledger) reserve(c *change) (rollback func()) {
	switch {
	case c.Location != nil:
		return l.reserveLocation(l.locations[c.Location.Name], c)
	case c.Host != nil && c.Host.Role == fleet.Cache:
		return l.locations[c.Host.Site].reserve(c, l.state.Serves)
	case c.Host != nil:
		return l.sources[c.Host.Name].reserve(c)
	}
	return func() {}
}

// reserveLocation sets the floor and load of a location to the larger of the old and new values, and keeps as certain only the sources
// that it has both before and after the change.
func (l *ledger) reserveLocation(location *locationLedger, c *change) (rollback func()) {
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

// needsOwnWave reports whether a change must be the only one in its wave. This holds for changes of the share of a warming host, since
// neither the old nor the new share is the worst case for all constraints.
func (l *ledger) needsOwnWave(c *change) bool {
	if c.Kind != Raise && c.Kind != Lower {
		return false
	}
	if c.Host.Role == fleet.Cache {
		return l.locations[c.Host.Site].warmingIndex(c.Host.Name) >= 0
	}
	return l.sources[c.Host.Name].isWarmingUp
}

// complete adds the capacity that a change provides, once its wave is done.
func (l *ledger) complete(c *change) {
	switch {
	case c.Location != nil:
		location := l.locations[c.Location.Name]
		location.floor = c.Location.Floor
		location.load = c.Location.Load
		location.setSources(c.Location.Sources)
		l.addUser(location, c.Location.Sources)
	case c.Host != nil && c.Host.Role == fleet.Cache:
		l.locations[c.Host.Site].complete(c, l.state.Serves)
	case c.Host != nil:
		l.sources[c.Host.Name].complete(c)
	}
}

// startWave prepares the ledger for the next wave.
func (l *ledger) startWave() {
	for _, location := range l.locations {
		location.startWave()
	}
}
