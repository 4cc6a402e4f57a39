package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// newFollower returns a server and separate services for it, which are not leading and whose goroutine is not running.
func newFollower(t *testing.T) (*Server, *directorServices) {
	t.Helper()
	server, _ := start(t, settingsIn(t.TempDir()))
	return server, newDirectorServices(server)
}

func relayRequest(sequence, registration uint64) relaysession.Request {
	relay := membership.Relay{Name: "r1", Incarnation: "1"}
	return relaysession.Request{
		Update: membership.Update{Relay: relay, Session: 7, Sequence: sequence, Registration: registration, Full: true},
		Quota:  &quota.Renewal{Holder: relay.ID(), Seq: sequence, Node: true},
	}
}

// TestServicesLeadTogether checks that all services start and stop leading together, and that no answer contains state of an earlier
// leadership.
func TestServicesLeadTogether(t *testing.T) {
	server, s := newFollower(t)
	f := server.store.Fleet()
	checkFollower := func() {
		t.Helper()
		if _, err := s.handleRelayRequest(relayRequest(100, 0), true); !errors.Is(err, store.ErrNotLeader) {
			t.Errorf("a relay's request: %v", err)
		}
		if _, err := s.members.updateRelay(relayRequest(100, 0).Update, replicas.Now()); !errors.Is(err, store.ErrNotLeader) {
			t.Errorf("a relay's update: %v", err)
		}
		if _, err := s.Adoption(1); !errors.Is(err, store.ErrNotLeader) {
			t.Errorf("adoption: %v", err)
		}
		a := s.Grant([]quota.Renewal{{Holder: "d/1", Seq: 100}})
		if a.QuotaGrants != nil || a.AggregatedHealth != nil || s.health.aggregated(replicas.Now()) != nil || s.earlierLeasesExpired() {
			t.Errorf("a replica that is not the leader answered: %+v", a)
		}
		s.shards.recordReady([]int64{1, 1})
		if first, again := s.Heartbeats(), s.Heartbeats(); len(first.ReadyShards) != 2 || len(again.ReadyShards) != 0 {
			t.Errorf("a ready shard is reported as %v, then as %v", first.ReadyShards, again.ReadyShards)
		}
	}
	checkFollower()
	s.syncLeadership(true, f, replicas.Now())
	first, err := s.handleRelayRequest(relayRequest(1, 0), true)
	if err != nil || !first.NeedFull || first.LeaseMS == 0 || first.Grant == nil {
		t.Fatalf("%+v, %v", first, err)
	}
	if a := s.Grant([]quota.Renewal{{Holder: "d/1", Seq: 1}}); len(a.QuotaGrants) != 1 || a.AggregatedHealth == nil {
		t.Errorf("%+v", a)
	}
	if second, err := s.handleRelayRequest(relayRequest(2, first.Registration), true); err != nil || second.NeedFull {
		t.Errorf("%+v, %v", second, err)
	}
	if _, err := s.Adoption(f.Revision + 1); err == nil || errors.Is(err, store.ErrNotLeader) {
		t.Errorf("adoption of an event that is not recorded: %v", err)
	}
	s.shards.recordReady([]int64{1, 1})
	if first, again := s.Heartbeats(), s.Heartbeats(); len(first.ReadyShards) != 2 || len(again.ReadyShards) != 2 {
		t.Errorf("the leader forgets a ready shard: %v, then %v", first.ReadyShards, again.ReadyShards)
	}
	s.syncLeadership(false, f, replicas.Now())
	checkFollower()
	s.syncLeadership(true, f, replicas.Now())
	third, err := s.handleRelayRequest(relayRequest(3, first.Registration), true)
	if err != nil || !third.NeedFull || third.Registration == first.Registration {
		t.Errorf("the session of an earlier leadership was kept: %+v, %v", third, err)
	}
}

// TestLeadershipChangesDuringCalls checks that calls of all kinds neither deadlock nor race with each other and with changes of
// leadership.
func TestLeadershipChangesDuringCalls(t *testing.T) {
	server, s := newFollower(t)
	director := discovery.Announcement{Director: discovery.Director{Name: "d", Incarnation: "1", Machine: "m", Location: "west"}}
	var err error
	director.QuotaRenewal, err = json.Marshal(quota.Renewal{Holder: director.ID(), Seq: 1})
	check(t, err)
	director.HealthReport, err = json.Marshal(health.Report{Holder: director.ID(), Seq: 1})
	check(t, err)
	director.ReadyShards = []int64{1, 1}
	const rounds = 300
	calls := []func(round int){
		func(round int) { s.recordAnnouncement(director, int64(round)) },
		func(int) { s.MergeHeartbeats(s.Heartbeats()) },
		func(round int) {
			s.ApplyLeaseAnswer(s.Grant([]quota.Renewal{{Holder: fmt.Sprint("e/", round), Seq: 1}}))
			s.popGrant(director.ID())
		},
		func(round int) {
			_, err := s.handleRelayRequest(relayRequest(uint64(round+1), 0), true)
			if err != nil && !errors.Is(err, store.ErrNotLeader) {
				t.Errorf("round %d: %v", round, err)
			}
		},
		func(round int) {
			s.eventsCommitted(int64(round))
			_, _ = s.Adoption(int64(round)) // the event may not be recorded
		},
		func(int) {
			_ = s.Members()
			_, _, _ = s.QuotaAllocations(), s.CacheHealth(), s.earlierLeasesExpired()
			_ = s.aggregatedHealth(director.ID())
		},
		func(round int) { s.syncLeadership(round%3 > 0, server.store.Fleet(), replicas.Now()) },
	}
	var running sync.WaitGroup
	for _, call := range calls {
		running.Go(func() {
			for round := range rounds {
				call(round)
			}
		})
	}
	running.Wait()
	s.syncLeadership(false, fleet.Fleet{}, replicas.Now())
	if h := s.Heartbeats(); len(h.Directors) != 1 || h.Directors[0].ID != director.ID() {
		t.Errorf("%+v", h)
	}
	if a := s.Grant(nil); a.QuotaGrants != nil || a.AggregatedHealth != nil {
		t.Errorf("%+v", a)
	}
}
