package plan

import "stairvane.org/stairvane/internal/fleet"

// groups are sets of things that bear on each other (union-find). Things are named by the keys of package fleet.
type groups struct{ parents map[string]string }

func newGroups() *groups { return &groups{parents: map[string]string{}} }

// root names the set that a thing is in. A thing that is in none gets one of its own.
func (g *groups) root(thing string) string {
	if g.parents[thing] == "" {
		g.parents[thing] = thing
	}
	for g.parents[thing] != thing {
		g.parents[thing] = g.parents[g.parents[thing]]
		thing = g.parents[thing]
	}
	return thing
}

// add puts a thing in a set of its own, unless it is in one.
func (g *groups) add(thing string) { g.root(thing) }

// join makes one set of those of two things. The least name becomes the root, so that the order of joins makes no difference.
func (g *groups) join(a, b string) {
	rootA, rootB := g.root(a), g.root(b)
	if rootB < rootA {
		rootA, rootB = rootB, rootA
	}
	g.parents[rootB] = rootA
}

// groupKey is the thing by which a host is grouped: a cache by its location, any other by itself, for it may serve several.
func groupKey(h *fleet.HostSpec) string {
	if h.Role == fleet.Cache {
		return fleet.LocationKey(h.Site)
	}
	return fleet.HostKey(h.Name)
}
