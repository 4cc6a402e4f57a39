// Package api has the messages of the control plane's write side, its errors, and the client that the command line uses. The messages
// between replicas and the leader about directors are here, too. Struct tags are the protocol: they stay as they are. Times with the
// suffix MS are in milliseconds; those that are points in time count from the Unix epoch. A revision is the number of an event.
package api

import (
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/quota"
)

// WhoHeader carries the name that the caller gives itself. It is recorded beside the name by which the caller was identified.
const WhoHeader = "Stairvane-Who"

// WriteHeader carries an ID that the caller gives a write. A write that is repeated under its ID while the outcome is remembered is
// made once; it gets the answer of the first.
const WriteHeader = "Stairvane-Write"

// HistoryPage is how many events one answer has at most.
const HistoryPage = 10_000

// State is the fleet as it is declared and as it was observed.
type State struct {
	Fleet            fleet.Dump                   `json:"fleet"`
	Observed         map[string]fleet.Observation `json:"observed"` // by host name
	NowMS            int64                        `json:"now_ms"`   // by the server's clock
	Observer         bool                         `json:"observer"` // hosts are observed
	Watchers         int                          `json:"followers"`
	AcknowledgedUpTo int64                        `json:"told_up_to"`       // revision up to which all directors have all events
	RunningApply     *apply.Record                `json:"holder,omitempty"` // the apply that runs or is paused
}

// ObservedState is the state that plans are made against.
func (s State) ObservedState() (fleet.ObservedState, error) {
	f, err := fleet.Restore(s.Fleet)
	return fleet.ObservedState{Fleet: f, Observed: s.Observed, NowMS: s.NowMS}, err
}

// History is a page of events, in their order.
type History struct {
	Events []fleet.Event `json:"events"`
}

// Step is a step of an apply.
type Step struct {
	ID    int       `json:"id"` // from 1 on, in the order of the plan
	What  string    `json:"what"`
	Thing string    `json:"thing"`
	Wait  plan.Wait `json:"wait"`
	apply.StepState
}

// Apply is an apply with its steps.
type Apply struct {
	apply.Record
	Steps []Step `json:"step_list"`
}

// Accepted is the answer to a plan: its apply, or the one that has carried out the same plan before.
type Accepted struct {
	apply.Record
	Already bool `json:"already"` // the same plan was carried out before: nothing changes
}

// Purged is the answer to a purge.
type Purged struct {
	Revision int64 `json:"no"`
	IssuedMS int64 `json:"issued_ms"`
}

// Heartbeats are what a replica reports to the leader of the directors that watch it.
type Heartbeats struct {
	Directors     []Heartbeat     `json:"directors,omitempty"`
	ReadyShards   []int64         `json:"complete,omitempty"` // pairs of a shard and the epoch in which it is ready
	QuotaRenewals []quota.Renewal `json:"beats,omitempty"`
	HealthReports []HealthReport  `json:"reports,omitempty"`
}

// HealthReport is what a director reports of caches, and where the director is.
type HealthReport struct {
	health.Report
	health.ReporterLocation
}

// LeaseAnswer is what the leader answers a replica for the directors that watch it.
type LeaseAnswer struct {
	QuotaGrants      map[string]quota.Grant   `json:"turns,omitempty"` // by director ID
	AggregatedHealth *health.AggregatedHealth `json:"opinions,omitempty"`
}

// Heartbeat tells that a director has called its replica.
type Heartbeat struct {
	ID              string          `json:"id"`
	AgeMS           int64           `json:"age_ms"` // since the call
	Leaving         bool            `json:"leaving,omitempty"`
	AppliedRevision int64           `json:"acts"`
	Config          string          `json:"config,omitempty"`   // fingerprint of its configuration, sent with Director
	Director        *fleet.Director `json:"director,omitempty"` // sent after a change and from time to time
}

