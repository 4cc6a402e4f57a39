// Package eventlog keeps the most recent events of the fleet in memory and builds the answers to watch requests from them. If the log
// still holds every event that a watcher lacks, the answer contains those events. Otherwise it contains a snapshot of the endpoint
// list and the purges that the watcher lacks.
//
// Each event is encoded once. All watchers at the same revision share one answer, so its parts must not be modified. Directors that
// announce themselves also receive the membership.
//
// The package does no I/O. A Log is not safe for concurrent use.
package eventlog
