package plan

import (
	"slices"

	"stairvane.org/stairvane/internal/fleet"
)

// A wave's steps may take effect in any order, and some may be late. The ledgers therefore count each step at its worst:
// what takes room counts from the moment it is placed, what gives room only once its wave is done. A wave that holds in
// the ledgers holds at each of its prefixes.

// shares is a multiset of shares with its sum and greatest member. There are few distinct shares, for boxes come in kinds.
type shares struct {
	sum    float64
	count  int
	counts map[float64]int
	order  []float64 // distinct, ascending; some may have a count of 0
}

func (s *shares) add(v float64) {
	if s.counts == nil {
		s.counts = map[float64]int{}
	}
	if _, known := s.counts[v]; !known {
		at, _ := slices.BinarySearch(s.order, v)
		s.order = slices.Insert(s.order, at, v)
	}
	s.counts[v]++
	s.sum += v
	s.count++
}

func (s *shares) remove(v float64) {
	s.counts[v]--
	s.sum -= v
	s.count--
	if s.count == 0 {
		s.sum = 0
	}
}

func (s *shares) most() float64 {
	for i := len(s.order) - 1; i >= 0; i-- {
		if s.counts[s.order[i]] > 0 {
			return s.order[i]
		}
	}
	return 0
}

// place is the ledger of one location.
type place struct {
	name        string
	floor, load float64
	warm        shares  // serving, of the warm caches that serve, less what is being taken
	warmAt      int     // how many there were when the wave began
	capacity    float64 // of the same caches and the cold ones that were there before
	cold        []coldBox
	coldBefore  int     // how many there were when the wave began
	coming      int     // cold boxes that the wave adds
	running     int     // warm boxes that the wave adds
	raw         float64 // serving, of all caches that serve, less what is being taken
	caches      int     // that serve, at most
	least, wide []string
}

type coldBox struct {
	name           string
	share, serving float64
}

func (p *place) coldCapacity() (sum float64) {
	for _, c := range p.cold {
		sum += c.share
	}
	return sum
}

func (p *place) coldServing() (sum float64) {
	for _, c := range p.cold {
		sum += c.serving
	}
	return sum
}

// spared is what is warm with the worst cache dying; the only one is spared, for without it the location is not open. It
// is not for certain the only one while others may turn warm.
func (p *place) spared() float64 {
	if p.warmAt == 1 && p.coldBefore == 0 {
		return p.warm.sum
	}
	return p.warm.sum - p.warm.most()
}

// source is the ledger of one hub or origin.
type source struct {
	name    string
	role    fleet.Role
	share   float64
	serving float64 // 0 while it does not serve, or may not
	cold    bool
	enters  float64 // what a cold one is told to serve
}

// book holds the ledgers of one group.
type book struct {
	rules   fleet.Rules
	places  map[string]*place
	sources map[string]*source
	users   map[string][]*place // by source
}

func newBook(rules fleet.Rules) *book {
	return &book{rules: rules, places: map[string]*place{}, sources: map[string]*source{}, users: map[string][]*place{}}
}

// open takes in a location as it is.
func (b *book) open(w fleet.ObservedState, name string) *place {
	if p := b.places[name]; p != nil {
		return p
	}
	p := &place{name: name}
	b.places[name] = p
	if l := w.Location(name); l != nil {
		p.floor, p.load = l.Floor, l.Load
		p.least, p.wide = l.Sources, l.Sources
		b.use(p, l.Sources)
		for _, s := range l.Sources {
			b.openSource(w, s)
		}
	}
	for m := range w.InSite(name) {
		if m.Role != fleet.Cache || !w.Serves(m) {
			continue
		}
		p.caches++
		p.raw += m.Serving
		p.capacity += m.Share
		if w.IsWarmingUp(m) {
			p.cold = append(p.cold, coldBox{m.Name, m.Share, m.Serving})
		} else {
			p.warm.add(m.Serving)
		}
	}
	p.warmAt = p.warm.count
	return p
}

func (b *book) use(p *place, sources []string) {
	for _, s := range sources {
		if !slices.Contains(b.users[s], p) {
			b.users[s] = append(b.users[s], p)
		}
	}
}

