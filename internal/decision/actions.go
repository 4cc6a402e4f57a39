package decision

import "time"

// Action is something that the caller of a Router has to do.
type Action interface{ action() }

// StartAttempt sends a request to a host and says how the host fills a miss. The Router sets no
// Timeout and does not use ParentNoStore; the simulator's protocol has both.
type StartAttempt struct {
	Request       RequestID
	Host          HostID
	Options       FetchOptions
	MaxAge        time.Duration // age of the oldest cached object that will do; 0: any
	CachePriority int           // 0: do not cache, 1 to 3: cache with that priority
	Timeout       time.Duration // 0: until the client gives up
	Source        HostID        // where the host fills a miss from; Host itself: it does not fill
}

// FetchOptions are the bits of StartAttempt.Options.
type FetchOptions int

// The options of an attempt.
const (
	JoinFill         FetchOptions = 1 // join a fill under way
	SourceCachedOnly FetchOptions = 2 // the source gives only what it has cached
	ParentNoStore    FetchOptions = 4 // the parent does not cache what it fetches
	Revalidate       FetchOptions = 8 // an ageing object is served and fetched again in the background
)

// Reject ends a request that did not run, or may run again: the client can retry without harm.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration
}

// Fail ends a request that may have run and must not run again.
type Fail struct{ Request RequestID }

// CancelAttempt cancels one attempt. Its AttemptResult still comes.
type CancelAttempt struct {
	Request RequestID
	Attempt int // number of the request's attempt, from 0
}

// HealthCheck checks on a host. A HealthCheckResult follows. The Router returns none.
type HealthCheck struct{ Host HostID }

// SetTimer asks for a TimerFired.
type SetTimer struct {
	Delay time.Duration
	Timer Timer
}

// WatchEndpoints asks discovery for changes of the endpoint list from now on, or no longer.
type WatchEndpoints struct{ Enabled bool }

// PollEndpoints asks discovery for the complete endpoint list once. The Router returns none.
type PollEndpoints struct{}

// LogLine writes a line into the log. The Router returns none.
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
