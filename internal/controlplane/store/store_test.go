package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
)

func TestMain(m *testing.M) {
	if path := os.Getenv("STAIRVANE_TEST_FULL"); path != "" {
		os.Exit(fillDisk(path))
	}
	os.Exit(m.Run())
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func purge(n int) fleet.Event {
	return fleet.Event{Who: "test", Purge: &fleet.Purge{Object: fmt.Sprintf("%016x", n), IssuedMS: 1}}
}

func add(s *Store, events ...fleet.Event) error {
	return s.Do(func(t *Tx) error {
		for _, e := range events {
			if _, err := t.Append(e); err != nil {
				return err
			}
		}
		return nil
	})
}

// fill makes a history with boxes, purges and an apply.
func fill(t testing.TB, s *Store, n int) {
	t.Helper()
	for i := range n {
		e := purge(i)
		if i%3 == 0 {
			e = fleet.Event{Who: "test", Host: &fleet.Host{HostSpec: fleet.HostSpec{Name: fmt.Sprintf("c-%d", i), Address: fmt.Sprintf("%d:1", i), Share: 1}, State: fleet.InService}}
		}
		check(t, add(s, e))
	}
	check(t, s.Do(func(t *Tx) error {
		r, err := t.Create(apply.Record{PlanSum: "x", Status: apply.Running}, []byte("no plan"), fleet.DesiredState{})
		if err != nil {
			return err
		}
		r.Status = apply.Done
		return t.SetRecord(r)
	}))
}

// content is all that a store tells.
func content(s *Store) (c struct {
	Dump    fleet.Dump
	Chain   [32]byte
	Events  []fleet.Event
	Records []apply.Record
}, err error,
) {
	c.Dump, c.Chain = s.Fleet().Dump(), s.Chain()
	err = s.View(func(v *View) (err error) {
		if c.Events, err = v.Events(0, 1<<20); err == nil {
			c.Records, err = v.Records()
		}
		return err
	})
	return c, err
}

// A change that fails leaves nothing behind, also where it shares a transaction; what was kept is there after a close,
// with and without snapshots; the history's hash is the same in either case.
func TestHistoryIsKept(t *testing.T) {
	var chain [32]byte
	for _, every := range []int{1, 3, 1000} {
		path := filepath.Join(t.TempDir(), "s")
		opt := Options{SnapshotEvery: every, KeepEvents: 2, Clock: func() int64 { return 5 }}
		s, err := Open(path, opt)
		check(t, err)
		fill(t, s, 20)
		refused := errors.New("refused")
		if err := s.Do(func(t *Tx) error { _, _ = t.Append(purge(1)); return refused }); !errors.Is(err, refused) {
			t.Error(err)
		}
		if err := add(s, fleet.Event{Purge: &fleet.Purge{Object: "short"}}); err == nil {
			t.Error("a bad event was taken")
		}
		want, err := content(s)
		check(t, err)
		check(t, s.Close())
		s, err = Open(path, opt)
		check(t, err)
		got, err := content(s)
		check(t, err)
		if !reflect.DeepEqual(got, want) || got.Dump.Revision != 20 {
			t.Errorf("%+v\n%+v", got, want)
		}
		if chain == [32]byte{} {
			chain = s.Chain()
		}
		if s.Chain() != chain {
			t.Error("the same history has another hash")
		}
		if first, tail := s.Tail(); every == 1 && (first != 19 || len(tail) != 2) || every == 1000 && first != 1 {
			t.Errorf("every %d: %d kept from %d", every, len(tail), first)
		}
		if _, err := Open(path, opt); !errors.Is(err, ErrLocked) {
			t.Errorf("opened twice: %v", err)
		}
		check(t, s.Close())
		if err := add(s, purge(1)); !errors.Is(err, ErrClosed) {
			t.Error(err)
		}
	}
}

// Whoever has lost the lease can't write any more.
func TestFencing(t *testing.T) {
	s, err := Open(filepath.Join(t.TempDir(), "s"), Options{})
	check(t, err)
	defer s.Close()
	var old, now apply.Record
	check(t, s.Do(func(t *Tx) (err error) {
		old, err = t.Create(apply.Record{PlanSum: "x", Status: apply.Running}, nil, fleet.DesiredState{})
		return err
	}))
	check(t, s.Do(func(t *Tx) (err error) { now, err = t.Lease(old); return err }))
	if err := s.Do(func(t *Tx) error { return t.Fence(old) }); !errors.Is(err, apply.ErrFenced) {
		t.Error(err)
	}
	check(t, s.Do(func(t *Tx) error { return t.Fence(now) }))
	now.Status = apply.Done
	check(t, s.Do(func(t *Tx) error { return t.SetRecord(now) }))
	if err := s.Do(func(t *Tx) error { return t.Fence(now) }); !errors.Is(err, apply.ErrFenced) {
		t.Error(err)
	}
}

// A flipped bit or a file cut short is told as damage, or touches what is not in use; it is never read as another
// history, and never ends the process.
func TestDamage(t *testing.T) {
	seed := uint64(1)
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	path := filepath.Join(t.TempDir(), "s")
	s, err := Open(path, Options{SnapshotEvery: 100, KeepEvents: 1000, NoSync: true})
	check(t, err)
	fill(t, s, 450)
	want, err := content(s)
	check(t, err)
	check(t, s.Close())
	whole, err := os.ReadFile(path)
	check(t, err)
	told, same := 0, 0
	broken := filepath.Join(t.TempDir(), "s")
	try := func(name string, b []byte) {
		t.Helper()
		check(t, os.WriteFile(broken, b, 0o600))
		s, err := Open(broken, Options{SnapshotEvery: 1000, NoSync: true})
		if err != nil {
			told++
			if after, _ := os.ReadFile(broken); !bytes.Equal(after, b) {
				t.Errorf("%s: a damaged file was written to", name)
			}
			return
		}
		defer s.Close()
		got, err := content(s)
		if err != nil {
			told++
			return
		}
		same++
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as another history", name)
		}
	}
	for i := range 2 { // of two heads, the library would go on from the older without a word
		b := bytes.Clone(whole)
		b[i*os.Getpagesize()+16+50] ^= 1
		if try(fmt.Sprintf("head %d", i), b); told != i+1 {
			t.Errorf("head %d: not told", i)
		}
	}
	for range 400 {
		b := bytes.Clone(whole)
		at := rng.IntN(len(b) * 8)
		b[at/8] ^= 1 << (at % 8)
		try(fmt.Sprintf("bit %d", at), b)
	}
	flips := told
	for range 60 {
		n := 1 + rng.IntN(len(whole)-1)
		try(fmt.Sprintf("%d of %d bytes", n, len(whole)), whole[:n])
	}
	t.Logf("%d of 400 flips and %d of 60 cuts told, %d harmless", flips, told-flips, same)
	if flips < 60 || told-flips < 10 {
		t.Error("too little was told")
	}
}

