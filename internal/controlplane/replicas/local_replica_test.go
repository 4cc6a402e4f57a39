package replicas_test

import (
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/operatorconfig"
	"stairvane.org/stairvane/internal/quota"
)

const (
	helloPath  = "/v1/copies/hello"
	memberPath = "/v1/copies/member"

	// groupNumber is the ID of the group of local replicas.
	groupNumber = 7
)

// localSettings returns the settings of a replica that runs in the test process.
func localSettings(self string, list ...operatorconfig.Replica) replicas.Settings {
	return replicas.Settings{
		ReplicaGroup: operatorconfig.ReplicaGroup{
			Self:     self,
			Replicas: list,
			Lease:    200 * time.Millisecond,
			Drift:    0.02,
			Tick:     25 * time.Millisecond,
		},
		LeadershipChanged: func(bool) {},
		SnapshotInstalled: func() {},
		Acknowledged:      func() int64 { return 0 },
		Heartbeats:        func() api.Heartbeats { return api.Heartbeats{} },
		MergeHeartbeats:   func(api.Heartbeats) {},
		Grant:             func([]quota.Renewal) api.LeaseAnswer { return api.LeaseAnswer{} },
		ApplyLeaseAnswer:  func(api.LeaseAnswer) {},
		NotifiedAfter:     func() time.Duration { return 0 },
	}
}

// localReplica is a replica that runs in the test process.
type localReplica struct {
	*replicas.Group
	store *store.Store
	calls http.Handler // handles the calls of other replicas
}

// storedState is the initial content of a local replica's store.
type storedState struct {
	disk      uint64
	position  uint64 // both the index and the term of the last entry
	confState *pb.ConfState
	members   map[uint64]replica.Member
}

// startReplica starts a replica with the given stored state. The store calls killPoint at each point
// of a write.
func startReplica(t *testing.T, settings replicas.Settings, killPoint func(string), stored storedState) *localReplica {
	t.Helper()
	s, err := store.Open(filepath.Join(t.TempDir(), "store.db"), store.Options{IsReplica: true, NoSync: true, KillPoint: killPoint})
	check(t, err)
	first := store.AppliedState{At: store.Position{Index: stored.position, Term: stored.position}}
	first.ConfState, err = proto.Marshal(stored.confState)
	check(t, err)
	first.Members, err = cbor.Marshal(stored.members)
	check(t, err)
	check(t, s.BecomeReplica(store.Identity{Group: groupNumber, Disk: stored.disk, Name: settings.Self}, &first))
	g, err := replicas.New(s, settings)
	check(t, err)
	mux := http.NewServeMux()
	g.Mount(mux)
	go g.Run()
	t.Cleanup(func() {
		g.Stop()
		check(t, s.Close())
	})
	return &localReplica{Group: g, store: s, calls: mux}
}

// awaitPhase waits until a replica is in a phase.
func awaitPhase(t *testing.T, g *localReplica, phase replicas.Phase) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); replicas.Phase(g.Status().Phase) != phase; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the replica is in phase %q, not %q", g.Status().Phase, phase)
		}
	}
}
