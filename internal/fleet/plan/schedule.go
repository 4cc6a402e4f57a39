package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"stairvane.org/stairvane/internal/fleet"
)

// Parts of its share at which a cold box may enter, tried where it would be asked for too much at a greater one.
var entering = []float64{0.5, 0.25, 0.125, 0.0625}

// Make plans the way from a world to a wish. Equal arguments give equal plans. The error is an *Impossible if no order
// of steps keeps the constraints.
func Make(w fleet.ObservedState, wish fleet.DesiredState, wishFile string) (*Plan, error) {
	wish.Normalize()
	if flaws := wish.Validate(); len(flaws) > 0 {
		e := &Impossible{}
		for _, f := range flaws {
			e.Blocked = append(e.Blocked, Blocked{Change: "the wish itself, " + f.Thing, Why: f.Message, Remedy: "correct the file"})
		}
		return nil, e
	}
	p := &Plan{Revision: w.Revision, NowMS: w.NowMS, DesiredFile: wishFile, DesiredSum: fleet.Sum(wish), Rules: wish.Rules}
	p.Reads = append(p.Reads, w.ReadRules())
	rulesChange := w.Rules() != wish.Rules
	if rulesChange {
		rules := wish.Rules
		p.Steps = append(p.Steps, Step{ID: 1, Kind: SetRules, Wait: Notified, Rules: &rules})
	}
	w.Fleet = w.WithRules(wish.Rules)
	d := &differ{world: w, wish: wish, nodes: newGroups()}
	d.run()
	s := &scheduler{world: w, plan: p, changes: d.changes, nodes: d.nodes, barrier: rulesChange, read: map[string]bool{}}
	if err := s.run(); err != nil {
		return nil, err
	}
	slices.SortFunc(p.Reads, func(a, b fleet.Read) int { return cmp.Compare(a.Thing, b.Thing) })
	return p, nil
}

// groups are sets of things that bear on each other (union-find).
type groups struct{ up map[string]string }

func newGroups() *groups { return &groups{up: map[string]string{}} }

func (g *groups) root(a string) string {
	if g.up[a] == "" {
		g.up[a] = a
	}
	for g.up[a] != a {
		g.up[a] = g.up[g.up[a]]
		a = g.up[a]
	}
	return a
}

func (g *groups) join(a, b string) {
	ra, rb := g.root(a), g.root(b)
	if rb < ra { // the least name leads, so that the order of joins makes no difference
		ra, rb = rb, ra
	}
	g.up[rb] = ra
}

// scheduler places changes in waves, group by group.
type scheduler struct {
	world   fleet.ObservedState
	plan    *Plan
	changes []*change
	nodes   *groups
	barrier bool
	read    map[string]bool
}

func (s *scheduler) run() error {
	s.couple()
	byGroup := map[string][]*change{}
	for _, c := range s.changes {
		root := s.nodes.root(s.node(c))
		byGroup[root] = append(byGroup[root], c)
	}
	locations := map[string][]string{}
	for node := range s.nodes.up {
		if name, is := strings.CutPrefix(node, "location "); is {
			root := s.nodes.root(node)
			locations[root] = append(locations[root], name)
		}
	}
	impossible := &Impossible{}
	for i, root := range slices.Sorted(maps.Keys(byGroup)) {
		slices.Sort(locations[root])
		s.group(i+1, byGroup[root], locations[root], impossible)
	}
	if len(impossible.Blocked) > 0 {
		return impossible
	}
	return nil
}

func (s *scheduler) node(c *change) string {
	if c.Location != nil {
		return fleet.LocationKey(c.Location.Name)
	}
	return home(&c.Host.HostSpec)
}

