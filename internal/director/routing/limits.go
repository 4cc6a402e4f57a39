package routing

import "time"

// Limits bound the resources and the waiting times of a Director.
type Limits struct {
	MaxRequests      int           // in flight; 0: unlimited
	StreamsPerConn   int           // attempts in flight on one connection
	ConnsPerHost     int           // connections to one host
	MaxConns         int           // connections to all hosts; 0: unlimited
	IdleTimeout      time.Duration // after which an unused connection is closed
	SilentTimeout    time.Duration // after which a connection with outstanding responses that sends nothing gets no new attempts
	DialTimeout      time.Duration
	CloseDelay       time.Duration // within which a cache notices that a connection was closed; 0: at once
	KeepaliveAfter   time.Duration // of silence on a connection with outstanding responses, after which it is pinged; 0: no pings
	KeepaliveTimeout time.Duration // within which a ping must be answered
	MaxAttempts      int           // of one request; 0: unlimited
	DrainGrace       time.Duration // after which a draining host must get no new attempts
	PurgeGrace       time.Duration // after which a purge is enforced on responses
	PurgeTimeout     time.Duration // after which a purge has reached every cache
	HedgedRequests   bool          // whether a request may have two attempts in flight
	MaxDeadline      time.Duration // the longest deadline of any class
}

// Hooks connect a Director to the other cores of the process and to the control plane. A nil hook is disabled.
type Hooks struct {
	// BeforeSend is called before attempts are written. It applies endpoint updates and purges published to this core.
	BeforeSend func()
	// AcquireID reserves a request's ID for this core. It returns false if the ID is already in flight in the process.
	AcquireID func(id string) bool
	// ReleaseID releases the reservation of a request's ID.
	ReleaseID func(id string)
	// SlowStartShare returns the share, from 0 to 1, of its slow start budget that this core may spend.
	SlowStartShare func() float64
	// QuotaExpired reports whether the quota under which an attempt at a host that is warming up was decided has expired.
	QuotaExpired func(host string) bool
	// IsStale reports whether the applied events are too old for the director to act on.
	IsStale func() bool
	// Claims claims idempotency keys.
	Claims ClaimService
}
