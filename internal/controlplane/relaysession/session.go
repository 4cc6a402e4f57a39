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
	Number        uint64        // random, drawn when the process starts
	DirectorLease time.Duration // for how long a director may act after a call, by its own clock
	Drift         float64       // by which clocks may run apart, as a share
}

// forgets is after how long without a call a director is lost: its lease is over by then, whatever its clock.
func (s Settings) forgets() time.Duration {
	return time.Duration(float64(s.DirectorLease) * (1 + 2*s.Drift))
}

// Quota divides the relay's quota among its directors. *quota.Node is one.
type Quota interface {
	// Renewal is what the relay wants of the leader.
	Renewal(now time.Duration) quota.Renewal
	// Take takes a grant of the leader's in.
	Take(grant quota.Grant, now time.Duration)
	// Renew answers a director.
	Renew(renewal quota.Renewal, now time.Duration) quota.Grant
	// Sweep forgets directors that are gone.
	Sweep(now time.Duration)
}

// Session is a relay's side of its session with the leader. It is not safe for concurrent use.
type Session struct {
	set          Settings
	quota        Quota // nil: nothing is shared
	directors    map[string]*director
	changes      map[string]change // not answered yet, by ID
	sequence     uint64            // of the last request
	answered     uint64            // the last request whose answer was taken
	registration uint64            // by that answer
	full         bool              // the next request begins a whole list
	reports      []Report
	complete     map[int]int64 // epoch by slot
	opinions     *health.Notifier
	epoch        int64 // of the opinions
	seq          uint64
}

// New makes a session without directors. q may be nil.
func New(set Settings, q Quota) *Session {
	return &Session{
		set:       set,
		quota:     q,
		directors: map[string]*director{},
		changes:   map[string]change{},
		full:      true,
		complete:  map[int]int64{},
		opinions:  health.NewNotifier(),
	}
}

// Observe takes a director's watch request in; acknowledged is the revision after which it asks. It must be called before the
// request is answered. False means that the relay has as many directors as it may: this one must not be answered.
func (s *Session) Observe(a discovery.Announcement, acknowledged int64, now time.Duration) bool {
	id := a.ID()
	known := s.directors[id]
	if known == nil && !a.Leaving && len(s.directors) >= MaxDirectors {
		return false
	}
	s.takeComplete(a.ReadyShards)
	s.takeReport(a)
	grant := s.renew(a, now)
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
		if known.take(a, acknowledged, now) {
			s.changes[id] = change{kind: joined}
		}
		if grant != nil {
			known.grant = grant
		}
	}
	return true
}

func (s *Session) takeComplete(pairs []int64) {
	for i := 0; i+1 < len(pairs); i += 2 {
		if slot := pairs[i]; slot >= 0 && slot < fleet.ShardCount {
			s.complete[int(slot)] = max(s.complete[int(slot)], pairs[i+1])
		}
	}
}

func (s *Session) takeReport(a discovery.Announcement) {
	if len(a.HealthReport) == 0 || len(s.reports) >= MaxQueuedReports {
		return
	}
	var r health.Report
	if json.Unmarshal(a.HealthReport, &r) != nil || r.Holder != a.ID() || len(r.Caches) == 0 {
		return
	}
	s.reports = append(s.reports, Report{r, health.Place{Machine: a.Machine, Location: a.Location}})
}

// renew answers the quota renewal of an announcement; nil if it has none.
func (s *Session) renew(a discovery.Announcement, now time.Duration) *quota.Grant {
	var renewal quota.Renewal
	if s.quota == nil || len(a.QuotaRenewal) == 0 || json.Unmarshal(a.QuotaRenewal, &renewal) != nil || renewal.Holder != a.ID() {
		return nil
	}
	grant := s.quota.Renew(renewal, now)
	return &grant
}

// Granted is the grant for a director, once, for the answer to it; nil if there is none.
func (s *Session) Granted(directorID string) *quota.Grant {
	known := s.directors[directorID]
	if known == nil {
		return nil
	}
	grant := known.grant
	known.grant = nil
	return grant
}

// Health are what a director is to be sent of caches' health; nil if nothing is new to it.
func (s *Session) Health(directorID string, now time.Duration) *health.AggregatedHealth {
	if o, is := s.opinions.For(directorID, now); is {
		return &o
	}
	return nil
}

// Request is what is to be sent to the leader now. revision is the last event that the relay has; acknowledged is the lowest
// revision of all its watchers, those included that do not announce themselves or have left lately.
func (s *Session) Request(revision, acknowledged int64, now time.Duration) Request {
	s.sweep(now)
	s.sequence++
	r := Request{Revision: revision, HealthEpoch: s.epoch, HealthSeq: s.seq}
	r.Relay, r.Session, r.Sequence, r.Answered, r.Full = s.set.Relay, s.set.Number, s.sequence, s.answered, s.full
	r.Registration = s.registration
	s.addChanges(&r.Update)
	s.addRevisions(&r.Update, revision, acknowledged, now)
	if s.quota != nil {
		renewal := s.quota.Renewal(now)
		r.Quota = &renewal
	}
	for _, slot := range slices.Sorted(maps.Keys(s.complete)) {
		r.ReadyShards = append(r.ReadyShards, int64(slot), s.complete[slot])
	}
	clear(s.complete) // directors repeat it until the event log has it
	sent := min(len(s.reports), MaxReports)
	r.Reports = s.reports[:sent:sent]
	s.reports = s.reports[sent:]
	return r
}

// sweep drops directors whose lease is over.
func (s *Session) sweep(now time.Duration) {
	for id, d := range s.directors {
		if now-d.called > s.set.forgets() {
			delete(s.directors, id)
			s.changes[id] = change{kind: lost}
		}
	}
	if s.quota != nil {
		s.quota.Sweep(now)
	}
}

// addChanges puts as many changes into an update as one may have, those of directors that are gone first. Those that are left
// over wait.
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
		c.sent = s.sequence
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

// addRevisions says what the directors have acknowledged, and names those that are stale.
func (s *Session) addRevisions(u *membership.Update, revision, acknowledged int64, now time.Duration) {
	u.Directors = len(s.directors)
	u.Acknowledged, u.Current = min(revision, acknowledged), revision
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

// Answered takes the answer to the last request in; those to earlier ones change nothing. It tells whether opinions of caches
// have changed: directors that wait are then to be answered.
func (s *Session) Answered(a Answer, now time.Duration) (opinionsChanged bool) {
	if a.Sequence != s.sequence || a.Sequence == s.answered {
		return false
	}
	s.answered, s.registration = a.Sequence, a.Registration
	if a.Grant != nil && s.quota != nil {
		s.quota.Take(*a.Grant, now)
	}
	if a.AggregatedHealth != nil {
		s.epoch, s.seq = a.AggregatedHealth.Epoch, a.AggregatedHealth.Seq
		opinionsChanged = s.opinions.Take(*a.AggregatedHealth, now)
	}
	if a.NeedFull {
		s.restart()
		return opinionsChanged
	}
	s.full = false
	maps.DeleteFunc(s.changes, func(_ string, c change) bool { return c.sent == a.Sequence })
	return opinionsChanged
}

// restart has the next requests carry all directors: the leader does not know the session. Those that were lost are still
// named: the leader may not know that the relay has served them.
func (s *Session) restart() {
	s.full = true
	for id := range s.directors {
		s.changes[id] = change{kind: joined}
	}
}
