// Package relayserver is the process of a relay. It serves watches to the directors of a region for the replicas of a control plane,
// and keeps one session with their leader. A relay has no disk and no vote, and may be lost at any time: its directors go to another
// relay or to a replica.
//
// Package relaysession decides what the session's requests contain. This package has the sockets, the clock and the
// event log in memory.
//
// One event loop owns all state of a Server. One further goroutine, which Run starts and ends, sends requests to the leader, one at
// a time.
package relayserver
