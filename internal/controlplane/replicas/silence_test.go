package replicas_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/operatorconfig"
)

// callAs makes a call with the headers of a disk. group is 0 for a disk that was never a member.
func callAs(to http.Handler, path string, disk, group uint64, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for header, value := range map[string]uint64{"Stairvane-Group": group, "Stairvane-Disk": disk, "Stairvane-Run": 1} {
		r.Header.Set(header, fmt.Sprintf("%x", value))
	}
	w := httptest.NewRecorder()
	to.ServeHTTP(w, r)
	return w
}

// stallTest has a leader a whose loop can be stalled, a follower b behind a proxy, and a member c and
// a standby d whose calls are made by the test.
type stallTest struct {
	a, b    *localReplica
	isCut   atomic.Bool  // no call reaches a or b, except those that the test makes directly
	stallAt atomic.Value // next point at which a's loop is stalled
	stalled chan struct{}
	resume  chan struct{}
}

// replaceAfter is the duration of silence after which a standby replaces a replica.
const replaceAfter = time.Second

// Points at which a loop can be stalled.
const (
	nowhere    = "nowhere"
	atElection = "when it becomes the leader"
	atWrite    = store.BeforeCommit
)

// stallIfDue stalls a's loop if stallAt is this point.
func (s *stallTest) stallIfDue(point string) {
	if s.stallAt.CompareAndSwap(point, nowhere) {
		s.isCut.Store(true)
		s.stalled <- struct{}{}
		<-s.resume
	}
}

// serveReplica starts a server for a replica, and returns a replica entry with its address.
func (s *stallTest) serveReplica(t *testing.T, to **localReplica) operatorconfig.Replica {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isCut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		(*to).calls.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return operatorconfig.Replica{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

func newStallTest(t *testing.T) *stallTest {
	s := &stallTest{stalled: make(chan struct{}), resume: make(chan struct{})}
	s.isCut.Store(true)
	list := []operatorconfig.Replica{s.serveReplica(t, &s.a), s.serveReplica(t, &s.b), {}, {}}
	members := map[uint64]replica.Member{}
	for i, name := range []string{"a", "b", "c", "d"} {
		list[i].ConfiguredReplica = replica.ConfiguredReplica{Name: name, Machine: name, Site: name, IsStandby: name == "d"}
		if name != "d" {
			members[uint64(i+1)] = replica.Member{Name: name, Machine: name, Site: name}
		}
	}
	voters := &pb.ConfState{Voters: []uint64{1, 2, 3}}
	settings := localSettings("b", list...)
	settings.ReplaceAfter = replaceAfter
	s.b = startReplica(t, settings, nil, storedState{disk: 2, position: 1, confState: voters, members: members})
	settings.Self = "a"
	settings.LeadershipChanged = func(bool) { s.stallIfDue(atElection) }
	// The log of a is longer, so that b does not win an election.
	s.a = startReplica(t, settings, s.stallIfDue, storedState{disk: 1, position: 2, confState: voters, members: members})
	return s
}

// helloDuringStall sends the standby's hello while the loop of a is stalled, and returns the response,
// which a sends after the stall.
func (s *stallTest) helloDuringStall(stall time.Duration) string {
	<-s.stalled
	answer := make(chan string, 1)
	go func() { answer <- callAs(s.a.calls, helloPath, 4, 0, `{"name":"d"}`).Body.String() }()
	time.Sleep(stall)
	s.resume <- struct{}{}
	return <-answer
}

// contact makes a call from c to a, so that a considers c alive.
func (s *stallTest) contact(t *testing.T) {
	t.Helper()
	if w := callAs(s.a.calls, "/v1/copies/messages", 3, groupNumber, ""); w.Code != http.StatusNoContent {
		t.Fatalf("the call of c was answered with status %d: %s", w.Code, w.Body)
	}
}

// TestSilenceCountsOnlyWhileTheLeaderRuns guards against a standby that replaces a live replica.
// Silence before the leader's election, or while the leader was stalled by its own disk, must not
// count. The standby must replace c once c is silent while the leader runs.
func TestSilenceCountsOnlyWhileTheLeaderRuns(t *testing.T) {
	s := newStallTest(t)
	awaitPhase(t, s.a, replicas.Active)
	s.contact(t)
	time.Sleep(replaceAfter + replaceAfter/4) // c is silent while a is a follower
	s.stallAt.Store(atElection)
	s.isCut.Store(false)
	if answer := s.helloDuringStall(0); !strings.Contains(answer, "no copy is gone") {
		t.Errorf("response of a new leader to the standby: %s", answer)
	}
	s.isCut.Store(false)
	for end := time.Now().Add(waitTimeout); !s.a.IsLeader(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a is not the leader")
		}
	}
	s.contact(t)
	s.stallAt.Store(atWrite)
	go func() { _ = s.a.store.Do(func(*store.Tx) error { return nil }) }() // a write, which reaches the stall point
	if answer := s.helloDuringStall(replaceAfter + replaceAfter/4); !strings.Contains(answer, "no copy is gone") {
		t.Errorf("response to the standby after a stall: %s", answer)
	}
	s.isCut.Store(false)
	for end := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		for _, g := range []*localReplica{s.a, s.b} {
			callAs(g.calls, helloPath, 4, 0, `{"name":"d"}`)
			if list := g.Status().Replicas; len(list) == 4 && list[3].Replaces == "c" {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("the standby has not replaced c: %+v", s.a.Status())
		}
	}
}
