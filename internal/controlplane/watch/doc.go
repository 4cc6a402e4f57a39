// Package watch is the server of the discovery protocol's event stream. A director sends a watch request with the revision that it
// has; the server answers as soon as there is something newer, or when the request's time is over (a long poll). The next request
// acknowledges the events of the answer. A replica of the control plane and a relay both serve watches with this package; the
// process that does is the Owner.
//
// # Concurrency
//
// The package has no goroutine. A Server belongs to the loop that it was made with: its methods run on it, except those that say
// otherwise, and so do the methods of the Owner.
//
// # Leases
//
// A process may answer watchers only while it has a lease, for otherwise directors might go on with a log that has been replaced. The
// lease is checked before each answer, and every few milliseconds for watchers that wait. Without a lease the connections are
// closed, and directors connect to another process.
package watch
