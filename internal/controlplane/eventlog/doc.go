// Package eventlog makes the answers to watch requests from the fleet's last events. A watcher that lacks only events that the log has
// is sent these; any other is sent a snapshot of the endpoint list, with the purges that it lacks.
//
// Each event is encoded once, and an answer is the same for all watchers at one revision: its parts are shared and must not be changed.
// Directors that announce themselves are sent the membership, too.
//
// The package does no I/O. A Log is not safe for concurrent use.
package eventlog
