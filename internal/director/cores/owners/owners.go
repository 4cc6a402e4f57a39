// Package owners decides which core of a process owns a request ID while the request is in flight, so that no ID has
// attempts in flight on two cores.
package owners

import "github.com/puzpuzpuz/xsync/v4"

// Table has the owners of the IDs in flight. Its methods are safe for concurrent use; lookups take no lock.
type Table struct{ owners *xsync.Map[string, int] }

// New makes an empty table.
func New() *Table { return &Table{owners: xsync.NewMap[string, int]()} }

// Acquire makes a core the owner of an ID, and reports false if the ID has an owner, even if it is the same core.
func (t *Table) Acquire(id string, core int) bool {
	_, owned := t.owners.LoadOrStore(id, core)
	return !owned
}

// Release ends the ownership of an ID. It does nothing if another core is the owner.
func (t *Table) Release(id string, core int) {
	t.owners.Compute(id, func(owner int, owned bool) (int, xsync.ComputeOp) {
		if owned && owner == core {
			return owner, xsync.DeleteOp
		}
		return owner, xsync.CancelOp
	})
}

// Len is the number of IDs that have an owner.
func (t *Table) Len() int { return t.owners.Size() }
