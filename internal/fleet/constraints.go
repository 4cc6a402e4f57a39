package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Constraint names one of the constraints.
type Constraint string

// The constraints. Each holds at every moment of a change, with any one box dying.
const (
	FloorHolds   Constraint = "floor"     // share of warm caches in service is no less than the location's floor
	SourceHolds  Constraint = "source"    // a location with caches has a source that serves
	ColdAtOnce   Constraint = "cold-most" // no more of a location's capacity is cold than the rules allow
	ColdBears    Constraint = "cold"      // a cold cache is asked for no more than it bears
	ColdHubBears Constraint = "cold-hub"  // a cold hub is asked for no more than it bears, fills counted
)

// Slack is by how much a constraint holds: Have - Need for floors, Need - Have for loads. Negative: it is broken.
type Slack struct {
	Constraint Constraint
	Thing      string // the location, or the cold box, that it is about
	Have, Need float64
	Slack      float64
	Raw        float64 // the same without exemptions, or without deaths; of a floor: share in service, cold boxes too
	Dying      string  // the box whose death is the worst case; may be empty
}

func (s Slack) String() string {
	worst := ""
	if s.Dying != "" {
		worst = " with " + s.Dying + " dying"
	}
	switch s.Constraint {
	case FloorHolds:
		return fmt.Sprintf("floor of location %s: share %.4g in service and warm%s, %.4g needed", s.Thing, s.Have, worst, s.Need)
	case SourceHolds:
		return fmt.Sprintf("sources of location %s: %.0f would serve%s, one needed", s.Thing, s.Have, worst)
	case ColdAtOnce:
		return fmt.Sprintf("cold capacity of location %s: %.4g at once, %.4g allowed", s.Thing, s.Have, s.Need)
	case ColdBears:
		return fmt.Sprintf("cold cache %s: asked for %.4g%s, bears %.4g", s.Thing, s.Have, worst, s.Need)
	}
	return fmt.Sprintf("cold hub %s: asked for %.4g%s with fills counted, bears %.4g", s.Thing, s.Have, worst, s.Need)
}

// sums are what the constraints are made of at one location.
type sums struct {
	warm, coldCapacity, capacity, serving float64
	colds                                 []*Host
	caches                                []*Host // that serve
}

func (w ObservedState) sums(location string) (s sums) {
	for m := range w.InSite(location) {
		if m.Role != Cache || !w.Serves(m) {
			continue
		}
		s.caches = append(s.caches, m)
		s.serving += m.Serving
		s.capacity += m.Share
		if w.IsCold(m) {
			s.coldCapacity += m.Share
			s.colds = append(s.colds, m)
		} else {
			s.warm += m.Serving
		}
	}
	return s
}

// LocationSlacks measures the constraints of one location. One without load is not open yet, and where a
// single cache is all there is no other way: the cold rules do not count there.
func (w ObservedState) LocationSlacks(name string) (all []Slack) {
	l := w.Location(name)
	if l == nil {
		return nil
	}
	s := w.sums(name)
	worst := Slack{Constraint: FloorHolds, Thing: name, Have: s.warm, Need: l.Floor, Raw: s.serving}
	for _, m := range s.caches {
		if !w.IsCold(m) && s.warm-m.Serving < worst.Have {
			worst.Have, worst.Dying = s.warm-m.Serving, m.Name
		}
	}
	worst.Slack = worst.Have - worst.Need
	all = append(all, worst)
	if len(s.caches)+len(l.Sources) > 0 {
		all = append(all, w.sourceSlack(l))
	}
	if s.warm == 0 && len(s.caches) == 1 || l.Load == 0 {
		return all
	}
	if len(s.colds) > 1 {
		allowed := w.Rules().MaxColdShare * s.capacity
		all = append(all, Slack{Constraint: ColdAtOnce, Thing: name, Have: s.coldCapacity, Need: allowed, Slack: allowed - s.coldCapacity})
	}
	for _, b := range s.colds {
		all = append(all, w.coldSlack(l, s, b))
	}
	return all
}

// coldSlack splits the location's load by the shares that directors are told.
func (w ObservedState) coldSlack(l *Location, s sums, b *Host) Slack {
	worst := Slack{Constraint: ColdBears, Thing: b.Name, Need: w.Rules().Cache.BearableLoad(b.Share), Have: l.Load * b.Serving / s.serving}
	raw := worst.Have
	for _, m := range s.caches {
		rest := s.serving - m.Serving
		if m == b || rest <= 0 {
			continue
		}
		asked := l.Load * b.Serving / rest
		raw = max(raw, asked)
		if only := !w.IsCold(m) && s.warm-m.Serving <= 0; !only && asked > worst.Have { // without the only warm one it is not open
			worst.Have, worst.Dying = asked, m.Name
		}
	}
	worst.Slack, worst.Raw = worst.Need-worst.Have, worst.Need-raw
	return worst
}

func (w ObservedState) sourceSlack(l *Location) Slack {
	s := Slack{Constraint: SourceHolds, Thing: l.Name, Need: 1}
	for _, name := range l.Sources {
		if m := w.Host(name); m != nil && w.Serves(m) {
			s.Have++
			if m.Role == Parent && s.Dying == "" {
				s.Dying = name
			}
		}
	}
	if s.Dying != "" {
		s.Have--
	}
	s.Slack = s.Have - s.Need
	return s
}

