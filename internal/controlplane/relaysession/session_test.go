package relaysession

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

const ms = time.Millisecond

var testSettings = Settings{
	Relay:         membership.Relay{Name: "relay-1", Incarnation: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Machine: "m-1", Site: "s", Region: "north"},
	Number:        1<<63 + 12345,
	DirectorLease: 400 * ms,
	Drift:         0.02,
}

func announcement(n int) discovery.Announcement {
	return discovery.Announcement{Config: "mark", Director: discovery.Director{
		Name:        fmt.Sprint("director-", n),
		Incarnation: "ABCDEFGHIJKLMNOPQRSTUVWXYZ",
		Location:    "west",
		Machine:     fmt.Sprint("m-", n),
	}}
}

// fakeQuota requests a fixed number of limits and grants every renewal.
type fakeQuota struct {
	limits  int
	applied []quota.Grant
}

func (f *fakeQuota) Renewal(time.Duration) quota.Renewal {
	r := quota.Renewal{Holder: "relay-1/ABCDEFGHIJKLMNOPQRSTUVWXYZ", Seq: 1 << 40, InUse: 1 << 40}
	for i := range f.limits {
		r.Wants = append(r.Wants, quota.Want{Limit: fmt.Sprint("cold:cache-", i), Kind: quota.Rate, Demand: 0.123456789})
	}
	return r
}
func (f *fakeQuota) Apply(g quota.Grant, _ time.Duration) { f.applied = append(f.applied, g) }
func (f *fakeQuota) Renew(r quota.Renewal, _ time.Duration) quota.Grant {
	return quota.Grant{Holder: r.Holder, Seq: r.Seq}
}
func (f *fakeQuota) Sweep(time.Duration) {}

// TestSteadyRequestIsSmall checks that, in steady state, a request for 400 directors is smaller than 2 KB.
func TestSteadyRequestIsSmall(t *testing.T) {
	s, now := New(testSettings, &fakeQuota{}), time.Hour
	for i := range 400 {
		s.RecordWatchRequest(announcement(i), 1000, now)
	}
	first := s.Request(1000, 1000, now)
	s.HandleAnswer(Answer{Sequence: first.Sequence}, now)
	if len(first.Joined) != 400 || !first.Full || first.More {
		t.Fatalf("%d joined, full %v, more %v", len(first.Joined), first.Full, first.More)
	}
	for round := range 100 {
		now += 50 * ms
		revision := int64(1001 + round)
		for i := range 400 {
			s.RecordWatchRequest(announcement(i), revision-1, now)
		}
		r := s.Request(revision, revision-1, now)
		body, err := json.Marshal(r)
		if err != nil || len(body) > 2000 {
			t.Fatalf("round %d: %d bytes: %s", round, len(body), body)
		}
		if r.Acknowledged != revision-1 || len(r.Stale) > 0 || r.Directors != 400 {
			t.Fatalf("round %d: %s", round, body)
		}
		s.HandleAnswer(Answer{Sequence: r.Sequence}, now)
	}
}

// TestChangesAreRepeatedUntilAnswered checks that a change is repeated until a request that includes it is answered. An answer to
// an earlier request, or a duplicate answer, must confirm nothing.
func TestChangesAreRepeatedUntilAnswered(t *testing.T) {
	s, now := New(testSettings, nil), time.Hour
	s.RecordWatchRequest(announcement(1), 5, now)
	first := s.Request(5, 5, now)
	second := s.Request(5, 5, now)
	if s.HandleAnswer(Answer{Sequence: first.Sequence}, now); len(second.Joined) != 1 || !second.Full {
		t.Fatalf("%+v", second)
	}
	if third := s.Request(5, 5, now); len(third.Joined) != 1 || !third.Full || third.Answered != 0 {
		t.Fatalf("an answer to an earlier request confirmed a change: %+v", third)
	}
	s.HandleAnswer(Answer{Sequence: 3}, now)
	s.RecordWatchRequest(announcement(2), 4, now)
	fourth := s.Request(5, 5, now)
	if len(fourth.Joined) != 1 || fourth.Full || fourth.Answered != 3 || fourth.Acknowledged != 4 {
		t.Fatalf("%+v", fourth)
	}
	now += 417 * ms
	s.RecordWatchRequest(announcement(1), 5, now)
	s.HandleAnswer(Answer{Sequence: 4}, now) // confirms that director 2 has joined, but not that it is lost
	fifth := s.Request(5, 5, now)
	if len(fifth.Lost) != 1 || len(fifth.Joined) != 0 {
		t.Fatalf("%+v", fifth)
	}
	leaving := announcement(1)
	leaving.Leaving = true
	s.RecordWatchRequest(leaving, 5, now)
	s.HandleAnswer(Answer{Sequence: 5, NeedFull: true}, now)
	if sixth := s.Request(5, 5, now); len(sixth.Left) != 1 || len(sixth.Lost) != 1 || !sixth.Full {
		t.Fatalf("%+v", sixth)
	}
}

