package plan

import "stairvane.org/stairvane/internal/fleet"

// groups is a union-find structure of hosts and locations that can affect the same constraints. Its elements are keys of package fleet.
type groups struct{ parents map[string]string }

func newGroups() *groups { return &groups{parents: map[string]string{}} }

// root returns the representative of the set that contains a key. It adds a key that is in no set as a set of its own.
func (g *groups) root(key string) string {
	if g.parents[key] == "" {
		g.parents[key] = key
	}
	for g.parents[key] != key {
		g.parents[key] = g.parents[g.parents[key]]
		key = g.parents[key]
	}
	return key
}

// add adds a key as a set of its own, unless it is in a set already.
func (g *groups) add(key string) { g.root(key) }

// join merges the sets of two keys. The smaller root becomes the root of the merged set, so that the result does not depend on the order
// of the calls.
func (g *groups) join(a, b string) {
	rootA, rootB := g.root(a), g.root(b)
	if rootB < rootA {
		rootA, rootB = rootB, rootA
	}
	g.parents[rootB] = rootA
}

// groupKey returns the key by which a host is grouped: that of its location for a cache, and its own for other hosts, which may serve
// several locations.
func groupKey(h *fleet.HostSpec) string {
	if h.Role == fleet.Cache {
		return fleet.LocationKey(h.Site)
	}
	return fleet.HostKey(h.Name)
}
