// Package controlplane implements the server process of the control plane. It owns the fleet's event log: it serves the log to
// directors and relays, observes caches, accepts purges and plans, and executes plans. It runs standalone or as one replica of a raft
// group.
//
// Other packages make the decisions, without I/O: internal/fleet checks and applies events, fleet/plan makes plans, fleet/apply
// decides the next step of an apply, and membership decides which directors are members. This package provides the sockets, the clock
// and the store around them.
//
// # State and its owners
//
//   - The store (package store) contains the fleet, the event log and the applies. It is the only state on disk. Each change is one
//     transaction, run by Store.Do.
//   - The event loop (Server.loop, one goroutine) owns the watch server, the in-memory event log and the observer. Other goroutines
//     access them through Server.post.
//   - The executor's goroutine owns the state machine of the running apply. Operator requests access it under the executor's lock.
//   - The director services (directorServices: members, quotas, health, shards, adoption) have a lock each and share one goroutine,
//     which polls the leadership every membershipPollInterval. The relay leases have a lock of their own.
//   - In a group, replicas.Group runs raft in its own goroutines. It calls executor.leadershipChanged when this replica gains or loses
//     leadership, and Server.snapshotInstalled when a snapshot was installed.
//   - The write side is an http.Server with one goroutine per request. It has few callers: operators, their tools, relays and the
//     other replicas.
//
// # Leases
//
// Several leases keep a process from acting on stale state. The holder counts a lease from before it sent the request, and the grantor
// from after it sent the answer, each by its own clock and with a margin for clock drift.
//
//   - Watch lease, 200 ms: the leader permits a replica or a relay to serve watches. Without the lease all watches are closed.
//   - Membership lease, 400 ms: an answered poll permits a director to act as a member.
//   - Quota lease, 400 ms (1 s for a relay): a share of a limit. A new leader grants none until all earlier quota leases have expired.
//   - The apply lock is not time-limited: one apply runs at a time, and its epoch fences off the executor of an earlier leader.
//
// After a pause, a leader finds that its watch lease has expired: it closes its watches, can neither pass a barrier nor commit, and
// steps down once it receives a message with a higher term. The leases that it granted before the pause have expired by then, or
// expire at their holders.
//
// # Durability
//
// A purge, a plan or an order is durable before it is acknowledged. In a standalone process a synced store transaction makes it
// durable. In a group it is in the synced raft log of a majority of replicas, and each replica's store applies it within
// milliseconds. Events are sent to watchers only once they are durable. A step of an apply writes its event and its state in one
// transaction, so that a crash neither loses nor repeats the step. Observations, leases and health reports are kept in memory only and
// are collected again after a restart.
//
// # Use
//
// New opens the store and the sockets. Run serves until Stop is called and then releases everything. Stop may be called from any
// goroutine, including before Run.
package controlplane
