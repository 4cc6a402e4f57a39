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

// Errors that New returns if the store does not match the settings.
var (
	errWrongReplica   = errors.New("the store belongs to another replica")
	errAlreadyInGroup = errors.New("the store already belongs to a group: start the replica without --found")
)

// initIdentity sets the initial phase from the disk's identity in the store. It assigns an ID to a
// disk that has none.
func (g *Group) initIdentity() error {
	identity, isCloned := g.store.Identity()
	switch {
	case isCloned:
		g.exclude(store.ErrClonedStore.Error())
	case identity.Disk == 0 && g.settings.FoundGroup:
		return g.foundGroup()
	case identity.Disk == 0:
		return g.awaitAdmission()
	case identity.Name != g.settings.Self:
		return fmt.Errorf("%w: it is the store of replica %s, and this is replica %s", errWrongReplica, identity.Name, g.settings.Self)
	case g.settings.FoundGroup:
		return errAlreadyInGroup
	case identity.Group != 0:
		g.introduction.startedAt = Now()
	default:
		g.phase = AwaitingAdmission
	}
	return nil
}

// foundGroup makes this disk the only member of a new group.
func (g *Group) foundGroup() error {
	own := g.self()
	disk := newID()
	members := map[uint64]replica.Member{disk: {Name: own.Name, Machine: own.Machine, Site: own.Site}}
	initial, err := encodeAppliedState(replica.Position{Index: 1, Term: 1}, &pb.ConfState{Voters: []uint64{disk}}, members)
	if err != nil {
		return err
	}
	if err := g.store.BecomeReplica(store.Identity{Group: newID(), Disk: disk, Name: own.Name}, &initial); err != nil {
		return fmt.Errorf("found group: %w", err)
	}
	slog.Info("replica.group_founded", "replica", own.Name, "disk", formatID(disk), "revision", g.store.Fleet().Revision)
	g.introduction.startedAt = Now() - introductionTimeout // no other replica exists to introduce the disk to
	return nil
}

// awaitAdmission assigns an ID to a new disk, which then waits to be admitted to a group.
func (g *Group) awaitAdmission() error {
	own := g.self()
	disk := newID()
	if err := g.store.BecomeReplica(store.Identity{Disk: disk, Name: own.Name}, nil); err != nil {
		return fmt.Errorf("initialize the store of a new disk: %w", err)
	}
	g.phase = AwaitingAdmission
	slog.Info("replica.awaits_admission", "replica", own.Name, "disk", formatID(disk))
	return nil
}

// encodeAppliedState encodes a log position and the membership at that position in the format of
// the store.
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
