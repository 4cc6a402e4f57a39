// Package replicas runs one replica of a replicated control plane. It performs the I/O for package
// replica, which makes the decisions: it ticks the consensus driver, persists and applies the
// driver's output, sends messages to the other replicas over HTTP, and serves their calls. The log
// and the state machine are kept in the store of package store.
//
// # Phases of a replica
//
// A disk that has never been a member starts in phase AwaitingAdmission: it sends hellos to the
// other replicas until the leader admits it. A disk that has been a member starts in phase
// Introducing: the other replicas report what they have observed of it, so that a disk that was
// rolled back to an older state, for example from a backup, is excluded before it votes. After
// that, the replica is Active. If its disk fails writes, the replica stops participating until the
// disk can be written again (DiskFailed). A disk that was removed from the group, or must not
// participate for another reason, is Excluded permanently.
//
// # Use
//
// The caller opens the store with Options.IsReplica, creates a Group with New, registers its
// handlers with Mount, and calls Run on a goroutine. Writes are submitted through Store.Do. Stop
// ends the loop; the caller closes the store after that.
//
// # Concurrency
//
// One goroutine, the event loop in Run, owns the driver and the state derived from it (loopState).
// Handlers and background goroutines access that state only through functions that they submit to
// the loop (runOnLoop, callLoop). The published status is shared through an atomic pointer; the
// leases and the disk observations each have their own mutex. The exported methods are safe for
// concurrent use.
package replicas
