package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/claims"
	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// quotaSettings are those of the directors, see internal/director; without relays there are no nodes to wait for.
func quotaSettings(relays bool) quota.Settings {
	set := relaysession.QuotaSettings
	if !relays {
		set.NodeLease = 0
	}
	return set
}

const (
	rollLease  = 400 * time.Millisecond // as the directors count, see internal/director
	rollDrift  = 0.02
	rollGather = 150 * time.Millisecond
	rollEvery  = 25 * time.Millisecond
	rollSaid   = 2 * time.Second // after which a copy says again what a director is, and not only that it is there
)

// membershipService is the shell of membership.Tracker: it takes in what directors say of themselves, here and at the other replicas, and has the
// changes of the roll and of who holds which claims written, where this board leads.
type membershipService struct {
	board *Server
	stop  chan struct{}
	ended chan struct{}

	mu       sync.Mutex
	roll     *membership.Tracker
	here     map[string]*present // who follows here
	complete map[int]int64       // slots that are told to be complete, with their epochs
	leads    bool
	granter  *quota.Allocator         // while it leads
	beats    map[string]quota.Renewal // of directors that follow here, for the leader
	grants   map[string]quota.Grant   // for them
	health   healthReports
	record   *adoption.Record // of when directors took events, while it leads
}

// adoptionKept is of how many of the last events it is recorded when each director took them.
const adoptionKept = 2000

// present is a director that follows here.
type present struct {
	fleet.Director
	heard   time.Duration
	acts    int64
	config  string
	said    time.Duration // when it was told to the leader what it is
	leaving bool
}

func newMembershipService(b *Server) *membershipService {
	return &membershipService{
		board: b, stop: make(chan struct{}), ended: make(chan struct{}), here: map[string]*present{}, complete: map[int]int64{}, beats: map[string]quota.Renewal{}, grants: map[string]quota.Grant{}, health: healthReports{teller: health.NewNotifier()},
		// A copy that is cut off goes on answering directors until its own lease ends, and their leases count from then.
		roll: membership.New(membership.Settings{
			Lease: rollLease + b.set.Replicas.Lease, Drift: rollDrift, Gather: rollGather,
			Director: rollLease, Session: b.relayLease(),
		}),
	}
}

// observe takes in what a director says with its call for news.
func (k *membershipService) observe(a discovery.Announcement, acts int64) {
	now := replicas.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	d := fleet.Director(a.Director)
	p := k.here[d.ID()]
	if p == nil {
		p = &present{}
		k.here[d.ID()] = p
	}
	if p.Director != d || p.leaving != a.Leaving {
		p.said = 0
	}
	p.Director, p.heard, p.leaving, p.acts, p.config = d, now, a.Leaving, acts, a.Config
	k.roll.RecordHeartbeat(membership.Heartbeat{ID: d.ID(), Director: &d, Leaving: a.Leaving, At: now, Applied: acts, Config: a.Config})
	if k.record != nil {
		k.record.Heard(d.ID(), acts, now)
	}
	k.completed(a.ReadyShards)
	k.evidence(a, now)
	var b quota.Renewal
	if len(a.QuotaRenewal) == 0 || json.Unmarshal(a.QuotaRenewal, &b) != nil || b.Holder != d.ID() {
		return
	}
	k.beats[b.Holder] = b
	if k.granter != nil && k.board.hasLease() { // proven to lead a moment ago; else another may have granted since
		k.grants[b.Holder] = k.granter.Renew(b, now)
		delete(k.beats, b.Holder)
	}
}

// takeGrant is the grant for a director, once.
func (k *membershipService) takeGrant(id string) *quota.Grant {
	k.mu.Lock()
	defer k.mu.Unlock()
	g, is := k.grants[id]
	if !is {
		return nil
	}
	delete(k.grants, id)
	return &g
}

// Grant answers, at the leader, what directors elsewhere want. It is called right after it was proven that this copy leads.
func (k *membershipService) Grant(beats []quota.Renewal) (s api.LeaseAnswer) {
	now := replicas.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.granter == nil {
		return s
	}
	s.QuotaGrants = map[string]quota.Grant{}
	for _, b := range beats {
		s.QuotaGrants[b.Holder] = k.granter.Renew(b, now)
	}
	o := k.health.merger.Aggregated(now)
	s.AggregatedHealth = &o
	return s
}

