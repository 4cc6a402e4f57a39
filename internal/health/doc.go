// Package health aggregates what directors learn of caches, each from a few requests a second, into one picture for all of them.
//
// A director's Reporter gathers the outcomes of its attempts at each cache and reports them with its calls of the control plane.
// The leader's Aggregator decides from the reports which caches are suspected, and how large a share of attempts fails there. A
// Notifier, at each replica and relay, knows which directors have been notified of the result. A director's Tracker takes the
// result, which fades with time. The director uses it as a prior for what it learns itself, never as a verdict.
//
// # Faulty reporters
//
// Less than a third of the machines that could report a cache may report anything, true or not: they can't have a healthy cache
// suspected, nor a cache cleared that nearly all others see failing. Each machine has one vote, however many reports it sends.
//
// No type is safe for concurrent use: the caller serializes calls. The package does no I/O and reads no clock: times are passed
// in. It knows nothing of requests and connections, or of what a director makes of the result.
package health
