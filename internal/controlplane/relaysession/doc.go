// Package relaysession implements a relay's side of its session with the leader of the control plane. A relay serves watches to
// some hundred directors and reports for all of them with one request about every 50 ms: which directors have joined, left or been
// lost, the lowest revision that all have acknowledged, the sum of their quota demands, and their health reports.
//
// The caller passes each director's watch request to RecordWatchRequest before it answers the director, sends what Request returns
// to the leader, one request at a time, and passes each answer to HandleAnswer. A request whose answer is lost is not resent: the
// next request includes everything that the leader has not confirmed.
//
// The package performs no I/O and reads no clock. A Session is not safe for concurrent use.
package relaysession
