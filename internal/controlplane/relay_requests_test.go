package controlplane

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

// testRelay is a relay whose directors send a request whenever the relay calls the leader. They have acknowledged all events that the
// relay has, except for those in behind.
type testRelay struct {
	t         testing.TB
	server    *Server
	session   *relaysession.Session
	revision  int64
	directors []discovery.Announcement
	behind    map[string]int64 // by director name: the highest revision that the director acknowledges
	last      relaysession.Request
	leased    int
}

func newTestRelay(t testing.TB, s *Server, name string, number uint64, directors int) *testRelay {
	r := &testRelay{t: t, server: s, behind: map[string]int64{}}
	r.session = relaysession.New(relaysession.Settings{
		Relay: membership.Relay{Name: name, Incarnation: fmt.Sprint(number), Region: "north"}, Number: number,
		DirectorLease: discovery.MembershipLease, Drift: discovery.ClockDrift,
	}, nil)
	for i := range directors {
		r.directors = append(r.directors, discovery.Announcement{Config: "mark", Director: discovery.Director{
			Name:        fmt.Sprint("d-", i),
			Incarnation: "ABCDEFGHIJKLMNOPQRSTUVWXYZ",
			Location:    "west",
		}})
	}
	return r
}

func post(t testing.TB, s *Server, body []byte) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	s.postRelayLease(w, httptest.NewRequest(http.MethodPost, relaysession.Path, bytes.NewReader(body)))
	return w
}

// call sends one request and applies the answer.
func (r *testRelay) call() relaysession.Answer {
	r.t.Helper()
	now := replicas.Now()
	for _, d := range r.directors {
		acknowledged, behind := r.behind[d.Name]
		if !behind {
			acknowledged = r.revision
		}
		r.session.RecordWatchRequest(d, acknowledged, now)
	}
	r.last = r.session.Request(r.revision, r.revision, now)
	body, err := json.Marshal(r.last)
	check(r.t, err)
	w := post(r.t, r.server, body)
	if w.Code != http.StatusOK {
		r.t.Fatalf("%d: %s", w.Code, w.Body)
	}
	var a relaysession.Answer
	check(r.t, json.Unmarshal(w.Body.Bytes(), &a))
	r.session.HandleAnswer(a, replicas.Now())
	if a.Snapshot != nil {
		r.revision = a.Snapshot.Revision
	}
	for _, e := range a.Events {
		if e.No != r.revision+1 {
			r.t.Fatalf("event %d comes after %d", e.No, r.revision)
		}
		r.revision = e.No
	}
	if a.LeaseMS > 0 {
		r.leased++
	}
	return a
}

// callUntil sends requests until a condition holds.
func (r *testRelay) callUntil(what string, condition func() bool) {
	r.t.Helper()
	waitUntil(r.t, what, func() bool {
		r.call()
		return condition()
	})
}

// TestRelaySession checks that a relay receives a snapshot first and events afterwards, and is granted a lease once it has all of them.
// Its directors become members with one request and are listed with the relay. Once the relay is silent, they are lost after both
// leases have expired.
func TestRelaySession(t *testing.T) {
	s, c := start(t, settingsIn(t.TempDir()))
	for i := range 3 {
		_, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", i)})
		check(t, err)
	}
	waitUntil(t, "the leases of an earlier leader have expired", s.directors.earlierLeasesExpired)
	r := newTestRelay(t, s, "r1", 7, 40)
	if a := r.call(); a.Snapshot == nil || a.LeaseMS != 0 || !a.NeedFull {
		t.Fatalf("%+v", a)
	}
	if a := r.call(); a.Snapshot != nil || a.LeaseMS != relaysession.Lease.Milliseconds() || a.NeedFull || len(r.last.Joined) != 40 {
		t.Fatalf("%+v after %+v", a, r.last)
	}
	members := func() api.Members { return s.directors.Members() }
	r.callUntil("all are members", func() bool { return len(members().Directors) == 40 })
	m := members()
	if len(m.Relays) != 1 || m.Relays[0].Directors != 40 || m.Relays[0].Name != "r1" || !m.Relays[0].Complete ||
		m.Directors[0].Relay != "r1/7" || m.Directors[0].Config != "mark" {
		t.Fatalf("%+v", m)
	}
	purged, err := c.Purge(fleet.Purge{Object: "00000000000000ff"})
	check(t, err)
	r.callUntil("the relay has the purge", func() bool { return r.revision >= purged.Revision })
	r.callUntil("the purge is recorded as applied by the relay", func() bool {
		e, err := s.directors.Adoption(purged.Revision)
		return err == nil && len(e.Applied) == 1 && e.Applied[0].Director == "relay:r1/7" && len(e.Missing) == 0
	})
	silent := replicas.Now()
	waitUntil(t, "the directors are gone", func() bool { return len(members().Directors) == 0 })
	if after := replicas.Now() - silent; after < 600*time.Millisecond || len(members().Lost) != 40 || len(members().Relays) != 0 {
		t.Fatalf("after %v: %+v", after, members())
	}
}

