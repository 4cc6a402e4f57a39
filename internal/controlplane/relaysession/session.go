package relaysession

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// Settings of a session.
type Settings struct {
	Relay         membership.Relay
	Number        uint64        // of the session: random, drawn when the process starts
	DirectorLease time.Duration // time for which a director may act after a call, by its own clock
	Drift         float64       // the most by which two clocks run apart, as a share
}

// directorLeaseAtRelay returns the time without a call after which a director is lost: its lease is over by any clock.
func (s Settings) directorLeaseAtRelay() time.Duration {
	return time.Duration(float64(s.DirectorLease) * (1 + 2*s.Drift))
}

// Quota divides the relay's quota among its directors. *quota.Node is one.
type Quota interface {
	// Renewal returns what the relay wants of the leader.
	Renewal(now time.Duration) quota.Renewal
	// Apply takes a grant of the leader into use.
	Apply(grant quota.Grant, now time.Duration)
	// Renew answers a director's renewal.
	Renew(renewal quota.Renewal, now time.Duration) quota.Grant
	// Sweep forgets directors that are gone.
	Sweep(now time.Duration)
}

// Session is a relay's side of its session with the leader. It is not safe for concurrent use.
type Session struct {
	set          Settings
	quota        Quota                // nil: no quotas are divided
	directors    map[string]*director // in lease with the relay, by ID
	changes      map[string]change    // not confirmed yet, by ID
	sequence     uint64               // of the last request
	lastAnswered uint64               // sequence of the last request whose answer was taken
	registration uint64               // of that answer
	sendFull     bool                 // the next request begins a full list
	reports      []Report
	readyShards  map[int]int64 // epoch by shard
	notifier     *health.Notifier
	healthEpoch  int64 // of the aggregated health
	healthSeq    uint64
}

// New makes a session without directors. q may be nil.
func New(set Settings, q Quota) *Session {
	return &Session{
		set:         set,
		quota:       q,
		directors:   map[string]*director{},
		changes:     map[string]change{},
		sendFull:    true,
		readyShards: map[int]int64{},
		notifier:    health.NewNotifier(),
	}
}

// RecordWatchRequest records a director's watch request and renews the director's lease with the relay. acknowledged is the
// revision after which the director wants events. It must be called before the request is answered. It returns false if the relay
// already serves MaxDirectors directors; the request must then be rejected.
func (s *Session) RecordWatchRequest(a discovery.Announcement, acknowledged int64, now time.Duration) bool {
	id := a.ID()
	known := s.directors[id]
	if known == nil && !a.Leaving && len(s.directors) >= MaxDirectors {
		return false
	}
	s.recordReadyShards(a.ReadyShards)
	s.queueReport(a)
	grant := s.renewQuota(a, now)
	switch {
	case a.Leaving && known == nil:
	case a.Leaving:
		delete(s.directors, id)
		s.changes[id] = change{kind: left}
	default:
		if known == nil {
			known = &director{}
			s.directors[id] = known
		}
		if known.update(a, acknowledged, now) {
			s.changes[id] = change{kind: joined}
		}
		if grant != nil {
			known.grant = grant
		}
	}
	return true
}

// recordReadyShards takes pairs of shard and epoch.
func (s *Session) recordReadyShards(pairs []int64) {
	for i := 0; i+1 < len(pairs); i += 2 {
		if shard := pairs[i]; shard >= 0 && shard < fleet.ShardCount {
			s.readyShards[int(shard)] = max(s.readyShards[int(shard)], pairs[i+1])
		}
	}
}

// queueReport queues the health report of an announcement for the leader.
func (s *Session) queueReport(a discovery.Announcement) {
	if len(a.HealthReport) == 0 || len(s.reports) >= MaxQueuedReports {
		return
	}
	var r health.Report
	if json.Unmarshal(a.HealthReport, &r) != nil || r.Holder != a.ID() || len(r.Caches) == 0 {
		return
	}
	place := health.ReporterLocation{Machine: a.Machine, Location: a.Location}
	s.reports = append(s.reports, Report{Report: r, ReporterLocation: place})
}

// renewQuota answers the quota renewal of an announcement; nil if it has none.
func (s *Session) renewQuota(a discovery.Announcement, now time.Duration) *quota.Grant {
	if s.quota == nil || len(a.QuotaRenewal) == 0 {
		return nil
	}
	var renewal quota.Renewal
	if json.Unmarshal(a.QuotaRenewal, &renewal) != nil || renewal.Holder != a.ID() {
		return nil
	}
	grant := s.quota.Renew(renewal, now)
	return &grant
}

// TakeGrant returns the quota grant for a director, once; nil if there is none.
func (s *Session) TakeGrant(directorID string) *quota.Grant {
	known := s.directors[directorID]
	if known == nil {
		return nil
	}
	grant := known.grant
	known.grant = nil
	return grant
}

