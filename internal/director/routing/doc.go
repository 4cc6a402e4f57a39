// Package routing connects the decision module to the sockets of a director. It turns requests and endpoint updates into
// events of the module, and the module's actions into messages to caches. The module decides; this package carries out.
//
// It owns:
//   - the requests in flight and their attempts (requests.go, attempts.go);
//   - the hosts of the endpoint list (endpoints.go) and the connections to each of them (pool.go, conn.go);
//   - the purges that still matter (purges.go);
//   - the guards (guards.go): an attempt may wait for a connection after it was decided on, and a response may be older
//     than a purge. The guards check the rules again just before an attempt is written and before a response is passed on.
//
// The way of a request: Submit hands it to the module, which starts an attempt. The attempt is sent at the end of the
// loop's round on a pooled connection, or waits for one. The response ends the attempt: the client is answered first, then
// the module learns the result and may start the next attempt.
//
// The package knows neither the clients' protocol nor the caches' protocol. Both are reached through the interfaces of
// interfaces.go.
//
// # Duties of the caller
//
// Call SetHooks, if there are hooks, and then Start before anything else. Submit each request once and Cancel it when its
// client is gone. Each request that was not cancelled gets exactly one final answer through its Responder.
//
// # Concurrency
//
// A Director belongs to the goroutine of its transport.Loop. All methods are called there, and so are all callbacks.
package routing
