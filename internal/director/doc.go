// Package director is the director's process: a load balancer between clients and caches.
//
// It joins the clients' protocol (frontend.go, client_conn.go) and the caches' protocol (cache_conn.go) with the routing
// of requests, on the connections of one transport.Loop. Around that stand
//   - the watch of the event stream, from which endpoint lists and purges come (watch.go, apply_events.go);
//   - the membership, which announces the director with each poll of the event stream (membership.go), its leased quotas
//     (quota.go) and its health reports (health.go);
//   - the claims of idempotency keys among directors (claims_service.go, claims_conn.go);
//   - the cores: several programs in one process that share what must not be divided (group.go, core.go).
//
// The way of a request: clientConn reads a call and submits it to routing.Director, which sends attempts on connections
// that cacheDialer opened. The final answer comes back to the clientConn that submitted the request.
//
// The way of an endpoint list: watchClient polls the event stream, hands the response to the other cores, and applies each
// event once and in order to its own routing.Director.
//
// Each Program belongs to the goroutine of its loop. Only Program.Post and the methods of Group may be called from others.
package director
