package routing

import "stairvane.org/stairvane/internal/decision"

// Counters are totals since the start of the process. The JSON keys are documented for operators. All fields must be int64.
type Counters struct {
	// Requests.
	Accepted    int64 `json:"Taken"`
	Served      int64 `json:"Served"`
	NotModified int64 `json:"Same"`
	Rejected    int64 `json:"Refused"`
	Failed      int64 `json:"Failed"`
	Cancelled   int64 `json:"Revoked"` // by their clients; the key Cancelled counts attempts instead
	Resubmitted int64 `json:"Repeats"` // submitted again with the ID of a cancelled request

	// Attempts.
	Attempts          int64 `json:"Attempts"`
	AttemptsCancelled int64 `json:"Cancelled"`   // attempts, not requests; see Revoked
	LateResponses     int64 `json:"LateReplies"` // received after their attempt had ended
	AttemptsBlocked   int64 `json:"GuardStops"`  // not sent because of a guard
	ResponsesWithheld int64 `json:"Withheld"`    // not forwarded because of a guard

	// Idempotency claims, and requests rejected by a stale director.
	ClaimsGranted       int64 `json:"Claimed"`
	ClaimsHeldElsewhere int64 `json:"Bound"`
	ClaimsUnavailable   int64 `json:"Unclaimed"`
	KeysReused          int64 `json:"Reused"`
	RejectedStale       int64 `json:"Behind"`

	// Attempts by result.
	OK            int64 `json:"OK"`
	Miss          int64 `json:"Miss"`
	Overloaded    int64 `json:"Full"`
	Errors        int64 `json:"Errors"`
	NotSent       int64 `json:"Void"`
	TimedOut      int64 `json:"TimedOut"`
	Reset         int64 `json:"Reset"`
	ConnectFailed int64 `json:"NoCon"`

	// Connections and events.
	Connects        int64 `json:"Dials"`
	ConnsLost       int64 `json:"LinksLost"` // with attempts in flight
	ConnsDead       int64 `json:"LinksDead"` // did not answer a ping
	Purges          int64 `json:"Purges"`
	EndpointUpdates int64 `json:"Lists"`
}

func (c *Counters) countStatus(s decision.Status) {
	switch s {
	case decision.OK:
		c.OK++
	case decision.Miss:
		c.Miss++
	case decision.Full:
		c.Overloaded++
	case decision.Failed:
		c.Errors++
	case decision.NotSent:
		c.NotSent++
	case decision.Reset:
		c.Reset++
	case decision.ConnectFailed:
		c.ConnectFailed++
	}
}
