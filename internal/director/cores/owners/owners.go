// Package owners decides which core a request id belongs to while it is open, so that no id has attempts out on two cores
// at once. The table is shared by all cores; it knows ids and cores alone.
package owners

import "github.com/puzpuzpuz/xsync/v4"

// Table holds open ids. Its methods are safe for concurrent use; look-ups take no lock.
type Table struct{ ids *xsync.Map[string, int] }

// New makes an empty table.
func New() *Table { return &Table{ids: xsync.NewMap[string, int]()} }

// Claim takes an id for a core; false: another core, or the same, has it.
func (t *Table) Claim(id string, core int) bool {
	_, taken := t.ids.LoadOrStore(id, core)
	return !taken
}

// Release gives an id back; what the core does not hold stays.
func (t *Table) Release(id string, core int) {
	t.ids.Compute(id, func(owner int, held bool) (int, xsync.ComputeOp) {
		if held && owner == core {
			return owner, xsync.DeleteOp
		}
		return owner, xsync.CancelOp
	})
}

// Len is how many ids are open.
func (t *Table) Len() int { return t.ids.Size() }
