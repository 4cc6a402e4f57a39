// Package quota divides limits that many directors share: leased shares of a rate, and semaphores that only so many may hold at a
// time.
//
// An Allocator, at the leader of the control plane, grants shares to Holders, one in each director. A Node, in each relay, is the
// middle of a tree: a holder towards the allocator and an allocator towards the directors of the relay.
//
// # Safety
//
// At each moment, the shares that all holders may use add up to no more than the limit. Clocks need not agree, they only drift by
// a bounded share. A holder counts a share from before it requested it; the allocator counts it from when it granted it, and for
// longer by the drift. A renewal names the grant that the holder uses; only then does the allocator forget the grants before it.
// A new allocator grants nothing until all that an earlier one may have granted is over.
//
// # Fallback
//
// A reserve is set aside of each rate. Each grant names the holder's own part of the reserve, which it may use where no share is
// in force. The fallback fades to nothing in a time that is much longer than a lease.
//
// # Use
//
// A holder sends Renewal several times a second and takes each answer with Take. The allocator or node passes each renewal to
// Renew, calls Sweep several times a second, and sends the answer back. No type is safe for concurrent use: the caller serializes
// calls. The package does no I/O and reads no clock; each party passes its own clock's time to its own calls.
package quota
