package plan

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"stairvane.org/stairvane/internal/fleet"
)

// initialShares are the fractions of its share with which a warming host may be added if the load at its full share would be too high.
var initialShares = []float64{0.5, 0.25, 0.125, 0.0625}

// maxRejectionsPerWave limits the number of rejected changes in a wave that has steps. The next wave tries the rejected changes again.
const maxRejectionsPerWave = 64

// scheduler assigns changes to waves, group by group.
type scheduler struct {
	state      fleet.ObservedState
	plan       *Plan
	changes    []*change
	groups     *groups
	afterRules bool            // step 1 sets the rules, and all other steps depend on it
	read       map[string]bool // keys of the hosts that are in the reads of the plan
}

func (s *scheduler) run() error {
	s.joinSharedSources()
	byGroup := map[string][]*change{}
	for _, c := range s.changes {
		root := s.groups.root(c.groupKey())
		byGroup[root] = append(byGroup[root], c)
	}
	locations := map[string][]string{}
	for key := range s.groups.parents {
		if name, isLocation := strings.CutPrefix(key, fleet.LocationKey("")); isLocation {
			root := s.groups.root(key)
			locations[root] = append(locations[root], name)
		}
	}
	impossible := &ImpossibleError{}
	for i, root := range slices.Sorted(maps.Keys(byGroup)) {
		slices.Sort(locations[root])
		blocked := s.placeGroup(i+1, byGroup[root], locations[root])
		impossible.Blocked = append(impossible.Blocked, blocked...)
	}
	if len(impossible.Blocked) > 0 {
		return impossible
	}
	return nil
}

// groupKey returns the key by which a change is grouped.
func (c *change) groupKey() string {
	if c.Location != nil {
		return fleet.LocationKey(c.Location.Name)
	}
	return groupKey(&c.Host.HostSpec)
}

// joinSharedSources joins the groups of locations that share a source that is changed or warming up. Locations that share only warm,
// unchanged sources do not affect each other's constraints.
func (s *scheduler) joinSharedSources() {
	changing := map[string]bool{}
	for _, c := range s.changes {
		if c.Host != nil && c.Host.Role != fleet.Cache {
			changing[c.Host.Name] = true
		}
	}
	join := func(l *fleet.Location) {
		for _, name := range l.Sources {
			if host := s.state.Host(name); changing[name] || host != nil && s.state.IsWarmingUp(host) {
				s.groups.join(fleet.LocationKey(l.Name), fleet.HostKey(name))
			}
		}
	}
	for l := range s.state.Locations() {
		join(l)
	}
	for _, c := range s.changes {
		if c.Location != nil {
			join(c.Location)
		}
	}
}

// placeGroup appends the steps of a group to the plan, or returns the changes that can't be placed.
func (s *scheduler) placeGroup(number int, changes []*change, locations []string) []Blocked {
	l := s.newGroupLedger(changes, locations)
	s.addReads(l, changes)
	slices.SortStableFunc(changes, func(a, b *change) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.shareReduction(), b.shareReduction()),
			cmp.Compare(a.key, b.key),
			cmp.Compare(a.Kind, b.Kind))
	})
	var previous []int
	if s.afterRules {
		previous = []int{1}
	}
	q := newQueue(changes)
	for wave := 1; q.remaining > 0; wave++ {
		l.startWave()
		placed, rejected := s.placeWave(l, q)
		if len(placed) == 0 {
			placed = s.addWithPartOfShare(l, q)
		}
		if len(placed) == 0 {
			return explainBlocked(changes, rejected)
		}
		previous = s.appendSteps(placed, Step{Group: number, Wave: wave, After: previous})
		for _, c := range placed {
			l.complete(c)
			q.complete(c)
			if c.Kind == Add && c.Host.Serving < c.Host.Share {
				q.remaining++
				q.push(raiseAfter(c))
			}
		}
	}
	return nil
}

// appendSteps appends the steps of a wave to the plan, with the group, wave and predecessors of template, and returns their IDs.
func (s *scheduler) appendSteps(placed []*change, template Step) []int {
	ids := make([]int, 0, len(placed))
	for _, c := range placed {
		c.ID = len(s.plan.Steps) + 1
		c.Group = template.Group
		c.Wave = template.Wave
		c.After = template.After
		s.plan.Steps = append(s.plan.Steps, c.Step)
		ids = append(ids, c.ID)
	}
	return ids
}

// newGroupLedger returns the ledger of a group, with all locations and sources that its changes affect.
func (s *scheduler) newGroupLedger(changes []*change, locations []string) *ledger {
	l := newLedger(s.state)
	for _, name := range locations {
		l.addLocation(name)
	}
	for _, c := range changes {
		switch {
		case c.Location != nil:
			l.addLocation(c.Location.Name)
			for _, name := range c.Location.Sources {
				l.addSource(name)
			}
		case c.Host.Role == fleet.Cache:
			l.addLocation(c.Host.Site)
		default:
			l.addSource(c.Host.Name)
		}
	}
	return l
}

// placeWave places the ready changes that can be in one wave without violating a constraint, and returns the placed and rejected changes.
func (s *scheduler) placeWave(l *ledger, q *queue) (placed []*change, rejected []rejection) {
	maxSteps := max(1, s.plan.Rules.MaxParallelSteps)
	for c := range q.readyChanges {
		if len(placed) == maxSteps || len(placed) > 0 && len(rejected) >= maxRejectionsPerWave {
			break
		}
		isExclusive := l.needsOwnWave(c)
		if isExclusive && len(placed) > 0 {
			continue
		}
		if violated := l.place(c); violated != nil {
			rejected = append(rejected, rejection{change: c, violated: violated})
			continue
		}
		placed = append(placed, c)
		if isExclusive {
			break
		}
	}
	return placed, rejected
}

// addWithPartOfShare places the addition of one warming host with the largest of initialShares that fits. It returns nil if none fits.
func (s *scheduler) addWithPartOfShare(l *ledger, q *queue) []*change {
	for _, part := range initialShares {
		for c := range q.readyChanges {
			if c.Kind != Add || !c.Host.NeedsWarmUp() {
				continue
			}
			complete := c.Host
			partial := *complete
			partial.Serving = complete.Share * part
			c.Host = &partial
			if l.place(c) == nil {
				return []*change{c}
			}
			c.Host = complete
		}
	}
	return nil
}

// addReads adds everything that a group's steps depend on to the reads of the plan.
func (s *scheduler) addReads(l *ledger, changes []*change) {
	for _, name := range slices.Sorted(maps.Keys(l.locations)) {
		s.plan.Reads = append(s.plan.Reads, s.state.ReadLocation(name))
		for host := range s.state.HostsInSite(name) {
			s.addHostRead(host.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.sources)) {
		s.addHostRead(name)
	}
	for _, c := range changes {
		if c.Host != nil {
			s.addHostRead(c.Host.Name)
		}
	}
}

func (s *scheduler) addHostRead(name string) {
	key := fleet.HostKey(name)
	if s.read[key] {
		return
	}
	s.read[key] = true
	s.plan.Reads = append(s.plan.Reads, s.state.ReadHost(name))
}
