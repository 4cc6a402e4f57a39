package replicas

import (
	"net/http"
	"sync/atomic"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/operatorconfig"
	"stairvane.org/stairvane/internal/quota"
)

// Phase is the phase of a replica's participation in the group. The values appear in the status
// response.
type Phase string

// Phases of a replica.
const (
	Introducing       Phase = "meeting" // asking the other replicas what they have observed of its disk
	AwaitingAdmission Phase = "waiting" // its disk is not a member yet
	Active            Phase = "in"
	DiskFailed        Phase = "no-disk" // its disk can't be written; it does not participate and retries the disk
	Excluded          Phase = "out"     // it may not participate; the status has the reason
)

// Settings configures a replica. The functions must not block, and may be called concurrently.
type Settings struct {
	operatorconfig.ReplicaGroup
	Batch             int                                   // maximum number of writes in one proposal
	FoundGroup        bool                                  // found a new group with this store
	Client            *http.Client                          // for calls to other replicas; nil: http.DefaultClient, without TLS
	Scheme            string                                // URL scheme of these calls; empty: http
	LeadershipChanged func(isLeader bool)                   // called by the loop when this replica becomes or stops being the leader
	SnapshotInstalled func()                                // called by the loop after a snapshot has replaced the store's content
	Acknowledged      func() int64                          // highest revision that all of this replica's watchers have acknowledged
	Heartbeats        func() api.Heartbeats                 // returns the heartbeats of the directors that watch this replica
	MergeHeartbeats   func(api.Heartbeats)                  // at the leader: merges heartbeats of directors that watch other replicas
	Grant             func([]quota.Renewal) api.LeaseAnswer // at the leader: called right after its leadership was confirmed
	ApplyLeaseAnswer  func(api.LeaseAnswer)                 // at a follower: applies the leader's answer to a lease request
	NotifiedAfter     func() time.Duration                  // time after which a departed watcher counts as having acknowledged
}

// callQueueLength is the number of functions that can be queued for the loop before callers block.
const callQueueLength = 1024

// Group runs this replica as a member of its group.
type Group struct {
	settings    Settings
	store       *store.Store
	incarnation uint64           // random ID of this run of the process
	peers       map[string]*peer // the other replicas in the operator's file, by name; read-only after New
	calls       chan func()      // functions for the loop to run
	stop        chan struct{}    // closed by Stop
	done        chan struct{}    // closed when Run returns
	published   atomic.Pointer[status]
	disks       diskObservations
	leases      leases
	loopState
}

// loopState is owned by the loop: no other goroutine accesses it after Run is called.
type loopState struct {
	phase           Phase
	reason          string          // why the replica is in this phase; part of the status
	driver          *replica.Driver // nil unless the phase is Active
	driverSeed      uint64
	isLeader        bool
	proposal        *proposal // in flight; nil: none
	barriers        barriers
	received        *store.ReceivedSnapshot // passed to the driver, but neither installed nor discarded yet
	sends           snapshotSends
	contacts        *replica.ContactTracker
	senderNames     map[uint64]string // names of the replicas that have sent messages, by disk
	joinRequests    map[string]uint64 // disks that wait to be admitted, by replica name
	revisions       revisionHistory
	introduction    introduction
	lastDiskAttempt time.Duration // when a write to the failed disk was last attempted
	flush           flushTimer
	ticks           int
}

// New creates the replica of a store that was opened with Options.IsReplica. A store that belongs
// to no group becomes the first member of a new group if FoundGroup is set; otherwise it becomes a
// new disk that waits to be admitted.
func New(s *store.Store, settings Settings) (*Group, error) {
	if settings.Scheme == "" {
		settings.Scheme = "http"
	}
	g := &Group{
		settings:    settings,
		store:       s,
		incarnation: newID(),
		peers:       map[string]*peer{},
		calls:       make(chan func(), callQueueLength),
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
		disks:       diskObservations{detector: replica.NewRollbackDetector()},
		leases:      newLeases(replica.Lease{Length: settings.Lease, Drift: settings.Drift}),
		loopState: loopState{
			phase:        Introducing,
			driverSeed:   newID(),
			barriers:     barriers{waiting: map[uint64]chan<- error{}},
			sends:        snapshotSends{inProgress: map[uint64]bool{}, lastActivity: map[uint64]time.Duration{}},
			contacts:     replica.NewContactTracker(settings.Tick),
			senderNames:  map[uint64]string{},
			joinRequests: map[string]uint64{},
			introduction: introduction{acceptedBy: map[string]bool{}},
			flush:        newFlushTimer(),
		},
	}
	for _, r := range settings.Replicas {
		if r.Name != settings.Self {
			g.peers[r.Name] = newPeer(g, r)
		}
	}
	if err := g.initIdentity(); err != nil {
		return nil, err
	}
	g.publish()
	return g, nil
}

// self returns this replica's entry in the operator's file.
func (g *Group) self() operatorconfig.Replica {
	for _, r := range g.settings.Replicas {
		if r.Name == g.settings.Self {
			return r
		}
	}
	return operatorconfig.Replica{}
}

// Mount registers the handlers for the calls of other replicas on a mux.
func (g *Group) Mount(mux *http.ServeMux) {
	mux.HandleFunc("POST "+messagesPath, g.serveMessages)
	mux.HandleFunc("POST "+snapshotPath, g.serveSnapshot)
	mux.HandleFunc("POST "+helloPath, g.serveHello)
	mux.HandleFunc("POST "+leasePath, g.serveLease)
	mux.HandleFunc("POST "+memberPath, g.serveMember)
}
