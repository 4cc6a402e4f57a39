// Package routing connects the decision module to the sockets of a director. It translates requests and endpoint updates
// into events for the module, and the module's actions into messages to caches. The module makes the decisions; this
// package carries them out.
//
// It owns:
//   - the requests in flight and their attempts (requests.go, attempts.go);
//   - the hosts of the endpoint list (endpoints.go) and the connections to each of them (pool.go, conn.go);
//   - the purges that can still affect a response (purges.go);
//   - the guards (guards.go): an attempt may wait for a connection after the module has decided on it, and a response may
//     predate a purge. The guards recheck the rules immediately before an attempt is written and before a response is
//     forwarded.
//
// Life of a request: Submit passes it to the module, which starts an attempt. The attempt is sent on a pooled connection at
// the end of the loop's round, or queued until a connection is available. The response ends the attempt: the client is
// answered first, then the module receives the result and may start the next attempt.
//
// The package is independent of the clients' protocol and of the caches' protocol. It uses both through the interfaces in
// interfaces.go.
//
// # Usage
//
// Call SetHooks, if there are hooks, and then Start before any other method. Submit each request once and Cancel it when its
// client disconnects. Each request that is not cancelled gets exactly one final answer through its Responder.
//
// # Concurrency
//
// A Director belongs to the goroutine of its transport.Loop. All of its methods must be called there, and all callbacks run
// there.
package routing
