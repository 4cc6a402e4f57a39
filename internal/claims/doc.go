// Package claims keeps idempotency claims for requests with an idempotency key: a token runs in one group of caches only within its
// window, even if the director that sent it is lost.
//
// Claims are divided into shards by token. The event log assigns each shard its replicas, which are directors, under an epoch; the
// first replica is the primary. Claims themselves never enter the event log: they are replicated between directors.
//
// A director requests a claim from the shard's primary. The primary records it, replicates it, and grants it once all replicas
// have confirmed it. A claim that another director holds is answered with the group where its token runs.
//
// # Takeover
//
// A new primary must know all claims that may be in force before it grants any. It closes earlier epochs at their replicas, which
// send it their claims, then fills the new replicas, and reports the shard as ready. It serves once the event log shows that. If
// no replica that has the earlier claims is left, it waits until the longest window is over instead.
//
// # Use
//
// The caller passes messages (Receive), membership events (ApplyMembership), the end of its lease on them (Lease), requests and
// the time (Tick, each 10 ms or so), and after each of these carries out what Take returns. A message to the node itself is passed
// to Receive at once. A Node is not safe for concurrent use. The package does no I/O and reads no clock.
package claims
