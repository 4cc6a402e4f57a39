package routing

import "time"

// Limits bound what a Director holds and how long it waits.
type Limits struct {
	MaxRequests      int           // in flight; 0: unlimited
	StreamsPerConn   int           // attempts in flight on one connection
	ConnsPerHost     int           // connections to one host
	MaxConns         int           // connections to all hosts; 0: unlimited
	IdleTimeout      time.Duration // after which an unused connection is closed
	SilentTimeout    time.Duration // after which a connection that owes responses and sends nothing gets no new attempts
	DialTimeout      time.Duration
	CloseDelay       time.Duration // within which a cache notices that a connection was closed; 0: at once
	KeepaliveAfter   time.Duration // of silence on a connection that owes responses, until it is pinged; 0: no pings
	KeepaliveTimeout time.Duration // within which a ping must be answered
	MaxAttempts      int           // of one request; 0: unlimited
	DrainGrace       time.Duration // after which a draining host must get nothing new
	PurgeGrace       time.Duration // after which a purge holds for responses
	PurgeTimeout     time.Duration // after which a purge has reached every cache
	HedgedRequests   bool          // whether a request may have two attempts in flight
	MaxDeadline      time.Duration // the longest deadline of any class
}

// Hooks connect a Director to the other cores of the process and to the control plane. A nil hook is off.
type Hooks struct {
	// BeforeSend takes in endpoint updates and purges that were published to this core, before attempts are written.
	BeforeSend func()
	// AcquireID reserves a request's ID for this core and reports false where another core has it in flight.
	AcquireID func(id string) bool
	// ReleaseID ends the reservation.
	ReleaseID func(id string)
	// SlowStartShare is the share, from 0 to 1, of this core's slow start budget that it may spend.
	SlowStartShare func() float64
	// QuotaExpired reports whether the quota of a host that is warming up is over, on which an attempt was decided.
	QuotaExpired func(host string) bool
	// IsStale reports whether the applied events are older than the director may act by.
	IsStale func() bool
	// Claims reserves idempotency keys.
	Claims ClaimService
}
