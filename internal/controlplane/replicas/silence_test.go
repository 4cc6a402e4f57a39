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

// callAs makes a call as a disk of a group does; 0 stands for none yet.
func callAs(to http.Handler, path string, disk, group uint64, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for header, value := range map[string]uint64{"Stairvane-Group": group, "Stairvane-Disk": disk, "Stairvane-Run": 1} {
		r.Header.Set(header, fmt.Sprintf("%x", value))
	}
	w := httptest.NewRecorder()
	to.ServeHTTP(w, r)
	return w
}

// silenceTest is a leader a whose loop can be held up, a follower b behind a door, a member c and a spare d that the test speaks for.
type silenceTest struct {
	a, b   *localReplica
	shut   atomic.Bool  // nothing comes to a or b, but what the test calls itself
	hold   atomic.Value // point at which the loop of a is held up next
	held   chan struct{}
	resume chan struct{}
}

const replaceAfter = time.Second

// Points at which a loop can be held up.
const (
	nowhere = "nowhere"
	atLead  = "when it takes the lead"
	atWrite = store.BeforeCommit
)

// pass holds a's loop up if that is to be at a point.
func (s *silenceTest) pass(point string) {
	if s.hold.CompareAndSwap(point, nowhere) {
		s.shut.Store(true)
		s.held <- struct{}{}
		<-s.resume
	}
}

// serve is a place whose calls the replica at to answers.
func (s *silenceTest) serve(t *testing.T, to **localReplica) operatorconfig.Replica {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.shut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		(*to).calls.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return operatorconfig.Replica{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

func newSilenceTest(t *testing.T) *silenceTest {
	s := &silenceTest{held: make(chan struct{}), resume: make(chan struct{})}
	s.shut.Store(true)
	list := []operatorconfig.Replica{s.serve(t, &s.a), s.serve(t, &s.b), {}, {}}
	members := map[uint64]replica.Member{}
	for i, name := range []string{"a", "b", "c", "d"} {
		list[i].Place = replica.Place{Name: name, Machine: name, Site: name, Spare: name == "d"}
		if name != "d" {
			members[uint64(i+1)] = replica.Member{Name: name, Machine: name, Site: name}
		}
	}
	voters := &pb.ConfState{Voters: []uint64{1, 2, 3}}
	set := settings("b", list...)
	set.ReplaceAfter = replaceAfter
	s.b = startReplica(t, set, nil, 2, 1, voters, members)
	set.Self = "a"
	set.LeadershipChanged = func(bool) { s.pass(atLead) }
	s.a = startReplica(t, set, s.pass, 1, 2, voters, members) // its log is longer: b does not win
	return s
}

// spareAfter has the spare call while the loop of a is held up for so long, and returns what it is answered then.
func (s *silenceTest) spareAfter(holdUp time.Duration) string {
	<-s.held
	answer := make(chan string, 1)
	go func() { answer <- callAs(s.a.calls, helloPath, 4, 0, `{"name":"d"}`).Body.String() }()
	time.Sleep(holdUp)
	s.resume <- struct{}{}
	return <-answer
}

// contact has c call a, so that it counts as there.
func (s *silenceTest) contact(t *testing.T) {
	t.Helper()
	if w := callAs(s.a.calls, "/v1/copies/messages", 3, groupNumber, ""); w.Code != http.StatusNoContent {
		t.Fatalf("c is answered %d: %s", w.Code, w.Body)
	}
}

// That nothing came from c before a took the lead, or while a's own disk held it up, does not count: the spare is refused. It gets
// c's place once c is silent while the leader is there.
func TestSilenceCountsOnlyWhileTheLeaderIsThere(t *testing.T) {
	s := newSilenceTest(t)
	awaitPhase(t, s.a, replicas.Active)
	s.contact(t)
	time.Sleep(replaceAfter + replaceAfter/4) // c's silence towards a follower
	s.hold.Store(atLead)
	s.shut.Store(false)
	if answer := s.spareAfter(0); !strings.Contains(answer, "no copy is gone") {
		t.Errorf("at a new leader the spare is answered %s", answer)
	}
	s.shut.Store(false)
	for end := time.Now().Add(patience); !s.a.IsLeader(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a does not lead")
		}
	}
	s.contact(t)
	s.hold.Store(atWrite)
	go func() { _ = s.a.store.Do(func(*store.Tx) error { return nil }) }() // a change that writes
	if answer := s.spareAfter(replaceAfter + replaceAfter/4); !strings.Contains(answer, "no copy is gone") {
		t.Errorf("after a hold-up the spare is answered %s", answer)
	}
	s.shut.Store(false)
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		for _, g := range []*localReplica{s.a, s.b} {
			callAs(g.calls, helloPath, 4, 0, `{"name":"d"}`)
			if list := g.Status().Replicas; len(list) == 4 && list[3].Replaces == "c" {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("the spare gets no place: %+v", s.a.Status())
		}
	}
}