// fillDisk is a child with a limit on the length of its files, which fails writes as a full disk does.
func fillDisk(path string) int {
	signal.Ignore(syscall.SIGXFSZ)
	s, err := Open(path, Options{})
	if err != nil {
		return 2
	}
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 1 << 18, Max: 1 << 30}); err != nil {
		return 3
	}
	kept := 0
	for ; kept < 100_000; kept++ {
		if add(s, purge(kept), purge(kept)) != nil {
			break
		}
	}
	if kept == 0 || kept == 100_000 || s.Fleet().Revision != int64(2*kept) {
		return 4
	}
	if add(s, purge(0)) == nil && s.Fleet().Revision != int64(2*kept+1) {
		return 5
	}
	revision := s.Fleet().Revision
	// There is room again: it goes on, without a new start.
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 1 << 30, Max: 1 << 30}); err != nil {
		return 6
	}
	if err := add(s, purge(7)); err != nil || s.Fleet().Revision != revision+1 {
		fmt.Fprintln(os.Stderr, err)
		return 7
	}
	fmt.Println(revision + 1)
	return 0 // without a close, as a kill
}

// A full disk refuses changes and loses none; with room again it goes on.
func TestFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "STAIRVANE_TEST_FULL="+path)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	check(t, err)
	s, err := Open(path, Options{})
	check(t, err)
	defer s.Close()
	if got := fmt.Sprintln(s.Fleet().Revision); got != string(out) {
		t.Errorf("%s kept, %s told", got, out)
	}
}

