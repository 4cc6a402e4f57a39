// Package decision implements the load balancing policy of a director in front of a tier of caches
// that hold large objects and have low-bandwidth links. It decides which cache serves each request,
// from which source a missing object is filled, what is cached, and when a request waits, is
// retried or is rejected.
//
// # Terms
//
// A director is an instance of the load balancer; it sends requests to the caches of its zone. A cache fills a miss from a source,
// which is a parent cache or the origin. A parent that does not have the object fetches it from the origin. The sending time of a
// request is the time that it takes to send its answer to the client at the rate of one transfer (Settings.FlowKBPerS). Loads, limits
// and capacities are measured in sending time, so that one large request counts as much as many small ones. The overhead of an answer
// is its total time less its sending time.
//
// # Events and actions
//
// A Router holds the state of one director. NewRouter creates it and Start returns its first
// actions. After that the caller passes each event to Handle (a request has arrived, an attempt has
// ended, the endpoint list has changed, a timer has fired) and carries out the actions that Handle
// returns, in order (start or cancel an attempt, reject a request, set a timer). The package does no
// I/O, starts no goroutines and reads no clock.
//
// # Responsibilities of the caller
//
//   - For every SetTimer the caller passes one TimerFired with the same Timer. Timers cannot be cancelled; a timer whose request or
//     attempt has ended has no effect.
//   - For every StartAttempt the caller passes one AttemptResult, even after CancelAttempt. The attempts of a request are numbered
//     from 0 in the order of their StartAttempt actions; at most one of them is in flight at a time.
//   - The caller serves the client from a successful attempt and sets AttemptResult.Terminal. Otherwise a request ends with a Reject
//     or Fail action or with a ClientGone event. Each request ends exactly once.
//   - The Router does not limit the number of open requests and opens no connections. Settings.MaxOpen, DialTimeout, DrainGrace,
//     PurgeGrace, HedgedRequests and Class.StaleFor are implemented by the caller.
//   - Endpoints are reported by EndpointUpdate events. Every request that arrives before the first one is rejected.
//
// # Concurrency, time and randomness
//
// A Router is not safe for concurrent use by two or more goroutines. The caller owns the slice that
// Handle returns. Time is passed as an argument, from any clock that never runs backwards;
// Endpoint.StartedAt must use the same clock. Random numbers come from a generator that is seeded by
// NewRouter, so that equal seeds and events yield equal actions.
//
// # Rules
//
// Each file implements one rule, with its constants, state and inputs:
//
//	router.go      the Router and the dispatch of events
//	requests.go    the arrival and the end of a request
//	coalescing.go  requests that join or wait for a fill of the same object
//	placement.go   selection of the cache and of the source, and how deep an attempt may fetch
//	attempts.go    sending attempts and processing their results
//	retries.go     when another attempt may start: overdue and failed attempts, idempotency, the retry budget
//	admission.go   rejection, with a Retry-After, or failure of requests that cannot be served
//	outliers.go    temporary ejection of hosts that fail more than their peers
//	limits.go      concurrency limits of caches, of the location's link and of the origin
//	slowstart.go   the load that a recently started host can take, and this director's share of it
//	freshness.go   purges, and the maximum age of cached objects
//	endpoints.go   the endpoint list and the state of each host
//	latency.go     estimates of latencies, sizes and miss rates
//	load.go        rates of demanded and served load
//	upkeep.go      periodic measurement of rates and removal of expired state
package decision
