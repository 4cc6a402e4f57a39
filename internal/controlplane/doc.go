// Package controlplane is the server process of the control plane. It owns the fleet's event log: it serves the log to directors and
// relays, observes caches, accepts purges and plans, and carries plans out. It runs alone, or as one replica of a raft group.
//
// The decisions are made elsewhere, without I/O: internal/fleet checks and applies events, fleet/plan makes plans, fleet/apply
// decides the next step of one, membership decides which directors are members. This package has the sockets, the clock and the
// store around them.
//
// # State and its owners
//
//   - The store (package store) has the fleet, the event log and the applies. It is the only state on disk. Each change is one
//     transaction, run by Store.Do.
//   - The loop (Server.loop, one goroutine) owns the watch server, the event log in memory and the observer. Other goroutines reach
//     them through Server.post.
//   - The executor's goroutine owns the machine of the running apply. Requests of operators reach it under the executor's lock.
//   - The membership service has a goroutine and a lock of its own, and so have the leases of relays.
//   - In a group, replicas.Group runs raft in goroutines of its own. It reports a change of the leader by executor.setLeader, and an
//     installed snapshot by Server.snapshotInstalled.
//   - The write side is an http.Server: each request has its goroutine. It has few callers, who are people, their tools, relays and
//     the other replicas.
//
// # What is durable when
//
// A purge, a plan and an order are durable before they are answered; in a group, on a majority of replicas. Events reach watchers
// after they are durable. A step of an apply appends its event and its state in one transaction, so that after a crash the step is
// neither lost nor repeated. Observations, leases and health reports are in memory only and are gathered anew after a start.
//
// # Use
//
// New opens the store and the sockets. Run serves until Stop and then releases everything. Stop may be called from any goroutine,
// also before Run.
package controlplane
