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

// Phase is what a replica is doing. The values are those of the status answer.
type Phase string

// Phases.
const (
	Introducing       Phase = "meeting" // it asks the others what they have observed of its disk
	AwaitingAdmission Phase = "waiting" // its disk is no member yet
	Active            Phase = "in"
	DiskFailed        Phase = "no-disk" // its disk can't be written; it takes no part and tries again
	Excluded          Phase = "out"     // it may not take part; the status has the reason
)

// Settings of a replica. The functions must not block, and may be called from several goroutines.
type Settings struct {
	operatorconfig.ReplicaGroup
	Batch             int                                   // writes in one proposal, at most
	FoundGroup        bool                                  // begin a group with this store
	Client            *http.Client                          // for calls to other replicas; nil: without TLS
	Scheme            string                                // of their addresses; empty: http
	LeadershipChanged func(isLeader bool)                   // called by the loop when this replica begins or ceases to lead
	SnapshotInstalled func()                                // called by the loop when a snapshot has replaced the store
	Acknowledged      func() int64                          // lowest revision that all of this replica's watchers have
	Heartbeats        func() api.Heartbeats                 // of the directors that watch here
	TakeHeartbeats    func(api.Heartbeats)                  // at the leader: of the directors that watch elsewhere
	Grant             func([]quota.Renewal) api.LeaseAnswer // at the leader, right after its leadership was proven
	TakeLeaseAnswer   func(api.LeaseAnswer)
	NotifiedAfter     func() time.Duration // after which a watcher that left counts as having acknowledged
}

// callQueueLength is how many functions may wait for the loop before callers block.
const callQueueLength = 1024

// Group is this replica's part in the group.
type Group struct {
	settings    Settings
	store       *store.Store
	incarnation uint64           // number of this start of the program
	peers       map[string]*peer // the other replicas of the operator's file, by name; not changed
	calls       chan func()      // functions for the loop to run
	stop        chan struct{}    // closed by Stop
	ended       chan struct{}    // closed when the loop has ended
	published   atomic.Pointer[status]
	disks       diskObservations
	leases      leases
	loopState   // owned by the loop
}

// loopState is owned by the loop: no other goroutine touches it once Run is called.
type loopState struct {
	phase        Phase
	reason       string          // for the phase, in the status
	driver       *replica.Driver // nil unless the phase is Active
	driverSeed   uint64
	isLeader     bool
	proposal     *proposal // under way; nil: none
	barriers     barriers
	received     *store.ReceivedSnapshot // handed to the driver, and neither installed nor discarded
	sends        snapshotSends
	contacts     *replica.ContactTracker
	senders      map[uint64]string // names of the disks that have sent messages
	joinRequests map[string]uint64 // disks that wait to be admitted, by name
	revisions    revisionHistory
	introduction introduction
	diskTriedAt  time.Duration // when a failed disk was last tried
	flush        flushTimer
	ticks        int
}

// New makes the replica of a store that was opened for a group. A store that belongs to no group
// becomes the first of a new group if the settings say so, and else that of a disk which waits to
// be admitted.
func New(s *store.Store, settings Settings) (*Group, error) {
	if settings.Scheme == "" {
		settings.Scheme = "http"
	}
	g := &Group{
		settings:    settings,
		store:       s,
		incarnation: newNumber(),
		peers:       map[string]*peer{},
		calls:       make(chan func(), callQueueLength),
		stop:        make(chan struct{}),
		ended:       make(chan struct{}),
		disks:       diskObservations{detector: replica.NewRollbackDetector()},
		leases:      newLeases(replica.Lease{Length: settings.Lease, Drift: settings.Drift}),
		loopState: loopState{
			phase:        Introducing,
			driverSeed:   newNumber(),
			barriers:     barriers{waiting: map[uint64]chan<- error{}},
			sends:        snapshotSends{inProgress: map[uint64]bool{}, lastAt: map[uint64]time.Duration{}},
			contacts:     replica.NewContactTracker(settings.Tick),
			senders:      map[uint64]string{},
			joinRequests: map[string]uint64{},
			introduction: introduction{answered: map[string]bool{}},
			flush:        newFlushTimer(),
		},
	}
	for _, r := range settings.Replicas {
		if r.Name != settings.Self {
			g.peers[r.Name] = newPeer(g, r)
		}
	}
	if err := g.identifyDisk(); err != nil {
		return nil, err
	}
	g.publish()
	return g, nil
}

// self is this replica's place in the operator's file.
func (g *Group) self() operatorconfig.Replica {
	for _, r := range g.settings.Replicas {
		if r.Name == g.settings.Self {
			return r
		}
	}
	return operatorconfig.Replica{}
}

// Mount registers the calls of other replicas on a mux.
func (g *Group) Mount(mux *http.ServeMux) {
	mux.HandleFunc("POST "+messagesPath, g.serveMessages)
	mux.HandleFunc("POST "+snapshotPath, g.serveSnapshot)
	mux.HandleFunc("POST "+helloPath, g.serveHello)
	mux.HandleFunc("POST "+leasePath, g.serveLease)
	mux.HandleFunc("POST "+memberPath, g.serveMember)
}
