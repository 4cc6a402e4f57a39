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

// Settings are the settings of a Session.
type Settings struct {
	Relay         membership.Relay
	Number        uint64        // number of the session: random, generated when the process starts
	DirectorLease time.Duration // time for which a director may act after a call, by its own clock
	Drift         float64       // maximum rate difference between two clocks, as a fraction
}

// directorLeaseAtRelay returns the time without a call after which a director is lost, because its lease has expired by any clock
// within the drift.
func (s Settings) directorLeaseAtRelay() time.Duration {
	return time.Duration(float64(s.DirectorLease) * (1 + 2*s.Drift))
}

// Quota divides the relay's quota among its directors. It is implemented by *quota.Node.
type Quota interface {
	// Renewal returns the relay's renewal, which is sent to the leader.
	Renewal(now time.Duration) quota.Renewal
	// Apply applies a grant from the leader.
	Apply(grant quota.Grant, now time.Duration)
	// Renew returns the grant for a director's renewal.
	Renew(renewal quota.Renewal, now time.Duration) quota.Grant
	// Sweep removes directors whose accounts have expired.
	Sweep(now time.Duration)
}

// Session is a relay's side of its session with the leader. It is not safe for concurrent use.
type Session struct {
	settings         Settings
	quota            Quota                // nil: quotas are not divided
	directors        map[string]*director // directors that hold a lease from the relay, by ID
	changes          map[string]change    // changes that the leader has not confirmed, by director ID
	sequence         uint64               // of the last request
	answeredSequence uint64               // sequence of the last request whose answer was applied
	registration     uint64               // from the last applied answer
	sendFull         bool                 // the next request starts a full list
	reports          []Report             // queued for the leader
	readyShards      map[int]int64        // epoch by shard
	notifier         *health.Notifier
	healthEpoch      int64 // epoch of the aggregated health
	healthSeq        uint64
}

// New returns a session without directors. q may be nil.
func New(settings Settings, q Quota) *Session {
	return &Session{
		settings:    settings,
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
	d := s.directors[id]
	if d == nil && !a.Leaving && len(s.directors) >= MaxDirectors {
		return false
	}
	s.recordReadyShards(a.ReadyShards)
	s.queueReport(a)
	grant := s.renewQuota(a, now)
	switch {
	case a.Leaving && d == nil:
	case a.Leaving:
		delete(s.directors, id)
		s.changes[id] = change{kind: directorLeft}
	default:
		if d == nil {
			d = &director{}
			s.directors[id] = d
		}
		if d.recordCall(a, acknowledged, now) {
			s.changes[id] = change{kind: directorJoined}
		}
		if grant != nil {
			d.grant = grant
		}
	}
	return true
}

// recordReadyShards records pairs of shard number and epoch for the next request.
func (s *Session) recordReadyShards(pairs []int64) {
	for i := 0; i+1 < len(pairs); i += 2 {
		if shard := pairs[i]; shard >= 0 && shard < fleet.ShardCount {
			s.readyShards[int(shard)] = max(s.readyShards[int(shard)], pairs[i+1])
		}
	}
}

// queueReport queues the health report of an announcement, if it has a valid one, for the leader.
func (s *Session) queueReport(a discovery.Announcement) {
	if len(a.HealthReport) == 0 || len(s.reports) >= MaxQueuedReports {
		return
	}
	var r health.Report
	if json.Unmarshal(a.HealthReport, &r) != nil || r.Holder != a.ID() || len(r.Caches) == 0 {
		return
	}
	location := health.ReporterLocation{Machine: a.Machine, Location: a.Location}
	s.reports = append(s.reports, Report{Report: r, ReporterLocation: location})
}

// renewQuota returns the grant for the quota renewal of an announcement; nil if the announcement has no valid renewal.
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

// PopGrant removes and returns the pending quota grant for a director; nil if there is none.
func (s *Session) PopGrant(directorID string) *quota.Grant {
	d := s.directors[directorID]
	if d == nil {
		return nil
	}
	grant := d.grant
	d.grant = nil
	return grant
}

// Health returns the aggregated health for a director; nil if the director already has the latest result.
func (s *Session) Health(directorID string, now time.Duration) *health.AggregatedHealth {
	h, isNew := s.notifier.ResultFor(directorID, now)
	if !isNew {
		return nil
	}
	return &h
}

// Request returns the next request to the leader. revision is that of the relay's last event. acknowledged is the lowest revision
// of all its watchers, including those that do not announce themselves and those that have left recently.
func (s *Session) Request(revision, acknowledged int64, now time.Duration) Request {
	s.expireDirectors(now)
	s.sequence++
	r := Request{Revision: revision, HealthEpoch: s.healthEpoch, HealthSeq: s.healthSeq}
	r.Relay = s.settings.Relay
	r.Session = s.settings.Number
	r.Sequence = s.sequence
	r.Answered = s.answeredSequence
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
	clear(s.readyShards) // directors repeat them until they are in the event log
	sent := min(len(s.reports), MaxReports)
	r.Reports = s.reports[:sent:sent]
	s.reports = s.reports[sent:]
	return r
}

// expireDirectors removes directors whose leases have expired.
func (s *Session) expireDirectors(now time.Duration) {
	for id, d := range s.directors {
		if now-d.calledAt > s.settings.directorLeaseAtRelay() {
			delete(s.directors, id)
			s.changes[id] = change{kind: directorLost}
		}
	}
	if s.quota != nil {
		s.quota.Sweep(now)
	}
}

// addChanges adds changes to an update, up to the limit of one update. Changes of directors that have left or been lost come first;
// the remaining changes are sent in later updates.
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
		c.sentSequence = s.sequence
		s.changes[id] = c
		switch c.kind {
		case directorJoined:
			d := s.directors[id]
			u.Joined = append(u.Joined, membership.JoinedDirector{Director: d.Director, Config: d.config})
		case directorLeft:
			u.Left = append(u.Left, id)
		case directorLost:
			u.Lost = append(u.Lost, id)
		}
	}
}

// addRevisions adds the directors' acknowledged revisions and lists stale directors.
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

// IsLast reports whether an answer is to the last request and was not applied before.
func (s *Session) IsLast(a Answer) bool {
	return a.Sequence == s.sequence && a.Sequence != s.answeredSequence
}

// HandleAnswer applies the answer to the last request. It ignores answers to earlier requests and duplicate answers. It reports
// whether the aggregated health has changed, in which case the caller must answer the waiting directors.
func (s *Session) HandleAnswer(a Answer, now time.Duration) (healthChanged bool) {
	if !s.IsLast(a) {
		return false
	}
	s.answeredSequence = a.Sequence
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
		s.queueFullList()
		return healthChanged
	}
	s.sendFull = false
	maps.DeleteFunc(s.changes, func(_ string, c change) bool { return c.sentSequence == a.Sequence })
	return healthChanged
}

// queueFullList makes the next requests list all directors, because the leader does not know the session. Lost directors remain
// listed as well: the leader may not know that the relay has served them.
func (s *Session) queueFullList() {
	s.sendFull = true
	for id := range s.directors {
		s.changes[id] = change{kind: directorJoined}
	}
}
