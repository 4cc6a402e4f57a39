package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

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

func closeStore(t testing.TB, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// purge returns an event that purges one of many objects.
func purge(n int) fleet.Event {
	return fleet.Event{Who: "test", Purge: &fleet.Purge{Object: fmt.Sprintf("%016x", n), IssuedMS: 1}}
}

// add appends events in one change.
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

// fill writes n events, of hosts and purges, and an apply.
func fill(t testing.TB, s *Store, n int) {
	t.Helper()
	for i := range n {
		e := purge(i)
		if i%3 == 0 {
			spec := fleet.HostSpec{Name: fmt.Sprintf("c-%d", i), Address: fmt.Sprintf("%d:1", i), Share: 1}
			e = fleet.Event{Who: "test", Host: &fleet.Host{HostSpec: spec, State: fleet.InService}}
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

// storeContent is the content of a store that tests compare.
type storeContent struct {
	Dump    fleet.Dump
	Chain   [32]byte
	Events  []fleet.Event
	Records []apply.Record
}

func content(s *Store) (c storeContent, err error) {
	c.Dump = s.Fleet().Dump()
	c.Chain = s.Chain()
	err = s.View(func(v *View) (err error) {
		if c.Events, err = v.Events(0, 1<<20); err == nil {
			c.Records, err = v.Records()
		}
		return err
	})
	return c, err
}

// Guards against side effects of a failed change, and against an event log or hash that differs
// after a restart, with and without snapshots.
func TestEventLogSurvivesRestart(t *testing.T) {
	var chain [32]byte
	for _, every := range []int{1, 3, 1000} {
		path := filepath.Join(t.TempDir(), "s")
		options := Options{SnapshotEvery: every, KeepEvents: 2, Clock: func() int64 { return 5 }}
		s, err := Open(path, options)
		check(t, err)
		fill(t, s, 20)
		errRejected := errors.New("rejected")
		appendAndFail := func(t *Tx) error {
			_, _ = t.Append(purge(1))
			return errRejected
		}
		if err := s.Do(appendAndFail); !errors.Is(err, errRejected) {
			t.Error(err)
		}
		if err := add(s, fleet.Event{Purge: &fleet.Purge{Object: "short"}}); err == nil {
			t.Error("an invalid event was accepted")
		}
		want, err := content(s)
		check(t, err)
		check(t, s.Close())
		s, err = Open(path, options)
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
			t.Error("the same events have another hash")
		}
		if first, tail := s.Tail(); every == 1 && (first != 19 || len(tail) != 2) || every == 1000 && first != 1 {
			t.Errorf("every %d: %d events from %d on", every, len(tail), first)
		}
		if _, err := Open(path, options); !errors.Is(err, ErrLocked) {
			t.Errorf("opened twice: %v", err)
		}
		check(t, s.Close())
		if err := add(s, purge(1)); !errors.Is(err, ErrClosed) {
			t.Error(err)
		}
	}
}
