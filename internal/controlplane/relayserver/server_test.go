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

// replicaServer is the write side of a replica whose answers are set by the test.
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

func (l *replicaServer) setAnswer(answer func(relaysession.Request) (int, any)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answer = answer
}

// waitForRequest waits for a request that satisfies a condition.
func (l *replicaServer) waitForRequest(t *testing.T, description string, matches func(relaysession.Request) bool) {
	t.Helper()
	for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		last := l.last
		l.mu.Unlock()
		if matches(last) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s; last request: %+v", description, last)
		}
	}
}

// leaderAnswer returns a handler that answers with the events of a log, at most maxEvents at a time.
func leaderAnswer(events []fleet.Event, maxEvents int) func(relaysession.Request) (int, any) {
	return func(r relaysession.Request) (int, any) {
		a := relaysession.Answer{Sequence: r.Sequence, Revision: int64(len(events)), LeaseMS: 200}
		rest := events[min(r.Revision, int64(len(events))):]
		if len(rest) > maxEvents {
			rest, a.LeaseMS = rest[:maxEvents], 0
		}
		a.Events = rest
		return http.StatusOK, a
	}
}

func notLeaderAnswer(relaysession.Request) (int, any) {
	return http.StatusMisdirectedRequest, api.Error{Kind: api.NotLeader, Message: "another replica leads", Leader: "b"}
}

func unavailableAnswer(relaysession.Request) (int, any) { return http.StatusServiceUnavailable, "no" }

// purges returns count purge events, numbered from first.
func purges(first, count int) (events []fleet.Event) {
	for i := range count {
		group := 1
		events = append(events, fleet.Event{No: int64(first + i), Who: "test", Purge: &fleet.Purge{Group: &group, IssuedMS: 1}})
	}
	return events
}

// startRelay runs a relay of the given replicas until the test ends.
func startRelay(t *testing.T, replicas ...*replicaServer) *Server {
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

// dialOnce makes one request on a new connection. The status is 0 if the connection was closed.
func dialOnce(t *testing.T, r *Server) (*watchtest.Client, int) {
	t.Helper()
	addr, err := r.Addr()
	check(t, err)
	w, err := watchtest.Dial(addr, "d", timeout)
	check(t, err)
	t.Cleanup(w.Close)
	status, _, _ := w.Poll(0)
	return w, status
}

// dialUntilServed reconnects until a request is answered with 200.
func dialUntilServed(t *testing.T, r *Server) *watchtest.Client {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if w, status := dialOnce(t, r); status == http.StatusOK {
			return w
		}
	}
	t.Fatal("timed out waiting for the relay to answer a director")
	return nil
}

// TestRelayServesOnlyWithAllEventsAndLease checks that a relay does not answer directors before it has all events and a lease.
func TestRelayServesOnlyWithAllEventsAndLease(t *testing.T) {
	l := newReplica(t, unavailableAnswer)
	r := startRelay(t, l)
	l.waitForRequest(t, "a request", func(q relaysession.Request) bool { return q.Sequence > 2 })
	if _, status := dialOnce(t, r); status != http.StatusServiceUnavailable {
		t.Errorf("a relay without a lease answered with status %d, want 503", status)
	}
	l.setAnswer(leaderAnswer(purges(1, 7), 2))
	w := dialUntilServed(t, r)
	if w.Revision != 7 {
		t.Errorf("the first answer ends at event %d, want 7", w.Revision)
	}
	l.waitForRequest(t, "a request that reports the director", func(q relaysession.Request) bool {
		return q.Directors == 1 && q.Revision == 7
	})
	l.setAnswer(leaderAnswer(purges(1, 9), 100))
	_, response, err := w.Poll(5 * time.Second)
	check(t, err)
	if len(response.Events) != 2 || response.LastRevision != 9 {
		t.Errorf("%+v", response)
	}
}

