// Package store keeps the control plane's event log and its applies in one crash-safe file (bbolt).
// It stores events and applies, and has no knowledge of watchers.
//
// # Writes
//
// A change is a function that runs in a transaction (Do). Concurrent changes share one transaction
// of the file, and therefore one sync of the disk. Do returns once the change is durable. A change
// that returns an error has no effect.
//
// A store that is opened with Options.IsReplica belongs to a replica and has no writer of its own.
// Its owner receives the waiting changes (Requests), evaluates them into a batch of plain puts
// (Evaluate), and proposes the batch to the group. A committed batch is applied in memory at once
// (Apply) and written together with the next entries of the raft log (Persist), so that a batch
// costs one sync. The raft log, the hard state and the applied state are in the same file and are
// updated in one transaction.
//
// # Damage
//
// Each value has a checksum that also covers its bucket and key, and each event has the hash of the
// event log up to it. Open verifies all of them, so that damage is reported as an error and damaged
// data is never used.
//
// # Concurrency
//
// Store is safe for concurrent use. The methods of a replica (Evaluate, Apply, Persist, CompactLog,
// PersistedState, InstallSnapshot and those that change the identity) may be called only by the one
// goroutine that drives the replica. A View or Tx is valid only until its function returns.
package store
