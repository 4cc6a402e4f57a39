package replicas_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"sync/atomic"
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

	groupNumber = 7
)

// settings are those of a replica in this process.
func settings(self string, list ...operatorconfig.Replica) replicas.Settings {
	return replicas.Settings{
		ReplicaGroup:      operatorconfig.ReplicaGroup{Self: self, Replicas: list, Lease: 200 * time.Millisecond, Drift: 0.02, Tick: 25 * time.Millisecond},
		LeadershipChanged: func(bool) {},
		SnapshotInstalled: func() {},
		Acknowledged:      func() int64 { return 0 },
		Heartbeats:        func() api.Heartbeats { return api.Heartbeats{} },
		TakeHeartbeats:    func(api.Heartbeats) {},
		Grant:             func([]quota.Renewal) api.LeaseAnswer { return api.LeaseAnswer{} },
		TakeLeaseAnswer:   func(api.LeaseAnswer) {},
		NotifiedAfter:     func() time.Duration { return 0 },
	}
}

// localReplica is a replica in this process. Its calls are served by calls.
type localReplica struct {
	*replicas.Group
	store *store.Store
	calls http.Handler
}

// startReplica runs a replica, at a position of the log and with the members there. Before each write its store calls at.
func startReplica(t *testing.T, set replicas.Settings, at func(string), disk, index uint64, conf *pb.ConfState, members map[uint64]replica.Member) *localReplica {
	t.Helper()
	s, err := store.Open(filepath.Join(t.TempDir(), "store.db"), store.Options{Group: true, NoSync: true, KillPoint: at})
	check(t, err)
	first := store.AppliedState{At: store.Position{Index: index, Term: index}}
	first.ConfState, err = proto.Marshal(conf)
	check(t, err)
	first.Members, err = cbor.Marshal(members)
	check(t, err)
	check(t, s.BecomeReplica(store.Identity{Group: groupNumber, Disk: disk, Name: set.Self}, &first))
	g, err := replicas.New(s, set)
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
	for end := time.Now().Add(patience); replicas.Phase(g.Status().Phase) != phase; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the replica is %q, not %q", g.Status().Phase, phase)
		}
	}
}

// Disk 2 comes back after it was taken out. The other replica that it reaches knows of that, and is the leader or a follower; the
// disk itself can stand for leader or, as a learner, can't; and it is answered when it greets, or only once it is in. It always
// learns that it was taken out, but not before the change that takes it out is whole.
func TestRemovedDiskIsAlwaysAnswered(t *testing.T) {
	voters := func(disks ...uint64) *pb.ConfState { return &pb.ConfState{Voters: disks} }
	for name, c := range map[string]struct {
		own, other *pb.ConfState
		greets     bool // only its greeting is answered; else all but that
		stays      bool
	}{
		"answered when it greets":         {own: voters(1, 2, 3), other: voters(1, 3), greets: true},
		"a learner, answered by a leader": {own: &pb.ConfState{Voters: []uint64{1}, Learners: []uint64{2}}, other: voters(1)},
		"a voter, answered by a follower": {own: voters(1, 2, 3), other: voters(1, 3)},
		"the change is half way":          {own: voters(1, 2, 3), other: &pb.ConfState{Voters: []uint64{1, 3}, VotersOutgoing: []uint64{1, 2}}, stays: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var other http.Handler
			var asked atomic.Int32
			ready := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				<-ready
				if (r.URL.Path == helloPath) != c.greets {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				other.ServeHTTP(w, r)
				if r.URL.Path == memberPath {
					asked.Add(1)
				}
			}))
			t.Cleanup(server.Close)
			a := operatorconfig.Replica{Place: replica.Place{Name: "a"}, Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
			b := operatorconfig.Replica{Place: replica.Place{Name: "b"}}
			members := map[uint64]replica.Member{1: {Name: "a"}, 2: {Name: "b"}, 3: {Name: "c"}}
			after := map[uint64]replica.Member{1: {Name: "a"}, 2: {Name: "b", Left: true}, 3: {Name: "c"}}
			from := startReplica(t, settings("a", a), nil, 1, 2, c.other, after)
			awaitPhase(t, from, replicas.Active)
			other = from.calls
			close(ready)
			back := startReplica(t, settings("b", a, b), nil, 2, 1, c.own, members)
			want := replicas.Excluded
			if c.stays {
				want = replicas.Active
			}
			for end := time.Now().Add(patience / 3); replicas.Phase(back.Status().Phase) != want || c.stays && asked.Load() < 3; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("it asked %d times whether it is a member, and is %q, not %q", asked.Load(), back.Status().Phase, want)
				}
			}
		})
	}
}
