package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/tools/golden"
)

// Guards the encoding of stored values: this version must read the values that older versions wrote.
func TestGoldenEncoding(t *testing.T) {
	golden.Check[chainedEvent](t, "event.cbor", fleet.Encode, cbor.Unmarshal)
	golden.Check[snapshot](t, "snapshot.cbor", fleet.Encode, cbor.Unmarshal)
	golden.Check[outcome](t, "outcome.cbor", fleet.Encode, cbor.Unmarshal)
	golden.Check[batch](t, "batch.cbor", cbor.Marshal, cbor.Unmarshal)
	golden.Check[Identity](t, "identity.cbor", cbor.Marshal, cbor.Unmarshal)
	golden.Check[Position](t, "position.cbor", cbor.Marshal, cbor.Unmarshal)
	golden.Check[AppliedState](t, "applied.cbor", cbor.Marshal, cbor.Unmarshal)
	golden.Check[HardState](t, "hard-state.cbor", cbor.Marshal, cbor.Unmarshal)
}

// goldenPlan returns the plan from the golden files of the plan package, decoded and as a file.
func goldenPlan(t *testing.T) (*plan.Plan, []byte) {
	t.Helper()
	file, err := os.ReadFile("../../fleet/plan/testdata/golden/landed.plan")
	check(t, err)
	p, err := plan.Decode(file)
	check(t, err)
	return p, file
}

var goldenOptions = Options{SnapshotEvery: 4, KeepEvents: 2, Clock: func() int64 { return 1_700_000_000_000 }}

// writeGoldenEvents writes events of every kind, an apply that has ended, an apply that is running,
// and the outcomes of writes.
func writeGoldenEvents(t *testing.T, do func(func(*Tx) error) error) {
	t.Helper()
	p, file := goldenPlan(t)
	sum, err := plan.Sum(p)
	check(t, err)
	group := 3
	rules := fleet.DefaultRules()
	for i, e := range []fleet.Event{
		{Rules: &rules},
		{Location: &fleet.Location{Name: "west", Floor: 1, Load: 2, Sources: []string{"store"}}},
		{Host: &fleet.Host{
			HostSpec: fleet.HostSpec{Name: "store", Role: fleet.Origin, Address: "10.0.0.1:1", Site: "mid", Class: "o", Share: 40},
			State:    fleet.InService,
			Serving:  40,
		}},
		{Host: &fleet.Host{
			HostSpec: fleet.HostSpec{Name: "c-1", Role: fleet.Cache, Address: "10.0.0.2:1", Site: "west", Class: "c", Block: 2, Share: 4},
			State:    fleet.InService,
			Serving:  2,
			AddedMS:  7,
		}},
		{Purge: &fleet.Purge{Object: "00000000000000ab", IssuedMS: 1_699_999_999_000}},
		{Purge: &fleet.Purge{Group: &group, IssuedMS: 1_699_999_999_500}},
		{Membership: &fleet.MembershipChange{
			Joined: []fleet.Director{{
				Name: "d1", Incarnation: "i1", Location: "west", Machine: "m", Site: "s", Version: "v", Claims: "a:1",
			}},
			Shards: []fleet.ShardChange{{Shard: 5, Replicas: []string{"d1/i1"}, PreviousReplicas: []string{"d0/i0"}}},
		}},
	} {
		e.Who = fmt.Sprint("writer ", i)
		check(t, do(func(t *Tx) error {
			_, err := t.Append(e)
			return errors.Join(err, t.RememberWrite(Write{ID: fmt.Sprint("w", i), Body: []byte("body")}, i))
		}))
	}
	for _, running := range []bool{false, true} {
		check(t, do(func(t *Tx) error {
			r, err := t.Create(apply.Record{PlanSum: sum, Who: "op", Status: apply.Running}, file, fleet.DesiredState{Rules: rules})
			if err != nil {
				return err
			}
			if r, err = t.AcquireApplyLock(r); err != nil {
				return err
			}
			if !running {
				r.Status = apply.Done
				return t.SetRecord(r)
			}
			r.Steps = len(p.Steps)
			r.StepsDone = 1
			completed := apply.StepState{Phase: apply.Completed, EventNo: 3, EffectMS: 4, DoneMS: 5}
			return errors.Join(t.SetRecord(r), t.SetStep(r.ID, 1, completed))
		}))
	}
}

