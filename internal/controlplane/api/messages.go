// Package api defines the messages and errors of the control plane's write side and the client that the command line uses. It also
// defines the messages about directors that replicas exchange with the leader. The struct tags define the wire protocol and must not
// change. Fields with the suffix MS are in milliseconds; points in time are relative to the Unix epoch. A revision is the number of
// an event.
package api

import (
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/quota"
)

// WhoHeader carries the name that the caller claims for itself. It is recorded next to the name by which the caller was identified.
const WhoHeader = "Stairvane-Who"

// WriteHeader carries the ID that the caller assigns to a write. While the outcome of a write is remembered, repeating it under the
// same ID returns the first answer instead of executing the write again.
const WriteHeader = "Stairvane-Write"

// HistoryPage is the maximum number of events in one answer.
const HistoryPage = 10_000

// State is the declared and the observed state of the fleet.
type State struct {
	Fleet            fleet.Dump                   `json:"fleet"`
	Observed         map[string]fleet.Observation `json:"observed"` // by host name
	NowMS            int64                        `json:"now_ms"`   // by the server's clock
	Observer         bool                         `json:"observer"` // whether hosts are observed
	Watchers         int                          `json:"followers"`
	AcknowledgedUpTo int64                        `json:"told_up_to"`       // revision up to which all directors have received all events
	RunningApply     *apply.Record                `json:"holder,omitempty"` // the apply that is running or paused
}

// ObservedState returns the state that plans are made against.
func (s State) ObservedState() (fleet.ObservedState, error) {
	f, err := fleet.Restore(s.Fleet)
	return fleet.ObservedState{Fleet: f, Observed: s.Observed, NowMS: s.NowMS}, err
}

// History is a page of events in ascending order.
type History struct {
	Events []fleet.Event `json:"events"`
}

// Step is a step of an apply.
type Step struct {
	ID     int       `json:"id"` // starts at 1, in plan order
	What   string    `json:"what"`
	Target string    `json:"thing"`
	Wait   plan.Wait `json:"wait"`
	apply.StepState
}

// Apply is an apply with its steps.
type Apply struct {
	apply.Record
	Steps []Step `json:"step_list"`
}

// Accepted is the answer to a submitted plan: the new apply, or an earlier apply that has already carried out the same plan.
type Accepted struct {
	apply.Record
	Already bool `json:"already"` // the same plan was carried out earlier, so nothing changes
}

// Purged is the answer to a purge.
type Purged struct {
	Revision int64 `json:"no"`
	IssuedMS int64 `json:"issued_ms"`
}

// Heartbeats is a replica's report to the leader about the directors that watch the replica.
type Heartbeats struct {
	Directors     []Heartbeat     `json:"directors,omitempty"`
	ReadyShards   []int64         `json:"complete,omitempty"` // alternating shard numbers and the epochs in which they are ready
	QuotaRenewals []quota.Renewal `json:"beats,omitempty"`
	HealthReports []HealthReport  `json:"reports,omitempty"`
}

// HealthReport is a director's report on the health of caches, with the location of the director.
type HealthReport struct {
	health.Report
	health.ReporterLocation
}

// LeaseAnswer is the leader's answer to a replica, for the directors that watch the replica.
type LeaseAnswer struct {
	QuotaGrants      map[string]quota.Grant   `json:"turns,omitempty"` // by director ID
	AggregatedHealth *health.AggregatedHealth `json:"opinions,omitempty"`
}

// Heartbeat reports that a director has called its replica.
type Heartbeat struct {
	ID              string          `json:"id"`
	AgeMS           int64           `json:"age_ms"` // time since the request
	Leaving         bool            `json:"leaving,omitempty"`
	AppliedRevision int64           `json:"acts"`
	Config          string          `json:"config,omitempty"`   // fingerprint of its configuration, sent with Director
	Director        *fleet.Director `json:"director,omitempty"` // sent after a change and at regular intervals
}

