// Package store keeps the control plane's event log and its applies in one crash-safe file (bbolt).
// It knows events and applies; it does not know who watches them.
//
// # Writes
//
// Every change is a function on a transaction (Do). Changes that come together share a transaction
// of the file, and with it one sync of the disk. Do returns once the change is durable. A change
// that returns an error leaves nothing behind.
//
// A store that is opened with Options.IsReplica belongs to a replica, and writes nothing of its own
// accord. Its owner takes the waiting changes (Requests), evaluates them into a batch of plain puts
// (Evaluate), and has the group agree on the batch. What the group has committed is applied in
// memory at once (Apply), and is written together with the next entries of the raft log (Persist),
// so that a batch costs one sync. The raft log, the hard state and what the log has led to are in
// the same file, and one transaction moves them together.
//
// # Damage
//
// Each value has a checksum that binds it to its place, and each event the hash of the log before
// it. Open verifies all of them, so that damage is an error and is never read as truth.
//
// # Concurrency
//
// Store is safe for concurrent use. The methods of a replica (Evaluate, Apply, Persist, CompactLog,
// PersistedState, InstallSnapshot and those that change the identity) are for the one goroutine
// that drives the replica. A View or Tx is valid only within its function.
package store