// readableContent returns everything that can be read from a store, as text.
func readableContent(t *testing.T, s *Store) string {
	t.Helper()
	var b strings.Builder
	writeLine := func(what string, v any) {
		text, err := json.Marshal(v)
		check(t, err)
		fmt.Fprintf(&b, "%s %s\n", what, text)
	}
	fmt.Fprintf(&b, "chain %x\n", s.Chain())
	writeLine("fleet", s.Fleet().Dump())
	check(t, s.View(func(v *View) error {
		events, err := v.Events(0, 1<<20)
		check(t, err)
		writeLine("events", events)
		records, err := v.Records()
		check(t, err)
		writeLine("applies", records)
		holder, err := v.RunningApply()
		check(t, err)
		writeLine("holder", holder)
		byPlan, err := v.LastApplyOfPlan(holder.PlanSum)
		check(t, err)
		writeLine("by plan", byPlan)
		before, err := v.DesiredBefore(holder.ID)
		check(t, err)
		writeLine("before", before)
		machine, err := v.Machine(*holder)
		check(t, err)
		writeLine("steps", machine.Steps())
		var outcome int
		done, err := v.RepeatedWrite(Write{ID: "w3", Body: []byte("body")}, &outcome)
		check(t, err)
		writeLine("write", []any{done, outcome})
		return nil
	}))
	return b.String()
}

// openGoldenStore opens a copy of a golden store file. create generates that file when golden files
// are updated.
func openGoldenStore(t *testing.T, name string, options Options, create func(path string)) *Store {
	t.Helper()
	var made []byte
	path := filepath.Join(t.TempDir(), "store")
	if golden.Updating() {
		create(path)
		var err error
		made, err = os.ReadFile(path)
		check(t, err)
		check(t, os.Remove(path))
	}
	check(t, os.WriteFile(path, golden.Bytes(t, name, made), 0o600))
	s, err := Open(path, options)
	check(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// compact rewrites a store's file without its unused pages.
func compact(t *testing.T, path string) {
	t.Helper()
	from, err := bolt.Open(path, 0o600, nil)
	check(t, err)
	to, err := bolt.Open(path+".small", 0o600, nil)
	check(t, err)
	check(t, bolt.Compact(to, from, 1<<20))
	check(t, errors.Join(to.Close(), from.Close(), os.Rename(path+".small", path)))
}

// Guards the file format of a control plane without replicas: this version must open the file of an
// older one.
func TestStandaloneStoreOfOlderVersionIsRead(t *testing.T) {
	s := openGoldenStore(t, "alone.db", goldenOptions, func(path string) {
		s, err := Open(path, goldenOptions)
		check(t, err)
		writeGoldenEvents(t, s.Do)
		check(t, s.Close())
		compact(t, path)
	})
	golden.Text(t, "alone.txt", readableContent(t, s))
	check(t, add(s, purge(9)))
}

// Guards the file format of one replica of three, with log, snapshot and members: this version must
// open the file of an older one.
func TestReplicaStoreOfOlderVersionIsRead(t *testing.T) {
	options := goldenOptions
	options.IsReplica = true
	s := openGoldenStore(t, "replica.db", options, func(path string) { writeReplica(t, path, options) })
	golden.Text(t, "replica.txt", readableContent(t, s))
	persisted, err := s.PersistedState()
	check(t, err)
	persisted.Inode = 0
	persisted.BornNS = 0
	golden.Text(t, "replica-raft.txt", golden.Values(persisted))
	if _, isCloned := s.Identity(); !isCloned {
		t.Error("the file was created on another disk, but is not reported as cloned")
	}
}

// writeReplica creates a replica's store with applied state and with later log entries.
func writeReplica(t *testing.T, path string, options Options) {
	t.Helper()
	s, err := Open(path, options)
	check(t, err)
	members := []byte("\xa1\x01\xa3\x64Name\x61a\x67Machine\x62ma\x64Site\x65north") // as the replica package encodes them
	first := AppliedState{At: Position{Index: 1, Term: 1}, ConfState: []byte{8, 1}, Members: members}
	check(t, s.BecomeReplica(Identity{Group: 0xabc, Disk: 1, Name: "a"}, &first))
	index := uint64(1)
	do := func(change func(*Tx) error) error {
		r := &Request{change: change, done: make(chan error, 1)}
		data, results, err := s.Evaluate([]*Request{r})
		if err = errors.Join(append(results, err)...); err != nil {
			return err
		}
		index++
		entry := Entry{Index: index, Data: fmt.Appendf(nil, "entry %d", index)}
		if err := s.Persist([]Entry{entry}, &HardState{Term: 2, Vote: 1, Commit: index}); err != nil {
			return err
		}
		return s.Apply(Position{Index: index, Term: 2}, data, nil, nil)
	}
	writeGoldenEvents(t, do)
	s.CompactLog(Position{Index: 4, Term: 2})
	check(t, s.Apply(Position{Index: index, Term: 2}, nil, []byte{8, 1, 8, 2, 8, 3}, members))
	check(t, s.Persist([]Entry{{Index: index + 1, Data: []byte("not committed")}}, &HardState{Term: 3, Vote: 2, Commit: index}))
	check(t, s.Close())
	compact(t, path)
}