// TakeShares takes in, at a copy, what the leader has granted to directors that follow here, and what is believed of boxes.
func (k *membershipService) TakeShares(s api.LeaseAnswer) {
	now := replicas.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, g := range s.QuotaGrants {
		k.grants[id] = g
	}
	if s.AggregatedHealth != nil {
		k.spread(*s.AggregatedHealth, now)
	}
}

// Held are the parts that are in force.
func (k *membershipService) Held() []quota.Allocation {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.granter == nil {
		return nil
	}
	return k.granter.Allocations(replicas.Now())
}

func (k *membershipService) completed(pairs []int64) {
	for i := 0; i+1 < len(pairs); i += 2 {
		if slot := int(pairs[i]); slot >= 0 && slot < fleet.ShardCount {
			k.complete[slot] = max(k.complete[slot], pairs[i+1])
		}
	}
}

// Heartbeats are what this copy tells the leader of the directors that follow here.
func (k *membershipService) Heartbeats() api.Heartbeats {
	now := replicas.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var s api.Heartbeats
	for id, p := range k.here {
		age := now - p.heard
		if age > 10*rollLease {
			delete(k.here, id)
			continue
		}
		sign := api.Heartbeat{ID: id, AgeMS: age.Milliseconds(), Leaving: p.leaving, AppliedRevision: p.acts}
		if p.said == 0 || now-p.said > rollSaid {
			d := p.Director
			sign.Director, sign.Config, p.said = &d, p.config, now
		}
		s.Directors = append(s.Directors, sign)
	}
	for id, b := range k.beats {
		s.QuotaRenewals = append(s.QuotaRenewals, b)
		delete(k.beats, id)
	}
	s.HealthReports, k.health.reports = k.health.reports, nil
	for slot, epoch := range k.complete {
		s.ReadyShards = append(s.ReadyShards, int64(slot), epoch)
		if !k.leads {
			delete(k.complete, slot) // said again by the director until it is told
		}
	}
	return s
}

// TakeHeartbeats takes in, at the leader, what another copy tells of its directors.
func (k *membershipService) TakeHeartbeats(s api.Heartbeats) {
	now := replicas.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, d := range s.Directors {
		k.roll.RecordHeartbeat(membership.Heartbeat{
			ID: d.ID, Director: d.Director, Leaving: d.Leaving, At: now - time.Duration(d.AgeMS)*time.Millisecond,
			Applied: d.AppliedRevision, Config: d.Config,
		})
		if k.record != nil {
			k.record.Heard(d.ID, d.AppliedRevision, now-time.Duration(d.AgeMS)*time.Millisecond)
		}
	}
	if k.health.merger != nil {
		for _, r := range s.HealthReports {
			k.health.merger.Take(r.Report, r.Place, now)
		}
		k.spread(k.health.merger.Aggregated(now), now)
	}
	k.completed(s.ReadyShards)
}

