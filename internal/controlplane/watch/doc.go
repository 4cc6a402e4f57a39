// Package watch implements the server for the event stream of the discovery protocol. A director sends a watch request with the
// last revision that it has; the server answers as soon as there are newer events, or when the request times out (a long poll). The
// next request acknowledges the events of the answer. Both replicas of the control plane and relays serve watches with this
// package; the process that does so implements Owner.
//
// # Concurrency
//
// The package starts no goroutines. A Server belongs to the loop that it was created with: its methods run on that loop unless they
// say otherwise, and so do the methods of the Owner.
//
// # Leases
//
// A process may answer watchers only while it holds a lease. Otherwise directors might continue with a log that has been replaced.
// The lease is checked before each answer, and every few milliseconds for waiting watchers. Without a lease the connections are
// closed, and the directors connect to another process.
package watch
