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

// testRelay is a relay whose directors call it whenever it calls the leader, and have all events that it has.
type testRelay struct {
	t         testing.TB
	server    *Server
	session   *relaysession.Session
	revision  int64
	directors []discovery.Announcement
	behind    map[string]int64 // directors that acknowledge no more than this, by name
	last      relaysession.Request
	leased    int
}

func newTestRelay(t testing.TB, b *Server, name string, number uint64, directors int) *testRelay {
	r := &testRelay{t: t, server: b, behind: map[string]int64{}}
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

func post(t testing.TB, b *Server, body []byte) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	b.postRelayLease(w, httptest.NewRequest(http.MethodPost, relaysession.Path, bytes.NewReader(body)))
	return w
}

// call makes one request and takes its answer.
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

// calls makes requests until a condition holds.
func (r *testRelay) calls(what string, is func() bool) {
	r.t.Helper()
	until(r.t, what, func() bool {
		r.call()
		return is()
	})
}

// A relay is sent a snapshot and then events, gets a lease once it has all, and its directors become members with one request;
// they are listed with the relay, and lost after both leases once it is silent.
func TestRelaySession(t *testing.T) {
	b, c := start(t, settingsIn(t.TempDir()))
	for i := range 3 {
		_, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", i)})
		check(t, err)
	}
	until(t, "the membership begins", b.directors.settled)
	r := newTestRelay(t, b, "r1", 7, 40)
	if a := r.call(); a.Snapshot == nil || a.LeaseMS != 0 || !a.NeedFull {
		t.Fatalf("%+v", a)
	}
	if a := r.call(); a.Snapshot != nil || a.LeaseMS != relaysession.Lease.Milliseconds() || a.NeedFull || len(r.last.Joined) != 40 {
		t.Fatalf("%+v after %+v", a, r.last)
	}
	members := func() api.Members { return b.directors.Members() }
	r.calls("all are members", func() bool { return len(members().Directors) == 40 })
	m := members()
	if len(m.Relays) != 1 || m.Relays[0].Directors != 40 || m.Relays[0].Name != "r1" || !m.Relays[0].Complete ||
		m.Directors[0].Relay != "r1/7" || m.Directors[0].Config != "mark" {
		t.Fatalf("%+v", m)
	}
	purged, err := c.Purge(fleet.Purge{Object: "00000000000000ff"})
	check(t, err)
	r.calls("the relay has the purge", func() bool { return r.revision >= purged.Revision })
	r.calls("the relay is recorded to have taken it", func() bool {
		e, err := b.directors.Adoption(purged.Revision)
		return err == nil && len(e.Applied) == 1 && e.Applied[0].Director == "relay:r1/7" && len(e.Missing) == 0
	})
	silent := replicas.Now()
	until(t, "the directors are gone", func() bool { return len(members().Directors) == 0 })
	if after := replicas.Now() - silent; after < 600*time.Millisecond || len(members().Lost) != 40 || len(members().Relays) != 0 {
		t.Fatalf("after %v: %+v", after, members())
	}
}

// A purge counts as acknowledged everywhere only when the directors behind relays have it, and the one that lags is named.
func TestAcknowledgedWaitsForRelays(t *testing.T) {
	b, c := start(t, settingsIn(t.TempDir()))
	until(t, "the membership begins", b.directors.settled)
	r := newTestRelay(t, b, "r1", 7, 3)
	r.calls("all are members", func() bool { return len(b.directors.Members().Directors) == 3 })
	r.behind["d-1"] = r.revision
	r.call()
	purged, err := c.Purge(fleet.Purge{Object: "00000000000000ff"})
	check(t, err)
	r.calls("the director that lags is named", func() bool { return len(r.last.Stale) == 1 })
	if r.last.Stale[0].ID != r.directors[1].ID() || r.last.Current < purged.Revision || b.acknowledgedRevision() != r.behind["d-1"] {
		t.Fatalf("acknowledged %d of %d: %+v", b.acknowledgedRevision(), purged.Revision, r.last)
	}
	e, err := b.directors.Adoption(purged.Revision)
	check(t, err)
	if len(e.Applied) != 1 || !slices.Equal(e.Missing, []string{r.directors[1].ID()}) {
		t.Fatalf("%+v", e)
	}
	for _, d := range b.directors.Members().Directors {
		if lags := d.Name == "d-1"; lags != (d.AppliedRevision < purged.Revision) || lags != (d.BehindMS > 0) {
			t.Fatalf("%+v", d)
		}
	}
	delete(r.behind, "d-1")
	r.calls("all have the purge", func() bool { return b.acknowledgedRevision() >= purged.Revision })
}

// Requests that come late, twice or malformed, and too many sessions, are rejected; health reports are aggregated and answered.
func TestRelayRequestsRejected(t *testing.T) {
	b, _ := start(t, settingsIn(t.TempDir()))
	until(t, "the membership begins", b.directors.settled)
	r := newTestRelay(t, b, "r1", 7, 1)
	r.call()
	kind := func(body []byte, code int) string {
		w := post(t, b, body)
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
		newTestRelay(t, b, fmt.Sprint("x", i), uint64(100+i), 0).call()
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
	r.calls("the relay is sent the health of the cache", func() bool {
		a := r.call()
		return a.AggregatedHealth != nil && len(a.AggregatedHealth.Caches) == 1 && a.AggregatedHealth.Caches[0].Cache == "c-1"
	})
}

// BenchmarkRelayRequest measures the cost of a request in steady state to the leader, with its JSON, by directors of the relay.
func BenchmarkRelayRequest(b *testing.B) {
	for _, directors := range []int{50, 100, 200, 400, 800} {
		b.Run(fmt.Sprint(directors), func(b *testing.B) {
			s, _ := start(b, settingsIn(b.TempDir()))
			until(b, "the membership begins", s.directors.settled)
			r := newTestRelay(b, s, "r1", 7, directors)
			r.calls("all are members", func() bool { return len(s.directors.Members().Directors) == directors })
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
