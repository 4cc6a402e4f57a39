// Package quota divides limits among many directors: leased shares of a rate, and semaphores that a limited number of directors may
// hold at a time.
//
// An Allocator, at the leader of the control plane, grants shares to Holders, one in each director. A Node, in each relay, is an
// inner node of the tree: it acts as a holder towards the allocator and as an allocator towards the directors of the relay.
//
// # Safety
//
// At any time, the shares that all holders may use add up to no more than the limit. Clocks need not be synchronized; only their drift
// must be bounded. A holder starts the lease of a share before it requests the share; the allocator starts it when it grants the
// share, and extends it by the drift. A renewal names the grant that the holder uses; only then does the allocator discard the
// previous grants. A new allocator grants nothing until everything that an earlier one may have granted has expired.
//
// # Fallback
//
// A part of each rate is held back as a reserve. Each grant includes a fallback, the holder's part of the reserve, which the holder
// may use for a rate of which it has no share in force. The fallback decreases to 0 over a time that is much longer than a lease.
//
// # Use
//
// A holder sends the result of Renewal several times a second and passes each reply to Apply. The allocator or node passes each
// renewal to Renew, sends the result back, and calls Sweep several times a second. No type is safe for concurrent use: the caller
// serializes calls. The package does no I/O and reads no clock; each party passes the time of its own clock.
package quota
