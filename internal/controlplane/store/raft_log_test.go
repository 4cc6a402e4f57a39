package store

import (
	"path/filepath"
	"testing"
)

// Guards against stale log entries. A write whose final sync failed may be in the file nevertheless;
// its entries must not remain after a later write of fewer entries.
func TestFailedWriteLeavesNoStaleLogEntries(t *testing.T) {
	s, err := Open(filepath.Join(t.TempDir(), "s"), Options{IsReplica: true})
	check(t, err)
	defer closeStore(t, s)
	check(t, s.BecomeReplica(Identity{Group: 7, Disk: 1, Name: "a"}, &AppliedState{At: Position{Index: 1, Term: 1}}))
	check(t, s.Persist([]Entry{{2, []byte("2")}, {3, []byte("3")}, {4, []byte("4")}}, &HardState{Term: 1}))
	s.replica.lastIndex = 1 // as after a failed write that reached the file
	_, err = s.PersistedState()
	check(t, err)
	check(t, s.Persist([]Entry{{2, []byte("other")}}, &HardState{Term: 2}))
	p, err := s.PersistedState()
	check(t, err)
	if len(p.Entries) != 1 || string(p.Entries[0].Data) != "other" {
		t.Errorf("%d entries are left: %v", len(p.Entries), p.Entries)
	}
}
