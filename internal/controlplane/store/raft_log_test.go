package store

import (
	"path/filepath"
	"testing"
)

// Guards against entries that are in the file although their write failed at its last sync: they
// must not follow on later, shorter ones.
func TestLogEndsWhereTheFileDoes(t *testing.T) {
	s, err := Open(filepath.Join(t.TempDir(), "s"), Options{IsReplica: true})
	check(t, err)
	defer closeStore(t, s)
	check(t, s.BecomeReplica(Identity{Group: 7, Disk: 1, Name: "a"}, &AppliedState{At: Position{Index: 1, Term: 1}}))
	check(t, s.Persist([]Entry{{2, []byte("2")}, {3, []byte("3")}, {4, []byte("4")}}, &HardState{Term: 1}))
	s.replica.lastIndex = 1 // as after an error that the file does not show
	_, err = s.PersistedState()
	check(t, err)
	check(t, s.Persist([]Entry{{2, []byte("other")}}, &HardState{Term: 2}))
	p, err := s.PersistedState()
	check(t, err)
	if len(p.Entries) != 1 || string(p.Entries[0].Data) != "other" {
		t.Errorf("%d entries are left: %v", len(p.Entries), p.Entries)
	}
}