// Members is who is on the roll, as this board knows if it leads.
func (k *membershipService) Members() api.Members {
	f, now := k.board.store.Fleet(), replicas.Now()
	out := api.Members{Revision: f.Revision}
	holds := map[string]int{}
	for i := range fleet.ShardCount {
		s := f.Shard(i)
		if len(s.PreviousReplicas) > 0 {
			out.Moving++
		}
		for n, id := range s.Replicas {
			if n == 0 {
				holds[id]++
			}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.roll.Observe(f.Revision, now)
	versions := k.roll.Versions()
	out.Relays = relayEntries(k.roll.Sessions(now))
	for d := range f.Directors() {
		v := versions[d.ID()]
		e := api.MemberStatus{Relay: v.Relay, AppliedRevision: v.Applied, BehindMS: v.Behind.Milliseconds(), Config: v.Config, Director: *d, Shards: holds[d.ID()], Suspected: k.roll.Suspected(d.ID(), now)}
		if at, known := k.roll.LastHeard(d.ID()); known {
			e.LastHeardMS = (now - at).Milliseconds()
		}
		out.Directors = append(out.Directors, e)
	}
	for _, l := range k.roll.Lost(now) {
		out.Lost = append(out.Lost, api.LostDirector{Director: l.Director, LostMS: (now - l.Since).Milliseconds(), AppliedRevision: l.Applied})
	}
	return out
}

// committed is told of durable events before any director is.
func (k *membershipService) committed(last int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.record != nil {
		k.record.Told(last, replicas.Now())
	}
}

// Adoption tells when each director took an event; the error names what is recorded.
func (k *membershipService) Adoption(no int64) (adoption.Event, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.record == nil {
		return adoption.Event{}, store.ErrNotLeader
	}
	e, from, to, is := k.record.Event(no, replicas.Now())
	if !is {
		return e, fmt.Errorf("event %d is not recorded: this board has led since event %d, and the history is at %d", no, from-1, to)
	}
	return e, nil
}

func (k *membershipService) run() {
	defer close(k.ended)
	ticker := time.NewTicker(rollEvery)
	defer ticker.Stop()
	for {
		select {
		case <-k.stop:
			return
		case <-ticker.C:
		}
		if err := k.writeChanges(); err != nil && !errors.Is(err, store.ErrNotLeader) && !errors.Is(err, store.ErrOutcomeUnknown) {
			slog.Warn("roll.not_written", "err", err)
		}
	}
}

// writeChanges writes what has changed of the roll, if this board leads.
func (k *membershipService) writeChanges() error {
	leads, now := k.board.Leads(), replicas.Now()
	f := k.board.store.Fleet()
	k.mu.Lock()
	if leads && !k.leads {
		k.roll.Begin(f, now)
		// What the one before it has granted, within its own lease and for one more, is over by then.
		k.granter = quota.NewAllocator(quotaSettings(k.board.set.Relays), k.board.term(), now+k.board.set.Replicas.Lease, f.Membership() == nil)
		k.health.merger = health.NewAggregator(health.DefaultSettings, k.board.term())
		k.record = adoption.New(adoptionKept, f.Revision)
	} else if !leads {
		k.granter, k.health.merger, k.record = nil, nil, nil
	} else if k.granter != nil {
		k.granter.Sweep(now)
		k.health.merger.Sweep(now)
		k.record.Served(k.roll.ServedByRelay)
		k.record.Gone(k.takes, now)
	}
	k.leads = leads
	var c *fleet.MembershipChange
	if leads {
		c = k.roll.Change(f, now)
		k.roll.Observe(f.Revision, now)
	}
	var done []fleet.ShardChange
	for slot, epoch := range k.complete {
		if s := f.Shard(slot); s.Epoch != epoch || len(s.PreviousReplicas) == 0 {
			if s.Epoch >= epoch {
				delete(k.complete, slot)
			}
			continue
		}
		done = append(done, fleet.ShardChange{Shard: slot, ReadyEpoch: epoch})
	}
	k.mu.Unlock()
	if !leads || c == nil && len(done) == 0 {
		return nil
	}
	err := k.board.store.Do(func(t *store.Tx) error {
		now := t.Fleet()
		if now.Revision != f.Revision && now.Membership() != nil && f.Membership() == nil {
			return nil // it was made before the first roll
		}
		change := &fleet.MembershipChange{Shards: done}
		if c != nil {
			change.Joined, change.Left = c.Joined, c.Left
			change.Shards = append(change.Shards, k.assign(now, *c)...)
		}
		_, err := t.Append(fleet.Event{Who: "board", Membership: change})
		return err
	})
	if err != nil {
		return err
	}
	if c != nil {
		k.mu.Lock()
		k.roll.MarkAnnounced(replicas.Now())
		k.mu.Unlock()
		slog.Info("roll.changed", "joined", len(c.Joined), "gone", c.Left)
	}
	return nil
}

// assign is who holds the claims once a change is made.
func (k *membershipService) assign(f fleet.Fleet, c fleet.MembershipChange) (changes []fleet.ShardChange) {
	on := map[string]fleet.Director{}
	for d := range f.Directors() {
		on[d.ID()] = *d
	}
	for _, id := range c.Left {
		delete(on, id)
	}
	for _, d := range c.Joined {
		on[d.ID()] = d
	}
	var places []claims.Place
	for id, d := range on {
		if d.Claims != "" {
			places = append(places, claims.Place{ID: id, Name: d.Name, Machine: d.Machine, Site: d.Site})
		}
	}
	slots := make([]claims.ShardState, fleet.ShardCount)
	any := len(places) > 0
	for i := range slots {
		s := f.Shard(i)
		slots[i] = claims.ShardState{Shard: i, Epoch: s.Epoch, Replicas: s.Replicas, PreviousReplicas: s.PreviousReplicas}
		any = any || len(s.Replicas) > 0
	}
	if !any {
		return nil
	}
	for _, s := range claims.Reassign(slots, 1+k.board.set.ClaimReplicas, places) {
		changes = append(changes, fleet.ShardChange{Shard: s.Shard, Replicas: s.Replicas, PreviousReplicas: s.PreviousReplicas})
	}
	return changes
}