// couple joins the locations that share a source that changes or is cold. A source that stays as it is, warm, does not
// make what its locations do each other's concern.
func (s *scheduler) couple() {
	hot := map[string]bool{}
	for _, c := range s.changes {
		if c.Host != nil && c.Host.Role != fleet.Cache {
			hot[c.Host.Name] = true
		}
	}
	join := func(l *fleet.Location) {
		for _, name := range l.Sources {
			if m := s.world.Host(name); hot[name] || m != nil && s.world.IsWarmingUp(m) {
				s.nodes.join(fleet.LocationKey(l.Name), fleet.HostKey(name))
			}
		}
	}
	for l := range s.world.Locations() {
		join(l)
	}
	for _, c := range s.changes {
		if c.Location != nil {
			join(c.Location)
		}
	}
}

func (s *scheduler) group(number int, changes []*change, locations []string, impossible *Impossible) {
	b := newBook(s.plan.Rules)
	for _, l := range locations {
		b.open(s.world, l)
	}
	for _, c := range changes {
		switch {
		case c.Location != nil:
			b.open(s.world, c.Location.Name)
			for _, name := range c.Location.Sources {
				b.openSource(s.world, name)
			}
		case c.Host.Role == fleet.Cache:
			b.open(s.world, c.Host.Site)
		default:
			b.openSource(s.world, c.Host.Name)
		}
	}
	s.reads(b, changes)
	slices.SortStableFunc(changes, func(a, b *change) int {
		return cmp.Or(cmp.Compare(a.urge, b.urge), cmp.Compare(a.size(), b.size()), cmp.Compare(a.key, b.key), cmp.Compare(a.Kind, b.Kind))
	})
	var last []int
	if s.barrier {
		last = []int{1}
	}
	q := newQueue(changes)
	for wave := 1; q.left > 0; wave++ {
		b.settle()
		placed, blocked := s.wave(b, q)
		if len(placed) == 0 {
			placed = s.squeeze(b, q)
		}
		if len(placed) == 0 {
			s.explain(changes, blocked, impossible)
			return
		}
		ids := make([]int, 0, len(placed))
		for _, c := range placed {
			c.ID, c.Group, c.Wave, c.After = len(s.plan.Steps)+1, number, wave, last
			s.plan.Steps = append(s.plan.Steps, c.Step)
			ids = append(ids, c.ID)
		}
		last = ids
		for _, c := range placed {
			b.finish(s.world, c)
			q.finish(c)
			if c.Kind == Add && c.Host.Serving < c.Host.Share {
				q.left++
				q.push(raise(c))
			}
		}
	}
}

// queue holds the changes that wait for none, by urge and then in the order in which they came.
type queue struct {
	ready [urgeForget + 1][]*change
	left  int // changes not done, ready or not
}

func newQueue(changes []*change) *queue {
	q := &queue{left: len(changes)}
	for _, c := range changes {
		c.waits = len(c.needs)
		for _, n := range c.needs {
			n.frees = append(n.frees, c)
		}
		if c.waits == 0 {
			q.push(c)
		}
	}
	return q
}

func (q *queue) push(c *change) { q.ready[c.urge] = append(q.ready[c.urge], c) }

func (q *queue) finish(c *change) {
	c.done = true
	q.left--
	for _, f := range c.frees {
		if f.waits--; f.waits == 0 {
			q.push(f)
		}
	}
}

// all are the ready changes in order.
func (q *queue) all(yield func(*change) bool) {
	for u := range q.ready {
		for len(q.ready[u]) > 0 && q.ready[u][0].done {
			q.ready[u] = q.ready[u][1:]
		}
		for _, c := range q.ready[u] {
			if !c.done && !yield(c) {
				return
			}
		}
	}
}

// size is by how much a change takes: the least first, so that where one does not fit no later one of its kind does.
func (c *change) size() float64 {
	switch c.Kind {
	case Drain:
		return c.Before.Serving
	case Lower:
		return c.Before.Serving - c.Host.Serving
	}
	return 0
}

// raise brings a box that entered at a part of its share to all of it, once it is warm.
func raise(add *change) *change {
	from, to := *add.Host, *add.Host
	to.Serving = to.Share
	c := &change{Step: Step{Kind: Raise, Wait: Notified, Before: &from, Host: &to}, urge: urgeRaise, fresh: true}
	c.key = c.Thing()
	return c
}

