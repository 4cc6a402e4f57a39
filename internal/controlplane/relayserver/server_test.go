package relayserver

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/watch/watchtest"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/operatorconfig"
)

const timeout = 20 * time.Second

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// replicaServer is the write side of a replica with the answers that a test sets.
type replicaServer struct {
	*httptest.Server
	mu     sync.Mutex
	answer func(relaysession.Request) (int, any)
	last   relaysession.Request
}

func newReplica(t *testing.T, answer func(relaysession.Request) (int, any)) *replicaServer {
	l := &replicaServer{answer: answer}
	l.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var r relaysession.Request
		if err := json.NewDecoder(req.Body).Decode(&r); err != nil || req.URL.Path != relaysession.Path || req.Method != http.MethodPost {
			t.Errorf("%s %s: %v", req.Method, req.URL.Path, err)
		}
		l.mu.Lock()
		l.last = r
		status, out := l.answer(r)
		l.mu.Unlock()
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(out)
	}))
	t.Cleanup(l.Close)
	return l
}

func (l *replicaServer) set(answer func(relaysession.Request) (int, any)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answer = answer
}

// until waits for a request that meets a condition.
func (l *replicaServer) until(t *testing.T, what string, is func(relaysession.Request) bool) {
	t.Helper()
	for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		last := l.last
		l.mu.Unlock()
		if is(last) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: never; the last request: %+v", what, last)
		}
	}
}

// leader answers with the events of a log, few at a time.
func leader(events []fleet.Event, atOnce int) func(relaysession.Request) (int, any) {
	return func(r relaysession.Request) (int, any) {
		a := relaysession.Answer{Sequence: r.Sequence, Revision: int64(len(events)), LeaseMS: 200}
		rest := events[min(r.Revision, int64(len(events))):]
		if len(rest) > atOnce {
			rest, a.LeaseMS = rest[:atOnce], 0
		}
		a.Events = rest
		return http.StatusOK, a
	}
}

func notLeader(relaysession.Request) (int, any) {
	return http.StatusMisdirectedRequest, api.Error{Kind: api.NotLeader, Message: "another replica leads", Leader: "b"}
}

func silent(relaysession.Request) (int, any) { return http.StatusServiceUnavailable, "no" }

// purges returns so many events, from number first on.
func purges(first, count int) (events []fleet.Event) {
	for i := range count {
		group := 1
		events = append(events, fleet.Event{No: int64(first + i), Who: "test", Purge: &fleet.Purge{Group: &group, IssuedMS: 1}})
	}
	return events
}

// start runs a relay of some replicas until the test ends.
func start(t *testing.T, replicas ...*replicaServer) *Server {
	set := operatorconfig.DefaultRelay()
	set.Name, set.Machine, set.Site, set.Region = "r1", "m-1", "s-1", "north"
	set.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	set.DrainTime = 100 * time.Millisecond
	for _, l := range replicas {
		set.Upstream = append(set.Upstream, netip.MustParseAddrPort(l.Listener.Addr().String()))
	}
	r, err := New(set)
	check(t, err)
	ended := make(chan error, 1)
	go func() { ended <- r.Run() }()
	t.Cleanup(func() {
		r.Leave()
		check(t, <-ended)
	})
	return r
}

// try makes one call on a connection of its own; the status is 0 if it was closed.
func try(t *testing.T, r *Server) (*watchtest.Client, int) {
	t.Helper()
	addr, err := r.Addr()
	check(t, err)
	w, err := watchtest.Dial(addr, "d", timeout)
	check(t, err)
	t.Cleanup(w.Close)
	status, _, _ := w.Poll(0)
	return w, status
}

// dial connects until a call is answered with 200.
func dial(t *testing.T, r *Server) *watchtest.Client {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if w, status := try(t, r); status == http.StatusOK {
			return w
		}
	}
	t.Fatal("the relay answers nobody")
	return nil
}

// A relay answers directors only once it has all events and a lease.
func TestRelayServesWithAllEventsAndLease(t *testing.T) {
	l := newReplica(t, silent)
	r := start(t, l)
	l.until(t, "a request", func(q relaysession.Request) bool { return q.Sequence > 2 })
	if _, status := try(t, r); status != http.StatusServiceUnavailable {
		t.Errorf("a relay without a lease answers %d", status)
	}
	l.set(leader(purges(1, 7), 2))
	w := dial(t, r)
	if w.Revision != 7 {
		t.Errorf("the first answer goes up to event %d of 7", w.Revision)
	}
	l.until(t, "the director's joining", func(q relaysession.Request) bool { return q.Directors == 1 && q.Revision == 7 })
	l.set(leader(purges(1, 9), 100))
	_, response, err := w.Poll(5 * time.Second)
	check(t, err)
	if len(response.Events) != 2 || response.LastRevision != 9 {
		t.Errorf("%+v", response)
	}
}

