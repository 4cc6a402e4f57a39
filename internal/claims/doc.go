// Package claims manages idempotency claims for requests that carry an idempotency key. A claim ensures that, within its window,
// requests with the same key (the token) are executed in only one group of caches, even if the director that sent them is lost.
//
// Claims are sharded by token. For each epoch of a shard, the event log assigns the directors that are its replicas; the first
// replica is the primary. Claims themselves are never written to the event log: directors replicate them among themselves.
//
// A director requests a claim from the shard's primary. The primary stores the claim, replicates it, and grants it once all
// replicas have acknowledged it. If another director already holds the claim, the reply names the group that executes the token.
//
// # Takeover
//
// A new primary must know all claims that may still be in force before it grants any. It closes earlier epochs at their replicas,
// which send it their claims; it then copies all claims to the new replicas and reports the shard as ready. It serves requests
// once the event log marks the epoch as ready. If no replica with the earlier claims is left, the primary instead waits until any
// claim of the longest window has expired.
//
// # Use
//
// The caller passes in messages (Receive), membership events (ApplyMembership), the end of its membership lease (SetLeaseEnd), claim
// requests (Request, Release) and the time (Tick, about every 10 ms). After each call it processes what DrainOutput returns. A message
// addressed to the node itself must be passed to Receive at once. A Node is not safe for concurrent use. The package does no I/O
// and reads no clock.
package claims
