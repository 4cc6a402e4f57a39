package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
)

const (
	maxRelayRequest = 4 << 20 // bytes
	// maxAnswerWeight bounds the events of an answer: an event weighs 1, and each director or slot that it names 1 more.
	maxAnswerWeight = 6000
)

// relayLease is for how long a relay may serve after a request that was answered.
func (b *Server) relayLease() time.Duration {
	if group := b.set.Replicas.Lease; b.set.Replicas.Self != "" {
		return min(relaysession.Lease, group) // the group counts no lease for longer
	}
	return relaysession.Lease
}

// relayLeases are the leases of relays' sessions. In a group they are kept beside those of the replicas.
type relayLeases struct {
	board *Server

	mu    sync.Mutex
	alone *replica.Lessor // of a control plane without a group
}

func newRelayLeases(b *Server) *relayLeases {
	alone := replica.NewLessor(replica.Lease{Length: b.relayLease(), Drift: rollDrift})
	alone.Lead(true, replicas.Now())
	return &relayLeases{board: b, alone: alone}
}

// give records a lease before it is sent to the relay.
func (l *relayLeases) give(session uint64, acknowledged int64) {
	if l.board.group != nil {
		l.board.group.GiveSession(session, acknowledged)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alone.Give(session, acknowledged, replicas.Now())
}

// acknowledgedRevision is the number up to which every director has all events, those behind relays included. It is 0 for a
// moment after a change of the leader, while there may be directors that are not known.
func (b *Server) acknowledgedRevision() int64 {
	own := b.watchedRevision()
	within := time.Duration(b.store.Fleet().Rules().NotifiedWithinMS) * time.Millisecond
	if b.set.Relays && within > 0 && !b.membership.settled() {
		return 0
	}
	if b.group != nil {
		return own
	}
	b.relays.mu.Lock()
	defer b.relays.mu.Unlock()
	return b.relays.alone.Acknowledged(own, replicas.Now(), within)
}

// settled tells whether all leases are over that a leader before this one may have given.
func (k *membershipService) settled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leads && k.roll.Settled(replicas.Now())
}

// postRelayLease answers a relay's request, if it is proven that this replica leads.
func (b *Server) postRelayLease(w http.ResponseWriter, r *http.Request) {
	var request relaysession.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRelayRequest)).Decode(&request); err != nil {
		fail(w, http.StatusBadRequest, api.Error{Kind: api.BadRequest, Message: "relay: " + err.Error()})
		return
	}
	if request.Session == 0 || request.Relay.Name == "" || request.Relay.Incarnation == "" {
		fail(w, http.StatusBadRequest, api.Error{Kind: api.BadRequest, Message: "relay: a name, an incarnation and a session are wanted"})
		return
	}
	if b.group != nil {
		ctx, cancel := context.WithTimeout(r.Context(), b.relayLease())
		defer cancel()
		if err := b.group.Barrier(ctx); err != nil {
			b.failWith(w, store.ErrNotLeader)
			return
		}
	}
	missing, err := b.missingEvents(request.Revision)
	if err != nil {
		b.failWith(w, err)
		return
	}
	answer, err := b.membership.takeRelay(request, missing.complete)
	if err != nil {
		b.refuseRelay(w, request, err)
		return
	}
	answer.Revision, answer.Events, answer.Snapshot = missing.revision, missing.events, missing.snapshot
	reply(w, answer)
}

func (b *Server) refuseRelay(w http.ResponseWriter, request relaysession.Request, err error) {
	e := api.Error{Kind: api.BadRequest, Message: err.Error()}
	switch {
	case errors.Is(err, membership.ErrOldUpdate):
		e.Kind = api.Stale
		fail(w, http.StatusConflict, e)
	case errors.Is(err, membership.ErrTooManySessions):
		e.Kind = api.Busy
		slog.Warn("relay.refused", "relay", request.Relay.ID(), "err", err)
		fail(w, http.StatusServiceUnavailable, e)
	case errors.Is(err, membership.ErrUpdateTooLarge):
		slog.Warn("relay.refused", "relay", request.Relay.ID(), "err", err)
		fail(w, http.StatusBadRequest, e)
	default:
		b.failWith(w, err)
	}
}

// missingEvents are what a relay lacks.
type missingEvents struct {
	revision int64 // of the last event that there is
	events   []fleet.Event
	snapshot *fleet.Dump
	complete bool // the relay has all events once it has taken these
}

