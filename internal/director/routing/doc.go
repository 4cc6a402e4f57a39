// Package routing connects the decision module to the sockets of a director. It turns requests and endpoint updates into
// events of the module, and executes the module's actions as messages to caches. It takes no routing decisions of its own.
//
// It owns:
//   - the requests in flight and their attempts (requests.go, attempts.go);
//   - the hosts of the endpoint list (endpoints.go) and the connections to each of them (pool.go, conn.go);
//   - the purges that may still affect a response (purges.go);
//   - the guards (guards.go): an attempt may wait for a connection after the module has decided on it, and a response may be
//     older than a purge. The guards check the rules again just before an attempt is written and before a response is passed
//     on.
//
// The life of a request: Submit passes it to the module, which starts an attempt. The attempt is sent at the end of the
// loop's round on a pooled connection, or waits for one. The response ends the attempt: the client is answered first, then
// the module gets the result and may start the next attempt.
//
// The package is independent of the clients' protocol and of the caches' protocol. Both are behind the interfaces in
// interfaces.go.
//
// # Usage
//
// Call SetHooks, if there are hooks, and then Start, before any other method. Submit each request once, and Cancel it when
// its client disconnects. Each request that was not cancelled gets exactly one final answer through its Responder.
//
// # Concurrency
//
// A Director is not safe for concurrent use. All its methods must be called on the goroutine of its transport.Loop, which
// also runs all callbacks.
package routing