// blockedBy is why a change could not be placed.
type blockedBy struct {
	c *change
	l *fleet.Slack
}

// missesPerWave bounds how many changes are tried in vain once a wave has steps; the next wave tries them again.
const missesPerWave = 64

// wave places what fits together.
func (s *scheduler) wave(b *book, q *queue) (placed []*change, blocked []blockedBy) {
	misses := 0
	for c := range q.all {
		if len(placed) == max(1, s.plan.Rules.MaxParallelSteps) || len(placed) > 0 && misses >= missesPerWave {
			break
		}
		alone := b.alone(c)
		if alone && len(placed) > 0 {
			continue
		}
		if l := b.try(s.world, c); l != nil {
			blocked = append(blocked, blockedBy{c, l})
			misses++
			continue
		}
		placed = append(placed, c)
		if alone {
			break
		}
	}
	return placed, blocked
}

// squeeze lets one cold box enter at a part of its share.
func (s *scheduler) squeeze(b *book, q *queue) []*change {
	for _, part := range entering {
		for c := range q.all {
			if c.Kind != Add || !c.Host.NeedsWarmUp() {
				continue
			}
			full := c.Host
			less := *full
			less.Serving = full.Share * part
			if c.Host = &less; b.try(s.world, c) == nil {
				return []*change{c}
			}
			c.Host = full
		}
	}
	return nil
}

// reads lists what the group's plan rests on.
func (s *scheduler) reads(b *book, changes []*change) {
	box := func(name string) {
		if key := fleet.HostKey(name); !s.read[key] {
			s.read[key] = true
			s.plan.Reads = append(s.plan.Reads, s.world.ReadHost(name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.places)) {
		s.plan.Reads = append(s.plan.Reads, s.world.ReadLocation(name))
		for m := range s.world.InSite(name) {
			box(m.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.sources)) {
		box(name)
	}
	for _, c := range changes {
		if c.Host != nil {
			box(c.Host.Name)
		}
	}
}

// explain says which constraints and boxes stand in the way, and what would make the change possible.
func (s *scheduler) explain(changes []*change, blocked []blockedBy, impossible *Impossible) {
	for _, by := range blocked {
		x := Blocked{Change: by.c.Step.String()}
		if by.c.Host != nil {
			x.Boxes = []string{by.c.Host.Name}
		}
		l := by.l
		x.Why = l.String()
		switch l.Constraint {
		case fleet.FloorConstraint:
			x.Remedy = fmt.Sprintf("add share %.4g to %s first, or lower its floor to %.4g", l.Need-l.Have, l.Thing, max(0, l.Have))
		case fleet.SourceConstraint:
			x.Remedy = fmt.Sprintf("give %s another source first", l.Thing)
		case fleet.WarmingCapacityConstraint:
			x.Remedy = fmt.Sprintf("wait until what is cold in %s is warm, or raise cold-most", l.Thing)
		case fleet.WarmingCacheConstraint:
			x.Remedy = fmt.Sprintf("wait until %s is warm, add warm share to its location, or lower the location's load", l.Thing)
			x.Boxes = append(x.Boxes, l.Thing)
		default:
			x.Remedy = fmt.Sprintf("wait until hub %s is warm, or let fewer locations fill from it", l.Thing)
			x.Boxes = append(x.Boxes, l.Thing)
		}
		slices.Sort(x.Boxes)
		x.Boxes = slices.Compact(x.Boxes)
		impossible.Blocked = append(impossible.Blocked, x)
	}
	if len(blocked) == 0 {
		for _, c := range changes {
			if c.done {
				continue
			}
			impossible.Blocked = append(impossible.Blocked, Blocked{
				Change: c.Step.String(), Why: "it waits for steps that wait for it",
				Remedy: "make the change in two plans",
			})
		}
	}
}