// TestSessionAndMessageBounds checks that the state of a session and each message are bounded, and that what does not fit into a
// request is sent in later ones.
func TestSessionAndMessageBounds(t *testing.T) {
	s, now := New(testSettings, nil), time.Hour
	for i := range MaxDirectors + 1 {
		a := announcement(i)
		a.HealthReport, _ = json.Marshal(health.Report{Holder: a.ID(), Seq: 1, Caches: []health.Outcomes{{Cache: "b", Attempts: 1}}})
		a.ReadyShards = []int64{int64(i), 7}
		if accepted := s.RecordWatchRequest(a, 1, now); accepted != (i < MaxDirectors) {
			t.Fatalf("director %d: accepted %v", i, accepted)
		}
	}
	joined, reports := map[string]bool{}, 0
	for n := 0; ; n++ {
		r := s.Request(10, 10, now)
		if len(r.Joined) > MaxChanges || len(r.Reports) > MaxReports || len(r.ReadyShards) > 2*256 || r.Full != (n == 0) {
			t.Fatalf("request %d: %d joined, %d reports, %d ready shards, full %v",
				n, len(r.Joined), len(r.Reports), len(r.ReadyShards), r.Full)
		}
		for _, d := range r.Joined {
			joined[d.ID()] = true
		}
		reports += len(r.Reports)
		if s.HandleAnswer(Answer{Sequence: r.Sequence}, now); !r.More {
			break
		}
	}
	if len(joined) != MaxDirectors || reports != MaxQueuedReports {
		t.Fatalf("got %d directors and %d reports", len(joined), reports)
	}
	for range 12 { // one director acknowledges all events, the others none
		now += 100 * ms
		for i := range MaxDirectors {
			a := int64(1)
			if i == 0 {
				a = 10
			}
			s.RecordWatchRequest(announcement(i), a, now)
		}
		s.Request(10, 10, now)
	}
	if r := s.Request(10, 10, now); r.StaleCount != MaxDirectors-1 || len(r.Stale) != MaxStale || r.Current != 10 || r.Acknowledged != 1 {
		t.Fatalf("%d stale, %d listed, acknowledged %d, current %d", r.StaleCount, len(r.Stale), r.Acknowledged, r.Current)
	}
}

// TestGrantsAndHealth checks that a director receives each quota grant and each aggregated health result once.
func TestGrantsAndHealth(t *testing.T) {
	q := &fakeQuota{}
	s, now := New(testSettings, q), time.Hour
	a := announcement(1)
	a.QuotaRenewal, _ = json.Marshal(quota.Renewal{Holder: a.ID(), Seq: 9})
	s.RecordWatchRequest(a, 1, now)
	if g := s.PopGrant(a.ID()); g == nil || g.Seq != 9 || s.PopGrant(a.ID()) != nil {
		t.Fatalf("%+v", g)
	}
	r := s.Request(1, 1, now)
	o := &health.AggregatedHealth{Epoch: 3, Seq: 2, Caches: []health.CacheHealth{{Cache: "b", FailureShare: 1, Machines: 3}}}
	changed := s.HandleAnswer(Answer{Sequence: r.Sequence, Grant: &quota.Grant{Seq: 4}, AggregatedHealth: o}, now)
	if !changed || len(q.applied) != 1 || q.applied[0].Seq != 4 {
		t.Fatalf("%+v", q.applied)
	}
	if x := s.Health(a.ID(), now+100*ms); x == nil || x.Caches[0].AgeMS != 100 || s.Health(a.ID(), now+100*ms) != nil {
		t.Fatalf("%+v", x)
	}
	if r := s.Request(1, 1, now); r.HealthEpoch != 3 || r.HealthSeq != 2 {
		t.Fatalf("%+v", r)
	}
}

// TestDirectorLostAfterLease checks that a director is lost once its lease has expired by any clock within the drift, and not
// before.
func TestDirectorLostAfterLease(t *testing.T) {
	s, now := New(testSettings, nil), time.Hour
	s.RecordWatchRequest(announcement(1), 1, now)
	if r := s.Request(1, 1, now+416*ms); len(r.Lost) != 0 || r.Directors != 1 {
		t.Fatalf("%+v", r)
	}
	if r := s.Request(1, 1, now+416*ms+1); len(r.Lost) != 1 || r.Directors != 0 {
		t.Fatalf("%+v", r)
	}
}