// Members lists the directors that are members, and the relays that serve some of them.
type Members struct {
	Revision  int64          `json:"revision"`
	Directors []MemberStatus `json:"directors"`
	Relays    []RelayStatus  `json:"relays,omitempty"`
	Lost      []LostDirector `json:"lost,omitempty"` // that have recently left without notice
	Moving    int            `json:"moving"`         // claim shards that are not ready yet on their new replicas
}

// LostDirector is a director that has left without notice.
type LostDirector struct {
	fleet.Director
	LostMS          int64 `json:"lost_ms"` // time since its last heartbeat
	AppliedRevision int64 `json:"acts"`
}

// RelayStatus is a relay that has a session with the leader.
type RelayStatus struct {
	membership.Relay
	Directors    int                        `json:"directors"`    // number of directors that hold a lease from it
	RenewedMS    int64                      `json:"renewed_ms"`   // time since its last request
	Acknowledged int64                      `json:"acknowledged"` // lowest revision that its directors have acknowledged
	Current      int64                      `json:"current"`      // the same, excluding stale directors
	BehindMS     int64                      `json:"behind_ms"`    // how long the directors counted in Current have lacked the last event
	Complete     bool                       `json:"complete"`     // whether the leader knows all of its directors
	StaleCount   int                        `json:"stale_count"`
	Stale        []membership.StaleDirector `json:"stale,omitempty"` // at most the first few
}

// MemberStatus is a director that is a member.
type MemberStatus struct {
	fleet.Director
	Relay           string `json:"relay,omitempty"` // name of the relay that serves it
	LastHeardMS     int64  `json:"heard_ms"`        // time since its last heartbeat
	Suspected       bool   `json:"suspected"`       // it has missed more heartbeats than usual
	AppliedRevision int64  `json:"acts"`
	BehindMS        int64  `json:"behind_ms"` // how long it has lacked the last event
	Config          string `json:"config"`    // fingerprint of its configuration
	Shards          int    `json:"slots"`     // claim shards of which it is the primary
}

// GroupStatus is the state of a group as one replica knows it.
type GroupStatus struct {
	Name              string          `json:"copy"`
	Disk              string          `json:"disk"`
	Phase             string          `json:"phase"`
	Reason            string          `json:"why,omitempty"` // reason for the phase
	IsLeader          bool            `json:"leads"`
	Leader            string          `json:"leader,omitempty"`
	Term              uint64          `json:"term"`
	Applied           uint64          `json:"taken"` // index of the last raft entry that this replica has applied
	Revision          int64           `json:"revision"`
	Configured        int             `json:"listed"` // replicas in this replica's configuration file, excluding standbys
	ToleratedFailures int             `json:"bears"`  // replicas that may fail before the group loses its quorum
	Joint             bool            `json:"joint,omitempty"`
	Replicas          []ReplicaStatus `json:"copies"`
	Waiting           []string        `json:"waits,omitempty"` // replicas whose disks are waiting for admission
}

// ReplicaStatus is the state of a replica as the leader sees it. Other replicas fill in only its identity.
type ReplicaStatus struct {
	Name         string `json:"name"`
	Machine      string `json:"machine"`
	Site         string `json:"site"`
	Disk         string `json:"disk"`
	IsVoter      bool   `json:"votes"`
	Replaces     string `json:"replaces,omitempty"`
	Behind       uint64 `json:"behind"`   // number of raft entries that it lacks
	Alive        bool   `json:"alive"`    // the leader has recently received a message from it
	SilentMS     int64  `json:"gone_ms"`  // time since the leader last received a message from it, counted in the leader's ticks
	Acknowledged int64  `json:"told"`     // revision up to which its watchers have received all events
	LeaseMS      int64  `json:"lease_ms"` // time left on its lease
}

// ReplicaChange is an operator's request to change the members of the group.
type ReplicaChange struct {
	Action              string `json:"do"` // add, remove, replace or hand-over
	Name                string `json:"name"`
	Replacement         string `json:"by,omitempty"`    // for replace: the replica whose waiting disk takes over; empty means the same name
	AllowLowerTolerance bool   `json:"fewer,omitempty"` // for remove: allow the group to tolerate fewer failures than before
}
