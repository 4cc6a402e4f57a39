// Package membership decides which directors are members of the fleet: who has joined, who has left, and when that is written to
// the event log. Changes are gathered, so that a restart of all directors is a few events and not thousands.
//
// A director becomes a member with its first heartbeat: a call of a replica, which the replica reports to the leader, or a call
// of a relay, which names the director in an update of its session. It ceases to be one when it says that it leaves, or when its
// lease is over by any clock. Until then it may act on what it was sent last, and hold claims.
//
// A Tracker belongs to the leader. Its caller
//   - begins it with the members of the event log when leadership is gained (Reset),
//   - passes heartbeats (RecordHeartbeat) and relays' updates (Update), each before it answers them,
//   - writes the changes that NextChange returns, many times a second, and says so (MarkWritten),
//   - serializes all calls: a Tracker is not safe for concurrent use.
//
// The package does no I/O and reads no clock: times are passed in.
package membership
