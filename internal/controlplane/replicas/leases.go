package replicas

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
)

// renewalsPerLease is the number of renewals within the duration of a lease. It is more than one so
// that the lease survives a failed renewal.
const renewalsPerLease = 4

// leases holds the lease under which this replica serves watchers and, at the leader, the leases
// that it has granted. It is safe for concurrent use.
type leases struct {
	config replica.Lease // read-only
	mu     sync.Mutex
	holder replica.LeaseHolder // guarded by mu
	lessor *replica.Lessor     // guarded by mu
}

func newLeases(config replica.Lease) leases {
	return leases{config: config, lessor: replica.NewLessor(config)}
}

func (l *leases) setLeader(isLeader bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lessor.SetLeader(isLeader, Now())
}

func (l *leases) isHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.HasLease(Now())
}

func (l *leases) renew(requestedAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.Renew(l.config, requestedAt)
}

func (l *leases) grant(holder uint64, acknowledged int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lessor.Grant(holder, acknowledged, Now())
}

func (l *leases) granted() map[uint64]replica.ActiveLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lessor.ActiveLeases(Now())
}

func (l *leases) acknowledged(own int64, departedAfter time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lessor.Acknowledged(own, Now(), departedAfter)
}

// HasLease reports whether this replica holds a lease now, and so may serve watchers.
func (g *Group) HasLease() bool { return g.leases.isHeld() }

// Acknowledged returns, at the leader, the highest revision that all watchers of all replicas and
// relays have acknowledged. It returns 0 at other replicas.
func (g *Group) Acknowledged() int64 {
	own := g.settings.Acknowledged()
	departedAfter := g.settings.NotifiedAfter()
	return g.leases.acknowledged(own, departedAfter)
}

// GrantSession records the lease of a relay's session, so that Acknowledged includes the relay's
// directors. It must be called at the leader, after a Barrier has succeeded and before the lease is
// sent to the relay.
func (g *Group) GrantSession(session uint64, acknowledged int64) {
	g.leases.grant(session, acknowledged)
}

// LeaseRequest is a replica's request to the leader for a lease. It also reports the state of the
// replica's watchers.
type LeaseRequest struct {
	Acknowledged int64          `json:"told"`
	Revision     int64          `json:"revision"`
	Heartbeats   api.Heartbeats `json:"signs"`
}

// maintainLease renews this replica's lease periodically until the replica stops.
func (g *Group) maintainLease() {
	interval := g.settings.Lease / renewalsPerLease
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(interval):
		}
		if err := g.renewLease(); err != nil && !errors.Is(err, store.ErrNotLeader) {
			slog.Debug("replica.lease_not_renewed", "err", err)
		}
	}
}

// renewLease renews this replica's lease. The leader confirms its leadership with a Barrier instead
// of sending a request. The duration of the lease counts from before the request is sent.
func (g *Group) renewLease() error {
	s := g.published.Load()
	requestedAt := Now()
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.Lease)
	defer cancel()
	if s.IsLeader {
		if err := g.Barrier(ctx); err != nil {
			return err
		}
	} else if err := g.requestLease(ctx, s.leaderName); err != nil {
		return err
	}
	g.leases.renew(requestedAt)
	return nil
}

func (g *Group) requestLease(ctx context.Context, leader string) error {
	p := g.peers[leader]
	if p == nil { // no leader is known, or the leader is not in this replica's file
		return store.ErrNotLeader
	}
	lease := LeaseRequest{
		Acknowledged: g.settings.Acknowledged(),
		Revision:     g.store.Fleet().Revision,
		Heartbeats:   g.settings.Heartbeats(),
	}
	var answer api.LeaseAnswer
	if err := p.callJSON(ctx, leasePath, lease, &answer); err != nil {
		return err
	}
	g.settings.ApplyLeaseAnswer(answer)
	return nil
}

// serveLease grants a lease to another replica if a Barrier confirms that this replica is the leader
// and if the other replica's revision is recent enough.
func (g *Group) serveLease(w http.ResponseWriter, r *http.Request) {
	from, ok := g.authorize(w, r)
	if !ok {
		return
	}
	var lease LeaseRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJSONBytes)).Decode(&lease); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.settings.MergeHeartbeats(lease.Heartbeats)
	ctx, cancel := context.WithTimeout(r.Context(), g.settings.Lease)
	defer cancel()
	if err := g.Barrier(ctx); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	isCurrent := false
	if !g.callLoop(func() { isCurrent = g.isLeader && lease.Revision >= g.revisions.oldest() }) {
		return
	}
	if !isCurrent {
		http.Error(w, "the copy is behind", http.StatusServiceUnavailable)
		return
	}
	g.leases.grant(from.disk, lease.Acknowledged)
	writeJSON(w, g.settings.Grant(lease.Heartbeats.QuotaRenewals))
}
