// Package relayserver implements the relay process. A relay serves watches to the directors of a region on behalf of the replicas
// of a control plane, and maintains one session with their leader. A relay has no disk and no vote, and may fail at any time: its
// directors then connect to another relay or to a replica.
//
// Package relaysession decides what the requests of the session contain. This package handles the sockets, the clock and the
// in-memory event log.
//
// One event loop owns all state of a Server. Run starts one additional goroutine, which sends requests to the leader, one at a time,
// and waits for it before returning.
package relayserver
