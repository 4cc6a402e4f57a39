package replicas_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/operatorconfig"
)

// TestRemovedDiskIsAlwaysAnswered guards against a removed disk that never learns of its removal.
// Disk 2 restarts after it was removed. It reaches one replica, which knows of the removal and is
// the leader or a follower. The disk itself can campaign or, as a learner, can't. Either its hello
// is answered, or only its later calls are. In each case it must learn that it was removed, but
// not before the change that removes it is complete.
func TestRemovedDiskIsAlwaysAnswered(t *testing.T) {
	voters := func(disks ...uint64) *pb.ConfState { return &pb.ConfState{Voters: disks} }
	for name, c := range map[string]struct {
		own, other *pb.ConfState
		helloOnly  bool // only its hello is answered; if false, all calls except the hello
		stays      bool // the disk must not be excluded
	}{
		"its hello is answered":           {own: voters(1, 2, 3), other: voters(1, 3), helloOnly: true},
		"a learner, answered by a leader": {own: &pb.ConfState{Voters: []uint64{1}, Learners: []uint64{2}}, other: voters(1)},
		"a voter, answered by a follower": {own: voters(1, 2, 3), other: voters(1, 3)},
		"the change is half way": {
			own:   voters(1, 2, 3),
			other: &pb.ConfState{Voters: []uint64{1, 3}, VotersOutgoing: []uint64{1, 2}},
			stays: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var other http.Handler
			var asked atomic.Int32
			ready := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				<-ready
				if (r.URL.Path == helloPath) != c.helloOnly {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				other.ServeHTTP(w, r)
				if r.URL.Path == memberPath {
					asked.Add(1)
				}
			}))
			t.Cleanup(server.Close)
			address := netip.MustParseAddrPort(server.Listener.Addr().String())
			a := operatorconfig.Replica{ConfiguredReplica: replica.ConfiguredReplica{Name: "a"}, Address: address}
			b := operatorconfig.Replica{ConfiguredReplica: replica.ConfiguredReplica{Name: "b"}}
			members := map[uint64]replica.Member{1: {Name: "a"}, 2: {Name: "b"}, 3: {Name: "c"}}
			after := map[uint64]replica.Member{1: {Name: "a"}, 2: {Name: "b", Left: true}, 3: {Name: "c"}}
			from := startReplica(t, localSettings("a", a), nil, storedState{disk: 1, position: 2, confState: c.other, members: after})
			awaitPhase(t, from, replicas.Active)
			other = from.calls
			close(ready)
			back := startReplica(t, localSettings("b", a, b), nil, storedState{disk: 2, position: 1, confState: c.own, members: members})
			want := replicas.Excluded
			if c.stays {
				want = replicas.Active
			}
			isDone := func() bool {
				return replicas.Phase(back.Status().Phase) == want && (!c.stays || asked.Load() >= 3)
			}
			for end := time.Now().Add(waitTimeout / 3); !isDone(); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("the disk asked %d times whether it was removed; it is in phase %q, not %q",
						asked.Load(), back.Status().Phase, want)
				}
			}
		})
	}
}