// Fills is what a location asks of its sources, in units of share: its misses, and all that its cold caches are asked.
func (r Rules) Fills(load, warm, cold float64) float64 {
	if warm+cold <= 0 {
		return 0
	}
	return load * (r.MissShare + (1-r.MissShare)*cold/(warm+cold))
}

// HubSlacks measures the constraint of one hub; there is none if it is warm or does not serve.
func (w ObservedState) HubSlacks(name string) []Slack {
	h := w.Host(name)
	if h == nil || h.Role != Parent || !w.Serves(h) || !w.IsCold(h) {
		return nil
	}
	// One death: of another source of the location, or of one of its caches, so that more of it is cold.
	asked := map[string]float64{"": 0}
	fill := func(l *Location, dying string) float64 {
		var warm, cold, sources float64
		for _, m := range w.sums(l.Name).caches {
			switch {
			case m.Name == dying:
			case w.IsCold(m):
				cold += m.Serving
			default:
				warm += m.Serving
			}
		}
		for _, s := range l.Sources {
			if m := w.Host(s); m != nil && w.Serves(m) && m.Name != dying {
				sources += m.Serving
			}
		}
		if sources <= 0 {
			return 0
		}
		return w.Rules().Fills(l.Load, warm, cold) * h.Serving / sources
	}
	var users []*Location
	for l := range w.Locations() {
		if slices.Contains(l.Sources, name) {
			users = append(users, l)
		}
	}
	deaths := map[string]bool{"": true}
	for _, l := range users {
		for _, s := range l.Sources {
			if m := w.Host(s); m != nil && m.Role == Parent && s != name && w.Serves(m) {
				deaths[s] = true
			}
		}
		if s := w.sums(l.Name); len(s.colds) > 0 {
			for _, m := range s.caches {
				deaths[m.Name] = true
			}
		}
	}
	worst := Slack{Constraint: ColdHubBears, Thing: name, Need: w.Rules().Parent.BearableLoad(h.Share)}
	for _, d := range slices.Sorted(maps.Keys(deaths)) {
		asked[d] = 0
		for _, l := range users {
			asked[d] += fill(l, d)
		}
		if asked[d] > worst.Have {
			worst.Have, worst.Dying = asked[d], d
		}
	}
	worst.Slack, worst.Raw = worst.Need-worst.Have, worst.Need-asked[""]
	return []Slack{worst}
}

// Touched are the locations and hubs whose constraints an event bears on.
func (w ObservedState) Touched(e Event) (locations, hubs []string) {
	add := func(l *Location) {
		locations = append(locations, l.Name)
		for _, s := range l.Sources {
			if m := w.Host(s); m != nil && m.Role == Parent {
				hubs = append(hubs, s)
			}
		}
	}
	switch {
	case e.Location != nil:
		add(e.Location)
		if old := w.Location(e.Location.Name); old != nil {
			add(old)
		}
	case e.Host != nil && e.Host.Role == Cache:
		if l := w.Location(e.Host.Site); l != nil {
			add(l)
		}
	case e.Host != nil:
		hubs = append(hubs, e.Host.Name)
		for l := range w.Locations() {
			if slices.Contains(l.Sources, e.Host.Name) {
				add(l)
			}
		}
	}
	slices.Sort(locations)
	slices.Sort(hubs)
	return slices.Compact(locations), slices.Compact(hubs)
}

// Slacks measures all constraints of some locations and hubs.
func (w ObservedState) Slacks(locations, hubs []string) (all []Slack) {
	for _, l := range locations {
		all = append(all, w.LocationSlacks(l)...)
	}
	for _, h := range hubs {
		all = append(all, w.HubSlacks(h)...)
	}
	return all
}

// Worse tells whether a constraint that does not hold after a step is that step's doing: it held before, or held better,
// or share was taken from a location that is under its floor. A step that only ends an exemption, as a second warm cache
// does where one was all, makes nothing worse.
func (s Slack) Worse(before Slack, was bool) bool {
	if !less(s.Slack, 0) || was && less(before.Raw, s.Raw) {
		return false
	}
	return !was || less(s.Slack, before.Slack) || less(s.Raw, before.Raw)
}

// Admit tells what an event would break: constraints that do not hold after it and held, or held better, before. A
// world that is bad already may be made better step by step, never worse.
func (w ObservedState) Admit(e Event) ([]Slack, error) {
	after := w
	var err error
	if after.Fleet, err = w.Apply(e); err != nil {
		return nil, err
	}
	locations, hubs := w.Touched(e)
	var broken []Slack
	before := map[string]Slack{}
	for _, s := range w.Slacks(locations, hubs) {
		before[string(s.Constraint)+" "+s.Thing] = s
	}
	for _, s := range after.Slacks(locations, hubs) {
		old, was := before[string(s.Constraint)+" "+s.Thing]
		if s.Worse(old, was) {
			broken = append(broken, s)
		}
	}
	slices.SortStableFunc(broken, func(a, b Slack) int { return cmp.Compare(a.Thing, b.Thing) })
	return broken, nil
}
