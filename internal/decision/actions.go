package decision

import "time"

// Action is an instruction that the caller of a Router must carry out.
type Action interface{ action() }

// StartAttempt sends a request to a host and specifies how the host fills a cache miss. The Router
// never sets Timeout or ParentNoStore; they exist because the simulator's protocol has them.
type StartAttempt struct {
	Request       RequestID
	Host          HostID
	Options       FetchOptions
	MaxAge        time.Duration // maximum age of a cached object that may be served; 0: any age
	CachePriority int           // 0: do not cache; 1 to 3: cache with that priority
	Timeout       time.Duration // 0: until the client's deadline
	Source        HostID        // host from which a miss is filled; equal to Host: a miss is not filled
}

// FetchOptions are the bits of StartAttempt.Options.
type FetchOptions int

// The options of an attempt.
const (
	JoinFill         FetchOptions = 1 // join a fill that is already in progress
	SourceCachedOnly FetchOptions = 2 // the source serves only objects that it has cached
	ParentNoStore    FetchOptions = 4 // the parent does not cache what it fetches
	Revalidate       FetchOptions = 8 // serve an ageing object and refetch it in the background
)

// Reject ends a request that did not run or that is safe to run again. The client may retry it
// after RetryAfter.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration
}

// Fail ends a request that may have run and that must not run again.
type Fail struct{ Request RequestID }

// CancelAttempt cancels one attempt. The caller still reports the AttemptResult of the attempt.
type CancelAttempt struct {
	Request RequestID
	Attempt int // index of the attempt among the request's attempts, from 0
}

// HealthCheck probes a host; the caller reports a HealthCheckResult. The Router never returns one.
type HealthCheck struct{ Host HostID }

// SetTimer schedules a TimerFired event after Delay.
type SetTimer struct {
	Delay time.Duration
	Timer Timer
}

// WatchEndpoints starts or stops watching discovery for changes to the endpoint list.
type WatchEndpoints struct{ Enabled bool }

// PollEndpoints requests the complete endpoint list from discovery once. The Router never returns
// one.
type PollEndpoints struct{}

// LogLine writes a line to the log. The Router never returns one.
type LogLine struct{ Text string }

func (StartAttempt) action()   {}
func (Reject) action()         {}
func (Fail) action()           {}
func (CancelAttempt) action()  {}
func (HealthCheck) action()    {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
func (PollEndpoints) action()  {}
func (LogLine) action()        {}