// TestAcknowledgedWaitsForRelays checks that a purge counts as acknowledged only once the directors behind relays have it, and that a
// director that lags is reported.
func TestAcknowledgedWaitsForRelays(t *testing.T) {
	s, c := start(t, settingsIn(t.TempDir()))
	waitUntil(t, "the leases of an earlier leader have expired", s.directors.earlierLeasesExpired)
	r := newTestRelay(t, s, "r1", 7, 3)
	r.callUntil("all are members", func() bool { return len(s.directors.Members().Directors) == 3 })
	r.behind["d-1"] = r.revision
	r.call()
	purged, err := c.Purge(fleet.Purge{Object: "00000000000000ff"})
	check(t, err)
	r.callUntil("the director that lags is named", func() bool { return len(r.last.Stale) == 1 })
	if r.last.Stale[0].ID != r.directors[1].ID() || r.last.Current < purged.Revision || s.acknowledgedRevision() != r.behind["d-1"] {
		t.Fatalf("acknowledged %d of %d: %+v", s.acknowledgedRevision(), purged.Revision, r.last)
	}
	e, err := s.directors.Adoption(purged.Revision)
	check(t, err)
	if len(e.Applied) != 1 || !slices.Equal(e.Missing, []string{r.directors[1].ID()}) {
		t.Fatalf("%+v", e)
	}
	for _, d := range s.directors.Members().Directors {
		if lags := d.Name == "d-1"; lags != (d.AppliedRevision < purged.Revision) || lags != (d.BehindMS > 0) {
			t.Fatalf("%+v", d)
		}
	}
	delete(r.behind, "d-1")
	r.callUntil("all have the purge", func() bool { return s.acknowledgedRevision() >= purged.Revision })
}

// TestRelayRequestsRejected checks that late, repeated and malformed requests and surplus sessions are rejected, and that health
// reports are aggregated and answered.
func TestRelayRequestsRejected(t *testing.T) {
	s, _ := start(t, settingsIn(t.TempDir()))
	waitUntil(t, "the leases of an earlier leader have expired", s.directors.earlierLeasesExpired)
	r := newTestRelay(t, s, "r1", 7, 1)
	r.call()
	kind := func(body []byte, code int) string {
		w := post(t, s, body)
		var e api.Error
		if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil || w.Code != code {
			t.Fatalf("%d: %s", w.Code, w.Body)
		}
		return e.Kind
	}
	body, err := json.Marshal(r.last)
	check(t, err)
	if k := kind(body, http.StatusConflict); k != api.Stale {
		t.Fatal(k)
	}
	if k := kind([]byte("{}"), http.StatusBadRequest); k != api.BadRequest {
		t.Fatal(k)
	}
	large := relaysession.Request{Update: membership.Update{
		Relay:    r.last.Relay,
		Session:  7,
		Sequence: 100,
		Lost:     make([]string, membership.MaxUpdateChanges+1),
	}}
	body, err = json.Marshal(large)
	check(t, err)
	if k := kind(body, http.StatusBadRequest); k != api.BadRequest {
		t.Fatal(k)
	}
	for i := range membership.MaxSessions - 1 {
		newTestRelay(t, s, fmt.Sprint("x", i), uint64(100+i), 0).call()
	}
	full := relaysession.Request{Update: membership.Update{Relay: membership.Relay{Name: "y", Incarnation: "1"}, Session: 9, Sequence: 1}}
	body, err = json.Marshal(full)
	check(t, err)
	if k := kind(body, http.StatusServiceUnavailable); k != api.Busy {
		t.Fatal(k)
	}
	for i := range 3 {
		report := health.Report{Holder: fmt.Sprint("d-", i), Seq: 1, Caches: []health.Outcomes{{Cache: "c-1", Attempts: 4, Failures: 4}}}
		r.directors = append(r.directors, discovery.Announcement{Director: discovery.Director{
			Name:        fmt.Sprint("e-", i),
			Incarnation: "1",
			Machine:     fmt.Sprint("m-", i),
		}})
		report.Holder = r.directors[i+1].ID()
		r.directors[i+1].HealthReport, err = json.Marshal(report)
		check(t, err)
	}
	r.callUntil("the relay is sent the health of the cache", func() bool {
		a := r.call()
		return a.AggregatedHealth != nil && len(a.AggregatedHealth.Caches) == 1 && a.AggregatedHealth.Caches[0].Cache == "c-1"
	})
}

// BenchmarkRelayRequest measures the leader's cost of a relay request in steady state, including JSON, by number of directors.
func BenchmarkRelayRequest(b *testing.B) {
	for _, directors := range []int{50, 100, 200, 400, 800} {
		b.Run(fmt.Sprint(directors), func(b *testing.B) {
			s, _ := start(b, settingsIn(b.TempDir()))
			waitUntil(b, "the leases of an earlier leader have expired", s.directors.earlierLeasesExpired)
			r := newTestRelay(b, s, "r1", 7, directors)
			r.callUntil("all are members", func() bool { return len(s.directors.Members().Directors) == directors })
			size := 0
			for b.Loop() {
				b.StopTimer()
				now := replicas.Now()
				for _, d := range r.directors {
					r.session.RecordWatchRequest(d, r.revision, now)
				}
				q := r.session.Request(r.revision, r.revision, now)
				body, err := json.Marshal(q)
				check(b, err)
				size = len(body)
				b.StartTimer()
				w := post(b, s, body)
				b.StopTimer()
				var a relaysession.Answer
				check(b, json.Unmarshal(w.Body.Bytes(), &a))
				r.session.HandleAnswer(a, now)
				b.StartTimer()
			}
			b.ReportMetric(float64(size), "request-bytes")
		})
	}
}
