// Package decision decides, for a director in front of a tier of caches that hold large objects
// behind thin links, which cache answers each request, where a missing object is filled from, what
// is cached, and when a request waits, is retried or is rejected.
//
// # Terms
//
// A director is an instance of the load balancer. Its zone has caches; a request that misses at a cache is a fill from a source: a
// parent cache or the origin. A parent that does not have the object either fetches it from the origin. The sending time of a request
// is how long its answer takes to send to the client at the usual pace (Settings.FlowKBPerS); loads, limits and capacities are
// measured in sending time, so that one large request counts as many small ones. The overhead of an answer is the rest of its time.
//
// # Events in, actions out
//
// A Router is the state of one director. NewRouter makes it and Start begins its work. From then on
// the caller passes each event to Handle (a request has arrived, an attempt has ended, the endpoint
// list has changed, a timer has fired) and carries out the actions that Handle returns, in their
// order (start or cancel an attempt, reject a request, set a timer). The package does no I/O,
// starts no goroutine and reads no clock.
//
// # Duties of the caller
//
//   - Every SetTimer is answered by one TimerFired with the same Timer. Timers cannot be cancelled; one whose cause is over does
//     nothing.
//   - Every StartAttempt is answered by one AttemptResult, also after CancelAttempt. A request's attempts are numbered from 0 in the
//     order of their StartAttempt actions; the Router has at most one of them out at a time.
//   - The caller serves the client from a successful attempt and sets AttemptResult.Terminal. The Router ends the request by Reject
//     or Fail, or the client by ClientGone; each request ends once.
//   - The Router does not limit the number of open requests, and opens no connections: Settings.MaxOpen, DialTimeout, DrainGrace,
//     PurgeGrace, HedgedRequests and Class.StaleFor are for the caller.
//   - Endpoints come as EndpointUpdate events. Until the first one, every request is rejected.
//
// # Concurrency, time and randomness
//
// A Router must not be used by two goroutines at once. The slice that Handle returns belongs to the
// caller. Time is an argument: any clock that does not run backwards will do, if Endpoint.StartedAt
// is on the same one. Random draws come from a generator with the seed that NewRouter was given, so
// that equal seeds and events give equal actions.
//
// # Rules
//
// Each rule stands in one file, with its constants, its state and its inputs:
//
//	router.go      the Router and the dispatch of events
//	requests.go    how a request is taken in and finished
//	coalescing.go  requests for an object that an attempt is about to fill join it or wait for it
//	placement.go   the cache of a request, the source of a fill, and how deep an attempt may fetch
//	attempts.go    an attempt is sent, and its result is taken in
//	retries.go     when another attempt may start: overdue and failed attempts, idempotency, the retry budget
//	admission.go   a request that cannot be served is rejected, with a Retry-After, or fails
//	outliers.go    hosts that fail more than their peers are ejected for a while
//	limits.go      concurrency limits of caches, of the location's link and of the origin
//	slowstart.go   the load that a host bears that has just started, and this director's share of it
//	freshness.go   purges, and the oldest cached object that will do
//	endpoints.go   the endpoint list, and the state of each host
//	latency.go     estimates of latencies, sizes and shares of misses
//	load.go        rates of the load that is demanded and served
//	upkeep.go      the timer that measures rates and drops old state
package decision