// Health returns the aggregated health for a director; nil if nothing is new to it.
func (s *Session) Health(directorID string, now time.Duration) *health.AggregatedHealth {
	h, isNew := s.notifier.ResultFor(directorID, now)
	if !isNew {
		return nil
	}
	return &h
}

// Request returns what is to be sent to the leader now. revision is that of the relay's last event; acknowledged is the lowest
// revision of all its watchers, including those that do not announce themselves or have left lately.
func (s *Session) Request(revision, acknowledged int64, now time.Duration) Request {
	s.sweep(now)
	s.sequence++
	r := Request{Revision: revision, HealthEpoch: s.healthEpoch, HealthSeq: s.healthSeq}
	r.Relay = s.set.Relay
	r.Session = s.set.Number
	r.Sequence = s.sequence
	r.Answered = s.lastAnswered
	r.Registration = s.registration
	r.Full = s.sendFull
	s.addChanges(&r.Update)
	s.addRevisions(&r.Update, revision, acknowledged, now)
	if s.quota != nil {
		renewal := s.quota.Renewal(now)
		r.Quota = &renewal
	}
	for _, shard := range slices.Sorted(maps.Keys(s.readyShards)) {
		r.ReadyShards = append(r.ReadyShards, int64(shard), s.readyShards[shard])
	}
	clear(s.readyShards) // directors repeat them until the event log has them
	sent := min(len(s.reports), MaxReports)
	r.Reports = s.reports[:sent:sent]
	s.reports = s.reports[sent:]
	return r
}

// sweep drops directors whose leases are over.
func (s *Session) sweep(now time.Duration) {
	for id, d := range s.directors {
		if now-d.calledAt > s.set.directorLeaseAtRelay() {
			delete(s.directors, id)
			s.changes[id] = change{kind: lost}
		}
	}
	if s.quota != nil {
		s.quota.Sweep(now)
	}
}

// addChanges adds as many changes to an update as one may have, those of directors that are gone first. The rest waits.
func (s *Session) addChanges(u *membership.Update) {
	ids := slices.SortedFunc(maps.Keys(s.changes), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.changes[a].kind, s.changes[b].kind), cmp.Compare(a, b))
	})
	for _, id := range ids {
		if len(u.Joined)+len(u.Left)+len(u.Lost) == MaxChanges {
			u.More = true
			return
		}
		c := s.changes[id]
		c.sentWith = s.sequence
		s.changes[id] = c
		switch c.kind {
		case joined:
			d := s.directors[id]
			u.Joined = append(u.Joined, membership.JoinedDirector{Director: d.Director, Config: d.config})
		case left:
			u.Left = append(u.Left, id)
		case lost:
			u.Lost = append(u.Lost, id)
		}
	}
}

// addRevisions adds what the directors have acknowledged, and names those that are stale.
func (s *Session) addRevisions(u *membership.Update, revision, acknowledged int64, now time.Duration) {
	u.Directors = len(s.directors)
	u.Acknowledged = min(revision, acknowledged)
	u.Current = revision
	for _, id := range slices.Sorted(maps.Keys(s.directors)) {
		d := s.directors[id]
		u.Acknowledged = min(u.Acknowledged, d.acknowledged)
		behind := d.lag.Observe(d.acknowledged, revision, now)
		if behind <= StaleAfter {
			u.Current = min(u.Current, d.acknowledged)
			continue
		}
		u.StaleCount++
		if len(u.Stale) < MaxStale {
			u.Stale = append(u.Stale, membership.StaleDirector{ID: id, Revision: d.acknowledged, BehindMS: behind.Milliseconds()})
		}
	}
}

// HandleAnswer takes the answer to the last request. One to an earlier request changes nothing. It reports whether the aggregated
// health has changed: directors that wait are then to be answered.
func (s *Session) HandleAnswer(a Answer, now time.Duration) (healthChanged bool) {
	if a.Sequence != s.sequence || a.Sequence == s.lastAnswered {
		return false
	}
	s.lastAnswered = a.Sequence
	s.registration = a.Registration
	if a.Grant != nil && s.quota != nil {
		s.quota.Apply(*a.Grant, now)
	}
	if a.AggregatedHealth != nil {
		s.healthEpoch = a.AggregatedHealth.Epoch
		s.healthSeq = a.AggregatedHealth.Seq
		healthChanged = s.notifier.Apply(*a.AggregatedHealth, now)
	}
	if a.NeedFull {
		s.resendAll()
		return healthChanged
	}
	s.sendFull = false
	maps.DeleteFunc(s.changes, func(_ string, c change) bool { return c.sentWith == a.Sequence })
	return healthChanged
}

// resendAll has the next requests name all directors, since the leader does not know the session. Directors that were lost are still
// named: the leader may not know that the relay has served them.
func (s *Session) resendAll() {
	s.sendFull = true
	for id := range s.directors {
		s.changes[id] = change{kind: joined}
	}
}
