package replicas

import (
	"errors"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/operatorconfig"
)

var errNotInGroup = errors.New("the store is in no group")

// Recovery is what one replica has on its own.
type Recovery struct {
	Replica     string `json:"copy"`
	Revision    int64  `json:"revision"`
	LastEventMS int64  `json:"last_event_ms"` // Unix milliseconds; 0: its last event was compacted
	Applied     uint64 `json:"taken"`         // index in the log
	Term        uint64 `json:"term"`
	Undecided   int    `json:"undecided"` // entries of which the replica does not know whether they were committed
}

// Recover reads the store of a replica whose process is stopped, and makes it the first of a new
// group if isConfirmed. It is for a group that has lost its majority for good. The replicas of the
// old group can't take part in the new one, which has another number.
func Recover(settings operatorconfig.ControlPlane, isConfirmed bool) (r Recovery, err error) {
	s, err := store.Open(settings.Store, store.Options{
		IsReplica:     true,
		SnapshotEvery: settings.SnapshotEvery,
		KeepEvents:    settings.KeepEvents,
	})
	if err != nil {
		return r, err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	identity, isCloned := s.Identity()
	switch {
	case identity.Disk == 0 || identity.Group == 0:
		return r, errNotInGroup
	case identity.Name != settings.Replicas.Self:
		return r, fmt.Errorf("%w: it is that of copy %s, and the file is of copy %s",
			errOtherReplica, identity.Name, settings.Replicas.Self)
	}
	persisted, err := s.PersistedState()
	if err != nil {
		return r, fmt.Errorf("read state of the replica: %w", err)
	}
	r.Replica = identity.Name
	last, err := applyCommitted(s, persisted, &r)
	if err != nil {
		return r, err
	}
	if r.LastEventMS, err = lastEventTime(s); err != nil || !isConfirmed {
		return r, err
	}
	if isCloned {
		if err := s.ChangeDiskID(newNumber()); err != nil {
			return r, fmt.Errorf("give the disk another number: %w", err)
		}
	}
	return r, startNewGroup(s, settings.Replicas, persisted.Applied, last)
}

// applyCommitted applies the entries that the replica knows to be committed, counts the others, and
// returns the last position.
func applyCommitted(s *store.Store, persisted store.PersistedState, r *Recovery) (last store.Position, err error) {
	last = persisted.Applied.At
	for _, entry := range persisted.Entries {
		if entry.Index <= last.Index {
			continue
		}
		if entry.Index > persisted.Commit {
			r.Undecided++
			continue
		}
		at, data, err := replica.DecodeEntry(entry.Data)
		if err != nil {
			return last, err
		}
		if err := s.Apply(store.Position(at), data, nil, nil); err != nil {
			return last, fmt.Errorf("apply entry %d: %w", at.Index, err)
		}
		last = store.Position(at)
	}
	r.Revision = s.Fleet().Revision
	r.Applied = last.Index
	r.Term = last.Term
	return last, nil
}

// lastEventTime returns the time of the last event in Unix milliseconds; 0 if the event was
// compacted.
func lastEventTime(s *store.Store) (ms int64, err error) {
	err = s.View(func(v *store.View) error {
		events, err := v.Events(s.Fleet().Revision-1, 1)
		if len(events) > 0 {
			ms = events[0].AtMS
		}
		return err
	})
	return ms, err
}

// startNewGroup makes the store the only member of a new group, under its own name and its place in
// the operator's file.
func startNewGroup(s *store.Store, group operatorconfig.ReplicaGroup, applied store.AppliedState, last store.Position) error {
	if err := s.Persist(nil, nil); err != nil {
		return err
	}
	_, members, err := decodeAppliedState(applied)
	if err != nil {
		return err
	}
	identity, _ := s.Identity()
	own := members[identity.Disk]
	if own.Name == "" {
		own = replica.Member{Name: identity.Name}
	}
	for _, place := range group.Replicas {
		if place.Name == identity.Name {
			own.Machine = place.Machine
			own.Site = place.Site
		}
	}
	voters := &pb.ConfState{Voters: []uint64{identity.Disk}}
	first, err := encodeAppliedState(replica.Position(last), voters, map[uint64]replica.Member{identity.Disk: own})
	if err != nil {
		return err
	}
	if err := s.StartNewGroup(newNumber(), first); err != nil {
		return fmt.Errorf("start new group: %w", err)
	}
	return nil
}
