// Package membership decides which directors are members of the fleet: which have joined, which have left, and when these changes
// are written to the event log. Changes are batched, so that a restart of all directors causes a few events instead of thousands.
//
// A director becomes a member with its first heartbeat. A heartbeat is either a watch request to a replica, which the replica
// reports to the leader, or a watch request to a relay, which reports the director in an update of its session. A director is
// removed when it announces that it is leaving, or when its lease has expired by any clock within the drift. Until then it may act
// on the state that it last received, and may hold claims.
//
// The leader owns the Tracker. Its caller
//   - resets it to the members in the event log when the replica becomes the leader (Reset),
//   - passes heartbeats (RecordHeartbeat) and relays' updates (Update) to it, each before responding to them,
//   - calls NextChange many times a second, writes the changes that it returns, and confirms each of them (MarkWritten),
//   - serializes all calls: a Tracker is not safe for concurrent use.
//
// The package performs no I/O and reads no clock: the caller passes the current time.
package membership