func (b *book) openSource(w fleet.ObservedState, name string) *source {
	if s := b.sources[name]; s != nil {
		return s
	}
	s := &source{name: name, role: fleet.Parent}
	b.sources[name] = s
	if m := w.Host(name); m != nil {
		s.role, s.share = m.Role, m.Share
		if w.Serves(m) {
			s.cold = w.IsWarmingUp(m)
			if s.enters = m.Serving; !s.cold {
				s.serving = m.Serving
			}
		}
	}
	return s
}

// measure appends the constraints of a location to l.
func (b *book) measure(p *place, l []fleet.Slack) []fleet.Slack {
	have := p.warm.sum - p.warm.most()
	l = append(l, fleet.Slack{Constraint: fleet.FloorConstraint, Thing: p.name, Have: have, Need: p.floor, Slack: have - p.floor, Raw: p.raw})
	if p.caches+len(p.least) > 0 {
		n := float64(b.live(p))
		l = append(l, fleet.Slack{Constraint: fleet.SourceConstraint, Thing: p.name, Have: n, Need: 1, Slack: n - 1})
	}
	if p.load == 0 {
		return l
	}
	cold := p.coldCapacity()
	if len(p.cold) > 1 {
		allowed := b.rules.MaxWarmingShare * p.capacity
		if p.warmAt <= 1 { // whichever is warm first changes what the others are asked
			allowed = 0
		}
		l = append(l, fleet.Slack{Constraint: fleet.WarmingCapacityConstraint, Thing: p.name, Have: cold, Need: allowed, Slack: allowed - cold})
	} else if p.warmAt <= 1 && p.coming > 0 && p.running > 0 { // the warm one changes what the cold one may be asked
		l = append(l, fleet.Slack{Constraint: fleet.WarmingCapacityConstraint, Thing: p.name, Have: cold, Slack: -cold})
	}
	if p.warmAt == 0 && p.caches == 1 { // the first one, or the last
		return l
	}
	rest := p.spared()
	for i, c := range p.cold {
		bears, asked := b.rules.Cache.BearableLoad(c.share), p.load
		if rest+c.serving > 0 {
			asked = p.load * c.serving / (rest + c.serving)
		}
		all := p.raw // what was cold before serves too, and may be drained
		if i >= len(p.cold)-p.coming {
			all += c.serving
		}
		plain := p.load * c.serving / max(all, c.serving)
		l = append(l, fleet.Slack{Constraint: fleet.WarmingCacheConstraint, Thing: c.name, Have: asked, Need: bears, Slack: bears - asked, Raw: bears - plain})
	}
	return l
}

// live is how many sources a location keeps with any one hub dying.
func (b *book) live(p *place) (n int) {
	hub := false
	for _, name := range p.least {
		if s := b.sources[name]; s != nil && (s.serving > 0 || s.cold) {
			n++
			hub = hub || s.role == fleet.Parent
		}
	}
	if hub {
		n--
	}
	return n
}

// measureHub appends the constraint of a cold hub to l.
func (b *book) measureHub(h *source, l []fleet.Slack) []fleet.Slack {
	if !h.cold || h.role != fleet.Parent {
		return l
	}
	asked, plain := 0.0, 0.0 // with any one death, and without
	for _, p := range b.users[h.name] {
		if p.caches == 0 {
			continue
		}
		cold, rest := p.coldServing(), p.warm.sum-p.warm.most()
		fills := max(b.rules.Fills(p.load, p.warm.sum, cold), b.rules.Fills(p.load, rest, cold))
		others, most := 0.0, 0.0
		for _, name := range p.least {
			if s := b.sources[name]; s != h && s != nil {
				others += s.serving
				if s.role == fleet.Parent {
					most = max(most, s.serving)
				}
			}
		}
		if serving := others - most + h.enters; serving > 0 {
			asked += fills * h.enters / serving
			plain += b.rules.Fills(p.load, p.warm.sum, cold) * h.enters / (others + h.enters)
		}
	}
	need := b.rules.Parent.BearableLoad(h.share)
	return append(l, fleet.Slack{Constraint: fleet.WarmingParentConstraint, Thing: h.name, Have: asked, Need: need, Slack: need - asked, Raw: need - plain})
}