// Members are the directors that are members, and the relays that serve some of them.
type Members struct {
	Revision  int64          `json:"revision"`
	Directors []MemberStatus `json:"directors"`
	Relays    []RelayStatus  `json:"relays,omitempty"`
	Lost      []LostDirector `json:"lost,omitempty"` // that have lately left without a notice
	Moving    int            `json:"moving"`         // shards of the claims that are not yet ready at their new replicas
}

// LostDirector is a director that has left without a notice.
type LostDirector struct {
	fleet.Director
	LostMS          int64 `json:"lost_ms"` // since its last heartbeat
	AppliedRevision int64 `json:"acts"`
}

// RelayStatus is a relay that has a session with the leader.
type RelayStatus struct {
	membership.Relay
	Directors    int                        `json:"directors"`    // with a lease from it
	RenewedMS    int64                      `json:"renewed_ms"`   // since its last request
	Acknowledged int64                      `json:"acknowledged"` // the lowest revision of its directors
	Current      int64                      `json:"current"`      // the same without stale directors
	BehindMS     int64                      `json:"behind_ms"`    // for how long those have lacked the last event
	Complete     bool                       `json:"complete"`     // the leader knows all of its directors
	StaleCount   int                        `json:"stale_count"`
	Stale        []membership.StaleDirector `json:"stale,omitempty"` // the first of them
}

// MemberStatus is a director that is a member.
type MemberStatus struct {
	fleet.Director
	Relay           string `json:"relay,omitempty"` // that serves it
	LastHeardMS     int64  `json:"heard_ms"`        // since its last heartbeat
	Suspected       bool   `json:"suspected"`       // it has missed more heartbeats than is usual for it
	AppliedRevision int64  `json:"acts"`
	BehindMS        int64  `json:"behind_ms"` // for how long it has not applied the last event
	Config          string `json:"config"`    // fingerprint of its configuration
	Shards          int    `json:"slots"`     // shards of the claims on which it decides
}

// GroupStatus is what one replica knows of its group.
type GroupStatus struct {
	Name              string          `json:"copy"`
	Disk              string          `json:"disk"`
	Phase             string          `json:"phase"`
	Reason            string          `json:"why,omitempty"` // of the phase
	IsLeader          bool            `json:"leads"`
	Leader            string          `json:"leader,omitempty"`
	Term              uint64          `json:"term"`
	Applied           uint64          `json:"taken"` // index of the last raft entry that this replica has applied
	Revision          int64           `json:"revision"`
	Configured        int             `json:"listed"` // replicas in this one's file, standbys aside
	ToleratedFailures int             `json:"bears"`  // replicas that may be lost without the group losing its quorum
	Joint             bool            `json:"joint,omitempty"`
	Replicas          []ReplicaStatus `json:"copies"`
	Waiting           []string        `json:"waits,omitempty"` // replicas whose disks wait to be admitted
}

// ReplicaStatus is a replica as the leader sees it. The others know only who it is.
type ReplicaStatus struct {
	Name         string `json:"name"`
	Machine      string `json:"machine"`
	Site         string `json:"site"`
	Disk         string `json:"disk"`
	IsVoter      bool   `json:"votes"`
	Replaces     string `json:"replaces,omitempty"`
	Behind       uint64 `json:"behind"`   // raft entries that it lacks
	Alive        bool   `json:"alive"`    // the leader has received a message from it lately
	SilentMS     int64  `json:"gone_ms"`  // for how long the leader has received nothing from it, in the leader's ticks
	Acknowledged int64  `json:"told"`     // revision up to which its watchers have all events
	LeaseMS      int64  `json:"lease_ms"` // that is left of its lease
}

// ReplicaChange is a change of the group's members by an operator.
type ReplicaChange struct {
	Action              string `json:"do"` // add, remove, replace or hand-over
	Name                string `json:"name"`
	Replacement         string `json:"by,omitempty"`    // replace: the replica whose waiting disk takes the place; empty: the same name
	AllowLowerTolerance bool   `json:"fewer,omitempty"` // remove: the group may tolerate fewer failures than before
}
