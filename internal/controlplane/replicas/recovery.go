package replicas

import (
	"errors"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/operatorconfig"
)

var errNotInGroup = errors.New("the store does not belong to a group")

// Recovery describes the state that one replica holds on its own.
type Recovery struct {
	Replica     string `json:"copy"`
	Revision    int64  `json:"revision"`
	LastEventMS int64  `json:"last_event_ms"` // Unix milliseconds; 0 if the last event was compacted
	Applied     uint64 `json:"taken"`         // log index
	Term        uint64 `json:"term"`
	Undecided   int    `json:"undecided"` // number of entries that the replica does not know to be committed
}

// Recover reads the store of a stopped replica and, if isConfirmed, makes it the first member of a
// new group. It is for a group that has permanently lost its majority. The replicas of the old group
// can't participate in the new one, because it has a different ID.
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
		return r, fmt.Errorf("%w: it is the store of replica %s, and the configuration file is of replica %s",
			errWrongReplica, identity.Name, settings.Replicas.Self)
	}
	persisted, err := s.PersistedState()
	if err != nil {
		return r, fmt.Errorf("read the state of the replica: %w", err)
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
		if err := s.ChangeDiskID(newID()); err != nil {
			return r, fmt.Errorf("assign a new ID to the disk: %w", err)
		}
	}
	return r, startNewGroup(s, settings.Replicas, persisted.Applied, last)
}

// applyCommitted applies the entries that the replica knows to be committed, counts the other ones
// as undecided, and returns the position of the last applied entry.
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

// lastEventTime returns the time of the last event in Unix milliseconds, or 0 if the event was
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

// startNewGroup makes the store the only member of a new group. The member keeps its name and gets
// the machine and site that the operator's file has for it.
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
	for _, configured := range group.Replicas {
		if configured.Name == identity.Name {
			own.Machine = configured.Machine
			own.Site = configured.Site
		}
	}
	voters := &pb.ConfState{Voters: []uint64{identity.Disk}}
	initial, err := encodeAppliedState(replica.Position(last), voters, map[uint64]replica.Member{identity.Disk: own})
	if err != nil {
		return err
	}
	if err := s.StartNewGroup(newID(), initial); err != nil {
		return fmt.Errorf("start a new group: %w", err)
	}
	return nil
}