// touched are the locations and sources whose constraints a change bears on.
func (b *book) touched(c *change) (places []*place, hubs []*source) {
	switch {
	case c.Location != nil:
		places = append(places, b.places[c.Location.Name])
	case c.Host.Role == fleet.Cache:
		places = append(places, b.places[c.Host.Site])
	default:
		places = b.users[c.Host.Name]
		hubs = append(hubs, b.sources[c.Host.Name])
	}
	for _, p := range places {
		for _, name := range p.wide {
			if s := b.sources[name]; s != nil && s.cold && !slices.Contains(hubs, s) {
				hubs = append(hubs, s)
			}
		}
	}
	return places, hubs
}

func (b *book) measureAll(places []*place, hubs []*source, l []fleet.Slack) []fleet.Slack {
	for _, p := range places {
		l = b.measure(p, l)
	}
	for _, h := range hubs {
		l = b.measureHub(h, l)
	}
	return l
}

// try places a change in the wave, unless a constraint would break, or break worse; then it tells which and leaves the
// ledgers as they were.
func (b *book) try(w fleet.ObservedState, c *change) *fleet.Slack {
	places, hubs := b.touched(c)
	before := b.measureAll(places, hubs, nil)
	undo := b.begin(w, c)
	places, hubs = b.touched(c)
	for _, after := range b.measureAll(places, hubs, nil) {
		var old fleet.Slack
		i := slices.IndexFunc(before, func(l fleet.Slack) bool { return l.Constraint == after.Constraint && l.Thing == after.Thing })
		if i >= 0 {
			old = before[i]
		}
		if after.Worse(old, i >= 0) {
			undo()
			return &after
		}
	}
	return nil
}

// begin counts what a change takes; the function that it returns takes that back.
func (b *book) begin(w fleet.ObservedState, c *change) (undo func()) {
	switch {
	case c.Location != nil:
		return b.beginLocation(b.places[c.Location.Name], c)
	case c.Host != nil && c.Host.Role == fleet.Cache:
		return b.beginCache(w, b.places[c.Host.Site], c)
	case c.Host != nil:
		return b.beginSource(w, b.sources[c.Host.Name], c)
	}
	return func() {}
}

func (b *book) beginLocation(p *place, c *change) func() {
	was := *p
	switch c.Kind {
	case Locate:
		p.floor, p.load = max(p.floor, c.Location.Floor), max(p.load, c.Location.Load)
		if c.WasAt == nil {
			p.least, p.wide = c.Location.Sources, c.Location.Sources
			b.use(p, p.wide)
		}
	case Widen:
		p.wide = c.Location.Sources
		b.use(p, p.wide)
	case Narrow:
		p.least = c.Location.Sources
	}
	return func() { p.floor, p.load, p.wide, p.least = was.floor, was.load, was.wide, was.least }
}

func (b *book) beginCache(w fleet.ObservedState, p *place, c *change) func() {
	switch c.Kind {
	case Raise:
		if i := p.coldAt(c.Host.Name); i >= 0 {
			was := p.cold[i]
			p.cold[i] = coldBox{c.Host.Name, c.Host.Share, c.Host.Serving}
			return func() { p.cold[i] = was }
		}
	case Add:
		p.caches++
		if !c.Host.NeedsWarmUp() {
			p.running++
			return func() { p.caches--; p.running-- }
		}
		p.coming++
		p.cold = append(p.cold, coldBox{c.Host.Name, c.Host.Share, c.Host.Serving})
		p.capacity += c.Host.Share
		return func() {
			p.cold = p.cold[:len(p.cold)-1]
			p.capacity -= c.Host.Share
			p.caches--
			p.coming--
		}
	case Drain, Lower:
		at := c.Before
		if !w.Serves(at) {
			break
		}
		taken := at.Serving
		if c.Kind == Lower {
			taken -= c.Host.Serving
		}
		p.raw -= taken
		if i := p.coldAt(at.Name); i >= 0 {
			was := p.cold[i]
			if c.Kind == Lower {
				p.cold[i] = coldBox{c.Host.Name, c.Host.Share, c.Host.Serving}
			}
			return func() {
				p.raw += taken
				p.cold[i] = was
			}
		}
		left := 0.0
		if c.Kind == Lower {
			left = c.Host.Serving
			p.warm.add(left)
			p.capacity -= at.Share - c.Host.Share
		} else {
			p.capacity -= at.Share
		}
		p.warm.remove(at.Serving)
		return func() {
			p.raw += taken
			p.warm.add(at.Serving)
			if c.Kind == Lower {
				p.warm.remove(left)
				p.capacity += at.Share - c.Host.Share
			} else {
				p.capacity += at.Share
			}
		}
	}
	return func() {}
}