// A whole state that is dropped while another is being received does not take that one with it; what a start has left is swept at
// the next; and the one that came can be taken over.
func TestReceivedStatesAreApart(t *testing.T) {
	folder := t.TempDir()
	from, err := Open(filepath.Join(folder, "from"), Options{Group: true})
	check(t, err)
	defer from.Close()
	check(t, from.BecomeReplica(Identity{Group: 7, Disk: 1, Name: "a"}, &AppliedState{At: Position{Index: 1, Term: 1}}))
	check(t, from.Persist([]Entry{{Index: 2, Data: []byte("x")}}, &HardState{Term: 1}))
	path := filepath.Join(folder, "to")
	left := path + incoming + "of-before"
	check(t, os.WriteFile(left, []byte("part of a state"), 0o600))
	to, err := Open(path, Options{Group: true})
	check(t, err)
	defer to.Close()
	check(t, to.BecomeReplica(Identity{Disk: 2, Name: "b"}, nil))
	receive := func() (c *ReceivedSnapshot) {
		t.Helper()
		check(t, from.ExportSnapshot(func(_ AppliedState, _ int64, write func(io.Writer) error) error {
			r, w := io.Pipe()
			go func() { w.CloseWithError(write(w)) }()
			c, err = to.ReceiveSnapshot(r)
			return err
		}))
		return c
	}
	first := receive()
	second := receive()
	first.Discard()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		all, err := filepath.Glob(path + incoming + "*")
		check(t, err)
		if len(all) == 1 && all[0] == second.store.path {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%v are there, %s is wanted", all, second.store.path)
		}
	}
	check(t, to.InstallSnapshot(second, HardState{Term: 1, Commit: 1}))
	p, err := to.PersistedState()
	check(t, err)
	if i, _ := to.Identity(); p.Applied.At.Index != 1 || i.Disk != 2 {
		t.Errorf("%+v %+v", p, i)
	}
}

// Entries that are in the file although their write failed at its last sync are replaced, and do not stay behind shorter ones.
func TestLogEndsWhereTheFileDoes(t *testing.T) {
	s, err := Open(filepath.Join(t.TempDir(), "s"), Options{Group: true})
	check(t, err)
	defer s.Close()
	check(t, s.BecomeReplica(Identity{Group: 7, Disk: 1, Name: "a"}, &AppliedState{At: Position{Index: 1, Term: 1}}))
	check(t, s.Persist([]Entry{{2, []byte("2")}, {3, []byte("3")}, {4, []byte("4")}}, &HardState{Term: 1}))
	s.group.last = 1 // as after an error that the file does not show
	_, err = s.PersistedState()
	check(t, err)
	check(t, s.Persist([]Entry{{2, []byte("other")}}, &HardState{Term: 2}))
	p, err := s.PersistedState()
	check(t, err)
	if len(p.Entries) != 1 || string(p.Entries[0].Data) != "other" {
		t.Errorf("%d entries are left: %v", len(p.Entries), p.Entries)
	}
}

// A fleet with more purges than a list of the library's may hold is a snapshot like any other: it was once taken for damage, at the
// next start and at each copy that it was sent to.
func TestSnapshotOfManyPurges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	const many = 135_000
	s, err := Open(path, Options{NoSync: true, SnapshotEvery: many, Clock: func() int64 { return 1_000_000 }})
	check(t, err)
	for n := 0; n < many; n += 5000 {
		check(t, s.Do(func(t *Tx) error {
			for i := range 5000 {
				if _, err := t.Append(fleet.Event{Who: "test", Purge: &fleet.Purge{Object: fmt.Sprintf("%016x", n+i+1), IssuedMS: t.NowMS}}); err != nil {
					return err
				}
			}
			return nil
		}))
	}
	check(t, s.Close())
	s, err = Open(path, Options{})
	check(t, err)
	defer s.Close()
	if s.Fleet().Revision != many || s.snapped != many {
		t.Errorf("event %d, snapshot at %d", s.Fleet().Revision, s.snapped)
	}
}
