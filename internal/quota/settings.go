package quota

import "time"

// DirectorSettings are those by which directors hold shares. Whoever grants to them uses the same, beside NodeLease.
var DirectorSettings = Settings{
	Lease:        400 * time.Millisecond,
	Drift:        0.02,
	Reserve:      0.2,
	FallbackFade: 20 * time.Second,
	Floor:        0.2,
	MinChange:    0.05,
}

// Settings are those of allocators, nodes and holders. All must be the same for those that work together, but NodeLease, which
// holders do not use.
type Settings struct {
	// Lease is the time for which a share may be used, by its holder's clock from before it was requested.
	Lease time.Duration
	// Drift is the most by which two clocks run apart, as a share.
	Drift float64
	// Reserve is the share of each rate that is set aside for the fallback of holders without a share in force.
	Reserve float64
	// FallbackFade is the time in which a fallback sinks to nothing. 0: there is no fallback.
	FallbackFade time.Duration
	// Floor is what each holder that demands anything gets at least, as a share of an even share.
	Floor float64
	// MinChange is the least change of a share, as a share of it: smaller ones are not made.
	MinChange float64
	// NodeLease is what Lease is for nodes, which lease from the allocator what they divide. It must be longer than Lease by
	// the time that an answer of the allocator may take and several renewals. 0: there are no nodes.
	NodeLease time.Duration
}

// withDrift returns how long a time that another clock counts may last by the own clock.
func (s Settings) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 2*s.Drift))
}

// leaseAtAllocator returns for how long a share counts where it was granted.
func (s Settings) leaseAtAllocator() time.Duration { return s.withDrift(s.Lease) }

// nodeLeaseAtRoot returns for how long a node's share counts at the root.
func (s Settings) nodeLeaseAtRoot() time.Duration { return s.withDrift(s.NodeLease) }

// fadeAtAllocator returns in what time a fallback fades where it was granted.
func (s Settings) fadeAtAllocator() time.Duration { return s.withDrift(s.FallbackFade) }