// coldAt is the place of a box among the cold ones; negative: it is not cold.
func (p *place) coldAt(name string) int {
	return slices.IndexFunc(p.cold, func(c coldBox) bool { return c.name == name })
}

// alone tells whether a change must have a wave to itself: of a cold box, neither the old nor the new share is the
// worst case in every respect.
func (b *book) alone(c *change) bool {
	if c.Kind != Raise && c.Kind != Lower {
		return false
	}
	if c.Host.Role == fleet.Cache {
		return b.places[c.Host.Site].coldAt(c.Host.Name) >= 0
	}
	return b.sources[c.Host.Name].cold
}

func (b *book) beginSource(w fleet.ObservedState, s *source, c *change) func() {
	was := *s
	switch c.Kind {
	case Add:
		s.role, s.share, s.enters = c.Host.Role, c.Host.Share, c.Host.Serving
		s.cold = c.Host.NeedsWarmUp()
	case Drain:
		s.serving, s.cold = 0, false
	case Raise, Lower:
		if s.cold {
			s.share, s.enters = c.Host.Share, c.Host.Serving
		} else {
			s.serving = min(s.serving, c.Host.Serving)
		}
	}
	return func() { *s = was }
}

// finish counts what a change gives, once its wave is done.
func (b *book) finish(w fleet.ObservedState, c *change) {
	switch {
	case c.Location != nil:
		p := b.places[c.Location.Name]
		p.floor, p.load = c.Location.Floor, c.Location.Load
		p.least, p.wide = c.Location.Sources, c.Location.Sources
		b.use(p, p.wide)
	case c.Host != nil && c.Host.Role == fleet.Cache:
		b.finishCache(w, b.places[c.Host.Site], c)
	case c.Host != nil:
		s := b.sources[c.Host.Name]
		switch c.Kind {
		case Add:
			s.cold, s.serving = false, c.Host.Serving
		case Raise, Lower:
			s.share = c.Host.Share
			if s.serving > 0 {
				s.serving = c.Host.Serving
			}
		}
	}
}

func (b *book) finishCache(w fleet.ObservedState, p *place, c *change) {
	i := p.coldAt(c.Host.Name)
	if c.Kind == Add {
		p.raw += c.Host.Serving
	} else if c.Kind == Raise && (c.fresh || w.Serves(c.Before)) {
		p.raw += c.Host.Serving - c.Before.Serving
	}
	switch c.Kind {
	case Add:
		if i >= 0 {
			p.cold = slices.Delete(p.cold, i, i+1)
		} else {
			p.capacity += c.Host.Share
		}
		p.warm.add(c.Host.Serving)
	case Raise, Lower:
		if i >= 0 {
			p.cold[i].share, p.cold[i].serving = c.Host.Share, c.Host.Serving
			p.capacity += c.Host.Share - c.Before.Share
		} else if c.Kind == Raise && (c.fresh || w.Serves(c.Before)) {
			p.warm.remove(c.Before.Serving)
			p.warm.add(c.Host.Serving)
			p.capacity += c.Host.Share - c.Before.Share
		}
	case Drain:
		if i >= 0 {
			p.capacity -= p.cold[i].share
			p.cold = slices.Delete(p.cold, i, i+1)
		}
		if w.Serves(c.Before) {
			p.caches--
		}
	}
}

// settle begins the next wave.
func (b *book) settle() {
	for _, p := range b.places {
		p.warmAt, p.coldBefore, p.coming, p.running = p.warm.count, len(p.cold), 0, 0
	}
}
