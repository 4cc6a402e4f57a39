// Package replica is the consensus driver of one control-plane replica. It decides on the
// replicated log, on the membership of the group, on read leases, and on whether a disk may take
// part. It is pure: it opens no file and no socket, and it reads no clock. Ticks, messages and
// reports come in; what is to be persisted, sent and applied goes out.
//
// The consensus algorithm is raft, by go.etcd.io/raft. A raft node is a disk: its number is made
// together with the store and is never used again, so that a replaced disk is a new member under an
// old name.
//
// # Driver
//
// The caller owns a Driver and serves it in a loop, as with etcd's raft:
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
// Messages rest on what Ready asked the caller to persist: sending them earlier can make two
// leaders of one term.
//
// # Concurrency
//
// Nothing in this package is safe for concurrent use. Each value has one owner, or the caller
// guards it by a mutex.
package replica