// A snapshot replaces the events that a relay has, and events follow on it.
func TestSnapshotReplacesEvents(t *testing.T) {
	behind, err := newEventLog(10)
	check(t, err)
	_, err = behind.append(purges(1, 40))
	check(t, err)
	snapshot := behind.fleet.Dump()
	l := newReplica(t, leader(purges(1, 3), 100))
	r := start(t, l)
	w := dial(t, r)
	l.set(func(q relaysession.Request) (int, any) {
		a := relaysession.Answer{Sequence: q.Sequence, Revision: 41, LeaseMS: 200}
		switch {
		case q.Revision < 40:
			a.Snapshot = &snapshot
		case q.Revision == 40:
			a.Events = purges(41, 1)
		}
		return http.StatusOK, a
	})
	for w.Revision < 41 {
		_, _, err := w.Poll(5 * time.Second)
		check(t, err)
	}
}

// A relay that loses its lease closes its watchers, and serves again with the next lease.
func TestWatchersClosedWithoutLease(t *testing.T) {
	l := newReplica(t, leader(purges(1, 3), 100))
	r := start(t, l)
	w := dial(t, r)
	l.set(silent)
	began := time.Now()
	if _, _, err := w.Poll(5 * time.Second); err == nil {
		t.Error("a watch was answered at its end without a lease")
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the watcher was closed after %v", took)
	}
	l.set(leader(purges(1, 4), 100))
	if w = dial(t, r); w.Revision != 4 {
		t.Errorf("back at event %d of 4", w.Revision)
	}
}

// A relay finds the leader among the replicas, also after a change.
func TestLeaderIsFound(t *testing.T) {
	a, b, c := newReplica(t, notLeader), newReplica(t, leader(purges(1, 1), 100)), newReplica(t, notLeader)
	r := start(t, a, b, c)
	w := dial(t, r)
	b.set(notLeader)
	c.set(leader(purges(1, 2), 100))
	for w.Revision < 2 {
		if _, _, err := w.Poll(time.Second); err != nil {
			w = dial(t, r) // the lease has ended
		}
	}
}

// Events after a gap are never published: the relay closes its watchers and begins with an empty log.
func TestGapInEventsIsNotPublished(t *testing.T) {
	l := newReplica(t, leader(purges(1, 3), 100))
	r := start(t, l)
	w := dial(t, r)
	l.set(func(q relaysession.Request) (int, any) {
		if q.Revision == 0 {
			return leader(purges(1, 6), 100)(q)
		}
		return http.StatusOK, relaysession.Answer{Sequence: q.Sequence, Revision: 6, LeaseMS: 200, Events: purges(5, 2)}
	})
	for w.Revision < 6 {
		_, response, err := w.Poll(5 * time.Second)
		if err != nil {
			w = dial(t, r)
		}
		for _, event := range response.Events {
			if event.Revision > 4 && response.LastRevision < 6 {
				t.Fatalf("event %d was published after a gap", event.Revision)
			}
		}
		if response.LastRevision == 6 && len(response.Events) != 3 {
			t.Fatalf("%d events after event 3, of 6", len(response.Events))
		}
	}
}

// A relay that shuts down gracefully closes its watchers without an answer, and ends.
func TestLeaveClosesWatchersAndEnds(t *testing.T) {
	l := newReplica(t, leader(purges(1, 3), 100))
	r := start(t, l)
	w := dial(t, r)
	check(t, w.SendRequest(5*time.Second))
	r.Leave()
	if _, _, err := w.ReadAnswer(); err == nil {
		t.Error("the watch was answered and not closed")
	}
	select {
	case <-r.loopEnded:
	case <-time.After(timeout):
		t.Error("the relay does not end")
	}
}

// Events that a log has are skipped; after a gap the log is as before.
func TestEventLogSkipsKnownEvents(t *testing.T) {
	l, err := newEventLog(10)
	check(t, err)
	_, err = l.append(purges(1, 5))
	check(t, err)
	fresh, err := l.append(purges(3, 4))
	if err != nil || len(fresh) != 1 || l.fleet.Revision != 6 {
		t.Errorf("%v, %d new, at %d", err, len(fresh), l.fleet.Revision)
	}
	if _, err = l.append(purges(8, 1)); err == nil || !strings.Contains(err.Error(), "event 8") || l.fleet.Revision != 6 {
		t.Errorf("after a gap: %v, at %d", err, l.fleet.Revision)
	}
}