// missingEvents finds what a relay lacks that has all events up to a number: events, or a snapshot if they are no longer kept or
// the relay is new.
func (b *Server) missingEvents(after int64) (missingEvents, error) {
	f := b.store.Fleet()
	if after == f.Revision {
		return missingEvents{revision: f.Revision, complete: true}, nil
	}
	if after > 0 && after < f.Revision {
		var events []fleet.Event
		err := b.store.View(func(v *store.View) (err error) {
			events, err = v.Events(after, relaysession.MaxEvents)
			return err
		})
		if err != nil {
			return missingEvents{}, err
		}
		if len(events) > 0 && events[0].No == after+1 {
			events = events[:fitting(events)]
			return missingEvents{revision: f.Revision, events: events, complete: events[len(events)-1].No >= f.Revision}, nil
		}
	}
	dump := f.Dump()
	return missingEvents{revision: f.Revision, snapshot: &dump}, nil
}

// fitting is how many events one answer holds; the first always fits.
func fitting(events []fleet.Event) int {
	weight := 0
	for i, e := range events {
		weight++
		if e.Membership != nil {
			weight += len(e.Membership.Joined) + len(e.Membership.Left) + len(e.Membership.Shards)
		}
		if i > 0 && weight > maxAnswerWeight {
			return i
		}
	}
	return len(events)
}

// takeRelay takes a relay's request in, right after it was proven that this replica leads. With complete the relay gets a lease;
// without, it must first take the events that it lacks.
func (k *membershipService) takeRelay(q relaysession.Request, complete bool) (relaysession.Answer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := replicas.Now()
	if !k.leads || k.granter == nil {
		return relaysession.Answer{}, store.ErrNotLeader
	}
	registered, err := k.roll.Update(q.Update, rand.Uint64(), now)
	if err != nil {
		return relaysession.Answer{}, err
	}
	answer := relaysession.Answer{Sequence: q.Sequence, NeedFull: registered.NeedFull, Registration: registered.Registration}
	k.recordRelay(q.Update, now)
	k.completed(q.ReadyShards)
	k.takeReports(q, &answer, now)
	if q.Quota != nil && q.Quota.Holder == q.Relay.ID() {
		grant := k.granter.Renew(*q.Quota, now)
		answer.Grant = &grant
	}
	if complete {
		k.board.relays.give(q.Session, q.Acknowledged)
		answer.LeaseMS = k.board.relayLease().Milliseconds()
	}
	return answer, nil
}

// recordRelay records which events a relay's directors have.
func (k *membershipService) recordRelay(u membership.Update, now time.Duration) {
	if u.Directors == 0 {
		return
	}
	taker := adoption.RelayTaker(u.Relay.ID())
	k.record.Heard(taker, u.Current, now)
	stale := make([]adoption.Stale, len(u.Stale))
	for i, s := range u.Stale {
		stale[i] = adoption.Stale{Director: s.ID, Revision: s.Revision}
	}
	k.record.Stale(taker, stale)
}

// takes tells whether one that is recorded as a taker of events is there.
func (k *membershipService) takes(taker string) bool {
	if _, known := k.roll.LastHeard(taker); known {
		return true
	}
	return k.roll.HasRelay(adoption.RelayID(taker))
}

// takeReports merges a relay's health reports, and answers with what is known of caches' health if that is new to the relay.
func (k *membershipService) takeReports(q relaysession.Request, answer *relaysession.Answer, now time.Duration) {
	for _, r := range q.Reports {
		k.health.merger.Take(r.Report, r.Place, now)
	}
	opinions := k.health.merger.Aggregated(now)
	if len(q.Reports) > 0 {
		k.spread(opinions, now)
	}
	if len(opinions.Caches) > 0 || q.HealthEpoch != opinions.Epoch || q.HealthSeq != opinions.Seq {
		answer.AggregatedHealth = &opinions
	}
}

// relayEntries lists sessions for the operator.
func relayEntries(sessions []membership.Session) (all []api.RelayStatus) {
	for _, s := range sessions {
		all = append(all, api.RelayStatus{
			Relay:        s.Update.Relay,
			Directors:    s.Directors,
			RenewedMS:    s.Renewed.Milliseconds(),
			Acknowledged: s.Acknowledged,
			Current:      s.Current,
			BehindMS:     s.Behind.Milliseconds(),
			Complete:     s.Complete,
			StaleCount:   s.StaleCount,
			Stale:        s.Stale,
		})
	}
	return all
}
