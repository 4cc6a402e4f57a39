// Package replica implements the consensus driver of one control-plane replica: the replicated log,
// the membership of the group, read leases, and the check whether a disk may take part. It does no
// I/O and reads no clock. The caller passes in ticks, messages and reports, and gets back what it
// has to persist, send and apply.
//
// The consensus algorithm is Raft, as implemented by go.etcd.io/raft. A Raft node is a disk: its
// number is generated when its store is created and is never reused, so that a replacement disk is
// a new member under an existing name.
//
// # Driver
//
// The caller owns a Driver and processes its Ready values in a loop, as with etcd's raft:
//
//	for rd := driver.Ready(); rd != nil; rd = driver.Ready() {
//		send(rd.EarlyMessages)
//		persist(rd.Snapshot, rd.Entries, rd.HardState) // durable if rd.MustSync
//		driver.Persisted(rd)
//		send(rd.Messages)
//		for i, entry := range rd.CommittedEntries {
//			driver.ApplyEntry(rd, i)
//			apply(entry)
//		}
//		driver.Advance(rd)
//	}
//
// Messages depend on the state that the same Ready asks the caller to persist: sending them before
// that state is durable can lead to two leaders in one term.
//
// # Concurrency
//
// Nothing in this package is safe for concurrent use. Each value must be owned by one goroutine or
// guarded by a mutex of the caller.
package replica
