package routing

import "time"

// Limits are the resource limits and timeouts of a Director.
type Limits struct {
	MaxRequests      int           // in flight; 0: unlimited
	StreamsPerConn   int           // attempts in flight on one connection
	ConnsPerHost     int           // connections to one host
	MaxConns         int           // connections to all hosts; 0: unlimited
	IdleTimeout      time.Duration // after which an unused connection is closed
	SilentTimeout    time.Duration // after which a connection with outstanding responses and no input gets no new attempts
	DialTimeout      time.Duration
	CloseDelay       time.Duration // within which a cache notices that a connection was closed; 0: at once
	KeepaliveAfter   time.Duration // without input, after which a connection with outstanding responses is pinged; 0: no pings
	KeepaliveTimeout time.Duration // within which a ping must be answered
	MaxAttempts      int           // of one request; 0: unlimited
	DrainGrace       time.Duration // after which a draining host must receive no new attempts
	PurgeGrace       time.Duration // after which a purge is enforced on responses
	PurgeTimeout     time.Duration // after which a purge has reached every cache
	HedgedRequests   bool          // whether a request may have two attempts in flight
	MaxDeadline      time.Duration // the longest deadline of any class
}

// Hooks connect a Director to the other cores of the process and to the control plane. Each hook may be nil.
type Hooks struct {
	// BeforeSend applies endpoint updates and purges that were published to this core. It is called before attempts are
	// written.
	BeforeSend func()
	// AcquireID reserves a request ID for this core. It reports false if the ID is in flight already.
	AcquireID func(id string) bool
	// ReleaseID releases a reserved request ID.
	ReleaseID func(id string)
	// SlowStartShare returns the share, from 0 to 1, of this core's slow start budget that the core may spend.
	SlowStartShare func() float64
	// QuotaExpired reports whether the quota for a host that is warming up, by which an attempt was decided, has expired.
	QuotaExpired func(host string) bool
	// IsStale reports whether the last applied events are too old for the director to start attempts.
	IsStale func() bool
	// Claims is the service that claims idempotency keys.
	Claims ClaimService
}
