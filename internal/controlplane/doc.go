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
//   - The services of directors (directorServices: members, quotas, health, shards, adoption) have a lock each and one goroutine, which
//     polls the leadership every membershipTick. The leases of relays have a lock of their own.
//   - In a group, replicas.Group runs raft in goroutines of its own. It reports a change of the leader to the executor by
//     executor.setLeader, and an installed snapshot by Server.snapshotInstalled.
//   - The write side is an http.Server: each request has its goroutine. It has few callers, who are people, their tools, relays and
//     the other replicas.
//
// # Leases
//
// Several leases keep a process from acting on stale state; each counts by its holder's clock from before it asked, and by its
// grantor's clock from after it answered, with a margin for drift.
//
//   - Watch lease, 200 ms: the leader lets a replica or a relay serve watches. Without it all watches are closed.
//   - Membership lease, 400 ms: an answered poll lets a director act as a member.
//   - Quota lease, 400 ms (1 s for a relay): a share of a limit. A new leader grants none until all older ones are over.
//   - The apply lock is no timed lease: one apply runs at a time, and its epoch fences off an executor that led before.
//
// A leader that was paused finds its watch lease over: it closes its watches, proves nothing by a round of its group, commits
// nothing, and steps down once it hears a higher term. What it granted before has run out by then, or does at its holders.
//
// # What is durable when
//
// A purge, a plan and an order are durable before they are answered: alone by a synced transaction of the store, in a group by the
// synced raft log of a majority of replicas, from which each replica's store follows within milliseconds. Events reach watchers
// after they are durable. A step of an apply appends its event and its state in one transaction, so that after a crash the step is
// neither lost nor repeated. Observations, leases and health reports are in memory only and are gathered anew after a start.
//
// # Use
//
// New opens the store and the sockets. Run serves until Stop and then releases everything. Stop may be called from any goroutine,
// also before Run.
package controlplane