// TestSnapshotReplacesEvents checks that a snapshot replaces the events that a relay has, and that later events follow the
// snapshot.
func TestSnapshotReplacesEvents(t *testing.T) {
	source, err := newEventLog(10)
	check(t, err)
	_, err = source.append(purges(1, 40))
	check(t, err)
	snapshot := source.fleet.Dump()
	l := newReplica(t, leaderAnswer(purges(1, 3), 100))
	r := startRelay(t, l)
	w := dialUntilServed(t, r)
	l.setAnswer(func(q relaysession.Request) (int, any) {
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

// TestWatchersClosedWithoutLease checks that a relay that loses its lease closes its watchers, and serves again once it regains a
// lease.
func TestWatchersClosedWithoutLease(t *testing.T) {
	l := newReplica(t, leaderAnswer(purges(1, 3), 100))
	r := startRelay(t, l)
	w := dialUntilServed(t, r)
	l.setAnswer(unavailableAnswer)
	began := time.Now()
	if _, _, err := w.Poll(5 * time.Second); err == nil {
		t.Error("a watch request was answered without a lease")
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the watcher was closed after %v", took)
	}
	l.setAnswer(leaderAnswer(purges(1, 4), 100))
	if w = dialUntilServed(t, r); w.Revision != 4 {
		t.Errorf("after reconnecting the watcher is at event %d, want 4", w.Revision)
	}
}

// TestLeaderIsFoundAfterChange checks that a relay finds the leader among the replicas, also after a change of leader.
func TestLeaderIsFoundAfterChange(t *testing.T) {
	a, b, c := newReplica(t, notLeaderAnswer), newReplica(t, leaderAnswer(purges(1, 1), 100)), newReplica(t, notLeaderAnswer)
	r := startRelay(t, a, b, c)
	w := dialUntilServed(t, r)
	b.setAnswer(notLeaderAnswer)
	c.setAnswer(leaderAnswer(purges(1, 2), 100))
	for w.Revision < 2 {
		if _, _, err := w.Poll(time.Second); err != nil {
			w = dialUntilServed(t, r) // the lease has expired
		}
	}
}

// TestGapInEventsIsNotPublished checks that events after a gap are never published: the relay closes its watchers and restarts
// with an empty log.
func TestGapInEventsIsNotPublished(t *testing.T) {
	l := newReplica(t, leaderAnswer(purges(1, 3), 100))
	r := startRelay(t, l)
	w := dialUntilServed(t, r)
	l.setAnswer(func(q relaysession.Request) (int, any) {
		if q.Revision == 0 {
			return leaderAnswer(purges(1, 6), 100)(q)
		}
		return http.StatusOK, relaysession.Answer{Sequence: q.Sequence, Revision: 6, LeaseMS: 200, Events: purges(5, 2)}
	})
	for w.Revision < 6 {
		_, response, err := w.Poll(5 * time.Second)
		if err != nil {
			w = dialUntilServed(t, r)
		}
		for _, event := range response.Events {
			if event.Revision > 4 && response.LastRevision < 6 {
				t.Fatalf("event %d was published after a gap", event.Revision)
			}
		}
		if response.LastRevision == 6 && len(response.Events) != 3 {
			t.Fatalf("got %d events after event 3, want 3", len(response.Events))
		}
	}
}

// TestLeaveClosesWatchersAndEnds checks that a relay that shuts down gracefully closes its watchers without answering them, and
// stops.
func TestLeaveClosesWatchersAndEnds(t *testing.T) {
	l := newReplica(t, leaderAnswer(purges(1, 3), 100))
	r := startRelay(t, l)
	w := dialUntilServed(t, r)
	check(t, w.SendRequest(5*time.Second))
	r.Leave()
	if _, _, err := w.ReadAnswer(); err == nil {
		t.Error("the watch request was answered, want a closed connection")
	}
	select {
	case <-r.loopEnded:
	case <-time.After(timeout):
		t.Error("timed out waiting for the relay to stop")
	}
}

// TestEventLogSkipsKnownEvents checks that events that the log already has are skipped, and that the log is unchanged after a gap.
func TestEventLogSkipsKnownEvents(t *testing.T) {
	l, err := newEventLog(10)
	check(t, err)
	_, err = l.append(purges(1, 5))
	check(t, err)
	fresh, err := l.append(purges(3, 4))
	if err != nil || len(fresh) != 1 || l.fleet.Revision != 6 {
		t.Errorf("error %v, %d new events, revision %d", err, len(fresh), l.fleet.Revision)
	}
	if _, err = l.append(purges(8, 1)); err == nil || !strings.Contains(err.Error(), "event 8") || l.fleet.Revision != 6 {
		t.Errorf("after a gap: error %v, revision %d", err, l.fleet.Revision)
	}
}

// Guards against serving directors after an answer with parts missing: a lease without the events that the relay lacks, or an answer
// that does not say to which request it is.
func TestIncompleteAnswerGrantsNoLease(t *testing.T) {
	for name, spoil := range map[string]func(*relaysession.Answer){
		"no events":   func(a *relaysession.Answer) { a.Events, a.Snapshot = nil, nil },
		"no sequence": func(a *relaysession.Answer) { a.Sequence = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			whole := leaderAnswer(purges(1, 7), 100)
			l := newReplica(t, func(q relaysession.Request) (int, any) {
				status, out := whole(q)
				answer := out.(relaysession.Answer)
				spoil(&answer)
				return status, answer
			})
			r := startRelay(t, l)
			l.waitForRequest(t, "some requests", func(q relaysession.Request) bool { return q.Sequence > 2 })
			if _, status := dialOnce(t, r); status != http.StatusServiceUnavailable {
				t.Errorf("a relay whose answers are incomplete answered with status %d, want 503", status)
			}
			l.setAnswer(whole)
			if w := dialUntilServed(t, r); w.Revision != 7 {
				t.Errorf("the first answer ends at event %d, want 7", w.Revision)
			}
		})
	}
}

// Guards against a relay that appends the events of a new event log to those of the one before, since their numbers fit.
func TestNewEventLogOfLeaderReplacesTheRelays(t *testing.T) {
	named := func(history string, events int) func(relaysession.Request) (int, any) {
		whole := leaderAnswer(purges(1, events), 100)
		return func(q relaysession.Request) (int, any) {
			status, out := whole(q)
			answer := out.(relaysession.Answer)
			answer.History = history
			return status, answer
		}
	}
	l := newReplica(t, named("a", 7))
	r := startRelay(t, l)
	if w := dialUntilServed(t, r); w.Revision != 7 {
		t.Errorf("the first answer ends at event %d, want 7", w.Revision)
	}
	l.waitForRequest(t, "a request after all events", func(q relaysession.Request) bool { return q.Revision == 7 })
	l.setAnswer(named("b", 9))
	l.waitForRequest(t, "a request for the whole log", func(q relaysession.Request) bool { return q.Revision == 0 })
	for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		if w, status := dialOnce(t, r); status == http.StatusOK && w.Revision == 9 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the relay does not serve the new log")
		}
	}
}
