package replicas

import (
	"errors"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/operatorconfig"
)

// Recovery is what one copy has on its own.
type Recovery struct {
	Replica     string `json:"copy"`
	Revision    int64  `json:"revision"`
	LastEventMS int64  `json:"last_event_ms"` // 0: its last event is no longer kept
	Applied     uint64 `json:"taken"`
	Term        uint64 `json:"term"`
	Undecided   int    `json:"undecided"` // entries of which it does not know that they were accepted
}

// Recover looks at a copy whose process is stopped, and makes it the first of a new group if it is told to. The old group's
// copies can't take part in the new one: its number is another.
func Recover(set operatorconfig.ControlPlane, do bool) (r Recovery, err error) {
	s, err := store.Open(set.Store, store.Options{Group: true, SnapshotEvery: set.SnapshotEvery, KeepEvents: set.KeepEvents})
	if err != nil {
		return r, err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	i, copied := s.Identity()
	switch {
	case i.Disk == 0 || i.Group == 0:
		return r, errors.New("the store is in no group")
	case i.Name != set.Replicas.Self:
		return r, fmt.Errorf("the store is that of copy %s, and the file is of copy %s", i.Name, set.Replicas.Self)
	}
	p, err := s.PersistedState()
	if err != nil {
		return r, err
	}
	// What the disk knows to be accepted is taken over first.
	last := p.Applied.At
	for _, e := range p.Entries {
		if e.Index <= last.Index {
			continue
		}
		if e.Index > p.Commit {
			r.Undecided++
			continue
		}
		at, data, err := replica.DecodeEntry(e.Data)
		if err != nil {
			return r, err
		}
		if err := s.Apply(store.Position(at), data, nil, nil); err != nil {
			return r, err
		}
		last = store.Position(at)
	}
	r.Replica, r.Revision, r.Applied, r.Term = i.Name, s.Fleet().Revision, last.Index, last.Term
	if err := s.View(func(v *store.View) error {
		events, err := v.Events(r.Revision-1, 1)
		if len(events) > 0 {
			r.LastEventMS = events[0].AtMS
		}
		return err
	}); err != nil || !do {
		return r, err
	}
	if copied {
		if err := s.ChangeDiskID(random64()); err != nil {
			return r, err
		}
		i, _ = s.Identity()
	}
	if err := s.Persist(nil, nil); err != nil {
		return r, err
	}
	_, members, err := untaken(p.Applied)
	if err != nil {
		return r, err
	}
	own := members[i.Disk]
	if own.Name == "" {
		own = replica.Member{Name: i.Name}
	}
	for _, c := range set.Replicas.Replicas {
		if c.Name == i.Name {
			own.Machine, own.Site = c.Machine, c.Site
		}
	}
	t, err := taken(replica.Position(last), &pb.ConfState{Voters: []uint64{i.Disk}}, map[uint64]replica.Member{i.Disk: own})
	if err != nil {
		return r, err
	}
	return r, s.StartNewGroup(random64(), t)
}
