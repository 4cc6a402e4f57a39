// Package health aggregates the directors' observations of caches, each based on a few requests per second, into one health status
// that all directors share.
//
// A director's Reporter collects the outcomes of its attempts at each cache and sends them with its calls to the control plane. From
// the reports, the leader's Aggregator decides which caches are suspected and what share of attempts fails there. A Notifier, at each
// replica and relay, tracks which directors have been notified of the result. A director's Tracker receives the result and reduces
// its effect over time. The director uses it as a prior for its own observations, never as a verdict.
//
// # Faulty reporters
//
// Fewer than a third of the machines that could report on a cache may send arbitrary reports: they can neither cause a healthy cache
// to be suspected nor clear a cache that nearly all other machines see failing. Each machine has one vote, however many reports it
// sends.
//
// No type is safe for concurrent use: the caller serializes calls. The package does no I/O and reads no clock: times are passed
// in. It is independent of requests and connections, and of how a director uses the result.
package health
