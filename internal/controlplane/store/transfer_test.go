package store

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against removing one received snapshot when another one is discarded, and against snapshot
// files left by earlier runs: a received snapshot can be installed after another one was discarded.
func TestReceivedSnapshotsAreIndependent(t *testing.T) {
	folder := t.TempDir()
	from, err := Open(filepath.Join(folder, "from"), Options{IsReplica: true})
	check(t, err)
	defer closeStore(t, from)
	check(t, from.BecomeReplica(Identity{Group: 7, Disk: 1, Name: "a"}, &AppliedState{At: Position{Index: 1, Term: 1}}))
	check(t, from.Persist([]Entry{{Index: 2, Data: []byte("x")}}, &HardState{Term: 1}))
	path := filepath.Join(folder, "to")
	left := path + receivedInfix + "of-before"
	check(t, os.WriteFile(left, []byte("part of a snapshot"), 0o600))
	to, err := Open(path, Options{IsReplica: true})
	check(t, err)
	defer closeStore(t, to)
	check(t, to.BecomeReplica(Identity{Disk: 2, Name: "b"}, nil))
	receive := func() (received *ReceivedSnapshot) {
		t.Helper()
		check(t, from.ExportSnapshot(func(_ AppliedState, _ int64, write func(io.Writer) error) error {
			r, w := io.Pipe()
			go func() { w.CloseWithError(write(w)) }()
			received, err = to.ReceiveSnapshot(r)
			return err
		}))
		return received
	}
	first := receive()
	second := receive()
	first.Discard()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		all, err := filepath.Glob(path + receivedInfix + "*")
		check(t, err)
		if len(all) == 1 && all[0] == second.store.path {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%v exist, %s is wanted", all, second.store.path)
		}
	}
	check(t, to.InstallSnapshot(second, HardState{Term: 1, Commit: 1}))
	p, err := to.PersistedState()
	check(t, err)
	if i, _ := to.Identity(); p.Applied.At.Index != 1 || i.Disk != 2 {
		t.Errorf("%+v %+v", p, i)
	}
}
