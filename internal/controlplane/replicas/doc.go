// Package replicas runs one replica of a replicated control plane. It is the shell around package
// replica, which decides: it ticks the consensus driver, persists and applies what the driver hands
// out, sends messages to the other replicas over HTTP, and serves theirs. The log and the state
// that it leads to are in the store of package store.
//
// # Life of a replica
//
// A disk that was never a member waits in phase AwaitingAdmission: it introduces itself to the
// others until the leader admits it. A disk that was a member before starts in phase Introducing:
// the others tell it what they have observed of it, so that a disk in an older state, as from a
// backup, is excluded before it votes. Then the replica is Active. If its disk can't be written it
// gives up its part until the disk can be written again (DiskFailed). A disk that was removed from
// the group, or must not take part for another reason, is Excluded for good.
//
// # Use
//
// The caller opens the store with Options.IsReplica, makes a Group with New, registers its handlers
// with Mount, and runs Run on a goroutine. Writes come through Store.Do. Stop ends the loop; the
// caller closes the store after that.
//
// # Concurrency
//
// One goroutine, the loop in Run, owns the driver and all that follows from it (loopState).
// Handlers and the goroutines beside the loop reach that state only by functions that they have the
// loop run (runOnLoop, callLoop). The last published status, the leases and the observed disks are
// shared under an atomic pointer or a mutex of their own. The exported methods are safe for
// concurrent use.
package replicas
