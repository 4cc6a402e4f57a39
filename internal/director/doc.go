// Package director implements the director process, a load balancer between clients and caches.
//
// It connects the clients' protocol (frontend.go, client_conn.go, client_answers.go) and the caches' protocol (cache_conn.go) to the
// routing of requests (package routing), using the connections of one transport.Loop. The other components are:
//   - the limits of what clients may hold: their connections (eviction.go) and the output that they have not read (unread.go,
//     delivery.go);
//   - the watch of the event stream, which delivers endpoint lists and purges (watch.go, apply_events.go);
//   - the membership, which announces the director with each poll of the event stream (membership.go), its leased quotas
//     (quota.go) and its health reports (health.go);
//   - the claims of idempotency keys among directors (claims_service.go, claims_conn.go);
//   - the cores: several Programs in one process, which share the state that must not be divided (group.go, core.go).
//
// Life of a request: clientConn reads a call and submits it to routing.Director, which sends attempts on connections opened
// by cacheDialer. The final answer is returned to the clientConn that submitted the request.
//
// Life of an endpoint list: watchClient polls the event stream, publishes the response to the other cores, and applies each
// event exactly once and in order to its own routing.Director.
//
// Each Program belongs to the goroutine of its loop. Only Program.Post and the methods of Group may be called from other
// goroutines.
package director
