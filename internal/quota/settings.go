package quota

import "time"

// DirectorSettings are the settings of directors. Allocators and nodes that grant to them use the same values except for NodeLease.
var DirectorSettings = Settings{
	Lease:        400 * time.Millisecond,
	Drift:        0.02,
	Reserve:      0.2,
	FallbackFade: 20 * time.Second,
	Floor:        0.2,
	MinChange:    0.05,
}

// Settings configures allocators, nodes and holders. Those that work together must use the same values, except for NodeLease, which
// holders do not use.
type Settings struct {
	// Lease is the time for which a share may be used. It is measured by the holder's clock from before the share was requested.
	Lease time.Duration
	// Drift is the maximum relative difference between the rates of two clocks.
	Drift float64
	// Reserve is the fraction of each rate that is held back for the fallback of holders without a share in force.
	Reserve float64
	// FallbackFade is the time over which a fallback decreases to 0. If it is 0, there is no fallback.
	FallbackFade time.Duration
	// Floor is the minimum share of each holder with a demand, as a fraction of an even share.
	Floor float64
	// MinChange is the smallest change for which a holder's share is adjusted, as a fraction of the share.
	MinChange float64
	// NodeLease is the lease of nodes for the shares that they get from the allocator and divide. It must exceed Lease by the
	// time that a reply of the allocator may take plus several renewal intervals. If it is 0, there are no nodes.
	NodeLease time.Duration
}

// withDrift returns the longest time that may pass by the local clock while d passes by another clock.
func (s Settings) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 2*s.Drift))
}

// leaseAtAllocator returns the time for which the party that granted a share to a holder counts it as in use.
func (s Settings) leaseAtAllocator() time.Duration { return s.withDrift(s.Lease) }

// nodeLeaseAtRoot returns the time for which the root counts a node's share as in use.
func (s Settings) nodeLeaseAtRoot() time.Duration { return s.withDrift(s.NodeLease) }

// fadeAtAllocator returns the time over which the party that granted a fallback decreases it to 0.
func (s Settings) fadeAtAllocator() time.Duration { return s.withDrift(s.FallbackFade) }
