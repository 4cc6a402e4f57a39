package replicas

import (
	"errors"
	"fmt"
	"log/slog"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
)

// Errors of New: the store does not fit the settings.
var (
	errOtherReplica   = errors.New("the store is that of another copy")
	errAlreadyInGroup = errors.New("the store belongs to a group already: start it without --found")
)

// identifyDisk sets the phase by what the store says of the disk, and gives the disk a number if it
// has none.
func (g *Group) identifyDisk() error {
	identity, isCloned := g.store.Identity()
	switch {
	case isCloned:
		g.exclude(store.ErrClonedStore.Error())
	case identity.Disk == 0 && g.settings.FoundGroup:
		return g.foundGroup()
	case identity.Disk == 0:
		return g.awaitAdmission()
	case identity.Name != g.settings.Self:
		return fmt.Errorf("%w: it is that of copy %s, and this is copy %s", errOtherReplica, identity.Name, g.settings.Self)
	case g.settings.FoundGroup:
		return errAlreadyInGroup
	case identity.Group != 0:
		g.introduction.startedAt = Now()
	default:
		g.phase = AwaitingAdmission
	}
	return nil
}

// foundGroup makes the store the only member of a new group.
func (g *Group) foundGroup() error {
	own := g.self()
	disk := newNumber()
	members := map[uint64]replica.Member{disk: {Name: own.Name, Machine: own.Machine, Site: own.Site}}
	first, err := encodeAppliedState(replica.Position{Index: 1, Term: 1}, &pb.ConfState{Voters: []uint64{disk}}, members)
	if err != nil {
		return err
	}
	if err := g.store.BecomeReplica(store.Identity{Group: newNumber(), Disk: disk, Name: own.Name}, &first); err != nil {
		return fmt.Errorf("found group: %w", err)
	}
	slog.Info("replica.group_founded", "replica", own.Name, "disk", formatNumber(disk), "revision", g.store.Fleet().Revision)
	g.introduction.startedAt = Now() - introductionTimeout // there is nobody to introduce the disk to
	return nil
}

// awaitAdmission makes the store that of a new disk.
func (g *Group) awaitAdmission() error {
	own := g.self()
	disk := newNumber()
	if err := g.store.BecomeReplica(store.Identity{Disk: disk, Name: own.Name}, nil); err != nil {
		return fmt.Errorf("make store of a new disk: %w", err)
	}
	g.phase = AwaitingAdmission
	slog.Info("replica.awaits_admission", "replica", own.Name, "disk", formatNumber(disk))
	return nil
}

// encodeAppliedState encodes a position in the log, and who the members are there, as the store has
// it.
func encodeAppliedState(at replica.Position, confState *pb.ConfState, members map[uint64]replica.Member) (store.AppliedState, error) {
	rawConfState, err := proto.Marshal(confState)
	if err != nil {
		return store.AppliedState{}, fmt.Errorf("encode voters: %w", err)
	}
	rawMembers, err := cbor.Marshal(members)
	if err != nil {
		return store.AppliedState{}, fmt.Errorf("encode members: %w", err)
	}
	return store.AppliedState{At: store.Position(at), ConfState: rawConfState, Members: rawMembers}, nil
}

func decodeAppliedState(a store.AppliedState) (*pb.ConfState, map[uint64]replica.Member, error) {
	confState := &pb.ConfState{}
	if err := proto.Unmarshal(a.ConfState, confState); err != nil {
		return nil, nil, fmt.Errorf("decode voters: %w", err)
	}
	var members map[uint64]replica.Member
	if err := cbor.Unmarshal(a.Members, &members); err != nil {
		return nil, nil, fmt.Errorf("decode members: %w", err)
	}
	return confState, members, nil
}
